"""Test replies whose status line has no final status of HTTP."""

import itertools
import json
from collections.abc import Mapping

from returns import result
from tornado import httputil

from lentilgauge import errors
from lentilgauge.callers import retries
from lentilgauge.contracts import lease
from lentilgauge.links import (
    http_client,
    message_call,
    object_api,
    peer_link,
    store_link,
    upstream_data,
    upstream_link,
    witness_link,
)
from lentilgauge.platform import headers, store_adapter, upstream_adapter
from lentilgauge.services import catalog
from tests import raw_replies, raw_upstream, test_reply_framing

#: The first three were seen from failing upstreams on other systems.
_ODD_STARTS = (
    b'HTTP/1.1 000 X',
    b'HTTP/1.1 099 X',
    b'HTTP/1.1 100 Continue',
    b'HTTP/1.1 101 Switching Protocols',
    b'HTTP/1.1 199 X',
    b'HTTP/1.1 600 X',
    b'HTTP/1.1 999 X',
    b'HTTP/1.1 20 X',
    b'HTTP/1.1 2000 X',
    b'HTTP/1.1 -20 X',
    b'HTTP/1.1 2xx X',
    b'HTTP/1.1 000',
    b'HTTP/1.1 000 ',
    b'HTTP/1.0 000 X',
    b'HTTP/1.0 600 X',
    b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 000 X',
    b'HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK',
    b'HTTP/1.1 000 X\r\nHTTP/1.1 200 OK',
)
#: Statuses that a caller may get: that of the second attempt, and 502.
_USUAL_STATUSES = (200, 502)


def list_scripts(start: bytes) -> list[raw_upstream.Script]:
    """List the replies that begin with a status line.

    They have a body, an empty body, or nothing but the status line; the
    connection stays open, or is closed after a reply that has no length.
    """
    return [
        *(
            raw_upstream.Script(start=start, seal=seal, body=body)
            for seal, body in itertools.product((True, False), (b'odd.', b''))
        ),
        raw_upstream.Script(start=start, bare=True, closes=True),
    ]


def describe(call_result: http_client.CallResult) -> str:
    """Name a result of a call, with the length of the body."""
    if isinstance(call_result, result.Success):
        reply: http_client.Reply = call_result.unwrap()
        return f'status {reply.status}, {len(reply.body)} bytes'
    return str(call_result.failure())


def make_upstream(address: str) -> catalog.Upstream:
    """Make an upstream of the older interface."""
    host, _, port = address.partition(':')
    return catalog.Upstream(
        id='u',
        service='s',
        failure_domain='d',
        address=host,
        port=int(port),
    )


def make_dispatch(*, idempotent: bool) -> upstream_data.Dispatch:
    """Make an attempt at a request with the id `r0`."""
    return upstream_data.Dispatch(
        request_id='r0',
        method='GET',
        target='/x',
        headers=httputil.HTTPHeaders(),
        body=b'',
        slot_grant=lease.SlotGrant(slot=0, epoch=1),
        timeout_ms=raw_replies.TIMEOUT_MS,
        idempotent=idempotent,
    )


class GatewayStatusLineTest(raw_replies.RawGatewayTestCase):
    """A gateway process whose upstreams send odd status lines."""

    def list_scripts(self) -> list[raw_upstream.Script]:
        """List the replies of all odd status lines."""
        return [
            script for start in _ODD_STARTS for script in list_scripts(start)
        ]

    async def test_an_odd_status_is_no_answer(self) -> None:
        """Guard against an answer with a status that HTTP doesn't have.

        On other systems a caller got a status 000 as an answer. The request
        may have run.
        """
        await self.call_until_sent('/safe/warm', 'warm')
        wrong_by_script: dict[str, str] = {}
        for target, script in self.script_by_target.items():
            end = await self.call_until_sent(target, target)
            expected = 'status 200 after 2'
            if target.startswith('/unsafe'):
                expected = 'status 502 after 1'
            if end != expected:
                wrong_by_script[f'{target} {script}'] = end
        self.assertEqual(
            wrong_by_script, {}, '\n'.join(map(str, wrong_by_script.items()))
        )
        self.assertEqual(self.attempts.reused_ids, [])
        # 0 is logged for attempts without an answer; 503 was not sent.
        self.assertLessEqual(
            self.list_logged_statuses(), {0, 503, *_USUAL_STATUSES}
        )

    async def test_a_status_line_without_a_reason_is_an_answer(self) -> None:
        """Guard against a rule that refuses what RFC 9112 allows."""
        self.script_by_target['/unsafe/no-reason'] = raw_upstream.Script(
            start=b'HTTP/1.1 200'
        )
        self.script_by_target['/unsafe/empty-reason'] = raw_upstream.Script(
            start=b'HTTP/1.1 599 '
        )
        for target, expected in (
            ('/unsafe/no-reason', 'status 200 after 1'),
            ('/unsafe/empty-reason', 'status 599 after 1'),
        ):
            with self.subTest(target):
                end = await self.call_until_sent(target, target)
                self.assertEqual(end, expected)


