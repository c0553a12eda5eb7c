"""Run a non-idempotent request at most once per idempotency key.

Each key is recorded by two keepers: the first two live VMs in the key's
rendezvous hashing order. After any one VM is lost or joins, at least one of
the new first two still has the record.
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
from lentilgauge.contracts import idempotency_keys
from lentilgauge.links import idempotency_link, state_messages, upstream_data
from lentilgauge.vms import entry as entry_module

KEEPER_COUNT = 2
RECORD_LIFETIME_MS = 600_000
#: Time past a request's deadline for its outcome to reach the keepers; after
#: that they treat the outcome as unknown.
_OUTCOME_GRACE_MS = 1000
REPLAY_HEADER = 'Idempotent-Replay'

_ERROR_BY_STATE = types.MappingProxyType(
    {
        idempotency_keys.RequestState.RUNNING: errors.Failure(
            kind=errors.ErrorKind.STILL_RUNNING,
            detail='a request with this idempotency key is still running',
        ),
        idempotency_keys.RequestState.UNKNOWN: errors.Failure(
            kind=errors.ErrorKind.UPSTREAM_LOST,
            detail='the request with this idempotency key may have run',
        ),
        idempotency_keys.RequestState.OTHER_CONTENT: errors.Failure(
            kind=errors.ErrorKind.KEY_REUSED,
            detail='the idempotency key was used for a different request',
        ),
        idempotency_keys.RequestState.FULL: errors.Failure(
            kind=errors.ErrorKind.OVERLOADED,
            detail='the store of idempotency keys is full',
        ),
    }
)
_NO_KEEPER = errors.Failure(
    kind=errors.ErrorKind.CONFIGURATION_STALE,
    detail='no VM is reachable to record the idempotency key',
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Reservation:
    """Reservation of a key, with the base URLs of keepers that granted it."""

    reservation_request: idempotency_keys.ReservationRequest
    keepers: list[str] = dataclasses.field(default_factory=list)


def list_keeper_candidates(entry: entry_module.Entry, key: str) -> list[str]:
    """List the live VMs' base URLs in rendezvous hashing order of the key."""
    live_vms = [
        (vm_id, vm)
        for vm_id, vm in entry.replica.vm_by_id.items()
        if vm.state is not state_messages.VmState.LOST
    ]
    live_vms.sort(
        key=lambda pair: xxhash.xxh3_64_intdigest(
            f'{key}/{pair[0]}'.encode(),
        ),
        reverse=True,
    )
    return [f'http://{vm.address}:{vm.port}' for _, vm in live_vms]


def make_reservation_request(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    idempotency_key: str,
) -> idempotency_keys.ReservationRequest:
    """Make the reservation request for a caller's idempotency key.

    The digest covers method, target and body, so that keepers can detect a
    key used again for a different request.
    """
    digest_input = b'\0'.join(
        (
            request.method.encode(),
            request.target.encode(),
            request.body,
        )
    )
    remaining_ms = request.deadline_ms - entry.now_ms()
    return idempotency_keys.ReservationRequest(
        key=f'{request.kind.service}/{idempotency_key}',
        digest=xxhash.xxh3_128_hexdigest(digest_input),
        run_ms=max(0, remaining_ms) + _OUTCOME_GRACE_MS,
        keep_ms=RECORD_LIFETIME_MS,
        request_id=request.id,
    )


async def reserve(
    entry: entry_module.Entry,
    reservation: Reservation,
) -> idempotency_keys.KeyStatus:
    """Reserve a key at its keepers, one after the other.

    Of concurrent requests with the same key, the first to reach the first
    keeper proceeds. If a keeper already knows the key, its state there is
    returned and decides the caller's answer. Unreachable VMs are skipped.
    """
    for base_url in list_keeper_candidates(
        entry, reservation.reservation_request.key
    ):
        reply = await idempotency_link.request_reservation(
            entry.client,
            base_url,
            reservation.reservation_request,
        )
        if not isinstance(reply, result.Success):
            continue
        key_status: idempotency_keys.KeyStatus = reply.unwrap()
        if key_status.state is not idempotency_keys.RequestState.FRESH:
            return key_status
        reservation.keepers.append(base_url)
        if len(reservation.keepers) == KEEPER_COUNT:
            break
    return idempotency_keys.KeyStatus(state=idempotency_keys.RequestState.FRESH)


async def _report_to_keepers(
    entry: entry_module.Entry,
    reservation: Reservation,
    key_status: idempotency_keys.KeyStatus,
) -> None:
    await asyncio.gather(
        *(
            idempotency_link.report_outcome(
                entry.client,
                base_url,
                reservation.reservation_request,
                key_status,
            )
            for base_url in reservation.keepers
        ),
    )


def _derive_key_status(
    serve_result: dispatch.ServeResult,
) -> idempotency_keys.KeyStatus:
    """Derive the status of a key from the outcome of its request."""
    if isinstance(serve_result, result.Success):
        executed = serve_result.unwrap()
        return idempotency_keys.make_outcome(
            idempotency_keys.StoredAnswer(
                status=executed.status,
                content_type=executed.headers.get('Content-Type', ''),
                body=executed.body,
            ),
        )
    error_response = errors.RESPONSE_BY_KIND[serve_result.failure().kind]
    if error_response.execution_claim is errors.ExecutionClaim.NOT_RUN:
        return idempotency_keys.KeyStatus(
            state=idempotency_keys.RequestState.FRESH
        )
    return idempotency_keys.KeyStatus(
        state=idempotency_keys.RequestState.UNKNOWN
    )


def _make_replay(answer: idempotency_keys.StoredAnswer) -> dispatch.ServeResult:
    headers = httputil.HTTPHeaders(
        {
            'Content-Type': answer.content_type,
            REPLAY_HEADER: 'true',
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
    """Serve a request, or replay the answer to an earlier one with this key."""
    idempotency_key = request.headers.get(upstream_data.IDEMPOTENCY_KEY)
    if request.kind.idempotent or idempotency_key is None:
        return await dispatch.serve(entry, request)
    reservation = Reservation(
        reservation_request=make_reservation_request(
            entry, request, idempotency_key
        )
    )
    key_status = await reserve(entry, reservation)
    if key_status.state is not idempotency_keys.RequestState.FRESH:
        entry.metrics.count('repetitions', key_status.state)
        # Release the key at the keepers that granted this reservation before
        # another keeper turned out to know the key.
        await _report_to_keepers(
            entry,
            reservation,
            idempotency_keys.KeyStatus(
                state=idempotency_keys.RequestState.FRESH
            ),
        )
        if key_status.answer is not None:
            return _make_replay(key_status.answer)
        return result.Failure(_ERROR_BY_STATE[key_status.state])
    if not reservation.keepers:
        return result.Failure(_NO_KEEPER)
    serve_result = await dispatch.serve(entry, request)
    # The keepers record the outcome before the caller is answered, so that a
    # repetition sent after the answer finds the record.
    await _report_to_keepers(
        entry, reservation, _derive_key_status(serve_result)
    )
    return serve_result
