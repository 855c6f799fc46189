"""The rehearsal kit: a scenario run on real processes, recorded on the sockets, judged by the five rules.

``scenario`` reads the script, ``run`` starts the processes, ``relay`` records every link into a ``capture``,
``decode`` turns the capture into messages by HTTP/2 and the proto files alone, ``checker`` judges them.
"""
