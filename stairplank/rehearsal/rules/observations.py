"""What the checker keeps of a capture: offers, placings, groups, lives; and how a breach is noted."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ...proto import common_pb2, directory_pb2, node_pb2
from ..decode import Message

TOLERANCE_US = 250_000
GROUP_PARTLY_US = 2_000_000
PAUSE_OVER_US = 100_000  # a planner that was stood still is given so long to wake
ACROSS_US = 100_000  # what a planner says at once on two links may be read so far apart
READY, DRAINING, GONE = "ready", "draining", "gone"
STATES = {
    directory_pb2.NodeEntry.STATE_READY: READY,
    directory_pb2.NodeEntry.STATE_DRAINING: DRAINING,
    directory_pb2.NodeEntry.STATE_GONE: GONE,
}

DEADLINE_EXCEEDED = 4  # the status code of gRPC
TOO_LATE = common_pb2.REASON_TOO_LATE
FINISHED = node_pb2.OfferEvent.Ended.HOW_FINISHED
AttemptKey = tuple[int, int, int]  # life, placing, attempt


@dataclass(frozen=True)
class Breach:
    """One broken clause with what shows it."""

    rule: int  # 1 to 5; 0: the record itself does not add up
    clause: str
    text: str
    at: int
    task: str = ""
    node: int | None = None
    evidence: tuple[str, ...] = ()


@dataclass
class ObservedOffer:
    """One offer as it passed the relays."""

    id: AttemptKey
    message: Message
    node: int
    planner: int
    sent_at: int
    expires_at: int  # by the time-out that it stated
    service: int
    task_class: str
    task: tuple[str, int]
    ended_at: int | None = None  # the node's last word, a stop, or the end of its link
    known_not_run: bool = False  # the node said that it never ran
    accepted: bool = False
    running: bool = False
    final_status: str = ""
    delivered_at: int | None = None  # when it was handed on to its node


@dataclass
class ObservedPlacement:
    """One placement: from the request to its outcome."""

    incarnation: int
    placement: int
    request: Message | None = None
    wait_us: int = 0
    task: tuple[str, int] = ("", 0)
    task_class: str = ""
    admitted: Message | None = None
    outcome: Message | None = None
    outcome_kind: str = ""
    recovered: bool = False  # told as found after its outcome
    released_at: int | None = None  # withdrawn, or its owner's stream ended
    received_at: int | None = None  # when it reached the planner
    offers: list[ObservedOffer] = field(default_factory=list)

    @property
    def has_age(self) -> bool:
        """Whether the request carries its age; else its wait counts from its arrival."""
        return self.request is not None and getattr(
            self.request.body, self.request.body.WhichOneof("kind")
        ).HasField("sent")

    @property
    def deadline(self) -> int | None:
        if self.request is None:
            return None
        since = self.request.at if self.has_age or self.received_at is None else self.received_at
        return since + self.wait_us


@dataclass
class ObservedGroup:
    """One attempt to place a group, as nodes were notified of it."""

    key: tuple[int, int]
    size: int
    offered: set[int] = field(default_factory=set)
    committed: set[int] = field(default_factory=set)
    running: dict[int, int] = field(default_factory=dict)  # member: since when
    finished: set[int] = field(default_factory=set)
    failed: set[int] = field(default_factory=set)  # ran, and ended otherwise
    uncertain_since: dict[int, int] = field(
        default_factory=dict
    )  # ran when the link to its node was cut, then
    attempt_of: dict[int, AttemptKey] = field(default_factory=dict)  # the one by which a member runs
    last_running_at: int = 0  # when a member was last known to run
    partial_since: int | None = None
    evidence: Message | None = None


@dataclass
class Counts:
    """What the capture shows, counted."""

    asks: int = 0
    taken: int = 0
    rejected: int = 0
    placed: int = 0
    refused: int = 0
    failed: int = 0
    found: int = 0
    finished: int = 0
    lost: int = 0
    withdrawn: int = 0
    offers: int = 0
    offers_refused: int = 0
    offers_errors: int = 0
    offers_silent: int = 0
    groups: int = 0
    groups_placed: int = 0
    groups_refused: int = 0
    groups_failed: int = 0
    groups_tried: int = 0
    side_by_side: int = 0  # copies of a task that must not run twice, running at once
    side_by_side_own: int = 0  # of those, by attempts of one placing: no owner asked twice
    stale_refused: int = 0  # offers that came too late and were turned down for it
    stale_asks: int = 0
    fresh_refused: int = 0  # offers turned down as too late while their wait was not over
    messages: int = 0


def task_name(task: tuple[str, int]) -> str:
    return f"{task[0]}/{task[1]}"


class Observations:
    """Tables that the rules share."""

    def __init__(self, facts: dict[str, Any]) -> None:
        self.facts = facts
        self.classes = {c["name"]: c for c in facts["classes"]}
        self.script: list[tuple[int, str]] = []  # what the script did, as the capture tells it
        self.breaches: list[Breach] = []
        self.counts = Counts()
        self.first_at = 0
        self.last_at = 0
        self.records: dict[tuple[int, int], ObservedPlacement] = {}
        self.requests: dict[tuple[int, int, int], ObservedPlacement] = {}  # link, stream, ask
        self.planner_incarnation: dict[tuple[int, int], int] = {}
        self.offer_incarnation: dict[tuple[int, int], tuple[int, int]] = {}  # planner and life
        self.newest_link: dict[tuple[int, int], int] = {}  # life and node: the link of its newest stream
        self.ended_links: set[int] = set()
        self.closed_ends: set[tuple[int, bool]] = set()  # link, and whether it was the dialling end
        self.tasks_requested_at: dict[tuple[int, int], int] = {}  # when, by link and stream
        self.committed: dict[AttemptKey, tuple[int, Message]] = {}  # until when the last commit counts
        self.offers: dict[tuple[int, AttemptKey], ObservedOffer] = {}  # by node
        self.by_link: dict[int, list[ObservedOffer]] = defaultdict(list)
        self.list_watcher: dict[tuple[int, int], int] = {}
        self.listed: dict[int, dict[int, tuple[str, int, Message]]] = defaultdict(dict)
        self.draining_since: dict[tuple[int, int], tuple[int, Message]] = {}  # life, node: draining since
        self.place_of: dict[int, tuple[str, str]] = {}  # zone and rack
        self.node_incarnations: dict[int, tuple[int, int]] = {}  # node: its life, and when it began here
        self.notified_of_start: dict[tuple[int, int], set[int]] = defaultdict(
            set
        )  # node, life: planners told
        self.slow_start_offers: dict[tuple[int, int], deque[tuple[int, int, Message]]] = defaultdict(deque)
        self.crashed: set[tuple[int, int]] = set()
        self.counted: dict[int, dict[tuple[int, AttemptKey], tuple[int, str]]] = defaultdict(
            dict
        )  # life: what counts
        self.running: dict[tuple[str, int], dict[tuple[int, AttemptKey], ObservedOffer]] = defaultdict(dict)
        self.groups: dict[tuple[int, int], ObservedGroup] = {}  # life and number of a try
        self.received_numbers: set[tuple[int, int, int, int]] = set()  # numbered words, as they were heard
        self.sent_numbers: set[tuple[int, int, int, int]] = set()  # and as they were said
        self.possible_duplicates: list[tuple[Message, ObservedOffer, ObservedOffer]] = []
        self.observed_incarnation: dict[int, int] = {}
        self.partial_groups: dict[tuple[int, int], ObservedGroup] = {}
        self.member_of: dict[AttemptKey, tuple[tuple[int, int], int]] = {}
        self.members_in_flight: dict[tuple[str, int], ObservedOffer] = {}
        self.timeline: list[tuple[int, str, str]] = []  # at, what, class

    def _breach(
        self,
        rule: int,
        clause: str,
        text: str,
        message: Message,
        task: tuple[str, int] | None = None,
        node: int | None = None,
        others: Iterable[Message | None] = (),
    ) -> None:
        shown = [m for m in others if m is not None] + [message]
        evidence = tuple(f"{(m.at - self.first_at) / 1e6:.6f}s {m.where()}" for m in shown)
        name = task_name(task) if task else ""
        self.breaches.append(Breach(rule, clause, text, message.at, name, node, evidence))

    def _place_name(self, scope: str, node: int) -> object:
        zone, rack = self.place_of.get(node, ("", f"?{node}"))
        return {"node": node, "group": rack, "zone": zone, "all": "", "none": ""}[scope]


def attempt_key(id: Any) -> AttemptKey:
    return (id.life, id.placing, id.attempt)
