"""Ask and command controllers on behalf of an operator."""

import dataclasses
from typing import TypeVar

import pydantic
from returns import result

from lentilgauge import errors
from lentilgauge.links import error_messages, http_client

_FIRST_ERROR_STATUS = 400

Message = TypeVar('Message', bound=pydantic.BaseModel)
AnswerResult = result.Result[Message, errors.Failure]


@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorLink:
    """Hold the link to one controller."""

    client: http_client.Client
    base_url: str
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Question:
    """Hold one question or command and how to send it."""

    method: str
    path: str
    message: pydantic.BaseModel | None = None


def _fail(kind: errors.ErrorKind, detail: str) -> errors.Failure:
    return errors.Failure(kind=kind, detail=detail)


async def ask(
    link: OperatorLink,
    question: Question,
    model: type[Message],
) -> AnswerResult[Message]:
    """Send a question and parse its answer."""
    message = question.message
    sent = await http_client.send_call(
        link.client,
        http_client.Call(
            method=question.method,
            url=f'{link.base_url}{question.path}',
            timeout_ms=link.timeout_ms,
            body=None
            if message is None
            else message.model_dump_json().encode(),
        ),
    )
    if not isinstance(sent, result.Success):
        failure = sent.failure()
        return result.Failure(
            _fail(
                errors.ErrorKind.PLATFORM_UNAVAILABLE,
                f'{link.base_url} did not answer: {failure}',
            ),
        )
    return _parse(sent.unwrap(), model)


def _parse(
    reply: http_client.Reply,
    model: type[Message],
) -> AnswerResult[Message]:
    try:
        if reply.status < _FIRST_ERROR_STATUS:
            return result.Success(model.model_validate_json(reply.body))
        refused = error_messages.read_error(reply.body)
    except ValueError as invalid:
        return result.Failure(_fail(errors.ErrorKind.INTERNAL, str(invalid)))
    return result.Failure(_fail(refused.kind, refused.detail))
