"""Reach the platform's store over its objects interface."""

import dataclasses
import http
import types
from typing import TypeVar
from urllib import parse as url_parse

import msgspec
from returns import result

from lentilgauge.links import http_client, store_link

#: The store answers within milliseconds, and slowly on bad days.
CALL_TIMEOUT_MS = 1000
#: A watch ends by itself this much later at the latest.
_WATCH_SLACK_MS = 1500
#: Where this product keeps its one record.
_RECORD_KIND = 'lentilgauge-ownership'
_RECORD_NAME = 'record'
_KIND_BY_TOPIC = types.MappingProxyType(
    {
        store_link.Topic.CONFIGURATION: 'config',
        store_link.Topic.UPSTREAMS: 'servers',
        store_link.Topic.EVACUATIONS: 'evacuations',
    },
)
#: Nothing was done: the store is down for us, or we call too often.
_REFUSED_STATUSES = frozenset(
    (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.TOO_MANY_REQUESTS,
    ),
)


Message = TypeVar('Message')


class MetadataMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Carry an object's name and the revision of its last change."""

    name: str = ''
    revision: int = 0


class ObjectMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Carry one object; what it holds is read apart."""

    metadata: MetadataMessage
    spec: msgspec.Raw = msgspec.Raw(b'null')


class ListingMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Carry a page of objects; `at` is the store's revision."""

    documents: list[msgspec.Raw] = msgspec.field(name='items')
    at: int
    has_more: bool = msgspec.field(name='hasMore', default=False)


class EventMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Carry one change."""

    object: msgspec.Raw
    removed: bool = False


class EventsMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Carry changes; `at` is from where to go on."""

    events: list[EventMessage]
    at: int


