"""Simulated time around the same cores: planners, decision module, groups, stand-in nodes, list and clients.

``simulation`` drives them with an ``event_queue`` in place of sockets, over ``simulated_links``;
``invariant_monitor`` watches for what may never happen; ``group_meter`` measures what groups cost;
``experiment`` runs a grid of simulations over several processes and keeps the results as a table and charts.
"""
