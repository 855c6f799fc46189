"""Puts generated tables between the markers of a page, and finds those that differ. No I/O.

``<!-- table: NAME -->`` opens a table and ``<!-- end -->`` closes it; the rest of the page is left alone.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

_TABLE = re.compile(r"(<!-- table: (?P<name>[a-z0-9-]+) -->\n)(?P<body>.*?)(<!-- end -->)", re.DOTALL)


class PageError(Exception):
    """The markers of the page and the tables do not agree; the text names which."""


def tables_of(page: str) -> dict[str, str]:
    """What stands between the markers, by name. Raises PageError for a name that is there twice."""
    found: dict[str, str] = {}
    for match in _TABLE.finditer(page):
        if match["name"] in found:
            raise PageError(f"table {match['name']} is there twice")
        found[match["name"]] = match["body"]
    opened = page.count("<!-- table:")
    if opened != len(found):
        raise PageError(f"{opened} tables are opened and {len(found)} are closed")
    return found


def with_tables(page: str, tables: Mapping[str, str]) -> str:
    """The page with each table in its place. Raises PageError where one has no place or no table."""
    _check_names(page, tables)
    return _TABLE.sub(lambda match: f"{match[1]}{tables[match['name']]}{match[4]}", page)


def differing(page: str, tables: Mapping[str, str]) -> list[str]:
    """The names of tables that the page has otherwise. Raises PageError as ``with_tables`` does."""
    _check_names(page, tables)
    return [name for name, body in tables_of(page).items() if body != tables[name]]


def _check_names(page: str, tables: Mapping[str, str]) -> None:
    names = set(tables_of(page))
    if names != set(tables):
        without_table, without_place = sorted(names - set(tables)), sorted(set(tables) - names)
        raise PageError(f"without a table: {without_table}; without a place on the page: {without_place}")
