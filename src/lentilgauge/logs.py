"""Set up log lines, which report changes of state only."""

import os
import sys
from typing import Protocol

import loguru
import msgspec

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


def set_up_service_logs() -> None:
    """Send log lines to standard output, as one JSON object each."""
    loguru.logger.remove()
    loguru.logger.add(_write_line, level='INFO', format='{message}')


def _write_line(message: 'loguru.Message') -> None:
    record = message.record
    line = {
        'time': record['time'].timestamp(),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        line['exception'] = str(message)
    packed = bytearray(msgspec.json.encode(line, enc_hook=str))
    packed.extend(b'\n')
    os.write(sys.stdout.fileno(), packed)


def log_change(change: str, **fields: object) -> None:
    """Log one change of state with its fields."""
    loguru.logger.bind(**fields).info(change)
