"""Check grants to upstreams that return after all of a service were out."""

import asyncio
import unittest

import loguru

from lentilgauge.services import key_ranges
from tests import granting_model, test_granting_model, virtual_time

#: Longer than a hold, and than upstreams of a lost failure domain are out.
_DOWN_S = 5.5


class ServiceWithoutUpstreamsTest(unittest.TestCase):
    """Keys stay with their holders while no upstream is eligible."""

    def setUp(self) -> None:
        """Suppress log lines."""
        loguru.logger.remove()

    def test_renewals_in_a_long_outage_repeat_no_token(self) -> None:
        """Guard against a renewal that the next process at an address takes."""
        for new_id in (False, True):
            for checks_expected_ids in (False, True):
                with self.subTest((new_id, checks_expected_ids)):
                    self.return_all(
                        new_id=new_id, checks_expected_ids=checks_expected_ids
                    )

    def return_all(self, *, new_id: bool, checks_expected_ids: bool) -> None:
        """Stop all upstreams, and start others at their addresses later."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)
        model.checks_expected_ids = checks_expected_ids

        async def stop_and_return() -> None:
            await test_granting_model.start_all_vms(model)
            await asyncio.sleep(2)
            for name in model.upstream_by_name:
                model.kill_upstream(name, listed=True)
                model.call_later(
                    granting_model.ENTRY_EXPIRY_S,
                    model.expire_entry,
                    model.upstream_by_name[name],
                )
            await asyncio.sleep(_DOWN_S)
            model.order_count_by_upstream.clear()
            await asyncio.sleep(0.5)
            self.assertTrue(model.order_count_by_upstream)
            for name in tuple(model.upstream_by_name):
                model.start_upstream(name, new_id=new_id, announced_after=0.4)
            await asyncio.sleep(8)
            self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)

        virtual_time.run_and_close(loop, stop_and_return())
        self.assertEqual(model.violations, [])
