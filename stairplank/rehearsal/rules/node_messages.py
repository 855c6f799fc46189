"""Rules on the messages of nodes, as sent and as received: runs, duplicates, final statuses, held tasks."""

from __future__ import annotations

from ..decode import Message
from .observations import (
    CROSS_LINK_US,
    FINISHED,
    TOLERANCE_US,
    TOO_LATE,
    ObservedOffer,
    attempt_key,
)
from .offers import OfferRules


class NodeMessageRules(OfferRules):
    """Rules on what nodes report."""

    def _offer_event(self, m: Message) -> None:
        """Handle the receipt of a node's message by a planner."""
        kind = m.body.WhichOneof("kind")
        node = int(m.to.split()[1])
        planner, incarnation = self.offer_incarnation.get((m.link, m.stream), (-1, 0))
        if kind == "welcome":
            welcome = m.body.welcome
            if welcome.started_unix_us:
                self.notified_of_start[node, welcome.started_unix_us].add(planner)
            known = self.draining_since.get((incarnation, node))
            if welcome.draining and known is None:
                self.draining_since[incarnation, node] = (m.at, m)
            elif not welcome.draining:
                self.draining_since.pop((incarnation, node), None)
            return
        if kind == "draining":
            self.draining_since.setdefault((incarnation, node), (m.at, m))
            return
        found = self._offer_of(m, kind, node, incarnation, self.received_numbers)
        if found is None:
            return
        if kind in ("accepted", "ready"):
            found.accepted = True
        elif kind == "running":
            found.running = True
        elif kind in ("refused", "error", "ended"):
            self._final_status(m, found, kind)

    def _node_sent(self, m: Message) -> None:
        """Handle a message that a node sent, whether or not its planner receives it."""
        kind = m.body.WhichOneof("kind")
        node = int(m.to.split()[1])
        _, incarnation = self.offer_incarnation.get((m.link, m.stream), (-1, 0))
        if kind == "welcome":
            if m.body.welcome.started_unix_us:
                self._node_welcomed(m, node, m.body.welcome.started_unix_us)
            return
        found = self._offer_of(m, kind, node, incarnation, self.sent_numbers)
        if found is None:
            return
        if kind in ("accepted", "ready"):
            if kind == "accepted" and m.at > found.expires_at + TOLERANCE_US:
                late = (m.at - found.expires_at) / 1e3
                text = f"node {node} took an offer {late:.1f} ms after an answer was of use"
                self._breach(2, "stale", text, m, found.task, node, [found.message])
        elif kind == "running":
            self._running(m, found)
        elif kind in ("refused", "error", "ended"):
            if kind == "refused" and m.body.refused.reason == TOO_LATE:
                self.counts.stale_refused += 1
                self.counts.fresh_refused += m.at < found.expires_at - CROSS_LINK_US
            if found.id in self.member_of:
                self._member_ended(m, found, kind == "ended" and m.body.ended.how == FINISHED)
            self.running[found.task].pop((node, found.id), None)

    def _offer_of(
        self,
        m: Message,
        kind: str | None,
        node: int,
        incarnation: int,
        seen_numbers: set[tuple[int, int, int, int]],
    ) -> ObservedOffer | None:
        """Return the offer that a message is about, or None for other messages and for redelivered ones."""
        if kind in (None, "usage", "sampled", "draining", "renewed", "kept"):
            return None
        if m.body.number:
            number = (node, self.observed_incarnation.get(node, 0), incarnation, m.body.number)
            if number in seen_numbers:
                return None  # redelivered, as it was not acknowledged
            seen_numbers.add(number)
        sent = self.offers.get((node, attempt_key(getattr(m.body, kind).id)))
        if sent is None and not m.heard:
            self._breach(0, "attempts", f"{kind} for an attempt that was never offered", m, node=node)
        return sent

    def _running(self, m: Message, sent: ObservedOffer) -> None:
        if sent.id in self.member_of:
            if self.member_of[sent.id][1] not in self.groups[self.member_of[sent.id][0]].committed:
                self._breach(6, "let run", "a member runs that was not let run", m, sent.task, sent.node)
            until, commit = self.committed.get(sent.id, (m.at, m))
            if m.at > until + TOLERANCE_US:
                late = (m.at - until) / 1e3
                text = f"a member runs by a commit that had lapsed {late:.1f} ms before"
                self._breach(2, "stale", text, m, sent.task, sent.node, [commit])
            self._member_runs(m, sent)
        self._check_duplicate_runs(sent)

    def _check_duplicate_runs(self, sent: ObservedOffer) -> None:
        """Note that a task runs at a node, and count it where another copy of it runs at the same time."""
        task_class = self.classes.get(sent.task_class)
        if (
            task_class is not None
            and task_class["effect"] != "repeatable"
            and (sent.node, sent.id) not in self.running[sent.task]
        ):
            others = list(self.running[sent.task].values())
            self.counts.side_by_side += bool(others)
            self.counts.side_by_side_own += any(s.id[:2] == sent.id[:2] for s in others)
        self.running[sent.task][sent.node, sent.id] = sent

    def _tasks_requested(self, m: Message) -> None:
        self.tasks_requested_at[m.link, m.stream] = m.at

    def _tasks_sent(self, m: Message) -> None:
        """Note the tasks that a node reports as running, perhaps on a newer link than the offer's."""
        node = int(m.to.split()[1])
        for task in m.body.tasks:
            sent = self.offers.get((node, attempt_key(task.id)))
            if sent is not None and task.running:
                self._check_duplicate_runs(sent)

    def _final_status(self, m: Message, sent: ObservedOffer, kind: str) -> None:
        # The status "stopped" is not listed: it comes from the planner, and a node's status may follow it.
        if sent.final_status in ("refused", "error", "ended"):
            text = f"{kind} after {sent.final_status}: two last words on one attempt"
            self._breach(0, "attempts", text, m, sent.task, sent.node, [sent.message])
        sent.final_status = kind
        sent.ended_at = sent.ended_at or m.at
        self.counts.offers_refused += kind == "refused"
        self.counts.offers_errors += kind == "error"
        if kind == "refused" and not sent.running:
            sent.known_not_run = True
        for counted in self.spread_tasks.values():
            counted.pop((sent.node, sent.id), None)

    def _tasks_received(self, m: Message) -> None:
        """Count the tasks that a node reports, also of earlier incarnations, for the current planner."""
        node = int(m.to.split()[1])
        incarnation = next(
            (incarnation for (link, _), (_, incarnation) in self.offer_incarnation.items() if link == m.link),
            None,
        )
        if incarnation is None:
            return
        if m.body.complete:
            # A node redelivers final statuses until they are acknowledged, and it has dropped none. So an
            # offer on a cut link that the node neither holds nor reported as ended never reached the node.
            # An offer whose wait had ended when the planner sent this request has not run either, even if its
            # link was not cut: the node has refused it as too late, or will refuse it on arrival.
            held = {attempt_key(task.id) for task in m.body.tasks}
            requested_at = self.tasks_requested_at.get((m.link, m.stream), 0)
            for (offered_node, id), sent in self.offers.items():
                unreported = (sent.final_status == "cut" or requested_at >= sent.expires_at) and not (
                    sent.accepted or sent.running
                )
                if offered_node == node and id[0] == incarnation and unreported and id not in held:
                    sent.known_not_run = True
        self._members_ended_unobserved(node, incarnation, {attempt_key(task.id) for task in m.body.tasks})
        for task in m.body.tasks:
            id = attempt_key(task.id)
            # This includes offers that the current incarnation sent over a link that was cut: the planner
            # now knows again that the node holds them.
            self.spread_tasks[incarnation].setdefault((node, id), (task.task.service, task.task.task_class))
            if task.running and id in self.member_of:
                key, member = self.member_of[id]
                group = self.groups[key]
                group.uncertain_since.pop(member, None)
                if member not in group.finished and member not in group.failed:
                    group.attempt_of[member] = id
                    group.running.setdefault(member, m.at)  # its "running" message may have been lost
                    self._update_partial_since(group, m.at)
