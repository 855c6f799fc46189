"""What every test leaves behind: nothing that goes on."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from endings import ended


@pytest.fixture(autouse=True)
def nothing_runs_on() -> Iterator[None]:
    with ended():
        yield
