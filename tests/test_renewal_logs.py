"""Test that interrupted renewals of leases are logged."""

import unittest
from unittest import mock

from lentilgauge import logs
from tests import controller_model


class RenewalLogsTest(unittest.IsolatedAsyncioTestCase):
    """A log line must say why a lease is not renewed."""

    async def start_model(self) -> controller_model.Model:
        """Start a model with one upstream and let it settle."""
        model = controller_model.Model(controller_count=4, upstream_count=1)
        await model.configure()
        await model.run_all_controllers(12)
        return model

    async def list_stop_reasons(
        self, model: controller_model.Model, rounds: int
    ) -> list[object]:
        """Run the controllers and list the reasons logged for stops."""
        with mock.patch.object(logs, 'log_change') as log_change:
            await model.run_all_controllers(rounds)
        return [
            call.kwargs['reason']
            for call in log_change.call_args_list
            if call.args[0] == 'renewals stopped'
        ]

    async def test_undisturbed_renewals_are_not_reported(self) -> None:
        model = await self.start_model()
        self.assertEqual(await self.list_stop_reasons(model, 30), [])
        model.close()

    async def test_missing_vouches_are_named(self) -> None:
        model = await self.start_model()
        for source in model.controllers:
            for target in model.network.routes_by_name:
                if target not in model.upstreams:
                    model.network.cut_links.add((source.vm_id, target))
        self.assertEqual(
            await self.list_stop_reasons(model, 80), ['not vouched for']
        )
        model.close()

    async def test_late_grants_are_named(self) -> None:
        model = await self.start_model()
        model.advance(1500)
        self.assertEqual(
            await self.list_stop_reasons(model, 10), ['grants late']
        )
        model.close()
