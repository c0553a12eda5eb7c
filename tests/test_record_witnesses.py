"""Test leases while the witnesses that a record names are unknown."""

import unittest

from lentilgauge.vms import terms, witnesses
from tests import controller_model


async def start_model() -> controller_model.Model:
    """Start a model of four VMs and three upstreams; let it settle."""
    model = controller_model.Model(controller_count=4, upstream_count=3)
    await model.configure()
    await model.run_all_controllers(12)
    return model


def cut_platform(
    model: controller_model.Model, *, applies_writes: bool
) -> None:
    """Cut all controllers off from the platform, or only from its answers."""
    for vm_controller in model.controllers:
        requests = (vm_controller.vm_id, controller_model.PLATFORM)
        answers = (controller_model.PLATFORM, vm_controller.vm_id)
        model.network.cut_links.add(answers if applies_writes else requests)


async def rewrite_records(model: controller_model.Model) -> list[bool]:
    """Let each controller write its terms' records with fewer witnesses.

    Return whether each write is known to have succeeded.
    """
    writes = []
    for vm_controller in model.controllers:
        for lease_state in vm_controller.lease_state_by_upstream.values():
            record = vm_controller.replica.term_by_upstream[
                lease_state.upstream_id
            ]
            update = {'witnesses': record.witnesses[:1]}
            writes.append(
                await terms.write_term_record(
                    vm_controller,
                    lease_state,
                    record.model_copy(update=update),
                ),
            )
    return writes


class UnknownRecordWritesTest(unittest.IsolatedAsyncioTestCase):
    """Leases while it is unknown which witnesses a term's record names."""

    async def test_leases_stand_while_a_record_write_is_unknown(self) -> None:
        """A store outage that begins during a write stops no renewal."""
        for applies_writes in (False, True):
            with self.subTest(applies_writes=applies_writes):
                model = await start_model()
                cut_platform(model, applies_writes=applies_writes)
                self.assertEqual(set(await rewrite_records(model)), {False})
                for _ in range(60):
                    await model.run_all_controllers()
                    self.assertEqual(
                        model.count_served_slots(), controller_model.SLOT_COUNT
                    )
                model.close()

    async def test_each_set_that_a_record_may_name_must_vouch(self) -> None:
        """A later term asks one set to stop, so a quorum of it must count."""
        model = await start_model()
        cut_platform(model, applies_writes=False)
        await rewrite_records(model)
        for vm_controller in model.controllers:
            await witnesses.request_all_vouches(vm_controller)
            for lease_state in vm_controller.lease_state_by_upstream.values():
                now_ms = vm_controller.now_ms()
                self.assertTrue(witnesses.has_vouch_quorum(lease_state, now_ms))
                sole_witness = next(
                    member
                    for witness_set in lease_state.witness_sets
                    for member in witness_set.members
                    if len(witness_set.members) == 1
                )
                # The other two are still a quorum of the earlier set.
                lease_state.vouch_deadline_by_witness.pop(sole_witness)
                self.assertFalse(
                    witnesses.has_vouch_quorum(lease_state, now_ms)
                )
        model.close()

    async def test_no_vouch_counts_while_a_release_is_unknown(self) -> None:
        model = await start_model()
        cut_platform(model, applies_writes=True)
        for vm_controller in model.controllers:
            for lease_state in vm_controller.lease_state_by_upstream.values():
                record = vm_controller.replica.term_by_upstream[
                    lease_state.upstream_id
                ]
                released = record.model_copy(update={'released': True})
                await terms.write_term_record(
                    vm_controller, lease_state, released
                )
                await witnesses.request_all_vouches(vm_controller)
                self.assertFalse(
                    witnesses.has_vouch_quorum(
                        lease_state, vm_controller.now_ms()
                    )
                )
        model.close()
