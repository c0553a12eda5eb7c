"""Receipt of a caller's request within the limits of its process."""

import dataclasses
from collections.abc import Callable

from tornado import httputil, iostream

from lentilgauge import clock
from lentilgauge.callers import (
    body_intake,
    caller_stream,
    connection_limits,
    connection_memory,
    memory_account,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Receiver:
    """What a process needs to receive requests.

    Bodies over `max_body_bytes` aren't counted, as they are rejected.
    """

    account: memory_account.Account
    connections: connection_limits.Connections
    now_ms: clock.Clock
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reception:
    """Whether there is memory for a request, and its body if it has one."""

    has_room: bool
    intake: body_intake.Intake | None = None


def begin(
    receiver: Receiver,
    stream: iostream.BaseIOStream,
    headers: httputil.HTTPHeaders,
    *,
    drop: Callable[[], None],
    is_unsent: Callable[[], bool] = bool,
) -> Reception:
    """Count a request whose head has arrived, and begin to receive its body.

    `drop` has to end the request; it is called when its memory is needed for
    others, before it is complete or while `is_unsent` returns true.
    """
    # A connection isn't closed for the request that arrives on it.
    connection_limits.mark_served(receiver.connections, stream)
    has_room = connection_memory.begin_request(
        receiver.account,
        stream,
        held_bytes=connection_memory.estimate_bytes(headers),
        now_ms=receiver.now_ms(),
        drop=drop,
        is_unsent=is_unsent,
    )
    if not body_intake.has_body(headers):
        return Reception(has_room=has_room)
    intake = None
    if has_room:
        intake = body_intake.begin(
            headers,
            account=receiver.account,
            now_ms=receiver.now_ms,
            max_bytes=receiver.max_body_bytes,
            drop=drop,
            is_unsent=is_unsent,
        )
    if intake is not None and (
        intake.announced_bytes > memory_account.ORDINARY_BYTES
    ):
        caller_stream.widen_window(stream)
    connection_limits.mark_moved(receiver.connections, stream)
    return Reception(has_room=intake is not None, intake=intake)


def add_chunk(
    connections: connection_limits.Connections,
    stream: iostream.BaseIOStream,
    intake: body_intake.Intake | None,
    chunk: bytes,
) -> bool:
    """Add a chunk of a body; return false if there is no memory for it.

    Without an intake the request was refused, and the chunk is discarded.
    """
    # A connection isn't closed for the chunk that arrives on it.
    connection_limits.mark_served(connections, stream)
    has_room = intake is None or body_intake.add_chunk(intake, chunk)
    connection_limits.mark_moved(connections, stream)
    return has_room


def complete(
    connections: connection_limits.Connections,
    stream: iostream.BaseIOStream,
) -> bool:
    """Record that a request arrived completely; return if its caller is there.

    The connection of a caller that has left is closed.
    """
    connection_limits.mark_served(connections, stream)
    return not caller_stream.close_if_left(stream)
