"""Client of the witnesses that vouch for lease terms and release them.

While the platform is unreachable, the controller of a term may keep granting
the lease as long as a majority of the witnesses vouch for the term.
"""

import dataclasses

import pydantic

from lentilgauge.links import http_client, message_call

VOUCH_PATH = '/peer/vouch'
RELEASE_PATH = '/peer/release'


class ClaimMessage(pydantic.BaseModel):
    """Claim to a term of an upstream's lease."""

    upstream_id: str
    term: int


class VouchMessage(pydantic.BaseModel):
    """Request to vouch for terms until `span_ms` after its arrival."""

    claims: list[ClaimMessage]
    span_ms: int


class VouchReply(pydantic.BaseModel):
    """Upstreams whose claims are vouched for, and the witness's incarnation."""

    incarnation: str
    vouched: list[str]


class ReleaseMessage(pydantic.BaseModel):
    """Request to release all terms of an upstream before the claimed one."""

    claim: ClaimMessage


class ReleaseReply(pydantic.BaseModel):
    """Reply to a release: how long vouches for earlier terms may still last.

    `incarnation` is that of the witness.
    """

    incarnation: str
    lapse_in_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WitnessAddress:
    """Address of a witness and the timeout of calls to it."""

    base_url: str
    timeout_ms: int


async def request_vouch(
    client: http_client.Client,
    address: WitnessAddress,
    message: VouchMessage,
) -> message_call.MessageResult[VouchReply]:
    """Ask a witness to vouch for terms."""
    return await message_call.exchange(
        client,
        _make_call(address, VOUCH_PATH, message),
        VouchReply,
    )


async def request_release(
    client: http_client.Client,
    address: WitnessAddress,
    message: ReleaseMessage,
) -> message_call.MessageResult[ReleaseReply]:
    """Ask a witness to release the terms before a claimed one."""
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
