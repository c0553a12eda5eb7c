"""Begin a term over a record that predates the store's return to a copy."""

import msgspec

from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.contracts import store_eras
from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import long_poll, peer_views


async def rebuild_record(
    gateway: gateway_module.Gateway,
    record: ownership_module.Record,
    era: int,
) -> ownership_module.Record:
    """Rebuild a record of an earlier era from what VMs have in memory.

    The result has the later of the recorded ownership and the one that this VM
    followed, as of the record's granter. Its term and tokens are such that the
    next term is above all terms of which the record, this VM or a peer knows,
    and above those that nobody knows any more. Its `unsettled` has every known
    granter, and one without a name for those that are unknown.
    """
    views = await peer_views.query_views(gateway)
    await _learn_ownership(gateway, views)
    known = ownership_module.make_record(gateway.state_cache.ownership)
    latest = max(record, known, key=lambda each: (each.term, each.serial))
    known_term = max(latest.term, *(view.term for view in views), 0)
    # The next term adds 1.
    previous_term = store_eras.compute_term(known_term, record.era, era) - 1
    earlier_granters = _list_earlier_granters(record, known, views)
    return msgspec.structs.replace(
        latest,
        term=previous_term,
        next_fence=_compute_first_fence(record, known, views, era),
        fence_floor=0,
        # If nobody knows of a term, this is the fleet's first.
        unsettled=earlier_granters if known_term else (),
        rows_by_service={
            service: tuple(_complete_row(gateway, row) for row in rows)
            for service, rows in latest.rows_by_service.items()
        },
        era=era,
    )


async def _learn_ownership(
    gateway: gateway_module.Gateway, views: list[peer_link.ViewMessage]
) -> None:
    """Take newer ownership, if any, of the peer that knows of the latest.

    That is the one that last heard of the granter of the latest term.
    """
    latest = max(
        views, key=lambda view: (view.term, -view.age_ms), default=None
    )
    if latest and latest.term >= gateway.state_cache.ownership.term:
        await long_poll.follow_once(gateway, latest.peer.address, wait_ms=0)


def _compute_first_fence(
    record: ownership_module.Record,
    known: ownership_module.Record,
    views: list[peer_link.ViewMessage],
    era: int,
) -> int:
    """Compute the first fencing token, above all known and all lost ones."""
    known_fence = max(
        store_eras.bound_fences(record),
        store_eras.bound_fences(known),
        *(view.fence_limit for view in views),
        1,
    )
    return store_eras.compute_fence(known_fence, record.era, era)


def _complete_row(
    gateway: gateway_module.Gateway, row: ownership_module.RangeRow
) -> ownership_module.RangeRow:
    """Complete a row that this VM knows only as its followed granter sent it.

    It lacks the holder's process and address. The present ones will do, as no
    key is granted before all earlier holds have ended.
    """
    holder = gateway.state_cache.upstream_by_id.get(row.holder)
    if row.life or holder is None:
        return row
    return msgspec.structs.replace(
        row, life=holder.incarnation, address=holder.address
    )


def _list_earlier_granters(
    record: ownership_module.Record,
    known: ownership_module.Record,
    views: list[peer_link.ViewMessage],
) -> tuple[ownership_module.Granter, ...]:
    """List the earlier granters that may not have stopped, each once."""
    vms = record.vms or known.vms
    if not vms:
        vms = tuple(sorted(view.peer.vm for view in views))
    granters = [
        *record.unsettled,
        *known.unsettled,
        record.granter,
        known.granter,
        *(view.granter for view in views),
    ]
    granter_by_incarnation = {
        granter.incarnation: msgspec.structs.replace(
            granter, vms=granter.vms or vms
        )
        for granter in granters
        if granter.vm
    }
    return (
        ownership_module.Granter(vms=vms),
        *granter_by_incarnation.values(),
    )
