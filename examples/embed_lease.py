"""Grant a lease, renew it and let it lapse, without any socket."""

import sys

from lentilgauge.contracts import holder, lease, lessor
from lentilgauge.services import placement, slots

LEASE_MS = 1200
START_MS = 1000
TERMS = lessor.Terms(lease_ms=LEASE_MS, drift_per_mille=2)


def exchange(
    held: holder.Holder,
    lent: lessor.Lessor,
    grant: lease.Grant,
    now_ms: int,
) -> None:
    """Carry a grant to the holder and its answer back."""
    accepted = holder.accept_grant(held, grant, now_ms)
    reply = lessor.GrantReply(
        incarnation=held.incarnation,
        clock_ms=now_ms,
        refusal=accepted.swap().value_or(None),
        token=held.token,
        busy_slots=frozenset(),
    )
    lessor.absorb_reply(lent, TERMS, grant, reply, now_ms)


def main() -> None:
    """Place eight slots on one server and follow its lease."""
    slot_map = slots.add_available(slots.make_slot_map(8), 'server-1', 1)
    wanted = tuple(
        lease.SlotGrant(slot, 1)
        for slot in placement.place_slots(slot_map, {'server-1': 1}, range(8))
    )
    held = holder.Holder(incarnation='first-run')
    lent = lessor.Lessor(upstream_id='server-1', term=1, lapse_deadline_ms=0)
    exchange(held, lent, lessor.make_poll(lent), START_MS)
    if lent.echo is not None:
        grant = lessor.make_grant(lent, TERMS, lent.echo, wanted)
        exchange(held, lent, grant, START_MS)
    for now_ms in (1500, 2500):
        refusal = holder.find_run_refusal(held, wanted[0], now_ms)
        lapsed = lessor.has_lapsed(lent, now_ms)
        sys.stdout.write(f'{now_ms}: {refusal or "may run"}, {lapsed=}\n')


if __name__ == '__main__':
    main()
