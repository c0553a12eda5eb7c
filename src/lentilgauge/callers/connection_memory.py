"""Memory of callers' connections and of the requests on them.

A connection counts from its accept on, and a request from its head on, whether
it has a body or not.
"""

from collections.abc import Callable

from tornado import httputil, iostream

from lentilgauge.callers import memory_account, transfer_pace

#: A request without its head and body: its task, and a transfer to an upstream.
_REQUEST_BYTES = 32_768
#: A header as parsed, as a line for curl and as curl's own copy, without its
#: characters, and how often each character is kept.
_HEADER_LINE_BYTES = 384
_COPIES = 4


def open_connection(account: memory_account.Account, now_ms: int) -> bool:
    """Count an open connection; return false if there is no memory for it."""
    added_bytes = memory_account.CONNECTION_BYTES
    guaranteed_bytes = account.limit_bytes // memory_account.CONNECTIONS_DIVISOR
    is_guaranteed = account.connection_bytes + added_bytes <= guaranteed_bytes
    if not is_guaranteed and not memory_account.make_room(
        account, memory_account.Claim.SMALL, added_bytes, now_ms
    ):
        return False
    account.connection_bytes += added_bytes
    return True


def close_connection(
    account: memory_account.Account, stream: iostream.BaseIOStream
) -> None:
    """Count a connection no longer that has been counted."""
    account.connection_bytes -= memory_account.CONNECTION_BYTES
    end_request(account, stream)


def estimate_bytes(headers: httputil.HTTPHeaders) -> int:
    """Return how many bytes a request takes besides its body."""
    return _REQUEST_BYTES + estimate_head_bytes(headers)


def estimate_head_bytes(headers: httputil.HTTPHeaders) -> int:
    """Return how many bytes a parsed head takes.

    A header of four characters takes a hundred times as much once it is parsed.
    """
    lines = 0
    characters = 0
    for name, text in headers.get_all():
        lines += 1
        characters += len(name) + len(text)
    return lines * _HEADER_LINE_BYTES + characters * _COPIES


def begin_request(
    account: memory_account.Account,
    stream: iostream.BaseIOStream,
    *,
    held_bytes: int,
    now_ms: int,
    drop: Callable[[], None],
    is_unsent: Callable[[], bool] = bool,
) -> bool:
    """Count a request whose head has arrived; return false without memory.

    It counts until `end_request`, or the end of its connection. `drop` has to
    end it; it is called when the memory is needed for others, while `is_unsent`
    returns true.
    """
    claim = memory_account.classify_upload(held_bytes)
    if not memory_account.make_room(account, claim, held_bytes, now_ms):
        return False
    head = memory_account.Holding(
        kind=memory_account.Kind.HEADS,
        held_bytes=held_bytes,
        moved_ms=now_ms,
        drop=drop,
        is_unsent=is_unsent,
    )
    account.head_by_stream[stream] = head
    memory_account.hold(account, head)
    return True


def end_request(
    account: memory_account.Account, stream: iostream.BaseIOStream
) -> None:
    """Count the request on a connection no longer, if there is one."""
    head = account.head_by_stream.pop(stream, None)
    if head is not None:
        memory_account.release(account, head)


def drop_slowest(account: memory_account.Account, now_ms: int) -> bool:
    """Drop a transfer for the connection it takes; return whether one was.

    The load addressed is many answers that are read slowly or by nobody, and
    requests that wait for an upstream. The first to go is what stands still for
    longest, the last what is slow only.
    """
    slowest = min(
        (
            holding
            for holding in account.holdings
            if memory_account.is_stalled(holding, now_ms)
            or memory_account.is_unfinished(holding)
            or transfer_pace.is_slow(holding.pace, now_ms)
        ),
        key=lambda holding: (
            not memory_account.is_stalled(holding, now_ms),
            not memory_account.is_unfinished(holding),
            holding.pace.since_ms if holding.pace else holding.moved_ms,
        ),
        default=None,
    )
    if slowest is None:
        return False
    memory_account.drop(account, slowest)
    return True
