"""Converts between the messages of stairplank.v1 and the core's events and actions; makes no decisions.

Protobuf messages are untyped here: ``Any`` is the message type that the docstring names.
"""

from __future__ import annotations

from typing import Any

from .. import interface as api
from ..fence import AgeStamp
from ..proto import common_pb2, directory_pb2, node_pb2, placement_pb2
from ..rpc.status import Code
from . import events as ev
from .events import AttemptId

_LAST_REASON = 7  # the highest number in api.Reason
_PlaceEvent = placement_pb2.PlaceEvent
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
    """Convert a ``Task`` message to a task."""
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
    """Convert a task to a ``Task`` message."""
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
    """Convert an ``AttemptId`` message to an attempt's id."""
    return AttemptId(id.life, id.placing, id.attempt)


def attempt_id_to_proto(id: AttemptId) -> Any:
    """Convert an attempt's id to an ``AttemptId`` message."""
    return common_pb2.AttemptId(life=id.incarnation, placing=id.placement, attempt=id.attempt)


def group_tag_from_proto(tag: Any) -> ev.GroupTag:
    """Convert a ``GroupMember`` message to the tag of a group's member."""
    return ev.GroupTag(tag.life, tag.group, tag.size, tag.member, tag.lease_us)


def group_tag_to_proto(tag: ev.GroupTag) -> Any:
    """Convert the tag of a group's member to a ``GroupMember`` message."""
    return node_pb2.GroupMember(
        life=tag.incarnation, group=tag.group, size=tag.size, member=tag.member, lease_us=tag.lease_us
    )


def stamp_from_proto(message: Any) -> AgeStamp | None:
    """Return the age stamp of a message; None if the message has no ``sent`` field."""
    return AgeStamp(message.sent.grant, message.sent.since_us) if message.HasField("sent") else None


def stamp_to_proto(stamp: AgeStamp | None) -> Any:
    """Convert an age stamp to a ``Sent`` message. Returns None for None."""
    return None if stamp is None else common_pb2.Sent(grant=stamp.grant, since_us=stamp.held_us)


def reason_from_proto(reason: int) -> api.Reason:
    """Convert a number to a ``Reason``. Returns UNTOLD for numbers that this version does not know."""
    return api.Reason(reason) if 0 <= reason <= _LAST_REASON else api.Reason.UNTOLD


def node_list_from_proto(message: Any) -> ev.NodeListReceived:
    """Convert a ``NodeList`` message to an event. Entries without a known state are left out."""
    nodes = tuple(
        ev.ListedNode(
            entry.id,
            entry.name,
            tuple(entry.addresses),
            entry.zone,
            entry.rack,
            entry.kind,
            _NODE_STATUS[entry.state],
            entry.free_cores,
            entry.free_memory,
            entry.started_unix_us,
        )
        for entry in message.nodes
        if entry.state in _NODE_STATUS
    )
    return ev.NodeListReceived(message.revision, message.since, message.full, nodes, message.now_unix_us)


def node_event_from_proto(node: int, message: Any) -> ev.Event | None:
    """Convert a node's ``OfferEvent`` to an event of the core.

    Returns None for unknown kinds and for kinds that the core does not handle.
    """
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
            return _usage_from_proto(node, message.usage)
        case "draining":
            return ev.NodeDraining(node)
        case "kept":
            return ev.LeasesRenewed(node, message.kept.keep)
    return None


def _usage_from_proto(node: int, usage: Any) -> ev.NodeUsage:
    return ev.NodeUsage(
        node,
        attempt_id_from_proto(usage.id),
        usage.cores,
        usage.memory,
        usage.served_share,
        usage.node_memory_share,
    )


def node_tasks_from_proto(node: int, message: Any, requested_at: int) -> ev.NodeTasksReported:
    """Convert a node's ``HeldResponse`` to an event; ``requested_at`` is a time of this planner's clock."""
    tasks = tuple(map(_node_task_from_proto, message.tasks))
    finished = tuple(map(_node_task_from_proto, message.finished))
    return ev.NodeTasksReported(
        node, message.started_unix_us, tasks, message.complete, requested_at, finished
    )


def _node_task_from_proto(task: Any) -> ev.NodeTask:
    tag = group_tag_from_proto(task.group) if task.HasField("group") else None
    return ev.NodeTask(attempt_id_from_proto(task.id), task_from_proto(task.task), task.running, tag)


def offer_to_proto(offer: ev.SendOffer, task_class: api.TaskClass, stamp: AgeStamp | None) -> Any:
    """Convert an offer to an ``OfferRequest``."""
    return node_pb2.OfferRequest(
        offer=node_pb2.OfferRequest.Offer(
            id=attempt_id_to_proto(offer.id),
            task=task_to_proto(offer.task),
            wait_us=offer.wait_us,
            priority=task_class.priority,
            window_us=task_class.dedup_window_us,
            once=task_class.effect is api.Effect.AT_MOST_ONCE,
            group=group_tag_to_proto(offer.group) if offer.group is not None else None,
            sent=stamp_to_proto(stamp),
        )
    )


