"""The revision that a planner starts with: the newest that a replica has committed, else its own copy."""

from __future__ import annotations

from pathlib import Path

import gevent
import structlog

from ..proto import configuration_pb2 as pb
from ..proto import method_path
from ..rpc import Channel, Limits, RpcError
from . import files
from .convert import SERVICE, stored_from
from .revision import NO_REVISION, TEXT_MOST, digest_of
from .store import Stored

WAIT_S = 1.0  # for all replicas together: a planner is to be ready within seconds, whoever is out of reach


def candidates(replicas: tuple[str, ...], copy_file: Path | None, wait_s: float = WAIT_S) -> list[Stored]:
    """What the planner may start with, the newest first. At its start nothing is in flight, so it may take
    also what a running planner may not."""
    found = [gevent.spawn(_committed, replica, wait_s) for replica in replicas]
    gevent.joinall(found, timeout=wait_s)
    gevent.killall(found, block=False)
    known = [one.value for one in found if isinstance(one.value, Stored)]
    copy = _copy(copy_file)
    if copy is not None:
        known.append(copy)
    by_revision = {stored.revision: stored for stored in known if stored.revision != NO_REVISION}
    return [by_revision[revision] for revision in sorted(by_revision, reverse=True)]


def _committed(replica: str, wait_s: float) -> Stored | None:
    channel = Channel(replica, Limits(max_message_bytes=2 * TEXT_MOST), wait_s)
    try:
        request = pb.GetRequest()
        answer = channel.unary(
            method_path(SERVICE, "Get"), request, pb.RevisionText.FromString, timeout_s=wait_s
        )
    except RpcError:
        return None
    finally:
        channel.close()
    stored = stored_from(answer)
    # Danger: a text that does not belong to its revision would be in force under a number that is not its.
    return stored if stored.revision.digest == digest_of(stored.text) else None


def _copy(copy_file: Path | None) -> Stored | None:
    if copy_file is None:
        return None
    try:
        return files.read_copy(copy_file)
    except files.FileError as error:
        structlog.get_logger("configuration").warning("copy not used", error=str(error))
        return None
