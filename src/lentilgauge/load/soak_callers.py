"""Call gateways as the users' callers do, and tell the judge."""

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
from lentilgauge.load import gateway_world, soak_judge
from lentilgauge.platform import headers
from lentilgauge.services import key_ranges
from lentilgauge.standins import dialect_documents

DEADLINE_MS = 1200
#: A caller that gets nothing gives up a little after its deadline.
_PATIENCE_MS = 2500
#: Share of the callers' requests that they leave early.
_LEAVE_SHARE = 0.03
_LEAVE_MS = 40
_PAUSE_SECONDS = 0.2
_BUSY_KEYS = 40
_BUSY_SHARE = 0.4
#: A caller waits for at most this share of its time before it comes back.
_RETURN_SHARE = 3
_METHOD_BY_ROUTE = types.MappingProxyType(
    {'read': 'GET', 'write': 'POST', 'pool': 'POST'},
)
_ROUTES = ('read', 'read', 'write', 'pool', 'pool')


@dataclasses.dataclass(slots=True, kw_only=True)
class Caller:
    """Hold one caller, with connections of its own."""

    name: str
    judge: soak_judge.Judge
    gateways: list[gateway_world.GatewayProcess]
    random: random.Random
    client: http_client.Client
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wish:
    """Describe what a caller wants, whatever it takes."""

    route: str
    target: str
    key: int
    timeout_ms: int


def _choose_key(caller: Caller) -> int:
    """Choose a key; some few close together get much of the traffic."""
    if caller.random.random() < _BUSY_SHARE:
        return caller.random.randrange(_BUSY_KEYS)
    return caller.random.randint(key_ranges.FIRST_KEY, key_ranges.LAST_KEY)


async def call_for_ever(caller: Caller) -> None:
    """Send requests one after the other until cancelled."""
    while True:
        route = caller.random.choice(_ROUTES)
        leaves = caller.random.random() < _LEAVE_SHARE
        wish = Wish(
            route=route,
            target=f'/{route}/{caller.count}',
            key=_choose_key(caller),
            timeout_ms=_LEAVE_MS if leaves else _PATIENCE_MS,
        )
        reply = await send(caller, wish)
        await _come_back(caller, wish, reply)
        await asyncio.sleep(caller.random.uniform(0, _PAUSE_SECONDS))


async def _come_back(
    caller: Caller,
    wish: Wish,
    reply: http_client.Reply | None,
) -> None:
    """Come back once after a refusal, when the gateway says so."""
    if reply is None:
        return
    text = reply.headers.get('Retry-After', '')
    if not text:
        return
    longest = clock.to_seconds(DEADLINE_MS) / _RETURN_SHARE
    await asyncio.sleep(min(float(text), longest))
    await send(caller, wish)


async def send(caller: Caller, wish: Wish) -> http_client.Reply | None:
    """Send one attempt through some gateway; return its answer."""
    caller.count += 1
    request_id = f'{caller.name}-{caller.count}'
    gateway = caller.random.choice(caller.gateways)
    method = _METHOD_BY_ROUTE.get(wish.route, 'GET')
    soak_judge.note_sent(
        caller.judge,
        request_id,
        soak_judge.Sent(
            vm=gateway.vm,
            unsafe=method != 'GET',
            at=time.monotonic(),
        ),
    )
    sent = await http_client.send_call(
        caller.client,
        http_client.Call(
            method=method,
            url=gateway.front_url,
            target=wish.target,
            timeout_ms=wish.timeout_ms,
            body=b'letter' if method == 'POST' else None,
            send_once=True,
            headers=httputil.HTTPHeaders(
                {
                    'Host': dialect_documents.HOST,
                    headers.REQUEST_ID: request_id,
                    headers.DEADLINE_MS: str(DEADLINE_MS),
                    headers.SHARD_KEY: str(wish.key),
                },
            ),
        ),
    )
    if not isinstance(sent, result.Success):
        caller.judge.counted[sent.failure()] += 1
        return None
    reply: http_client.Reply = sent.unwrap()
    soak_judge.note_answer(
        caller.judge,
        request_id,
        reply.status,
        _read_body(reply),
        reply.headers.get(headers.SEAL, ''),
    )
    return reply


def _read_body(reply: http_client.Reply) -> Mapping[str, object]:
    try:
        found = json.loads(reply.body)
    except ValueError:
        return {}
    return found if isinstance(found, dict) else {}


async def probe_versions(caller: Caller, pause_seconds: float) -> None:
    """Ask each gateway for routes that only one version has."""
    while True:
        for gateway in caller.gateways:
            for version in sorted(caller.judge.published)[-2:]:
                await _probe_version(caller, gateway, version)
        await asyncio.sleep(pause_seconds)


async def _probe_version(
    caller: Caller,
    gateway: gateway_world.GatewayProcess,
    version: int,
) -> None:
    process = f'{gateway.vm}/{gateway.starts}'
    sent = time.monotonic()
    prober = dataclasses.replace(caller, gateways=[gateway])
    reply = await send(
        prober,
        Wish(
            route='probe',
            target=f'/v{version}/x',
            key=0,
            timeout_ms=_PATIENCE_MS,
        ),
    )
    caller.count = prober.count
    if reply is None or process != f'{gateway.vm}/{gateway.starts}':
        return
    if reply.status == http.HTTPStatus.OK:
        soak_judge.note_version_served(
            caller.judge,
            gateway.vm,
            process,
            version,
            sent,
        )
    elif reply.status == http.HTTPStatus.NOT_FOUND:
        soak_judge.note_version_missing(
            caller.judge,
            gateway.vm,
            version,
            sent,
        )
