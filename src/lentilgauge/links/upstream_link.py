"""Interface to upstreams, independent of the protocol that they use."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable

from tornado import httputil

from lentilgauge.upstreams import upstream_state


class Proof(enum.StrEnum):
    """What the outcome of an attempt proves about the request.

    `MOVED` is a refusal by an upstream that isn't the expected one or doesn't
    own the key. `NOT_SENT` means that connecting failed, and `UNSENT` that the
    connection failed, or time ran out, before anything was sent. After
    `UNKNOWN` and `TIMED_OUT` the request may have been executed.
    """

    EXECUTED = 'executed'
    REFUSED = 'refused'
    MOVED = 'moved'
    NOT_SENT = 'not_sent'
    UNSENT = 'unsent'
    UNKNOWN = 'unknown'
    TIMED_OUT = 'timed_out'


#: Outcomes after which a full upstream may have reset the connection.
RESET_PROOFS = frozenset((Proof.UNKNOWN, Proof.UNSENT))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Load that an upstream reports in a reply.

    `running` and `waiting` count its requests, and `concurrency` is how many
    it can run at once. `slowness` is the current execution time relative to the
    usual one.
    """

    running: int
    waiting: int
    concurrency: int
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt to execute a caller's request on an upstream.

    `remaining_ms` is the time that remains until the request's deadline. With
    `new_connection` no pooled connection is used: on one, a duplicate of the
    answer to an earlier attempt could arrive, with the id of the same request.
    """

    upstream: upstream_state.Upstream
    request_id: str
    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    remaining_ms: int
    new_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of an attempt, with the complete reply if it was executed.

    An upstream that is `leaving` will end soon. With `retry_after_ms` it was
    overloaded and wants no requests from this VM for that time.
    """

    proof: Proof
    status: int = 0
    headers: httputil.HTTPHeaders | None = None
    body: bytes = b''
    load: Load | None = None
    leaving: bool = False
    retry_after_ms: int = 0


class OrderAnswer(enum.StrEnum):
    """Upstream's answer to a grant or a release.

    `FENCED` means that the upstream has seen a newer fencing token,
    `UNREACHABLE` that nothing listens at its address, and `REPLACED` that
    another process does, as the upstream has ended. `SILENT` means that no
    usable reply arrived, so that the grant or release may have taken effect.
    `BAD` is a reply with an unexpected status.
    """

    ACCEPTED = 'accepted'
    FENCED = 'fenced'
    UNREACHABLE = 'unreachable'
    REPLACED = 'replaced'
    SILENT = 'silent'
    BAD = 'bad'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyOrder:
    """Order to an upstream: grant or release of a range of keys.

    `start` and `end` are the first and the last key, and `fence` is the fencing
    token. A grant lasts `hold_ms`, and its `handover` is the data that the
    previous holder returned when it released the keys.
    """

    upstream: upstream_state.Upstream
    start: int
    end: int
    fence: int
    hold_ms: int = 0
    handover: str = ''
    timeout_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyReply:
    """Answer to a grant or a release.

    The answer to a release may contain handover data for the next holder. An
    upstream that is `leaving` will end soon.
    """

    answer: OrderAnswer
    handover: str = ''
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLink:
    """Functions that send requests and orders to upstreams."""

    send_attempt: Callable[[Attempt], Awaitable[Outcome]]
    grant_keys: Callable[[KeyOrder], Awaitable[KeyReply]]
    release_keys: Callable[[KeyOrder], Awaitable[KeyReply]]
