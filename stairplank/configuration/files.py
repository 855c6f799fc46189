"""Revisions on disk: a replica's state, and a planner's copy of what it has in force."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from .revision import NO_REVISION, revision_of
from .store import State, Stored

FILE_MOST = 16_000_000  # bytes; two texts of the largest size, escaped


class FileError(Exception):
    """The file cannot be read or written; the text names it and says why."""


def write_atomically(path: Path, text: str) -> None:
    """Replace the file, whole and on disk. Raises FileError.

    Danger: a replica that answers before its state is on disk may forget, in a power cut, a number for which
    it was part of a majority, and take another text under it.
    """
    scratch = path.with_name(path.name + ".new")
    try:
        with open(scratch, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(scratch, path)
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError as error:
        raise FileError(f"{path}: {error.strerror}") from None


def _stored_to(stored: Stored) -> dict[str, Any]:
    return {"number": stored.revision.number, "text": stored.text}


def _stored_from(value: Any) -> Stored:
    number, text = value["number"], value["text"]
    if not isinstance(number, int) or not isinstance(text, str) or number < 0:
        raise ValueError("a number and a text are needed")
    return Stored(revision_of(number, text), text) if number else Stored(NO_REVISION, "")


def _read(path: Path) -> Any | None:
    try:
        with open(path, encoding="utf-8") as file:
            return json.loads(file.read(FILE_MOST))
    except FileNotFoundError:
        return None
    except OSError as error:
        raise FileError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise FileError(f"{path}: {error}") from None


def write_state(path: Path, state: State) -> None:
    """A replica's state. Raises FileError."""
    value = {"committed": _stored_to(state.committed), "prepared": _stored_to(state.prepared)}
    write_atomically(path, json.dumps(value) + "\n")


def read_state(path: Path) -> State:
    """A replica's state; an empty one where there is no file. Raises FileError."""
    value = _read(path)
    if value is None:
        return State()
    try:
        return State(_stored_from(value["committed"]), _stored_from(value["prepared"]))
    except (KeyError, TypeError, ValueError) as error:
        raise FileError(f"{path}: {type(error).__name__}: {error}") from None


def write_copy(path: Path, stored: Stored) -> None:
    """A planner's copy of a revision. Raises FileError."""
    write_atomically(path, json.dumps(_stored_to(stored)) + "\n")


def read_copy(path: Path) -> Stored | None:
    """A planner's copy; None where there is no file. Raises FileError."""
    value = _read(path)
    if value is None:
        return None
    try:
        return _stored_from(value)
    except (KeyError, TypeError, ValueError) as error:
        raise FileError(f"{path}: {type(error).__name__}: {error}") from None
