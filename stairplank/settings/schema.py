"""Schemas of settings files, and the check of a file: unknown keywords, counts and types of values."""

from __future__ import annotations

import difflib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .parsers import ValueParser
from .source import SettingsError, SettingsProblem, SourcePosition, SourceWord, read_lines

_INVALID = object()  # replaces a value that cannot be parsed


@dataclass(frozen=True)
class Key:
    """A keyword with its values.

    Attributes:
        name: The keyword.
        value_parsers: One parser for each value that every line has.
        required: Whether the file or block must have the keyword.
        repeat: Whether the keyword may occur more than once.
        rest_parser: Parser of all further values; None if none are allowed.
        min_rest: Minimum number of further values.
        separators: Word before each value, empty for none; ("", "of") parses ``planner 0 of 3``.
    """

    name: str
    value_parsers: tuple[ValueParser, ...] = ()
    required: bool = False
    repeat: bool = False
    rest_parser: ValueParser | None = None
    min_rest: int = 0
    separators: tuple[str, ...] = ()


@dataclass(frozen=True)
class Block:
    """A keyword that opens a block of lines, which ``end`` closes."""

    name: str
    value_parsers: tuple[ValueParser, ...]
    keys: tuple[Key | Block, ...]
    required: bool = False


Schema = tuple[Key | Block, ...]


@dataclass
class Section:
    """The values read from a file or a block, by keyword, with their positions."""

    position: SourcePosition
    values: tuple[Any, ...] = ()
    keys: dict[str, list[tuple[SourcePosition, tuple[Any, ...]]]] = field(default_factory=dict)
    blocks: dict[str, list[Section]] = field(default_factory=dict)

    def value(self, key: str, default: Any = None) -> Any:
        """Return the value of a keyword, or a tuple of several; ``default`` if the keyword is not given."""
        found = self.keys.get(key)
        if not found:
            return default
        values = found[0][1]
        return values[0] if len(values) == 1 else values

    def all_values(self, key: str) -> list[tuple[Any, ...]]:
        """Return the values of every line with this keyword."""
        return [values for _, values in self.keys.get(key, ())]

    def position_of(self, key: str) -> SourcePosition:
        """Return the first position of a keyword, or the start of the section if the keyword is not given."""
        found = self.keys.get(key)
        return found[0][0] if found else self.position


def _read_text(path: str | Path) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise SettingsError([SettingsProblem(SourcePosition(str(path), 1, 1), "", str(reason))]) from None


def source_lines(path: str | Path) -> list[list[SourceWord]]:
    """Return the words of each line of a file. Raises SettingsError."""
    return read_lines(_read_text(path), str(path))


def load_section(path: str | Path, schema: Schema) -> Section:
    """Load and check a file. Raises SettingsError, also if the file cannot be read."""
    return load_section_text(_read_text(path), schema, str(path))


def load_section_text(text: str, schema: Schema, file: str = "<text>") -> Section:
    """Parse and check a text; errors use ``file`` as its name. Raises SettingsError."""
    reader = _SectionReader(read_lines(text, file))
    section = reader.read_section(schema, Section(SourcePosition(file, 1, 1)), None)
    if reader.problems:
        raise SettingsError(sorted(reader.problems, key=_line_and_column))
    return section


def _line_and_column(problem: SettingsProblem) -> tuple[int, int]:
    return problem.position.line, problem.position.column


