"""Decides whether a request for a group is admitted. No I/O or clock."""

from __future__ import annotations

from ..groups.spec import GroupSpec, validate
from . import admission
from . import events as ev
from .group_peers import ClientRequests


def check_request(
    event: ev.GroupRequested, spec: GroupSpec, requests: ClientRequests, groups: int, max_groups: int
) -> ev.Rejection | None:
    """Return a rejection of the request, or None; ``groups`` is the planner's current number of groups."""
    rejection = (
        requests.request_error(event.session, event.request)
        or validate(spec, event.min_members)
        or admission.deadline_error(event.wait_us, event.age_us)
    )
    if rejection is not None:
        return rejection
    for index, member in enumerate(event.members):
        rejection = _check_member(event, spec, requests, index, member)
        if rejection is not None:
            return rejection
    if groups >= max_groups:
        message = f"{groups} groups are open at this planner"
        return ev.Rejection("RESOURCE_EXHAUSTED", "", message, admission.BUSY_RETRY_US)
    return requests.capacity_error(event.session)


def _check_member(
    event: ev.GroupRequested, spec: GroupSpec, requests: ClientRequests, index: int, member: ev.TaskSpec
) -> ev.Rejection | None:
    if member.client != spec.client:
        return ev.Rejection(
            "INVALID_ARGUMENT", f"members[{index}].owner", "is not the client of this session"
        )
    rejection = requests.task_error(member, event.wait_us)
    if rejection is not None:
        field = rejection.field.replace("task.", f"members[{index}].")
        return ev.Rejection(rejection.code, field, rejection.message)
    if requests.find_by_key(member.client, member.key) is not None:
        message = "this task is already open, runs or may still run"
        return ev.Rejection("ALREADY_EXISTS", f"members[{index}].key", message, admission.BUSY_RETRY_US)
    return None
