"""Measures the costs of a site of a given size: real planners run among hollow workers and planners."""
