"""Determines the kind of a settings file from the keywords on its lines. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .schema import Block, Key, Schema
from .source import SettingsError, SettingsProblem, SourceWord

# Keywords of blocks that only some kinds of file have. In a file of another kind, the whole block is skipped.
KNOWN_BLOCKS = frozenset({"class", "demand", "fleet"})
MIN_UNKNOWN_LINES = 2  # a file with fewer unknown lines counts as faulty, not as another kind
MAX_KNOWN_RATIO = 4  # in a file of another kind, at least one line in this many is unknown


@dataclass(frozen=True, slots=True)
class SchemaMatch:
    """How well the lines of a file match the keywords of a kind of file.

    Attributes:
        kind: Name of the kind of file.
        unknown_lines: Number of lines whose keyword the kind does not have, or has with other values.
        missing_keywords: Number of keywords that the kind requires and the file does not have.
    """

    kind: str
    unknown_lines: int
    missing_keywords: int

    @property
    def distance(self) -> tuple[int, int]:
        """A sort key that is smaller for a likelier kind."""
        return self.unknown_lines, self.missing_keywords


def rank_schemas(lines: list[list[SourceWord]], schemas: Mapping[str, Schema]) -> list[SchemaMatch]:
    """Return the match of every kind, likeliest first: fewest unknown lines, then fewest missing keywords."""
    matches = [_match_schema(kind, lines, schema) for kind, schema in schemas.items()]
    return sorted(matches, key=lambda match: match.distance)


def likely_kinds(lines: list[list[SourceWord]], schemas: Mapping[str, Schema]) -> list[str]:
    """Return the likeliest kinds of a file: one, or several that match equally well."""
    ordered = rank_schemas(lines, schemas)
    return [match.kind for match in ordered if match.distance == ordered[0].distance]


def _match_schema(kind: str, lines: list[list[SourceWord]], schema: Schema) -> SchemaMatch:
    by_name = {item.name: item for item in schema}
    blocks = KNOWN_BLOCKS | {item.name for item in schema if isinstance(item, Block)}
    unknown_lines = 0
    seen: set[str] = set()
    is_in_block = False
    for words in lines:
        name = words[0].text
        if is_in_block:
            is_in_block = name != "end"
            continue
        item = by_name.get(name)
        if item is None or not _has_shape(item, words):
            unknown_lines += 1
        seen.add(name)
        is_in_block = name in blocks if item is None else isinstance(item, Block)
    required = {item.name for item in schema if item.required}
    return SchemaMatch(kind, unknown_lines, len(required - seen))


def _has_shape(item: Key | Block, words: list[SourceWord]) -> bool:
    """Whether a line has valid values for its keyword: ``planner`` has different values in two kinds."""
    values = [word.text for word in words[1:]]
    for i, separator in enumerate(item.separators if isinstance(item, Key) else ()):
        if separator and values[i : i + 1] != [separator]:
            return False
        if separator:
            del values[i]
    if len(values) < len(item.value_parsers):
        return False
    for parser, value in zip(item.value_parsers, values, strict=False):
        try:
            parser(value)
        except ValueError:
            return False
    return isinstance(item, Block) or item.rest_parser is not None or len(values) == len(item.value_parsers)


def wrong_kind_error(
    file: str, wanted: str, lines: list[list[SourceWord]], schemas: Mapping[str, Schema]
) -> SettingsError | None:
    """Return one error if a file is clearly of another kind than the wanted one, else None.

    The error replaces a separate error for each unknown line.
    """
    matches = rank_schemas(lines, schemas)
    best = matches[0]
    wanted_match = next(match for match in matches if match.kind == wanted)
    is_likely_mistake = (
        wanted_match.unknown_lines >= MIN_UNKNOWN_LINES
        and wanted_match.unknown_lines * MAX_KNOWN_RATIO >= len(lines)
    )
    if not lines or best.kind == wanted or best.unknown_lines or not is_likely_mistake:
        return None
    message = f"{file} is a file for `{best.kind}`, not for `{wanted}`"
    return SettingsError([SettingsProblem(lines[0][0].position, "", message)])
