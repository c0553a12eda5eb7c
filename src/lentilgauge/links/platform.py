"""Read, change and watch the platform's objects."""

import dataclasses
import http
import secrets
from collections.abc import Mapping
from urllib import parse as url_parse

import pydantic
from returns import result

from lentilgauge import errors
from lentilgauge.links import http_client, message_call, platform_messages

WRITE_IDS = 'write_ids'
#: A body keeps this many ids of its latest writes, to settle lost answers.
KEPT_WRITE_IDS = 8
_WRITE_ID_BYTES = 8
#: How often a write whose answer was lost is read back.
_READ_BACK_TRIES = 5

ObjectBody = Mapping[str, object]
ReadResult = result.Result[
    platform_messages.StoredObject | None,
    errors.Failure,
]
WriteResult = result.Result[platform_messages.StoredObject, errors.Failure]
ChangesResult = result.Result[platform_messages.ChangesMessage, errors.Failure]


@dataclasses.dataclass(slots=True, kw_only=True)
class Platform:
    """Hold the link to the platform's object API."""

    client: http_client.Client
    base_url: str
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Describe one conditional update of one object."""

    name: str
    expected_version: int
    body: ObjectBody


def _fail(detail: str) -> errors.Failure:
    return errors.Failure(
        kind=errors.ErrorKind.PLATFORM_UNAVAILABLE,
        detail=detail,
    )


def _object_url(platform: Platform, name: str) -> str:
    return f'{platform.base_url}/objects/{url_parse.quote(name)}'


async def read_object(platform: Platform, name: str) -> ReadResult:
    """Read one object, or `None` where there is none."""
    sent = await http_client.send_call(
        platform.client,
        http_client.Call(
            method='GET',
            url=_object_url(platform, name),
            timeout_ms=platform.timeout_ms,
        ),
    )
    if not isinstance(sent, result.Success):
        return result.Failure(_fail(f'reading {name}: {sent.failure()}'))
    reply = sent.unwrap()
    if reply.status == http.HTTPStatus.NOT_FOUND:
        return result.Success(None)
    return _parse_object(reply)


def _parse_object(reply: http_client.Reply) -> WriteResult:
    if reply.status != http.HTTPStatus.OK:
        return result.Failure(_fail(f'the platform answered {reply.status}'))
    try:
        found = platform_messages.StoredObject.model_validate_json(reply.body)
    except pydantic.ValidationError:
        return result.Failure(_fail('the platform answered no object'))
    return result.Success(found)


async def write_object(platform: Platform, change: Change) -> WriteResult:
    """Update one object; a lost answer is settled by reading back.

    The body carries the ids of its latest writes, so a read tells whether
    this write took effect even where another has followed it.
    """
    write_id = secrets.token_hex(_WRITE_ID_BYTES)
    message = platform_messages.PutMessage(
        expected_version=change.expected_version,
        write_id=write_id,
        body={**change.body, WRITE_IDS: _add_write_id(change.body, write_id)},
    )
    sent = await http_client.send_call(
        platform.client,
        http_client.Call(
            method='PUT',
            url=_object_url(platform, change.name),
            timeout_ms=platform.timeout_ms,
            body=message.model_dump_json().encode(),
        ),
    )
    if not isinstance(sent, result.Success):
        return await _read_back(platform, change, write_id)
    reply = sent.unwrap()
    if reply.status == http.HTTPStatus.CONFLICT:
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.CONFLICT,
                detail=f'{change.name} is past {change.expected_version}',
            ),
        )
    return _parse_object(reply)


def list_write_ids(body: ObjectBody) -> list[str]:
    """List the ids of the latest writes of an object's body."""
    found = body.get(WRITE_IDS)
    if not isinstance(found, list):
        return []
    return [str(write_id) for write_id in found]


def _add_write_id(body: ObjectBody, write_id: str) -> list[str]:
    kept = list_write_ids(body)[1 - KEPT_WRITE_IDS :]
    return [*kept, write_id]


async def _read_back(
    platform: Platform,
    change: Change,
    write_id: str,
) -> WriteResult:
    for _ in range(_READ_BACK_TRIES):
        read = await read_object(platform, change.name)
        if isinstance(read, result.Success):
            return _settle(read.unwrap(), change, write_id)
    return result.Failure(
        _fail(f'whether {change.name} was changed is unknown'),
    )


def _settle(
    found: platform_messages.StoredObject | None,
    change: Change,
    write_id: str,
) -> WriteResult:
    """Decide from the object as read whether a write took effect."""
    if found is not None and write_id in list_write_ids(found.body):
        return result.Success(found)
    version = 0 if found is None else found.version
    if version == change.expected_version:
        # The write may still be on its way: the next update of the object
        # moves the version past it, so it can never take effect unseen.
        return result.Failure(_fail(f'{change.name} is not changed yet'))
    if version > change.expected_version + KEPT_WRITE_IDS:
        return result.Failure(
            _fail(f'whether {change.name} was changed is unknown'),
        )
    return result.Failure(
        errors.Failure(
            kind=errors.ErrorKind.CONFLICT,
            detail=f'{change.name} is at version {version}',
        ),
    )


async def watch_changes(
    platform: Platform,
    after: int,
    wait_ms: int,
) -> ChangesResult:
    """Wait up to `wait_ms` for changes after a revision."""
    answered = await message_call.exchange(
        platform.client,
        message_call.MessageCall(
            url=f'{platform.base_url}/watch?after={after}&wait_ms={wait_ms}',
            timeout_ms=platform.timeout_ms + wait_ms,
        ),
        platform_messages.ChangesMessage,
    )
    return answered.alt(lambda failure: _fail(f'watching: {failure}'))


async def list_vms(
    platform: Platform,
) -> result.Result[platform_messages.VmListMessage, errors.Failure]:
    """Read the platform's list of VMs, which lags the truth."""
    answered = await message_call.exchange(
        platform.client,
        message_call.MessageCall(
            url=f'{platform.base_url}/vms',
            timeout_ms=platform.timeout_ms,
        ),
        platform_messages.VmListMessage,
    )
    return answered.alt(lambda failure: _fail(f'listing VMs: {failure}'))
