"""The operator's side: publishes a text at the replicas, and asks which revision is in force where."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent

from ..proto import configuration_pb2 as pb
from ..proto import method_path
from ..rpc import Channel, Limits, RpcError
from . import publication
from .convert import SERVICE, revision_from, revision_to, stored_to
from .publication import Answer, Outcome, Seen
from .revision import TEXT_MOST, Revision, revision_of
from .store import Stored

CALL_S = 5.0
_ANSWERS = {
    pb.PublicationResponse.RESULT_ACCEPTED: Answer.ACCEPTED,
    pb.PublicationResponse.RESULT_CONFLICT: Answer.CONFLICT,
    pb.PublicationResponse.RESULT_INVALID: Answer.INVALID,
}


@dataclass(frozen=True, slots=True)
class Published:
    """What became of a publication."""

    outcome: Outcome
    revision: Revision
    problems: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlannerLine:
    """A planner's process as the replica that heard it last has it."""

    planner: int
    life: int
    in_force: Revision
    rejected: Revision
    reason: str
    delay_us: int | None
    connected: bool
    report_age_us: int


@dataclass(frozen=True, slots=True)
class SiteStatus:
    """The newest committed revision, and all planners that any replica knows."""

    committed: Revision
    planners: tuple[PlannerLine, ...]
    unreachable: tuple[str, ...]

    def in_force_everywhere(self, planners: int) -> bool:
        """Whether at least so many planners are connected, and each of them has the committed revision."""
        connected = [one for one in self.planners if one.connected]
        numbers = {one.planner for one in connected}
        return len(numbers) >= planners and all(one.in_force == self.committed for one in connected)


def _unary(replica: str, method: str, request: Any, answer: Any, timeout_s: float) -> Any:
    channel = Channel(replica, Limits(max_message_bytes=2 * TEXT_MOST), timeout_s)
    try:
        return channel.unary(method_path(SERVICE, method), request, answer.FromString, timeout_s=timeout_s)
    finally:
        channel.close()


def _from_each(replicas: tuple[str, ...], ask: Callable[[str], Any]) -> list[Any]:
    """Each replica's answer, None for one that cannot be reached."""

    def one(replica: str) -> Any:
        try:
            return ask(replica)
        except RpcError:
            return None

    asked = [gevent.spawn(one, replica) for replica in replicas]
    gevent.joinall(asked)
    return [one.value for one in asked]


def publish(
    replicas: tuple[str, ...], text: str, timeout_s: float = CALL_S, base: int | None = None
) -> Published:
    """Publish the text as the next revision. ``base``: fail where another than this number is committed."""
    count = len(replicas)
    states = _from_each(
        replicas, lambda replica: _unary(replica, "Status", pb.StatusRequest(), pb.StatusResponse, timeout_s)
    )
    unreachable = tuple(r for r, state in zip(replicas, states, strict=True) if state is None)
    seen = [Seen(revision_from(s.committed), s.highest_number) for s in states if s is not None]
    number = publication.next_number(count, seen)
    committed = publication.committed_of(seen)
    if number is None:
        return Published(Outcome.NO_QUORUM, committed, (), unreachable)
    # Danger: two operators who both started from the same text would each undo the other's change.
    if base is not None and base != committed.number:
        return Published(Outcome.CONFLICT, committed, (f"{committed.number} is committed, not {base}",))
    revision = revision_of(number, text)
    proposal = pb.PrepareRequest(proposal=stored_to(Stored(revision, text)))
    prepared = _from_each(
        replicas, lambda replica: _unary(replica, "Prepare", proposal, pb.PublicationResponse, timeout_s)
    )
    failed = publication.after_prepare(count, [_answer(one) for one in prepared])
    problems = next((tuple(one.problems) for one in prepared if one is not None and one.problems), ())
    if failed is not None:
        return Published(failed, revision, problems, unreachable)
    request = pb.CommitRequest(revision=revision_to(revision))
    answers = _from_each(
        replicas, lambda replica: _unary(replica, "Commit", request, pb.PublicationResponse, timeout_s)
    )
    outcome = publication.after_commit(count, [_answer(one) for one in answers])
    return Published(outcome, revision, (), unreachable)


def _answer(response: Any) -> Answer:
    return Answer.UNREACHABLE if response is None else _ANSWERS.get(response.result, Answer.CONFLICT)


def site_status(replicas: tuple[str, ...], timeout_s: float = CALL_S) -> SiteStatus:
    """Ask every replica; of a planner the freshest report counts."""
    found = _from_each(
        replicas, lambda replica: _unary(replica, "Status", pb.StatusRequest(), pb.StatusResponse, timeout_s)
    )
    planners: dict[tuple[int, int], PlannerLine] = {}
    for line in (_line(one) for status in found if status is not None for one in status.planners):
        known = planners.get((line.planner, line.life))
        if known is None or (line.connected, -line.report_age_us) > (known.connected, -known.report_age_us):
            planners[line.planner, line.life] = line
    committed = [revision_from(status.committed) for status in found if status is not None]
    unreachable = tuple(r for r, status in zip(replicas, found, strict=True) if status is None)
    lines = tuple(planners[key] for key in sorted(planners))
    return SiteStatus(max(committed, default=Revision()), lines, unreachable)


def _line(message: Any) -> PlannerLine:
    return PlannerLine(
        planner=message.planner,
        life=message.life,
        in_force=revision_from(message.in_force),
        rejected=revision_from(message.rejected),
        reason=message.reason,
        delay_us=message.delay_us if message.HasField("delay_us") else None,
        connected=message.connected,
        report_age_us=message.report_age_us,
    )
