"""Test doubles of a planner's peers: nodes, the node list and clients, with faults injected by a script.

``node`` (with ``node_model``, ``node_pace``, ``node_faults``, ``reservations``, ``dedup_memory``,
``planner_session`` and ``outbox``), ``node_list_state`` and ``client`` are state machines without I/O.
``node_pool``, ``node_list_server`` and ``client_pool`` serve them over sockets. ``light_node`` is a node
without a model, for measurements of scale. ``script`` parses the faults and their times.
"""
