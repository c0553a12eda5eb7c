"""Check that an upstream that was out of reach is assigned keys again."""

import asyncio
import unittest

import loguru

from lentilgauge.links import peer_link
from lentilgauge.upstreams import suspicions, upstream_load
from tests import granting_model, test_granting_model, virtual_time

#: One key in each of so many equal spans is requested in each step.
_REQUESTED_SPANS = 64
_SPAN = 1024
_STEP_S = 0.1


async def run_under_load(
    model: granting_model.Model, seconds: float, name: str
) -> float:
    """Report load on all keys; return for how long an upstream held none.

    The time is that from now until it first holds keys, in seconds.
    """
    started_ms = model.now_ms()
    report = peer_link.Report(
        counts_by_service={
            's': [(span * _SPAN, 10) for span in range(_REQUESTED_SPANS)]
        },
    )
    waited_s = seconds
    while model.now_ms() - started_ms < seconds * 1000:
        for granter in granting_model.find_granters(model):
            pending = model.vm_by_name[granter].gateway.pending_reports
            pending.append(report)
        await asyncio.sleep(_STEP_S)
        model.check_holds()
        if model.upstream_by_name[name].list_live_holds():
            waited_s = min(waited_s, (model.now_ms() - started_ms) / 1000)
    return waited_s


def cut_from_all_vms(model: granting_model.Model, name: str) -> None:
    """Lose all messages from VMs to an upstream, which stays announced."""
    model.cut_links |= {(vm, name) for vm in model.vm_names}


def count_checks(model: granting_model.Model) -> int:
    """Count the checks of all VMs that have been sent and have ended."""
    return sum(
        count
        for vm in model.vm_by_name.values()
        for key, count in vm.gateway.metrics.count_by_key.items()
        if key.family == 'upstream_checks'
    )


def list_suspecting_vms(model: granting_model.Model) -> list[str]:
    """List the VMs that take u1 for one that may be cold."""
    now_ms = model.now_ms()
    return [
        name
        for name, vm in model.vm_by_name.items()
        if suspicions.is_suspect(
            vm.gateway.state_cache.upstream_by_id['u1'],
            upstream_load.get_load(
                vm.gateway.upstream_loads, 'u1'
            ).reachability,
            now_ms,
        )
    ]


class ReturningUpstreamsTest(unittest.TestCase):
    """An upstream that answers orders again gets keys within seconds."""

    def setUp(self) -> None:
        """Suppress log lines."""
        loguru.logger.remove()

    def run_scenario(self, scenario: object) -> granting_model.Model:
        """Run a scenario under load; no invariant may be violated."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)
        assert callable(scenario)

        async def start_and_run() -> None:
            await test_granting_model.start_all_vms(model)
            await run_under_load(model, 3, 'u1')
            await scenario(model)

        virtual_time.run_and_close(loop, start_and_run())
        self.assertEqual(model.violations, [])
        return model

    def test_an_upstream_in_reach_again_gets_keys_within_three_seconds(
        self,
    ) -> None:
        """Guard against an upstream without keys for the rest of a term."""
        for cut_s in (5.5, 10, 31):

            async def scenario(
                model: granting_model.Model, cut_s: float = cut_s
            ) -> None:
                cut_from_all_vms(model, 'u1')
                await run_under_load(model, cut_s, 'u1')
                upstream = model.upstream_by_name['u1']
                self.assertEqual(upstream.list_live_holds(), [])
                model.cut_links.clear()
                self.assertLess(await run_under_load(model, 12, 'u1'), 3)

            with self.subTest(cut_s=cut_s):
                self.run_scenario(scenario)

    def test_all_vms_suspect_a_restart_before_keys_return(self) -> None:
        """Guard against a full load on a cold process not yet announced."""

        async def scenario(model: granting_model.Model) -> None:
            model.refuses_when_down = True
            model.kill_upstream('u1', listed=True)
            await run_under_load(model, 4, 'u1')
            model.start_upstream('u1', announced_after=60)
            upstream = model.upstream_by_name['u1']
            waited_s: float = 0
            while waited_s < 6 and not upstream.list_live_holds():
                waited_s += await run_under_load(model, _STEP_S, 'u1')
            self.assertEqual(list_suspecting_vms(model), model.vm_names)

        self.run_scenario(scenario)

    def test_an_absent_upstream_is_checked_every_two_seconds_at_most(
        self,
    ) -> None:
        """Guard against a connection for each tick of the granter."""

        async def scenario(model: granting_model.Model) -> None:
            cut_from_all_vms(model, 'u1')
            await run_under_load(model, 8, 'u1')
            orders_before = model.order_count_by_upstream['u1']
            await run_under_load(model, 20, 'u1')
            orders = model.order_count_by_upstream['u1'] - orders_before
            self.assertIn(orders, range(6, 11))

        self.run_scenario(scenario)

    def test_no_upstream_is_checked_at_rest(self) -> None:
        """Guard against checks while no upstream is unresponsive."""

        async def scenario(model: granting_model.Model) -> None:
            model.start_upstream('u9')
            await run_under_load(model, 10, 'u9')
            self.assertEqual(count_checks(model), 0)
            cut_from_all_vms(model, 'u1')
            await run_under_load(model, 10, 'u1')
            self.assertGreater(count_checks(model), 0)

        self.run_scenario(scenario)

    def test_an_unsteady_upstream_waits_longer_each_time(self) -> None:
        """Guard against keys that are unserved again and again."""

        async def scenario(model: granting_model.Model) -> None:
            waits = []
            for _ in range(8):
                cut_from_all_vms(model, 'u1')
                await run_under_load(model, 5, 'u1')
                model.cut_links.clear()
                wait_s: float = 0
                upstream = model.upstream_by_name['u1']
                while wait_s < 20 and not upstream.list_live_holds():
                    wait_s += await run_under_load(model, 0.2, 'u1')
                waits.append(wait_s)
            self.assertLess(waits[0], 3)
            for wait_s in waits[-2:]:
                self.assertGreater(wait_s, 8)
                self.assertLess(wait_s, 18)

        self.run_scenario(scenario)
