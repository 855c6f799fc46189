"""Configures structured logging: one event per line, on standard error."""

from __future__ import annotations

import logging
import sys

import structlog

LEVELS = ("debug", "info", "warning", "error")


def set_up(form: str, level: str) -> None:
    """Configure logging for this process. ``form`` is "text" or "json"; ``level`` is one of LEVELS."""
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
