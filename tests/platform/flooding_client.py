"""A client that sends placement requests at full speed on many connections.

``flooding_client.py HOST:PORT NUMBER`` prints a line once its connections are open; it ends when killed.
"""

from __future__ import annotations

import selectors
import socket
import sys

from stairplank.platform import binary
from stairplank.platform.messages import Kind, Message

FIRST_ID = 1 << 40  # ids of its tasks start here, far above the ids of other clients
BATCH = 64  # placement requests in one write
SOURCES = 100  # source addresses, because the open tasks of one client are bounded
READ_BYTES = 262_144


def placement_request(number: int) -> bytes:
    id = f"{number:016x}"
    fields = {"class": "worker", "left": "6000", "key": id, "extras": f"cores:0.01;memory:0.01;service:{id}"}
    return binary.encode(Message(Kind.PLACE, id, fields, body="x" * 100))


class FloodingClient:
    """Sends placement requests on all its connections without waiting for answers."""

    def __init__(self, address: str, connections: int) -> None:
        host, port = address.rsplit(":", 1)
        self.selector = selectors.DefaultSelector()
        self.number = FIRST_ID
        self.template = placement_request(FIRST_ID)
        for number in range(connections):
            source = (f"127.0.1.{1 + number % SOURCES}", 0)
            sock = socket.create_connection((host, int(port)), 10.0, source_address=source)
            sock.setblocking(False)
            self.selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, bytearray())

    def run(self) -> None:
        while True:
            for key, events in self.selector.select(1.0):
                try:
                    self._serve(key, events)
                except BlockingIOError:
                    pass
                except OSError:
                    self.selector.unregister(key.fileobj)

    def _serve(self, key: selectors.SelectorKey, events: int) -> None:
        sock, unsent = key.fileobj, key.data
        assert isinstance(sock, socket.socket)
        if events & selectors.EVENT_READ and not sock.recv(READ_BYTES):
            raise ConnectionResetError
        if events & selectors.EVENT_WRITE:
            if not unsent:
                unsent += b"".join(self._next() for _ in range(BATCH))
            del unsent[: sock.send(unsent)]

    def _next(self) -> bytes:
        self.number += 1
        return self.template.replace(FIRST_ID.to_bytes(8, "big"), self.number.to_bytes(8, "big"), 1)


if __name__ == "__main__":
    client = FloodingClient(sys.argv[1], int(sys.argv[2]))
    print("open", flush=True)
    client.run()
