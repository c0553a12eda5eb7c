"""Test what a gateway chooses by what it believes, and tells other VMs."""

import asyncio
import dataclasses
import unittest

from tornado import httputil

from lentilgauge.callers import choosing, gateway_request
from lentilgauge.contracts import ownership
from lentilgauge.links import (
    peer_link,
)
from lentilgauge.upstreams import upstream_load
from lentilgauge.vms import (
    gateway,
    peer_routes,
)
from tests import gateway_parts


class DoubtTest(unittest.IsolatedAsyncioTestCase):
    """Choose among upstreams, and answer VMs that follow."""

    async def asyncSetUp(self) -> None:
        """Make a gateway that serves nobody."""
        self.clock = gateway_parts.Clock()
        self.gateway = gateway_parts.make_gateway(
            gateway_parts.Upstreams(),
            self.clock,
        )

    def count_chosen(self, span_ms: int) -> int:
        """Choose as often as there is room, for a while; no work takes time."""
        load = upstream_load.get_load(self.gateway.loads, 'u0')
        chosen = 0
        for _ in range(0, span_ms, 10):
            now_ms = self.clock.now_ms
            request = gateway_request.Request(
                id='r',
                route=gateway_parts.make_configuration().route_by_place[
                    gateway_parts.HOST, '/write/'
                ],
                service='s',
                key=None,
                method='POST',
                target='/write/1',
                headers=httputil.HTTPHeaders(),
                body=b'',
                arrived_ms=now_ms,
                deadline_ms=now_ms + 900,
            )
            if choosing.choose_upstream(self.gateway, request) is not None:
                chosen += 1
                load.in_flight -= 1
            self.clock.now_ms += 10
        return chosen

    def lose_and_reach(self) -> None:
        """Let the only upstream be out of reach, and then answer again."""
        self.gateway.beliefs.upstream_by_id.pop('u1')
        self.gateway.beliefs.ownership.vms = ('vm',)
        load = upstream_load.get_load(self.gateway.loads, 'u0')
        doubt_ms = gateway.find_doubt_ms(self.gateway, 's')
        doubt_end_ms = self.clock.now_ms + doubt_ms
        for _ in range(2):
            upstream_load.note_unreachable(load, 1, doubt_end_ms)
        upstream_load.note_reached(load, doubt_end_ms)

    async def test_who_comes_back_in_an_outage_may_be_cold(self) -> None:
        """Its announcement is of its earlier start: it can't renew it."""
        self.gateway.outage_told_ms = self.clock.now_ms
        self.lose_and_reach()
        self.assertLessEqual(self.count_chosen(1000), 12.5)
        self.clock.now_ms += 2000
        self.assertEqual(self.count_chosen(1000), 100)

    async def test_the_doubt_ends_for_who_has_no_share(self) -> None:
        """The last VM of a large fleet may send a cold upstream nothing."""
        self.lose_and_reach()
        others = (f'other-{number}' for number in range(50))
        self.gateway.beliefs.ownership.vms = (*others, 'vm')
        self.assertEqual(self.count_chosen(1000), 0)
        self.assertEqual(self.count_chosen(1000), 100)

    async def test_a_new_announcement_ends_the_doubt(self) -> None:
        self.gateway.outage_told_ms = self.clock.now_ms
        self.lose_and_reach()
        renewed = dataclasses.replace(gateway_parts.make_upstream('u0'), life=2)
        self.gateway.beliefs.upstream_by_id['u0'] = renewed
        self.assertEqual(self.count_chosen(1000), 100)

    async def test_with_the_store_at_hand_the_doubt_is_short(self) -> None:
        """An announcement would have gone round by its end."""
        self.lose_and_reach()
        self.assertLessEqual(self.count_chosen(1000), 12.5)
        self.assertEqual(self.count_chosen(1000), 100)

    async def follow(self, serial: int) -> peer_link.FollowReply:
        """Ask as a VM that follows."""
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

    async def test_a_large_fleet_is_answered_less_often(self) -> None:
        """News that comes meanwhile goes out in the same answer."""
        self.gateway.beliefs.ownership = ownership.Ownership(
            term=1,
            serial=1,
            vms=tuple(f'vm-{number}' for number in range(86)),
        )
        await self.follow(0)
        asked = asyncio.ensure_future(self.follow(0))
        await asyncio.sleep(0)
        self.gateway.beliefs.ownership.serial = 2
        reply = await asked
        assert reply.news is not None
        self.assertEqual(reply.news.serial, 2)
