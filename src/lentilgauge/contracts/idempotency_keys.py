"""Registry of idempotency keys, to run one request at most once per key."""

import collections
import dataclasses
import enum

#: Requests with new keys are refused once this many records are kept.
MAX_RECORDS = 100_000
#: A larger answer isn't stored: a repeated request then gets `UNKNOWN`.
MAX_ANSWER_BYTES = 65_536


class RequestState(enum.StrEnum):
    """State of the request under an idempotency key.

    `FRESH` means that no request has run under the key, `OTHER_CONTENT` that
    the key belongs to a different request, and `FULL` that the registry has
    no room for a new key. The outcome of an `UNKNOWN` request is lost.
    """

    FRESH = 'fresh'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'
    OTHER_CONTENT = 'other_content'
    FULL = 'full'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """Upstream's answer, stored to be replayed for repeated requests."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """Record of one request under its idempotency key.

    `request_id` is that of the request, empty if its entry is of an earlier
    version. A request that is still running at `run_deadline_ms` has an unknown
    outcome. The record expires at `kept_deadline_ms`.
    """

    digest: str
    state: RequestState
    run_deadline_ms: int
    kept_deadline_ms: int
    request_id: str = ''
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReservationRequest:
    """Request to reserve an idempotency key.

    The digest covers the content of the request. The request may run for
    `run_ms` and its record is kept for `keep_ms`, both from the reservation.
    `request_id` differs between requests with the same key.
    """

    key: str
    digest: str
    run_ms: int
    keep_ms: int
    request_id: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class Registry:
    """Idempotency records kept by one VM, oldest first."""

    record_by_key: collections.OrderedDict[str, Record] = dataclasses.field(
        default_factory=collections.OrderedDict,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyStatus:
    """State of an idempotency key, with the stored answer if there is one."""

    state: RequestState
    answer: StoredAnswer | None = None


def _drop_expired(registry: Registry, now_ms: int) -> None:
    while registry.record_by_key:
        key, oldest = next(iter(registry.record_by_key.items()))
        if now_ms < oldest.kept_deadline_ms:
            return
        registry.record_by_key.pop(key)


def reserve_key(
    registry: Registry, reservation: ReservationRequest, now_ms: int
) -> KeyStatus:
    """Reserve a key, or return the state of the request that reserved it."""
    _drop_expired(registry, now_ms)
    record = registry.record_by_key.get(reservation.key)
    if record is None:
        if len(registry.record_by_key) >= MAX_RECORDS:
            return KeyStatus(state=RequestState.FULL)
        registry.record_by_key[reservation.key] = Record(
            digest=reservation.digest,
            state=RequestState.RUNNING,
            run_deadline_ms=now_ms + reservation.run_ms,
            kept_deadline_ms=now_ms + reservation.keep_ms,
            request_id=reservation.request_id,
        )
        return KeyStatus(state=RequestState.FRESH)
    if record.digest != reservation.digest:
        return KeyStatus(state=RequestState.OTHER_CONTENT)
    if (
        record.state is RequestState.RUNNING
        and now_ms >= record.run_deadline_ms
    ):
        record.state = RequestState.UNKNOWN
    return KeyStatus(state=record.state, answer=record.answer)


def record_outcome(
    registry: Registry, key: str, outcome: KeyStatus, request_id: str = ''
) -> None:
    """Record the outcome of a request, freeing the key if it did not run.

    A message may arrive late or twice: the outcome of a request other than the
    one that has reserved the key is ignored.
    """
    record = registry.record_by_key.get(key)
    if record is None or record.request_id != request_id:
        return
    if outcome.state is RequestState.FRESH:
        registry.record_by_key.pop(key)
        return
    record.state = outcome.state
    record.answer = outcome.answer


def make_outcome(answer: StoredAnswer) -> KeyStatus:
    """Return the outcome of a request that ran, with its answer if small."""
    if len(answer.body) > MAX_ANSWER_BYTES:
        return KeyStatus(state=RequestState.UNKNOWN)
    return KeyStatus(state=RequestState.DONE, answer=answer)
