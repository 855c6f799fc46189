"""Which stream of a peer is the newest: bytes of an old connection may arrive after those of a new one."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable


class StreamEpochs:
    """The highest epoch seen of each peer.

    At the limit the peer whose last stream is the oldest is forgotten: its next stream counts as its first.
    """

    def __init__(self, max_peers: int) -> None:
        """Begin without a peer."""
        self._max_peers = max_peers
        self._highest: OrderedDict[Hashable, int] = OrderedDict()

    def __len__(self) -> int:
        """Return how many peers are known."""
        return len(self._highest)

    def raise_limit(self, max_peers: int) -> None:
        """Raise the limit. Danger: a lower one would forget peers whose streams are open."""
        self._max_peers = max(self._max_peers, max_peers)

    def accept(self, peer: Hashable, epoch: int) -> bool:
        """Return whether a stream with this epoch is newer than all others of this peer, and record it."""
        known = self._highest.get(peer, -1)
        if epoch <= known:
            return False
        self._highest[peer] = epoch
        self._highest.move_to_end(peer)
        if len(self._highest) > self._max_peers:
            self._highest.popitem(last=False)
        return True
