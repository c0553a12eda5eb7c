"""Remember requests by idempotency key, so that each runs at most once."""

import collections
import dataclasses
import enum

#: Beyond this many records, requests with new keys are refused.
MOST_RECORDS = 100_000
#: An answer larger than this isn't kept; its repetition is told "unknown".
MOST_ANSWER_BYTES = 65_536


class State(enum.StrEnum):
    """Name what is known of a request under an idempotency key."""

    FRESH = 'fresh'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'
    OTHER_CONTENT = 'other_content'
    FULL = 'full'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeptAnswer:
    """Keep an upstream's answer for repetitions of its request."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """Hold one request under its key.

    One that still runs past `run_deadline_ms` has an unknown outcome; the
    record is forgotten after `kept_deadline_ms`.
    """

    digest: str
    state: State
    run_deadline_ms: int
    kept_deadline_ms: int
    answer: KeptAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Beginning:
    """Ask to run a request under a key.

    The digest covers what the request asks for; the spans are from now.
    """

    key: str
    digest: str
    run_ms: int
    keep_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Registry:
    """Hold the records of one VM, the oldest first."""

    record_by_key: collections.OrderedDict[str, Record] = dataclasses.field(
        default_factory=collections.OrderedDict,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Known:
    """Say what is known of a key, with the answer where it is kept."""

    state: State
    answer: KeptAnswer | None = None


def _forget_old(registry: Registry, now_ms: int) -> None:
    while registry.record_by_key:
        key, oldest = next(iter(registry.record_by_key.items()))
        if now_ms < oldest.kept_deadline_ms:
            return
        registry.record_by_key.pop(key)


def begin(registry: Registry, asked: Beginning, now_ms: int) -> Known:
    """Reserve a key, or say what is known of the request that has it."""
    _forget_old(registry, now_ms)
    record = registry.record_by_key.get(asked.key)
    if record is None:
        if len(registry.record_by_key) >= MOST_RECORDS:
            return Known(state=State.FULL)
        registry.record_by_key[asked.key] = Record(
            digest=asked.digest,
            state=State.RUNNING,
            run_deadline_ms=now_ms + asked.run_ms,
            kept_deadline_ms=now_ms + asked.keep_ms,
        )
        return Known(state=State.FRESH)
    if record.digest != asked.digest:
        return Known(state=State.OTHER_CONTENT)
    if record.state is State.RUNNING and now_ms >= record.run_deadline_ms:
        record.state = State.UNKNOWN
    return Known(state=record.state, answer=record.answer)


def end(registry: Registry, key: str, known: Known) -> None:
    """Note how a request ended; one that did not run frees its key."""
    if known.state is State.FRESH:
        registry.record_by_key.pop(key, None)
        return
    record = registry.record_by_key.get(key)
    if record is not None:
        record.state = known.state
        record.answer = known.answer


def keep_answer(answer: KeptAnswer) -> Known:
    """Say that a request ran, keeping its answer unless it is too large."""
    if len(answer.body) > MOST_ANSWER_BYTES:
        return Known(state=State.UNKNOWN)
    return Known(state=State.DONE, answer=answer)
