"""JSON format of exported metrics."""

import pydantic

from lentilgauge import metrics


class CounterMessage(pydantic.BaseModel):
    """Value of one counter."""

    family: str
    label: str
    count: int


class HistogramMessage(pydantic.BaseModel):
    """Encoded HDR histogram of durations in microseconds."""

    family: str
    label: str
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
            CounterMessage(family=name.family, label=name.label, count=total)
            for name, total in sorted(process_metrics.count_by_key.items())
        ],
        histograms=[
            HistogramMessage(
                family=name.family,
                label=name.label,
                count=histogram.total_count,
                payload=histogram.encode().decode('ascii'),
            )
            for name, histogram in sorted(
                process_metrics.histogram_by_key.items()
            )
        ],
    )
