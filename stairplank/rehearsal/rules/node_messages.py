"""Messages of nodes, as sent and as planners received them: runs, duplicates, final statuses, proofs."""

from __future__ import annotations

from ..decode import Message
from .observations import (
    ACROSS_US,
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
        """A planner received a message of a node."""
        kind = m.body.WhichOneof("kind")
        node = int(m.to.split()[1])
        planner, life = self.offer_incarnation.get((m.link, m.stream), (-1, 0))
        if kind == "welcome":
            welcome = m.body.welcome
            if welcome.started_unix_us:
                self.notified_of_start[node, welcome.started_unix_us].add(planner)
            known = self.draining_since.get((life, node))
            if welcome.draining and known is None:
                self.draining_since[life, node] = (m.at, m)
            elif not welcome.draining:
                self.draining_since.pop((life, node), None)
            return
        if kind == "draining":
            self.draining_since.setdefault((life, node), (m.at, m))
            return
        found = self._offer_of(m, kind, node, life, self.received_numbers)
        if found is None:
            return
        if kind in ("accepted", "ready"):
            found.accepted = True
        elif kind == "running":
            found.running = True
        elif kind in ("refused", "error", "ended"):
            self._final_status(m, found, kind)

    def _node_sent(self, m: Message) -> None:
        """A node sent a message, whether or not its planner receives it."""
        kind = m.body.WhichOneof("kind")
        node = int(m.to.split()[1])
        _, life = self.offer_incarnation.get((m.link, m.stream), (-1, 0))
        if kind == "welcome":
            if m.body.welcome.started_unix_us:
                self._new_life(m, node, m.body.welcome.started_unix_us)
            return
        found = self._offer_of(m, kind, node, life, self.sent_numbers)
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
                self.counts.fresh_refused += m.at < found.expires_at - ACROSS_US
            if found.id in self.member_of:
                self._member_ended(m, found, kind == "ended" and m.body.ended.how == FINISHED)
            self.running[found.task].pop((node, found.id), None)

    def _offer_of(
        self, m: Message, kind: str | None, node: int, life: int, said: set[tuple[int, int, int, int]]
    ) -> ObservedOffer | None:
        """The offer that a message is about; None for other messages and for repeated ones."""
        if kind in (None, "usage", "sampled", "draining", "renewed", "kept"):
            return None
        if m.body.number:
            number = (node, self.observed_incarnation.get(node, 0), life, m.body.number)
            if number in said:
                return None  # said again, as it was not acknowledged
            said.add(number)
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
        """A task runs at a node: whether another node runs it as well."""
        sort = self.classes.get(sent.task_class)
        if (
            sort is not None
            and sort["effect"] != "repeatable"
            and (sent.node, sent.id) not in self.running[sent.task]
        ):
            others = list(self.running[sent.task].values())
            self.counts.side_by_side += bool(others)
            self.counts.side_by_side_own += any(s.id[:2] == sent.id[:2] for s in others)
        self.running[sent.task][sent.node, sent.id] = sent

    def _tasks_requested(self, m: Message) -> None:
        self.tasks_requested_at[m.link, m.stream] = m.at

    def _tasks_sent(self, m: Message) -> None:
        """What runs at a node, said on a link that may be newer than the one by which it came."""
        node = int(m.to.split()[1])
        for task in m.body.tasks:
            sent = self.offers.get((node, attempt_key(task.id)))
            if sent is not None and task.running:
                self._check_duplicate_runs(sent)

    def _final_status(self, m: Message, sent: ObservedOffer, kind: str) -> None:
        if sent.final_status in ("refused", "error", "ended"):  # not "stopped": that is the planner's
            text = f"{kind} after {sent.final_status}: two last words on one attempt"
            self._breach(0, "attempts", text, m, sent.task, sent.node, [sent.message])
        sent.final_status = kind
        sent.ended_at = sent.ended_at or m.at
        self.counts.offers_refused += kind == "refused"
        self.counts.offers_errors += kind == "error"
        if kind == "refused" and not sent.running:
            sent.known_not_run = True
        for counted in self.counted.values():
            counted.pop((sent.node, sent.id), None)

    def _tasks_received(self, m: Message) -> None:
        """What a node holds of a planner's earlier lives counts for its present one."""
        node = int(m.to.split()[1])
        life = next((life for (link, _), (_, life) in self.offer_incarnation.items() if link == m.link), None)
        if life is None:
            return
        if m.body.complete:
            # Last words are kept until heard, and none was dropped: what came over a link that was cut and is
            # neither held nor told as over was never seen by the node.
            # The same holds for what is on no link that was cut, where its wait was over when this was asked:
            # the node had turned it down by then, or will when it comes.
            held = {attempt_key(task.id) for task in m.body.tasks}
            asked = self.tasks_requested_at.get((m.link, m.stream), 0)
            for (where, id), sent in self.offers.items():
                unheard = (sent.final_status == "cut" or asked >= sent.expires_at) and not (
                    sent.accepted or sent.running
                )
                if where == node and id[0] == life and unheard and id not in held:
                    sent.known_not_run = True
        self._ended_unheard(node, life, {attempt_key(task.id) for task in m.body.tasks})
        for task in m.body.tasks:
            id = attempt_key(task.id)
            # Also what this life sent over a link that was cut: it is known to be there again.
            self.counted[life].setdefault((node, id), (task.task.service, task.task.task_class))
            if task.running and id in self.member_of:
                key, member = self.member_of[id]
                group = self.groups[key]
                group.uncertain_since.pop(member, None)
                if member not in group.finished and member not in group.failed:
                    group.attempt_of[member] = id
                    group.running.setdefault(member, m.at)  # its own word of it may have been lost
                    self._weigh(group, m.at)
