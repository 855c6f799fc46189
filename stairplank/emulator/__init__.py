"""The emulator: runs the planners' real cores in simulated time, with stand-in nodes, node list and clients.

``simulation`` drives the cores from an ``event_queue`` in place of sockets, over ``simulated_links``.
``invariant_monitor`` detects violations of the planners' guarantees, and ``group_meter`` measures the cores
that incomplete groups waste. ``experiment`` runs a grid of simulations over several processes and writes the
results as a CSV file, a table and a chart.
"""
