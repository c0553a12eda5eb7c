"""Limit on callers' connections, which leaves descriptors for all else.

Callers that nobody controls may open connections up to the limit of
descriptors. Those that moved least recently make way for new ones.
"""

import collections
import dataclasses
from collections.abc import Callable

from tornado import iostream

#: Descriptors of the process's limit that are for files.
_FILE_DESCRIPTORS = 200
#: Callers' part of the rest. Each of their requests may need a connection to an
#: upstream at the same time, so upstreams get the same part. A fifth is left to
#: peers, the store, metrics and readiness: 287 of the smallest VM's 1,638.
_CALLERS_PART = 0.4
#: Connections that end with their next answers, for others that were refused.
_MAX_WANTED = 16

Streams = collections.OrderedDict[iostream.BaseIOStream, None]


@dataclasses.dataclass(slots=True, kw_only=True)
class Connections:
    """Callers' connections, without a limit if `limit` is 0.

    Of the `open_streams`, `incomplete` are those of which no complete request
    has arrived, and `kept` those whose last request was answered; both begin
    with the one that moved least recently. All others are being served. On
    those that are `ending`, an answer announced that it is the last. As many as
    are `wanted` end with their next answers, and the `retiring` ones once the
    answer that is being written is complete.
    `report_eviction` is called when a connection is closed for the limit.
    `drop_busy` ends one whose request waits or whose answer isn't read, and
    returns whether there was one (`bool` says no). `release` is called once for
    each connection that was counted.
    """

    limit: int = 0
    report_eviction: Callable[[], None] = lambda: None
    drop_busy: Callable[[], bool] = bool
    release: Callable[[iostream.BaseIOStream], None] = lambda _: None
    open_streams: set[iostream.BaseIOStream] = dataclasses.field(
        default_factory=set
    )
    incomplete: Streams = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    kept: Streams = dataclasses.field(default_factory=collections.OrderedDict)
    ending: set[iostream.BaseIOStream] = dataclasses.field(default_factory=set)
    wanted: int = 0
    retiring: set[iostream.BaseIOStream] = dataclasses.field(
        default_factory=set
    )


def compute_limit(max_descriptors: int) -> int:
    """Return how many connections callers may have; 0 means no limit.

    As many to upstreams may be kept open.
    """
    if not max_descriptors:
        return 0
    usable = max_descriptors - _FILE_DESCRIPTORS
    return max(int(usable * _CALLERS_PART), 1)


def choose_evicted(connections: Connections) -> iostream.BaseIOStream | None:
    """Choose the connection that makes way for a new one, if there is one.

    The load addressed is many connections that send nothing, half a head or
    half a body. A connection without a complete request goes before a kept one;
    a connection whose request is being served is never closed.
    """
    for streams in (connections.incomplete, connections.kept):
        if streams:
            return next(iter(streams))
    return None


def count_idle(connections: Connections) -> int:
    """Count the connections that may be closed for others."""
    return len(connections.incomplete) + len(connections.kept)


def close_idle(connections: Connections) -> bool:
    """Close a connection that serves no request; return whether there is one.

    It is the one that `choose_evicted` returns.
    """
    evicted = choose_evicted(connections)
    if evicted is None:
        return False
    connections.report_eviction()
    close_connection(connections, evicted)
    evicted.close()
    return True


def evict(connections: Connections) -> bool:
    """Close a connection for others; return whether there was one.

    If all are busy, one goes whose request waits or whose answer isn't read.
    """
    if close_idle(connections):
        return True
    connections.report_eviction()
    return connections.drop_busy()


def open_connection(
    connections: Connections, stream: iostream.BaseIOStream
) -> bool:
    """Count a new connection; return whether it may be served.

    If there are too many, another one is closed, or else the new one is
    refused. The next one has better prospects then.
    """
    open_count = len(connections.open_streams)
    is_full = bool(connections.limit) and open_count >= connections.limit
    if is_full and not evict(connections):
        want_room(connections)
        return False
    connections.open_streams.add(stream)
    connections.incomplete[stream] = None
    return True


def close_connection(
    connections: Connections, stream: iostream.BaseIOStream
) -> None:
    """Count a connection no longer; it may have been closed before."""
    if stream in connections.open_streams:
        connections.open_streams.discard(stream)
        connections.release(stream)
    connections.ending.discard(stream)
    connections.retiring.discard(stream)
    connections.incomplete.pop(stream, None)
    connections.kept.pop(stream, None)


def mark_moved(connections: Connections, stream: iostream.BaseIOStream) -> None:
    """Record that a part of a request's body arrived on a connection."""
    if stream in connections.open_streams:
        connections.kept.pop(stream, None)
        connections.incomplete[stream] = None
        connections.incomplete.move_to_end(stream)


def mark_served(
    connections: Connections, stream: iostream.BaseIOStream
) -> None:
    """Record that a complete request arrived on a connection."""
    connections.kept.pop(stream, None)
    connections.incomplete.pop(stream, None)


def want_room(connections: Connections) -> None:
    """Let one more connection end with its next answer.

    The load addressed is connections on which the next request is there before
    the last one is answered, so that none is ever kept.
    """
    connections.wanted = min(connections.wanted + 1, _MAX_WANTED)


def retire(connections: Connections, stream: iostream.BaseIOStream) -> bool:
    """Return whether a connection ends with the answer about to be written."""
    if connections.wanted and stream in connections.open_streams:
        connections.wanted -= 1
        connections.retiring.add(stream)
    return stream in connections.retiring


def mark_kept(connections: Connections, stream: iostream.BaseIOStream) -> None:
    """Record that a connection waits for a request, its last one answered.

    A new connection has had none and stays incomplete, and one that others want
    is closed. The end of a request's task would be too late: the next request
    may have arrived before.
    """
    if stream in connections.incomplete or (
        stream not in connections.open_streams
    ):
        return
    if retire(connections, stream):
        connections.report_eviction()
        close_connection(connections, stream)
        stream.close()
        return
    connections.kept[stream] = None


def mark_ending(
    connections: Connections, stream: iostream.BaseIOStream
) -> None:
    """Record that an answer announces the end of a connection.

    The caller doesn't read further answers, so requests behind it must not run.
    """
    if stream in connections.open_streams:
        connections.ending.add(stream)
