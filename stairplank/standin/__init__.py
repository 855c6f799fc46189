"""Stand-ins for what a planner meets: nodes, the node list, owners. Models, made to misbehave by script.

``node``, ``directory`` and ``owner`` are state machines without I/O; ``farm``, ``listing`` and ``crowd`` put
them on sockets; ``script`` reads what goes wrong and when.
"""
