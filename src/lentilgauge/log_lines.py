"""Write log lines without ever blocking, and bound how many there are.

Lines wait in a bounded buffer until the reader of the output takes them. Each
event has a budget of lines a second; what is left out is counted and told. A
reader that has stopped costs lines, never a request, and failures are kept
before the rest.
"""

import asyncio
import collections
import dataclasses
import enum
import os
import types

import msgspec

from lentilgauge import clock

#: What may wait for a slow reader.
MOST_BUFFERED_BYTES = 262_144
#: Of this, only failures and changes of state may use the last part.
_ROUTINE_SHARE = 0.5
#: Lines go out together after at most this long, as each write costs time.
FLUSH_MS = 50


class Weight(enum.IntEnum):
    """Say how much a line matters: routine ones are left out first."""

    ROUTINE = 0
    CHANGE = 1
    FAILURE = 2


#: Lines a second of one event. A failed request must be found by its id, so
#: its budget is far above what a VM answers.
_BUDGET_BY_WEIGHT = types.MappingProxyType(
    {
        Weight.ROUTINE: 200,
        Weight.CHANGE: 200,
        Weight.FAILURE: 400,
    },
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Spending:
    """Hold how many lines of an event went out in the current second."""

    second: int = 0
    lines: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class LineWriter:
    """Hold the lines that wait, and what was left out."""

    descriptor: int
    now_ms: clock.Clock
    least: Weight = Weight.ROUTINE
    waiting: bytearray = dataclasses.field(default_factory=bytearray)
    spending_by_event: dict[str, Spending] = dataclasses.field(
        default_factory=dict,
    )
    left_out: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    told_second: int = 0
    flush_due: bool = False
    watched: bool = False


def make_writer(
    descriptor: int,
    now_ms: clock.Clock,
    least: Weight = Weight.ROUTINE,
) -> LineWriter:
    """Make a writer to an open descriptor, which no longer blocks."""
    os.set_blocking(descriptor, False)
    return LineWriter(descriptor=descriptor, now_ms=now_ms, least=least)


def write_line(
    writer: LineWriter,
    event: str,
    weight: Weight,
    line: dict[str, object],
) -> None:
    """Queue a line, or count it as left out."""
    if weight < writer.least:
        return
    second = writer.now_ms() // clock.MS_PER_SECOND
    if not _may_spend(writer, event, weight, second):
        writer.left_out[event] += 1
        return
    packed = msgspec.json.encode(line, enc_hook=str)
    if not _has_room(writer, weight, len(packed)):
        writer.left_out[event] += 1
        return
    writer.waiting.extend(packed)
    writer.waiting.extend(b'\n')
    _tell_left_out(writer, second)
    _flush_soon(writer)


def _may_spend(
    writer: LineWriter,
    event: str,
    weight: Weight,
    second: int,
) -> bool:
    spending = writer.spending_by_event.setdefault(event, Spending())
    if spending.second != second:
        spending.second = second
        spending.lines = 0
    spending.lines += 1
    return spending.lines <= _BUDGET_BY_WEIGHT[weight]


def _has_room(writer: LineWriter, weight: Weight, size: int) -> bool:
    most = MOST_BUFFERED_BYTES
    if weight is Weight.ROUTINE:
        most = int(most * _ROUTINE_SHARE)
    return len(writer.waiting) + size < most


def _tell_left_out(writer: LineWriter, second: int) -> None:
    """Add a line on what was left out, once a second at most."""
    if not writer.left_out or second == writer.told_second:
        return
    writer.told_second = second
    line = {'event': 'lines_left_out', 'count_by_event': writer.left_out}
    writer.waiting.extend(msgspec.json.encode(line))
    writer.waiting.extend(b'\n')
    writer.left_out = collections.Counter()


def _flush_soon(writer: LineWriter) -> None:
    if writer.flush_due or writer.watched:
        return
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        # Before the loop runs, lines are few.
        flush(writer)
        return
    writer.flush_due = True
    loop.call_later(clock.to_seconds(FLUSH_MS), flush, writer)


def flush(writer: LineWriter) -> None:
    """Write what the reader takes now; wait for it with the rest."""
    writer.flush_due = False
    try:
        written = os.write(writer.descriptor, writer.waiting)
    except BlockingIOError:
        written = 0
    except OSError:
        # The reader is gone for good: nobody misses these lines.
        written = len(writer.waiting)
    writer.waiting = writer.waiting[written:]
    _watch(writer)


def _watch(writer: LineWriter) -> None:
    """Listen for the reader while lines wait, if it can be listened for."""
    wanted = bool(writer.waiting)
    if wanted == writer.watched:
        return
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return
    try:
        _set_watch(writer, loop, wanted=wanted)
    except (OSError, ValueError, NotImplementedError):
        # A plain file can't be listened on, and always takes lines.
        writer.watched = False


def _set_watch(
    writer: LineWriter,
    loop: asyncio.AbstractEventLoop,
    *,
    wanted: bool,
) -> None:
    if wanted:
        loop.add_writer(writer.descriptor, flush, writer)
    else:
        loop.remove_writer(writer.descriptor)
    writer.watched = wanted
