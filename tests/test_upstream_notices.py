"""Test what upstreams say of themselves beside their answers."""

import asyncio
import dataclasses
import unittest

import loguru
from returns import result
from tornado import httputil

from lentilgauge.callers import (
    forwarding,
    gateway_request,
    upstream_choice,
)
from lentilgauge.contracts import ownership
from lentilgauge.links import http_client, store_link, upstream_link
from lentilgauge.platform import headers, objects, upstream_adapter
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import key_assignment
from lentilgauge.vms import state_cache as state_cache_module
from tests import gateway_fixtures, test_platform_adapter

_REQUEST_ID = 'r1'


def make_link(status: int, **reply_headers: str) -> upstream_link.UpstreamLink:
    """Make a link to an upstream that replies with a status and headers."""
    sent_headers = {
        name.replace('_', '-'): text for name, text in reply_headers.items()
    }

    async def send(_: http_client.Call) -> http_client.CallResult:
        return result.Success(
            http_client.Reply(
                status=status,
                headers=httputil.HTTPHeaders(sent_headers),
                body=b'',
            )
        )

    return upstream_adapter.make_link(http_client.Client(send=send))


class NoticesTest(unittest.IsolatedAsyncioTestCase):
    """A gateway whose upstreams leave, or want no requests for a time."""

    def setUp(self) -> None:
        """Make a gateway with a pool of two upstreams."""
        loguru.logger.remove()
        self.clock = gateway_fixtures.Clock()
        self.scripted = gateway_fixtures.ScriptedUpstreams()
        self.gateway = gateway_fixtures.make_gateway(self.scripted, self.clock)
        self.cache = self.gateway.state_cache
        self.outcome = upstream_link.Outcome(
            proof=upstream_link.Proof.EXECUTED,
            status=200,
            headers=httputil.HTTPHeaders(),
        )

    def answer_with(self, **fields: object) -> None:
        """Let u0 answer with some fields; others answer as usual."""

        async def answer(
            attempt: upstream_link.Attempt,
        ) -> upstream_link.Outcome:
            if attempt.upstream.id != 'u0':
                return await self.scripted.answer(attempt)
            self.scripted.attempts.append(attempt)
            return dataclasses.replace(self.outcome, **fields)  # type: ignore[arg-type]

        self.gateway.upstreams = dataclasses.replace(
            self.gateway.upstreams, send_attempt=answer
        )

    def own_all_keys(self) -> None:
        """Make the service keyed, with all keys at u0."""
        gateway_fixtures.own_all_keys(self.cache, 'u0')

    def make_request(self, key: int | None) -> gateway_request.Request:
        """Make a request that isn't idempotent."""
        assert self.cache.configuration is not None
        route = self.cache.configuration.route_by_host_and_prefix[
            gateway_fixtures.HOST, '/write/'
        ]
        request = gateway_fixtures.make_request(route, self.clock.now_ms)
        request.key = key
        return request

    async def send(self, key: int | None = None) -> forwarding.ForwardResult:
        """Send a request, which must be answered without a wait."""
        request = self.make_request(key)
        sending = asyncio.ensure_future(
            forwarding.forward(self.gateway, request)
        )
        done, _ = await asyncio.wait((sending,), timeout=0.1)
        if not done:
            sending.cancel()
        self.assertTrue(done, 'the request waits')
        return sending.result()

    def count_sent(self, upstream_id: str = 'u0') -> int:
        """Count the attempts at an upstream."""
        return sum(
            attempt.upstream.id == upstream_id
            for attempt in self.scripted.attempts
        )

    async def send_until_u0(self) -> None:
        """Send until u0 has had a request."""
        for _ in range(20):
            await self.send()
            if self.count_sent():
                return
        self.fail('u0 gets nothing')

    async def test_a_leaving_upstream_of_a_pool_gets_nothing_more(self) -> None:
        """Guard against requests after an answer that says so."""
        self.answer_with(leaving=True)
        await self.send_until_u0()
        for _ in range(20):
            self.clock.now_ms += 500
            await self.send()
        self.assertEqual(self.count_sent(), 1)

    async def test_failures_and_refusals_tell_it_too(self) -> None:
        for proof in (
            upstream_link.Proof.UNKNOWN,
            upstream_link.Proof.REFUSED,
        ):
            self.setUp()
            self.answer_with(leaving=True, proof=proof)
            await self.send_until_u0()
            for _ in range(20):
                self.clock.now_ms += 500
                await self.send()
            self.assertEqual(self.count_sent(), 1)

    async def test_a_leaving_holder_gets_its_keys_only_within_drain(
        self,
    ) -> None:
        self.own_all_keys()
        self.answer_with(leaving=True)
        await self.send(7)
        told_ms = self.clock.now_ms
        self.clock.now_ms = told_ms + self.gateway.bounds.drain_ms // 2
        await self.send(7)
        self.assertEqual(self.count_sent(), 2)
        self.clock.now_ms = told_ms + self.gateway.bounds.drain_ms
        choice = upstream_choice.try_reserve_upstream(
            self.gateway, self.make_request(7)
        )
        self.assertIsNone(choice)

    def announce(self, revision: int, **fields: object) -> None:
        """Announce u0 alone; an older entry may come back."""
        document = test_platform_adapter.make_document(
            test_platform_adapter.make_announcement(**fields), 'u0'
        )
        state_cache_module.replace_topic(
            self.cache,
            store_link.Topic.UPSTREAMS,
            revision,
            {'u0': dataclasses.replace(document, revision=revision)},
        )

    async def test_only_another_process_ends_it(self) -> None:
        """Guard against entries that say ready, lapse or are written again."""
        self.cache.decoders = dataclasses.replace(
            self.cache.decoders, read_upstream=objects.read_upstream
        )
        self.announce(1, born=17)
        state_cache_module.note_leaving(
            self.cache, self.cache.upstream_by_id['u0']
        )
        draining = upstream_state.State.DRAINING
        self.announce(2, born=17)
        self.assertIs(self.cache.upstream_by_id['u0'].state, draining)
        state_cache_module.replace_topic(
            self.cache, store_link.Topic.UPSTREAMS, 3, {}
        )
        self.announce(4, born=17)
        self.assertIs(self.cache.upstream_by_id['u0'].state, draining)
        self.announce(5, born=18)
        self.assertIs(
            self.cache.upstream_by_id['u0'].state, upstream_state.State.READY
        )

    async def test_an_answer_counts_while_the_entry_is_missing(self) -> None:
        """Guard against a leaving upstream that is ready once listed again."""
        self.cache.decoders = dataclasses.replace(
            self.cache.decoders, read_upstream=objects.read_upstream
        )
        self.announce(1, born=17)
        upstream = self.cache.upstream_by_id['u0']
        state_cache_module.replace_topic(
            self.cache, store_link.Topic.UPSTREAMS, 2, {}
        )
        state_cache_module.note_leaving(self.cache, upstream)
        told_ms = self.clock.now_ms
        self.announce(3, born=17)
        self.assertIs(
            self.cache.upstream_by_id['u0'].state,
            upstream_state.State.DRAINING,
        )
        self.assertEqual(self.cache.draining_since_ms_by_id['u0'], told_ms)
        self.announce(4, born=18)
        self.assertIs(
            self.cache.upstream_by_id['u0'].state, upstream_state.State.READY
        )

    async def test_the_granter_hears_of_it_in_every_report(self) -> None:
        """Guard against keys that stay at an upstream that leaves."""
        self.answer_with(leaving=True)
        await self.send_until_u0()
        granting = gateway_fixtures.make_gateway(self.scripted, self.clock)
        granter = gateway_fixtures.make_granter_state(
            granting, ownership.Ownership()
        )
        granter.upstream_by_id = dict(granting.state_cache.upstream_by_id)
        gateway_module.collect_report(self.gateway)
        report = gateway_module.collect_report(self.gateway)
        key_assignment.apply_report(granter, report)
        eligible = key_assignment.list_eligible_upstreams(granter, 's')
        self.assertEqual(list(eligible), ['u1'])

    async def test_nothing_is_sent_for_as_long_as_an_upstream_asks(
        self,
    ) -> None:
        """Guard against a shorter suspension by a later answer."""
        self.answer_with(
            proof=upstream_link.Proof.REFUSED, status=503, retry_after_ms=5000
        )
        await self.send_until_u0()
        for _ in range(49):
            self.clock.now_ms += 100
            await self.send()
        self.assertEqual(self.count_sent(), 1)
        self.clock.now_ms += 100
        self.answer_with()
        await self.send_until_u0()

    async def test_a_key_of_such_a_holder_is_refused_at_once(self) -> None:
        """Guard against a wait that is known to be in vain."""
        self.own_all_keys()
        self.answer_with(
            proof=upstream_link.Proof.REFUSED, status=503, retry_after_ms=5000
        )
        await self.send(7)
        refused = await self.send(7)
        self.assertEqual(self.count_sent(), 1)
        self.assertNotIsInstance(refused, result.Success)

    async def test_another_process_is_asked_at_once(self) -> None:
        self.answer_with(
            proof=upstream_link.Proof.REFUSED, status=503, retry_after_ms=5000
        )
        await self.send_until_u0()
        self.answer_with()
        self.cache.upstream_by_id = {
            'u0': dataclasses.replace(
                gateway_fixtures.make_upstream('u0'), incarnation=2
            )
        }
        self.clock.now_ms += 500
        await self.send()
        self.assertEqual(self.count_sent(), 2)


