"""The planner: a core without I/O around the decision module, and the daemon that drives it.

``core`` routes events to the components that hold all state: ``client_requests``, ``attempts``,
``node_links``, ``nodelist``, ``grouping`` and ``leases``. ``admission`` decides what is admitted,
``abandoned_attempts`` what becomes of a task whose attempt was abandoned, ``link_state`` when a node is
dialled. ``daemon`` has the sockets.
"""
