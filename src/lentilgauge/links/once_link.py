"""Client of the idempotency-key registries that VMs keep."""

import base64

import pydantic
from returns import result

from lentilgauge.contracts import once
from lentilgauge.links import http_client, message_call

BEGIN_PATH = '/peer/once/begin'
END_PATH = '/peer/once/end'
_CALL_TIMEOUT_MS = 300


class BeginMessage(pydantic.BaseModel):
    """Request to reserve an idempotency key.

    `digest` covers the content of the caller's request, which may run for
    `run_ms`; the key is remembered for `keep_ms`.
    """

    key: str
    digest: str
    run_ms: int
    keep_ms: int


class KeyStatusMessage(pydantic.BaseModel):
    """State of a key and the stored answer, its body encoded in base64."""

    state: once.State
    status: int = 0
    content_type: str = ''
    body: str = ''


class EndMessage(pydantic.BaseModel):
    """Outcome of the request under a key."""

    key: str
    known: KeyStatusMessage


KeyStatusResult = result.Result[once.Known, http_client.LinkFailure]


def pack_known(known: once.Known) -> KeyStatusMessage:
    """Convert the status of a key to a message."""
    answer = known.answer
    if answer is None:
        return KeyStatusMessage(state=known.state)
    return KeyStatusMessage(
        state=known.state,
        status=answer.status,
        content_type=answer.content_type,
        body=base64.b64encode(answer.body).decode('ascii'),
    )


def unpack_known(message: KeyStatusMessage) -> once.Known:
    """Convert a message to the status of a key."""
    if not message.status:
        return once.Known(state=message.state)
    return once.Known(
        state=message.state,
        answer=once.KeptAnswer(
            status=message.status,
            content_type=message.content_type,
            body=base64.b64decode(message.body),
        ),
    )


async def ask_to_begin(
    client: http_client.Client,
    base_url: str,
    reservation: once.Beginning,
) -> KeyStatusResult:
    """Ask a VM to reserve a key; return the key's status there."""
    message = BeginMessage(
        key=reservation.key,
        digest=reservation.digest,
        run_ms=reservation.run_ms,
        keep_ms=reservation.keep_ms,
    )
    exchange_result = await message_call.exchange(
        client,
        message_call.MessageCall(
            url=f'{base_url}{BEGIN_PATH}',
            timeout_ms=_CALL_TIMEOUT_MS,
            message=message,
        ),
        KeyStatusMessage,
    )
    return exchange_result.map(unpack_known)


async def tell_end(
    client: http_client.Client,
    base_url: str,
    key: str,
    known: once.Known,
) -> None:
    """Report a request's outcome to a VM, ignoring a failure to do so."""
    await message_call.exchange(
        client,
        message_call.MessageCall(
            url=f'{base_url}{END_PATH}',
            timeout_ms=_CALL_TIMEOUT_MS,
            message=EndMessage(key=key, known=pack_known(known)),
        ),
        KeyStatusMessage,
    )
