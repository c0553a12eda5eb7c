"""Test heartbeats to a VM whose address another process has taken."""

import unittest

import loguru

from lentilgauge.links import http_server, state_messages
from lentilgauge.operators import http_routes
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership
from tests import controller_model

_LOST_VM = '10.0.0.3'
#: More than a VM is waited for.
_ROUNDS = 40
_LIVE = state_messages.VmState.LIVE


async def fail(_: http_server.Request) -> http_server.Response:
    """Answer as a process that knows no heartbeats."""
    return http_server.Response(status=404)


class HeartbeatsTest(unittest.IsolatedAsyncioTestCase):
    """Three VMs, of which one is lost."""

    async def asyncSetUp(self) -> None:
        """Start the VMs."""
        loguru.logger.remove()
        self.model = controller_model.Model(
            controller_count=3, upstream_count=1
        )
        self.addCleanup(self.model.close)
        await self.model.run_all_controllers(times=5)
        self.assertTrue(self.is_live(self.model.controllers[0]))

    def is_live(self, controller: controller_module.Controller) -> bool:
        """Return whether a VM counts as live at a controller."""
        return controller.replica.vm_by_id[_LOST_VM].state is _LIVE

    async def replace_lost_vm(self, routes: http_server.Routes) -> bool:
        """Have a process answer at the lost VM's address; return if live."""
        self.model.controllers.pop()
        self.model.network.routes_by_name[_LOST_VM] = routes
        await self.model.run_all_controllers(times=_ROUNDS)
        return self.is_live(self.model.controllers[0])

    async def test_another_vm_at_its_address_does_not_keep_a_vm_live(
        self,
    ) -> None:
        """Guard against a VM that is replaced at its address."""
        other = self.model.make_controller('10.0.0.9', 3)
        self.assertFalse(
            await self.replace_lost_vm(http_routes.make_relay_routes(other))
        )

    async def test_an_error_does_not_keep_a_vm_live(self) -> None:
        routes = {http_server.Route('GET', membership.HEARTBEAT_PATH): fail}
        self.assertFalse(await self.replace_lost_vm(routes))

    async def test_a_vm_that_answers_stays_live(self) -> None:
        await self.model.run_all_controllers(times=_ROUNDS)
        self.assertTrue(self.is_live(self.model.controllers[0]))

    async def test_a_vm_of_an_earlier_version_stays_live(self) -> None:
        """Guard against losing VMs in a rolling update."""

        async def answer_without_body(
            _: http_server.Request,
        ) -> http_server.Response:
            return http_server.Response()

        routes = self.model.network.routes_by_name[_LOST_VM]
        self.assertTrue(
            await self.replace_lost_vm(
                {
                    **routes,
                    http_server.Route(
                        'GET', membership.HEARTBEAT_PATH
                    ): answer_without_body,
                }
            )
        )
