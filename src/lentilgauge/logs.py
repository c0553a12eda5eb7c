"""Set-up of logging, and functions that log events."""

import sys
from typing import Protocol

import loguru

from lentilgauge import clock, log_lines

_PRIORITY_KEY = 'weight'
_TIMESTAMP_DECIMALS = 4
_HUMAN_FORMAT = '{time:HH:mm:ss.SSS} {level:<7} {message} {extra}'


class LogSection(Protocol):
    """Log settings of a daemon."""

    @property
    def level(self) -> str:
        """The lowest level that is written."""

    @property
    def form(self) -> str:
        """Format of the lines, either `human` or `json`."""


def set_up_daemon_logs(section: LogSection) -> None:
    """Send log lines to standard error in the configured format."""
    loguru.logger.remove()
    # Tracebacks without the values of variables, which may be callers' bodies
    # and credentials.
    if section.form == 'json':
        loguru.logger.add(
            sys.stderr,
            level=section.level,
            serialize=True,
            diagnose=False,
        )
        return
    loguru.logger.add(
        sys.stderr,
        level=section.level,
        format=_HUMAN_FORMAT,
        diagnose=False,
    )


def set_up_gateway_logs(now_ms: clock.Clock, level: str) -> None:
    """Send log lines to standard output, as one JSON object each.

    A stalled reader of the output never blocks the process. The level
    `changes` leaves out lines on answered and abandoned requests.
    """
    min_priority = log_lines.Priority.ROUTINE
    if level == 'changes':
        min_priority = log_lines.Priority.CHANGE
    writer = log_lines.make_writer(sys.stdout.fileno(), now_ms, min_priority)

    def write(message: 'loguru.Message') -> None:
        _write_record(writer, message)

    loguru.logger.remove()
    # Tracebacks without the values of variables, which may be API keys.
    loguru.logger.add(write, level='INFO', format='{message}', diagnose=False)


def _write_record(
    writer: log_lines.LineWriter,
    message: 'loguru.Message',
) -> None:
    record = message.record
    fields = dict(record['extra'])
    priority = fields.pop(_PRIORITY_KEY, log_lines.Priority.CHANGE)
    line = {
        'time': round(record['time'].timestamp(), _TIMESTAMP_DECIMALS),
        'event': record['message'],
        **fields,
    }
    if record['exception'] is not None:
        line['exception'] = str(message)
    log_lines.write_line(writer, record['message'], priority, line)


def log_with_priority(
    event: str,
    priority: log_lines.Priority,
    fields: dict[str, object],
) -> None:
    """Log an event; lines of a low priority are dropped first."""
    loguru.logger.bind(**{_PRIORITY_KEY: priority}, **fields).info(event)


def log_change(change: str, **fields: object) -> None:
    """Log a state change with its fields."""
    loguru.logger.bind(**fields).info(change)
