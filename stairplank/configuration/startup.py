"""The revision that a planner starts with: the newest that a replica has committed, else a cached one."""

from __future__ import annotations

from pathlib import Path

import gevent
import structlog

from ..proto import configuration_pb2 as pb
from ..proto import method_path
from ..rpc import Channel, Limits, RpcError
from . import state_files
from .convert import SERVICE, revision_text_from_message
from .errors import StateFileError
from .revision import MAX_TEXT_BYTES, NO_REVISION, digest_of
from .store import RevisionText

LOOKUP_TIMEOUT_S = (
    1.0  # for all replicas together: a planner is to be ready within seconds, whoever is out of reach
)


def startup_candidates(
    replicas: tuple[str, ...], cache_file: Path | None, timeout_s: float = LOOKUP_TIMEOUT_S
) -> list[RevisionText]:
    """Return what the planner may start with, the newest first.

    At its start nothing is in flight, so it may take also what a running planner may not.
    """
    found = [gevent.spawn(_fetch_committed, replica, timeout_s) for replica in replicas]
    gevent.joinall(found, timeout=timeout_s)
    gevent.killall(found, block=False)
    known = [one.value for one in found if isinstance(one.value, RevisionText)]
    cached = _read_cache(cache_file)
    if cached is not None:
        known.append(cached)
    by_revision = {stored.revision: stored for stored in known if stored.revision != NO_REVISION}
    return [by_revision[revision] for revision in sorted(by_revision, reverse=True)]


def _fetch_committed(replica: str, timeout_s: float) -> RevisionText | None:
    channel = Channel(replica, Limits(max_message_bytes=2 * MAX_TEXT_BYTES), timeout_s)
    try:
        request = pb.GetRequest()
        answer = channel.unary(
            method_path(SERVICE, "Get"), request, pb.RevisionText.FromString, timeout_s=timeout_s
        )
    except RpcError:
        return None
    finally:
        channel.close()
    stored = revision_text_from_message(answer)
    # Danger: a text that does not belong to its revision would be in force under a number that is not its.
    return stored if stored.revision.digest == digest_of(stored.text) else None


def _read_cache(cache_file: Path | None) -> RevisionText | None:
    if cache_file is None:
        return None
    try:
        return state_files.read_cached_revision(cache_file)
    except StateFileError as error:
        structlog.get_logger("configuration").warning("copy not used", error=str(error))
        return None
