"""Journal of the requests of a stand-in upstream.

Checks read it after the run, also if the upstream's process was killed.
"""

import dataclasses
import enum
import pathlib
from typing import TextIO

import pydantic


class RequestEvent(enum.StrEnum):
    """What happened to a request."""

    STARTED = 'started'
    ENDED = 'ended'
    REFUSED = 'refused'


class JournalLine(pydantic.BaseModel):
    """One event of a request that the upstream received.

    `at_us` is wall-clock time, so that the journals of several upstreams can
    be compared. `running` is the number of requests that the upstream was
    executing then.
    """

    upstream_id: str
    incarnation: str
    request_id: str
    idempotency_key: str
    path: str
    slot: int
    epoch: int
    outcome: RequestEvent
    reason: str
    at_us: int
    running: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Journal:
    """Journal open for appending; it is disabled if `stream` is `None`."""

    stream: TextIO | None


def open_journal(path: str) -> Journal:
    """Open a journal for appending; an empty path disables it."""
    if not path:
        return Journal(stream=None)
    return Journal(stream=pathlib.Path(path).open('a', encoding='utf-8'))


def write_line(journal: Journal, journal_line: JournalLine) -> None:
    """Write and flush one line, so that a later kill can't lose it."""
    if journal.stream is None:
        return
    journal.stream.write(f'{journal_line.model_dump_json()}\n')
    journal.stream.flush()


def read_lines(path: pathlib.Path) -> list[JournalLine]:
    """Read a journal, without a last line that a kill has cut short."""
    if not path.exists():
        return []
    text = path.read_text(encoding='utf-8')
    return [
        JournalLine.model_validate_json(line)
        for line in text.splitlines(keepends=True)
        if line.endswith('\n')
    ]
