"""Open terms for upstreams and keep their records on the platform.

A term is the numbered right of one controller to grant an upstream's lease.
An earlier term is settled once none of its grants can be in force any more.
"""

import asyncio
import dataclasses

from returns import result

from lentilgauge import clock, logs
from lentilgauge.contracts import lessor, witness
from lentilgauge.links import state_messages
from lentilgauge.services import placement
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import (
    membership,
    object_writes,
    replica,
    settlement,
    witnesses,
)

_OPEN_TERMS_INTERVAL_MS = 500
_SETTLE_INTERVAL_MS = 300

#: The record of an upstream that has had no term yet.
_EMPTY_RECORD = state_messages.TermBody(
    controller='',
    incarnation='',
    term=0,
    witnesses=[],
)


def _make_object_name(upstream_id: str) -> str:
    return f'{state_messages.TERM_PREFIX}{upstream_id}'


def holds_term(
    controller: controller_module.Controller,
    upstream_id: str,
) -> bool:
    """Check whether this process owns an upstream's latest known term."""
    record = controller.replica.term_by_upstream.get(upstream_id)
    return (
        record is not None
        and record.controller == controller.vm_id
        and record.incarnation == controller.incarnation
    )


def find_current_lease(
    controller: controller_module.Controller,
    upstream_id: str,
) -> lessor.Lessor | None:
    """Return the state of a lease whose latest term this process owns.

    If the response to a write was lost, the platform may have recorded a
    term of this process that has no state here. The result is then `None`,
    so that the process opens a new term.
    """
    record = controller.replica.term_by_upstream.get(upstream_id)
    lease_state = controller.lease_state_by_upstream.get(upstream_id)
    if record is None or lease_state is None or record.term != lease_state.term:
        return None
    return lease_state if holds_term(controller, upstream_id) else None


def list_missing_terms(controller: controller_module.Controller) -> list[str]:
    """List the upstreams for which this VM should open a term."""
    domain_by_vm = membership.map_live_domains(controller)
    if controller.vm_id not in domain_by_vm or controller.leaving:
        return []
    return [
        upstream.id
        for upstream in controller.replica.config.upstream_by_id.values()
        if find_current_lease(controller, upstream.id) is None
        and placement.choose_controller(
            upstream.id,
            upstream.failure_domain,
            domain_by_vm,
        )
        == controller.vm_id
    ]


def _list_unsettled_terms(
    previous_record: state_messages.TermBody,
) -> list[state_messages.EarlierTerm]:
    if previous_record.released:
        # No lease is open, and only the new term's controller can open one.
        return []
    previous_term = state_messages.EarlierTerm(
        controller=previous_record.controller,
        incarnation=previous_record.incarnation,
        term=previous_record.term,
        witnesses=previous_record.witnesses,
    )
    return [*previous_record.unsettled, previous_term]


async def open_term(
    controller: controller_module.Controller,
    upstream_id: str,
) -> None:
    """Open a new term for an upstream and settle the earlier ones."""
    previous_record = (
        controller.replica.term_by_upstream.get(upstream_id) or _EMPTY_RECORD
    )
    record = previous_record.model_copy(
        update={
            'controller': controller.vm_id,
            'incarnation': controller.incarnation,
            'term': previous_record.term + 1,
            'witnesses': witnesses.choose_witnesses(controller, upstream_id),
            'unsettled': _list_unsettled_terms(previous_record),
        },
    )
    write = await object_writes.write_if_unchanged(
        controller,
        _make_object_name(upstream_id),
        record,
    )
    stepped_down_term = controller.stepped_down_term_by_upstream.get(
        upstream_id, 0
    )
    if (
        not isinstance(write, result.Success)
        or record.term <= stepped_down_term
    ):
        return
    now_ms = controller.now_ms()
    previous_state = controller.lease_state_by_upstream.get(upstream_id)
    new_lease_state = lessor.Lessor(
        upstream_id=upstream_id,
        term=record.term,
        checks_tokens=_checks_tokens(controller, upstream_id),
        lapse_deadline_ms=None if record.unsettled else now_ms,
        earlier_terms_lapse_ms=None if record.unsettled else now_ms,
        term_opened_ms=now_ms,
        own_grants_lapse_ms=0
        if previous_state is None
        else previous_state.own_grants_lapse_ms,
    )
    new_lease_state.witness_sets.add(
        _make_witness_set(write.unwrap().version, record)
    )
    controller.lease_state_by_upstream[upstream_id] = new_lease_state
    logs.log_change('opened a term', upstream=upstream_id, term=record.term)
    await _prepare_to_grant(controller, new_lease_state)
    await settlement.settle_earlier_terms(controller, new_lease_state)


