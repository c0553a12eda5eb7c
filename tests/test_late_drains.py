"""Test drains of which VMs hear late, as their granter is lost."""

import asyncio
import unittest
from typing import Any
from unittest import mock

import loguru

from lentilgauge.callers import upstream_choice
from lentilgauge.services import routes
from lentilgauge.upstreams import upstream_load
from tests import (
    gateway_fixtures,
    granting_model,
    granting_store,
    granting_upstreams,
    test_granting_model,
    test_succession,
    virtual_time,
)

_STEP_S = 0.01
_DRAIN_S = gateway_fixtures.BOUNDS.drain_ms / 1000
_EVACUATION_S = gateway_fixtures.BOUNDS.evacuate_ms / 1000


def list_sending_vms(
    model: granting_model.Model, upstream_id: str
) -> list[str]:
    """List the VMs that would send an upstream a request for its keys."""
    route = routes.Route(
        name='r',
        host='a',
        prefix='/',
        idempotent=True,
        timeout_ms=1000,
        target_ms=500,
        rank=0,
        max_attempts=1,
        weighted_services=(),
    )
    request = gateway_fixtures.make_request(route, model.now_ms())
    sending_vms = []
    for name, vm in model.vm_by_name.items():
        tables = vm.gateway.state_cache.ownership.table_by_service
        for key_range in tables[granting_upstreams.SERVICE].ranges:
            request.key = key_range.start
            chosen = upstream_choice.try_reserve_upstream(vm.gateway, request)
            if chosen is None:
                continue
            upstream_load.get_load(
                vm.gateway.upstream_loads, chosen.id
            ).in_flight -= 1
            if chosen.id == upstream_id:
                sending_vms.append(name)
    return sending_vms


class LateDrainsTest(unittest.TestCase):
    """A successor moves no keys until its predecessor's orders have ended."""

    def setUp(self) -> None:
        """Make a model without log lines."""
        loguru.logger.remove()
        self.model = granting_model.Model(virtual_time.VirtualLoop(), 1)

    def check_drain(self, list_delay_s: float) -> None:
        """Drain an upstream as the granter ends; check who sends after that.

        The successor's listings of objects take longer by a delay in seconds.
        """
        model = self.model
        sent_after_bound: list[tuple[float, list[str]]] = []
        list_topic = granting_store.ModelStore.list_topic
        draining = asyncio.Event()

        async def list_slowly(*arguments: Any) -> Any:
            if draining.is_set():
                await asyncio.sleep(list_delay_s)
            return await list_topic(*arguments)

        async def drain_as_granter_ends() -> None:
            await test_granting_model.start_all_vms(model)
            draining.set()
            model.kill_vm(test_granting_model.pick_granter(model))
            upstream = test_succession.drain_upstream(model, 'u1')
            await asyncio.sleep(gateway_fixtures.BOUNDS.drain_ms / 1000)
            while upstream.list_live_holds():
                sending_vms = list_sending_vms(model, 'u1')
                if sending_vms:
                    sent_after_bound.append((model.loop.time(), sending_vms))
                await asyncio.sleep(_STEP_S)

        with mock.patch.object(
            granting_store.ModelStore, 'list_topic', list_slowly
        ):
            virtual_time.run_and_close(model.loop, drain_as_granter_ends())
        self.assertEqual(sent_after_bound, [])
        self.assertEqual(model.violations, [])

    def test_no_vm_sends_to_a_drained_upstream_after_the_bound(self) -> None:
        """Guard against a bound that counts from when a VM hears of it."""
        self.check_drain(0)

    def test_a_successor_that_reads_slowly_delays_no_bound(self) -> None:
        """Guard against followers that take a granter's start for news."""
        self.check_drain(0.3)

    def test_an_evacuation_extends_no_drain(self) -> None:
        """Guard against the longer limit in place of the shorter one.

        No other upstream may take the keys, so that they stay where they are.
        """
        model = self.model
        sent_after_bound: list[tuple[float, list[str]]] = []

        async def drain_amid_evacuation() -> None:
            await test_granting_model.start_all_vms(model)
            model.kill_vm(test_granting_model.pick_granter(model))
            model.evacuate('d')
            test_succession.drain_upstream(model, 'u1')
            started = model.loop.time()
            while model.loop.time() < started + _EVACUATION_S:
                await asyncio.sleep(_STEP_S)
                sending_vms = list_sending_vms(model, 'u1')
                elapsed = model.loop.time() - started
                if sending_vms and elapsed > _DRAIN_S:
                    sent_after_bound.append((elapsed, sending_vms))

        virtual_time.run_and_close(model.loop, drain_amid_evacuation())
        self.assertEqual(sent_after_bound, [])
