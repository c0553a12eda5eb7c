"""Messages of the platform's store, and how they are decoded.

Other writers may leave anything among the upstreams' entries. What can't be
decoded costs that entry alone.
"""

import http
from typing import TypeVar

import msgspec

from lentilgauge import events
from lentilgauge.links import http_client, json_parts, store_link

#: Deep nesting of an object exceeds the recursion limit.
_DECODING_ERRORS = (msgspec.MsgspecError, RecursionError)
#: Deepest nesting of an object's body: other VMs decode it within a message of
#: their own, and bodies of the known kinds have a depth of 4 at most.
_MAX_BODY_DEPTH = 32
Message = TypeVar('Message')


class MetadataMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Name of an object, and the revision of its last change."""

    name: str = ''
    revision: int = 0


class ObjectMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Object whose `spec` is decoded separately."""

    metadata: MetadataMessage
    spec: msgspec.Raw = msgspec.Raw(b'null')


class ListingMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Page of a listing; `at` is the store's revision at the read."""

    documents: list[msgspec.Raw] = msgspec.field(name='items')
    at: int
    has_more: bool = msgspec.field(name='hasMore', default=False)


class EventMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Write or removal of one object."""

    object: msgspec.Raw
    removed: bool = False


class EventsMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of a collection; `at` is the revision to watch from next."""

    events: list[EventMessage]
    at: int


class WriteMetadata(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """Name of the object to write, and the revision that it must have."""

    name: str
    revision: int = 0


class WriteMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Request to write an object."""

    metadata: WriteMetadata
    spec: object


def _decode_reply(
    reply: http_client.Reply,
    model: type[Message],
) -> Message | None:
    if reply.status != http.HTTPStatus.OK:
        return None
    return _decode(reply.body, model)


def _decode(
    encoded: bytes | msgspec.Raw, model: type[Message]
) -> Message | None:
    """Decode a text; return `None` if any part of it can't be decoded."""
    try:
        return msgspec.json.decode(encoded, type=model)
    except _DECODING_ERRORS:
        return None


def decode_listing(reply: http_client.Reply) -> ListingMessage | None:
    """Decode a listing, also if one of its objects makes it unreadable."""
    message = _decode_reply(reply, ListingMessage)
    if message is not None or reply.status != http.HTTPStatus.OK:
        return message
    members = json_parts.split_object(reply.body)
    listed = json_parts.split_array(members.pop(b'items', b''))
    message = _decode(
        _join_object({**members, b'items': b'[]'}), ListingMessage
    )
    if message is None:
        return None
    return msgspec.structs.replace(
        message, documents=[msgspec.Raw(encoded) for encoded in listed]
    )


def decode_events(reply: http_client.Reply) -> EventsMessage | None:
    """Decode changes, also if one of the objects makes them unreadable."""
    message = _decode_reply(reply, EventsMessage)
    if message is not None or reply.status != http.HTTPStatus.OK:
        return message
    members = json_parts.split_object(reply.body)
    listed = json_parts.split_array(members.pop(b'events', b''))
    message = _decode(
        _join_object({**members, b'events': b'[]'}), EventsMessage
    )
    if message is None:
        return None
    decoded_events = [_decode_event(encoded) for encoded in listed]
    return msgspec.structs.replace(
        message, events=[event for event in decoded_events if event is not None]
    )


def _decode_event(encoded: bytes) -> EventMessage | None:
    """Decode a change without reading its object."""
    members = json_parts.split_object(encoded)
    changed_object = members.pop(b'object', b'null')
    event = _decode(_join_object({**members, b'object': b'null'}), EventMessage)
    if event is None:
        events.log_event(events.Event.OBJECT_UNREADABLE, fault='no change')
        return None
    return msgspec.structs.replace(event, object=msgspec.Raw(changed_object))


def _join_object(members: dict[bytes, bytes]) -> bytes:
    """Join the texts of an object's members."""
    return b'{%s}' % b','.join(
        b'"%s":%s' % (key, member) for key, member in members.items()
    )


def decode_document(
    encoded: bytes | msgspec.Raw,
    max_bytes: int | None = None,
) -> store_link.Document | None:
    """Decode an object; return `None` if its metadata can't be decoded.

    Its body is `None` if only that can't be decoded, is nested too deeply, or
    has more than `max_bytes`.
    """
    message = _decode(encoded, ObjectMessage)
    if message is None:
        members = json_parts.split_object(bytes(encoded))
        message = _decode(
            _join_object({b'metadata': members.get(b'metadata', b'null')}),
            ObjectMessage,
        )
    if message is None:
        events.log_event(
            events.Event.OBJECT_UNREADABLE, fault='no name and revision'
        )
        return None
    return store_link.Document(
        name=message.metadata.name,
        revision=message.metadata.revision,
        body=_decode_body(bytes(message.spec), max_bytes),
    )


def _decode_body(encoded: bytes, max_bytes: int | None) -> object:
    """Decode a body; return `None` if that fails or it exceeds a limit."""
    if max_bytes is not None and len(encoded) > max_bytes:
        return None
    bracket_count = encoded.count(b'[') + encoded.count(b'{')
    if (
        bracket_count > _MAX_BODY_DEPTH
        and json_parts.measure_depth(encoded) > _MAX_BODY_DEPTH
    ):
        return None
    try:
        return msgspec.json.decode(encoded)
    except _DECODING_ERRORS:
        return None
