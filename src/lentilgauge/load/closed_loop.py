"""Closed-loop load: each caller sends again once it has its answer."""

import asyncio
import http
import sys
import time
from collections.abc import Callable

import pydantic
from returns import result
from tornado import httputil

from lentilgauge import clock, metrics
from lentilgauge.links import http_client, metrics_messages

_CALL_TIMEOUT_MS = 10_000
_METRIC_FAMILY = 'closed_loop'


class ClosedLoopReport(pydantic.BaseModel):
    """Counts of a closed-loop run, and its latencies as an encoded histogram.

    `sent` counts the requests that succeeded, `failed` the others.
    """

    sent: int
    failed: int
    seconds: float
    latency: metrics_messages.HistogramMessage


def _has_succeeded(call_result: http_client.CallResult) -> bool:
    return (
        isinstance(call_result, result.Success)
        and call_result.unwrap().status < http.HTTPStatus.BAD_REQUEST
    )


async def _send_until(
    client: http_client.Client,
    make_call: Callable[[], http_client.Call],
    loop_metrics: metrics.Metrics,
    deadline_ms: int,
) -> None:
    while clock.read_monotonic_ms() < deadline_ms:
        started_ns = time.monotonic_ns()
        call_result = await http_client.send_call(client, make_call())
        latency_us = (time.monotonic_ns() - started_ns) / clock.NS_PER_US
        succeeded = _has_succeeded(call_result)
        loop_metrics.count(_METRIC_FAMILY, 'sent' if succeeded else 'failed')
        loop_metrics.record_us(_METRIC_FAMILY, '', latency_us)


async def _run_callers(
    url: str,
    callers: int,
    seconds: float,
    body: bytes | None,
) -> ClosedLoopReport:
    client = http_client.make_client()
    loop_metrics = metrics.Metrics()
    headers = httputil.HTTPHeaders()

    def make_call() -> http_client.Call:
        return http_client.Call(
            method='GET' if body is None else 'POST',
            url=url,
            timeout_ms=_CALL_TIMEOUT_MS,
            body=body,
            headers=headers,
        )

    started_ms = clock.read_monotonic_ms()
    deadline_ms = started_ms + int(seconds * clock.MS_PER_SECOND)
    await asyncio.gather(
        *(
            _send_until(client, make_call, loop_metrics, deadline_ms)
            for _ in range(callers)
        ),
    )
    elapsed_ms = clock.read_monotonic_ms() - started_ms
    count_by_metric = loop_metrics.count_by_key
    return ClosedLoopReport(
        sent=count_by_metric[metrics.MetricKey(_METRIC_FAMILY, 'sent')],
        failed=count_by_metric[metrics.MetricKey(_METRIC_FAMILY, 'failed')],
        seconds=clock.to_seconds(elapsed_ms),
        latency=metrics_messages.export_metrics(loop_metrics).histograms[0],
    )


def run_closed_loop(
    url: str,
    *,
    callers: int = 8,
    seconds: float = 5,
    body_bytes: int = 0,
) -> None:
    """Send requests to one URL and print a `ClosedLoopReport` as JSON.

    Requests are `POST` with a body of `body_bytes`, or `GET` if that is 0.
    """
    body = b'.' * body_bytes if body_bytes else None
    report = asyncio.run(_run_callers(url, callers, seconds, body))
    sys.stdout.write(f'{report.model_dump_json()}\n')
