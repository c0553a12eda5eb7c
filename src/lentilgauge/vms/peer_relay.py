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

#: Up to this many peers are all asked in each round.
PEERS_PER_ROUND = 15
#: Rounds in which a majority of the VMs is asked, if there are more peers.
_ROUNDS_PER_MAJORITY = 2
_NO_WAIT_MS = 0
_NEVER_MS = -1


def list_peers(controller: controller_module.Controller) -> list[str]:
    """List the base URLs of all live peers."""
    return [
        f'http://{vm.address}:{vm.port}'
        for vm_id, vm in sorted(controller.replica.vm_by_id.items())
        if vm_id != controller.vm_id and vm.state is state_messages.VmState.LIVE
    ]


def _count_majority_peers(peer_count: int) -> int:
    """Count the peers that are a majority of the VMs with this VM."""
    return (peer_count + 1) // 2


def choose_peers(
    controller: controller_module.Controller, peer_urls: list[str]
) -> list[str]:
    """Choose the peers to ask in one round, those asked longest ago first."""
    asked_count = max(
        PEERS_PER_ROUND,
        -(-_count_majority_peers(len(peer_urls)) // _ROUNDS_PER_MAJORITY),
    )
    if len(peer_urls) <= asked_count:
        return peer_urls
    # Peers that were asked at the same time are taken in a random order.
    shuffled = controller.random.sample(peer_urls, len(peer_urls))
    asked_ms_by_url = controller.asked_ms_by_url
    return sorted(
        shuffled,
        key=lambda base_url: asked_ms_by_url.get(base_url, _NEVER_MS),
    )[:asked_count]


def _find_majority_ms(
    controller: controller_module.Controller,
    peer_urls: list[str],
    now_ms: int,
) -> int | None:
    """Return since when a majority has replied, counting this VM as of now.

    `None` means that fewer have ever replied.
    """
    replied_ms = sorted(
        (
            controller.replied_ms_by_url[base_url]
            for base_url in peer_urls
            if base_url in controller.replied_ms_by_url
        ),
        reverse=True,
    )
    times_ms = [now_ms, *replied_ms]
    needed_count = _count_majority_peers(len(peer_urls))
    return times_ms[needed_count] if needed_count < len(times_ms) else None


async def _ask_peer(
    controller: controller_module.Controller,
    base_url: str,
) -> None:
    """Apply a peer's changes and confirmation, if it replies."""
    sent_ms = controller.now_ms()
    controller.asked_ms_by_url[base_url] = sent_ms
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
        return
    message = response.unwrap()
    await replica.apply_changes(controller.replica, message.changed, 0)
    controller.position_by_url[base_url] = relay_link.Position(
        message.source,
        message.serial,
    )
    controller.replied_ms_by_url[base_url] = sent_ms
    age_ms = message.confirmed_age_ms
    if age_ms is not None:
        confirmed_ms = controller.replica.confirmed_ms
        controller.replica.confirmed_ms = max(
            sent_ms - age_ms,
            sent_ms - age_ms if confirmed_ms is None else confirmed_ms,
        )


async def read_peer_changes(controller: controller_module.Controller) -> None:
    """Ask peers once, and note since when a majority of the VMs has replied."""
    now_ms = controller.now_ms()
    peer_urls = list_peers(controller)
    await asyncio.gather(
        *(
            _ask_peer(controller, base_url)
            for base_url in choose_peers(controller, peer_urls)
        ),
    )
    majority_ms = _find_majority_ms(controller, peer_urls, now_ms)
    if majority_ms is not None:
        controller.majority_confirmed_ms = max(
            majority_ms, controller.majority_confirmed_ms or majority_ms
        )
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
