"""Send grants to upstreams."""

import pydantic
from returns import result
from tornado import httpclient

from lentilgauge.contracts import lease, lessor
from lentilgauge.links import http_client, upstream_messages
from lentilgauge.services import catalog

GRANT_PATH = '/control/grant'

ReplyResult = result.Result[lessor.GrantReply, http_client.LinkFailure]


async def send_grant(
    client: httpclient.AsyncHTTPClient,
    upstream: catalog.Upstream,
    grant: lease.Grant,
    timeout_ms: int,
) -> ReplyResult:
    """Send a grant and read the upstream's answer to it."""
    message = upstream_messages.pack_grant(grant)
    sent = await http_client.send_call(
        client,
        http_client.Call(
            method='POST',
            url=f'{upstream.control_url}{GRANT_PATH}',
            timeout_ms=timeout_ms,
            body=message.model_dump_json().encode(),
        ),
    )
    return sent.bind(_parse_reply)


def _parse_reply(reply: http_client.Reply) -> ReplyResult:
    try:
        message = upstream_messages.GrantReplyMessage.model_validate_json(
            reply.body,
        )
    except pydantic.ValidationError:
        return result.Failure(http_client.LinkFailure.INVALID)
    return result.Success(upstream_messages.unpack_reply(message))
