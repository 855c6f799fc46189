"""Rules 2 to 5 at each offer: attempts, drains, cold nodes, spread."""

from __future__ import annotations

from typing import Any

from ..decode import Message
from .clients import ClientRules
from .observations import (
    ACROSS_US,
    READY,
    TOLERANCE_US,
    ObservedOffer,
    ObservedPlacement,
    attempt_key,
)


class OfferRules(ClientRules):
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
                    self._let_run(m, *known)
                    self.committed[attempt_key(id)] = (m.at + m.body.commit.lease_us, m)
        elif kind == "stop":
            id = attempt_key(m.body.stop.id)
            sent = self.offers.get((int(m.to.split()[1]), id))
            if sent is None:
                return
            # Called off. What is not let run does not begin any more, what runs is ended by the node; that
            # its word may be lost is no fault of the planner's.
            for counted in self.counted.values():
                counted.pop((sent.node, sent.id), None)
            if sent.id in self.member_of:
                self._member_ended(m, sent, False)
            if sent.ended_at is None and (not sent.running or sent.id in self.member_of):
                sent.ended_at = m.at
                sent.final_status = sent.final_status or "stopped"

    def _offer_heard(self, m: Message) -> None:
        """An offer has come through to its node."""
        if m.body.WhichOneof("kind") == "offer":
            sent = self.offers.get((int(m.to.split()[1]), attempt_key(m.body.offer.id)))
            if sent is not None:
                sent.delivered_at = m.at

    def _offer(self, m: Message, offer: Any) -> None:
        self.counts.offers += 1
        planner, life = self.offer_incarnation.get((m.link, m.stream), (-1, 0))
        node = int(m.to.split()[1])
        id = attempt_key(offer.id)
        task = (offer.task.owner, offer.task.key)
        sent = ObservedOffer(
            id, m, node, planner, m.at, m.at + offer.wait_us, offer.task.service, offer.task.task_class, task
        )
        if id[0] != life:
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
        self._after_outcome(m, record, sent)
        self._again(m, record, sent)
        self._drain(m, sent, life)
        self._cold(m, sent)
        record.offers.append(sent)
        self.offers[node, id] = sent
        self.by_link[m.link].append(sent)
        if (m.link, False) in self.closed_ends:
            # Its node's end had closed before: nobody saw it, and the planner is about to hear of that.
            sent.ended_at, sent.final_status, sent.known_not_run = m.at, "cut", True
            return
        self._spread(m, sent, life)

    def _after_outcome(self, m: Message, record: ObservedPlacement, sent: ObservedOffer) -> None:
        # Said at once on two links, the words may be read in either order.
        if record.outcome is not None and m.at > record.outcome.at + ACROSS_US:
            text = f"offered after its outcome ({record.outcome_kind})"
            self._breach(1, "nothing after", text, m, sent.task, sent.node, [record.outcome])
        deadline = record.deadline
        if deadline is not None and m.at > deadline + self.facts["answer_slack_us"]:
            text = f"offered {(m.at - deadline) / 1e3:.1f} ms after its owner gave up"
            self._breach(1, "nothing after", text, m, sent.task, sent.node, [record.request])
        if len(record.offers) >= self.facts["max_attempts"]:
            text = f"attempt {len(record.offers) + 1} of at most {self.facts['max_attempts']}"
            self._breach(2, "attempts", text, m, sent.task, sent.node)

    def _again(self, m: Message, record: ObservedPlacement, sent: ObservedOffer) -> None:
        """Rule 2: never two attempts out; after one that may have run only as the class allows."""
        sort = self.classes.get(sent.task_class)
        risk = None
        for earlier in record.offers:
            over = earlier.ended_at is not None or m.at >= earlier.expires_at - TOLERANCE_US
            if not over:
                text = (
                    f"offered to node {sent.node} while attempt {earlier.id[2]} is out at node {earlier.node}"
                )
                self._breach(2, "one attempt", text, m, sent.task, sent.node, [earlier.message])
            if not earlier.known_not_run and risk is None and not self._only_held(earlier):
                risk = earlier
        if sort is None or risk is None or sort["effect"] == "repeatable":
            return
        if sort["effect"] == "once":
            text = f"offered again though attempt {risk.id[2]} at node {risk.node} may have run"
            self._breach(2, "once", text, m, sent.task, sent.node, [risk.message])
            return
        if m.at > risk.sent_at + sort["window_us"]:
            text = f"offered again {(m.at - risk.sent_at) / 1e6:.3f} s after an attempt that may have run"
            self._breach(2, "window", text, m, sent.task, sent.node, [risk.message])
        if self._place_name(sort["scope"], sent.node) != self._place_name(sort["scope"], risk.node):
            text = (
                f"offered to node {sent.node}, outside the group of node {risk.node}, where it may have run"
            )
            self._breach(2, "group", text, m, sent.task, sent.node, [risk.message])

    def _only_held(self, sent: ObservedOffer) -> bool:
        """A member of a group that was never let run has not run."""
        known = self.member_of.get(sent.id)
        return known is not None and known[1] not in self.groups[known[0]].committed

    def _drain(self, m: Message, sent: ObservedOffer, life: int) -> None:
        """Rule 3."""
        grace = self.facts["drain_grace_us"]
        state, since, word = self.listed[sent.planner].get(sent.node, (READY, 0, m))
        if state != READY and m.at > since + grace:
            text = (
                f"offered {(m.at - since) / 1e3:.1f} ms after the list told that node {sent.node} is {state}"
            )
            self._breach(3, "list", text, m, sent.task, sent.node, [word])
        own = self.draining_since.get((life, sent.node))
        if own is not None and m.at > own[0] + grace:
            text = f"offered {(m.at - own[0]) / 1e3:.1f} ms after node {sent.node} said that it drains"
            self._breach(3, "own word", text, m, sent.task, sent.node, [own[1]])

    def _cold(self, m: Message, sent: ObservedOffer) -> None:
        """Rule 4: within any window, offers of all planners together."""
        started, began = self.node_incarnations.get(sent.node, (0, 0))
        facts = self.facts
        if not started or m.at - began >= facts["cold_us"]:
            return
        life = (sent.node, started)
        pushes = self.slow_start_offers[life]
        pushes.append((m.at, sent.planner, m))
        while pushes and pushes[0][0] < m.at - facts["fall_us"]:
            pushes.popleft()
        done = max(0, pushes[0][0] - began) / max(1, facts["cold_us"])
        pace = facts["cold_share"] + (1 - facts["cold_share"]) * done
        rate = facts["starts_per_s"].get(str(sent.node), 0.0) * pace
        borne = max(facts["fresh_offers"], facts["fall_multiple"] * rate * facts["fall_us"] / 1e6)
        told = sum(1 for _, planner, _ in pushes if planner in self.notified_of_start[life])
        if len(pushes) > borne and told * 3 >= len(pushes) * 2 and life not in self.crashed:
            self.crashed.add(life)
            span = facts["fall_us"] / 1e6
            text = f"{len(pushes)} offers within {span:g} s to cold node {sent.node}, {borne:.1f} are borne"
            self._breach(4, "pushed over", text, m, sent.task, sent.node, [p[2] for p in list(pushes)[:3]])

    def _spread(self, m: Message, sent: ObservedOffer, life: int) -> None:
        """Rule 5: attempts out, placed and adopted tasks of this life, this offer included."""
        sort = self.classes.get(sent.task_class)
        self.counted[life][sent.node, sent.id] = (sent.service, sent.task_class)
        if sort is None or sort["spread"] == "none":
            return
        place = self._place_name(sort["spread"], sent.node)
        count = 0
        for (node, id), (service, _) in self.counted[life].items():
            if service != sent.service or self._place_name(sort["spread"], node) != place:
                continue
            other = self.offers.get((node, id))
            if (
                other is not None
                and other is not sent
                and not other.running
                and m.at >= other.expires_at - TOLERANCE_US
            ):
                continue  # its time-out has passed
            count += 1
        if count > sort["spread_most"]:
            most = sort["spread_most"]
            text = f"{count} of service {sent.service} in {sort['spread']} {place}, at most {most}"
            self._breach(5, sort["spread"], text, m, sent.task, sent.node)
