"""Send scheduled requests through the entries and note what came of them."""

import asyncio
import dataclasses
import json
from collections.abc import Callable, Sequence

from returns import result
from tornado import httputil

from lentilgauge import clock, errors
from lentilgauge.links import error_messages, http_client, upstream_data
from lentilgauge.load import samples as samples_module
from lentilgauge.load import schedule, topology

_TIMEOUT_MS = 20_000
_KEY_FIELD = '{key}'
_FIRST_ERROR_STATUS = 400

#: Choose the base URL of the entry for the next request.
Balancer = Callable[[], str]


@dataclasses.dataclass(slots=True, kw_only=True)
class Generator:
    """Hold a run of scheduled requests.

    `name` makes its idempotency keys different from any other run's.
    """

    client: http_client.Client
    kind_by_name: dict[str, topology.Kind]
    choose_entry: Balancer
    name: str
    start_us: int
    taken: list[samples_module.Sample] = dataclasses.field(
        default_factory=list,
    )


def _now_us(generator: Generator) -> int:
    return clock.read_wall_us() - generator.start_us


def _make_call(
    generator: Generator,
    arrival: schedule.Arrival,
    nonce: str,
) -> http_client.Call:
    kind = generator.kind_by_name[arrival.kind]
    path = kind.path.replace(_KEY_FIELD, arrival.key)
    body = None
    if kind.method == 'POST':
        body = nonce.ljust(arrival.size, '.').encode()
    return http_client.Call(
        method=kind.method,
        url=f'{generator.choose_entry()}{path}',
        timeout_ms=_TIMEOUT_MS,
        body=body,
        headers=httputil.HTTPHeaders(
            {
                upstream_data.IDEMPOTENCY_KEY: nonce,
            }
        ),
        send_once=True,
    )


def _is_own_answer(
    reply: http_client.Reply,
    call: http_client.Call,
) -> bool:
    """Tell whether an answer repeats exactly what was asked."""
    try:
        answer = json.loads(reply.body)
    except ValueError:
        return False
    echo = '' if call.body is None else call.body.decode()
    path = call.url.partition('//')[2].partition('/')[2]
    expected = (f'{call.method} /{path}', echo)
    return (answer.get('path'), answer.get('echo')) == expected


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Hold how a request ended and the error it was told."""

    outcome: samples_module.Outcome
    error: errors.ErrorKind | None = None


def judge_reply(
    sent: http_client.CallResult,
    call: http_client.Call,
) -> Verdict:
    """Say how a request ended."""
    if not isinstance(sent, result.Success):
        unsent = sent.failure() in http_client.NOTHING_SENT
        return Verdict(
            outcome=samples_module.Outcome.NOT_RUN
            if unsent
            else samples_module.Outcome.UNKNOWN,
        )
    reply = sent.unwrap()
    if reply.status < _FIRST_ERROR_STATUS:
        own = _is_own_answer(reply, call)
        return Verdict(
            outcome=samples_module.Outcome.EXECUTED
            if own
            else samples_module.Outcome.WRONG,
        )
    return _judge_error(reply)


def _judge_error(reply: http_client.Reply) -> Verdict:
    try:
        message = error_messages.read_error(reply.body)
    except ValueError:
        return Verdict(outcome=samples_module.Outcome.WRONG)
    if message.ran is errors.Ran.NOT_RUN:
        return Verdict(
            outcome=samples_module.Outcome.NOT_RUN,
            error=message.kind,
        )
    return Verdict(outcome=samples_module.Outcome.UNKNOWN, error=message.kind)


async def _send(
    generator: Generator,
    arrival: schedule.Arrival,
    nonce: str,
) -> None:
    call = _make_call(generator, arrival, nonce)
    sent = await http_client.send_call(generator.client, call)
    verdict = judge_reply(sent, call)
    generator.taken.append(
        samples_module.Sample(
            kind=arrival.kind,
            key=f'{generator.kind_by_name[arrival.kind].service}/{arrival.key}',
            idempotency_key=nonce,
            scheduled_us=arrival.at_us,
            ended_us=_now_us(generator),
            outcome=verdict.outcome,
            error=verdict.error,
        ),
    )


async def send_all(
    generator: Generator,
    arrivals: Sequence[schedule.Arrival],
) -> list[samples_module.Sample]:
    """Send each request at its time, however slow the answers are."""
    tasks = []
    for number, arrival in enumerate(arrivals):
        early_us = arrival.at_us - _now_us(generator)
        if early_us > 0:
            await asyncio.sleep(early_us / schedule.US_PER_SECOND)
        nonce = f'{generator.name}-{number}'
        tasks.append(
            asyncio.ensure_future(_send(generator, arrival, nonce)),
        )
    await asyncio.gather(*tasks)
    return generator.taken
