"""What a file may hold, and its check against that: unknown keys, counts and kinds of values, blocks."""

from __future__ import annotations

import difflib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .parsers import ValueParser
from .source import SettingsError, SettingsProblem, SourcePosition, SourceWord, read_lines


@dataclass(frozen=True)
class Key:
    """A keyword with its values. ``rest`` reads further words; ``words`` must stand between the values."""

    name: str
    value_parsers: tuple[ValueParser, ...] = ()
    required: bool = False
    repeat: bool = False
    rest_parser: ValueParser | None = None
    min_rest: int = 0
    separators: tuple[str, ...] = ()  # for instance ("", "of"): `planner 0 of 3`


@dataclass(frozen=True)
class Block:
    """A keyword that opens lines of their own, up to ``end``."""

    name: str
    value_parsers: tuple[ValueParser, ...]
    keys: tuple[Key | Block, ...]
    required: bool = False


@dataclass
class Section:
    """What was read: values by keyword, with places."""

    position: SourcePosition
    values: tuple[Any, ...] = ()
    keys: dict[str, list[tuple[SourcePosition, tuple[Any, ...]]]] = field(default_factory=dict)
    blocks: dict[str, list[Section]] = field(default_factory=dict)

    def value(self, key: str, default: Any = None) -> Any:
        """The value of a keyword with one value, or a tuple of several; ``default`` where it is not given."""
        found = self.keys.get(key)
        if not found:
            return default
        values = found[0][1]
        return values[0] if len(values) == 1 else values

    def all_values(self, key: str) -> list[tuple[Any, ...]]:
        return [values for _, values in self.keys.get(key, ())]

    def position_of(self, key: str) -> SourcePosition:
        found = self.keys.get(key)
        return found[0][0] if found else self.position


def _read_text(path: str | Path) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise SettingsError([SettingsProblem(SourcePosition(str(path), 1, 1), "", str(reason))]) from None


def source_lines(path: str | Path) -> list[list[SourceWord]]:
    """The words of each line of a file. Raises SettingsError."""
    return read_lines(_read_text(path), str(path))


def load_section(path: str | Path, schema: tuple[Key | Block, ...]) -> Section:
    """Read and check a file. Raises SettingsError, also where the file cannot be read."""
    return load_section_text(_read_text(path), schema, str(path))


def load_section_text(text: str, schema: tuple[Key | Block, ...], file: str = "<text>") -> Section:
    """The same for text."""
    reader = _SectionReader(read_lines(text, file), file)
    section = reader.section(schema, Section(SourcePosition(file, 1, 1)), None)
    if reader.problems:
        raise SettingsError(sorted(reader.problems, key=lambda p: (p.position.line, p.position.column)))
    return section


class _SectionReader:
    def __init__(self, lines: list[list[SourceWord]], file: str) -> None:
        self.lines = lines
        self.next = 0
        self.problems: list[SettingsProblem] = []
        self.file = file

    def wrong(self, at: SourcePosition, key: str, message: str) -> None:
        self.problems.append(SettingsProblem(at, key, message))

    def section(self, schema: tuple[Key | Block, ...], section: Section, inside: str | None) -> Section:
        known = {item.name: item for item in schema}
        closed = inside is None
        while self.next < len(self.lines):
            words = self.lines[self.next]
            self.next += 1
            head = words[0]
            if head.text == "end" and inside is not None:
                if len(words) > 1:
                    self.wrong(words[1].position, "end", "nothing may follow it")
                closed = True
                break
            item = known.get(head.text)
            if item is None:
                self._unknown(head, tuple(known), inside)
            elif isinstance(item, Block):
                values = self._values(item.name, item.value_parsers, words, None, 0, ())
                block = self.section(item.keys, Section(head.position, values or ()), item.name)
                if values is not None:
                    section.blocks.setdefault(item.name, []).append(block)
            else:
                self._key(item, words, section)
        if not closed:
            self.wrong(section.position, inside or "", "this block is not closed by `end`")
        for item in schema:
            given = section.blocks if isinstance(item, Block) else section.keys
            # A key that is there but wrong was reported already.
            if item.required and item.name not in given and not self._tried(item.name, section):
                self.wrong(section.position, item.name, "is required" + (f" in {inside}" if inside else ""))
        return section

    def _tried(self, name: str, section: Section) -> bool:
        return any(p.key == name and p.position.line >= section.position.line for p in self.problems)

    def _unknown(self, head: SourceWord, known: tuple[str, ...], inside: str | None) -> None:
        near = difflib.get_close_matches(head.text, known, n=1, cutoff=0.5)
        where = f" in {inside}" if inside else ""
        hint = f"; did you mean {near[0]}?" if near else f"; known: {', '.join(sorted(known))}"
        self.wrong(head.position, head.text, f"unknown keyword{where}{hint}")

    def _key(self, key: Key, words: list[SourceWord], section: Section) -> None:
        if key.name in section.keys and not key.repeat:
            first = section.keys[key.name][0][0]
            self.wrong(words[0].position, key.name, f"given twice; first in line {first.line}")
            return
        values = self._values(
            key.name, key.value_parsers, words, key.rest_parser, key.min_rest, key.separators
        )
        if values is not None:
            section.keys.setdefault(key.name, []).append((words[0].position, values))

    def _values(
        self,
        name: str,
        kinds: tuple[ValueParser, ...],
        words: list[SourceWord],
        rest: ValueParser | None,
        least_rest: int,
        between: tuple[str, ...],
    ) -> tuple[Any, ...] | None:
        out: list[Any] = []
        given = words[1:]
        good = True
        for i, kind in enumerate(kinds):
            if i < len(between) and between[i]:
                if not given or given[0].text != between[i]:
                    at = given[0].position if given else words[0].position
                    self.wrong(at, name, f"the word {between[i]!r} is needed here")
                    return None
                given = given[1:]
            if not given:
                self.wrong(words[0].position, name, f"value {i + 1} of {len(kinds)} is missing")
                return None
            good &= self._value(name, kind, given[0], out)
            given = given[1:]
        if rest is None and given:
            self.wrong(given[0].position, name, f"{given[0].text!r} is one value too many")
            return None
        if len(given) < least_rest:
            self.wrong(words[0].position, name, "a further value is missing")
            return None
        for word in given:
            assert rest is not None
            good &= self._value(name, rest, word, out)
        return tuple(out) if good else None

    def _value(self, name: str, kind: ValueParser, word: SourceWord, out: list[Any]) -> bool:
        try:
            out.append(kind(word.text))
        except ValueError as error:
            self.wrong(word.position, name, str(error))
            return False
        return True
