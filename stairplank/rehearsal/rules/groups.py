"""Rule 6: a group runs with all its members or not at all; it may be partial for ``MAX_PARTIAL_US``."""

from __future__ import annotations

from typing import Any

from ..decode import Message
from .observations import (
    MAX_PARTIAL_US,
    AttemptKey,
    Observations,
    ObservedGroup,
    ObservedOffer,
)


class GroupRules(Observations):
    """Rules on all-or-nothing groups."""

    def _member_offered(self, m: Message, offer: Any, sent: ObservedOffer) -> None:
        tag = offer.group
        key = (tag.life, tag.group)
        group = self.groups.setdefault(key, ObservedGroup(key, tag.size))
        group.offered.add(tag.member)
        for former in (group.failed, group.finished, group.committed):
            former.discard(tag.member)  # recorded for an earlier attempt of this member
        self.member_of[sent.id] = (key, tag.member)
        earlier = self.members_in_flight.get(sent.task)
        if earlier is not None and earlier.ended_at is None and not earlier.known_not_run:
            # The stop of the earlier attempt may follow at once on another link, so ``end`` decides.
            self.possible_duplicates.append((m, sent, earlier))
        self.members_in_flight[sent.task] = sent

    def _member_runs(self, m: Message, sent: ObservedOffer) -> None:
        key, member = self.member_of[sent.id]
        group = self.groups[key]
        group.running[member] = m.at
        group.attempt_of[member] = sent.id
        group.evidence = m
        self._update_partial_since(group, m.at)

    def _member_ended(self, m: Message, sent: ObservedOffer, finished: bool) -> None:
        key, member = self.member_of[sent.id]
        group = self.groups[key]
        if group.attempt_of.get(member, sent.id) != sent.id:
            return  # a late message on an abandoned attempt: the member runs by another one
        group.last_running_at = m.at if group.running else group.last_running_at
        uncertain_since = group.uncertain_since.pop(member, None)
        if group.running.pop(member, None) is not None or uncertain_since is not None:
            (group.finished if finished else group.failed).add(member)
            group.evidence = m
            self._update_partial_since(group, m.at)

    def _update_partial_since(self, group: ObservedGroup, at: int) -> None:
        """Note since when the group is partial: a member runs, but not every member runs or has finished."""
        alive = len(group.running) + len(group.finished) + len(group.uncertain_since)
        partly = bool(group.running) and alive < group.size
        if partly and group.partial_since is None:
            group.partial_since = at
            self.partial_groups[group.key] = group
        elif not partly:
            group.partial_since = None
            self.partial_groups.pop(group.key, None)

    def _check_partial_groups(self, now: int) -> None:
        """Report each group that has been partial for longer than ``MAX_PARTIAL_US``."""
        for (incarnation, number), group in list(self.partial_groups.items()):
            since = group.partial_since
            if since is None or now - since <= MAX_PARTIAL_US or group.evidence is None:
                continue
            del self.partial_groups[incarnation, number]
            alive = len(group.running) + len(group.finished)
            text = f"group {number} of life {incarnation}: {alive} of {group.size} members for over 2 s"
            self._breach(6, "partly running", text, group.evidence)

    def _member_committed(self, m: Message, key: tuple[int, int], member: int) -> None:
        group = self.groups[key]
        group.committed.add(member)
        if len(group.offered) < group.size:
            text = f"let run with {len(group.offered)} of {group.size} members offered"
            self._breach(6, "let run", text, m)

    def _node_welcomed(self, m: Message, node: int, started: int) -> None:
        """Handle a node's welcome: members that ran in the node's previous incarnation have ended."""
        if self.observed_incarnation.get(node) != started:
            self.observed_incarnation[node] = started
            for (offered_node, _), sent in list(self.offers.items()):
                if offered_node != node or sent.id not in self.member_of:
                    continue
                key, member = self.member_of[sent.id]
                group = self.groups[key]
                uncertain_since = group.uncertain_since.get(member)
                if uncertain_since is None:
                    continue
                # The member ended with its node, no later than the link broke; since then the other members
                # ran without it.
                until = m.at if group.running else group.last_running_at
                self._member_ended(m, sent, False)
                if until - uncertain_since > MAX_PARTIAL_US:
                    self.partial_groups.pop(key, None)
                    ran = (until - uncertain_since) / 1e6
                    text = f"group {key[1]} of life {key[0]} ran {ran:.1f} s without a lost member"
                    self._breach(6, "partly running", text, m, sent.task, node, [sent.message])

    def _mark_members_uncertain(self, node: int, incarnation: int, m: Message) -> None:
        """Move a planner incarnation's members at a node, whose link was cut, from running to uncertain."""
        for key, group in self.groups.items():
            if key[0] != incarnation:
                continue
            for (offered_node, id), sent in self.offers.items():
                known = self.member_of.get(id)
                if offered_node != node or known is None or known[0] != key or known[1] not in group.running:
                    continue
                group.last_running_at = m.at
                del group.running[known[1]]
                group.uncertain_since[known[1]] = m.at
                group.evidence = sent.message
            self._update_partial_since(group, m.at)

    def _members_ended_unobserved(self, node: int, incarnation: int, held: set[AttemptKey]) -> None:
        """Count as finished the members of earlier incarnations that ended while no planner was connected."""
        for (group_incarnation, _), group in self.groups.items():
            if group_incarnation == incarnation:
                continue
            for member in list(group.uncertain_since):
                id = group.attempt_of.get(member)
                if id is not None and id not in held and (node, id) in self.offers:
                    del group.uncertain_since[member]
                    group.finished.add(member)
