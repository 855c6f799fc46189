"""Tests that every path and every name in docs/architecture.md exists in the repository."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs" / "architecture.md").read_text()
PATHS = sorted(set(re.findall(r"`((?:stairplank|docs|tests|deploy|proto)/[\w./-]*)`", PAGE)))
NAMES = sorted(set(re.findall(r"`(stairplank/[\w/]+\.py):([\w.]+)`", PAGE)))


def names_of(body: list[ast.stmt]) -> dict[str, ast.stmt]:
    """Return the names that a module or class body binds, each with its statement."""
    names: dict[str, ast.stmt] = {}
    for statement in body:
        match statement:
            case ast.ClassDef(name=name) | ast.FunctionDef(name=name):
                names[name] = statement
            case ast.Assign(targets=[ast.Name(id=name)]) | ast.AnnAssign(target=ast.Name(id=name)):
                names[name] = statement
    return names


@pytest.mark.parametrize("path", PATHS)
def test_a_path_exists(path: str) -> None:
    assert (ROOT / path).exists()


@pytest.mark.parametrize(("path", "name"), NAMES)
def test_a_name_exists(path: str, name: str) -> None:
    body = ast.parse((ROOT / path).read_text()).body
    for part in name.split("."):
        names = names_of(body)
        assert part in names
        body = getattr(names[part], "body", [])


def test_the_page_has_enough_names_and_paths() -> None:
    assert len(NAMES) > 40
    assert len(PATHS) > 15
