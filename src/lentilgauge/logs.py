"""Set up log lines, which report changes of state only."""

import sys

import loguru

from lentilgauge import settings

_HUMAN_FORMAT = '{time:HH:mm:ss.SSS} {level:<7} {message} {extra}'


def set_up_logs(section: settings.LogSettings) -> None:
    """Send log lines to standard error in the configured form."""
    loguru.logger.remove()
    if section.form == 'json':
        loguru.logger.add(
            sys.stderr,
            level=section.level,
            serialize=True,
        )
        return
    loguru.logger.add(sys.stderr, level=section.level, format=_HUMAN_FORMAT)


def log_change(change: str, **fields: object) -> None:
    """Log one change of state with its fields."""
    loguru.logger.bind(**fields).info(change)
