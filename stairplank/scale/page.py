"""Inserts generated tables between the markers of a page and finds outdated tables. No I/O.

``<!-- table: NAME -->`` opens a table and ``<!-- end -->`` closes it; the rest of the page stays unchanged.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

_TABLE = re.compile(r"(<!-- table: (?P<name>[a-z0-9-]+) -->\n)(?P<body>.*?)(<!-- end -->)", re.DOTALL)


class PageError(Exception):
    """Raised if the markers of the page do not match the tables; the text names the mismatch."""


def tables_of(page: str) -> dict[str, str]:
    """Returns the page's tables by name. Raises PageError for a duplicate name or an unclosed table."""
    found: dict[str, str] = {}
    for match in _TABLE.finditer(page):
        if match["name"] in found:
            raise PageError(f"duplicate table {match['name']}")
        found[match["name"]] = match["body"]
    opened = page.count("<!-- table:")
    if opened != len(found):
        raise PageError(f"{opened} tables are opened but {len(found)} are closed")
    return found


def with_tables(page: str, tables: Mapping[str, str]) -> str:
    """Returns the page with each table inserted. Raises PageError if the markers and tables do not match."""
    _check_names(page, tables)
    return _TABLE.sub(lambda match: f"{match[1]}{tables[match['name']]}{match[4]}", page)


def differing(page: str, tables: Mapping[str, str]) -> list[str]:
    """Returns the names of tables that differ on the page. Raises PageError as ``with_tables`` does."""
    _check_names(page, tables)
    return [name for name, body in tables_of(page).items() if body != tables[name]]


def _check_names(page: str, tables: Mapping[str, str]) -> None:
    names = set(tables_of(page))
    if names != set(tables):
        without_table, without_marker = sorted(names - set(tables)), sorted(set(tables) - names)
        raise PageError(
            f"markers without a table: {without_table}; tables without a marker: {without_marker}"
        )
