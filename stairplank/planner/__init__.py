"""The planner: a core without I/O around the decision module, and the daemon that drives it.

``core`` holds what becomes of each task, attempt, link and subscription; ``admission`` what is taken,
``leftovers`` what becomes of copies that were given up, ``links`` when a node is dialled; ``daemon`` has
the sockets.
"""
