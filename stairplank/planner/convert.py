"""Between the messages of stairplank.v1 and the core's events and actions. Translates and decides nothing."""

from __future__ import annotations

from typing import Any

from .. import interface as api
from ..fence import AgeStamp
from ..proto import common_pb2, directory_pb2, node_pb2, placement_pb2
from ..rpc.status import Code
from . import events as ev
from .events import AttemptId

_STATUS = {
    directory_pb2.NodeEntry.STATE_GONE: api.NodeStatus.GONE,
    directory_pb2.NodeEntry.STATE_DRAINING: api.NodeStatus.DRAINING,
    directory_pb2.NodeEntry.STATE_READY: api.NodeStatus.READY,
}
_HOW = {
    node_pb2.OfferEvent.Ended.HOW_FINISHED: api.Result.FINISHED,
    node_pb2.OfferEvent.Ended.HOW_STOPPED: api.Result.CANCELLED,
}
_WHY = {
    ev.StopReason.CANCELLED: node_pb2.OfferRequest.Stop.WHY_WITHDRAWN,
    ev.StopReason.MIGRATED: node_pb2.OfferRequest.Stop.WHY_MOVED,
    ev.StopReason.ABANDONED: node_pb2.OfferRequest.Stop.WHY_LEFT_OVER,
}


def spec_from(task: Any) -> ev.TaskSpec:
    return ev.TaskSpec(
        task.owner,
        task.key,
        task.task_class,
        task.tenant,
        task.service,
        task.cores,
        task.memory,
        task.life_us,
        task.again,
    )


def task_to(spec: ev.TaskSpec) -> Any:
    return common_pb2.Task(
        owner=spec.client,
        key=spec.key,
        task_class=spec.task_class,
        tenant=spec.tenant,
        service=spec.service,
        cores=spec.cores,
        memory=spec.memory,
        life_us=spec.expected_duration_us,
        again=spec.resubmitted,
    )


def id_from(id: Any) -> AttemptId:
    return AttemptId(id.life, id.placing, id.attempt)


def id_to(id: AttemptId) -> Any:
    return common_pb2.AttemptId(life=id.incarnation, placing=id.placement, attempt=id.attempt)


def tag_from(tag: Any) -> ev.GroupTag:
    return ev.GroupTag(tag.life, tag.group, tag.size, tag.member, tag.lease_us)


def tag_to(tag: ev.GroupTag) -> Any:
    return node_pb2.GroupMember(
        life=tag.incarnation, group=tag.group, size=tag.size, member=tag.member, lease_us=tag.lease_us
    )


def stamp_from(message: Any) -> AgeStamp | None:
    """When a message says that it was said; None where it does not."""
    return AgeStamp(message.sent.grant, message.sent.since_us) if message.HasField("sent") else None


def stamp_to(stamp: AgeStamp | None) -> Any:
    return None if stamp is None else common_pb2.Sent(grant=stamp.grant, since_us=stamp.held_us)


def reason_from(reason: int) -> api.Reason:
    return api.Reason(reason) if 0 <= reason <= 7 else api.Reason.UNTOLD


def list_from(message: Any) -> ev.NodeListReceived:
    """Entries without a known state, or with an id that is none, are passed over."""
    nodes = tuple(
        ev.ListedNode(
            e.id,
            e.name,
            tuple(e.addresses),
            e.zone,
            e.rack,
            e.kind,
            _STATUS[e.state],
            e.free_cores,
            e.free_memory,
            e.started_unix_us,
        )
        for e in message.nodes
        if e.state in _STATUS
    )
    return ev.NodeListReceived(message.revision, message.since, message.full, nodes, message.now_unix_us)


def node_event(node: int, message: Any) -> ev.Event | None:
    """None for what a later version of the protocol may add, and for the hello."""
    match message.WhichOneof("kind"):
        case "accepted":
            return ev.NodeAccepted(node, id_from(message.accepted.id))
        case "ready":
            return ev.NodeReady(node, id_from(message.ready.id))
        case "running":
            return ev.NodeRunning(node, id_from(message.running.id))
        case "refused":
            late = message.refused.reason == common_pb2.REASON_TOO_LATE
            reason = reason_from(message.refused.reason)
            return ev.NodeRejected(node, id_from(message.refused.id), reason, late)
        case "error":
            return ev.NodeError(node, id_from(message.error.id))
        case "ended":
            ended = message.ended
            result = _HOW.get(ended.how, api.Result.LOST)
            return ev.NodeEnded(node, id_from(ended.id), result, reason_from(ended.reason))
        case "usage":
            u = message.usage
            return ev.NodeUsage(node, id_from(u.id), u.cores, u.memory, u.served_share, u.node_memory_share)
        case "draining":
            return ev.NodeDraining(node)
        case "kept":
            return ev.LeasesRenewed(node, message.kept.keep)
    return None


