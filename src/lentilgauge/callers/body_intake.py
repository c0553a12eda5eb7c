"""Receipt of the body of one request, counted in the memory account.

A body is kept once: the chunks are appended to one buffer, whose content is the
body in the end.
"""

import dataclasses
import io
from collections.abc import Callable

from tornado import httputil

from lentilgauge import clock
from lentilgauge.callers import memory_account, transfer_pace

#: Python raises at numbers of over 4,300 digits; the HTTP library rejects those
#: over its limit of size.
_MAX_LENGTH_DIGITS = 18


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Intake:
    """Body that is being received.

    A body of one chunk, which most are, needs no buffer. The announced length
    is counted from the start, and has its memory from the second chunk on: a
    buffer that grows leaves gaps in the heap. A chunked body counts as it
    grows.
    """

    account: memory_account.Account
    now_ms: clock.Clock
    holding: memory_account.Holding
    announced_bytes: int = 0
    received_bytes: int = 0
    first_chunk: bytes = b''
    buffer: io.BytesIO | None = None


def has_body(headers: httputil.HTTPHeaders) -> bool:
    """Return whether the headers announce a body."""
    return (
        headers.get('Content-Length', '0') != '0'
        or 'Transfer-Encoding' in headers
    )


def _parse_length(headers: httputil.HTTPHeaders) -> int:
    """Parse the announced length; 0 if there is none.

    The HTTP library rejects contradictory lengths after this, and requests over
    its limit of size.
    """
    text = headers.get('Content-Length', '').partition(',')[0].strip()
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= _MAX_LENGTH_DIGITS else 0


def begin(
    headers: httputil.HTTPHeaders,
    *,
    account: memory_account.Account,
    now_ms: clock.Clock,
    max_bytes: int,
    drop: Callable[[], None],
    is_unsent: Callable[[], bool] = bool,
) -> Intake | None:
    """Begin to receive a body; `None` if there is no memory for it.

    `drop` has to end its request; it is called when the memory is needed for
    others, before the body is complete or while `is_unsent` returns true. A
    body over `max_bytes` isn't counted, as it is rejected.
    """
    length = _parse_length(headers)
    if length > max_bytes:
        length = 0
    claim = memory_account.classify_upload(length)
    started_ms = now_ms()
    if not memory_account.make_room(account, claim, length, started_ms):
        return None
    holding = memory_account.Holding(
        kind=memory_account.Kind.UPLOADS,
        held_bytes=length,
        moved_ms=started_ms,
        pace=transfer_pace.Pace(since_ms=started_ms),
        drop=drop,
        is_unsent=is_unsent,
    )
    memory_account.hold(account, holding)
    return Intake(
        account=account,
        now_ms=now_ms,
        holding=holding,
        announced_bytes=length,
    )


def add_chunk(intake: Intake, chunk: bytes) -> bool:
    """Add a chunk; return false if there is no memory for it."""
    intake.received_bytes += len(chunk)
    uncounted_bytes = intake.received_bytes - intake.holding.held_bytes
    if uncounted_bytes > 0 and not _count_more(intake, uncounted_bytes):
        return False
    if intake.received_bytes == len(chunk):
        intake.first_chunk = chunk
        return True
    if intake.buffer is None:
        intake.buffer = io.BytesIO(bytes(intake.announced_bytes))
        intake.buffer.write(intake.first_chunk)
        intake.first_chunk = b''
    intake.buffer.write(chunk)
    memory_account.mark_progress(intake.holding, len(chunk), intake.now_ms())
    return True


def _count_more(intake: Intake, added_bytes: int) -> bool:
    """Count further bytes of a body without an announced length."""
    holding = intake.holding
    account = intake.account
    now_ms = intake.now_ms()
    # A transfer that makes progress isn't dropped for its own chunk.
    holding.moved_ms = now_ms
    memory_account.release(account, holding)
    wanted_bytes = holding.held_bytes + added_bytes
    claim = memory_account.classify_upload(wanted_bytes)
    has_room = memory_account.make_room(account, claim, wanted_bytes, now_ms)
    memory_account.hold(account, holding)
    if has_room:
        memory_account.grow(account, holding, added_bytes)
    return has_room


def complete(intake: Intake) -> None:
    """Record that the body is complete; it is no longer dropped for others."""
    intake.holding.pace = None
    memory_account.change_kind(
        intake.account, intake.holding, memory_account.Kind.REQUESTS
    )


def take_body(intake: Intake) -> bytes:
    """Return the complete body, which counts until `end`."""
    body = intake.first_chunk
    if intake.buffer is not None:
        intake.buffer.truncate()
        body = intake.buffer.getvalue()
    _free(intake)
    return body


def end(intake: Intake) -> None:
    """Free what was received, and count it no longer."""
    memory_account.release(intake.account, intake.holding)
    _free(intake)


def _free(intake: Intake) -> None:
    intake.first_chunk = b''
    intake.buffer = None
