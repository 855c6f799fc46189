"""Checks the five rules on the messages of a capture and the figures in its header; nothing else is read.

Each message appears twice, when it was sent and when it was received; the table at the end of the file says
which of the two a clause uses. A planner's action is checked when the planner sent it, against the messages
that it had received by then. What runs at nodes is taken from the time at which nodes sent it, whether or not
the message was received. A message that was never forwarded was never received. A planner's own timeout is
visible only as the wait stated in its offer; ``TOLERANCE_US`` covers the relay's delays there, and for
messages that are old when a process acts on them. docs/design/running-planner.md lists every clause.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .decode import Message
from .rules.node_messages import NodeMessageRules
from .rules.observations import (
    CROSS_LINK_US,
    GONE,
    STATES,
    TOLERANCE_US,
)
from .rules.observations import Breach as Breach


class Checker(NodeMessageRules):
    """Checks all rules: call ``feed`` with the messages in order, then ``end``."""

    def feed(self, messages: Iterable[Message]) -> None:
        for message in messages:
            self.first_at = self.first_at or message.at
            self.last_at = max(self.last_at, message.at)
            self._check_partial_groups(message.at)
            self.counts.messages += 1
            if message.body is None and message.end == "closed":
                self.closed_ends.add((message.link, message.from_dialler))
            if message.heard and (message.link, not message.from_dialler) in self.closed_ends:
                continue  # forwarded to an end that had already closed, so it was not received
            if message.body is None:
                self._stream_or_link_ended(message)
                continue
            method = message.path.rpartition("/")[2]
            for handler in _BY_METHOD.get((method, message.from_dialler, message.heard), ()):
                handler(self, message)

    def _watch_request(self, m: Message) -> None:
        self.list_watcher[m.link, m.stream] = m.body.planner

    def _list_received(self, m: Message) -> None:
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

    def _stream_or_link_ended(self, m: Message) -> None:
        """Handle the end of a stream or link: no further message can arrive on it."""
        whole_link = m.end == "closed"
        if not whole_link and not (m.end.startswith(("reset", "trailers")) or m.end == "half-closed"):
            return
        if m.end == "half-closed":
            return
        if whole_link and not m.from_dialler:
            # The node's end has closed, so the node may be down. If its tasks still run, it reports them
            # on a newer link.
            for sent in self.by_link.get(m.link, ()):
                self.running[sent.task].pop((sent.node, sent.id), None)
        if whole_link and m.link in self.ended_links:
            return  # the other end has already closed this link
        if whole_link:
            self.ended_links.add(m.link)
        to_planner = not m.from_dialler and m.to.startswith("node")
        if m.heard != to_planner and not whole_link:
            return  # the end of a node's stream counts on receipt by the planner, any other when sent
        for key, record in self.requests.items():
            if key[0] == m.link and (whole_link or key[1] == m.stream) and record.released_at is None:
                record.released_at = m.at
        if not m.to.startswith("node"):
            return
        node = int(m.to.split()[1])
        for (link, stream), (_, incarnation) in self.offer_incarnation.items():
            if link == m.link and (whole_link or stream == m.stream):
                if self.newest_link.get((incarnation, node)) != m.link:
                    continue  # the node reports to this incarnation on a newer link
                # The planner cannot know what still runs behind a broken link, so these tasks leave the
                # spread count. They count again once the node reports them.
                for counted in [k for k in self.spread_tasks[incarnation] if k[0] == node]:
                    del self.spread_tasks[incarnation][counted]
                self._mark_members_uncertain(node, incarnation, m)
        for sent in self.by_link.get(m.link, ()):
            if (whole_link or sent.message.stream == m.stream) and sent.ended_at is None:
                sent.ended_at = m.at
                sent.final_status = sent.final_status or "cut"

    def end(self) -> None:
        """Check, after the last message, for missing outcomes and for offers without an admitted request."""
        slack = self.facts["answer_slack_us"]
        for m, sent, earlier in self.possible_duplicates:
            if earlier.ended_at is None or earlier.ended_at > m.at + CROSS_LINK_US:
                text = f"member offered to node {sent.node} while an attempt is out at node {earlier.node}"
                self._breach(2, "member", text, m, sent.task, sent.node, [earlier.message])
        for record in self.requests.values():
            assert record.request is not None and record.deadline is not None
            if record.received_at is None:
                continue  # the request never reached the planner, so no answer is due
            late = (record.released_at or self.last_at) > max(
                record.received_at, self._answer_due_at(record)
            ) + slack
            if record.outcome is None and late:
                taken = "taken and never answered" if record.admitted else "never answered"
                self._breach(1, "no task lost", taken, record.request, record.task, others=[record.admitted])
        for record in self.records.values():
            member = bool(record.offers) and record.offers[0].id in self.member_of
            if record.admitted is None and record.request is None and record.offers and not member:
                first = record.offers[0]
                if not self._owner_stream_ended_near(first.sent_at):
                    text = "offered though no owner's ask was taken for it"
                    self._breach(0, "attempts", text, first.message, record.task, first.node)
        for sent in self.offers.values():
            if sent.ended_at is None and not sent.running and sent.expires_at + TOLERANCE_US < self.last_at:
                self.counts.offers_silent += 1


# Handlers by method, whether the dialling end sent the message, and whether this is its receipt.
_BY_METHOD: dict[tuple[str, bool, bool], tuple[Callable[[Checker, Message], None], ...]] = {
    ("Place", True, False): (Checker._place_request,),
    ("Place", True, True): (Checker._place_request_received,),
    ("Place", False, False): (Checker._place_event,),
    ("Offers", True, False): (Checker._offer_request,),
    ("Offers", True, True): (Checker._offer_request_received,),
    ("Offers", False, False): (Checker._node_sent,),
    ("Offers", False, True): (Checker._offer_event,),
    ("Held", True, False): (Checker._tasks_requested,),
    ("Held", False, False): (Checker._tasks_sent,),
    ("Held", False, True): (Checker._tasks_received,),
    ("Watch", True, False): (Checker._watch_request,),
    ("List", True, False): (Checker._watch_request,),
    ("Watch", False, True): (Checker._list_received,),
    ("List", False, True): (Checker._list_received,),
}