def held_from(node: int, message: Any, asked_at: int) -> ev.NodeTasksReported:
    def held(t: Any) -> ev.NodeTask:
        tag = tag_from(t.group) if t.HasField("group") else None
        return ev.NodeTask(id_from(t.id), spec_from(t.task), t.running, tag)

    tasks, finished = tuple(map(held, message.tasks)), tuple(map(held, message.finished))
    return ev.NodeTasksReported(node, message.started_unix_us, tasks, message.complete, asked_at, finished)


def offer_to(offer: ev.SendOffer, sort: api.TaskClass, stamp: AgeStamp | None) -> Any:
    return node_pb2.OfferRequest(
        offer=node_pb2.OfferRequest.Offer(
            id=id_to(offer.id),
            task=task_to(offer.task),
            wait_us=offer.wait_us,
            priority=sort.priority,
            window_us=sort.dedup_window_us,
            once=sort.effect is api.Effect.AT_MOST_ONCE,
            group=tag_to(offer.group) if offer.group is not None else None,
            sent=stamp_to(stamp),
        )
    )


def commit_to(commit: ev.SendCommit, stamp: AgeStamp | None) -> Any:
    part = node_pb2.OfferRequest.Commit(
        ids=map(id_to, commit.ids), lease_us=commit.lease_us, sent=stamp_to(stamp)
    )
    return node_pb2.OfferRequest(commit=part)


def keep_to(keep: ev.SendLeaseRenewal, stamp: AgeStamp | None) -> Any:
    part = node_pb2.OfferRequest.Keep(
        ids=map(id_to, keep.ids), lease_us=keep.lease_us, sent=stamp_to(stamp), keep=keep.renewal
    )
    return node_pb2.OfferRequest(keep=part)


def group_from(session: int, ask: Any, owner: str, age_us: int) -> ev.GroupRequested:
    for member in ask.members:
        member.owner = member.owner or owner
    return ev.GroupRequested(
        session,
        ask.ask,
        tuple(map(spec_from, ask.members)),
        ask.wait_us,
        ask.least,
        ask.same_rack,
        ask.distinct_nodes,
        ask.distinct_racks,
        age_us,
    )


def stop_to(stop: ev.SendStop) -> Any:
    return node_pb2.OfferRequest(stop=node_pb2.OfferRequest.Stop(id=id_to(stop.id), why=_WHY[stop.reason]))


def word_to(word: ev.ClientMessage) -> Any:
    event = placement_pb2.PlaceEvent
    match word:
        case ev.Rejected(ask, r):
            code = int(Code[r.code])
            return event(
                rejected=event.Rejected(
                    ask=ask, code=code, field=r.field, message=r.message, retry_after_us=r.retry_after_us
                )
            )
        case ev.Admitted(ask, placing):
            return event(taken=event.Taken(ask=ask, placing=placing))
        case ev.Offered(ask, node, attempt):
            return event(offered=event.Offered(ask=ask, node=node, attempt=attempt))
        case ev.TaskPlaced(ask, node, attempt, latency):
            return event(placed=event.Placed(ask=ask, node=node, attempt=attempt, latency_us=latency))
        case ev.TaskShed(ask, after, reason):
            return event(refused=event.Refused(ask=ask, retry_after_us=after, reason=int(reason)))  # type: ignore[arg-type]
        case ev.TaskFailed(ask, may_run):
            return event(failed=event.Failed(ask=ask, may_run=may_run))
        case ev.TaskEnded(ask, key, finished, reason):
            return event(ended=event.Ended(ask=ask, key=key, finished=finished, reason=int(reason)))  # type: ignore[arg-type]
        case ev.TaskRecovered(ask, key, node):
            return event(found=event.Found(ask=ask, key=key, node=node))
        case ev.GroupPlaced(ask, bindings, met, tries):
            each = [event.Binding(member=m, node=n) for m, n in bindings]
            return event(group_placed=event.GroupPlaced(ask=ask, bindings=each, wishes_met=met, tries=tries))
        case ev.GroupShed(ask, after, why, never):
            return event(
                group_refused=event.GroupRefused(ask=ask, retry_after_us=after, why=why, never=never)
            )
        case ev.GroupFailed(ask, why):
            return event(group_failed=event.GroupFailed(ask=ask, why=why))
        case ev.GroupAttempted(ask, tries, why, again):
            return event(group_tried=event.GroupTried(ask=ask, tries=tries, why=why, again_in_us=again))
        case ev.MemberEnded(ask, member, finished, reason):
            return event(
                member_ended=event.MemberEnded(
                    ask=ask,
                    member=member,
                    finished=finished,
                    reason=int(reason),  # type: ignore[arg-type]
                )
            )
        case ev.GroupEnded(ask, finished):
            return event(group_ended=event.GroupEnded(ask=ask, finished=finished))
    raise TypeError(f"not a word: {word!r}")
