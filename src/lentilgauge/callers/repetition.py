"""Run a request that isn't idempotent at most once for its key.

Two VMs keep each key, the first two of all live ones in the key's rendezvous
order. The loss or arrival of any one VM leaves one that knows the key.
"""

import asyncio
import dataclasses
import types

import xxhash
from returns import result
from tornado import httputil

from lentilgauge import errors
from lentilgauge.callers import dispatch
from lentilgauge.callers import request as request_module
from lentilgauge.contracts import once
from lentilgauge.links import once_link, state_messages, upstream_data
from lentilgauge.vms import entry as entry_module

KEEPERS = 2
KEEP_MS = 600_000
#: What a key's keepers may still be told after a request's own deadline.
_RUN_MARGIN_MS = 1000
REPLAYED = 'Idempotent-Replay'

_ERROR_BY_STATE = types.MappingProxyType(
    {
        once.State.RUNNING: errors.Failure(
            kind=errors.ErrorKind.STILL_RUNNING,
            detail='a request with this idempotency key is still running',
        ),
        once.State.UNKNOWN: errors.Failure(
            kind=errors.ErrorKind.UPSTREAM_LOST,
            detail='the request with this idempotency key may have run',
        ),
        once.State.OTHER_CONTENT: errors.Failure(
            kind=errors.ErrorKind.KEY_REUSED,
            detail='the idempotency key belongs to a request of other content',
        ),
        once.State.FULL: errors.Failure(
            kind=errors.ErrorKind.OVERLOADED,
            detail='no more idempotency keys can be kept now',
        ),
    }
)
_NO_KEEPER = errors.Failure(
    kind=errors.ErrorKind.CONFIGURATION_STALE,
    detail='no VM that could keep the idempotency key answers',
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Reservation:
    """Hold a key's request and the VMs that have reserved it."""

    asked: once.Beginning
    keepers: list[str] = dataclasses.field(default_factory=list)


def list_candidates(entry: entry_module.Entry, key: str) -> list[str]:
    """List the live VMs' base URLs in the key's rendezvous order."""
    live = [
        (vm_id, vm)
        for vm_id, vm in entry.replica.vm_by_id.items()
        if vm.state is not state_messages.VmState.LOST
    ]
    live.sort(
        key=lambda pair: xxhash.xxh3_64_intdigest(
            f'{key}/{pair[0]}'.encode(),
        ),
        reverse=True,
    )
    return [f'http://{vm.address}:{vm.port}' for _, vm in live]


def make_beginning(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    given: str,
) -> once.Beginning:
    """Make the question for a request's key."""
    digested = b'\0'.join(
        (
            request.method.encode(),
            request.target.encode(),
            request.body,
        )
    )
    left_ms = request.deadline_ms - entry.now_ms()
    return once.Beginning(
        key=f'{request.kind.service}/{given}',
        digest=xxhash.xxh3_128_hexdigest(digested),
        run_ms=max(0, left_ms) + _RUN_MARGIN_MS,
        keep_ms=KEEP_MS,
    )


async def reserve(
    entry: entry_module.Entry,
    reservation: Reservation,
) -> once.Known:
    """Reserve a key at its keepers, one after the other.

    Whoever is first at the first keeper goes on; a keeper that knows the
    key decides what the caller is told.
    """
    for base_url in list_candidates(entry, reservation.asked.key):
        answered = await once_link.ask_to_begin(
            entry.client,
            base_url,
            reservation.asked,
        )
        if not isinstance(answered, result.Success):
            continue
        known: once.Known = answered.unwrap()
        if known.state is not once.State.FRESH:
            return known
        reservation.keepers.append(base_url)
        if len(reservation.keepers) == KEEPERS:
            break
    return once.Known(state=once.State.FRESH)


async def _tell_keepers(
    entry: entry_module.Entry,
    reservation: Reservation,
    known: once.Known,
) -> None:
    await asyncio.gather(
        *(
            once_link.tell_end(
                entry.client,
                base_url,
                reservation.asked.key,
                known,
            )
            for base_url in reservation.keepers
        ),
    )


def _conclude(served: dispatch.ServeResult) -> once.Known:
    """Say what a request's end means for repetitions of it."""
    if isinstance(served, result.Success):
        executed = served.unwrap()
        return once.keep_answer(
            once.KeptAnswer(
                status=executed.status,
                content_type=executed.headers.get('Content-Type', ''),
                body=executed.body,
            ),
        )
    answer = errors.ANSWERS[served.failure().kind]
    if answer.ran is errors.Ran.NOT_RUN:
        return once.Known(state=once.State.FRESH)
    return once.Known(state=once.State.UNKNOWN)


def _repeat(answer: once.KeptAnswer) -> dispatch.ServeResult:
    headers = httputil.HTTPHeaders(
        {
            'Content-Type': answer.content_type,
            REPLAYED: 'true',
        }
    )
    return result.Success(
        upstream_data.Executed(
            status=answer.status,
            headers=headers,
            body=answer.body,
        ),
    )


async def serve_once(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
) -> dispatch.ServeResult:
    """Serve a request, or repeat the answer to an earlier one of its key."""
    given = request.headers.get(upstream_data.IDEMPOTENCY_KEY)
    if request.kind.idempotent or given is None:
        return await dispatch.serve(entry, request)
    reservation = Reservation(asked=make_beginning(entry, request, given))
    known = await reserve(entry, reservation)
    if known.state is not once.State.FRESH:
        entry.metrics.count('repetitions', known.state)
        await _tell_keepers(
            entry,
            reservation,
            once.Known(state=once.State.FRESH),
        )
        if known.answer is not None:
            return _repeat(known.answer)
        return result.Failure(_ERROR_BY_STATE[known.state])
    if not reservation.keepers:
        return result.Failure(_NO_KEEPER)
    served = await dispatch.serve(entry, request)
    # The caller has its answer only once the keepers know of it, so that a
    # repetition that follows the answer finds it.
    await _tell_keepers(entry, reservation, _conclude(served))
    return served
