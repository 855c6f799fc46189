"""Groups whole or not at all: members at nodes, and how long a group runs partly."""

from __future__ import annotations

from typing import Any

from ..decode import Message
from .observations import (
    GROUP_PARTLY_US,
    AttemptKey,
    Observations,
    ObservedGroup,
    ObservedOffer,
)


class GroupRules(Observations):
    def _member_offered(self, m: Message, offer: Any, sent: ObservedOffer) -> None:
        tag = offer.group
        key = (tag.life, tag.group)
        group = self.groups.setdefault(key, ObservedGroup(key, tag.size))
        group.offered.add(tag.member)
        for former in (group.failed, group.finished, group.committed):
            former.discard(tag.member)  # of the try before
        self.member_of[sent.id] = (key, tag.member)
        earlier = self.members_in_flight.get(sent.task)
        if earlier is not None and earlier.ended_at is None and not earlier.known_not_run:
            self.possible_duplicates.append(
                (m, sent, earlier)
            )  # its stop may come right behind, on another link
        self.members_in_flight[sent.task] = sent

    def _member_runs(self, m: Message, sent: ObservedOffer) -> None:
        key, member = self.member_of[sent.id]
        group = self.groups[key]
        group.running[member] = m.at
        group.attempt_of[member] = sent.id
        group.evidence = m
        self._weigh(group, m.at)

    def _member_ended(self, m: Message, sent: ObservedOffer, finished: bool) -> None:
        key, member = self.member_of[sent.id]
        group = self.groups[key]
        if group.attempt_of.get(member, sent.id) != sent.id:
            return  # a late word on an attempt that was given up: the member runs by another
        group.last_running_at = m.at if group.running else group.last_running_at
        cut = group.uncertain_since.pop(member, None)
        if group.running.pop(member, None) is not None or cut is not None:
            (group.finished if finished else group.failed).add(member)
            group.evidence = m
            self._weigh(group, m.at)

    def _weigh(self, group: ObservedGroup, at: int) -> None:
        """Partly running: some members run, and fewer than make it whole run or have run to their end."""
        alive = len(group.running) + len(group.finished) + len(group.uncertain_since)
        partly = bool(group.running) and alive < group.size
        if partly and group.partial_since is None:
            group.partial_since = at
            self.partial_groups[group.key] = group
        elif not partly:
            group.partial_since = None
            self.partial_groups.pop(group.key, None)

    def _partly(self, now: int) -> None:
        for (life, number), group in list(self.partial_groups.items()):
            since = group.partial_since
            if since is None or now - since <= GROUP_PARTLY_US or group.evidence is None:
                continue
            del self.partial_groups[life, number]
            alive = len(group.running) + len(group.finished)
            text = f"group {number} of life {life}: {alive} of {group.size} members for over 2 s"
            self._breach(6, "partly running", text, group.evidence)

    def _let_run(self, m: Message, key: tuple[int, int], member: int) -> None:
        group = self.groups[key]
        group.committed.add(member)
        if len(group.offered) < group.size:
            text = f"let run with {len(group.offered)} of {group.size} members offered"
            self._breach(6, "let run", text, m)

    def _new_life(self, m: Message, node: int, started: int) -> None:
        """Members that ran in an earlier life of a node are gone with it."""
        if self.observed_incarnation.get(node) != started:
            self.observed_incarnation[node] = started
            for (where, _), sent in list(self.offers.items()):
                if where != node or sent.id not in self.member_of:
                    continue
                key, member = self.member_of[sent.id]
                group = self.groups[key]
                cut = group.uncertain_since.get(member)
                if cut is None:
                    continue
                # It died with its node, at the latest when the link broke: so long the others ran without it.
                until = m.at if group.running else group.last_running_at
                self._member_ended(m, sent, False)
                if until - cut > GROUP_PARTLY_US:
                    self.partial_groups.pop(key, None)
                    ran = (until - cut) / 1e6
                    text = f"group {key[1]} of life {key[0]} ran {ran:.1f} s without a lost member"
                    self._breach(6, "partly running", text, m, sent.task, node, [sent.message])

    def _members_cut(self, node: int, life: int, m: Message) -> None:
        for key, group in self.groups.items():
            if key[0] != life:
                continue
            for (where, id), sent in self.offers.items():
                known = self.member_of.get(id)
                if where != node or known is None or known[0] != key or known[1] not in group.running:
                    continue
                group.last_running_at = m.at
                del group.running[known[1]]
                group.uncertain_since[known[1]] = m.at
                group.evidence = sent.message
            self._weigh(group, m.at)

    def _ended_unheard(self, node: int, life: int, held: set[AttemptKey]) -> None:
        """Members of a dead life's group that ended here while nobody was there to be told how."""
        for (dead, _), group in self.groups.items():
            if dead == life:
                continue
            for member in list(group.uncertain_since):
                id = group.attempt_of.get(member)
                if id is not None and id not in held and (node, id) in self.offers:
                    del group.uncertain_since[member]
                    group.finished.add(member)
