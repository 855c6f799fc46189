"""Splits a settings file into lines of words with their positions."""

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
    """A position in a file; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        """Return ``file:line:column``."""
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """A problem in a file; ``key`` is the keyword that it concerns, or empty."""

    position: SourcePosition
    key: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line, as it is shown to users."""
        return (
            f"{self.position}: {self.key}: {self.message}" if self.key else f"{self.position}: {self.message}"
        )


class SettingsError(Exception):
    """A settings file cannot be used.

    Attributes:
        problems: Every problem of the file, not only the first.
    """

    def __init__(self, problems: list[SettingsProblem]) -> None:
        """Use the problems as the error text, one per line."""
        self.problems = tuple(problems)
        super().__init__("\n".join(map(str, problems)))


@dataclass(frozen=True, slots=True)
class SourceWord:
    """A word of a line; quotes around it are removed."""

    text: str
    position: SourcePosition


def read_lines(text: str, file: str) -> list[list[SourceWord]]:
    """Return the words of each line that is not empty. Raises SettingsError if the text cannot be parsed."""
    if len(text) > MAX_FILE_BYTES:
        raise SettingsError(
            [SettingsProblem(SourcePosition(file, 1, 1), "", f"larger than {MAX_FILE_BYTES} bytes")]
        )
    if "\0" in text:
        before = text[: text.index("\0")]
        position = SourcePosition(file, before.count("\n") + 1, len(before) - before.rfind("\n"))
        raise SettingsError(
            [SettingsProblem(position, "", "contains a NUL byte, so it is not a settings file")]
        )
    try:
        tree = _PARSER.parse(text)
    except UnexpectedInput as error:
        line = max(error.line, 1)
        column = max(error.column, 1)
        rest = text.split("\n")[line - 1][column - 1 :] if line <= text.count("\n") + 1 else ""
        message = "a quote that is not closed" if rest.startswith('"') else f"cannot read {rest[:20]!r}"
        raise SettingsError([SettingsProblem(SourcePosition(file, line, column), "", message)]) from None
    return [[_source_word(token, file) for token in line.children] for line in tree.children]  # type: ignore[union-attr,arg-type]


def _source_word(token: Token, file: str) -> SourceWord:
    text = str(token)
    if token.type == "QUOTED":
        text = text[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return SourceWord(text, SourcePosition(file, token.line or 1, token.column or 1))
