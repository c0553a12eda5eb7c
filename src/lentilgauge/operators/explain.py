"""Tell one request's story from the log lines of several processes."""

import dataclasses
import pathlib
from collections.abc import Iterable, Mapping

import msgspec

#: How long before a request's first line a belief may bear on it.
SPAN_SECONDS = 15.0
_BELIEFS = frozenset(
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
_OF_UPSTREAM = frozenset(
    ('upstream_changed', 'upstream_gone', 'upstream_silent'),
)
_OF_KEYS = frozenset(('keys_moved', 'keys_served'))

Fields = Mapping[str, object]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """Hold one log line and the process that wrote it."""

    source: str
    time: float
    event: str
    fields: Fields


def read_lines(paths: Iterable[pathlib.Path]) -> list[Line]:
    """Read the lines of several files, oldest first; others are passed over."""
    lines: list[Line] = []
    for path in paths:
        for text in path.read_bytes().splitlines():
            line = _read_line(path.stem, text)
            if line is not None:
                lines.append(line)
    return sorted(lines, key=lambda one: one.time)


def _read_line(source: str, text: bytes) -> Line | None:
    """Read a line; a runner may have written something before the object."""
    start = text.find(b'{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:], type=dict[str, object])
    except msgspec.MsgspecError:
        return None
    time = fields.pop('time', 0)
    event = str(fields.pop('event', ''))
    named = text[:start].decode('utf-8', 'replace').split()
    return Line(
        source=named[-1] if named else source,
        time=float(time) if isinstance(time, int | float) else 0,
        event=event,
        fields=fields,
    )


def explain_request(lines: list[Line], request_id: str) -> list[Line]:
    """List a request's lines, and the beliefs that they rest on."""
    own = [line for line in lines if line.fields.get('id') == request_id]
    if not own:
        return []
    first = own[0].time - SPAN_SECONDS
    last = own[-1].time
    upstreams = {line.fields.get('upstream') for line in own} - {None, ''}
    keys = {line.fields.get('key') for line in own}
    sources = {line.source for line in own}

    def bears(line: Line) -> bool:
        if not first <= line.time <= last:
            return False
        if line.event in _OF_UPSTREAM:
            return line.source in sources and (
                line.fields.get('upstream') in upstreams
            )
        if line.event in _OF_KEYS:
            return any(_covers(line.fields, key) for key in keys)
        return line.event in _BELIEFS

    story = [line for line in lines if bears(line)]
    version = _find_configuration(lines, own[0])
    return sorted([*version, *story, *own], key=lambda one: one.time)


def _covers(fields: Fields, key: object) -> bool:
    start, end = fields.get('start'), fields.get('end')
    if not isinstance(start, int) or not isinstance(end, int):
        return False
    return isinstance(key, int) and start <= key <= end


def _find_configuration(lines: list[Line], first: Line) -> list[Line]:
    """Find the configuration that the request's process went by."""
    taken = [
        line
        for line in lines
        if line.event == 'configuration_taken'
        and line.source == first.source
        and line.time <= first.time
    ]
    return taken[-1:]


def render_story(story: list[Line]) -> str:
    """Render lines with the time against the first."""
    if not story:
        return 'no line names this request\n'
    start = story[0].time
    rows = [
        f'{line.time - start:9.3f} {line.source:<20} {line.event:<22} '
        f'{_render_fields(line.fields)}\n'
        for line in story
    ]
    return ''.join(rows)


def _render_fields(fields: Fields) -> str:
    return ' '.join(f'{name}={text}' for name, text in fields.items())