def commit_to_proto(commit: ev.SendCommit, stamp: AgeStamp | None) -> Any:
    """Convert the commit of group members to an ``OfferRequest``."""
    part = node_pb2.OfferRequest.Commit(
        ids=map(attempt_id_to_proto, commit.ids), lease_us=commit.lease_us, sent=stamp_to_proto(stamp)
    )
    return node_pb2.OfferRequest(commit=part)


def lease_renewal_to_proto(renewal: ev.SendLeaseRenewal, stamp: AgeStamp | None) -> Any:
    """Convert a renewal of leases to an ``OfferRequest``."""
    part = node_pb2.OfferRequest.Keep(
        ids=map(attempt_id_to_proto, renewal.ids),
        lease_us=renewal.lease_us,
        sent=stamp_to_proto(stamp),
        keep=renewal.renewal,
    )
    return node_pb2.OfferRequest(keep=part)


def group_request_from_proto(session: int, request: Any, client: str, age_us: int) -> ev.GroupRequested:
    """Convert an ``AskGroup`` message to an event; members without an owner get the stream's client."""
    for member in request.members:
        member.owner = member.owner or client
    return ev.GroupRequested(
        session,
        request.ask,
        tuple(map(task_from_proto, request.members)),
        request.wait_us,
        request.least,
        request.same_rack,
        request.distinct_nodes,
        request.distinct_racks,
        age_us,
    )


def stop_to_proto(stop: ev.SendStop) -> Any:
    """Convert the stop of an attempt to an ``OfferRequest``."""
    return node_pb2.OfferRequest(
        stop=node_pb2.OfferRequest.Stop(id=attempt_id_to_proto(stop.id), why=_STOP_REASON[stop.reason])
    )


def client_message_to_proto(message: ev.ClientMessage) -> Any:
    """Convert a client message of the core to a ``PlaceEvent``. Raises TypeError for any other object."""
    converted = _task_message_to_proto(message)
    if converted is None:
        converted = _group_message_to_proto(message)
    if converted is None:
        raise TypeError(f"not a message to a client: {message!r}")
    return converted


def _task_message_to_proto(message: ev.ClientMessage) -> Any:
    match message:
        case ev.Rejected(request, rejection):
            return _PlaceEvent(rejected=_rejection_to_proto(request, rejection))
        case ev.Admitted(request, placement):
            return _PlaceEvent(taken=_PlaceEvent.Taken(ask=request, placing=placement))
        case ev.Offered(request, node, attempt):
            return _PlaceEvent(offered=_PlaceEvent.Offered(ask=request, node=node, attempt=attempt))
        case ev.TaskPlaced(request, node, attempt, latency_us):
            placed = _PlaceEvent.Placed(ask=request, node=node, attempt=attempt, latency_us=latency_us)
            return _PlaceEvent(placed=placed)
        case ev.TaskShed(request, retry_after_us, reason):
            number: Any = int(reason)
            refused = _PlaceEvent.Refused(ask=request, retry_after_us=retry_after_us, reason=number)
            return _PlaceEvent(refused=refused)
        case ev.TaskFailed(request, may_run):
            return _PlaceEvent(failed=_PlaceEvent.Failed(ask=request, may_run=may_run))
        case ev.TaskEnded(request, key, finished, reason):
            number = int(reason)
            ended = _PlaceEvent.Ended(ask=request, key=key, finished=finished, reason=number)
            return _PlaceEvent(ended=ended)
        case ev.TaskRecovered(request, key, node):
            return _PlaceEvent(found=_PlaceEvent.Found(ask=request, key=key, node=node))
    return None


def _rejection_to_proto(request: int, rejection: ev.Rejection) -> Any:
    return _PlaceEvent.Rejected(
        ask=request,
        code=int(Code[rejection.code]),
        field=rejection.field,
        message=rejection.message,
        retry_after_us=rejection.retry_after_us,
    )


def _group_message_to_proto(message: ev.ClientMessage) -> Any:
    match message:
        case ev.GroupPlaced(request, bindings, constraints_met, attempts):
            binding_messages = [_PlaceEvent.Binding(member=member, node=node) for member, node in bindings]
            group_placed = _PlaceEvent.GroupPlaced(
                ask=request, bindings=binding_messages, wishes_met=constraints_met, tries=attempts
            )
            return _PlaceEvent(group_placed=group_placed)
        case ev.GroupShed(request, retry_after_us, why, never):
            refused = _PlaceEvent.GroupRefused(
                ask=request, retry_after_us=retry_after_us, why=why, never=never
            )
            return _PlaceEvent(group_refused=refused)
        case ev.GroupFailed(request, why):
            return _PlaceEvent(group_failed=_PlaceEvent.GroupFailed(ask=request, why=why))
        case ev.GroupAttempted(request, attempts, why, retry_in_us):
            tried = _PlaceEvent.GroupTried(ask=request, tries=attempts, why=why, again_in_us=retry_in_us)
            return _PlaceEvent(group_tried=tried)
        case ev.MemberEnded(request, member, finished, reason):
            number: Any = int(reason)
            ended = _PlaceEvent.MemberEnded(ask=request, member=member, finished=finished, reason=number)
            return _PlaceEvent(member_ended=ended)
        case ev.GroupEnded(request, finished):
            return _PlaceEvent(group_ended=_PlaceEvent.GroupEnded(ask=request, finished=finished))
    return None
