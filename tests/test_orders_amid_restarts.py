"""Test orders in flight while their upstream restarts under its id."""

import asyncio
import dataclasses
import unittest

from lentilgauge.contracts import ownership
from lentilgauge.links import upstream_link
from lentilgauge.services import key_ranges
from lentilgauge.vms import (
    granter_upstreams,
    key_assignment,
    key_orders,
)
from tests import gateway_fixtures


class OrdersAmidRestartsTest(unittest.IsolatedAsyncioTestCase):
    """A granter renews two grants as the process at their address ends."""

    async def test_unanswered_orders_count_against_no_later_process(
        self,
    ) -> None:
        """Guard against moving the keys of an upstream that has restarted."""
        restarted = asyncio.Event()

        async def refuse_after_restart(
            _: upstream_link.KeyOrder,
        ) -> upstream_link.KeyReply:
            await restarted.wait()
            return upstream_link.KeyReply(
                answer=upstream_link.OrderAnswer.UNREACHABLE
            )

        gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), gateway_fixtures.Clock()
        )
        gateway.upstreams = dataclasses.replace(
            gateway.upstreams, grant_keys=refuse_after_restart
        )
        state = gateway_fixtures.make_granter_state(
            gateway, ownership.Ownership()
        )
        state.reserved_fence_limit = ownership.RESERVED_FENCES
        granter_upstreams.update_upstreams(state)
        ranges = key_ranges.split_key_space(2)
        state.ownership.table_by_service['s'] = key_ranges.make_table(ranges)
        for key_range in ranges:
            key_range.holder = 'u0'
            key_range.served = True
        renewals = [
            asyncio.ensure_future(key_orders.renew_grant(state, key_range))
            for key_range in ranges
        ]
        await asyncio.sleep(0)
        announced = gateway.state_cache.upstream_by_id
        announced['u0'] = dataclasses.replace(announced['u0'], incarnation=2)
        granter_upstreams.update_upstreams(state)
        restarted.set()
        await asyncio.gather(*renewals)
        self.assertIn('u0', key_assignment.list_eligible_upstreams(state, 's'))
