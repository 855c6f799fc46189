"""Light nodes for the measurement: many in one process, each answers an offer with 'running' at once.

python nodes.py FIRST COUNT LIFE_MS DIRECTORY   (writes nothing; ends with standard input)
"""

from __future__ import annotations

import sys

import gevent

from stairplank.cli.processes import end_with_stdin
from stairplank.planner.services import DIRECTORY_SERVICE
from stairplank.proto import open_call
from stairplank.rpc import Channel
from stairplank.standin.light_node import LightNode


def main() -> None:
    first, count, life_ms, directory = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4]
    end_with_stdin()
    nodes = [LightNode(first + i, life_ms / 1e3) for i in range(count)]
    channel = Channel(directory)
    calls = []
    for node in nodes:
        call = open_call(channel, DIRECTORY_SERVICE, "Announce")
        call.send(node.entry())
        calls.append(call)
    gevent.sleep(3600)


if __name__ == "__main__":
    main()
