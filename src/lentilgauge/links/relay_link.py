"""Client of controllers' relay of platform objects.

Entries and peer controllers read the objects through it.
"""

import dataclasses

import pydantic

from lentilgauge.links import http_client, message_call, platform_messages

CHANGES_PATH = '/changes'


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Position up to which the changes from one source were read.

    A source is one incarnation of a controller, and `serial` counts the changes
    in that controller's copy of the objects, so the next incarnation starts
    from 0.
    """

    source: str
    serial: int


NO_POSITION = Position('', 0)


class RelayMessage(pydantic.BaseModel):
    """Objects changed after a position, and the ages of their confirmations.

    `source` and `serial` form the new position. `confirmed_age_ms` is how
    long ago the platform confirmed that there was nothing newer. For
    `fresh_age_ms`, confirmation by a majority of the VMs counts as well. Each
    is `None` if there was no such confirmation yet.
    """

    source: str
    serial: int
    confirmed_age_ms: int | None
    fresh_age_ms: int | None
    changed: list[platform_messages.StoredObject]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangesRequest:
    """Position after which to read changes, and how long to wait for them."""

    after: Position
    wait_ms: int
    timeout_ms: int


RelayResult = message_call.MessageResult[RelayMessage]


async def fetch_changes(
    client: http_client.Client,
    base_url: str,
    changes_request: ChangesRequest,
) -> RelayResult:
    """Fetch the changes after a position, waiting up to `wait_ms` for one."""
    return await message_call.exchange(
        client,
        message_call.MessageCall(
            url=(
                f'{base_url}{CHANGES_PATH}'
                f'?source={changes_request.after.source}'
                f'&after={changes_request.after.serial}'
                f'&wait_ms={changes_request.wait_ms}'
            ),
            timeout_ms=changes_request.timeout_ms + changes_request.wait_ms,
        ),
        RelayMessage,
    )
