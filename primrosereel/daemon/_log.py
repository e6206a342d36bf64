"""Structured logs: one JSON object per line on standard output."""

import logging
from typing import Any

import structlog

__all__ = ['configure']


def configure(level: str, **fields: Any) -> Any:
    """Configure logging; return a logger that adds the given fields."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger(**fields)
