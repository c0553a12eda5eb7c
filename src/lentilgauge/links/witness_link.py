"""Ask witnesses to vouch for terms and to release them."""

import dataclasses

import pydantic

from lentilgauge.links import http_client, message_call

VOUCH_PATH = '/peer/vouch'
RELEASE_PATH = '/peer/release'


class ClaimMessage(pydantic.BaseModel):
    """Name a term of an upstream."""

    upstream_id: str
    term: int


class VouchMessage(pydantic.BaseModel):
    """Ask to vouch for terms for a span, counted from the arrival."""

    claims: list[ClaimMessage]
    span_ms: int


class VouchReply(pydantic.BaseModel):
    """Name the upstreams whose claims are vouched for."""

    incarnation: str
    vouched: list[str]


class ReleaseMessage(pydantic.BaseModel):
    """Ask to release all terms of an upstream below one."""

    claim: ClaimMessage


class ReleaseReply(pydantic.BaseModel):
    """Say how long an earlier vouch is still good at the most."""

    incarnation: str
    lapse_in_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WitnessAddress:
    """Locate a witness."""

    base_url: str
    timeout_ms: int


async def ask_to_vouch(
    client: http_client.Client,
    address: WitnessAddress,
    message: VouchMessage,
) -> message_call.MessageResult[VouchReply]:
    """Ask a witness to vouch."""
    return await message_call.exchange(
        client,
        _make_call(address, VOUCH_PATH, message),
        VouchReply,
    )


async def ask_to_release(
    client: http_client.Client,
    address: WitnessAddress,
    message: ReleaseMessage,
) -> message_call.MessageResult[ReleaseReply]:
    """Ask a witness to release."""
    return await message_call.exchange(
        client,
        _make_call(address, RELEASE_PATH, message),
        ReleaseReply,
    )


def _make_call(
    address: WitnessAddress,
    path: str,
    message: pydantic.BaseModel,
) -> message_call.MessageCall:
    return message_call.MessageCall(
        url=f'{address.base_url}{path}',
        timeout_ms=address.timeout_ms,
        message=message,
    )
