"""Test takeovers by VMs that haven't heard of the term that asks them."""

import asyncio
import unittest

import loguru

from lentilgauge.contracts import ownership
from lentilgauge.services import key_ranges
from lentilgauge.vms import granter_following
from tests import granting_model, test_granting_model, virtual_time

_PAUSE_S = 3
#: How long before the end of the pause the successor leaves.
_LEAD_S = 0.3


async def leave_before_thaw(model: granting_model.Model) -> None:
    """Have a successor leave just before its predecessor thaws.

    A breach is recorded if keys aren't held at any time after that.
    """
    await test_granting_model.start_all_vms(model)
    paused = test_granting_model.pick_granter(model)
    model.pause_vm(paused, _PAUSE_S)
    await asyncio.sleep(_PAUSE_S - _LEAD_S)
    successor = next(name for name in model.vm_names if name != paused)
    assert model.vm_by_name[successor].gateway.is_granter
    model.vm_by_name[successor].gateway.draining = True
    await asyncio.sleep(1)
    model.kill_vm(successor)
    for _ in range(120):
        await asyncio.sleep(0.1)
        held_keys = model.count_held_keys()
        if held_keys < key_ranges.KEY_COUNT:
            model.violations.append(f'only {held_keys} keys are held')


async def ask_twice_removed_vm(model: granting_model.Model) -> None:
    """Have a paused granter read a request of a term that was replaced."""
    await test_granting_model.start_all_vms(model)
    paused = test_granting_model.pick_granter(model)
    gateway = model.vm_by_name[paused].gateway
    model.pause_vm(paused, _PAUSE_S)
    await asyncio.sleep(_PAUSE_S)
    gateway.predecessor_term = gateway.state_cache.ownership.term
    gateway.predecessor_hold_ms = 1
    gateway.takeover_requested.set()
    await asyncio.sleep(4)
    model.granters_at_end = granting_model.find_granters(model)
    if paused in model.granters_at_end:
        model.violations.append('a running granter was replaced')


async def ask_unaware_vm(model: granting_model.Model) -> None:
    """Ask a VM to take over that doesn't know the term that asks it."""
    await test_granting_model.start_all_vms(model)
    granter = test_granting_model.pick_granter(model)
    asked = next(name for name in model.vm_names if name != granter)
    gateway = model.vm_by_name[asked].gateway
    gateway.state_cache.ownership = ownership.Ownership(term=1)
    model.kill_vm(granter)
    model.vm_by_name[asked].task.cancel()
    assert model.store.document is not None
    record = ownership.parse_record(model.store.document.body)
    assert record is not None
    model.store.write(
        ownership.make_record(
            ownership.Ownership(
                term=record.term + 1,
                granter=record.granter,
                vms=record.vms,
                next_fence=record.next_fence,
            )
        ),
        model.store.document.revision,
    )
    gateway.predecessor_term = record.term + 1
    gateway.predecessor_hold_ms = 1
    gateway.takeover_requested.set()
    await asyncio.wait_for(granter_following.follow_or_take_over(gateway), 0.05)
    model.granters_at_end = granting_model.find_granters(model)


class AskedTakeoverTest(unittest.TestCase):
    """A VM that was asked takes over from the term that has asked."""

    def setUp(self) -> None:
        """Make two VMs without log lines."""
        loguru.logger.remove()
        self.loop = virtual_time.VirtualLoop()
        self.model = granting_model.Model(self.loop, 1, vm_count=2)

    def test_a_superseded_granter_hears_a_request_at_its_thaw(self) -> None:
        """Guard against keys without holders until the VM stops waiting."""
        virtual_time.run_and_close(self.loop, leave_before_thaw(self.model))
        self.assertEqual(self.model.violations, [])

    def test_a_term_that_asks_is_not_left_to_grant(self) -> None:
        """Guard against a request lost to the reading of its own term."""
        virtual_time.run_and_close(self.loop, ask_unaware_vm(self.model))
        self.assertEqual(len(self.model.granters_at_end), 1)

    def test_a_request_of_a_replaced_term_replaces_no_granter(self) -> None:
        """Guard against a needless term from a request that came late."""
        virtual_time.run_and_close(self.loop, ask_twice_removed_vm(self.model))
        self.assertEqual(self.model.violations, [])
