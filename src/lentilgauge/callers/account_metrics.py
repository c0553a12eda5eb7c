"""Metrics of what callers make a process hold."""

import functools

from lentilgauge import metrics
from lentilgauge.callers import connection_limits, memory_account


def add_gauges(
    process_metrics: metrics.Metrics,
    account: memory_account.Account,
    connections: connection_limits.Connections,
) -> None:
    """Add gauges of the bytes held, by kind, and of callers' connections."""
    gauges = process_metrics.read_gauge_by_key
    for kind in memory_account.Kind:
        gauge_key = metrics.MetricKey('held_bytes', kind)
        gauges[gauge_key] = functools.partial(
            account.bytes_by_kind.__getitem__, kind
        )
    gauges[metrics.MetricKey('caller_connections')] = functools.partial(
        len, connections.open_streams
    )