class NoticeHeadersTest(unittest.IsolatedAsyncioTestCase):
    """How the adapter reads the headers of such answers."""

    def setUp(self) -> None:
        """Log nothing."""
        loguru.logger.remove()

    async def send(
        self, status: int, **reply_headers: str
    ) -> upstream_link.Outcome:
        """Send an attempt that is answered with a status and headers."""
        reply_headers[headers.REQUEST_ID.replace('-', '_')] = _REQUEST_ID
        link = make_link(status, **reply_headers)
        return await link.send_attempt(
            upstream_link.Attempt(
                upstream=gateway_fixtures.make_upstream('u0'),
                request_id=_REQUEST_ID,
                method='GET',
                target='/x',
                headers=httputil.HTTPHeaders(),
                body=b'',
                remaining_ms=1000,
            )
        )

    async def test_any_answer_may_say_that_its_upstream_leaves(self) -> None:
        for status in (200, 404, 429, 500, 503):
            outcome = await self.send(status, Server_Leaving='1')
            self.assertTrue(outcome.leaving, status)
        for text in ('', '0', 'true', '1, 1', '\u00b2'):
            outcome = await self.send(503, Server_Leaving=text)
            self.assertFalse(outcome.leaving, text)
        self.assertFalse((await self.send(421, Server_Leaving='1')).leaving)

    async def test_a_retry_time_is_read_beside_503_only(self) -> None:
        for text, expected_ms in (
            ('2', 2000),
            ('0.25', 250),
            ('0', 0),
            ('999999999', 600_000),
            ('-1', 0),
            ('1e9', 0),
            ('nan', 0),
            ('9' * 5000, 0),
            ('\u0663', 0),
            ('Fri, 31 Dec 1999 23:59:59 GMT', 0),
        ):
            outcome = await self.send(503, Retry_After=text)
            self.assertEqual(outcome.retry_after_ms, expected_ms, text[:20])
            outcome = await self.send(200, Retry_After=text)
            self.assertEqual(outcome.retry_after_ms, 0)

    async def test_an_answer_to_an_order_may_say_it_too(self) -> None:
        order = upstream_link.KeyOrder(
            upstream=gateway_fixtures.make_upstream('u0'),
            start=0,
            end=9,
            fence=1,
            hold_ms=100,
            timeout_ms=100,
        )
        reply = await make_link(200, Server_Leaving='1').grant_keys(order)
        self.assertTrue(reply.leaving)