class WriteMetadata(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """Carry the name, and the revision that must still be the object's."""

    name: str
    revision: int = 0


class WriteMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Carry an object as it is to be."""

    metadata: WriteMetadata
    spec: object


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Link:
    """Hold what reaches the store."""

    client: http_client.Client
    address: str


def make_store(client: http_client.Client, address: str) -> store_link.Store:
    """Make the functions that reach the store."""
    link = Link(client=client, address=address)

    async def list_topic(
        topic: store_link.Topic,
    ) -> store_link.ListingResult:
        return await _list_topic(link, topic)

    async def watch_topic(
        topic: store_link.Topic,
        mark: int,
        wait_ms: int,
    ) -> store_link.ChangesResult:
        return await _watch_topic(link, topic, mark, wait_ms)

    async def read_record() -> store_link.RecordResult:
        return await _read_record(link)

    async def write_record(
        body: object,
        revision: int,
    ) -> store_link.WriteResult:
        return await _write_record(link, body, revision)

    return store_link.Store(
        list_topic=list_topic,
        watch_topic=watch_topic,
        read_record=read_record,
        write_record=write_record,
    )


async def _call(
    link: Link,
    method: str,
    path: str,
    body: bytes | None = None,
    timeout_ms: int = CALL_TIMEOUT_MS,
) -> result.Result[http_client.Reply, store_link.Failure]:
    sent = await http_client.send_call(
        link.client,
        http_client.Call(
            method=method,
            url=f'http://{link.address}/objects/{path}',
            timeout_ms=timeout_ms,
            body=body,
            send_once=method != 'GET',
        ),
    )
    if not isinstance(sent, result.Success):
        return result.Failure(store_link.Failure.UNKNOWN)
    reply = sent.unwrap()
    if reply.status in _REFUSED_STATUSES:
        return result.Failure(store_link.Failure.REFUSED)
    return result.Success(reply)


async def _list_topic(
    link: Link,
    topic: store_link.Topic,
) -> store_link.ListingResult:
    """Read all pages of a topic."""
    document_by_name: dict[str, store_link.Document] = {}
    mark = 0
    after = ''
    while True:
        called = await _call(link, 'GET', _make_page_path(topic, after))
        if not isinstance(called, result.Success):
            return result.Failure(called.failure())
        page = _decode(called.unwrap(), ListingMessage)
        if page is None:
            return result.Failure(store_link.Failure.UNKNOWN)
        # What changed after the first page is seen again by the watch.
        mark = mark or page.at
        after = _take_page(document_by_name, page)
        if not after:
            break
    return result.Success(
        store_link.Listing(mark=mark, document_by_name=document_by_name),
    )


def _take_page(
    document_by_name: dict[str, store_link.Document],
    page: ListingMessage,
) -> str:
    """Take a page's objects; return after which to go on, or nothing."""
    last = ''
    for packed in page.documents:
        document = _read_document(packed)
        document_by_name[document.name] = document
        last = document.name
    return last if page.has_more else ''


def _make_page_path(topic: store_link.Topic, after: str) -> str:
    kind = _KIND_BY_TOPIC[topic]
    if not after:
        return kind
    return f'{kind}?{url_parse.urlencode({"after": after})}'


async def _watch_topic(
    link: Link,
    topic: store_link.Topic,
    mark: int,
    wait_ms: int,
) -> store_link.ChangesResult:
    query = url_parse.urlencode({'watch': mark, 'waitMs': wait_ms})
    called = await _call(
        link,
        'GET',
        f'{_KIND_BY_TOPIC[topic]}?{query}',
        timeout_ms=wait_ms + _WATCH_SLACK_MS,
    )
    if not isinstance(called, result.Success):
        return result.Failure(called.failure())
    reply = called.unwrap()
    if reply.status == http.HTTPStatus.GONE:
        return result.Failure(store_link.Failure.HISTORY_GONE)
    message = _decode(reply, EventsMessage)
    if message is None:
        return result.Failure(store_link.Failure.UNKNOWN)
    return result.Success(
        store_link.Changes(
            mark=message.at,
            changes=tuple(
                store_link.Change(
                    document=_read_document(event.object),
                    removed=event.removed,
                )
                for event in message.events
            ),
        ),
    )


async def _read_record(link: Link) -> store_link.RecordResult:
    """Read the record by its kind, which also tells the store's revision."""
    called = await _call(link, 'GET', _RECORD_KIND)
    if not isinstance(called, result.Success):
        return result.Failure(called.failure())
    page = _decode(called.unwrap(), ListingMessage)
    if page is None:
        return result.Failure(store_link.Failure.UNKNOWN)
    documents = [_read_document(packed) for packed in page.documents]
    return result.Success(
        store_link.RecordReading(
            mark=page.at,
            document=documents[0] if documents else None,
        ),
    )


async def _write_record(
    link: Link,
    body: object,
    revision: int,
) -> store_link.WriteResult:
    message = WriteMessage(
        metadata=WriteMetadata(name=_RECORD_NAME, revision=revision),
        spec=body,
    )
    method, path = 'POST', _RECORD_KIND
    if revision:
        method, path = 'PUT', f'{_RECORD_KIND}/{_RECORD_NAME}'
    called = await _call(link, method, path, msgspec.json.encode(message))
    if not isinstance(called, result.Success):
        return result.Failure(called.failure())
    reply = called.unwrap()
    if reply.status == http.HTTPStatus.CONFLICT:
        return result.Failure(store_link.Failure.CONFLICT)
    if reply.status not in {http.HTTPStatus.OK, http.HTTPStatus.CREATED}:
        return result.Failure(store_link.Failure.UNKNOWN)
    return result.Success(_read_document(reply.body))


def _decode(
    reply: http_client.Reply,
    model: type[Message],
) -> Message | None:
    if reply.status != http.HTTPStatus.OK:
        return None
    try:
        return msgspec.json.decode(reply.body, type=model)
    except msgspec.MsgspecError:
        return None


def _read_document(packed: bytes | msgspec.Raw) -> store_link.Document:
    """Read an object; one whose contents can't be read holds nothing."""
    try:
        message = msgspec.json.decode(packed, type=ObjectMessage)
    except msgspec.MsgspecError:
        return store_link.Document(name='', revision=0, body=None)
    try:
        body = msgspec.json.decode(message.spec)
    except msgspec.MsgspecError:
        body = None
    return store_link.Document(
        name=message.metadata.name,
        revision=message.metadata.revision,
        body=body,
    )
