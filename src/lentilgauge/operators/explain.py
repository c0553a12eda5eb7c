"""Timelines of single requests, from the log lines of several processes."""

import dataclasses
import pathlib
from collections.abc import Iterable, Mapping

import msgspec

#: How long before a request's first line an event may still affect it.
LOOKBACK_SECONDS = 15.0
_CLUSTER_EVENTS = frozenset(
    (
        'granter_started',
        'granter_stopped',
        'granter_silent',
        'term_unconfirmed',
        'term_confirmed',
        'term_lapsed',
        'watch_ended',
        'watch_behind',
        'evacuations_changed',
        'stopping',
        'started',
    ),
)
_UPSTREAM_EVENTS = frozenset(
    (
        'upstream_changed',
        'upstream_gone',
        'upstream_silent',
        'upstream_returned',
    ),
)
_KEY_EVENTS = frozenset(('keys_moved', 'keys_served'))

Fields = Mapping[str, object]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """A log line and the name of the process that wrote it.

    `time` is the Unix time in seconds, 0 where the line has none.
    """

    source: str
    time: float
    event: str
    fields: Fields


def read_lines(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Read the log lines of several files, oldest first.

    Lines without a JSON object are skipped.
    """
    lines: list[LogLine] = []
    for path in paths:
        for text in path.read_bytes().splitlines():
            log_line = _parse_line(path.stem, text)
            if log_line is not None:
                lines.append(log_line)
    return sorted(lines, key=lambda log_line: log_line.time)


def _parse_line(source: str, text: bytes) -> LogLine | None:
    """Parse a line; a process runner may have put its own prefix before it.

    The last word of such a prefix names the process.
    """
    start = text.find(b'{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:], type=dict[str, object])
    except msgspec.MsgspecError:
        return None
    time = fields.pop('time', 0)
    event = str(fields.pop('event', ''))
    prefix_words = text[:start].decode('utf-8', 'replace').split()
    return LogLine(
        source=prefix_words[-1] if prefix_words else source,
        time=float(time) if isinstance(time, int | float) else 0,
        event=event,
        fields=fields,
    )


def make_timeline(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """List a request's lines and the events that may have affected it.

    The list is empty if no line has the request's id.
    """
    request_lines = [
        log_line
        for log_line in lines
        if log_line.fields.get('id') == request_id
    ]
    if not request_lines:
        return []
    start_time = request_lines[0].time - LOOKBACK_SECONDS
    end_time = request_lines[-1].time
    upstreams = {
        log_line.fields.get('upstream') for log_line in request_lines
    } - {
        None,
        '',
    }
    keys = {log_line.fields.get('key') for log_line in request_lines}
    sources = {log_line.source for log_line in request_lines}

    def is_related(log_line: LogLine) -> bool:
        if not start_time <= log_line.time <= end_time:
            return False
        if log_line.event in _UPSTREAM_EVENTS:
            return log_line.source in sources and (
                log_line.fields.get('upstream') in upstreams
            )
        if log_line.event in _KEY_EVENTS:
            return any(_covers_key(log_line.fields, key) for key in keys)
        return log_line.event in _CLUSTER_EVENTS

    related_lines = [log_line for log_line in lines if is_related(log_line)]
    configuration_lines = _find_configuration(lines, request_lines[0])
    return sorted(
        [*configuration_lines, *related_lines, *request_lines],
        key=lambda log_line: log_line.time,
    )


def _covers_key(fields: Fields, key: object) -> bool:
    start, end = fields.get('start'), fields.get('end')
    if not isinstance(start, int) or not isinstance(end, int):
        return False
    return isinstance(key, int) and start <= key <= end


def _find_configuration(
    lines: list[LogLine], first_line: LogLine
) -> list[LogLine]:
    """Find the line on the configuration that the request was handled under.

    The list is empty if there is no such line.
    """
    adoptions = [
        log_line
        for log_line in lines
        if log_line.event == 'configuration_taken'
        and log_line.source == first_line.source
        and log_line.time <= first_line.time
    ]
    return adoptions[-1:]


def render_timeline(timeline: list[LogLine]) -> str:
    """Render lines with times relative to the first, in seconds."""
    if not timeline:
        return 'no log line has this request id\n'
    start_time = timeline[0].time
    rows = [
        f'{log_line.time - start_time:9.3f} {log_line.source:<20} '
        f'{log_line.event:<22} {_render_fields(log_line.fields)}\n'
        for log_line in timeline
    ]
    return ''.join(rows)


def _render_fields(fields: Fields) -> str:
    return ' '.join(f'{name}={text}' for name, text in fields.items())
