"""Restores the logging configuration after each test, because the command changes it for its process."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
import structlog


@pytest.fixture(autouse=True)
def restore_logging() -> Iterator[None]:
    """Restore the structlog configuration that was in place before the test."""
    was_configured, previous = structlog.is_configured(), structlog.get_config()
    yield
    if was_configured:
        structlog.configure(**previous)
    else:
        structlog.reset_defaults()
