"""Split JSON texts into their parts without decoding these.

A decoder rejects a whole message for one part that it can't read. These
functions look at quotes, brackets, commas and colons only, and don't recurse,
so that each part can be decoded alone.
"""

import itertools
import re
from collections.abc import Iterator

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}:,]', re.DOTALL)
_OPENING = b'[{'
_CLOSING = b']}'
#: First bytes of tokens that end within a container at its own depth.
_INNER_ENDS = b'"]}'


def _iterate_tokens(encoded: bytes) -> Iterator[tuple[bytes, int, int]]:
    """Iterate over the first byte, start and end of each string and sign."""
    for token in _TOKEN.finditer(encoded):
        start, end = token.span()
        yield encoded[start : start + 1], start, end


def _iterate_depths(encoded: bytes) -> Iterator[tuple[bytes, int, int, int]]:
    """Iterate over tokens with the depth that each leads to."""
    depth = 0
    for sign, start, end in _iterate_tokens(encoded):
        if sign in _OPENING:
            depth += 1
        elif sign in _CLOSING:
            depth -= 1
        yield sign, depth, start, end


def measure_depth(encoded: bytes) -> int:
    """Return how deeply arrays and objects are nested in a text."""
    return max(
        (depth for _, depth, _, _ in _iterate_depths(encoded)), default=0
    )


def _iterate_cuts(encoded: bytes) -> Iterator[tuple[int, int]]:
    """Iterate over the outer brackets, commas and colons of a container."""
    for sign, depth, start, end in _iterate_depths(encoded):
        is_end = not depth and sign in _CLOSING
        if is_end or (depth == 1 and sign not in _INNER_ENDS):
            yield start, end


def _split_container(encoded: bytes) -> list[bytes]:
    """Split an array into its items, or an object into keys and values."""
    parts = [
        encoded[part_start:part_end].strip()
        for (_, part_start), (part_end, _) in itertools.pairwise(
            _iterate_cuts(encoded)
        )
    ]
    return [] if parts == [b''] else parts


def split_array(encoded: bytes) -> list[bytes]:
    """Split an array into the texts of its items; empty if it is none."""
    if not encoded.lstrip().startswith(b'['):
        return []
    return _split_container(encoded)


def split_object(encoded: bytes) -> dict[bytes, bytes]:
    """Split an object into its values' texts by key; empty if it is none.

    The keys are as written, without quotes.
    """
    if not encoded.lstrip().startswith(b'{'):
        return {}
    parts = _split_container(encoded)
    return {
        key.strip(b'"'): member
        for key, member in zip(parts[::2], parts[1::2], strict=False)
    }
