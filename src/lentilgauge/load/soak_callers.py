"""Send requests to gateways as the users' callers do, and check the answers."""

import asyncio
import dataclasses
import http
import json
import random
import time
import types
from collections.abc import Mapping

from returns import result
from tornado import httputil

from lentilgauge import clock
from lentilgauge.links import http_client
from lentilgauge.load import (
    gateway_testbed,
    soak_checker,
    soak_notice_checks,
    soak_versions,
)
from lentilgauge.platform import headers, objects
from lentilgauge.services import key_ranges
from lentilgauge.standins import gateway_documents

DEADLINE_MS = 1200
#: A caller without an answer gives up some time after its deadline.
_CALLER_TIMEOUT_MS = 2500
#: Share of the requests whose callers disconnect before the answer.
_ABANDONED_SHARE = 0.03
_ABANDON_AFTER_MS = 40
_MAX_PAUSE_SECONDS = 0.2
_HOT_KEY_COUNT = 40
_HOT_KEY_SHARE = 0.4
#: A caller waits at most its deadline divided by this before it retries.
_RETRY_DELAY_DIVISOR = 3
_METHOD_BY_ROUTE = types.MappingProxyType(
    {'read': 'GET', 'write': 'POST', 'pool': 'POST'},
)
#: Routes of which each request is executed at most once. The routes that show
#: the version of the configuration aren't among them.
_UNREPEATABLE_ROUTES = frozenset(
    route.name
    for route in gateway_documents.DEFAULT_ROUTES
    if not objects.is_idempotent(route.kind)
)
#: Routes to draw from; one listed twice is drawn twice as often.
_ROUTES = ('read', 'read', 'write', 'pool', 'pool')


@dataclasses.dataclass(slots=True, kw_only=True)
class Caller:
    """Simulated caller with connections of its own.

    `request_count` counts the requests that it has sent; it becomes part of
    their ids.
    """

    name: str
    checker: soak_checker.Checker
    gateways: list[gateway_testbed.GatewayProcess]
    random: random.Random
    client: http_client.Client
    request_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Request that a caller wants answered, in one attempt or more.

    `timeout_ms` is how long the caller itself waits for each attempt.
    """

    route: str
    target: str
    key: int
    timeout_ms: int


def _choose_key(caller: Caller) -> int:
    """Choose a key; a few adjacent hot keys get much of the traffic."""
    if caller.random.random() < _HOT_KEY_SHARE:
        return caller.random.randrange(_HOT_KEY_COUNT)
    return caller.random.randint(key_ranges.FIRST_KEY, key_ranges.LAST_KEY)


async def keep_sending(caller: Caller) -> None:
    """Send requests one after the other until the task is cancelled."""
    while True:
        route = caller.random.choice(_ROUTES)
        abandons = caller.random.random() < _ABANDONED_SHARE
        request = CallerRequest(
            route=route,
            target=f'/{route}/{caller.request_count}',
            key=_choose_key(caller),
            timeout_ms=_ABANDON_AFTER_MS if abandons else _CALLER_TIMEOUT_MS,
        )
        reply = await send_attempt(caller, request)
        await _retry_if_requested(caller, request, reply)
        await asyncio.sleep(caller.random.uniform(0, _MAX_PAUSE_SECONDS))


async def _retry_if_requested(
    caller: Caller,
    request: CallerRequest,
    reply: http_client.Reply | None,
) -> None:
    """Retry a refused request once, if the reply has a `Retry-After` delay.

    A longer delay than the caller's limit is cut to that limit.
    """
    if reply is None:
        return
    retry_after = reply.headers.get('Retry-After', '')
    if not retry_after:
        return
    max_delay_seconds = clock.to_seconds(DEADLINE_MS) / _RETRY_DELAY_DIVISOR
    await asyncio.sleep(min(float(retry_after), max_delay_seconds))
    await send_attempt(caller, request)


async def send_attempt(
    caller: Caller, request: CallerRequest
) -> http_client.Reply | None:
    """Send one attempt through a random gateway; return its reply, if any."""
    caller.request_count += 1
    request_id = f'{caller.name}-{caller.request_count}'
    gateway = caller.random.choice(caller.gateways)
    method = _METHOD_BY_ROUTE.get(request.route, 'GET')
    soak_checker.record_sent(
        caller.checker,
        request_id,
        soak_checker.TrackedRequest(
            vm=gateway.vm,
            unsafe=request.route in _UNREPEATABLE_ROUTES,
            sent_at=time.monotonic(),
        ),
    )
    call_result = await http_client.send_call(
        caller.client,
        http_client.Call(
            method=method,
            url=gateway.front_url,
            target=request.target,
            timeout_ms=request.timeout_ms,
            body=b'letter' if method == 'POST' else None,
            send_once=True,
            headers=httputil.HTTPHeaders(
                {
                    'Host': gateway_documents.HOST,
                    headers.REQUEST_ID: request_id,
                    headers.DEADLINE_MS: str(DEADLINE_MS),
                    headers.SHARD_KEY: str(request.key),
                },
            ),
        ),
    )
    if not isinstance(call_result, result.Success):
        caller.checker.event_counts[call_result.failure()] += 1
        return None
    reply: http_client.Reply = call_result.unwrap()
    soak_notice_checks.record_answer(caller.checker, request_id, reply.headers)
    soak_checker.check_answer(
        caller.checker,
        request_id,
        reply.status,
        _read_body(reply),
        reply.headers.get(headers.SEAL, ''),
    )
    return reply


def _read_body(reply: http_client.Reply) -> Mapping[str, object]:
    try:
        decoded = json.loads(reply.body)
    except ValueError:
        return {}
    return decoded if isinstance(decoded, dict) else {}


async def keep_probing_versions(caller: Caller, pause_seconds: float) -> None:
    """Probe each gateway for the routes of the two newest configurations.

    Each version has a route of its own, so the answers show which versions a
    gateway serves.
    """
    while True:
        for gateway in caller.gateways:
            for version in sorted(caller.checker.published_at_by_version)[-2:]:
                await _probe_version(caller, gateway, version)
        await asyncio.sleep(pause_seconds)


async def _probe_version(
    caller: Caller,
    gateway: gateway_testbed.GatewayProcess,
    version: int,
) -> None:
    process = f'{gateway.vm}/{gateway.start_count}'
    sent_at = time.monotonic()
    prober = dataclasses.replace(caller, gateways=[gateway])
    reply = await send_attempt(
        prober,
        CallerRequest(
            route='probe',
            target=f'/v{version}/x',
            key=0,
            timeout_ms=_CALLER_TIMEOUT_MS,
        ),
    )
    caller.request_count = prober.request_count
    if reply is None or process != f'{gateway.vm}/{gateway.start_count}':
        return
    if reply.status == http.HTTPStatus.OK:
        soak_versions.check_version_served(
            caller.checker,
            gateway.vm,
            process,
            version,
            sent_at,
        )
    elif reply.status == http.HTTPStatus.NOT_FOUND:
        soak_versions.check_version_missing(
            caller.checker,
            gateway.vm,
            version,
            sent_at,
        )
