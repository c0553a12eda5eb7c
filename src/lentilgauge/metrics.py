"""Count what happens and record how long it takes."""

import collections
import dataclasses

from hdrh import histogram as hdr

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000
QUANTILES = (50, 90, 99, 99.9)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Label:
    """Name one counter or histogram: a family and one labelled value."""

    family: str
    label: str = ''


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

    def count(self, family: str, label: str = '') -> None:
        """Add one to a counter."""
        self.count_by_label[Label(family, label)] += 1

    def record_us(self, family: str, label: str, span_us: float) -> None:
        """Record one latency in microseconds."""
        name = Label(family, label)
        histogram = self.histogram_by_label.get(name)
        if histogram is None:
            histogram = make_histogram()
            self.histogram_by_label[name] = histogram
        histogram.record_value(min(max(int(span_us), LOWEST_US), HIGHEST_US))


def render_text(metrics: Metrics) -> str:
    """Render metrics as lines of `name{label="x"} number` for scrapers."""
    lines = [
        f'lentilgauge_{name.family}_total{{label="{name.label}"}} {number}'
        for name, number in sorted(metrics.count_by_label.items())
    ]
    for name, histogram in sorted(metrics.histogram_by_label.items()):
        stem = f'lentilgauge_{name.family}_us'
        lines.extend(
            f'{stem}{{label="{name.label}",quantile="{quantile / 100:g}"}} '
            f'{histogram.get_value_at_percentile(quantile)}'
            for quantile in QUANTILES
        )
        lines.append(
            f'{stem}_count{{label="{name.label}"}} {histogram.total_count}',
        )
    return '\n'.join((*lines, ''))
