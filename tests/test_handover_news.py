"""Test how soon VMs hear of the granter that another has handed over to."""

import asyncio
import unittest
from collections.abc import Callable

import loguru

from tests import granting_model, test_granting_model, virtual_time

_VM_COUNT = 5
_UPSTREAM_COUNT = 2
_STEP_S = 0.01
_MAX_STEPS = 1000
#: A configuration must be in force 2 s after its acknowledgement; a granter
#: that is cut off needs up to 1.7 s of that to notice.
_NEWS_BOUND_S = 0.3


class HandoverNewsTest(unittest.TestCase):
    """A granter that loses the store hands over while VMs follow it."""

    def test_followers_hear_of_a_successor_at_once(self) -> None:
        """Guard against VMs that follow each other after a handover."""
        loguru.logger.remove()
        late: list[tuple[int, float]] = []
        for seed in range(10):
            model = granting_model.Model(
                virtual_time.VirtualLoop(), seed, _VM_COUNT, _UPSTREAM_COUNT
            )
            delays_s: list[float] = []
            virtual_time.run_and_close(
                model.loop, measure_delay(model, delays_s)
            )
            self.assertEqual(model.violations, [])
            late.extend(
                (seed, round(delay_s, 2))
                for delay_s in delays_s
                if delay_s > _NEWS_BOUND_S
            )
        self.assertEqual(late, [])


async def measure_delay(
    model: granting_model.Model, delays_s: list[float]
) -> None:
    """Cut the granter off from the store; note how late the last VM hears.

    The delay in seconds counts from the start of the next term.
    """
    await test_granting_model.start_all_vms(model)
    first = test_granting_model.pick_granter(model)
    model.store.unreachable_for.add(first)
    await wait_until(
        lambda: granting_model.find_granters(model) not in ([], [first])
    )
    started_at = model.loop.time()
    successor = test_granting_model.pick_granter(model)
    term = model.vm_by_name[successor].gateway.state_cache.ownership.term
    await wait_until(
        lambda: all(
            vm.gateway.state_cache.ownership.term >= term
            for vm in model.vm_by_name.values()
        )
    )
    delays_s.append(model.loop.time() - started_at)


async def wait_until(is_met: Callable[[], bool]) -> None:
    """Wait until a condition is met; fail after some seconds."""
    for _ in range(_MAX_STEPS):
        if is_met():
            return
        await asyncio.sleep(_STEP_S)
    raise AssertionError('the condition did not become true')
