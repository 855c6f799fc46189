"""The five rules, judged from the messages of a capture and the figures in its head; nothing else is read.

Each message comes twice, when it was said and when it was heard; the table at the end of the file says which
of the two a clause rests on. What a planner did is judged when it said it, by what it had heard by then; what
ran at nodes is taken from when nodes said it, whether or not anybody heard. A message that was never handed
on was never heard. A time-out that a planner keeps for itself is seen only by the time that its offer stated;
there, and for words that are old when they are acted on, ``TOLERANCE_US`` covers delays of the relay.
docs/design/running-planner.md lists every clause.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .decode import Message
from .rules.node_messages import NodeMessageRules
from .rules.observations import (
    ACROSS_US,
    GONE,
    STATES,
    TOLERANCE_US,
)
from .rules.observations import Breach as Breach


class Checker(NodeMessageRules):
    """Feed it messages in order, then ``end`` it."""

    def feed(self, messages: Iterable[Message]) -> None:
        for message in messages:
            self.first_at = self.first_at or message.at
            self.last_at = max(self.last_at, message.at)
            self._partly(message.at)
            self.counts.messages += 1
            if message.body is None and message.end == "closed":
                self.closed_ends.add((message.link, message.from_dialler))
            if message.heard and (message.link, not message.from_dialler) in self.closed_ends:
                continue  # handed on to an end that had closed: nobody heard it
            if message.body is None:
                self._ended(message)
                continue
            method = message.path.rpartition("/")[2]
            for handler in _BY_METHOD.get((method, message.from_dialler, message.heard), ()):
                handler(self, message)

    def _watch_request(self, m: Message) -> None:
        self.list_watcher[m.link, m.stream] = m.body.planner

    def _list_told(self, m: Message) -> None:
        planner = self.list_watcher.get((m.link, m.stream))
        if planner is None:
            return
        known = self.listed[planner]
        if m.body.full:
            names = {e.id for e in m.body.nodes}
            for node in [n for n in known if n not in names]:
                if known[node][0] != GONE:
                    known[node] = (GONE, m.at, m)
        for entry in m.body.nodes:
            state = STATES.get(entry.state)
            if state is None:
                continue
            self.place_of[entry.id] = (entry.zone, entry.rack)
            if entry.started_unix_us:
                began = m.at - max(0, m.body.now_unix_us - entry.started_unix_us)
                if self.node_incarnations.get(entry.id, (0, 0))[0] < entry.started_unix_us:
                    self.node_incarnations[entry.id] = (entry.started_unix_us, began)
                self.notified_of_start[entry.id, entry.started_unix_us].add(planner)
            old = known.get(entry.id)
            if old is None or old[0] != state:
                known[entry.id] = (state, m.at, m)

    def _ended(self, m: Message) -> None:
        """A stream or a link is over: nothing on it will be told any more."""
        whole = m.end == "closed"
        if not whole and not (m.end.startswith(("reset", "trailers")) or m.end == "half-closed"):
            return
        if m.end == "half-closed":
            return
        if whole and not m.from_dialler:
            # The node's end has closed: it may be dead. What still runs there it tells on a newer link.
            for sent in self.by_link.get(m.link, ()):
                self.running[sent.task].pop((sent.node, sent.id), None)
        if whole and m.link in self.ended_links:
            return  # the other end's closing came before
        if whole:
            self.ended_links.add(m.link)
        told = not m.from_dialler and m.to.startswith("node")
        if m.heard != told and not whole:
            return  # an end counts from when it was said, but for a planner that is told of it
        for key, record in self.requests.items():
            if key[0] == m.link and (whole or key[1] == m.stream) and record.released_at is None:
                record.released_at = m.at
        if not m.to.startswith("node"):
            return
        node = int(m.to.split()[1])
        for (link, stream), (_, life) in self.offer_incarnation.items():
            if link == m.link and (whole or stream == m.stream):
                if self.newest_link.get((life, node)) != m.link:
                    continue  # an older link of this life: the newer one tells
                # What the planner cannot know is no breach; it counts again once the node tells of it.
                for counted in [k for k in self.counted[life] if k[0] == node]:
                    del self.counted[life][counted]
                self._members_cut(node, life, m)
        for sent in self.by_link.get(m.link, ()):
            if (whole or sent.message.stream == m.stream) and sent.ended_at is None:
                sent.ended_at = m.at
                sent.final_status = sent.final_status or "cut"

    def end(self) -> None:
        """After the last message: what was owed and never told, and what does not add up."""
        slack = self.facts["answer_slack_us"]
        for m, sent, earlier in self.possible_duplicates:
            if earlier.ended_at is None or earlier.ended_at > m.at + ACROSS_US:
                text = f"member offered to node {sent.node} while an attempt is out at node {earlier.node}"
                self._breach(2, "member", text, m, sent.task, sent.node, [earlier.message])
        for record in self.requests.values():
            assert record.request is not None and record.deadline is not None
            if record.received_at is None:
                continue  # it never reached the planner, which owes nothing
            late = (record.released_at or self.last_at) > max(
                record.received_at, self._due_by(record)
            ) + slack
            if record.outcome is None and late:
                taken = "taken and never answered" if record.admitted else "never answered"
                self._breach(1, "no task lost", taken, record.request, record.task, others=[record.admitted])
        for record in self.records.values():
            member = bool(record.offers) and record.offers[0].id in self.member_of
            if record.admitted is None and record.request is None and record.offers and not member:
                first = record.offers[0]
                if not self._owner_cut_near(first.sent_at):
                    text = "offered though no owner's ask was taken for it"
                    self._breach(0, "attempts", text, first.message, record.task, first.node)
        for sent in self.offers.values():
            if sent.ended_at is None and not sent.running and sent.expires_at + TOLERANCE_US < self.last_at:
                self.counts.offers_silent += 1


# Method, from the dialling end, heard: what is looked at then.
_BY_METHOD: dict[tuple[str, bool, bool], tuple[Callable[[Checker, Message], None], ...]] = {
    ("Place", True, False): (Checker._place_request,),
    ("Place", True, True): (Checker._place_heard,),
    ("Place", False, False): (Checker._place_event,),
    ("Offers", True, False): (Checker._offer_request,),
    ("Offers", True, True): (Checker._offer_heard,),
    ("Offers", False, False): (Checker._node_sent,),
    ("Offers", False, True): (Checker._offer_event,),
    ("Held", True, False): (Checker._tasks_requested,),
    ("Held", False, False): (Checker._tasks_sent,),
    ("Held", False, True): (Checker._tasks_received,),
    ("Watch", True, False): (Checker._watch_request,),
    ("List", True, False): (Checker._watch_request,),
    ("Watch", False, True): (Checker._list_told,),
    ("List", False, True): (Checker._list_told,),
}
