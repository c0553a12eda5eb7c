"""Grant a lease and let it expire, without any network I/O."""

import sys

from lentilgauge.contracts import holder, lease, lessor
from lentilgauge.services import placement, slots

LEASE_MS = 1200
START_MS = 1000
TERMS = lessor.LeaseTiming(lease_ms=LEASE_MS, drift_per_mille=2)


def deliver_grant(
    lease_holder: holder.Holder,
    lease_state: lessor.Lessor,
    grant: lease.Grant,
    now_ms: int,
) -> None:
    """Deliver a grant to the holder and its reply to the lessor."""
    accepted = holder.accept_grant(lease_holder, grant, now_ms)
    reply = lessor.GrantReply(
        incarnation=lease_holder.incarnation,
        clock_ms=now_ms,
        refusal=accepted.swap().value_or(None),
        token=lease_holder.token,
        busy_slots=frozenset(),
    )
    lessor.apply_reply(lease_state, TERMS, grant, reply, now_ms)


def main() -> None:
    """Place eight slots on one server and print the state of its lease."""
    slot_map = slots.add_lease(slots.make_slot_map(8), 'server-1', 1)
    slot_grants = tuple(
        lease.SlotGrant(slot, 1)
        for slot in placement.place_slots(slot_map, {'server-1': 1}, range(8))
    )
    lease_holder = holder.Holder(incarnation='first-run')
    lease_state = lessor.Lessor(
        upstream_id='server-1', term=1, lapse_deadline_ms=0
    )
    deliver_grant(
        lease_holder, lease_state, lessor.make_poll(lease_state), START_MS
    )
    if lease_state.clock_reading is not None:
        grant = lessor.make_grant(
            lease_state, TERMS, lease_state.clock_reading, slot_grants
        )
        deliver_grant(lease_holder, lease_state, grant, START_MS)
    for now_ms in (1500, 2500):
        refusal = holder.find_run_refusal(lease_holder, slot_grants[0], now_ms)
        lapsed = lessor.has_lapsed(lease_state, now_ms)
        sys.stdout.write(f'{now_ms}: {refusal or "may run"}, {lapsed=}\n')


if __name__ == '__main__':
    main()
