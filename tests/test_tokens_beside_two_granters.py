"""Test tokens that processes accept while two VMs may grant."""

import unittest

import loguru

from tests import granting_model, test_granting_model, virtual_time

#: Faults in which a granter goes on without the store, beside its successor.
_SEED = 69_951_491
_FAULT_COUNT = 14


class TokensBesideTwoGrantersTest(unittest.TestCase):
    """Most VMs follow a granter that the store has superseded."""

    def test_a_restarted_process_takes_no_lower_token(self) -> None:
        """Guard against a grant of the former granter to a new process."""
        loguru.logger.remove()
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, _SEED, 3, 2)
        model.exchanges_addresses = True
        model.refuses_cut_calls = True
        test_granting_model.run_faults(model, _FAULT_COUNT)
        self.assertEqual(model.violations, [])
