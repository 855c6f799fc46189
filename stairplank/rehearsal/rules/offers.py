"""Rules 1 to 5 as far as they are checked at each offer: attempts, drains, cold nodes, spread."""

from __future__ import annotations

from typing import Any

from ..decode import Message
from .clients import ClientRules
from .observations import (
    CROSS_LINK_US,
    READY,
    TOLERANCE_US,
    ObservedOffer,
    ObservedPlacement,
    attempt_key,
)


class OfferRules(ClientRules):
    """Rules on what planners send to nodes."""

    def _offer_request(self, m: Message) -> None:
        kind = m.body.WhichOneof("kind")
        if kind == "hello":
            hello = m.body.hello
            self.offer_incarnation[m.link, m.stream] = (hello.planner, hello.life)
            self.newest_link[hello.life, int(m.to.split()[1])] = m.link
        elif kind == "offer":
            self._offer(m, m.body.offer)
        elif kind == "commit":
            for id in m.body.commit.ids:
                known = self.member_of.get(attempt_key(id))
                if known is None:
                    self._breach(6, "let run", "a task that is no group's member was let run", m)
                else:
                    self._member_committed(m, *known)
                    self.committed[attempt_key(id)] = (m.at + m.body.commit.lease_us, m)
        elif kind == "stop":
            id = attempt_key(m.body.stop.id)
            sent = self.offers.get((int(m.to.split()[1]), id))
            if sent is None:
                return
            # The planner stopped this attempt. A member that is not committed no longer starts, and the node
            # ends a running task. A lost message about that is not counted against the planner.
            for counted in self.spread_tasks.values():
                counted.pop((sent.node, sent.id), None)
            if sent.id in self.member_of:
                self._member_ended(m, sent, False)
            if sent.ended_at is None and (not sent.running or sent.id in self.member_of):
                sent.ended_at = m.at
                sent.final_status = sent.final_status or "stopped"

    def _offer_request_received(self, m: Message) -> None:
        """Note when an offer reached its node."""
        if m.body.WhichOneof("kind") == "offer":
            sent = self.offers.get((int(m.to.split()[1]), attempt_key(m.body.offer.id)))
            if sent is not None:
                sent.delivered_at = m.at

    def _offer(self, m: Message, offer: Any) -> None:
        self.counts.offers += 1
        planner, incarnation = self.offer_incarnation.get((m.link, m.stream), (-1, 0))
        node = int(m.to.split()[1])
        id = attempt_key(offer.id)
        task = (offer.task.owner, offer.task.key)
        sent = ObservedOffer(
            id, m, node, planner, m.at, m.at + offer.wait_us, offer.task.service, offer.task.task_class, task
        )
        if id[0] != incarnation:
            text = "an offer in the name of another life of the planner"
            self._breach(0, "attempts", text, m, task, node)
        if (node, id) in self.offers:
            self._breach(2, "one attempt", "the same attempt was offered twice", m, task, node)
            return
        record = self.records.get(id[:2])
        if record is None:
            record = self.records[id[:2]] = ObservedPlacement(
                id[0], id[1], task=task, task_class=sent.task_class
            )
        if offer.HasField("group"):
            self._member_offered(m, offer, sent)
        self._check_after_outcome(m, record, sent)
        self._check_repeated_offer(m, record, sent)
        self._check_drain(m, sent, incarnation)
        self._check_cold_node(m, sent)
        record.offers.append(sent)
        self.offers[node, id] = sent
        self.by_link[m.link].append(sent)
        if (m.link, False) in self.closed_ends:
            # The node's end had already closed, so the offer was not received. The planner is about to learn
            # of it.
            sent.ended_at, sent.final_status, sent.known_not_run = m.at, "cut", True
            return
        self._check_spread(m, sent, incarnation)

    def _check_after_outcome(self, m: Message, record: ObservedPlacement, sent: ObservedOffer) -> None:
        # Messages sent at once on two links may be read in either order.
        if record.outcome is not None and m.at > record.outcome.at + CROSS_LINK_US:
            text = f"offered after its outcome ({record.outcome_kind})"
            self._breach(1, "nothing after", text, m, sent.task, sent.node, [record.outcome])
        deadline = record.deadline
        if deadline is not None and m.at > deadline + self.facts["answer_slack_us"]:
            text = f"offered {(m.at - deadline) / 1e3:.1f} ms after its owner gave up"
            self._breach(1, "nothing after", text, m, sent.task, sent.node, [record.request])
        if len(record.offers) >= self.facts["max_attempts"]:
            text = f"attempt {len(record.offers) + 1} of at most {self.facts['max_attempts']}"
            self._breach(2, "attempts", text, m, sent.task, sent.node)

    def _check_repeated_offer(self, m: Message, record: ObservedPlacement, sent: ObservedOffer) -> None:
        """Check rule 2: one attempt in flight at a time, and a repeat only as the task's class allows.

        The class restricts a repeat after an attempt that may have run.
        """
        task_class = self.classes.get(sent.task_class)
        risk = None
        for earlier in record.offers:
            over = earlier.ended_at is not None or m.at >= earlier.expires_at - TOLERANCE_US
            if not over:
                text = (
                    f"offered to node {sent.node} while attempt {earlier.id[2]} is out at node {earlier.node}"
                )
                self._breach(2, "one attempt", text, m, sent.task, sent.node, [earlier.message])
            if not earlier.known_not_run and risk is None and not self._never_committed(earlier):
                risk = earlier
        if task_class is None or risk is None or task_class["effect"] == "repeatable":
            return
        if task_class["effect"] == "once":
            text = f"offered again though attempt {risk.id[2]} at node {risk.node} may have run"
            self._breach(2, "once", text, m, sent.task, sent.node, [risk.message])
            return
        if m.at > risk.sent_at + task_class["window_us"]:
            text = f"offered again {(m.at - risk.sent_at) / 1e6:.3f} s after an attempt that may have run"
            self._breach(2, "window", text, m, sent.task, sent.node, [risk.message])
        if self._place_name(task_class["scope"], sent.node) != self._place_name(
            task_class["scope"], risk.node
        ):
            text = (
                f"offered to node {sent.node}, outside the group of node {risk.node}, where it may have run"
            )
            self._breach(2, "group", text, m, sent.task, sent.node, [risk.message])

    def _never_committed(self, sent: ObservedOffer) -> bool:
        """Return whether the attempt is a group member that was never committed, so has not run."""
        known = self.member_of.get(sent.id)
        return known is not None and known[1] not in self.groups[known[0]].committed

    def _check_drain(self, m: Message, sent: ObservedOffer, incarnation: int) -> None:
        """Check rule 3: no offer to a node that has been draining or gone for longer than the grace."""
        grace = self.facts["drain_grace_us"]
        state, since, state_message = self.listed[sent.planner].get(sent.node, (READY, 0, m))
        if state != READY and m.at > since + grace:
            text = (
                f"offered {(m.at - since) / 1e3:.1f} ms after the list told that node {sent.node} is {state}"
            )
            self._breach(3, "list", text, m, sent.task, sent.node, [state_message])
        draining = self.draining_since.get((incarnation, sent.node))
        if draining is not None and m.at > draining[0] + grace:
            text = f"offered {(m.at - draining[0]) / 1e3:.1f} ms after node {sent.node} said that it drains"
            self._breach(3, "own word", text, m, sent.task, sent.node, [draining[1]])

    def _check_cold_node(self, m: Message, sent: ObservedOffer) -> None:
        """Check rule 4: the offers of all planners to a cold node within the overload window.

        A breach is reported once per node incarnation, and only where at least two thirds of the offers came
        from planners that had learned of the start.
        """
        started, began = self.node_incarnations.get(sent.node, (0, 0))
        facts = self.facts
        if not started or m.at - began >= facts["cold_us"]:
            return
        node_incarnation = (sent.node, started)
        recent = self.slow_start_offers[node_incarnation]
        recent.append((m.at, sent.planner, m))
        while recent and recent[0][0] < m.at - facts["fall_us"]:
            recent.popleft()
        progress = max(0, recent[0][0] - began) / max(1, facts["cold_us"])
        share = facts["cold_share"] + (1 - facts["cold_share"]) * progress
        rate = facts["starts_per_s"].get(str(sent.node), 0.0) * share
        limit = max(facts["fresh_offers"], facts["fall_multiple"] * rate * facts["fall_us"] / 1e6)
        notified_offers = sum(
            1 for _, planner, _ in recent if planner in self.notified_of_start[node_incarnation]
        )
        if (
            len(recent) > limit
            and notified_offers * 3 >= len(recent) * 2
            and node_incarnation not in self.crashed
        ):
            self.crashed.add(node_incarnation)
            span = facts["fall_us"] / 1e6
            text = f"{len(recent)} offers within {span:g} s to cold node {sent.node}, {limit:.1f} are borne"
            self._breach(4, "pushed over", text, m, sent.task, sent.node, [p[2] for p in list(recent)[:3]])

    def _check_spread(self, m: Message, sent: ObservedOffer, incarnation: int) -> None:
        """Check rule 5 over the planner incarnation's attempts in flight, placed tasks and adopted tasks."""
        task_class = self.classes.get(sent.task_class)
        self.spread_tasks[incarnation][sent.node, sent.id] = (sent.service, sent.task_class)
        if task_class is None or task_class["spread"] == "none":
            return
        place = self._place_name(task_class["spread"], sent.node)
        count = 0
        for (node, id), (service, _) in self.spread_tasks[incarnation].items():
            if service != sent.service or self._place_name(task_class["spread"], node) != place:
                continue
            other = self.offers.get((node, id))
            if (
                other is not None
                and other is not sent
                and not other.running
                and m.at >= other.expires_at - TOLERANCE_US
            ):
                continue  # the wait of this other offer has ended
            count += 1
        if count > task_class["spread_most"]:
            most = task_class["spread_most"]
            text = f"{count} of service {sent.service} in {task_class['spread']} {place}, at most {most}"
            self._breach(5, task_class["spread"], text, m, sent.task, sent.node)
