"""Start to hand over when the platform's VM list says that this VM leaves.

The list may be late or wrong, so it is only a hint: a VM listed as leaving
hands over its own terms, but no other VM takes anything from it because of
the list.
"""

import asyncio

from returns import result

from lentilgauge import clock, logs
from lentilgauge.links import object_api, state_messages
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership


async def apply_vm_list(controller: controller_module.Controller) -> None:
    """Read the list once and start or cancel the handover accordingly."""
    response = await object_api.list_vms(controller.platform_link)
    controller.metrics.count('platform_reads')
    if not isinstance(response, result.Success):
        return
    is_leaving = any(
        vm.id == controller.vm_id and vm.leaving for vm in response.unwrap().vms
    )
    if is_leaving == controller.leaving:
        return
    controller.leaving = is_leaving
    logs.log_change(
        "this VM's state in the VM list changed", leaving=is_leaving
    )
    if is_leaving:
        await membership.announce_vm(
            controller,
            state_messages.VmState.LEAVING,
        )


async def keep_checking_vm_list(
    controller: controller_module.Controller,
) -> None:
    """Check the list until the task is cancelled."""
    while True:
        await apply_vm_list(controller)
        await asyncio.sleep(
            clock.to_seconds(controller.section.vm_list_ms),
        )
