"""The form of a settings file: lines of words with their places."""

from __future__ import annotations

from dataclasses import dataclass

from lark import Lark, Token
from lark.exceptions import UnexpectedInput

_GRAMMAR = r"""
start: (line? _NL)* line?
line: (BARE | QUOTED)+
BARE: /[^\s"#][^\s"]*/
QUOTED: /"(\\.|[^"\\\n])*"/
_NL: /\r?\n/
%ignore /[ \t\f]+/
%ignore /#[^\n]*/
"""
_PARSER = Lark(_GRAMMAR, parser="lalr")
MAX_FILE_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class SourcePosition:
    file: str
    line: int  # from 1
    column: int  # from 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    position: SourcePosition
    key: str
    message: str

    def __str__(self) -> str:
        return (
            f"{self.position}: {self.key}: {self.message}" if self.key else f"{self.position}: {self.message}"
        )


class SettingsError(Exception):
    """What is wrong with a file: all of it, not only the first."""

    def __init__(self, problems: list[SettingsProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(map(str, problems)))


@dataclass(frozen=True, slots=True)
class SourceWord:
    text: str
    position: SourcePosition


def read_lines(text: str, file: str) -> list[list[SourceWord]]:
    """The words of each line that has any. Raises SettingsError at the first place that cannot be read."""
    if len(text) > MAX_FILE_BYTES:
        raise SettingsError(
            [SettingsProblem(SourcePosition(file, 1, 1), "", f"larger than {MAX_FILE_BYTES} bytes")]
        )
    if "\0" in text:
        before = text[: text.index("\0")]
        at = SourcePosition(file, before.count("\n") + 1, len(before) - before.rfind("\n"))
        raise SettingsError([SettingsProblem(at, "", "a NUL byte: this is no settings file")])
    try:
        tree = _PARSER.parse(text)
    except UnexpectedInput as error:
        line, column = max(error.line, 1), max(error.column, 1)
        rest = text.split("\n")[line - 1][column - 1 :] if line <= text.count("\n") + 1 else ""
        what = "a quote that is not closed" if rest.startswith('"') else f"cannot read {rest[:20]!r}"
        raise SettingsError([SettingsProblem(SourcePosition(file, line, column), "", what)]) from None
    return [[_source_word(t, file) for t in line.children] for line in tree.children]  # type: ignore[union-attr,arg-type]


def _source_word(token: Token, file: str) -> SourceWord:
    text = str(token)
    if token.type == "QUOTED":
        text = text[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return SourceWord(text, SourcePosition(file, token.line or 1, token.column or 1))
