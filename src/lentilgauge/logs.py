"""Set up log lines, which report changes of state only."""

import sys
from typing import Protocol

import loguru

from lentilgauge import clock, log_lines

_WEIGHT = 'weight'
_TIME_DIGITS = 4
_HUMAN_FORMAT = '{time:HH:mm:ss.SSS} {level:<7} {message} {extra}'


class LogSection(Protocol):
    """Stand for settings of logs."""

    @property
    def level(self) -> str:
        """The least level that is written."""

    @property
    def form(self) -> str:
        """Either `human` or `json`."""


def set_up_logs(section: LogSection) -> None:
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


def set_up_service_logs(now_ms: clock.Clock, level: str) -> None:
    """Send log lines to standard output, as one JSON object each.

    A stopped reader of the output never blocks the process. At the level
    `changes`, lines on requests that were answered are left out.
    """
    least = log_lines.Weight.ROUTINE
    if level == 'changes':
        least = log_lines.Weight.CHANGE
    writer = log_lines.make_writer(sys.stdout.fileno(), now_ms, least)

    def write(message: 'loguru.Message') -> None:
        _write_record(writer, message)

    loguru.logger.remove()
    loguru.logger.add(write, level='INFO', format='{message}')


def _write_record(
    writer: log_lines.LineWriter,
    message: 'loguru.Message',
) -> None:
    record = message.record
    fields = dict(record['extra'])
    weight = fields.pop(_WEIGHT, log_lines.Weight.CHANGE)
    line = {
        'time': round(record['time'].timestamp(), _TIME_DIGITS),
        'event': record['message'],
        **fields,
    }
    if record['exception'] is not None:
        line['exception'] = str(message)
    log_lines.write_line(writer, record['message'], weight, line)


def log_weighted(
    event: str,
    weight: log_lines.Weight,
    fields: dict[str, object],
) -> None:
    """Log one event; its weight says what is left out first."""
    loguru.logger.bind(**{_WEIGHT: weight}, **fields).info(event)


def log_change(change: str, **fields: object) -> None:
    """Log one change of state with its fields."""
    loguru.logger.bind(**fields).info(change)
