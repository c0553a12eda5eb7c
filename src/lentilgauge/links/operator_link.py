"""Client that sends operators' queries and commands to a controller.

A controller is the process on a VM that grants leases to upstreams.
"""

import dataclasses
from typing import TypeVar

import pydantic
from returns import result

from lentilgauge import errors
from lentilgauge.links import error_messages, http_client

_MIN_ERROR_STATUS = 400

Message = TypeVar('Message', bound=pydantic.BaseModel)
AnswerResult = result.Result[Message, errors.Failure]


@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorLink:
    """Client, address and timeout for requests to one controller."""

    client: http_client.Client
    base_url: str
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorRequest:
    """HTTP method, path and optional body of a query or command."""

    method: str
    path: str
    message: pydantic.BaseModel | None = None


def _make_failure(kind: errors.ErrorKind, detail: str) -> errors.Failure:
    return errors.Failure(kind=kind, detail=detail)


async def send_request(
    link: OperatorLink,
    operator_request: OperatorRequest,
    model: type[Message],
) -> AnswerResult[Message]:
    """Send a query or command and parse the reply.

    If no reply arrives from the controller, the error is
    `PLATFORM_UNAVAILABLE`. An error response becomes the error that it
    describes, and a reply that can't be parsed an `INTERNAL` error.
    """
    message = operator_request.message
    call_result = await http_client.send_call(
        link.client,
        http_client.Call(
            method=operator_request.method,
            url=f'{link.base_url}{operator_request.path}',
            timeout_ms=link.timeout_ms,
            body=None
            if message is None
            else message.model_dump_json().encode(),
        ),
    )
    if not isinstance(call_result, result.Success):
        failure = call_result.failure()
        return result.Failure(
            _make_failure(
                errors.ErrorKind.PLATFORM_UNAVAILABLE,
                f'{link.base_url} sent no reply: {failure}',
            ),
        )
    return _parse(call_result.unwrap(), model)


def _parse(
    reply: http_client.Reply,
    model: type[Message],
) -> AnswerResult[Message]:
    try:
        if reply.status < _MIN_ERROR_STATUS:
            return result.Success(model.model_validate_json(reply.body))
        error_message = error_messages.parse_error(reply.body)
    except ValueError as error:
        return result.Failure(
            _make_failure(errors.ErrorKind.INTERNAL, str(error))
        )
    return result.Failure(
        _make_failure(error_message.kind, error_message.detail)
    )
