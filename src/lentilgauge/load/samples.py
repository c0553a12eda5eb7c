"""Samples of sent requests, and summaries of them."""

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from hdrh import histogram as hdr

from lentilgauge import errors, metrics

US_PER_MS = 1000
_MEDIAN_PERCENTILE = 50
_TAIL_PERCENTILE = 99
_FAR_TAIL_PERCENTILE = 99.9


class Outcome(enum.StrEnum):
    """How a request ended, as its caller saw it.

    `WRONG` stands for an answer that does not belong to the request or is not
    readable.
    """

    EXECUTED = 'executed'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    WRONG = 'wrong'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """One sent request.

    Times are in microseconds from the start of the experiment. The latency
    counts from the scheduled arrival, so that a delay in the load generator
    shows in it (no coordinated omission).
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
        """Time from the scheduled arrival to the end."""
        return self.ended_us - self.scheduled_us


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """Summary of the samples of one kind; latencies are of executed ones."""

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
    """Make a histogram of the latencies of executed samples."""
    histogram = metrics.make_histogram()
    for sample in samples:
        if sample.outcome is Outcome.EXECUTED:
            histogram.record_value(
                max(sample.latency_us, metrics.MIN_LATENCY_US)
            )
    return histogram


def get_percentile_ms(samples: Iterable[Sample], percentile: float) -> float:
    """Return a percentile of the latencies of executed samples."""
    percentile_us = make_histogram(samples).get_value_at_percentile(percentile)
    return float(percentile_us / US_PER_MS)


def summarise(kind: str, samples: Sequence[Sample]) -> Summary:
    """Summarise samples under the name of a kind."""
    return Summary(
        kind=kind,
        sent=len(samples),
        executed=_count(samples, Outcome.EXECUTED),
        not_run=_count(samples, Outcome.NOT_RUN),
        unknown=_count(samples, Outcome.UNKNOWN),
        wrong=_count(samples, Outcome.WRONG),
        p50_ms=get_percentile_ms(samples, _MEDIAN_PERCENTILE),
        p99_ms=get_percentile_ms(samples, _TAIL_PERCENTILE),
        p999_ms=get_percentile_ms(samples, _FAR_TAIL_PERCENTILE),
    )


def summarise_by_kind(samples: Sequence[Sample]) -> list[Summary]:
    """Summarise the samples of each kind, and last all samples."""
    kinds = sorted({sample.kind for sample in samples})
    summaries = [
        summarise(kind, [sample for sample in samples if sample.kind == kind])
        for kind in kinds
    ]
    return [*summaries, summarise('all', samples)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outage:
    """Time for which a key was not served."""

    key: str
    duration_ms: float


def find_longest_outage(samples: Iterable[Sample]) -> Outage:
    """Find the key that was unavailable for the longest time.

    A key counts as unavailable from the arrival of a request until the next
    time at which any request for that key, this one included, was served.
    """
    samples_by_key: dict[str, list[Sample]] = {}
    for sample in samples:
        samples_by_key.setdefault(sample.key, []).append(sample)
    longest = Outage(key='', duration_ms=0)
    for key, key_samples in samples_by_key.items():
        outage_us = _find_longest_outage_us(key_samples)
        if outage_us > longest.duration_ms * US_PER_MS:
            longest = Outage(key=key, duration_ms=outage_us / US_PER_MS)
    return longest


def _find_longest_outage_us(key_samples: list[Sample]) -> int:
    """Return the longest time without a success.

    Goes from the last request to the first, and keeps the earliest end of the
    successes passed so far.
    """
    longest_us = 0
    next_success_us: int | None = None
    for sample in sorted(
        key_samples,
        key=lambda sample: sample.scheduled_us,
        reverse=True,
    ):
        if sample.outcome is Outcome.EXECUTED:
            next_success_us = min(
                sample.ended_us, next_success_us or sample.ended_us
            )
        outage_end_us = (
            sample.ended_us if next_success_us is None else next_success_us
        )
        longest_us = max(longest_us, outage_end_us - sample.scheduled_us)
    return longest_us
