"""Keep up through peers while the platform is out of reach.

A controller that alone is cut off learns what is new from peers that are
not. Where nobody reaches the platform, the word of most VMs that they know
nothing newer keeps the configuration fresh.
"""

import asyncio

from returns import result

from lentilgauge import clock
from lentilgauge.links import relay, state_messages
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import replica

#: No more peers are asked in one round, however many there are.
MOST_ASKED = 15
_NO_WAIT_MS = 0


def list_peers(controller: controller_module.Controller) -> list[str]:
    """List the base URLs of the VMs to ask."""
    others = [
        f'http://{vm.address}:{vm.port}'
        for vm_id, vm in sorted(controller.replica.vm_by_id.items())
        if vm_id != controller.vm_id and vm.state is state_messages.VmState.LIVE
    ]
    if len(others) > MOST_ASKED:
        return controller.random.sample(others, MOST_ASKED)
    return others


async def _ask_peer(
    controller: controller_module.Controller,
    base_url: str,
) -> bool:
    """Take on what a peer knows; tell whether it answered."""
    asked_ms = controller.now_ms()
    fetched = await relay.fetch_changes(
        controller.client,
        base_url,
        relay.Wanted(
            after=controller.mark_by_url.get(base_url, relay.NO_MARK),
            wait_ms=_NO_WAIT_MS,
            timeout_ms=controller.section.call_timeout_ms,
        ),
    )
    if not isinstance(fetched, result.Success):
        return False
    message = fetched.unwrap()
    await replica.take_changes(controller.replica, message.changed, 0)
    controller.mark_by_url[base_url] = relay.Mark(
        message.source,
        message.serial,
    )
    age_ms = message.confirmed_age_ms
    if age_ms is not None:
        confirmed_ms = controller.replica.confirmed_ms
        controller.replica.confirmed_ms = max(
            asked_ms - age_ms,
            asked_ms - age_ms if confirmed_ms is None else confirmed_ms,
        )
    return True


async def ask_peers(controller: controller_module.Controller) -> None:
    """Ask the peers once, and note whether most of them answered."""
    asked_ms = controller.now_ms()
    peers = list_peers(controller)
    answered = await asyncio.gather(
        *(_ask_peer(controller, base_url) for base_url in peers),
    )
    # This VM is one of them: with it, more than half must agree.
    if 2 * (sum(answered) + 1) > len(peers) + 1:
        controller.majority_ms = asked_ms
    controller.metrics.count('peer_relay_rounds')


async def follow_peers(controller: controller_module.Controller) -> None:
    """Ask the peers for as long as the platform confirms nothing."""
    interval_ms = controller.section.confirm_ms
    while True:
        age_ms = controller_module.get_confirmed_age_ms(controller)
        # A watch without changes confirms once in its waiting time.
        if age_ms is not None and age_ms > 2 * interval_ms:
            await ask_peers(controller)
        await asyncio.sleep(clock.to_seconds(interval_ms))
