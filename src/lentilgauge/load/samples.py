"""Hold the outcomes of sent requests and sum them up."""

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from hdrh import histogram as hdr

from lentilgauge import errors, metrics

US_PER_MS = 1000
_MEDIAN = 50
_TAIL = 99
_FAR_TAIL = 99.9


class Outcome(enum.StrEnum):
    """Name how a request ended, as its caller saw it."""

    EXECUTED = 'executed'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    WRONG = 'wrong'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Hold one sent request.

    Times are in microseconds from the start of the experiment; the latency
    counts from the scheduled arrival, so a late sender hides nothing.
    """

    kind: str
    key: str
    idempotency_key: str
    scheduled_us: int
    ended_us: int
    outcome: Outcome
    error: errors.ErrorKind | None = None

    @property
    def latency_us(self) -> int:
        """The time from the scheduled arrival to the end."""
        return self.ended_us - self.scheduled_us


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """Sum up the samples of one kind; latencies are of executed ones."""

    kind: str
    sent: int
    executed: int
    not_run: int
    unknown: int
    wrong: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


def _count(samples: Iterable[Sample], outcome: Outcome) -> int:
    return sum(sample.outcome is outcome for sample in samples)


def make_histogram(samples: Iterable[Sample]) -> hdr.HdrHistogram:
    """Make a histogram of the executed samples' latencies."""
    histogram = metrics.make_histogram()
    for sample in samples:
        if sample.outcome is Outcome.EXECUTED:
            histogram.record_value(max(sample.latency_us, metrics.LOWEST_US))
    return histogram


def get_percentile_ms(samples: Iterable[Sample], percentile: float) -> float:
    """Return a percentile of the executed samples' latencies."""
    found = make_histogram(samples).get_value_at_percentile(percentile)
    return float(found / US_PER_MS)


def sum_up(kind: str, samples: Sequence[Sample]) -> Summary:
    """Sum up samples."""
    return Summary(
        kind=kind,
        sent=len(samples),
        executed=_count(samples, Outcome.EXECUTED),
        not_run=_count(samples, Outcome.NOT_RUN),
        unknown=_count(samples, Outcome.UNKNOWN),
        wrong=_count(samples, Outcome.WRONG),
        p50_ms=get_percentile_ms(samples, _MEDIAN),
        p99_ms=get_percentile_ms(samples, _TAIL),
        p999_ms=get_percentile_ms(samples, _FAR_TAIL),
    )


def sum_up_by_kind(samples: Sequence[Sample]) -> list[Summary]:
    """Sum up each kind, then all."""
    kinds = sorted({sample.kind for sample in samples})
    summaries = [
        sum_up(kind, [sample for sample in samples if sample.kind == kind])
        for kind in kinds
    ]
    return [*summaries, sum_up('all', samples)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outage:
    """Hold the longest time for which a key was not served."""

    key: str
    span_ms: float


def find_longest_outage(samples: Iterable[Sample]) -> Outage:
    """Find the key that a caller had to wait longest for.

    A key counts as unavailable from the arrival of a request until the next
    moment at which any request of that key, this one included, was served.
    """
    samples_by_key: dict[str, list[Sample]] = {}
    for sample in samples:
        samples_by_key.setdefault(sample.key, []).append(sample)
    longest = Outage(key='', span_ms=0)
    for key, of_key in samples_by_key.items():
        span_us = _find_longest_span_us(of_key)
        if span_us > longest.span_ms * US_PER_MS:
            longest = Outage(key=key, span_ms=span_us / US_PER_MS)
    return longest


def _find_longest_span_us(of_key: list[Sample]) -> int:
    """Walk back from the last request; the last known success serves all."""
    longest_us = 0
    served_us: int | None = None
    for sample in sorted(
        of_key,
        key=lambda one: one.scheduled_us,
        reverse=True,
    ):
        if sample.outcome is Outcome.EXECUTED:
            served_us = min(sample.ended_us, served_us or sample.ended_us)
        reached_us = sample.ended_us if served_us is None else served_us
        longest_us = max(longest_us, reached_us - sample.scheduled_us)
    return longest_us
