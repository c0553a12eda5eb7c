"""Request and reply exchange of JSON messages over HTTP."""

import dataclasses
from typing import TypeVar

import pydantic
from returns import result

from lentilgauge.links import http_client

Message = TypeVar('Message', bound=pydantic.BaseModel)
MessageResult = result.Result[Message, http_client.LinkFailure]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MessageCall:
    """Exchange with a peer: a POST of `message`, or a GET without one."""

    url: str
    timeout_ms: int
    message: pydantic.BaseModel | None = None


async def exchange(
    client: http_client.Client,
    call: MessageCall,
    model: type[Message],
) -> MessageResult[Message]:
    """Send a message and parse the reply.

    A reply that doesn't match the model, such as an error response, is an
    `INVALID` failure.
    """
    message = call.message
    call_result = await http_client.send_call(
        client,
        http_client.Call(
            method='GET' if message is None else 'POST',
            url=call.url,
            timeout_ms=call.timeout_ms,
            body=None
            if message is None
            else message.model_dump_json().encode(),
        ),
    )
    return call_result.bind(lambda reply: _parse(reply, model))


def _parse(
    reply: http_client.Reply,
    model: type[Message],
) -> MessageResult[Message]:
    try:
        return result.Success(model.model_validate_json(reply.body))
    except pydantic.ValidationError:
        return result.Failure(http_client.LinkFailure.INVALID)
