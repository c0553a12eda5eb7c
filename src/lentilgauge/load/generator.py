"""Open-loop load generator: sends scheduled requests through the entries."""

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

_CALL_TIMEOUT_MS = 20_000
_KEY_PLACEHOLDER = '{key}'
_FIRST_ERROR_STATUS = 400

#: Returns the base URL of the entry for the next request.
ChooseEntry = Callable[[], str]


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadGenerator:
    """State of a run of scheduled requests.

    `key_prefix` is the prefix of its idempotency keys, which sets them apart
    from those of other runs. `start_us` is the run's start in wall-clock time.
    """

    client: http_client.Client
    kind_by_name: dict[str, topology.Kind]
    choose_entry: ChooseEntry
    key_prefix: str
    start_us: int
    request_samples: list[samples_module.Sample] = dataclasses.field(
        default_factory=list,
    )


def _get_elapsed_us(load_generator: LoadGenerator) -> int:
    return clock.read_wall_us() - load_generator.start_us


def _make_call(
    load_generator: LoadGenerator,
    scheduled_request: schedule.ScheduledRequest,
    idempotency_key: str,
) -> http_client.Call:
    kind = load_generator.kind_by_name[scheduled_request.kind]
    path = kind.path.replace(_KEY_PLACEHOLDER, scheduled_request.key)
    body = None
    if kind.method == 'POST':
        body = idempotency_key.ljust(
            scheduled_request.min_body_bytes, '.'
        ).encode()
    return http_client.Call(
        method=kind.method,
        url=f'{load_generator.choose_entry()}{path}',
        timeout_ms=_CALL_TIMEOUT_MS,
        body=body,
        headers=httputil.HTTPHeaders(
            {
                upstream_data.IDEMPOTENCY_KEY: idempotency_key,
            }
        ),
        send_once=True,
    )


def _echoes_request(
    reply: http_client.Reply,
    call: http_client.Call,
) -> bool:
    """Check that an answer echoes exactly its own request."""
    try:
        reply_document = json.loads(reply.body)
    except ValueError:
        return False
    echo = '' if call.body is None else call.body.decode()
    path = call.url.partition('//')[2].partition('/')[2]
    expected = (f'{call.method} /{path}', echo)
    return (reply_document.get('path'), reply_document.get('echo')) == expected


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallOutcome:
    """Outcome of a request, and the kind of error that its caller received."""

    outcome: samples_module.Outcome
    error: errors.ErrorKind | None = None


def classify_call(
    call_result: http_client.CallResult,
    call: http_client.Call,
) -> CallOutcome:
    """Classify the reply, or the failure, that ended a call."""
    if not isinstance(call_result, result.Success):
        nothing_sent = call_result.failure() in http_client.NOT_SENT_FAILURES
        return CallOutcome(
            outcome=samples_module.Outcome.NOT_RUN
            if nothing_sent
            else samples_module.Outcome.UNKNOWN,
        )
    reply = call_result.unwrap()
    if reply.status < _FIRST_ERROR_STATUS:
        echoes_request = _echoes_request(reply, call)
        return CallOutcome(
            outcome=samples_module.Outcome.EXECUTED
            if echoes_request
            else samples_module.Outcome.WRONG,
        )
    return _classify_error_reply(reply)


def _classify_error_reply(reply: http_client.Reply) -> CallOutcome:
    try:
        message = error_messages.parse_error(reply.body)
    except ValueError:
        return CallOutcome(outcome=samples_module.Outcome.WRONG)
    if message.ran is errors.ExecutionClaim.NOT_RUN:
        return CallOutcome(
            outcome=samples_module.Outcome.NOT_RUN,
            error=message.kind,
        )
    return CallOutcome(
        outcome=samples_module.Outcome.UNKNOWN, error=message.kind
    )


async def _send(
    load_generator: LoadGenerator,
    scheduled_request: schedule.ScheduledRequest,
    idempotency_key: str,
) -> None:
    call = _make_call(load_generator, scheduled_request, idempotency_key)
    call_result = await http_client.send_call(load_generator.client, call)
    call_outcome = classify_call(call_result, call)
    load_generator.request_samples.append(
        samples_module.Sample(
            kind=scheduled_request.kind,
            key=f'{load_generator.kind_by_name[scheduled_request.kind].service}/{scheduled_request.key}',
            idempotency_key=idempotency_key,
            scheduled_us=scheduled_request.at_us,
            ended_us=_get_elapsed_us(load_generator),
            outcome=call_outcome.outcome,
            error=call_outcome.error,
        ),
    )


async def send_all(
    load_generator: LoadGenerator,
    arrivals: Sequence[schedule.ScheduledRequest],
) -> list[samples_module.Sample]:
    """Send each request at its scheduled time, without waiting for answers.

    Return the samples once all requests have ended.
    """
    tasks = []
    for number, scheduled_request in enumerate(arrivals):
        delay_us = scheduled_request.at_us - _get_elapsed_us(load_generator)
        if delay_us > 0:
            await asyncio.sleep(delay_us / schedule.US_PER_SECOND)
        idempotency_key = f'{load_generator.key_prefix}-{number}'
        tasks.append(
            asyncio.ensure_future(
                _send(load_generator, scheduled_request, idempotency_key)
            ),
        )
    await asyncio.gather(*tasks)
    return load_generator.request_samples
