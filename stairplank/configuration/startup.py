"""Finds the revisions that a planner may start with: those committed at replicas, and the cached one."""

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

# Limit for all replicas together: a planner must be ready within seconds even if some cannot be reached.
LOOKUP_TIMEOUT_S = 1.0


def startup_candidates(
    replicas: tuple[str, ...], cache_file: Path | None, timeout_s: float = LOOKUP_TIMEOUT_S
) -> list[RevisionText]:
    """Return the revisions that the planner may start with, newest first.

    No task is in flight at startup, so a revision that a running planner rejects may be used too.
    """
    lookups = [gevent.spawn(_fetch_committed, replica, timeout_s) for replica in replicas]
    gevent.joinall(lookups, timeout=timeout_s)
    gevent.killall(lookups, block=False)
    known = [lookup.value for lookup in lookups if isinstance(lookup.value, RevisionText)]
    cached = _read_cache(cache_file)
    if cached is not None:
        known.append(cached)
    by_revision = {stored.revision: stored for stored in known if stored.revision != NO_REVISION}
    return [by_revision[revision] for revision in sorted(by_revision, reverse=True)]


def _fetch_committed(replica: str, timeout_s: float) -> RevisionText | None:
    channel = Channel(replica, Limits(max_message_bytes=2 * MAX_TEXT_BYTES), timeout_s)
    try:
        request = pb.GetRequest()
        response = channel.unary(
            method_path(SERVICE, "Get"), request, pb.RevisionText.FromString, timeout_s=timeout_s
        )
    except RpcError:
        return None
    finally:
        channel.close()
    stored = revision_text_from_message(response)
    # Without this check, a text could come into force under the number of another revision.
    return stored if stored.revision.digest == digest_of(stored.text) else None


def _read_cache(cache_file: Path | None) -> RevisionText | None:
    if cache_file is None:
        return None
    try:
        return state_files.read_cached_revision(cache_file)
    except StateFileError as error:
        structlog.get_logger("configuration").warning("copy not used", error=str(error))
        return None
