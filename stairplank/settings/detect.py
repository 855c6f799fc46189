"""What kind of file one is, by the keywords on its lines. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .schema import Block, Key
from .source import SettingsError, SettingsProblem, SourceWord

Schema = tuple[Key | Block, ...]


@dataclass(frozen=True, slots=True)
class SchemaMatch:
    """How well a file's lines agree with a kind's keywords."""

    kind: str
    unknown_lines: int  # lines with a keyword that the kind has not, or with another shape of one it has
    missing_keywords: int  # keywords that the kind needs and the file has not

    @property
    def is_exact(self) -> bool:
        return not self.unknown_lines and not self.missing_keywords


def rank_schemas(lines: list[list[SourceWord]], schemas: Mapping[str, Schema]) -> list[SchemaMatch]:
    """Every kind, the likeliest first: fewest unknown lines, then fewest missing keywords."""
    out = [_match_schema(kind, lines, schema) for kind, schema in schemas.items()]
    return sorted(out, key=lambda f: (f.unknown_lines, f.missing_keywords))


def likely_kinds(lines: list[list[SourceWord]], schemas: Mapping[str, Schema]) -> list[str]:
    """The kind of a file; two or more where it could be any of them."""
    ordered = rank_schemas(lines, schemas)
    first = ordered[0]
    return [
        f.kind
        for f in ordered
        if (f.unknown_lines, f.missing_keywords) == (first.unknown_lines, first.missing_keywords)
    ]


def _match_schema(kind: str, lines: list[list[SourceWord]], schema: Schema) -> SchemaMatch:
    by_name = {item.name: item for item in schema}
    blocks = {"class", "demand", "fleet"} | {i.name for i in schema if isinstance(i, Block)}
    unknown = 0
    seen: set[str] = set()
    inside = False
    for words in lines:
        name = words[0].text
        if inside:
            inside = name != "end"
            continue
        item = by_name.get(name)
        if item is None or not _has_shape(item, words):
            unknown += 1
        seen.add(name)
        inside = name in blocks if item is None else isinstance(item, Block)
    needed = {item.name for item in schema if item.required}
    return SchemaMatch(kind, unknown, len(needed - seen))


def _has_shape(item: Key | Block, words: list[SourceWord]) -> bool:
    """Whether a line has the words that the keyword takes: ``planner`` means different things to two."""
    values = [w.text for w in words[1:]]
    for i, word in enumerate(item.separators if isinstance(item, Key) else ()):
        if word and values[i : i + 1] != [word]:
            return False
        if word:
            del values[i]
    if len(values) < len(item.value_parsers):
        return False
    for kind, value in zip(item.value_parsers, values, strict=False):
        try:
            kind(value)
        except ValueError:
            return False
    return isinstance(item, Block) or item.rest_parser is not None or len(values) == len(item.value_parsers)


def wrong_kind_error(
    file: str, wanted: str, lines: list[list[SourceWord]], schemas: Mapping[str, Schema]
) -> SettingsError | None:
    """One line where a file is plainly of another kind than it is taken for, not one for each line."""
    ordered = rank_schemas(lines, schemas)
    best = ordered[0]
    own = next(f for f in ordered if f.kind == wanted)
    if (
        best.kind == wanted
        or not lines
        or best.unknown_lines
        or own.unknown_lines < 2
        or own.unknown_lines * 4 < len(lines)
    ):
        return None
    at = lines[0][0].position
    text = f"{file} is a file for `{best.kind}`, not for `{wanted}`"
    return SettingsError([SettingsProblem(at, "", text)])
