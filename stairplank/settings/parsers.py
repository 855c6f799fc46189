"""Parsers of setting values: each parses one word, or raises ValueError with the expected form."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import Any

from ..rpc import address as addresses

ValueParser = Callable[[str], Any]
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)")
_UNIT_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
_SIZE = re.compile(r"(\d+)(k|m|g)?")
_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.\-]{0,99}")


def duration(text: str) -> int:
    """Return a duration such as 250ms, 3.5s or 2m in microseconds."""
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a time such as 250ms, 3.5s or 2m")
    return round(float(match[1]) * _UNIT_US[match[2]])


def format_duration(duration_us: int) -> str:
    """Return a duration as text that ``duration`` parses, in the largest unit that gives a whole number."""
    for unit in ("h", "m", "s", "ms"):
        if duration_us and duration_us % _UNIT_US[unit] == 0:
            return f"{duration_us // _UNIT_US[unit]}{unit}"
    return f"{duration_us}us"


def format_duration_rounded(duration_us: int) -> str:
    """Return a duration with three digits for charts and logs, such as 12.1s or 350ms."""
    if duration_us < 1_000:
        return f"{duration_us}us"
    if duration_us < 1_000_000:
        return f"{duration_us / 1e3:.3g}ms"
    if duration_us < 600_000_000:
        return f"{duration_us / 1e6:.3g}s" if duration_us < 100_000_000 else f"{duration_us / 1e6:.0f}s"
    return f"{duration_us / 60e6:.3g}m"


def round_durations(text: str) -> str:
    """Return a line with its durations in microseconds rounded, for charts and logs but not for parsing."""
    return re.sub(r"\b(\d+)us\b", lambda match: format_duration_rounded(int(match[1])), text)


def positive_duration(text: str) -> int:
    """Return a duration above 0 in microseconds."""
    value = duration(text)
    if value <= 0:
        raise ValueError("a time above 0 is needed")
    return value


def integer(minimum: int = 0, maximum: int = 2**63) -> ValueParser:
    """Return a parser of whole numbers within the bounds."""

    def parse(text: str) -> int:
        if not re.fullmatch(r"-?\d+", text):
            raise ValueError(f"{text!r} is not a whole number")
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(f"{value} is not within {minimum} to {maximum}")
        return value

    return parse


def number(minimum: float = 0.0, maximum: float = math.inf, exclusive: bool = False) -> ValueParser:
    """Return a parser of numbers within the bounds; ``exclusive`` excludes the minimum itself."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"{text!r} is not a number") from None
        if not math.isfinite(value) or value < minimum or value > maximum or (exclusive and value <= minimum):
            bound = f"above {minimum:g}" if exclusive else f"at least {minimum:g}"
            raise ValueError(
                f"{text} is not {bound}" + (f" and at most {maximum:g}" if maximum < math.inf else "")
            )
        return value

    return parse


def fraction(text: str) -> float:
    """Return a fraction from 0 to 1; 25% is 0.25."""
    if text.endswith("%"):
        return float(number(0, 100)(text[:-1])) / 100
    return float(number(0, 1)(text))


def boolean(text: str) -> bool:
    """Return True for ``yes`` and False for ``no``; any other word raises ValueError."""
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is neither yes nor no")
    return text == "yes"


def choice(*names: str) -> ValueParser:
    """Return a parser that accepts only one of the given words."""

    def parse(text: str) -> str:
        if text not in names:
            raise ValueError(f"{text!r} is none of {', '.join(names)}")
        return text

    return parse


def name(text: str) -> str:
    """Return the text if it is a name of letters, digits, ``_``, ``.`` and ``-``."""
    if not _NAME.fullmatch(text):
        raise ValueError(f"{text!r} is not a name of letters, digits, _ . - (100 at most)")
    return text


def text(value: str) -> str:
    """Return the word unchanged; any word is valid."""
    return value


def size(text: str) -> int:
    """Return a size such as 4096, 64k, 8m or 1g in bytes."""
    match = _SIZE.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a size such as 4096, 64k or 8m")
    return int(match[1]) << {"k": 10, "m": 20, "g": 30}.get(match[2] or "", 0)


def address(text: str) -> str:
    """Return the address unchanged if ``rpc.address`` can parse it."""
    addresses.parse(text)
    return text


def value_range(parse_bound: ValueParser) -> ValueParser:
    """Return a parser that reads ``A..B``, or a single value for both ends, as a pair."""

    def parse(text: str) -> tuple[Any, Any]:
        low, dots, high = text.partition("..")
        pair = (parse_bound(low), parse_bound(high if dots else low))
        if pair[0] > pair[1]:
            raise ValueError(f"{text!r} has a lower end above its upper end")
        return pair

    return parse
