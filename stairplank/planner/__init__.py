"""The planner: a core without I/O around the decision module, and the daemon that drives it.

``core`` routes events between its components: ``client_requests``, ``attempts``, ``node_links``,
``node_list``, ``grouping`` and ``leases``. ``daemon`` drives it on real sockets: ``placement_service`` has
the clients' sessions, ``node_connections`` the connections to nodes, ``node_list_watch`` the client of the
directory.
"""
