"""Check what a granter may conclude from the message of an earlier one."""

import unittest

import loguru

from lentilgauge.contracts import grant_timing, ownership
from lentilgauge.services import key_ranges
from lentilgauge.vms import granter_state
from tests import (
    gateway_fixtures,
)


class SuccessionTest(unittest.TestCase):
    """A successor waits for every grant that may still last."""

    def setUp(self) -> None:
        """Suppress log lines."""
        loguru.logger.remove()

    def test_a_handover_counts_the_holds_of_previous_holders(self) -> None:
        """Guard against a successor that grants keys still held elsewhere."""
        clock = gateway_fixtures.Clock()
        state = granter_state.GranterState(
            gateway=gateway_fixtures.make_gateway(
                gateway_fixtures.ScriptedUpstreams(), clock
            ),
            ownership=ownership.Ownership(),
            revision=1,
            recorded_fence_limit=0,
            reserved_fence_limit=0,
            confirmed_ms=0,
            inherited_grants_end_ms=0,
        )
        key_range = key_ranges.KeyRange(
            start=0,
            end=9,
            holder='u0',
            hold_end_ms=clock.now_ms + grant_timing.DEFAULT_HOLD_MS,
            hold_end_ms_by_previous_holder={'u1': clock.now_ms + 9000},
        )
        state.ownership.table_by_service['s'] = key_ranges.make_table(
            [key_range]
        )
        remaining_ms = granter_state.bound_remaining_grants_ms(state)
        self.assertEqual(remaining_ms, 9000)
