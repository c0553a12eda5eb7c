"""Check that keys move only once earlier granters send no more orders."""

import asyncio
import unittest

import loguru

from lentilgauge.contracts import grant_timing
from lentilgauge.services import key_ranges
from tests import (
    granting_model,
    test_granting_model,
    test_succession,
    virtual_time,
)


def find_followers(model: granting_model.Model) -> list[str]:
    """List the VMs other than the granter."""
    granter = test_granting_model.pick_granter(model)
    return [vm for vm in model.vm_names if vm != granter]


class EarlierOrdersTest(unittest.TestCase):
    """An upstream that restarts after a release knows no fencing tokens."""

    def setUp(self) -> None:
        """Suppress log lines."""
        loguru.logger.remove()

    def test_a_handover_amid_the_wait_admits_no_superseded_granter(
        self,
    ) -> None:
        """Guard against a granter that hands over before the first ends."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def hand_over_early() -> None:
            await test_granting_model.start_all_vms(model)
            first = test_granting_model.pick_granter(model)
            test_succession.cut_from_all_vms(model, first)
            await test_succession.wait_until(
                lambda: len(granting_model.find_granters(model)) == 2
            )
            model.store.unreachable_for.add(first)
            first_lapses = loop.time() + grant_timing.GRANTER_GRACE_MS / 1000
            await asyncio.sleep(0.3)
            second = next(
                vm for vm in granting_model.find_granters(model) if vm != first
            )
            model.vm_by_name[second].gateway.draining = True
            await test_succession.wait_until(
                lambda: (
                    granting_model.find_granters(model) not in ([first], [])
                    and second not in granting_model.find_granters(model)
                )
            )
            upstream = test_succession.drain_upstream(model, 'u1')
            await test_succession.wait_until(
                lambda: not upstream.list_live_holds()
            )
            self.assertGreater(loop.time(), first_lapses)
            model.kill_upstream('u1', listed=True)
            model.start_upstream('u1')
            await asyncio.sleep(7)
            self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)

        virtual_time.run_and_close(loop, hand_over_early())
        self.assertEqual(model.violations, [])

    def test_a_drain_after_a_handover_does_not_wait(self) -> None:
        """Guard against a wait for a granter that has said that it stopped."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def drain_after_handover() -> None:
            await test_granting_model.start_all_vms(model)
            granter = test_granting_model.pick_granter(model)
            model.vm_by_name[granter].gateway.draining = True
            await test_succession.wait_until(
                lambda: (
                    granting_model.find_granters(model) not in ([granter], [])
                )
            )
            upstream = test_succession.drain_upstream(model, 'u1')
            await asyncio.sleep(0.2)
            self.assertEqual(upstream.list_live_holds(), [])
            self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)

        virtual_time.run_and_close(loop, drain_after_handover())
        self.assertEqual(model.violations, [])

    def test_a_drain_after_a_lost_granter_ends_within_two_seconds(
        self,
    ) -> None:
        """Guard against a wait without end; the keys stay held meanwhile."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def drain_after_loss() -> None:
            await test_granting_model.start_all_vms(model)
            model.kill_vm(test_granting_model.pick_granter(model))
            await test_succession.wait_until(
                lambda: bool(granting_model.find_granters(model))
            )
            upstream = test_succession.drain_upstream(model, 'u1')
            unheld_ms = 0
            for _ in range(2000):
                await asyncio.sleep(0.001)
                unheld_ms += model.count_held_keys() < key_ranges.KEY_COUNT
            self.assertEqual(upstream.list_live_holds(), [])
            self.assertLess(unheld_ms, 20)

        virtual_time.run_and_close(loop, drain_after_loss())
        self.assertEqual(model.violations, [])

    def test_an_upstream_that_restarts_amid_the_wait_gets_its_keys(
        self,
    ) -> None:
        """Guard against a restarted holder that waits for its renewal."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def restart_holder() -> None:
            await test_granting_model.start_all_vms(model)
            model.kill_vm(test_granting_model.pick_granter(model))
            await test_succession.wait_until(
                lambda: bool(granting_model.find_granters(model))
            )
            await asyncio.sleep(0.3)
            model.kill_upstream('u1', listed=True)
            model.start_upstream('u1')
            self.assertTrue(await model.wait_until_all_keys_held(0.2))

        virtual_time.run_and_close(loop, restart_holder())
        self.assertEqual(model.violations, [])

    def test_a_drain_ends_if_most_vms_are_lost(self) -> None:
        """Guard against a wait for VMs that don't return."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def drain_at_survivor() -> None:
            await test_granting_model.start_all_vms(model)
            for vm in find_followers(model)[1:]:
                model.kill_vm(vm)
            model.kill_vm(test_granting_model.pick_granter(model))
            await test_succession.wait_until(
                lambda: bool(granting_model.find_granters(model))
            )
            upstream = test_succession.drain_upstream(model, 'u1')
            await asyncio.sleep(2)
            self.assertEqual(upstream.list_live_holds(), [])
            self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)

        virtual_time.run_and_close(loop, drain_at_survivor())
        self.assertEqual(model.violations, [])

    def test_a_granter_that_most_vms_follow_takes_no_keys_back(self) -> None:
        """Guard against a former granter that lasts without the store."""
        for start_ms in range(0, 1000, 200):
            with self.subTest(start_ms=start_ms):
                self.restart_beside_two_granters(start_ms)

    def restart_beside_two_granters(self, start_ms: int) -> None:
        """Restart an upstream after its release to a granter without VMs."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def restart_after_release() -> None:
            await test_granting_model.start_all_vms(model)
            await asyncio.sleep(start_ms / 1000)
            successor = find_followers(model)[0]
            test_succession.cut_from_all_vms(model, successor)
            model.store.unreachable_for.update(model.vm_names)
            model.store.unreachable_for.discard(successor)
            await test_succession.wait_until(
                lambda: successor in granting_model.find_granters(model)
            )
            upstream = test_succession.drain_upstream(model, 'u1')
            await test_succession.wait_until(
                lambda: not upstream.list_live_holds()
            )
            model.kill_upstream('u1', listed=True)
            model.start_upstream('u1')
            await asyncio.sleep(4)
            self.assertEqual(len(granting_model.find_granters(model)), 2)

        virtual_time.run_and_close(loop, restart_after_release())
        self.assertEqual(model.violations, [])
