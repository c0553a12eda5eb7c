"""Say what the product needs of an upstream, whatever dialect it speaks."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable

from tornado import httputil

from lentilgauge.upstreams import roster


class Proof(enum.StrEnum):
    """Say what an attempt's end proves about the request.

    `MOVED` is a refusal by another upstream than the expected one, or by one
    that doesn't hold the key. After `UNKNOWN` the request may have run.
    """

    EXECUTED = 'executed'
    REFUSED = 'refused'
    MOVED = 'moved'
    NOT_SENT = 'not_sent'
    UNKNOWN = 'unknown'
    TIMED_OUT = 'timed_out'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Hold what an upstream says of its load in an answer.

    `slowness` is how long work takes there now against the usual 1.
    """

    running: int
    waiting: int
    concurrency: int
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """Describe one sending of a caller's request to an upstream."""

    upstream: roster.Upstream
    request_id: str
    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    left_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Hold what became of an attempt; the answer is whole if it was run."""

    proof: Proof
    status: int = 0
    headers: httputil.HTTPHeaders | None = None
    body: bytes = b''
    load: Load | None = None


class GrantAnswer(enum.StrEnum):
    """Say what an upstream answered to a grant or a release.

    `UNREACHABLE` means that nothing listens at its address.
    """

    ACCEPTED = 'accepted'
    FENCED = 'fenced'
    UNREACHABLE = 'unreachable'
    SILENT = 'silent'
    BAD = 'bad'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyOrder:
    """Describe a grant or a release of a range of keys, ends included."""

    upstream: roster.Upstream
    start: int
    end: int
    fence: int
    hold_ms: int = 0
    handover: str = ''
    timeout_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyReply:
    """Hold the answer to a grant or a release; a release may hand over."""

    answer: GrantAnswer
    handover: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLink:
    """Hold the functions that reach upstreams."""

    send_attempt: Callable[[Attempt], Awaitable[Outcome]]
    grant_keys: Callable[[KeyOrder], Awaitable[KeyReply]]
    release_keys: Callable[[KeyOrder], Awaitable[KeyReply]]
