"""Counters and latency histograms, and their Prometheus text format."""

import collections
import dataclasses
import operator
import types
from collections.abc import Callable

from hdrh import histogram as hdr

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000
US_PER_SECOND = 1_000_000
#: Upper bounds of the exported buckets: from the response time of an idle
#: upstream to the longest deadlines of callers.
BUCKETS_MS = (10, 25, 50, 100, 200, 300, 400, 600, 1000, 1500, 2500, 5000)
#: Escapes within the value of a label, by the code of the character.
_ESCAPE_BY_CODE = types.MappingProxyType(
    str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'}),
)

LabelPairs = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class MetricKey:
    """Identity of a counter or histogram: its family and its labels.

    `label` is the value of a family's unnamed label, empty if it has none;
    `label_pairs` are names and values of further labels.
    """

    family: str
    label: str = ''
    label_pairs: LabelPairs = ()


def make_histogram() -> hdr.HdrHistogram:
    """Make an empty histogram of latencies in microseconds."""
    return hdr.HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(slots=True, kw_only=True)
class Metrics:
    """Counters and latency histograms of a process.

    `read_gauge_by_key` has functions that return present values.
    """

    count_by_key: collections.Counter[MetricKey] = dataclasses.field(
        default_factory=collections.Counter,
    )
    histogram_by_key: dict[MetricKey, hdr.HdrHistogram] = dataclasses.field(
        default_factory=dict,
    )

    read_gauge_by_key: dict[MetricKey, Callable[[], int]] = dataclasses.field(
        default_factory=dict,
    )

    def count(self, family: str, label: str = '', **labels: str) -> None:
        """Increment a counter."""
        self.count_by_key[MetricKey(family, label, tuple(labels.items()))] += 1

    def record_us(
        self,
        family: str,
        label: str,
        latency_us: float,
        **labels: str,
    ) -> None:
        """Record a latency, clamped to the range of the histograms."""
        metric_key = MetricKey(family, label, tuple(labels.items()))
        histogram = self.histogram_by_key.get(metric_key)
        if histogram is None:
            histogram = make_histogram()
            self.histogram_by_key[metric_key] = histogram
        histogram.record_value(
            min(max(int(latency_us), MIN_LATENCY_US), MAX_LATENCY_US)
        )


def render_text(metrics: Metrics) -> str:
    """Render metrics in the Prometheus text format.

    Latencies are histograms in seconds, with cumulative buckets.
    """
    lines: list[str] = []
    typed_names: set[str] = set()
    for metric_key, counter_total in sorted(metrics.count_by_key.items()):
        metric_name = f'lentilgauge_{metric_key.family}_total'
        _add_type_line(lines, typed_names, metric_name, 'counter')
        lines.append(
            f'{metric_name}{_render_labels(metric_key)} {counter_total}'
        )
    for metric_key, read_gauge in sorted(
        metrics.read_gauge_by_key.items(), key=operator.itemgetter(0)
    ):
        metric_name = f'lentilgauge_{metric_key.family}'
        _add_type_line(lines, typed_names, metric_name, 'gauge')
        lines.append(
            f'{metric_name}{_render_labels(metric_key)} {read_gauge()}'
        )
    for metric_key, histogram in sorted(metrics.histogram_by_key.items()):
        metric_name = f'lentilgauge_{metric_key.family}_seconds'
        _add_type_line(lines, typed_names, metric_name, 'histogram')
        lines.extend(_render_histogram(metric_name, metric_key, histogram))
    return '\n'.join((*lines, ''))


def _add_type_line(
    lines: list[str],
    typed_names: set[str],
    metric_name: str,
    metric_type: str,
) -> None:
    """Add the `TYPE` line of a family, once."""
    if metric_name not in typed_names:
        typed_names.add(metric_name)
        lines.append(f'# TYPE {metric_name} {metric_type}')


def escape_label(label_text: str) -> str:
    """Escape a label's value for the text format."""
    return label_text.translate(_ESCAPE_BY_CODE)


def _render_labels(metric_key: MetricKey, *extra_pairs: tuple[str, str]) -> str:
    label_pairs = [*metric_key.label_pairs, *extra_pairs]
    if metric_key.label:
        label_pairs.insert(0, ('label', metric_key.label))
    if not label_pairs:
        return ''
    rendered_pairs = ','.join(
        f'{label_name}="{escape_label(label_text)}"'
        for label_name, label_text in label_pairs
    )
    return f'{{{rendered_pairs}}}'


def _render_histogram(
    metric_name: str,
    metric_key: MetricKey,
    histogram: hdr.HdrHistogram,
) -> list[str]:
    counts = _count_cumulatively(histogram)
    lines = [
        f'{metric_name}_bucket'
        f'{_render_labels(metric_key, ("le", f"{bound_ms / 1000:g}"))} {count}'
        for bound_ms, count in zip(BUCKETS_MS, counts, strict=True)
    ]
    total = histogram.total_count
    mean_us = histogram.get_mean_value() if total else 0
    lines.extend(
        (
            f'{metric_name}_bucket'
            f'{_render_labels(metric_key, ("le", "+Inf"))} {total}',
            f'{metric_name}_sum{_render_labels(metric_key)} '
            f'{mean_us * total / US_PER_SECOND:.6f}',
            f'{metric_name}_count{_render_labels(metric_key)} {total}',
        ),
    )
    return lines


def _count_cumulatively(histogram: hdr.HdrHistogram) -> list[int]:
    """Count, for each bucket, the latencies up to its upper bound."""
    counts = [0 for _ in BUCKETS_MS]
    for recorded in histogram.get_recorded_iterator():
        latency_ms = recorded.value_iterated_to / US_PER_MS
        for index, bound_ms in enumerate(BUCKETS_MS):
            if latency_ms <= bound_ms:
                counts[index] += recorded.count_added_in_this_iter_step
    return counts
