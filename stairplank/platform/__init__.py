"""The platform form of the planner, a front end beside the gRPC form with the same decision module.

Clients send binary messages; machines and the node list service send JSON lines. The modules:

- ``messages``, ``binary`` and ``jsonlines``: message formats.
- ``config`` and ``node_list``: configuration and node list.
- ``core`` and its components ``validation``, ``client_requests``, ``client_sessions``, ``task_table``,
  ``attempts``, ``links``, ``machines``, ``adoption`` and ``shutdown``: a state machine around the decision
  module.
- ``event_queue`` and ``driver``: the order in which events are handled.
- ``client_connections``, ``machine_connections``, ``node_watch`` and ``streams``: sockets.
- ``service``: the process.

See docs/design/platform.md.
"""
