"""Adapter for the platform's store and its object API."""

import dataclasses
import http
import types
from urllib import parse as url_parse

import msgspec
from returns import result

from lentilgauge.links import http_client, store_link
from lentilgauge.platform import headers as header_names
from lentilgauge.platform import object_bodies, store_messages

#: The store usually replies within milliseconds, but can be slow at times.
CALL_TIMEOUT_MS = 1000
#: Time allowed for the reply after the wait time of a watch has passed.
_WATCH_REPLY_MARGIN_MS = 1500
#: Longest `Store-Era`: terms and tokens grow with it, and stay below 2^53.
_MAX_ERA_DIGITS = 5
#: Kind and name of this product's only record.
_RECORD_KIND = 'lentilgauge-ownership'
_RECORD_NAME = 'record'
#: Kinds of objects, as the first part of their paths in the object API.
_KIND_BY_TOPIC = types.MappingProxyType(
    {
        store_link.Topic.CONFIGURATION: 'config',
        store_link.Topic.UPSTREAMS: 'servers',
        store_link.Topic.EVACUATIONS: 'evacuations',
    },
)
#: The call was not processed: the store is unavailable to this VM, or this VM
#: calls it too often.
_REFUSED_STATUSES = frozenset(
    (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.TOO_MANY_REQUESTS,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """HTTP client and address with which to reach the store."""

    client: http_client.Client
    address: str


def make_store(client: http_client.Client, address: str) -> store_link.Store:
    """Make the functions that access the store."""
    endpoint = Endpoint(client=client, address=address)

    async def list_topic(
        topic: store_link.Topic,
    ) -> store_link.ListingResult:
        return await _list_topic(endpoint, topic)

    async def watch_topic(
        topic: store_link.Topic,
        from_revision: int,
        wait_ms: int,
    ) -> store_link.ChangesResult:
        return await _watch_topic(endpoint, topic, from_revision, wait_ms)

    async def read_record() -> store_link.RecordResult:
        return await _read_record(endpoint)

    async def write_record(
        body: object,
        revision: int,
    ) -> store_link.WriteResult:
        return await _write_record(endpoint, body, revision)

    return store_link.Store(
        list_topic=list_topic,
        watch_topic=watch_topic,
        read_record=read_record,
        write_record=write_record,
    )


async def _call(
    endpoint: Endpoint,
    method: str,
    path: str,
    body: bytes | None = None,
    timeout_ms: int = CALL_TIMEOUT_MS,
) -> result.Result[http_client.Reply, store_link.Failure]:
    call_result = await http_client.send_call(
        endpoint.client,
        http_client.Call(
            method=method,
            url=f'http://{endpoint.address}/objects/{path}',
            timeout_ms=timeout_ms,
            body=body,
            send_once=method != 'GET',
        ),
    )
    if not isinstance(call_result, result.Success):
        return result.Failure(store_link.Failure.UNKNOWN)
    reply = call_result.unwrap()
    if reply.status in _REFUSED_STATUSES:
        return result.Failure(store_link.Failure.REFUSED)
    return result.Success(reply)


def _read_era(reply: http_client.Reply) -> int:
    """Return the store's era; 0 if the answer names none that is readable."""
    era = reply.headers.get(header_names.STORE_ERA, '')
    readable = era.isascii() and era.isdigit() and len(era) <= _MAX_ERA_DIGITS
    return int(era) if readable else 0


def _join_document(
    era: int, document: store_link.Document | None
) -> store_link.Document | None:
    """Join the era with the revision of a decoded object, if there is one."""
    if document is None:
        return None
    return dataclasses.replace(
        document, revision=store_link.join_revision(era, document.revision)
    )


async def _list_topic(
    endpoint: Endpoint,
    topic: store_link.Topic,
) -> store_link.ListingResult:
    """Read all pages of a topic's listing."""
    document_by_name: dict[str, store_link.Document] = {}
    listing_revision = 0
    after_name = ''
    while True:
        page_result = await _read_page(
            endpoint, _make_page_path(topic, after_name), listing_revision
        )
        if not isinstance(page_result, result.Success):
            return result.Failure(page_result.failure())
        page = page_result.unwrap()
        # A watch from the revision of the first page also reports the changes
        # made while the later pages were read.
        listing_revision = listing_revision or page.at
        known_count = len(document_by_name)
        after_name = await _add_page(document_by_name, page, topic)
        if not page.has_more:
            break
        if len(document_by_name) == known_count:
            # The page has no name after which the listing goes on.
            return result.Failure(store_link.Failure.UNKNOWN)
    return result.Success(
        store_link.Listing(
            revision=listing_revision, document_by_name=document_by_name
        ),
    )


async def _read_page(
    endpoint: Endpoint, path: str, listing_revision: int = 0
) -> result.Result[store_messages.ListingMessage, store_link.Failure]:
    """Read a page, whose revision is joined with the era of the answer.

    A later page of a listing fails if it is of another era than the first.
    """
    store_result = await _call(endpoint, 'GET', path)
    if not isinstance(store_result, result.Success):
        return result.Failure(store_result.failure())
    reply = store_result.unwrap()
    page = await store_messages.decode_listing(reply)
    era = _read_era(reply)
    expected_era = store_link.get_era(listing_revision)
    if page is None or (listing_revision and era != expected_era):
        return result.Failure(store_link.Failure.UNKNOWN)
    return result.Success(
        msgspec.structs.replace(page, at=store_link.join_revision(era, page.at))
    )


async def _add_page(
    document_by_name: dict[str, store_link.Document],
    page: store_messages.ListingMessage,
    topic: store_link.Topic,
) -> str:
    """Add a page's objects; return the name to continue after, if any.

    This is the last name that can be decoded, so that the next page has all
    later objects.
    """
    last_name = ''
    era = store_link.get_era(page.at)
    for encoded in page.documents:
        document = _join_document(
            era,
            await store_messages.decode_document(encoded, _get_limits(topic)),
        )
        if document is not None and document.name:
            document_by_name[document.name] = document
            last_name = document.name
    return last_name


def _get_limits(topic: store_link.Topic) -> object_bodies.Limits:
    """Return the limits on the bodies of a topic's objects."""
    if topic is store_link.Topic.CONFIGURATION:
        return object_bodies.DOCUMENT_LIMITS
    return object_bodies.ENTRY_LIMITS


def _make_page_path(topic: store_link.Topic, after_name: str) -> str:
    kind = _KIND_BY_TOPIC[topic]
    if not after_name:
        return kind
    return f'{kind}?{url_parse.urlencode({"after": after_name})}'


async def _watch_topic(
    endpoint: Endpoint,
    topic: store_link.Topic,
    from_revision: int,
    wait_ms: int,
) -> store_link.ChangesResult:
    query = url_parse.urlencode(
        {
            'watch': store_link.get_history_revision(from_revision),
            'waitMs': wait_ms,
        }
    )
    store_result = await _call(
        endpoint,
        'GET',
        f'{_KIND_BY_TOPIC[topic]}?{query}',
        timeout_ms=wait_ms + _WATCH_REPLY_MARGIN_MS,
    )
    if not isinstance(store_result, result.Success):
        return result.Failure(store_result.failure())
    reply = store_result.unwrap()
    if reply.status == http.HTTPStatus.GONE:
        return result.Failure(store_link.Failure.HISTORY_GONE)
    era = _read_era(reply)
    if era > store_link.get_era(from_revision):
        return result.Failure(store_link.Failure.HISTORY_GONE)
    if era < store_link.get_era(from_revision):
        return result.Failure(store_link.Failure.UNKNOWN)
    message = await store_messages.decode_events(reply)
    if message is None:
        return result.Failure(store_link.Failure.UNKNOWN)
    return result.Success(
        store_link.Changes(
            revision=store_link.join_revision(era, message.at),
            changes=await _decode_changes(message, _get_limits(topic), era),
        ),
    )


async def _decode_changes(
    message: store_messages.EventsMessage,
    limits: object_bodies.Limits,
    era: int,
) -> tuple[store_link.Change, ...]:
    """Decode the changed objects that have a name."""
    changes: list[store_link.Change] = []
    for event in message.events:
        document = _join_document(
            era, await store_messages.decode_document(event.object, limits)
        )
        if document is not None and document.name:
            changes.append(
                store_link.Change(document=document, removed=event.removed)
            )
    return tuple(changes)


async def _read_record(endpoint: Endpoint) -> store_link.RecordResult:
    """Read the record as a listing, which includes the store's revision."""
    page_result = await _read_page(endpoint, _RECORD_KIND)
    if not isinstance(page_result, result.Success):
        return result.Failure(page_result.failure())
    page = page_result.unwrap()
    document = None
    if page.documents:
        document = _join_document(
            store_link.get_era(page.at),
            await store_messages.decode_document(page.documents[0]),
        )
        if document is None:
            return result.Failure(store_link.Failure.UNKNOWN)
    return result.Success(
        store_link.RecordSnapshot(revision=page.at, document=document),
    )


async def _write_record(
    endpoint: Endpoint,
    body: object,
    revision: int,
) -> store_link.WriteResult:
    message = store_messages.WriteMessage(
        metadata=store_messages.WriteMetadata(
            name=_RECORD_NAME,
            revision=store_link.get_history_revision(revision),
        ),
        spec=body,
    )
    method, path = 'POST', _RECORD_KIND
    if revision:
        method, path = 'PUT', f'{_RECORD_KIND}/{_RECORD_NAME}'
    store_result = await _call(
        endpoint, method, path, msgspec.json.encode(message)
    )
    if not isinstance(store_result, result.Success):
        return result.Failure(store_result.failure())
    reply = store_result.unwrap()
    if reply.status == http.HTTPStatus.CONFLICT:
        return result.Failure(store_link.Failure.CONFLICT)
    if reply.status not in {http.HTTPStatus.OK, http.HTTPStatus.CREATED}:
        return result.Failure(store_link.Failure.UNKNOWN)
    document = _join_document(
        _read_era(reply), await store_messages.decode_written_document(reply)
    )
    if document is None:
        return result.Failure(store_link.Failure.UNKNOWN)
    return result.Success(document)
