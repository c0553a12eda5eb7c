"""Keep the journal of an upstream's executions, which outlives a kill."""

import dataclasses
import enum
import pathlib
from typing import TextIO

import pydantic


class Outcome(enum.StrEnum):
    """Name what a line reports of a request."""

    STARTED = 'started'
    ENDED = 'ended'
    REFUSED = 'refused'


class Line(pydantic.BaseModel):
    """Report one step of one received request.

    `at_us` is in the wall clock, so that the journals of several upstreams
    can be laid side by side. `running` counts the requests that run.
    """

    upstream_id: str
    incarnation: str
    request_id: str
    idempotency_key: str
    path: str
    slot: int
    epoch: int
    outcome: Outcome
    reason: str
    at_us: int
    running: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Journal:
    """Hold an open journal; `None` where nobody wants one."""

    lines: TextIO | None


def open_journal(path: str) -> Journal:
    """Open a journal for appending; an empty path keeps none."""
    if not path:
        return Journal(lines=None)
    return Journal(lines=pathlib.Path(path).open('a', encoding='utf-8'))


def write_line(journal: Journal, line: Line) -> None:
    """Write one line so that a kill a moment later can't lose it."""
    if journal.lines is None:
        return
    journal.lines.write(f'{line.model_dump_json()}\n')
    journal.lines.flush()


def read_lines(path: pathlib.Path) -> list[Line]:
    """Read a journal; a last line cut short by a kill is left out."""
    if not path.exists():
        return []
    text = path.read_text(encoding='utf-8')
    return [
        Line.model_validate_json(line)
        for line in text.splitlines(keepends=True)
        if line.endswith('\n')
    ]
