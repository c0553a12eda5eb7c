"""Report gateways that don't follow what upstreams say of themselves."""

import time

from tornado import httputil

from lentilgauge.load import soak_checker, soak_notices
from lentilgauge.platform import headers

_SEAL_PREFIX = 'seal-'


def record_answer(
    checker: soak_checker.Checker,
    request_id: str,
    reply_headers: httputil.HTTPHeaders,
) -> None:
    """Record an answer that a VM passed on, if its upstream is leaving."""
    seal = reply_headers.get(headers.SEAL, '')
    upstream = checker.upstream_by_id.get(seal.removeprefix(_SEAL_PREFIX))
    if headers.LEAVING in reply_headers and upstream is not None:
        soak_notices.note_departure(
            checker.notices,
            checker.request_by_id[request_id].vm,
            upstream,
            time.monotonic(),
        )


def record_refusal(
    checker: soak_checker.Checker, upstream_id: str, request_id: str
) -> None:
    """Record that an upstream asks a VM for a pause."""
    request = checker.request_by_id.get(request_id)
    if request is not None:
        soak_notices.note_refusal(
            checker.notices,
            request.vm,
            checker.upstream_by_id[upstream_id],
            time.monotonic(),
        )


def check_arrival(
    checker: soak_checker.Checker, upstream_id: str, request_id: str
) -> None:
    """Check that an upstream gets nothing that it has asked not to get."""
    request = checker.request_by_id.get(request_id)
    if request is None or not checker.checks_time_bounds:
        return
    upstream = checker.upstream_by_id[upstream_id]
    if soak_notices.check_arrival(
        checker.notices,
        request.vm,
        upstream,
        time.monotonic(),
        checker.undisturbed_since,
    ):
        soak_checker.record_violation(
            checker,
            f'pause: {upstream_id} got {request_id} through {request.vm}',
        )
    if soak_notices.check_departure(
        checker.notices,
        request.vm,
        upstream,
        sent_at=request.sent_at,
        undisturbed_since=checker.undisturbed_since,
        bound_seconds=soak_checker.DRAIN_BOUND_SECONDS,
    ):
        soak_checker.record_violation(
            checker,
            f'departure: {upstream_id} got {request_id} through {request.vm}',
        )
