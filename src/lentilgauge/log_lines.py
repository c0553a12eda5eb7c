"""Non-blocking, rate-limited writer of log lines.

Lines wait in a bounded buffer until the reader of the output consumes them.
Each event has a budget of lines a second; dropped lines are counted and
reported. A stalled reader makes the process drop lines, but never delays a
request; lines on failures are dropped last.
"""

import asyncio
import collections
import dataclasses
import enum
import os
import types

import msgspec

from lentilgauge import clock

#: Limit on the lines that wait for a slow reader.
MAX_BUFFERED_BYTES = 262_144
#: Share of the buffer that routine lines may fill; the rest is reserved for
#: failures and state changes.
_ROUTINE_BUFFER_SHARE = 0.5
#: Lines are written in batches, each after at most this delay, because every
#: write takes time.
FLUSH_DELAY_MS = 50


class Priority(enum.IntEnum):
    """Priority of a line: under pressure, routine ones are dropped first."""

    ROUTINE = 0
    CHANGE = 1
    FAILURE = 2


#: Lines a second of each event. Operators look up every failed request by its
#: id, so this budget is far above the rate of requests that a VM answers.
_LINES_PER_SECOND_BY_PRIORITY = types.MappingProxyType(
    {
        Priority.ROUTINE: 200,
        Priority.CHANGE: 200,
        Priority.FAILURE: 400,
    },
)


@dataclasses.dataclass(slots=True, kw_only=True)
class LineUsage:
    """Number of lines of one event in the current second."""

    second: int = 0
    lines: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class LineWriter:
    """Buffer of unwritten lines and counts of dropped ones.

    Lines below the priority `min_priority` are ignored.
    """

    descriptor: int
    now_ms: clock.Clock
    min_priority: Priority = Priority.ROUTINE
    buffered: bytearray = dataclasses.field(default_factory=bytearray)
    usage_by_event: dict[str, LineUsage] = dataclasses.field(
        default_factory=dict,
    )
    dropped_by_event: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    drops_reported_second: int = 0
    flush_scheduled: bool = False
    awaits_writable: bool = False


def make_writer(
    descriptor: int,
    now_ms: clock.Clock,
    min_priority: Priority = Priority.ROUTINE,
) -> LineWriter:
    """Make a writer to an open descriptor and set it to non-blocking mode."""
    os.set_blocking(descriptor, False)
    return LineWriter(
        descriptor=descriptor, now_ms=now_ms, min_priority=min_priority
    )


def write_line(
    writer: LineWriter,
    event: str,
    priority: Priority,
    line: dict[str, object],
) -> None:
    """Buffer a line, or count it as dropped."""
    if priority < writer.min_priority:
        return
    second = writer.now_ms() // clock.MS_PER_SECOND
    if not _consume_budget(writer, event, priority, second):
        writer.dropped_by_event[event] += 1
        return
    encoded = msgspec.json.encode(line, enc_hook=str)
    if not _has_room(writer, priority, len(encoded)):
        writer.dropped_by_event[event] += 1
        return
    writer.buffered.extend(encoded)
    writer.buffered.extend(b'\n')
    _report_drops(writer, second)
    _schedule_flush(writer)


def _consume_budget(
    writer: LineWriter,
    event: str,
    priority: Priority,
    second: int,
) -> bool:
    usage = writer.usage_by_event.setdefault(event, LineUsage())
    if usage.second != second:
        usage.second = second
        usage.lines = 0
    usage.lines += 1
    return usage.lines <= _LINES_PER_SECOND_BY_PRIORITY[priority]


def _has_room(writer: LineWriter, priority: Priority, size_bytes: int) -> bool:
    limit_bytes = MAX_BUFFERED_BYTES
    if priority is Priority.ROUTINE:
        limit_bytes = int(limit_bytes * _ROUTINE_BUFFER_SHARE)
    return len(writer.buffered) + size_bytes < limit_bytes


def _report_drops(writer: LineWriter, second: int) -> None:
    """Log the counts of dropped lines, at most once a second."""
    if not writer.dropped_by_event or second == writer.drops_reported_second:
        return
    writer.drops_reported_second = second
    line = {
        'event': 'lines_left_out',
        'count_by_event': writer.dropped_by_event,
    }
    writer.buffered.extend(msgspec.json.encode(line))
    writer.buffered.extend(b'\n')
    writer.dropped_by_event = collections.Counter()


def _schedule_flush(writer: LineWriter) -> None:
    if writer.flush_scheduled or writer.awaits_writable:
        return
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        # Without an event loop, few lines are logged, so that a write for
        # each is affordable.
        flush(writer)
        return
    writer.flush_scheduled = True
    loop.call_later(clock.to_seconds(FLUSH_DELAY_MS), flush, writer)


def flush(writer: LineWriter) -> None:
    """Write what the output accepts now; the rest follows once it can."""
    writer.flush_scheduled = False
    try:
        written = os.write(writer.descriptor, writer.buffered)
    except BlockingIOError:
        written = 0
    except OSError:
        # The reader has closed the output, so nobody would read these lines.
        written = len(writer.buffered)
    writer.buffered = writer.buffered[written:]
    _update_write_watch(writer)


def _update_write_watch(writer: LineWriter) -> None:
    """Watch the output for write readiness while lines are buffered."""
    needed = bool(writer.buffered)
    if needed == writer.awaits_writable:
        return
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return
    try:
        _set_write_watch(writer, loop, needed=needed)
    except (OSError, ValueError, NotImplementedError):
        # The loop can't watch a regular file, which always accepts writes.
        writer.awaits_writable = False


def _set_write_watch(
    writer: LineWriter,
    loop: asyncio.AbstractEventLoop,
    *,
    needed: bool,
) -> None:
    if needed:
        loop.add_writer(writer.descriptor, flush, writer)
    else:
        loop.remove_writer(writer.descriptor)
    writer.awaits_writable = needed
