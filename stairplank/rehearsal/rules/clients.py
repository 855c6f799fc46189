"""Rule 1 on requests and their outcomes (one each, in time), and rule 2 on refusals."""

from __future__ import annotations

from typing import Any

from ...settings.parsers import duration
from ..decode import Message
from .groups import GroupRules
from .observations import (
    DEADLINE_EXCEEDED,
    PAUSE_WAKE_US,
    TOLERANCE_US,
    ObservedPlacement,
)


class ClientRules(GroupRules):
    """Rules on the messages between clients and planners."""

    def _place_request(self, m: Message) -> None:
        kind = m.body.WhichOneof("kind")
        if kind == "ask":
            self.counts.asks += 1
            ask = m.body.ask
            record = ObservedPlacement(
                0, 0, m, ask.wait_us, (ask.task.owner, ask.task.key), ask.task.task_class
            )
            self.requests[m.link, m.stream, ask.ask] = record
        elif kind == "ask_group":
            self.counts.groups += 1
            ask = m.body.ask_group
            first = ask.members[0] if ask.members else None
            name = (first.owner or "", first.key) if first is not None else ("", 0)
            self.requests[m.link, m.stream, ask.ask] = ObservedPlacement(
                0, 0, m, ask.wait_us, name, "(group)"
            )
        elif kind == "withdraw":
            found = self.requests.get((m.link, m.stream, m.body.withdraw.ask))
            if found is not None and found.released_at is None:
                found.released_at = m.at
                self.counts.withdrawn += 1

    def _place_request_received(self, m: Message) -> None:
        """Note when a request reached its planner."""
        kind = m.body.WhichOneof("kind")
        if kind in ("ask", "ask_group"):
            record = self.requests.get((m.link, m.stream, getattr(m.body, kind).ask))
            if record is not None:
                record.received_at = m.at

    def _place_event(self, m: Message) -> None:
        kind = m.body.WhichOneof("kind")
        if kind == "welcome":
            self.planner_incarnation[m.link, m.stream] = m.body.welcome.life
            return
        if kind in (None, "renewed"):
            return
        body = getattr(m.body, kind)
        record = self.requests.get((m.link, m.stream, body.ask))
        if kind == "found":
            self.counts.found += 1
            if record is not None and record.admitted is None:
                record.released_at = m.at  # not admitted, as its task is already running
            elif record is not None:
                record.recovered = True
            return
        if kind == "group_tried":
            self.counts.groups_tried += 1
        if kind in ("group_tried", "group_ended", "member_ended"):
            if record is not None and record.outcome_kind in ("group_refused", "group_failed"):
                text = f"{kind} after it was {record.outcome_kind}"
                self._breach(1, "one outcome", text, m, record.task, others=[record.outcome])
            return
        if kind == "ended":
            self.counts.finished += body.finished
            self.counts.lost += not body.finished
            self.timeline.append((m.at, "finished" if body.finished else "lost", ""))
            known = record is None or record.outcome_kind in ("placed", "") or record.recovered
            if not known and record is not None and record.released_at is None:
                text = f"told as ended after it was {record.outcome_kind}"
                self._breach(1, "one outcome", text, m, record.task, others=[record.outcome])
            return
        if record is None:
            self._breach(1, "one outcome", f"{kind} for an ask that was never made", m)
            return
        if kind == "rejected":
            self.counts.rejected += 1
            self.counts.stale_asks += body.code == DEADLINE_EXCEEDED
            if record.admitted is not None:
                text = "rejected after it was taken"
                self._breach(1, "one outcome", text, m, record.task, others=[record.admitted])
            del self.requests[m.link, m.stream, body.ask]
        elif kind == "taken":
            self._admitted(m, record, body.placing)
        elif kind in ("placed", "refused", "failed"):
            self._outcome(m, record, kind, body)
        elif kind in ("group_placed", "group_refused", "group_failed"):
            self._group_outcome(m, record, kind)

    def _admitted(self, m: Message, record: ObservedPlacement, placing: int) -> None:
        self.counts.taken += 1
        record.incarnation = self.planner_incarnation.get((m.link, m.stream), 0)
        record.placement, record.admitted = placing, m
        assert record.request is not None
        deadline = record.request.at + record.wait_us
        if record.has_age and record.received_at is not None and record.received_at > deadline + TOLERANCE_US:
            late = (record.received_at - deadline) / 1e3
            text = f"an ask that came {late:.1f} ms after its owner had given up was taken"
            self._breach(1, "stale", text, m, record.task, others=[record.request])
        early = self.records.get((record.incarnation, placing))
        if early is not None:
            if early.admitted is not None:
                self._breach(1, "one outcome", "two asks were taken as one placing", m, record.task)
            record.offers = early.offers  # the relay read these offers before the admission
        self.records[record.incarnation, placing] = record

    def _outcome(self, m: Message, record: ObservedPlacement, kind: str, body: Any) -> None:
        if not self._record_outcome(m, record, kind, kind, record.task_class):
            return
        if kind == "refused":
            self._check_refusal(m, record)
        if kind == "placed":
            self._check_binding(m, record, body)

    def _group_outcome(self, m: Message, record: ObservedPlacement, kind: str) -> None:
        """Check that a group has one outcome, in time."""
        self._record_outcome(m, record, kind, kind.replace("group_", "groups_"), "(group)")

    def _record_outcome(
        self, m: Message, record: ObservedPlacement, kind: str, counted: str, class_label: str
    ) -> bool:
        """Record an outcome and check it. Returns False where the request already had one."""
        setattr(self.counts, counted, getattr(self.counts, counted) + 1)
        self.timeline.append((m.at, kind.removeprefix("group_"), class_label))
        assert record.request is not None
        evidence = [record.request, record.outcome]
        if record.admitted is None:
            self._breach(1, "one outcome", f"{kind} before it was taken", m, record.task, others=evidence)
        if record.outcome is not None:
            text = f"{kind} after it was {record.outcome_kind}: two outcomes"
            self._breach(1, "one outcome", text, m, record.task, others=evidence)
            return False
        record.outcome, record.outcome_kind = m, kind
        late = m.at - self._answer_due_at(record)
        if late > self.facts["answer_slack_us"] and record.released_at is None:
            text = f"{kind} {late / 1e3:.1f} ms after its owner gave up"
            self._breach(1, "in time", text, m, record.task, others=evidence)
        return True

    def _answer_due_at(self, record: ObservedPlacement) -> int:
        """Return when an answer is due: at the owner's deadline, or after a planner pause that covers it.

        A paused planner cannot answer, so answers that fall due during its pause are due when it resumes.
        """
        assert record.request is not None and record.deadline is not None
        due = record.deadline
        for at, note in self.script:
            fields = note.split()
            if len(fields) < 5 or fields[0] != "planner" or fields[-2] != "for" or fields[-3] != "pause":
                continue
            end = at + duration(fields[-1])
            if record.request.to.split()[1] in fields[1:-3] and at <= due <= end:
                due = end + PAUSE_WAKE_US
        return due

    def _check_refusal(self, m: Message, record: ObservedPlacement) -> None:
        """Check rule 2: after a refusal, the client may safely send the same request again."""
        task_class = self.classes.get(record.task_class)
        if task_class is None or task_class["effect"] == "repeatable":
            return
        if task_class["effect"] == "keyed" and task_class["scope"] == "all":
            return
        for sent in record.offers:
            if not sent.known_not_run:
                text = f"refused though attempt {sent.id[2]} at node {sent.node} may have run"
                self._breach(2, "refusal", text, m, record.task, sent.node, [sent.message])
                return

    def _check_binding(self, m: Message, record: ObservedPlacement, body: Any) -> None:
        """Check that a binding follows an offer to the same node that the node has not refused."""
        for sent in record.offers:
            if sent.id[2] == body.attempt and sent.node == body.node:
                if sent.known_not_run:
                    text = f"bound to node {body.node}, which turned the offer down"
                    self._breach(1, "binding", text, m, record.task, body.node, [sent.message])
                return
        text = f"bound to node {body.node} though no such offer passed"
        self._breach(1, "binding", text, m, record.task, body.node)

    def _owner_stream_ended_near(self, at: int) -> bool:
        """Return whether an owner's stream ended within 1 s of ``at``, so that its "taken" may be lost."""
        return any(
            r.released_at is not None and abs(r.released_at - at) < 1_000_000 for r in self.requests.values()
        )
