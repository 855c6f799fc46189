"""Converts typed records to plain data by position and back, so that traces contain no type or field names.

A dataclass becomes a list of its fields in order, an enum member its index in the enum, a tuple a list and
a frozenset a sorted list. Decoding follows the type hints of the expected record.
"""

from __future__ import annotations

import hashlib
import types
import typing
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from typing import Any


class Trace:
    """Computes the digest of a sequence of lines; with ``keep_lines`` it also stores them for comparison."""

    def __init__(self, keep_lines: bool = False) -> None:
        self.count = 0
        self.lines: list[str] | None = [] if keep_lines else None
        self._sha256 = hashlib.sha256()

    def add(self, *values: Any) -> None:
        """Append one line made of the values; bytes are written as hexadecimal digits."""
        line = " ".join(value.hex() if isinstance(value, bytes) else repr(value) for value in values)
        self.count += 1
        self._sha256.update(line.encode() + b"\n")
        if self.lines is not None:
            self.lines.append(line)

    def digest(self) -> str:
        """Return the number of lines and their SHA-256 hash as a text."""
        return f"{self.count} {self._sha256.hexdigest()}"


def to_plain(value: Any) -> Any:
    """Convert a record to nested lists of numbers, strings, booleans and None."""
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if is_dataclass(value):
        return [to_plain(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, frozenset):
        return sorted(to_plain(item) for item in value)
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    return value


def from_plain(expected: Any, value: Any) -> Any:
    """Convert ``value``, the output of ``to_plain``, back to a record of type ``expected``."""
    origin, arguments = typing.get_origin(expected), typing.get_args(expected)
    if origin in (typing.Union, types.UnionType):
        (present,) = [argument for argument in arguments if argument is not type(None)]
        return None if value is None else from_plain(present, value)
    if origin is tuple:
        return tuple(from_plain(arguments[0], item) for item in value)
    if origin is frozenset:
        return frozenset(from_plain(arguments[0], item) for item in value)
    if isinstance(expected, type) and issubclass(expected, Enum):
        return list(expected)[value]
    if is_dataclass(expected):
        hints = _field_types(expected)
        return expected(*(from_plain(hint, item) for hint, item in zip(hints, value, strict=True)))  # type: ignore[operator]
    return value


@cache
def _field_types(record: Any) -> tuple[Any, ...]:
    hints = typing.get_type_hints(record)
    return tuple(hints[field.name] for field in fields(record))
