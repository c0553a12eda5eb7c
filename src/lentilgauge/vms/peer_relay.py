"""Read the platform's changes from peers while the platform is unreachable.

If only this controller has lost the platform, it gets changes from peers that
still reach the platform. If no controller reaches it, the configuration stays
fresh as long as a majority of the VMs replies with nothing newer.
"""

import asyncio

from returns import result

from lentilgauge import clock
from lentilgauge.links import relay_link, state_messages
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import replica

#: Most peers asked in one round, however many there are.
MAX_PEERS_PER_ROUND = 15
_NO_WAIT_MS = 0


def list_peers(controller: controller_module.Controller) -> list[str]:
    """List the base URLs of the peers to ask.

    If there are too many for one round, a random sample is listed.
    """
    peer_urls = [
        f'http://{vm.address}:{vm.port}'
        for vm_id, vm in sorted(controller.replica.vm_by_id.items())
        if vm_id != controller.vm_id and vm.state is state_messages.VmState.LIVE
    ]
    if len(peer_urls) > MAX_PEERS_PER_ROUND:
        return controller.random.sample(peer_urls, MAX_PEERS_PER_ROUND)
    return peer_urls


async def _ask_peer(
    controller: controller_module.Controller,
    base_url: str,
) -> bool:
    """Apply a peer's changes and confirmation; return whether it replied."""
    sent_ms = controller.now_ms()
    response = await relay_link.fetch_changes(
        controller.client,
        base_url,
        relay_link.ChangesRequest(
            after=controller.position_by_url.get(
                base_url, relay_link.NO_POSITION
            ),
            wait_ms=_NO_WAIT_MS,
            timeout_ms=controller.section.call_timeout_ms,
        ),
    )
    if not isinstance(response, result.Success):
        return False
    message = response.unwrap()
    await replica.apply_changes(controller.replica, message.changed, 0)
    controller.position_by_url[base_url] = relay_link.Position(
        message.source,
        message.serial,
    )
    age_ms = message.confirmed_age_ms
    if age_ms is not None:
        confirmed_ms = controller.replica.confirmed_ms
        controller.replica.confirmed_ms = max(
            sent_ms - age_ms,
            sent_ms - age_ms if confirmed_ms is None else confirmed_ms,
        )
    return True


async def read_peer_changes(controller: controller_module.Controller) -> None:
    """Ask the peers once, and note the time if a majority replied."""
    sent_ms = controller.now_ms()
    peer_urls = list_peers(controller)
    replied = await asyncio.gather(
        *(_ask_peer(controller, base_url) for base_url in peer_urls),
    )
    # The majority is of this VM, which counts as a reply, and the peers that
    # were asked.
    if 2 * (sum(replied) + 1) > len(peer_urls) + 1:
        controller.majority_confirmed_ms = sent_ms
    controller.metrics.count('peer_relay_rounds')


async def keep_reading_from_peers(
    controller: controller_module.Controller,
) -> None:
    """Ask the peers whenever the platform's confirmation gets old."""
    interval_ms = controller.section.confirm_ms
    while True:
        age_ms = controller_module.get_confirmed_age_ms(controller)
        # A watch without changes also confirms the replica, each `watch_ms`.
        if age_ms is not None and age_ms > 2 * interval_ms:
            await read_peer_changes(controller)
        await asyncio.sleep(clock.to_seconds(interval_ms))
