"""Bodies of the store's objects, decoded within limits.

Other writers may leave any body. One that is decoded here is passed on to all
VMs, which decode it within larger messages.
"""

import dataclasses

import msgspec

from lentilgauge.links import http_client, json_parts

#: Deep nesting of an object exceeds the recursion limit.
DECODING_ERRORS = (msgspec.MsgspecError, RecursionError)
#: Bodies of the known kinds have a depth of 4 at most.
_MAX_DEPTH = 32
#: The known kinds take over 20 bytes for each array or object, in bodies that
#: usually have 1 MB at most.
_MAX_DOCUMENT_BRACKETS = 50_000
#: Upstreams' entries and evacuations have some 200 bytes and one bracket.
_MAX_ENTRY_BYTES = 8192
_MAX_ENTRY_BRACKETS = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on the length of a body and on its opening brackets.

    A body of many arrays and objects takes far longer to decode than one of few
    of the same length.
    """

    max_bytes: int
    max_brackets: int


DOCUMENT_LIMITS = Limits(
    max_bytes=http_client.MAX_REPLY_BYTES, max_brackets=_MAX_DOCUMENT_BRACKETS
)
#: All entries go to every VM in one message.
ENTRY_LIMITS = Limits(
    max_bytes=_MAX_ENTRY_BYTES, max_brackets=_MAX_ENTRY_BRACKETS
)


async def decode_body(encoded: bytes, limits: Limits) -> object:
    """Decode a body; return `None` if that fails or it exceeds a limit."""
    if len(encoded) > limits.max_bytes:
        return None
    bracket_count = encoded.count(b'[') + encoded.count(b'{')
    if bracket_count > limits.max_brackets:
        return None
    if (
        bracket_count > _MAX_DEPTH
        and await json_parts.measure_depth(encoded) > _MAX_DEPTH
    ):
        return None
    try:
        return msgspec.json.decode(encoded)
    except DECODING_ERRORS:
        return None
