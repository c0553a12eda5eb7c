"""Split JSON texts into their parts without decoding these.

A decoder rejects a whole message for one part that it can't read. These
functions look at quotes, brackets, commas and colons only, and don't recurse,
so that each part can be decoded alone. The time they take grows with the length
of a text, whatever it holds, and they let other tasks run meanwhile.
"""

import asyncio
import dataclasses
import itertools
import re

#: A string, or the rest of the text if it isn't closed.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?'
#: Tokens before a sign, at most: bounds the time of one match.
_MAX_RUN = 500
#: What precedes a bracket, comma or colon, and that sign.
_SIGN = re.compile(
    rb'(?:[^"\[\]{}:,]++|%s){0,%d}+([\[\]{}:,]?)' % (_STRING, _MAX_RUN),
    re.DOTALL,
)
#: What precedes a run of brackets, the opening and the closing ones.
_BRACKETS = re.compile(
    rb'(?:[^"\[\]{}]++|%s){0,%d}+([\[{]*+)([\]}]*+)' % (_STRING, _MAX_RUN),
    re.DOTALL,
)
_OPENING = b'[{'
_CLOSING = b']}'
#: Matches after which other tasks may run; they take some milliseconds.
_BATCH_SIZE = 5000


@dataclasses.dataclass(slots=True, kw_only=True)
class Scan:
    """Progress through a text.

    `cuts_by_start` has the offsets of each container's brackets, commas and
    colons, by the first of them, down to `max_depth`. `open_cuts` are those of
    the containers that are open at `offset`, and `inner_depth` counts the
    containers open below these.
    """

    encoded: bytes
    max_depth: int
    offset: int = 0
    inner_depth: int = 0
    deepest: int = 0
    open_cuts: list[list[int]] = dataclasses.field(default_factory=list)
    cuts_by_start: dict[int, list[int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    """Value within a text that was scanned."""

    scan: Scan
    start: int
    end: int

    @property
    def encoded(self) -> bytes:
        """The value's text, without white space around it."""
        return self.scan.encoded[self.start : self.end]


async def split_text(encoded: bytes, max_depth: int) -> Part:
    """Split a text; its containers have parts down to `max_depth`."""
    scan = await _scan_text(encoded, max_depth)
    return _make_part(scan, 0, len(encoded))


async def measure_depth(encoded: bytes) -> int:
    """Return how deeply arrays and objects are nested in a text."""
    scan = await _scan_text(encoded, 0)
    return scan.deepest


async def _scan_text(encoded: bytes, max_depth: int) -> Scan:
    scan = Scan(encoded=encoded, max_depth=max_depth)
    _scan_batch(scan)
    while scan.offset < len(encoded):
        await asyncio.sleep(0)
        _scan_batch(scan)
    return scan


def _scan_batch(scan: Scan) -> None:
    """Go on until the end of a batch, or of a container that has no parts."""
    if scan.inner_depth:
        _skip_containers(scan)
    else:
        _record_signs(scan)


def _record_signs(scan: Scan) -> None:
    """Record cuts until a container opens that has no parts."""
    matches = _SIGN.finditer(scan.encoded, scan.offset)
    for match in itertools.islice(matches, _BATCH_SIZE):
        scan.offset = match.end()
        sign = match[1]
        if sign:
            _record_sign(scan, sign, match.start(1))
        if scan.inner_depth:
            return


def _record_sign(scan: Scan, sign: bytes, offset: int) -> None:
    depth = len(scan.open_cuts)
    if sign in _OPENING:
        scan.deepest = max(scan.deepest, depth + 1)
        if depth == scan.max_depth:
            scan.inner_depth = 1
        else:
            scan.open_cuts.append([offset])
    elif depth:
        cuts = scan.open_cuts[-1]
        cuts.append(offset)
        if sign in _CLOSING:
            scan.cuts_by_start[cuts[0]] = scan.open_cuts.pop()


def _skip_containers(scan: Scan) -> None:
    """Go on until the containers that have no parts are closed."""
    matches = _BRACKETS.finditer(scan.encoded, scan.offset)
    for match in itertools.islice(matches, _BATCH_SIZE):
        opening_start, opening_end = match.span(1)
        scan.inner_depth += opening_end - opening_start
        scan.deepest = max(scan.deepest, len(scan.open_cuts) + scan.inner_depth)
        closed_count = min(match.end() - opening_end, scan.inner_depth)
        scan.inner_depth -= closed_count
        scan.offset = opening_end + closed_count
        if not scan.inner_depth:
            return


def _make_part(scan: Scan, start: int, end: int) -> Part:
    """Make a part from the text between two cuts."""
    between = scan.encoded[start:end]
    return Part(
        scan=scan,
        start=end - len(between.lstrip()),
        end=start + len(between.rstrip()),
    )


def _split_container(container: Part) -> list[Part]:
    """Split an array into its items, or an object into keys and values."""
    cuts = container.scan.cuts_by_start.get(container.start, [])
    parts = [
        _make_part(container.scan, cut + 1, next_cut)
        for cut, next_cut in itertools.pairwise(cuts)
    ]
    is_empty = len(parts) == 1 and not parts[0].encoded
    return [] if is_empty else parts


def split_array(container: Part) -> list[Part]:
    """Split an array into its items; empty if it is none."""
    if not container.scan.encoded.startswith(b'[', container.start):
        return []
    return _split_container(container)


def split_object(container: Part) -> dict[bytes, Part]:
    """Split an object into its values by key; empty if it is none.

    The keys are as written, without quotes.
    """
    if not container.scan.encoded.startswith(b'{', container.start):
        return {}
    parts = _split_container(container)
    return {
        key.encoded.strip(b'"'): member
        for key, member in zip(parts[::2], parts[1::2], strict=False)
    }
