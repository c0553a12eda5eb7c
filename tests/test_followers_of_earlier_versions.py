"""Test a successor whose followers name no replies, as earlier versions."""

import asyncio
import unittest
from unittest import mock

import loguru

from lentilgauge.vms import gateway as gateway_module
from tests import granting_model, test_granting_model, virtual_time

#: Time after which the VMs' reports of an outage at their start are over.
_REPORTS_OVER_S = 20


async def lose_granter_and_upstream(model: granting_model.Model) -> None:
    """End the granter and an upstream for good."""
    await test_granting_model.start_all_vms(model)
    await asyncio.sleep(_REPORTS_OVER_S)
    model.kill_vm(test_granting_model.pick_granter(model))
    model.kill_upstream('u1', listed=False)
    if not await model.wait_until_all_keys_held(8):
        model.violations.append(f'only {model.count_held_keys()} keys are held')


class EarlierFollowersTest(unittest.TestCase):
    """VMs are updated one after another."""

    def test_a_successor_finds_out_that_they_follow_it(self) -> None:
        """Guard against keys that wait until most VMs are updated."""
        loguru.logger.remove()
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)
        with mock.patch.object(
            gateway_module.Gateway, 'receipt', mock.PropertyMock()
        ) as receipt:
            receipt.return_value = None
            virtual_time.run_and_close(loop, lose_granter_and_upstream(model))
        self.assertEqual(model.violations, [])
