"""The state that the rules share: observed offers, placements, groups and incarnations, and the breaches."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ...proto import common_pb2, directory_pb2, node_pb2
from ..decode import Message

TOLERANCE_US = 250_000
MAX_PARTIAL_US = 2_000_000
PAUSE_WAKE_US = 100_000  # time that a paused planner is allowed for resuming
CROSS_LINK_US = 100_000  # most time between the relay's reads of messages sent at once on two links
READY, DRAINING, GONE = "ready", "draining", "gone"
STATES = {
    directory_pb2.NodeEntry.STATE_READY: READY,
    directory_pb2.NodeEntry.STATE_DRAINING: DRAINING,
    directory_pb2.NodeEntry.STATE_GONE: GONE,
}

DEADLINE_EXCEEDED = 4  # gRPC status code
TOO_LATE = common_pb2.REASON_TOO_LATE
FINISHED = node_pb2.OfferEvent.Ended.HOW_FINISHED
AttemptKey = tuple[int, int, int]  # planner incarnation, placement, attempt


@dataclass(frozen=True)
class Breach:
    """A clause that was broken, with the messages that show it."""

    rule: int  # number of the rule; 0 where the capture contradicts itself
    clause: str
    text: str
    at: int
    task: str = ""
    node: int | None = None
    evidence: tuple[str, ...] = ()


@dataclass
class ObservedOffer:
    """An offer as the relays recorded it."""

    id: AttemptKey
    message: Message
    node: int
    planner: int
    sent_at: int
    expires_at: int  # from the wait that the offer stated
    service: int
    task_class: str
    task: tuple[str, int]
    ended_at: int | None = None  # time of the final status, of a stop, or of the end of its link
    known_not_run: bool = False  # whether the attempt is known never to have run
    accepted: bool = False
    running: bool = False
    final_status: str = ""
    delivered_at: int | None = None  # when it was forwarded to its node


@dataclass
class ObservedPlacement:
    """A placement from its request to its outcome."""

    incarnation: int
    placement: int
    request: Message | None = None
    wait_us: int = 0
    task: tuple[str, int] = ("", 0)
    task_class: str = ""
    admitted: Message | None = None
    outcome: Message | None = None
    outcome_kind: str = ""
    recovered: bool = False  # reported as found after it was admitted
    released_at: int | None = None  # when it was withdrawn or its owner's stream ended
    received_at: int | None = None  # when it reached the planner
    offers: list[ObservedOffer] = field(default_factory=list)

    @property
    def has_age(self) -> bool:
        """Return whether the request carries its age; otherwise its wait counts from its arrival."""
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
    """An attempt to place a group, as seen in the messages to and from nodes."""

    key: tuple[int, int]
    size: int
    offered: set[int] = field(default_factory=set)
    committed: set[int] = field(default_factory=set)
    running: dict[int, int] = field(default_factory=dict)  # start time by member
    finished: set[int] = field(default_factory=set)
    failed: set[int] = field(default_factory=set)  # members that ran and ended without finishing
    # By member: when the link to its node was cut while the member ran.
    uncertain_since: dict[int, int] = field(default_factory=dict)
    attempt_of: dict[int, AttemptKey] = field(default_factory=dict)  # the attempt by which each member runs
    last_running_at: int = 0  # when a member was last known to run
    partial_since: int | None = None
    evidence: Message | None = None


@dataclass
class Counts:
    """Totals over the messages of a capture."""

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
    side_by_side: int = 0  # second copies, running at the same time, of tasks that must not run twice
    side_by_side_own: int = 0  # such copies from attempts of one placement, without a second request
    stale_refused: int = 0  # offers that nodes refused as too late
    stale_asks: int = 0
    fresh_refused: int = 0  # offers refused as too late before their wait had ended
    messages: int = 0


def task_name(task: tuple[str, int]) -> str:
    return f"{task[0]}/{task[1]}"


class Observations:
    """Tables that the rules share, filled as messages are read."""

    def __init__(self, facts: dict[str, Any]) -> None:
        self.facts = facts
        self.classes = {c["name"]: c for c in facts["classes"]}
        self.script: list[tuple[int, str]] = []  # the scenario's actions and their times, from the capture
        self.breaches: list[Breach] = []
        self.counts = Counts()
        self.first_at = 0
        self.last_at = 0
        self.records: dict[tuple[int, int], ObservedPlacement] = {}
        self.requests: dict[
            tuple[int, int, int], ObservedPlacement
        ] = {}  # by link, stream and request number
        self.planner_incarnation: dict[tuple[int, int], int] = {}
        self.offer_incarnation: dict[tuple[int, int], tuple[int, int]] = {}  # planner and its incarnation
        self.newest_link: dict[
            tuple[int, int], int
        ] = {}  # by incarnation and node: the link of the newest stream
        self.ended_links: set[int] = set()
        self.closed_ends: set[tuple[int, bool]] = set()  # link, and whether the dialling end closed
        self.tasks_requested_at: dict[
            tuple[int, int], int
        ] = {}  # request time of a task list, by link and stream
        self.committed: dict[AttemptKey, tuple[int, Message]] = {}  # when the last commit expires
        self.offers: dict[tuple[int, AttemptKey], ObservedOffer] = {}  # by node
        self.by_link: dict[int, list[ObservedOffer]] = defaultdict(list)
        self.list_watcher: dict[tuple[int, int], int] = {}
        self.listed: dict[int, dict[int, tuple[str, int, Message]]] = defaultdict(dict)
        self.draining_since: dict[
            tuple[int, int], tuple[int, Message]
        ] = {}  # by incarnation and node: since when it drains
        self.place_of: dict[int, tuple[str, str]] = {}  # zone and rack by node
        self.node_incarnations: dict[
            int, tuple[int, int]
        ] = {}  # by node: its incarnation, and the capture time at which that started
        # By node and its incarnation: the planners that have learned of the start.
        self.notified_of_start: dict[tuple[int, int], set[int]] = defaultdict(set)
        self.slow_start_offers: dict[tuple[int, int], deque[tuple[int, int, Message]]] = defaultdict(deque)
        self.crashed: set[tuple[int, int]] = set()
        # By planner incarnation: the tasks that count towards spread limits, each with its service and class.
        self.spread_tasks: dict[int, dict[tuple[int, AttemptKey], tuple[int, str]]] = defaultdict(dict)
        self.running: dict[tuple[str, int], dict[tuple[int, AttemptKey], ObservedOffer]] = defaultdict(dict)
        self.groups: dict[tuple[int, int], ObservedGroup] = {}  # by planner incarnation and group number
        self.received_numbers: set[tuple[int, int, int, int]] = set()  # numbered messages that were received
        self.sent_numbers: set[tuple[int, int, int, int]] = set()  # numbered messages that were sent
        self.possible_duplicates: list[tuple[Message, ObservedOffer, ObservedOffer]] = []
        self.observed_incarnation: dict[int, int] = {}
        self.partial_groups: dict[tuple[int, int], ObservedGroup] = {}
        self.member_of: dict[AttemptKey, tuple[tuple[int, int], int]] = {}
        self.members_in_flight: dict[tuple[str, int], ObservedOffer] = {}
        self.timeline: list[tuple[int, str, str]] = []  # time, outcome, class

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
        messages = [m for m in others if m is not None] + [message]
        evidence = tuple(f"{(m.at - self.first_at) / 1e6:.6f}s {m.where()}" for m in messages)
        name = task_name(task) if task else ""
        self.breaches.append(Breach(rule, clause, text, message.at, name, node, evidence))

    def _place_name(self, scope: str, node: int) -> object:
        zone, rack = self.place_of.get(node, ("", f"?{node}"))
        return {"node": node, "group": rack, "zone": zone, "all": "", "none": ""}[scope]


def attempt_key(id: Any) -> AttemptKey:
    return (id.life, id.placing, id.attempt)
