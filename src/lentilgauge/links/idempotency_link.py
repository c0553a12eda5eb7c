"""Client of the idempotency-key registries that VMs keep."""

import base64

import pydantic
from returns import result

from lentilgauge.contracts import idempotency_keys
from lentilgauge.links import http_client, message_call

RESERVE_PATH = '/peer/once/begin'
OUTCOME_PATH = '/peer/once/end'
_CALL_TIMEOUT_MS = 300


class ReservationMessage(pydantic.BaseModel):
    """Request to reserve an idempotency key.

    `digest` covers the content of the caller's request, which may run for
    `run_ms`; the key is remembered for `keep_ms`. `request_id` is empty in
    messages of earlier versions.
    """

    key: str
    digest: str
    run_ms: int
    keep_ms: int
    request_id: str = ''


class KeyStatusMessage(pydantic.BaseModel):
    """State of a key, and the stored answer with its body in base64.

    `status` is 0 if there is no stored answer.
    """

    state: idempotency_keys.RequestState
    status: int = 0
    content_type: str = ''
    body: str = ''


class OutcomeMessage(pydantic.BaseModel):
    """Outcome of a request under a key; `known` has its state and answer."""

    key: str
    known: KeyStatusMessage
    request_id: str = ''


KeyStatusResult = result.Result[
    idempotency_keys.KeyStatus, http_client.LinkFailure
]


def pack_key_status(key_status: idempotency_keys.KeyStatus) -> KeyStatusMessage:
    """Convert the status of a key to a message."""
    answer = key_status.answer
    if answer is None:
        return KeyStatusMessage(state=key_status.state)
    return KeyStatusMessage(
        state=key_status.state,
        status=answer.status,
        content_type=answer.content_type,
        body=base64.b64encode(answer.body).decode('ascii'),
    )


def unpack_key_status(message: KeyStatusMessage) -> idempotency_keys.KeyStatus:
    """Convert a message to the status of a key."""
    if not message.status:
        return idempotency_keys.KeyStatus(state=message.state)
    return idempotency_keys.KeyStatus(
        state=message.state,
        answer=idempotency_keys.StoredAnswer(
            status=message.status,
            content_type=message.content_type,
            body=base64.b64decode(message.body),
        ),
    )


async def request_reservation(
    client: http_client.Client,
    base_url: str,
    reservation: idempotency_keys.ReservationRequest,
) -> KeyStatusResult:
    """Ask a VM to reserve a key; return the key's status there."""
    message = ReservationMessage(
        key=reservation.key,
        digest=reservation.digest,
        run_ms=reservation.run_ms,
        keep_ms=reservation.keep_ms,
        request_id=reservation.request_id,
    )
    exchange_result = await message_call.exchange(
        client,
        message_call.MessageCall(
            url=f'{base_url}{RESERVE_PATH}',
            timeout_ms=_CALL_TIMEOUT_MS,
            message=message,
        ),
        KeyStatusMessage,
    )
    return exchange_result.map(unpack_key_status)


async def report_outcome(
    client: http_client.Client,
    base_url: str,
    reservation: idempotency_keys.ReservationRequest,
    key_status: idempotency_keys.KeyStatus,
) -> None:
    """Report a request's outcome to a VM; a failed report is ignored."""
    await message_call.exchange(
        client,
        message_call.MessageCall(
            url=f'{base_url}{OUTCOME_PATH}',
            timeout_ms=_CALL_TIMEOUT_MS,
            message=OutcomeMessage(
                key=reservation.key,
                known=pack_key_status(key_status),
                request_id=reservation.request_id,
            ),
        ),
        KeyStatusMessage,
    )
