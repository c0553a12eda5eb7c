"""Messages of the platform's store, and how they are decoded.

Other writers may leave anything among the upstreams' entries. What can't be
decoded costs that entry alone.
"""

import http
from typing import TypeVar

import msgspec

from lentilgauge import events
from lentilgauge.links import http_client, json_parts, store_link
from lentilgauge.platform import object_bodies

#: Depths down to the members of an object: alone, in a listing's array, and in
#: a change of an array of changes.
_MEMBERS_DEPTH = 1
_LISTED_OBJECT_DEPTH = 3
_CHANGED_OBJECT_DEPTH = 4
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
    except object_bodies.DECODING_ERRORS:
        return None


async def decode_listing(reply: http_client.Reply) -> ListingMessage | None:
    """Decode a listing, also if one of its objects makes it unreadable."""
    message = _decode_reply(reply, ListingMessage)
    if message is not None or reply.status != http.HTTPStatus.OK:
        return message
    members = await _split_message(reply.body, _LISTED_OBJECT_DEPTH)
    listed = _pop_items(members, b'items')
    message = _decode(
        _join_object(_list_texts(members) | {b'items': b'[]'}), ListingMessage
    )
    if message is None:
        return None
    return msgspec.structs.replace(
        message, documents=[_make_readable(part) for part in listed]
    )


async def decode_events(reply: http_client.Reply) -> EventsMessage | None:
    """Decode changes, also if one of the objects makes them unreadable."""
    message = _decode_reply(reply, EventsMessage)
    if message is not None or reply.status != http.HTTPStatus.OK:
        return message
    members = await _split_message(reply.body, _CHANGED_OBJECT_DEPTH)
    listed = _pop_items(members, b'events')
    message = _decode(
        _join_object(_list_texts(members) | {b'events': b'[]'}), EventsMessage
    )
    if message is None:
        return None
    decoded_events = [_decode_event(part) for part in listed]
    return msgspec.structs.replace(
        message, events=[event for event in decoded_events if event is not None]
    )


async def _split_message(
    encoded: bytes, object_depth: int
) -> dict[bytes, json_parts.Part]:
    """Split an unreadable message down to the members of its objects."""
    message = await json_parts.split_text(encoded, object_depth)
    events.log_event(events.Event.MESSAGE_SPLIT, size=len(encoded))
    return json_parts.split_object(message)


def _pop_items(
    members: dict[bytes, json_parts.Part], name: bytes
) -> list[json_parts.Part]:
    """Take a list out of a message's members."""
    part = members.pop(name, None)
    return [] if part is None else json_parts.split_array(part)


def _list_texts(members: dict[bytes, json_parts.Part]) -> dict[bytes, bytes]:
    """List the texts of an object's members."""
    return {name: member.encoded for name, member in members.items()}


def _join_object(members: dict[bytes, bytes]) -> bytes:
    """Join the texts of an object's members."""
    return b'{%s}' % b','.join(
        b'"%s":%s' % (key, member) for key, member in members.items()
    )


def _make_readable(part: json_parts.Part) -> msgspec.Raw:
    """Return an object's text, without its body if that is unreadable."""
    encoded = part.encoded
    if _decode(encoded, ObjectMessage) is not None:
        return msgspec.Raw(encoded)
    metadata = json_parts.split_object(part).get(b'metadata')
    if metadata is None:
        return msgspec.Raw(_join_object({}))
    return msgspec.Raw(_join_object({b'metadata': metadata.encoded}))


def _decode_event(part: json_parts.Part) -> EventMessage | None:
    """Decode a change without reading its object."""
    members = json_parts.split_object(part)
    changed_object = members.pop(b'object', None)
    event = _decode(
        _join_object(_list_texts(members) | {b'object': b'null'}), EventMessage
    )
    if event is None or changed_object is None:
        events.log_event(events.Event.OBJECT_UNREADABLE, fault='no change')
        return None
    return msgspec.structs.replace(event, object=_make_readable(changed_object))


async def decode_written_document(
    reply: http_client.Reply,
) -> store_link.Document | None:
    """Decode the object in the answer to a write, also without its body."""
    if _decode(reply.body, ObjectMessage) is not None:
        return await decode_document(reply.body)
    written = await json_parts.split_text(reply.body, _MEMBERS_DEPTH)
    return await decode_document(_make_readable(written))


async def decode_document(
    encoded: bytes | msgspec.Raw,
    limits: object_bodies.Limits = object_bodies.DOCUMENT_LIMITS,
) -> store_link.Document | None:
    """Decode an object; return `None` if its metadata can't be decoded.

    Its body is `None` if only that can't be decoded, is nested too deeply, or
    exceeds the limits.
    """
    message = _decode(encoded, ObjectMessage)
    if message is None:
        events.log_event(
            events.Event.OBJECT_UNREADABLE, fault='no name and revision'
        )
        return None
    return store_link.Document(
        name=message.metadata.name,
        revision=message.metadata.revision,
        body=await object_bodies.decode_body(bytes(message.spec), limits),
    )
