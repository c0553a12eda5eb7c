"""Ask witnesses to vouch for terms and to release them."""

import dataclasses

import pydantic
from returns import result
from tornado import httpclient

from lentilgauge.links import http_client

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
    client: httpclient.AsyncHTTPClient,
    address: WitnessAddress,
    message: VouchMessage,
) -> result.Result[VouchReply, http_client.LinkFailure]:
    """Ask a witness to vouch."""
    sent = await _post(client, address, VOUCH_PATH, message)
    if not isinstance(sent, result.Success):
        return result.Failure(sent.failure())
    try:
        return result.Success(
            VouchReply.model_validate_json(sent.unwrap().body),
        )
    except pydantic.ValidationError:
        return result.Failure(http_client.LinkFailure.INVALID)


async def ask_to_release(
    client: httpclient.AsyncHTTPClient,
    address: WitnessAddress,
    message: ReleaseMessage,
) -> result.Result[ReleaseReply, http_client.LinkFailure]:
    """Ask a witness to release."""
    sent = await _post(client, address, RELEASE_PATH, message)
    if not isinstance(sent, result.Success):
        return result.Failure(sent.failure())
    try:
        return result.Success(
            ReleaseReply.model_validate_json(sent.unwrap().body),
        )
    except pydantic.ValidationError:
        return result.Failure(http_client.LinkFailure.INVALID)


async def _post(
    client: httpclient.AsyncHTTPClient,
    address: WitnessAddress,
    path: str,
    message: pydantic.BaseModel,
) -> http_client.CallResult:
    return await http_client.send_call(
        client,
        http_client.Call(
            method='POST',
            url=f'{address.base_url}{path}',
            timeout_ms=address.timeout_ms,
            body=message.model_dump_json().encode(),
        ),
    )
