"""Test that a large configuration reaches all VMs over their granter's link."""

import random
import unittest
import zlib

import loguru
import msgspec
from returns import result
from tornado import httputil

from lentilgauge.links import (
    http_client,
    http_server,
    peer_encoding,
    peer_link,
    store_link,
)
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import long_poll, peer_routes
from lentilgauge.vms import state_cache as state_cache_module
from tests import gateway_fixtures

#: Routes of the largest configuration that the users announce.
_ROUTE_COUNT = 1440
#: VMs of their grown deployments, which all hear of it at once, and the link
#: of the largest of these VMs.
_VM_COUNT = 90
_LINK_BITS_PER_MS = 200_000
#: Time for a reply after a long poll's wait.
_REPLY_MARGIN_MS = 250


def make_large_body() -> dict[str, object]:
    """Make the body of a configuration of many routes with random names."""
    source = random.Random(1)
    return {
        'version': 15,
        'routes': [
            {
                'name': f'r-{source.randbytes(4).hex()}',
                'host': f'{source.randbytes(3).hex()}.example',
                'pathPrefix': f'/{source.randbytes(4).hex()}/',
                'service': 's',
                'kind': source.choice(('safe', 'unsafe')),
                'timeout': f'{source.randint(500, 4000)}ms',
                'targetLatency': f'{source.randint(100, 900)}ms',
                'priority': source.randint(0, 3),
                'maxAttempts': source.randint(1, 3),
            }
            for _ in range(_ROUTE_COUNT)
        ],
        'services': [{'name': 's', 'sharding': True}],
    }


class PeerClient:
    """Client whose calls are answered by a VM's routes."""

    def __init__(self, gateway: gateway_module.Gateway) -> None:
        """Answer by the routes of a VM."""
        self.routes = peer_routes.make_peer_routes(gateway)
        self.response = http_server.Response()

    async def send(self, call: http_client.Call) -> http_client.CallResult:
        """Answer a call, and keep the response."""
        _, _, path = call.url.removeprefix('http://').partition('/')
        self.response = await http_server.make_response(
            self.routes,
            http_server.Request(
                method=call.method,
                path=f'/{path}',
                text_by_parameter={},
                headers=call.headers or httputil.HTTPHeaders(),
                body=call.body or b'',
            ),
        )
        headers = httputil.HTTPHeaders()
        if self.response.content_encoding:
            headers['Content-Encoding'] = self.response.content_encoding
        return result.Success(
            http_client.Reply(
                status=self.response.status,
                headers=headers,
                body=self.response.body,
            )
        )


class LargeRepliesTest(unittest.IsolatedAsyncioTestCase):
    """A VM follows a granter that has taken a large configuration."""

    def setUp(self) -> None:
        """Make a granter that knows the configuration, and a follower."""
        loguru.logger.remove()
        clock = gateway_fixtures.Clock()
        self.granter = self.make_gateway(clock)
        self.follower = self.make_gateway(clock)
        self.body = make_large_body()
        state_cache_module.replace_topic(
            self.granter.state_cache,
            store_link.Topic.CONFIGURATION,
            9,
            {
                'main': store_link.Document(
                    name='main', revision=9, body=self.body
                )
            },
        )
        self.peer_client = PeerClient(self.granter)
        self.follower.client = http_client.Client(send=self.peer_client.send)

    def make_gateway(
        self, clock: gateway_fixtures.Clock
    ) -> gateway_module.Gateway:
        """Make a VM's gateway."""
        return gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), clock
        )

    async def test_all_vms_hear_of_it_within_a_poll(self) -> None:
        """Guard against polls that all time out, and are all sent again."""
        self.assertIsNone(
            await long_poll.follow_once(self.follower, 'granter:1')
        )
        bits = len(self.peer_client.response.body) * 8 * _VM_COUNT
        self.assertLess(bits / _LINK_BITS_PER_MS, _REPLY_MARGIN_MS)
        cached = self.follower.state_cache.cached_by_topic
        document = cached[store_link.Topic.CONFIGURATION].document_by_name
        self.assertEqual(document['main'].body, self.body)

    async def test_a_vm_of_an_earlier_version_gets_it_plain(self) -> None:
        """Guard against a rolling update that some VMs can't follow."""
        await long_poll.follow_once(self.follower, 'granter:1')
        message = peer_link.FollowMessage(
            peer=self.follower.local_peer,
            mark_by_topic={},
            term=0,
            serial=0,
            wait_ms=0,
            peers_digest=0,
        )
        await self.peer_client.send(
            http_client.Call(
                method='POST',
                url=f'http://granter:1{peer_link.FOLLOW_PATH}',
                timeout_ms=100,
                body=msgspec.json.encode(message),
            )
        )
        reply = msgspec.json.decode(
            self.peer_client.response.body, type=peer_link.FollowReply
        )
        self.assertIn(store_link.Topic.CONFIGURATION, reply.section_by_topic)

    async def test_short_replies_are_sent_as_they_are(self) -> None:
        await long_poll.follow_once(self.follower, 'granter:1')
        self.granter.state_cache.ownership.serial += 1
        await long_poll.follow_once(self.follower, 'granter:1')
        self.assertEqual(self.peer_client.response.content_encoding, '')


class DecodingTest(unittest.TestCase):
    """Replies that can't be decompressed, or are too large."""

    def decode(self, body: bytes, encoding: str = 'deflate') -> bytes | None:
        """Decode a body that is sent with an encoding."""
        headers = httputil.HTTPHeaders({'Content-Encoding': encoding})
        return peer_encoding.decode_body(
            http_client.Reply(status=200, headers=headers, body=body)
        )

    def test_bodies_that_are_unusable(self) -> None:
        """Guard against an error, or memory without bound, by a reply."""
        compressed = zlib.compress(b'{}' * 100)
        self.assertEqual(self.decode(compressed), b'{}' * 100)
        for body in (b'', b'{}', compressed[:-5], compressed[3:]):
            self.assertIsNone(self.decode(body), body)
        self.assertIsNone(self.decode(compressed, 'br'))
        too_large = bytes(http_client.MAX_REPLY_BYTES + 1)
        self.assertIsNone(self.decode(zlib.compress(too_large)))