async def _prepare_to_grant(
    controller: controller_module.Controller,
    new_lease_state: lessor.Lessor,
) -> None:
    """Reread the slot map before granting.

    An earlier term may have acted on a newer version than the known one.
    """
    upstream = controller.replica.config.upstream_by_id.get(
        new_lease_state.upstream_id
    )
    if upstream is None:
        return
    new_lease_state.ready = await object_writes.refresh_object(
        controller,
        f'{state_messages.ASSIGNMENT_PREFIX}{upstream.service}',
    )


def _checks_tokens(
    controller: controller_module.Controller,
    upstream_id: str,
) -> bool:
    upstream = controller.replica.config.upstream_by_id.get(upstream_id)
    return upstream is not None and upstream.checks_tokens


def _make_witness_set(
    version: int, record: state_messages.TermBody
) -> witness.WitnessSet:
    return witness.WitnessSet(
        version=version,
        members=frozenset(
            witness.WitnessId(
                vm=witness_body.vm, incarnation=witness_body.incarnation
            )
            for witness_body in record.witnesses
        ),
    )


def _adopt_written_witnesses(
    lease_state: lessor.Lessor, written_set: witness.WitnessSet
) -> None:
    """Drop the sets of versions that a successful write has ruled out."""
    lease_state.witness_sets = {
        witness_set
        for witness_set in lease_state.witness_sets
        if witness_set.version > written_set.version
    }
    lease_state.witness_sets.add(written_set)
    # A vouch is for the term, whichever version names the witness.
    lease_state.vouch_deadline_by_witness = {
        witness_id: deadline_ms
        for witness_id, deadline_ms in (
            lease_state.vouch_deadline_by_witness.items()
        )
        if any(
            witness_id in witness_set.members
            for witness_set in lease_state.witness_sets
        )
    }


async def open_missing_terms(
    controller: controller_module.Controller,
) -> None:
    """Open every term that placement now assigns to this VM."""
    upstream_ids = list_missing_terms(controller)
    await asyncio.gather(
        *(open_term(controller, upstream_id) for upstream_id in upstream_ids),
    )


async def keep_opening_terms(controller: controller_module.Controller) -> None:
    """Open missing terms until the task is cancelled."""
    # Peers start together, so the first list of live VMs is incomplete.
    await asyncio.sleep(clock.to_seconds(_OPEN_TERMS_INTERVAL_MS))
    while True:
        await open_missing_terms(controller)
        await controller_module.wait_for_change(
            controller, _OPEN_TERMS_INTERVAL_MS
        )


def _drop_lapsed_terms(controller: controller_module.Controller) -> None:
    """Drop the state of terms owned no longer once their grants have lapsed."""
    now_ms = controller.now_ms()
    for upstream_id, lease_state in list(
        controller.lease_state_by_upstream.items()
    ):
        lapsed = now_ms >= lease_state.own_grants_lapse_ms
        if lapsed and find_current_lease(controller, upstream_id) is None:
            controller.lease_state_by_upstream.pop(upstream_id)


