"""Files that store revisions: a replica's state, and a planner's cached revision for its next start."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from .errors import StateFileError
from .revision import NO_REVISION, make_revision
from .store import ReplicaState, RevisionText

MAX_FILE_BYTES = 16_000_000  # fits two texts of the largest size with JSON escapes


def write_atomically(path: Path, text: str) -> None:
    """Replace the file atomically and sync it to disk. Raises StateFileError.

    If a replica answered before its state is on disk, a power failure could make it forget a number that it
    has prepared as part of a majority, and it would accept another text under that number.
    """
    temporary = path.with_name(path.name + ".new")
    try:
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        _sync_directory(path.parent)
    except OSError as error:
        raise StateFileError(path, error.strerror) from None


def _sync_directory(directory: Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _revision_text_to_json(stored: RevisionText) -> dict[str, Any]:
    return {"number": stored.revision.number, "text": stored.text}


def _revision_text_from_json(value: Any) -> RevisionText:
    number, text = value["number"], value["text"]
    if not isinstance(number, int) or not isinstance(text, str) or number < 0:
        raise ValueError("a number and a text are needed")
    return RevisionText(make_revision(number, text), text) if number else RevisionText(NO_REVISION, "")


def _read_json(path: Path) -> Any | None:
    try:
        with open(path, encoding="utf-8") as file:
            return json.loads(file.read(MAX_FILE_BYTES))
    except FileNotFoundError:
        return None
    except OSError as error:
        raise StateFileError(path, error.strerror) from None
    except (ValueError, RecursionError) as error:
        raise StateFileError(path, str(error)) from None


def write_state(path: Path, state: ReplicaState) -> None:
    """Write a replica's state to its file. Raises StateFileError."""
    value = {
        "committed": _revision_text_to_json(state.committed),
        "prepared": _revision_text_to_json(state.prepared),
    }
    write_atomically(path, json.dumps(value) + "\n")


def read_state(path: Path) -> ReplicaState:
    """Read a replica's state; it is empty if there is no file. Raises StateFileError."""
    value = _read_json(path)
    if value is None:
        return ReplicaState()
    try:
        return ReplicaState(
            _revision_text_from_json(value["committed"]), _revision_text_from_json(value["prepared"])
        )
    except (KeyError, TypeError, ValueError) as error:
        raise StateFileError(path, f"{type(error).__name__}: {error}") from None


def write_cached_revision(path: Path, stored: RevisionText) -> None:
    """Write a planner's cached revision to its file. Raises StateFileError."""
    write_atomically(path, json.dumps(_revision_text_to_json(stored)) + "\n")


def read_cached_revision(path: Path) -> RevisionText | None:
    """Read a planner's cached revision; None if there is no file. Raises StateFileError."""
    value = _read_json(path)
    if value is None:
        return None
    try:
        return _revision_text_from_json(value)
    except (KeyError, TypeError, ValueError) as error:
        raise StateFileError(path, f"{type(error).__name__}: {error}") from None
