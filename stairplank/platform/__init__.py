"""The planner as a service on a platform.

Clients send binary messages, machines and the node list service send JSON lines. One more front end of the
same program. ``messages``, ``binary`` and ``jsonlines`` are the message formats,
``config`` and ``node_list`` what a planner is configured with, ``core`` with its components ``validation``,
``client_requests``, ``client_sessions``, ``task_table``, ``attempts``, ``links``, ``machines``, ``adoption``
and ``shutdown`` a state machine around the decision module, ``event_queue`` and ``driver`` the order in which
events are handled, ``client_connections``, ``machine_connections``, ``node_watch`` and ``streams`` the
sockets, ``service`` the process. docs/design/platform.md.
"""
