"""Test upstream choice from a VM's cached state, and replies to followers."""

import asyncio
import dataclasses
import unittest

from lentilgauge.callers import upstream_choice
from lentilgauge.contracts import ownership
from lentilgauge.links import (
    peer_link,
)
from lentilgauge.upstreams import suspicions, upstream_load
from lentilgauge.vms import (
    gateway,
    peer_routes,
)
from tests import gateway_fixtures


class SuspectUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """An upstream that may have restarted is sent only the cold-start rate.

    A VM that failed twice to connect to an upstream suspects a restart. The
    upstream's state as the VM has it is then that of the previous incarnation,
    until the new one has been announced. Replies to followers, which carry a
    gateway's state to other VMs, are tested here too.
    """

    async def asyncSetUp(self) -> None:
        """Make a gateway that doesn't listen."""
        self.clock = gateway_fixtures.Clock()
        self.gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(),
            self.clock,
        )

    def count_admitted(self, duration_ms: int) -> int:
        """Count how many requests are admitted, if one comes every 10 ms.

        Each request is executed at once.
        """
        load = upstream_load.get_load(self.gateway.upstream_loads, 'u0')
        admitted = 0
        for _ in range(0, duration_ms, 10):
            now_ms = self.clock.now_ms
            request = gateway_fixtures.make_request(
                gateway_fixtures.make_configuration().route_by_host_and_prefix[
                    gateway_fixtures.HOST, '/write/'
                ],
                now_ms,
            )
            if (
                upstream_choice.try_reserve_upstream(self.gateway, request)
                is not None
            ):
                admitted += 1
                load.in_flight -= 1
            self.clock.now_ms += 10
        return admitted

    def fail_and_recover(self) -> None:
        """Fail two connections to the only upstream, then have it respond."""
        self.gateway.state_cache.upstream_by_id.pop('u1')
        self.gateway.state_cache.ownership.vms = ('vm',)
        load = upstream_load.get_load(self.gateway.upstream_loads, 'u0')
        cold_ms = gateway.get_unannounced_cold_ms(self.gateway, 's')
        for _ in range(2):
            suspicions.record_connect_failure(
                load.reachability, 1, self.clock.now_ms, cold_ms
            )
        suspicions.record_response(
            load.reachability,
            self.clock.now_ms,
            cold_ms,
            sent_ms=self.clock.now_ms,
        )

    async def test_a_restart_in_an_outage_may_be_a_cold_start(self) -> None:
        """Guard against a full load on an upstream in cold start.

        During a store outage it can't announce its new incarnation, so that
        the VM knows only that it had been warm.
        """
        self.gateway.outage_reported_ms = self.clock.now_ms
        self.fail_and_recover()
        self.assertLessEqual(self.count_admitted(1000), 12.5)
        self.clock.now_ms += 2000
        self.assertEqual(self.count_admitted(1000), 100)

    async def test_suspicion_ends_for_a_vm_without_a_cold_share(self) -> None:
        """Guard against a VM that sends an upstream nothing for ever.

        The VMs divide a cold upstream's rate among them. The last VM of a
        large fleet may have no share, so its suspicion has to end with time.
        """
        self.fail_and_recover()
        peers = (f'other-{number}' for number in range(50))
        self.gateway.state_cache.ownership.vms = (*peers, 'vm')
        self.assertEqual(self.count_admitted(1000), 0)
        self.assertEqual(self.count_admitted(1000), 100)

    async def test_a_new_announcement_ends_the_suspicion(self) -> None:
        """Guard against the cold-start rate for an upstream announced warm."""
        self.gateway.outage_reported_ms = self.clock.now_ms
        self.fail_and_recover()
        restarted = dataclasses.replace(
            gateway_fixtures.make_upstream('u0'),
            incarnation=2,
        )
        self.gateway.state_cache.upstream_by_id['u0'] = restarted
        self.assertEqual(self.count_admitted(1000), 100)

    async def test_suspicion_is_short_if_the_store_is_reachable(self) -> None:
        """Guard against a long suspicion after a mere network fault.

        An announcement would have reached all VMs by the end of the suspicion.
        """
        self.fail_and_recover()
        self.assertLessEqual(self.count_admitted(1000), 12.5)
        self.assertEqual(self.count_admitted(1000), 100)

    async def follow(self, serial: int) -> peer_link.FollowReply:
        """Request ownership changes as a VM that follows this granter."""
        return await peer_routes.answer_follower(
            self.gateway,
            peer_link.FollowMessage(
                peer=peer_link.Peer(
                    vm='asker',
                    address='asker:1',
                    failure_domain='d',
                    incarnation='i',
                ),
                mark_by_topic={},
                term=1,
                serial=serial,
                wait_ms=0,
            ),
        )

    async def test_replies_to_a_large_fleet_are_paced(self) -> None:
        """Guard against a granter overloaded by its followers.

        Changes that are made while a reply is delayed are sent with it.
        """
        self.gateway.state_cache.ownership = ownership.Ownership(
            term=1,
            serial=1,
            vms=tuple(f'vm-{number}' for number in range(86)),
        )
        await self.follow(0)
        follow_task = asyncio.ensure_future(self.follow(0))
        await asyncio.sleep(0)
        self.gateway.state_cache.ownership.serial = 2
        reply = await follow_task
        assert reply.news is not None
        self.assertEqual(reply.news.serial, 2)
