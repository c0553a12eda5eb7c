"""Count what happens and record how long it takes."""

import collections
import dataclasses

from hdrh import histogram as hdr

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000
US_PER_SECOND = 1_000_000
#: Bounds of the buckets that scrapers see, in milliseconds: from what an idle
#: upstream needs to the longest deadlines of callers.
BUCKETS_MS = (10, 25, 50, 100, 200, 300, 400, 600, 1000, 1500, 2500, 5000)

Pairs = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Label:
    """Name one counter or histogram: a family and its labels.

    `label` is the one value of a family that needs no name for it.
    """

    family: str
    label: str = ''
    pairs: Pairs = ()


def make_histogram() -> hdr.HdrHistogram:
    """Make an empty histogram of microseconds."""
    return hdr.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(slots=True, kw_only=True)
class Metrics:
    """Hold the counters and latency histograms of one process."""

    count_by_label: collections.Counter[Label] = dataclasses.field(
        default_factory=collections.Counter,
    )
    histogram_by_label: dict[Label, hdr.HdrHistogram] = dataclasses.field(
        default_factory=dict,
    )

    def count(self, family: str, label: str = '', **pairs: str) -> None:
        """Add one to a counter."""
        self.count_by_label[Label(family, label, tuple(pairs.items()))] += 1

    def record_us(
        self,
        family: str,
        label: str,
        span_us: float,
        **pairs: str,
    ) -> None:
        """Record one latency in microseconds."""
        name = Label(family, label, tuple(pairs.items()))
        histogram = self.histogram_by_label.get(name)
        if histogram is None:
            histogram = make_histogram()
            self.histogram_by_label[name] = histogram
        histogram.record_value(min(max(int(span_us), LOWEST_US), HIGHEST_US))


def render_text(metrics: Metrics) -> str:
    """Render metrics in the text form of common scrapers.

    Latencies are histograms in seconds, with cumulative buckets.
    """
    lines: list[str] = []
    families: set[str] = set()
    for name, number in sorted(metrics.count_by_label.items()):
        stem = f'lentilgauge_{name.family}_total'
        _add_type(lines, families, stem, 'counter')
        lines.append(f'{stem}{_render_pairs(name)} {number}')
    for name, histogram in sorted(metrics.histogram_by_label.items()):
        stem = f'lentilgauge_{name.family}_seconds'
        _add_type(lines, families, stem, 'histogram')
        lines.extend(_render_histogram(stem, name, histogram))
    return '\n'.join((*lines, ''))


def _add_type(
    lines: list[str],
    families: set[str],
    stem: str,
    kind: str,
) -> None:
    """Say once what a family is."""
    if stem not in families:
        families.add(stem)
        lines.append(f'# TYPE {stem} {kind}')


def _render_pairs(name: Label, *more: tuple[str, str]) -> str:
    pairs = [*name.pairs, *more]
    if name.label:
        pairs.insert(0, ('label', name.label))
    if not pairs:
        return ''
    written = ','.join(f'{key}="{text}"' for key, text in pairs)
    return f'{{{written}}}'


def _render_histogram(
    stem: str,
    name: Label,
    histogram: hdr.HdrHistogram,
) -> list[str]:
    counts = _count_up_to(histogram)
    lines = [
        f'{stem}_bucket{_render_pairs(name, ("le", f"{bound / 1000:g}"))} '
        f'{count}'
        for bound, count in zip(BUCKETS_MS, counts, strict=True)
    ]
    total = histogram.total_count
    mean_us = histogram.get_mean_value() if total else 0
    lines.extend(
        (
            f'{stem}_bucket{_render_pairs(name, ("le", "+Inf"))} {total}',
            f'{stem}_sum{_render_pairs(name)} '
            f'{mean_us * total / US_PER_SECOND:.6f}',
            f'{stem}_count{_render_pairs(name)} {total}',
        ),
    )
    return lines


def _count_up_to(histogram: hdr.HdrHistogram) -> list[int]:
    """Count the values up to each bucket's bound."""
    counts = [0 for _ in BUCKETS_MS]
    for step in histogram.get_recorded_iterator():
        spent_ms = step.value_iterated_to / US_PER_MS
        for place, bound in enumerate(BUCKETS_MS):
            if spent_ms <= bound:
                counts[place] += step.count_added_in_this_iter_step
    return counts
