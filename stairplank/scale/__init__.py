"""Measures what a site of a given size costs: real planner processes beside hollow workers and planners."""
