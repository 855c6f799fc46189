"""Detects streams that a newer stream of the same peer replaced.

Data of an old connection may arrive after data of a new one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable


class StreamEpochs:
    """Stores the highest stream epoch seen from each peer, for a limited number of peers.

    Beyond the limit, the peer that has gone longest without a new stream is removed. Its next stream is then
    accepted whatever its epoch.
    """

    def __init__(self, max_peers: int) -> None:
        """Create an empty table for at most ``max_peers`` peers."""
        self._max_peers = max_peers
        self._highest: OrderedDict[Hashable, int] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of peers in the table."""
        return len(self._highest)

    def raise_limit(self, max_peers: int) -> None:
        """Raise the limit; it is never lowered, which would remove peers whose streams are still open."""
        self._max_peers = max(self._max_peers, max_peers)

    def accept(self, peer: Hashable, epoch: int) -> bool:
        """Return whether this epoch is higher than every earlier epoch of the peer, and store it if so."""
        highest = self._highest.get(peer, -1)
        if epoch <= highest:
            return False
        self._highest[peer] = epoch
        self._highest.move_to_end(peer)
        if len(self._highest) > self._max_peers:
            self._highest.popitem(last=False)
        return True
