"""Relay the platform's objects from a controller to the entries of its VM."""

import dataclasses

import pydantic

from lentilgauge.links import http_client, message_call, platform_messages

CHANGES_PATH = '/changes'


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """Remember how far one source was followed.

    Serials are a source's own: another incarnation starts anew.
    """

    source: str
    serial: int


NO_MARK = Mark('', 0)


class RelayMessage(pydantic.BaseModel):
    """Carry what changed after a mark and how well that is confirmed.

    `confirmed_age_ms` is how long ago the platform confirmed that there was
    nothing newer; `fresh_age_ms` is the same, but most VMs' word counts too.
    Both are `None` where that never happened.
    """

    source: str
    serial: int
    confirmed_age_ms: int | None
    fresh_age_ms: int | None
    changed: list[platform_messages.StoredObject]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wanted:
    """Say which changes are wanted, and how long to wait for them."""

    after: Mark
    wait_ms: int
    timeout_ms: int


RelayResult = message_call.MessageResult[RelayMessage]


async def fetch_changes(
    client: http_client.Client,
    base_url: str,
    wanted: Wanted,
) -> RelayResult:
    """Fetch the changes after a mark."""
    return await message_call.exchange(
        client,
        message_call.MessageCall(
            url=(
                f'{base_url}{CHANGES_PATH}'
                f'?source={wanted.after.source}&after={wanted.after.serial}'
                f'&wait_ms={wanted.wait_ms}'
            ),
            timeout_ms=wanted.timeout_ms + wanted.wait_ms,
        ),
        RelayMessage,
    )
