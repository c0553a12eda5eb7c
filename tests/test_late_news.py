"""Test what a VM makes of answers and reports that it reads after a pause."""

import asyncio
import unittest

import loguru

from lentilgauge.callers import forwarding
from lentilgauge.links import peer_link
from lentilgauge.upstreams import suspicions, upstream_load
from lentilgauge.vms import suspicion_sharing
from tests import conditions, gateway_fixtures

_PAUSE_MS = 3900


class LateNewsTest(unittest.IsolatedAsyncioTestCase):
    """A VM stands still while an upstream restarts, cold."""

    async def asyncSetUp(self) -> None:
        """Make a gateway that has current state."""
        loguru.logger.remove()
        self.clock = gateway_fixtures.Clock()
        self.scripted = gateway_fixtures.ScriptedUpstreams()
        self.gateway = gateway_fixtures.make_gateway(self.scripted, self.clock)
        self.gateway.state_cache.state_current_ms = self.clock.now_ms

    def is_outdated(self) -> bool:
        """Return whether what the VM knows of u0 counts as out of date."""
        load = upstream_load.get_load(self.gateway.upstream_loads, 'u0')
        current_ms = self.gateway.state_cache.state_current_ms
        suspicions.check_news(load.reachability, current_ms, self.clock.now_ms)
        return suspicions.is_outdated(load.reachability, current_ms)

    def report(self, replied_ms: int) -> None:
        """Apply a report of executions since the granter's last reply."""
        suspicion_sharing.apply_report(
            self.gateway,
            peer_link.FollowMessage(
                peer=peer_link.Peer(
                    vm='vm-2',
                    address='vm-2:1',
                    failure_domain='d',
                    incarnation='j',
                ),
                mark_by_topic={},
                term=1,
                serial=1,
                wait_ms=0,
                report=peer_link.Report(
                    report_by_upstream={
                        'u0': peer_link.UpstreamReport(executed=3)
                    }
                ),
                receipt=peer_link.ReplyReceipt(
                    incarnation='i', replied_ms=replied_ms
                ),
            ),
        )

    async def test_a_report_from_before_a_pause_is_no_news(self) -> None:
        """Guard against full rates at an upstream that restarted meanwhile."""
        replied_ms = self.clock.now_ms
        self.clock.now_ms += _PAUSE_MS
        self.report(replied_ms)
        self.assertTrue(self.is_outdated())

    async def test_a_report_since_the_last_reply_is_news(self) -> None:
        self.clock.now_ms += _PAUSE_MS
        self.report(self.clock.now_ms - 300)
        self.assertFalse(self.is_outdated())

    async def test_an_answer_from_before_a_pause_is_no_news(self) -> None:
        self.gateway.state_cache.upstream_by_id.pop('u1')
        self.scripted.answer_allowed = asyncio.Event()
        configuration = gateway_fixtures.make_configuration()
        request = gateway_fixtures.make_request(
            configuration.route_by_host_and_prefix[
                gateway_fixtures.HOST, '/write/'
            ],
            self.clock.now_ms,
        )
        sending = asyncio.ensure_future(
            forwarding.forward(self.gateway, request)
        )
        await conditions.wait_until(lambda: self.scripted.attempts)
        self.clock.now_ms += _PAUSE_MS
        self.scripted.answer_allowed.set()
        await sending
        self.assertTrue(self.is_outdated())
