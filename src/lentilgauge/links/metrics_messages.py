"""Shape metrics as they travel."""

import pydantic

from lentilgauge import metrics


class CounterMessage(pydantic.BaseModel):
    """Carry one counter."""

    family: str
    label: str
    count: int


class HistogramMessage(pydantic.BaseModel):
    """Carry one histogram as an encoded HDR payload, in microseconds."""

    family: str
    label: str
    count: int
    payload: str


class MetricsMessage(pydantic.BaseModel):
    """Carry all metrics of one process."""

    counters: list[CounterMessage]
    histograms: list[HistogramMessage]


def export_metrics(counted: metrics.Metrics) -> MetricsMessage:
    """Export metrics as a message."""
    return MetricsMessage(
        counters=[
            CounterMessage(family=name.family, label=name.label, count=number)
            for name, number in sorted(counted.count_by_label.items())
        ],
        histograms=[
            HistogramMessage(
                family=name.family,
                label=name.label,
                count=histogram.total_count,
                payload=histogram.encode().decode('ascii'),
            )
            for name, histogram in sorted(counted.histogram_by_label.items())
        ],
    )
