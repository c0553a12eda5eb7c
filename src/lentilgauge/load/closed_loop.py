"""Send requests closed-loop, as many at a time as there are callers."""

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

_TIMEOUT_MS = 10_000
_FAMILY = 'closed_loop'


class LoopReport(pydantic.BaseModel):
    """Report a closed loop: counts, and an encoded latency histogram."""

    sent: int
    failed: int
    seconds: float
    latency: metrics_messages.HistogramMessage


def _is_fine(sent: http_client.CallResult) -> bool:
    return (
        isinstance(sent, result.Success)
        and sent.unwrap().status < http.HTTPStatus.BAD_REQUEST
    )


async def _call_until(
    client: http_client.Client,
    make_call: Callable[[], http_client.Call],
    taken: metrics.Metrics,
    deadline_ms: int,
) -> None:
    while clock.read_monotonic_ms() < deadline_ms:
        started_ns = time.monotonic_ns()
        sent = await http_client.send_call(client, make_call())
        span_us = (time.monotonic_ns() - started_ns) / clock.NS_PER_US
        fine = _is_fine(sent)
        taken.count(_FAMILY, 'sent' if fine else 'failed')
        taken.record_us(_FAMILY, '', span_us)


async def _run_callers(
    url: str,
    callers: int,
    seconds: float,
    body: bytes | None,
) -> LoopReport:
    client = http_client.make_client()
    taken = metrics.Metrics()
    headers = httputil.HTTPHeaders()

    def make_call() -> http_client.Call:
        return http_client.Call(
            method='GET' if body is None else 'POST',
            url=url,
            timeout_ms=_TIMEOUT_MS,
            body=body,
            headers=headers,
        )

    started_ms = clock.read_monotonic_ms()
    deadline_ms = started_ms + int(seconds * clock.MS_PER_SECOND)
    await asyncio.gather(
        *(
            _call_until(client, make_call, taken, deadline_ms)
            for _ in range(callers)
        ),
    )
    span_ms = clock.read_monotonic_ms() - started_ms
    counts = taken.count_by_label
    return LoopReport(
        sent=counts[metrics.Label(_FAMILY, 'sent')],
        failed=counts[metrics.Label(_FAMILY, 'failed')],
        seconds=clock.to_seconds(span_ms),
        latency=metrics_messages.export_metrics(taken).histograms[0],
    )


def run_closed_loop(
    url: str,
    *,
    callers: int = 8,
    seconds: float = 5,
    body_bytes: int = 0,
) -> None:
    """Send requests to one URL and print a report as JSON."""
    body = b'.' * body_bytes if body_bytes else None
    report = asyncio.run(_run_callers(url, callers, seconds, body))
    sys.stdout.write(f'{report.model_dump_json()}\n')
