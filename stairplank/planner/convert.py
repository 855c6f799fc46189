"""Between the messages of stairplank.v1 and the core's events and actions. Translates and decides nothing."""

from __future__ import annotations

from typing import Any

from .. import interface as api
from ..fence import Stamp
from ..proto import common_pb2, directory_pb2, node_pb2, placement_pb2
from ..rpc.status import Code
from . import events as ev
from .events import AttemptId

_NODE_STATUS = {
    directory_pb2.NodeEntry.STATE_GONE: api.NodeStatus.GONE,
    directory_pb2.NodeEntry.STATE_DRAINING: api.NodeStatus.DRAINING,
    directory_pb2.NodeEntry.STATE_READY: api.NodeStatus.READY,
}
_RESULT = {
    node_pb2.OfferEvent.Ended.HOW_FINISHED: api.Result.FINISHED,
    node_pb2.OfferEvent.Ended.HOW_STOPPED: api.Result.CANCELLED,
}
_STOP_REASON = {
    ev.StopReason.CANCELLED: node_pb2.OfferRequest.Stop.WHY_WITHDRAWN,
    ev.StopReason.MIGRATED: node_pb2.OfferRequest.Stop.WHY_MOVED,
    ev.StopReason.ABANDONED: node_pb2.OfferRequest.Stop.WHY_LEFT_OVER,
}


def task_from_proto(task: Any) -> ev.TaskSpec:
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


def task_to_proto(spec: ev.TaskSpec) -> Any:
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


def attempt_id_from_proto(id: Any) -> AttemptId:
    return AttemptId(id.life, id.placing, id.attempt)


def attempt_id_to_proto(id: AttemptId) -> Any:
    return common_pb2.AttemptId(life=id.incarnation, placing=id.placement, attempt=id.attempt)


def group_tag_from_proto(tag: Any) -> ev.GroupTag:
    return ev.GroupTag(tag.life, tag.group, tag.size, tag.member, tag.lease_us)


def group_tag_to_proto(tag: ev.GroupTag) -> Any:
    return node_pb2.GroupMember(
        life=tag.incarnation, group=tag.group, size=tag.size, member=tag.member, lease_us=tag.lease_us
    )


def stamp_from_proto(message: Any) -> Stamp | None:
    """When a message says that it was said; None where it does not."""
    return Stamp(message.sent.grant, message.sent.since_us) if message.HasField("sent") else None


def stamp_to_proto(stamp: Stamp | None) -> Any:
    return None if stamp is None else common_pb2.Sent(grant=stamp.grant, since_us=stamp.since_us)


def reason_from_proto(reason: int) -> api.Reason:
    return api.Reason(reason) if 0 <= reason <= 7 else api.Reason.UNTOLD


def node_list_from_proto(message: Any) -> ev.NodeListReceived:
    """Entries without a known state, or with an id that is none, are passed over."""
    nodes = tuple(
        ev.ListedNode(
            e.id,
            e.name,
            tuple(e.addresses),
            e.zone,
            e.rack,
            e.kind,
            _NODE_STATUS[e.state],
            e.free_cores,
            e.free_memory,
            e.started_unix_us,
        )
        for e in message.nodes
        if e.state in _NODE_STATUS
    )
    return ev.NodeListReceived(message.revision, message.since, message.full, nodes, message.now_unix_us)


def node_event_from_proto(node: int, message: Any) -> ev.Event | None:
    """None for what a later version of the protocol may add, and for the hello."""
    match message.WhichOneof("kind"):
        case "accepted":
            return ev.NodeAccepted(node, attempt_id_from_proto(message.accepted.id))
        case "ready":
            return ev.NodeReady(node, attempt_id_from_proto(message.ready.id))
        case "running":
            return ev.NodeRunning(node, attempt_id_from_proto(message.running.id))
        case "refused":
            late = message.refused.reason == common_pb2.REASON_TOO_LATE
            reason = reason_from_proto(message.refused.reason)
            return ev.NodeRejected(node, attempt_id_from_proto(message.refused.id), reason, late)
        case "error":
            return ev.NodeError(node, attempt_id_from_proto(message.error.id))
        case "ended":
            ended = message.ended
            result = _RESULT.get(ended.how, api.Result.LOST)
            return ev.NodeEnded(
                node, attempt_id_from_proto(ended.id), result, reason_from_proto(ended.reason)
            )
        case "usage":
            u = message.usage
            return ev.NodeUsage(
                node, attempt_id_from_proto(u.id), u.cores, u.memory, u.served_share, u.node_memory_share
            )
        case "draining":
            return ev.NodeDraining(node)
        case "kept":
            return ev.LeasesRenewed(node, message.kept.keep)
    return None


def node_tasks_from_proto(node: int, message: Any, asked_at: int) -> ev.NodeTasksReported:
    def held(t: Any) -> ev.NodeTask:
        tag = group_tag_from_proto(t.group) if t.HasField("group") else None
        return ev.NodeTask(attempt_id_from_proto(t.id), task_from_proto(t.task), t.running, tag)

    tasks, finished = tuple(map(held, message.tasks)), tuple(map(held, message.finished))
    return ev.NodeTasksReported(node, message.started_unix_us, tasks, message.complete, asked_at, finished)


def offer_to_proto(offer: ev.SendOffer, sort: api.TaskClass, stamp: Stamp | None) -> Any:
    return node_pb2.OfferRequest(
        offer=node_pb2.OfferRequest.Offer(
            id=attempt_id_to_proto(offer.id),
            task=task_to_proto(offer.task),
            wait_us=offer.wait_us,
            priority=sort.priority,
            window_us=sort.dedup_window_us,
            once=sort.effect is api.Effect.AT_MOST_ONCE,
            group=group_tag_to_proto(offer.group) if offer.group is not None else None,
            sent=stamp_to_proto(stamp),
        )
    )


def commit_to_proto(commit: ev.SendCommit, stamp: Stamp | None) -> Any:
    part = node_pb2.OfferRequest.Commit(
        ids=map(attempt_id_to_proto, commit.ids), lease_us=commit.lease_us, sent=stamp_to_proto(stamp)
    )
    return node_pb2.OfferRequest(commit=part)


def lease_renewal_to_proto(keep: ev.SendLeaseRenewal, stamp: Stamp | None) -> Any:
    part = node_pb2.OfferRequest.Keep(
        ids=map(attempt_id_to_proto, keep.ids),
        lease_us=keep.lease_us,
        sent=stamp_to_proto(stamp),
        keep=keep.renewal,
    )
    return node_pb2.OfferRequest(keep=part)


def group_request_from_proto(session: int, ask: Any, owner: str, age_us: int) -> ev.GroupRequested:
    for member in ask.members:
        member.owner = member.owner or owner
    return ev.GroupRequested(
        session,
        ask.ask,
        tuple(map(task_from_proto, ask.members)),
        ask.wait_us,
        ask.least,
        ask.same_rack,
        ask.distinct_nodes,
        ask.distinct_racks,
        age_us,
    )


def stop_to_proto(stop: ev.SendStop) -> Any:
    return node_pb2.OfferRequest(
        stop=node_pb2.OfferRequest.Stop(id=attempt_id_to_proto(stop.id), why=_STOP_REASON[stop.reason])
    )


def client_message_to_proto(word: ev.ClientMessage) -> Any:
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
