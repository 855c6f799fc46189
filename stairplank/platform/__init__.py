"""The planner in service on a platform: owners in binary messages, machines and the notice board in JSON
lines.

One more way in and out of the same program. ``messages``, ``binary`` and ``jsonlines`` are the formats,
``config`` and ``board`` what a planner is told, ``core`` with its rooms ``door``, ``owed``, ``out`` and
``links`` a state machine around the decision module, ``streams`` and ``service`` the sockets.
docs/design/platform.md.
"""
