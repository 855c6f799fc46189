"""The command sets up logging for its process; here it is as before after each test."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
import structlog


@pytest.fixture(autouse=True)
def logging_as_before() -> Iterator[None]:
    was_set_up, before = structlog.is_configured(), structlog.get_config()
    yield
    if was_set_up:
        structlog.configure(**before)
    else:
        structlog.reset_defaults()
