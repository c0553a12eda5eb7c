"""Heads of answers to callers."""

import http

from tornado import httputil

#: What is written beside the name and the value of a header.
_SEPARATOR_BYTES = len(': \r\n')


def get_reason_phrase(status: int) -> str:
    """Return the name of a status; upstreams may send ones without a name."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'


def set_length(
    start_line: httputil.RequestStartLine | None,
    headers: httputil.HTTPHeaders,
    body: bytes,
) -> bytes:
    """Set an answer's length; return its body, empty for a HEAD request.

    The length in an answer to a HEAD request is that of the body left out.
    """
    if start_line is None or start_line.method != http.HTTPMethod.HEAD:
        headers['Content-Length'] = str(len(body))
        return body
    if body or 'Content-Length' not in headers:
        headers['Content-Length'] = str(len(body))
    return b''


def count_bytes(headers: httputil.HTTPHeaders, body: bytes) -> int:
    """Return how many bytes an answer takes until its caller has read it."""
    return len(body) + sum(
        len(name) + len(text) + _SEPARATOR_BYTES
        for name, text in headers.get_all()
    )
