"""Operator's client: publishes a configuration to the replicas and collects each planner's revision."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import gevent

from ..proto import configuration_pb2 as pb
from ..proto import method_path
from ..rpc import Channel, Limits, RpcError
from . import publication
from .convert import SERVICE, revision_from_message, revision_text_to_message, revision_to_message
from .publication import PhaseAnswer, PublicationOutcome, ReplicaNumbers
from .revision import MAX_TEXT_BYTES, NO_REVISION, Revision, make_revision
from .store import RevisionText

CALL_TIMEOUT_S = 5.0
_ANSWERS = {
    pb.PublicationResponse.RESULT_ACCEPTED: PhaseAnswer.ACCEPTED,
    pb.PublicationResponse.RESULT_CONFLICT: PhaseAnswer.CONFLICT,
    pb.PublicationResponse.RESULT_INVALID: PhaseAnswer.INVALID,
}


@dataclass(frozen=True, slots=True)
class PublicationResult:
    """The outcome of a publication, and the replicas that could not be reached."""

    outcome: PublicationOutcome
    revision: Revision
    problems: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlannerSummary:
    """The state of a planner process according to its newest report. Times are in microseconds."""

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
    """The newest committed revision, the planners known to any replica, and the unreachable replicas."""

    committed: Revision
    planners: tuple[PlannerSummary, ...]
    unreachable: tuple[str, ...]

    def in_force_everywhere(self, planners: int) -> bool:
        """Whether at least ``planners`` planners are connected, all of them with the committed revision."""
        connected = [planner for planner in self.planners if planner.connected]
        positions = {planner.planner for planner in connected}
        are_current = all(planner.in_force == self.committed for planner in connected)
        return len(positions) >= planners and are_current


def _call(replica: str, method: str, request: Any, response_type: Any, timeout_s: float) -> Any:
    channel = Channel(replica, Limits(max_message_bytes=2 * MAX_TEXT_BYTES), timeout_s)
    try:
        return channel.unary(
            method_path(SERVICE, method), request, response_type.FromString, timeout_s=timeout_s
        )
    finally:
        channel.close()


def _call_all(
    replicas: tuple[str, ...], method: str, request: Any, response_type: Any, timeout_s: float
) -> list[Any]:
    """Call all replicas concurrently and return their responses; None marks an unreachable replica."""

    def response_of(replica: str) -> Any:
        try:
            return _call(replica, method, request, response_type, timeout_s)
        except RpcError:
            return None

    calls = [gevent.spawn(response_of, replica) for replica in replicas]
    gevent.joinall(calls)
    return [call.value for call in calls]


def _statuses(replicas: tuple[str, ...], timeout_s: float) -> list[Any]:
    return _call_all(replicas, "Status", pb.StatusRequest(), pb.StatusResponse, timeout_s)


def _unreachable(replicas: tuple[str, ...], statuses: list[Any]) -> tuple[str, ...]:
    pairs = zip(replicas, statuses, strict=True)
    return tuple(replica for replica, status in pairs if status is None)


def publish(
    replicas: tuple[str, ...], text: str, timeout_s: float = CALL_TIMEOUT_S, base: int | None = None
) -> PublicationResult:
    """Publish the text as the next revision and return the outcome.

    Args:
        replicas: Addresses of all replicas of the site.
        text: The text of the configuration.
        timeout_s: Timeout of each of the three rounds of calls, in seconds.
        base: Number that the committed revision must have; None accepts any.
    """
    count = len(replicas)
    statuses = _statuses(replicas, timeout_s)
    unreachable = _unreachable(replicas, statuses)
    numbers = [
        ReplicaNumbers(revision_from_message(status.committed), status.highest_number)
        for status in statuses
        if status is not None
    ]
    number = publication.next_number(count, numbers)
    committed = publication.newest_committed(numbers)
    if number is None:
        return PublicationResult(PublicationOutcome.NO_QUORUM, committed, (), unreachable)
    # Without this check, two operators who edit the same revision would each overwrite the other's change.
    if base is not None and base != committed.number:
        problem = f"revision {committed.number} is committed, not {base}"
        return PublicationResult(PublicationOutcome.CONFLICT, committed, (problem,))
    proposal = RevisionText(make_revision(number, text), text)
    outcome, problems = _publish_proposal(replicas, proposal, timeout_s)
    return PublicationResult(outcome, proposal.revision, problems, unreachable)


def _publish_proposal(
    replicas: tuple[str, ...], proposal: RevisionText, timeout_s: float
) -> tuple[PublicationOutcome, tuple[str, ...]]:
    """Prepare and commit the proposal at all replicas; return the outcome and the problems of its text."""
    count = len(replicas)
    prepare = pb.PrepareRequest(proposal=revision_text_to_message(proposal))
    prepared = _call_all(replicas, "Prepare", prepare, pb.PublicationResponse, timeout_s)
    failure = publication.outcome_after_prepare(count, [_phase_answer(response) for response in prepared])
    if failure is not None:
        problems = (
            tuple(response.problems) for response in prepared if response is not None and response.problems
        )
        return failure, next(problems, ())
    commit = pb.CommitRequest(revision=revision_to_message(proposal.revision))
    committed = _call_all(replicas, "Commit", commit, pb.PublicationResponse, timeout_s)
    return publication.outcome_after_commit(count, [_phase_answer(response) for response in committed]), ()


def _phase_answer(response: Any) -> PhaseAnswer:
    return (
        PhaseAnswer.UNREACHABLE if response is None else _ANSWERS.get(response.result, PhaseAnswer.CONFLICT)
    )


def site_status(replicas: tuple[str, ...], timeout_s: float = CALL_TIMEOUT_S) -> SiteStatus:
    """Collect the status of every replica; for each planner process the newest report counts."""
    responses = _statuses(replicas, timeout_s)
    statuses = [status for status in responses if status is not None]
    planners: dict[tuple[int, int], PlannerSummary] = {}
    for summary in (_planner_summary(message) for status in statuses for message in status.planners):
        process = summary.planner, summary.incarnation
        known = planners.get(process)
        if known is None or _freshness(summary) > _freshness(known):
            planners[process] = summary
    committed = [revision_from_message(status.committed) for status in statuses]
    summaries = tuple(planners[process] for process in sorted(planners))
    return SiteStatus(max(committed, default=NO_REVISION), summaries, _unreachable(replicas, responses))


def _freshness(summary: PlannerSummary) -> tuple[bool, int]:
    """Return a sort key that is larger for a newer report; reports of connected planners sort last."""
    return summary.connected, -summary.report_age_us


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
