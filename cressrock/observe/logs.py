"""Structured logs: one JSON object per line, on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


def configure(level: str, *, stream: Any = None) -> None:
    """Set up structured logging for the process.

    `level` is a key of LEVELS; `stream` defaults to standard error.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    logging.getLogger().setLevel(logging.WARNING)


def logger(**fields: Any) -> Any:
    """Return a logger that adds `fields` to each line."""
    return structlog.get_logger(**fields)
