"""The planner: a core without I/O around the decision module, and the daemon that drives it.

``core`` routes events between its components: ``client_requests``, ``attempts``, ``node_links``,
``node_list``, ``group_requests`` and ``leases``. ``daemon`` drives it on real sockets: ``placement_service``
serves the clients' sessions, ``node_connections`` manages the connections to nodes, and ``node_list_watch``
is the client of the node list service.
"""
