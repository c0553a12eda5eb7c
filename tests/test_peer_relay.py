"""Test which peers confirm a VM's state while the platform is unreachable."""

import unittest

from lentilgauge.links import state_messages
from lentilgauge.vms import controller, peer_relay
from tests import controller_model

#: More peers than are all asked in one round.
PEER_COUNT = 40
#: Peers that are half of the VMs, the asking one included.
MINORITY_COUNT = 19
ROUND_MS = 1000


def start_model() -> controller_model.Model:
    """Start controllers of which the first knows all, without a platform."""
    model = controller_model.Model(
        controller_count=PEER_COUNT + 1, upstream_count=0
    )
    asking = model.controllers[0]
    for vm_controller in model.controllers:
        asking.replica.vm_by_id[vm_controller.vm_id] = state_messages.VmBody(
            failure_domain=vm_controller.vm.failure_domain,
            address=vm_controller.vm_id,
            port=1,
            incarnation=vm_controller.incarnation,
            state=state_messages.VmState.LIVE,
        )
    return model


def cut_peers(model: controller_model.Model, reachable_count: int) -> None:
    """Cut the first controller off from all peers but the first ones."""
    asking = model.controllers[0]
    for peer in model.controllers[reachable_count + 1 :]:
        model.network.cut_links.add((asking.vm_id, peer.vm_id))


async def ask_peers(
    model: controller_model.Model, round_count: int
) -> list[int | None]:
    """Return the age of the majority's confirmation after each round."""
    asking = model.controllers[0]
    ages_ms = []
    for _ in range(round_count):
        await peer_relay.read_peer_changes(asking)
        ages_ms.append(controller.get_freshness_age_ms(asking))
        model.advance(ROUND_MS)
    return ages_ms


class ManyPeersTest(unittest.IsolatedAsyncioTestCase):
    """Confirmation by a majority of more VMs than are asked in one round."""

    async def test_a_majority_of_those_asked_confirms_nothing(self) -> None:
        """Guard against a state confirmed by fewer than half of the VMs."""
        model = start_model()
        cut_peers(model, MINORITY_COUNT)
        self.assertEqual(set(await ask_peers(model, 30)), {None})
        model.close()

    async def test_a_majority_over_several_rounds_confirms(self) -> None:
        model = start_model()
        freshness_ms = model.controllers[0].section.entry_freshness_ms
        first, *later = await ask_peers(model, 30)
        self.assertIsNone(first)
        self.assertTrue(all(age_ms is not None for age_ms in later))
        self.assertLess(max(later), freshness_ms)
        # Once a majority is cut off, its earlier replies get old.
        cut_peers(model, MINORITY_COUNT)
        ages_ms = await ask_peers(model, 10)
        self.assertGreater(ages_ms[-1], freshness_ms)
        model.close()
