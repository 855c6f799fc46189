"""Simulated time around the same cores: planners, decision module, groups, stand-in nodes, list and owners.

``world`` drives them with an event queue in place of sockets; ``meter`` measures what groups cost;
``experiment`` runs a grid of worlds over several processes and keeps the results as a table and charts.
"""