async def settle_terms_once(
    controller: controller_module.Controller,
) -> None:
    """Settle earlier terms and update this VM's term records, once."""
    _drop_lapsed_terms(controller)
    current_leases = [
        current_lease
        for current_lease in list(controller.lease_state_by_upstream.values())
        if find_current_lease(controller, current_lease.upstream_id)
        is current_lease
        and not current_lease.stepped_down
    ]
    await asyncio.gather(
        *(
            settlement.settle_earlier_terms(controller, current_lease)
            for current_lease in current_leases
            if current_lease.lapse_deadline_ms is None
        ),
        *(
            _prepare_to_grant(controller, current_lease)
            for current_lease in current_leases
            if not current_lease.ready
        ),
    )
    await asyncio.gather(
        *(
            _refresh_record(controller, current_lease)
            for current_lease in current_leases
        )
    )


async def settle_terms(controller: controller_module.Controller) -> None:
    """Settle terms and update records until the task is cancelled."""
    while True:
        await settle_terms_once(controller)
        await asyncio.sleep(clock.to_seconds(_SETTLE_INTERVAL_MS))


def _is_record_current(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    record: state_messages.TermBody,
) -> bool:
    """Check that a record needs no rewrite.

    It must name enough witnesses, all of them live, and no settled term.
    """
    if record.unsettled and settlement.is_settled(controller, lease_state):
        return False
    domain_by_vm = membership.map_live_domains(controller)
    witness_count = min(
        witnesses.MAX_WITNESSES, len(domain_by_vm.keys() - {controller.vm_id})
    )
    live_witnesses = [
        witness_body
        for witness_body in record.witnesses
        if witness_body.vm in domain_by_vm
        and controller.replica.vm_by_id[witness_body.vm].incarnation
        == witness_body.incarnation
    ]
    return len(live_witnesses) >= witness_count and len(live_witnesses) == len(
        record.witnesses
    )


async def _refresh_record(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
) -> None:
    """Rewrite a term's record if it is outdated.

    That is after a witness was lost, an earlier term was settled or a write
    had an unknown outcome, and only while the platform confirms the replica.
    """
    record = controller.replica.term_by_upstream.get(lease_state.upstream_id)
    age_ms = controller_module.get_confirmed_age_ms(controller)
    confirmed = age_ms is not None and (
        age_ms < controller.section.confirm_grace_ms
    )
    if record is None or record.term != lease_state.term or not confirmed:
        return
    if (
        _is_record_current(controller, lease_state, record)
        and not lease_state.record_uncertain
    ):
        return
    await write_term_record(
        controller,
        lease_state,
        record.model_copy(
            update={
                'witnesses': witnesses.choose_witnesses(
                    controller,
                    lease_state.upstream_id,
                ),
                'unsettled': []
                if settlement.is_settled(controller, lease_state)
                else record.unsettled,
            },
        ),
    )


async def write_term_record(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    new_record: state_messages.TermBody,
) -> bool:
    """Write the record of a term and return whether the write succeeded.

    After a failure the record is uncertain: the write may have been applied.
    """
    name = _make_object_name(lease_state.upstream_id)
    # Until the write is confirmed, the record may name the witnesses of
    # either version.
    possible_set = _make_witness_set(
        replica.get_version(controller.replica, name) + 1, new_record
    )
    if new_record.released:
        # No later term accounts for grants of a lease that may be released, so
        # no vouch counts.
        possible_set = dataclasses.replace(possible_set, members=frozenset())
    lease_state.record_uncertain = True
    lease_state.witness_sets.add(possible_set)
    write = await object_writes.write_if_unchanged(controller, name, new_record)
    if not isinstance(write, result.Success):
        return False
    lease_state.record_uncertain = False
    stored = write.unwrap()
    _adopt_written_witnesses(
        lease_state,
        _make_witness_set(
            stored.version,
            state_messages.TermBody.model_validate(stored.body),
        ),
    )
    return True