class ClientStatusLineTest(raw_replies.RawReplyTestCase):
    """The client, the store's and the peers' links and the older interface."""

    def list_replies(self, body: bytes) -> Mapping[str, bytes]:
        """List odd replies with a body, without one, and cut ones."""
        reply_by_name: dict[str, bytes] = {}
        for start in _ODD_STARTS:
            for name, script in (
                ('body', raw_upstream.Script(start=start, body=body)),
                ('empty', raw_upstream.Script(start=start, body=b'')),
                ('bare', raw_upstream.Script(start=start, bare=True)),
            ):
                reply_by_name[f'{start!r} {name}'] = raw_upstream.encode_reply(
                    script, 'r0'
                )
            reply_by_name[f'{start!r} alone'] = start
            reply_by_name[f'{start!r} line'] = b'%b\r\n' % start
        return reply_by_name

    async def test_an_odd_status_is_no_reply(self) -> None:
        """Guard against replies that no code above the client expects."""
        accepted_by_name: dict[str, str] = {}
        for name, reply in self.list_replies(b'odd.').items():
            call_result = await self.fetch(reply)
            if isinstance(call_result, result.Success):
                accepted_by_name[name] = describe(call_result)
        self.assertEqual(
            accepted_by_name, {}, '\n'.join(map(str, accepted_by_name.items()))
        )

    async def test_an_odd_status_is_no_answer_of_the_store(self) -> None:
        """Guard against news, or a write, that the store never confirmed."""
        listing = b'{"items": [], "hasMore": false, "at": 7}'
        topic = store_link.Topic.CONFIGURATION
        for name, reply in self.list_replies(listing).items():
            with self.subTest(name):
                store = store_adapter.make_store(
                    self.client, await self.serve(reply)
                )
                ends = (
                    await store.list_topic(topic),
                    await store.watch_topic(topic, 1, 1),
                    await store.read_record(),
                    await store.write_record({}, 1),
                )
                self.assertEqual(
                    ends, (result.Failure(store_link.Failure.UNKNOWN),) * 4
                )

    async def test_an_odd_status_is_no_answer_of_the_object_api(self) -> None:
        """Guard against objects and changes that the platform never sent."""
        body = json.dumps(
            {
                'name': 'o',
                'version': 1,
                'revision': 7,
                'body': {},
                'changed': [],
                'vms': [],
            }
        ).encode()
        for name, reply in self.list_replies(body).items():
            with self.subTest(name):
                link = object_api.PlatformLink(
                    client=self.client,
                    base_url=f'http://{await self.serve(reply)}',
                    timeout_ms=raw_replies.TIMEOUT_MS,
                )
                for end in (
                    await object_api.read_object(link, 'o'),
                    await object_api.watch_changes(link, 1, 1),
                    await object_api.list_vms(link),
                ):
                    self.assertIsInstance(end, result.Failure)
                    self.assertEqual(
                        end.failure().kind,
                        errors.ErrorKind.PLATFORM_UNAVAILABLE,
                    )

    async def test_an_odd_status_is_no_answer_of_a_peer(self) -> None:
        """Guard against statements that no peer or witness has made."""
        body = b'{"reachable": true, "incarnation": "i", "lapse_in_ms": 0}'
        for name, reply in self.list_replies(body).items():
            with self.subTest(name):
                address = await self.serve(reply)
                called = await peer_link.call_peer(
                    self.client,
                    peer_link.PeerCall(
                        address=address,
                        path='/x',
                        timeout_ms=raw_replies.TIMEOUT_MS,
                    ),
                    peer_link.StoreAccessMessage,
                )
                self.assertIsInstance(called, result.Failure)
                released = await message_call.exchange(
                    self.client,
                    message_call.MessageCall(
                        url=f'http://{address}/x',
                        timeout_ms=raw_replies.TIMEOUT_MS,
                    ),
                    witness_link.ReleaseReply,
                )
                self.assertIsInstance(released, result.Failure)

    async def test_an_odd_status_is_no_outcome_of_an_attempt(self) -> None:
        """Guard against an execution that only an odd status shows."""
        older_replies = {
            name: reply.replace(
                headers.REQUEST_ID.encode(), upstream_data.REQUEST_ID.encode()
            )
            for name, reply in self.list_replies(b'odd.').items()
        }
        for name, reply in older_replies.items():
            for idempotent in (True, False):
                with self.subTest(name, idempotent=idempotent):
                    outcome = await upstream_data.send_dispatch(
                        self.client,
                        make_upstream(await self.serve(reply)),
                        make_dispatch(idempotent=idempotent),
                    )
                    self.assertIsInstance(outcome, upstream_data.Unanswered)
                    self.assertIs(
                        retries.classify_outcome(outcome),
                        retries.ExecutionStatus.UNKNOWN,
                    )

    async def test_an_odd_status_answers_no_order(self) -> None:
        """Guard against keys that seem granted, released or refused."""
        for name, reply in self.list_replies(b'').items():
            reply_to_order = b'\r\n'.join(
                line
                for line in reply.split(b'\r\n')
                if not line.startswith(b'X-')
            )
            with self.subTest(name):
                link = upstream_adapter.make_link(self.client)
                order = upstream_link.KeyOrder(
                    upstream=test_reply_framing.make_attempt(
                        await self.serve(reply_to_order)
                    ).upstream,
                    start=0,
                    end=9,
                    fence=1,
                    timeout_ms=raw_replies.TIMEOUT_MS,
                )
                for key_reply in (
                    await link.grant_keys(order),
                    await link.release_keys(order),
                ):
                    self.assertIs(
                        key_reply.answer, upstream_link.OrderAnswer.SILENT
                    )
