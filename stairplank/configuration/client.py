"""The operator's side: publishes a text at the replicas, and asks which revision is in force where."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent

from ..proto import configuration_pb2 as pb
from ..proto import path
from ..rpc import Channel, Limits, RpcError
from . import publication
from .convert import SERVICE, revision_from_message, revision_text_to_message, revision_to_message
from .publication import PhaseAnswer, PublicationOutcome, ReplicaNumbers
from .revision import MAX_TEXT_BYTES, Revision, make_revision
from .store import RevisionText

CALL_TIMEOUT_S = 5.0
_ANSWERS = {
    pb.PublicationResponse.RESULT_ACCEPTED: PhaseAnswer.ACCEPTED,
    pb.PublicationResponse.RESULT_CONFLICT: PhaseAnswer.CONFLICT,
    pb.PublicationResponse.RESULT_INVALID: PhaseAnswer.INVALID,
}


@dataclass(frozen=True, slots=True)
class PublicationResult:
    """What became of a publication."""

    outcome: PublicationOutcome
    revision: Revision
    problems: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlannerSummary:
    """A planner's process as the replica that heard it last has it."""

    planner: int
    incarnation: int
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
    planners: tuple[PlannerSummary, ...]
    unreachable: tuple[str, ...]

    def in_force_everywhere(self, planners: int) -> bool:
        """Whether at least so many planners are connected, and each of them has the committed revision."""
        connected = [one for one in self.planners if one.connected]
        numbers = {one.planner for one in connected}
        return len(numbers) >= planners and all(one.in_force == self.committed for one in connected)


def _call(replica: str, method: str, request: Any, answer: Any, timeout_s: float) -> Any:
    channel = Channel(replica, Limits(message_bytes=2 * MAX_TEXT_BYTES), timeout_s)
    try:
        return channel.unary(path(SERVICE, method), request, answer.FromString, timeout_s=timeout_s)
    finally:
        channel.close()


def _call_each(replicas: tuple[str, ...], call: Callable[[str], Any]) -> list[Any]:
    """Each replica's answer, None for one that cannot be reached."""

    def one(replica: str) -> Any:
        try:
            return call(replica)
        except RpcError:
            return None

    asked = [gevent.spawn(one, replica) for replica in replicas]
    gevent.joinall(asked)
    return [one.value for one in asked]


def publish(
    replicas: tuple[str, ...], text: str, timeout_s: float = CALL_TIMEOUT_S, base: int | None = None
) -> PublicationResult:
    """Publish the text as the next revision. ``base``: fail where another than this number is committed."""
    count = len(replicas)
    states = _call_each(
        replicas, lambda replica: _call(replica, "Status", pb.StatusRequest(), pb.StatusResponse, timeout_s)
    )
    unreachable = tuple(r for r, state in zip(replicas, states, strict=True) if state is None)
    seen = [
        ReplicaNumbers(revision_from_message(s.committed), s.highest_number) for s in states if s is not None
    ]
    number = publication.next_number(count, seen)
    committed = publication.newest_committed(seen)
    if number is None:
        return PublicationResult(PublicationOutcome.NO_QUORUM, committed, (), unreachable)
    # Danger: two operators who both started from the same text would each undo the other's change.
    if base is not None and base != committed.number:
        return PublicationResult(
            PublicationOutcome.CONFLICT, committed, (f"{committed.number} is committed, not {base}",)
        )
    revision = make_revision(number, text)
    proposal = pb.PrepareRequest(proposal=revision_text_to_message(RevisionText(revision, text)))
    prepared = _call_each(
        replicas, lambda replica: _call(replica, "Prepare", proposal, pb.PublicationResponse, timeout_s)
    )
    failed = publication.outcome_after_prepare(count, [_phase_answer(one) for one in prepared])
    problems = next((tuple(one.problems) for one in prepared if one is not None and one.problems), ())
    if failed is not None:
        return PublicationResult(failed, revision, problems, unreachable)
    request = pb.CommitRequest(revision=revision_to_message(revision))
    answers = _call_each(
        replicas, lambda replica: _call(replica, "Commit", request, pb.PublicationResponse, timeout_s)
    )
    outcome = publication.outcome_after_commit(count, [_phase_answer(one) for one in answers])
    return PublicationResult(outcome, revision, (), unreachable)


def _phase_answer(response: Any) -> PhaseAnswer:
    return (
        PhaseAnswer.UNREACHABLE if response is None else _ANSWERS.get(response.result, PhaseAnswer.CONFLICT)
    )


def site_status(replicas: tuple[str, ...], timeout_s: float = CALL_TIMEOUT_S) -> SiteStatus:
    """Ask every replica; of a planner the freshest report counts."""
    found = _call_each(
        replicas, lambda replica: _call(replica, "Status", pb.StatusRequest(), pb.StatusResponse, timeout_s)
    )
    planners: dict[tuple[int, int], PlannerSummary] = {}
    for line in (_planner_summary(one) for status in found if status is not None for one in status.planners):
        known = planners.get((line.planner, line.incarnation))
        if known is None or (line.connected, -line.report_age_us) > (known.connected, -known.report_age_us):
            planners[line.planner, line.incarnation] = line
    committed = [revision_from_message(status.committed) for status in found if status is not None]
    unreachable = tuple(r for r, status in zip(replicas, found, strict=True) if status is None)
    lines = tuple(planners[key] for key in sorted(planners))
    return SiteStatus(max(committed, default=Revision()), lines, unreachable)


def _planner_summary(message: Any) -> PlannerSummary:
    return PlannerSummary(
        planner=message.planner,
        incarnation=message.life,
        in_force=revision_from_message(message.in_force),
        rejected=revision_from_message(message.rejected),
        reason=message.reason,
        delay_us=message.delay_us if message.HasField("delay_us") else None,
        connected=message.connected,
        report_age_us=message.report_age_us,
    )