class _SectionReader:
    """Reads the lines of one file and collects all problems instead of stopping at the first."""

    def __init__(self, lines: list[list[SourceWord]]) -> None:
        self.problems: list[SettingsProblem] = []
        self._lines = lines
        self._next_line = 0

    def read_section(self, schema: Schema, section: Section, block: str | None) -> Section:
        """Read lines into the section up to its end; ``block`` is its keyword, None for the whole file."""
        items = {item.name: item for item in schema}
        is_closed = block is None
        while self._next_line < len(self._lines):
            words = self._lines[self._next_line]
            self._next_line += 1
            if block is not None and words[0].text == "end":
                if len(words) > 1:
                    self._report(words[1].position, "end", "nothing may follow it")
                is_closed = True
                break
            self._read_line(words, items, section, block)
        if not is_closed:
            self._report(section.position, block or "", "this block is not closed by `end`")
        self._report_missing(schema, section, block)
        return section

    def _read_line(
        self, words: list[SourceWord], items: dict[str, Key | Block], section: Section, block: str | None
    ) -> None:
        item = items.get(words[0].text)
        if item is None:
            self._report_unknown(words[0], tuple(items), block)
        elif isinstance(item, Block):
            self._read_block(item, words, section)
        else:
            self._read_key(item, words, section)

    def _read_block(self, block: Block, words: list[SourceWord], section: Section) -> None:
        # Read the lines of a block even if the values after its keyword are wrong, to report all problems.
        values = self._read_values(Key(block.name, block.value_parsers), words)
        inner = self.read_section(block.keys, Section(words[0].position, values or ()), block.name)
        if values is not None:
            section.blocks.setdefault(block.name, []).append(inner)

    def _read_key(self, key: Key, words: list[SourceWord], section: Section) -> None:
        if key.name in section.keys and not key.repeat:
            first, _ = section.keys[key.name][0]
            self._report(words[0].position, key.name, f"given twice; first in line {first.line}")
            return
        values = self._read_values(key, words)
        if values is not None:
            section.keys.setdefault(key.name, []).append((words[0].position, values))

    def _read_values(self, key: Key, words: list[SourceWord]) -> tuple[Any, ...] | None:
        """Return the values of a line, or None if it has a problem."""
        values: list[Any] = []
        rest = self._read_fixed_values(key, words, values)
        if rest is None:
            return None
        if key.rest_parser is None and rest:
            self._report(rest[0].position, key.name, f"{rest[0].text!r} is one value too many")
            return None
        if len(rest) < key.min_rest:
            self._report(words[0].position, key.name, "a further value is missing")
            return None
        if key.rest_parser is not None:
            values += [self._parse(key, key.rest_parser, word) for word in rest]
        return None if any(value is _INVALID for value in values) else tuple(values)

    def _read_fixed_values(
        self, key: Key, words: list[SourceWord], values: list[Any]
    ) -> list[SourceWord] | None:
        """Append the values that every line has; return the remaining words, None if a value is missing."""
        rest = words[1:]
        for i, parser in enumerate(key.value_parsers):
            separator = key.separators[i] if i < len(key.separators) else ""
            if separator:
                if not rest or rest[0].text != separator:
                    position = rest[0].position if rest else words[0].position
                    self._report(position, key.name, f"the word {separator!r} is needed here")
                    return None
                rest = rest[1:]
            if not rest:
                message = f"value {i + 1} of {len(key.value_parsers)} is missing"
                self._report(words[0].position, key.name, message)
                return None
            values.append(self._parse(key, parser, rest[0]))
            rest = rest[1:]
        return rest

    def _parse(self, key: Key, parser: ValueParser, word: SourceWord) -> Any:
        """Return the value of a word, or _INVALID if it cannot be parsed."""
        try:
            return parser(word.text)
        except ValueError as error:
            self._report(word.position, key.name, str(error))
            return _INVALID

    def _report(self, position: SourcePosition, key: str, message: str) -> None:
        self.problems.append(SettingsProblem(position, key, message))

    def _report_unknown(self, keyword: SourceWord, known: tuple[str, ...], block: str | None) -> None:
        matches = difflib.get_close_matches(keyword.text, known, n=1, cutoff=0.5)
        where = f" in {block}" if block else ""
        hint = f"; did you mean {matches[0]}?" if matches else f"; known: {', '.join(sorted(known))}"
        self._report(keyword.position, keyword.text, f"unknown keyword{where}{hint}")

    def _report_missing(self, schema: Schema, section: Section, block: str | None) -> None:
        for item in schema:
            given = section.blocks if isinstance(item, Block) else section.keys
            # A keyword that is present but invalid has been reported already.
            if item.required and item.name not in given and not self._is_reported(item.name, section):
                message = "is required" + (f" in {block}" if block else "")
                self._report(section.position, item.name, message)

    def _is_reported(self, name: str, section: Section) -> bool:
        return any(
            problem.key == name and problem.position.line >= section.position.line
            for problem in self.problems
        )
