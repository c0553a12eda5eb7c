"""Client of the platform's object API: read, update and watch objects."""

import dataclasses
import http
import secrets
from collections.abc import Mapping
from urllib import parse as url_parse

import pydantic
from returns import result

from lentilgauge import errors
from lentilgauge.links import http_client, message_call, platform_messages

WRITE_IDS_FIELD = 'write_ids'
#: An object's body lists the ids of at most this many latest writes, so that
#: a client whose write got no reply can read back whether it took effect.
MAX_WRITE_IDS = 8
_WRITE_ID_BYTES = 8
#: Attempts to read an object back after a write without a reply.
_READ_BACK_ATTEMPTS = 5

ObjectBody = Mapping[str, object]
ReadResult = result.Result[
    platform_messages.StoredObject | None,
    errors.Failure,
]
WriteResult = result.Result[platform_messages.StoredObject, errors.Failure]
ChangesResult = result.Result[platform_messages.ChangesMessage, errors.Failure]


@dataclasses.dataclass(slots=True, kw_only=True)
class PlatformLink:
    """Connection settings of the platform's object API."""

    client: http_client.Client
    base_url: str
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Update:
    """Update of an object, made only if it has the expected version.

    An expected version of 0 creates the object.
    """

    name: str
    expected_version: int
    body: ObjectBody


def _make_failure(detail: str) -> errors.Failure:
    return errors.Failure(
        kind=errors.ErrorKind.PLATFORM_UNAVAILABLE,
        detail=detail,
    )


def _object_url(platform_link: PlatformLink, name: str) -> str:
    return f'{platform_link.base_url}/objects/{url_parse.quote(name)}'


async def read_object(platform_link: PlatformLink, name: str) -> ReadResult:
    """Read one object; `None` if it doesn't exist."""
    call_result = await http_client.send_call(
        platform_link.client,
        http_client.Call(
            method='GET',
            url=_object_url(platform_link, name),
            timeout_ms=platform_link.timeout_ms,
        ),
    )
    if not isinstance(call_result, result.Success):
        return result.Failure(
            _make_failure(f'cannot read {name}: {call_result.failure()}')
        )
    reply = call_result.unwrap()
    if reply.status == http.HTTPStatus.NOT_FOUND:
        return result.Success(None)
    return _parse_object(reply)


def _parse_object(reply: http_client.Reply) -> WriteResult:
    if reply.status != http.HTTPStatus.OK:
        return result.Failure(
            _make_failure(f'the platform replied with status {reply.status}')
        )
    try:
        stored_object = platform_messages.StoredObject.model_validate_json(
            reply.body
        )
    except pydantic.ValidationError:
        return result.Failure(
            _make_failure('the reply of the platform is not an object')
        )
    return result.Success(stored_object)


async def write_object(
    platform_link: PlatformLink, update: Update
) -> WriteResult:
    """Update one object, and read it back if no reply arrives.

    The object's body lists the ids of its latest writes, so that reading it
    back shows whether this write took effect even if others have followed.
    """
    write_id = secrets.token_hex(_WRITE_ID_BYTES)
    message = platform_messages.PutMessage(
        expected_version=update.expected_version,
        write_id=write_id,
        body={
            **update.body,
            WRITE_IDS_FIELD: _add_write_id(update.body, write_id),
        },
    )
    call_result = await http_client.send_call(
        platform_link.client,
        http_client.Call(
            method='PUT',
            url=_object_url(platform_link, update.name),
            timeout_ms=platform_link.timeout_ms,
            body=message.model_dump_json().encode(),
        ),
    )
    if not isinstance(call_result, result.Success):
        return await _read_back(platform_link, update, write_id)
    reply = call_result.unwrap()
    if reply.status == http.HTTPStatus.CONFLICT:
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.CONFLICT,
                detail=(
                    f'{update.name} is newer than version '
                    f'{update.expected_version}'
                ),
            ),
        )
    return _parse_object(reply)


def list_write_ids(body: ObjectBody) -> list[str]:
    """List the ids of the latest writes from an object's body."""
    listed_ids = body.get(WRITE_IDS_FIELD)
    if not isinstance(listed_ids, list):
        return []
    return [str(write_id) for write_id in listed_ids]


def _add_write_id(body: ObjectBody, write_id: str) -> list[str]:
    kept_ids = list_write_ids(body)[1 - MAX_WRITE_IDS :]
    return [*kept_ids, write_id]


async def _read_back(
    platform_link: PlatformLink,
    update: Update,
    write_id: str,
) -> WriteResult:
    for _ in range(_READ_BACK_ATTEMPTS):
        read_result = await read_object(platform_link, update.name)
        if isinstance(read_result, result.Success):
            return _resolve_write(read_result.unwrap(), update, write_id)
    return result.Failure(
        _make_failure(f'it is unknown whether {update.name} was updated'),
    )


def _resolve_write(
    current: platform_messages.StoredObject | None,
    update: Update,
    write_id: str,
) -> WriteResult:
    """Determine from the object as read back whether a write took effect."""
    if current is not None and write_id in list_write_ids(current.body):
        return result.Success(current)
    version = 0 if current is None else current.version
    if version == update.expected_version:
        # The write may still be in transit, but can't take effect unnoticed:
        # the next update of the object increases the version, so that one of
        # the two writes is refused.
        return result.Failure(
            _make_failure(f'{update.name} has not been updated yet')
        )
    if version > update.expected_version + MAX_WRITE_IDS:
        # Later writes may have displaced this write's id from the list.
        return result.Failure(
            _make_failure(f'it is unknown whether {update.name} was updated'),
        )
    return result.Failure(
        errors.Failure(
            kind=errors.ErrorKind.CONFLICT,
            detail=f'{update.name} is at version {version}',
        ),
    )


async def watch_changes(
    platform_link: PlatformLink,
    after: int,
    wait_ms: int,
) -> ChangesResult:
    """Wait up to `wait_ms` for changes made after the revision `after`."""
    exchange_result = await message_call.exchange(
        platform_link.client,
        message_call.MessageCall(
            url=f'{platform_link.base_url}/watch?after={after}&wait_ms={wait_ms}',
            timeout_ms=platform_link.timeout_ms + wait_ms,
        ),
        platform_messages.ChangesMessage,
    )
    return exchange_result.alt(
        lambda failure: _make_failure(f'cannot watch for changes: {failure}')
    )


async def list_vms(
    platform_link: PlatformLink,
) -> result.Result[platform_messages.VmListMessage, errors.Failure]:
    """Read the platform's list of VMs, which may be out of date."""
    exchange_result = await message_call.exchange(
        platform_link.client,
        message_call.MessageCall(
            url=f'{platform_link.base_url}/vms',
            timeout_ms=platform_link.timeout_ms,
        ),
        platform_messages.VmListMessage,
    )
    return exchange_result.alt(
        lambda failure: _make_failure(f'cannot list the VMs: {failure}')
    )
