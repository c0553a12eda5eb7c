"""Compression of large replies between VMs.

A change that all VMs hear of at once, as a large configuration, takes the link
of the VM that they follow for longer than they wait for its replies.
"""

import zlib

from lentilgauge.links import http_client, http_server

ACCEPT_HEADER = 'Accept-Encoding'
_ENCODING_HEADER = 'Content-Encoding'
#: The zlib format, as HTTP names it.
_DEFLATE = 'deflate'
#: Shorter replies, as those to most polls, take little of a link.
_MIN_DEFLATED_BYTES = 8192
#: The fastest level: lists of like objects shrink by far at any.
_LEVEL = 1
ACCEPTED_ENCODINGS = _DEFLATE


def make_response(
    body: bytes, request: http_server.Request
) -> http_server.Response:
    """Make the response to a VM, compressed if it is large and accepted so."""
    accepts = _DEFLATE in request.headers.get(ACCEPT_HEADER, '')
    if not accepts or len(body) < _MIN_DEFLATED_BYTES:
        return http_server.Response(body=body)
    return http_server.Response(
        body=zlib.compress(body, _LEVEL), content_encoding=_DEFLATE
    )


def decode_body(reply: http_client.Reply) -> bytes | None:
    """Decompress a reply's body if necessary; `None` if that fails.

    The body is bounded like any other reply's.
    """
    encoding = reply.headers.get(_ENCODING_HEADER)
    if encoding is None:
        return reply.body
    if encoding != _DEFLATE:
        return None
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(reply.body, http_client.MAX_REPLY_BYTES)
    except zlib.error:
        return None
    return body if decompressor.eof else None
