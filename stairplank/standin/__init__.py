"""Stand-ins for what a planner meets: nodes, the node list, owners. Models, made to misbehave by script.

``node`` (with ``node_model``, ``node_pace``, ``node_faults``, ``reservations``, ``copies``), ``directory``
and ``owner`` are state machines without I/O; ``farm``, ``listing`` and ``crowd`` put them on sockets;
``script`` reads what goes wrong and when.
"""
