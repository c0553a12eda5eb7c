"""Say what the product needs of the users' object store.

An adapter fills these functions in; nothing here knows how objects travel or
what the users call them.
"""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Mapping

from returns import result


class Topic(enum.StrEnum):
    """Name the collections of objects that the product follows."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    EVACUATIONS = 'evacuations'


class Failure(enum.StrEnum):
    """Say how a call to the store failed.

    After `UNKNOWN` a write may have taken effect, or may do so later.
    """

    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'
    HISTORY_GONE = 'history_gone'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """Hold one object; `revision` is of its last change."""

    name: str
    revision: int
    body: object


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """Hold a whole collection as it was at a revision of the store."""

    mark: int
    document_by_name: Mapping[str, Document]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Hold one object that was written or removed."""

    document: Document
    removed: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Hold what has changed up to a revision of the store, in order."""

    mark: int
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordReading:
    """Hold the product's record, if there is one, as of the store's mark."""

    mark: int
    document: Document | None


ListingResult = result.Result[Listing, Failure]
ChangesResult = result.Result[Changes, Failure]
RecordResult = result.Result[RecordReading, Failure]
WriteResult = result.Result[Document, Failure]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Store:
    """Hold the functions that reach the store.

    `watch_topic` takes a topic, a mark and how long to wait in milliseconds.
    `write_record` replaces the one object of the product's own, if its
    revision is still the given one; 0 creates it.
    """

    list_topic: Callable[[Topic], Awaitable[ListingResult]]
    watch_topic: Callable[[Topic, int, int], Awaitable[ChangesResult]]
    read_record: Callable[[], Awaitable[RecordResult]]
    write_record: Callable[[object, int], Awaitable[WriteResult]]
