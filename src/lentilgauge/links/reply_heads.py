"""Heads of HTTP replies: which are usable, and the headers of the final one."""

import dataclasses
import http
import io
import re
from collections.abc import Callable

from tornado import httputil

from lentilgauge.links import curl_transfers

#: Status line with a status of HTTP. Failing upstreams send others, such as
#: 000 or 999; curl accepts all that have three digits.
_STATUS_LINE = re.compile(rb'HTTP/\S+\s([1-5]\d{2})(?!\S)')
#: Header or trailer line with a name and a value that HTTP allows (RFC 9110,
#: sections 5.1 and 5.5). curl also accepts names with blanks, control and other
#: bytes, and doesn't know them: `Content\x01Length` states no length to it.
_FIELD_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r?\n"
)
#: Header lines that an interim (1xx) head may not have (RFC 9110, sections 6.1
#: and 8.6). A head with one is the final one of a failing upstream; curl would
#: wait for another.
_LENGTH_LINE = re.compile(
    rb'(content-length|transfer-encoding):', re.IGNORECASE
)
#: Header lines that don't say how long the body is. curl ignores them and reads
#: until the connection ends, so that a body cut short would look complete.
_UNUSABLE_LENGTH_LINE = re.compile(
    rb'content-length:(?!\s*\d{1,18}\s*$)'
    rb'|transfer-encoding:(?!\s*chunked\s*$)',
    re.IGNORECASE,
)
_LINE_END = b'\r\n'
#: Lines that end a head.
_BLANK_LINES = frozenset((_LINE_END, b'\n'))
#: What a line of a head or trailer takes besides its characters, here and in
#: curl, and how often each character is kept.
_LINE_BYTES = 192
_COPIES = 2
#: Lines are counted once they take this much together.
_COUNTED_BYTES = 4096
#: Returned by curl's callbacks to abort the transfer.
ABORT_TRANSFER = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class PartialReply:
    """Reply received so far, and how often the call was sent.

    `head_status` is the status of the head being read, 0 between heads, and
    `final_status` that of the final head, 0 until its blank line has arrived.
    `last_line` is the last line of a head. `counted_bytes` is what the reply
    takes of the memory for replies, without `uncounted_bytes` of its last
    lines.
    """

    send_count: int = 0
    head_status: int = 0
    final_status: int = 0
    last_line: bytes = b''
    counted_bytes: int = 0
    uncounted_bytes: int = 0
    header_lines: list[bytes] = dataclasses.field(default_factory=list)
    body: io.BytesIO = dataclasses.field(default_factory=io.BytesIO)


def _start_head(partial_reply: PartialReply, line: bytes) -> int | None:
    """Start a head; drop the headers of a preceding interim (1xx) one."""
    status_match = _STATUS_LINE.match(line)
    if status_match is None:
        return ABORT_TRANSFER
    partial_reply.header_lines.clear()
    partial_reply.head_status = int(status_match[1])
    partial_reply.last_line = line
    return None


def _end_head(partial_reply: PartialReply, blank_line: bytes) -> int | None:
    """End a head; a single LF ends only one whose last line ends with one.

    Elsewhere it's the first byte of a broken name.
    """
    if blank_line != _LINE_END and partial_reply.last_line.endswith(_LINE_END):
        return ABORT_TRANSFER
    if partial_reply.head_status >= http.HTTPStatus.OK:
        partial_reply.final_status = partial_reply.head_status
    partial_reply.head_status = 0
    return None


def _is_mismatched(
    line: bytes, expected_reply_header: tuple[str, str] | None
) -> bool:
    """Check whether a header line has the expected name and another value."""
    if expected_reply_header is None:
        return False
    expected_name, expected_value = expected_reply_header
    name, _, received_value = line.partition(b':')
    return (
        name.lower() == expected_name.lower().encode()
        and received_value.strip() != curl_transfers.encode_text(expected_value)
    )


def _is_unusable(
    head_status: int,
    line: bytes,
    expected_reply_header: tuple[str, str] | None,
) -> bool:
    """Check whether a header line makes the reply unusable."""
    if _FIELD_LINE.fullmatch(line) is None:
        return True
    if head_status < http.HTTPStatus.OK and _LENGTH_LINE.match(line):
        return True
    if _UNUSABLE_LENGTH_LINE.match(line):
        return True
    return _is_mismatched(line, expected_reply_header)


def _take_line(
    partial_reply: PartialReply, line: bytes, take_bytes: Callable[[int], bool]
) -> bool:
    """Count a line; return whether there is memory for it.

    The load addressed is heads and trailers of very many short lines.
    """
    partial_reply.uncounted_bytes += _LINE_BYTES + _COPIES * len(line)
    if partial_reply.uncounted_bytes < _COUNTED_BYTES:
        return True
    added_bytes = partial_reply.uncounted_bytes
    partial_reply.uncounted_bytes = 0
    return take_bytes(added_bytes)


def _read_line(
    partial_reply: PartialReply,
    line: bytes,
    expected_reply_header: tuple[str, str] | None,
) -> int | None:
    """Read a line of a head or trailer, or abort the transfer."""
    if partial_reply.final_status:
        # A trailer is no header, but has to be one of HTTP.
        return None if _FIELD_LINE.fullmatch(line) else ABORT_TRANSFER
    if not partial_reply.head_status:
        return _start_head(partial_reply, line)
    if line in _BLANK_LINES:
        return _end_head(partial_reply, line)
    if _is_unusable(partial_reply.head_status, line, expected_reply_header):
        return ABORT_TRANSFER
    partial_reply.header_lines.append(line)
    partial_reply.last_line = line
    return None


def make_header_callback(
    partial_reply: PartialReply,
    expected_reply_header: tuple[str, str] | None,
    take_bytes: Callable[[int], bool],
) -> Callable[[bytes], int | None]:
    """Make the callback that collects the header lines of the final reply.

    `take_bytes` takes bytes of memory and returns whether there are so many.
    The callback aborts the transfer if there aren't, at a line that HTTP
    doesn't allow, at a body of unknown length, at an interim head with a
    length, and at a reply to another call, so that curl closes the connection:
    later replies on it would be mismatched as well.
    """

    def collect_line(line: bytes) -> int | None:
        if _take_line(partial_reply, line, take_bytes):
            return _read_line(partial_reply, line, expected_reply_header)
        return ABORT_TRANSFER

    return collect_line


def read_headers(partial_reply: PartialReply) -> httputil.HTTPHeaders:
    """Return the headers of the final head."""
    headers = httputil.HTTPHeaders()
    for line in partial_reply.header_lines:
        headers.parse_line(line.decode('latin-1'))
    return headers
