"""Learn from the platform's VM list that this VM is about to leave.

The list lags and errs, so it is a hint and no more: it makes a VM hand over
what it has, and takes nothing from any other.
"""

import asyncio

from returns import result

from lentilgauge import clock, logs
from lentilgauge.links import platform, state_messages
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership


async def check_vm_list(controller: controller_module.Controller) -> None:
    """Read the list once and start or stop leaving as it says."""
    read = await platform.list_vms(controller.platform)
    controller.metrics.count('platform_reads')
    if not isinstance(read, result.Success):
        return
    leaving = any(
        vm.id == controller.vm_id and vm.leaving for vm in read.unwrap().vms
    )
    if leaving == controller.leaving:
        return
    controller.leaving = leaving
    logs.log_change('the VM list changed', leaving=leaving)
    if leaving:
        await membership.announce_vm(
            controller,
            state_messages.VmState.LEAVING,
        )


async def follow_vm_list(controller: controller_module.Controller) -> None:
    """Check the list for as long as the process lives."""
    while True:
        await check_vm_list(controller)
        await asyncio.sleep(
            clock.to_seconds(controller.section.vm_list_ms),
        )
