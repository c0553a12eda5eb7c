"""Ask the VMs that keep an idempotency key about it."""

import base64

import pydantic
from returns import result

from lentilgauge.contracts import once
from lentilgauge.links import http_client, message_call

BEGIN_PATH = '/peer/once/begin'
END_PATH = '/peer/once/end'
_TIMEOUT_MS = 300


class BeginMessage(pydantic.BaseModel):
    """Ask to reserve a key."""

    key: str
    digest: str
    run_ms: int
    keep_ms: int


class KnownMessage(pydantic.BaseModel):
    """Carry what is known of a key; the body is in base 64."""

    state: once.State
    status: int = 0
    content_type: str = ''
    body: str = ''


class EndMessage(pydantic.BaseModel):
    """Say how the request under a key ended."""

    key: str
    known: KnownMessage


KnownResult = result.Result[once.Known, http_client.LinkFailure]


def pack_known(known: once.Known) -> KnownMessage:
    """Pack what is known of a key."""
    answer = known.answer
    if answer is None:
        return KnownMessage(state=known.state)
    return KnownMessage(
        state=known.state,
        status=answer.status,
        content_type=answer.content_type,
        body=base64.b64encode(answer.body).decode('ascii'),
    )


def unpack_known(message: KnownMessage) -> once.Known:
    """Unpack what is known of a key."""
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
    asked: once.Beginning,
) -> KnownResult:
    """Ask one VM to reserve a key."""
    message = BeginMessage(
        key=asked.key,
        digest=asked.digest,
        run_ms=asked.run_ms,
        keep_ms=asked.keep_ms,
    )
    answered = await message_call.exchange(
        client,
        message_call.MessageCall(
            url=f'{base_url}{BEGIN_PATH}',
            timeout_ms=_TIMEOUT_MS,
            message=message,
        ),
        KnownMessage,
    )
    return answered.map(unpack_known)


async def tell_end(
    client: http_client.Client,
    base_url: str,
    key: str,
    known: once.Known,
) -> None:
    """Tell one VM how a request ended."""
    await message_call.exchange(
        client,
        message_call.MessageCall(
            url=f'{base_url}{END_PATH}',
            timeout_ms=_TIMEOUT_MS,
            message=EndMessage(key=key, known=pack_known(known)),
        ),
        KnownMessage,
    )
