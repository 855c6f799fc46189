"""Runs a scenario on real processes, records the traffic on the sockets and checks it against the five rules.

``scenario`` reads the scenario file, ``run`` starts the processes, ``relay`` records every link into a
``capture``, ``decode`` turns the capture into messages with HTTP/2 and the proto files alone, and ``checker``
checks the messages.
"""
