"""JSON format of exported metrics."""

import pydantic

from lentilgauge import metrics


class CounterMessage(pydantic.BaseModel):
    """Value of one counter; see `metrics.MetricKey` for family and label."""

    family: str
    label: str
    label_pairs: list[tuple[str, str]] = []
    count: int


class HistogramMessage(pydantic.BaseModel):
    """HDR histogram of durations in microseconds.

    `count` is the number of durations, and `payload` the encoded histogram.
    """

    family: str
    label: str
    label_pairs: list[tuple[str, str]] = []
    count: int
    payload: str


class MetricsMessage(pydantic.BaseModel):
    """All metrics of one process."""

    counters: list[CounterMessage]
    histograms: list[HistogramMessage]


def export_metrics(process_metrics: metrics.Metrics) -> MetricsMessage:
    """Convert metrics to a message."""
    return MetricsMessage(
        counters=[
            CounterMessage(
                family=metric_key.family,
                label=metric_key.label,
                label_pairs=list(metric_key.label_pairs),
                count=total,
            )
            for metric_key, total in sorted(
                process_metrics.count_by_key.items()
            )
        ],
        histograms=[
            HistogramMessage(
                family=metric_key.family,
                label=metric_key.label,
                label_pairs=list(metric_key.label_pairs),
                count=histogram.total_count,
                payload=histogram.encode().decode('ascii'),
            )
            for metric_key, histogram in sorted(
                process_metrics.histogram_by_key.items()
            )
        ],
    )
