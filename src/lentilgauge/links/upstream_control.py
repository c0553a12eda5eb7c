"""Client of the control protocol that grants leases to upstreams."""

from returns import result

from lentilgauge.contracts import lease, lessor
from lentilgauge.links import http_client, message_call, upstream_messages
from lentilgauge.services import catalog

GRANT_PATH = '/control/grant'

ReplyResult = result.Result[lessor.GrantReply, http_client.LinkFailure]


async def send_grant(
    client: http_client.Client,
    upstream: catalog.Upstream,
    grant: lease.Grant,
    timeout_ms: int,
) -> ReplyResult:
    """Send a grant and parse the upstream's reply."""
    exchange_result = await message_call.exchange(
        client,
        message_call.MessageCall(
            url=f'{upstream.control_url}{GRANT_PATH}',
            timeout_ms=timeout_ms,
            message=upstream_messages.pack_grant(grant),
        ),
        upstream_messages.GrantReplyMessage,
    )
    return exchange_result.map(upstream_messages.unpack_reply)
