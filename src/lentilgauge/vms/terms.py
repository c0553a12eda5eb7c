"""Take over the leases of upstreams, term by term, through the platform."""

import asyncio

from returns import result

from lentilgauge import clock, logs
from lentilgauge.contracts import lessor
from lentilgauge.links import state_messages
from lentilgauge.services import placement
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership, object_writes, settlement, witnesses

_TICK_MS = 500
_SETTLE_TICK_MS = 300


#: What stands before an upstream's first term.
_NO_TERM = state_messages.TermBody(
    controller='',
    incarnation='',
    term=0,
    witnesses=[],
)


def _name(upstream_id: str) -> str:
    return f'{state_messages.TERM_PREFIX}{upstream_id}'


def holds_term(
    controller: controller_module.Controller,
    upstream_id: str,
) -> bool:
    """Tell whether the platform's last word gave this controller the term."""
    body = controller.replica.term_by_upstream.get(upstream_id)
    return (
        body is not None
        and body.controller == controller.vm_id
        and body.incarnation == controller.incarnation
    )


def find_held(
    controller: controller_module.Controller,
    upstream_id: str,
) -> lessor.Lessor | None:
    """Find the lease that this controller grants in the latest term.

    Where a write's answer was lost, the platform can have given us a term
    that we know nothing of: then another has to be opened.
    """
    body = controller.replica.term_by_upstream.get(upstream_id)
    held = controller.lessor_by_upstream.get(upstream_id)
    if body is None or held is None or body.term != held.term:
        return None
    return held if holds_term(controller, upstream_id) else None


def list_missing_terms(controller: controller_module.Controller) -> list[str]:
    """List the upstreams whose lease this controller should grant."""
    domain_by_vm = membership.list_live_domains(controller)
    if controller.vm_id not in domain_by_vm or controller.leaving:
        return []
    return [
        upstream.id
        for upstream in controller.replica.config.upstream_by_id.values()
        if find_held(controller, upstream.id) is None
        and placement.choose_controller(
            upstream.id,
            upstream.failure_domain,
            domain_by_vm,
        )
        == controller.vm_id
    ]


def _list_unsettled(
    old: state_messages.TermBody,
) -> list[state_messages.EarlierTerm]:
    if old.released:
        # Nothing is held, and nobody but us could open another lease.
        return []
    latest = state_messages.EarlierTerm(
        controller=old.controller,
        incarnation=old.incarnation,
        term=old.term,
        witnesses=old.witnesses,
    )
    return [*old.unsettled, latest]


async def take_over(
    controller: controller_module.Controller,
    upstream_id: str,
) -> None:
    """Open a new term for an upstream."""
    old = controller.replica.term_by_upstream.get(upstream_id) or _NO_TERM
    body = old.model_copy(
        update={
            'controller': controller.vm_id,
            'incarnation': controller.incarnation,
            'term': old.term + 1,
            'witnesses': witnesses.choose_witnesses(controller, upstream_id),
            'unsettled': _list_unsettled(old),
        },
    )
    written = await object_writes.write_model(
        controller,
        _name(upstream_id),
        body,
    )
    stepped_down = controller.stepped_down_by_upstream.get(upstream_id, 0)
    if not isinstance(written, result.Success) or body.term <= stepped_down:
        return
    now_ms = controller.now_ms()
    before = controller.lessor_by_upstream.get(upstream_id)
    taken = lessor.Lessor(
        upstream_id=upstream_id,
        term=body.term,
        checks_tokens=_checks_tokens(controller, upstream_id),
        lapse_deadline_ms=None if body.unsettled else now_ms,
        settled_ms=None if body.unsettled else now_ms,
        opened_ms=now_ms,
        granted_deadline_ms=0 if before is None else before.granted_deadline_ms,
    )
    _adopt_witnesses(taken, body)
    controller.lessor_by_upstream[upstream_id] = taken
    logs.log_change('took a term', upstream=upstream_id, term=body.term)
    await _make_ready(controller, taken)
    await settlement.settle_term(controller, taken)


async def _make_ready(
    controller: controller_module.Controller,
    taken: lessor.Lessor,
) -> None:
    """Read the slot map anew: earlier terms may have acted on a newer one."""
    upstream = controller.replica.config.upstream_by_id.get(taken.upstream_id)
    if upstream is None:
        return
    taken.ready = await object_writes.refresh_object(
        controller,
        f'{state_messages.ASSIGNMENT_PREFIX}{upstream.service}',
    )


def _checks_tokens(
    controller: controller_module.Controller,
    upstream_id: str,
) -> bool:
    upstream = controller.replica.config.upstream_by_id.get(upstream_id)
    return upstream is not None and upstream.checks_tokens


def _adopt_witnesses(
    held: lessor.Lessor,
    body: state_messages.TermBody,
) -> None:
    held.vouch_deadline_by_vm.clear()
    held.incarnation_by_witness = {
        named.vm: named.incarnation for named in body.witnesses
    }


async def take_missing_terms(
    controller: controller_module.Controller,
) -> None:
    """Take every term that now falls to this VM."""
    missing = list_missing_terms(controller)
    await asyncio.gather(
        *(take_over(controller, upstream_id) for upstream_id in missing),
    )


async def divide_upstreams(controller: controller_module.Controller) -> None:
    """Take the terms that fall to this VM as others come and go."""
    # Peers start together: what they find in the first moment isn't all.
    await asyncio.sleep(clock.to_seconds(_TICK_MS))
    while True:
        await take_missing_terms(controller)
        await controller_module.wait_for_change(controller, _TICK_MS)


def _forget_lapsed(controller: controller_module.Controller) -> None:
    """Forget lost terms once none of their grants can be held any more."""
    now_ms = controller.now_ms()
    for upstream_id, held in list(controller.lessor_by_upstream.items()):
        lapsed = now_ms >= held.granted_deadline_ms
        if lapsed and find_held(controller, upstream_id) is None:
            controller.lessor_by_upstream.pop(upstream_id)


async def settle_held_terms(
    controller: controller_module.Controller,
) -> None:
    """Settle the held terms once, and bring their records up to date."""
    _forget_lapsed(controller)
    held = [
        one
        for one in list(controller.lessor_by_upstream.values())
        if find_held(controller, one.upstream_id) is one
        and not one.stepped_down
    ]
    await asyncio.gather(
        *(
            settlement.settle_term(controller, one)
            for one in held
            if one.lapse_deadline_ms is None
        ),
        *(_make_ready(controller, one) for one in held if not one.ready),
    )
    await asyncio.gather(*(_refresh_record(controller, one) for one in held))


async def settle_terms(controller: controller_module.Controller) -> None:
    """Settle the held terms for as long as the process lives."""
    while True:
        await settle_held_terms(controller)
        await asyncio.sleep(clock.to_seconds(_SETTLE_TICK_MS))


def _is_record_current(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    body: state_messages.TermBody,
) -> bool:
    """Tell whether a record names live witnesses and no settled term."""
    if body.unsettled and settlement.is_settled(controller, held):
        return False
    live = membership.list_live_domains(controller)
    wanted = min(witnesses.NAMED, len(live.keys() - {controller.vm_id}))
    good = [
        named
        for named in body.witnesses
        if named.vm in live
        and controller.replica.vm_by_id[named.vm].incarnation
        == named.incarnation
    ]
    return len(good) >= wanted and len(good) == len(body.witnesses)


async def _refresh_record(
    controller: controller_module.Controller,
    held: lessor.Lessor,
) -> None:
    """Rewrite a term's record where witnesses went or a term is settled."""
    body = controller.replica.term_by_upstream.get(held.upstream_id)
    age_ms = controller_module.get_confirmed_age_ms(controller)
    confirmed = age_ms is not None and (
        age_ms < controller.section.confirm_grace_ms
    )
    if body is None or body.term != held.term or not confirmed:
        return
    if _is_record_current(controller, held, body) and not held.record_unsure:
        return
    await write_record(
        controller,
        held,
        body.model_copy(
            update={
                'witnesses': witnesses.choose_witnesses(
                    controller,
                    held.upstream_id,
                ),
                'unsettled': []
                if settlement.is_settled(controller, held)
                else body.unsettled,
            },
        ),
    )


async def write_record(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    changed: state_messages.TermBody,
) -> bool:
    """Change the record of a held term; tell whether that is certain."""
    # While it is unsure which witnesses the record names, none may vouch.
    held.record_unsure = True
    held.vouch_deadline_by_vm.clear()
    held.incarnation_by_witness = {}
    written = await object_writes.write_model(
        controller,
        _name(held.upstream_id),
        changed,
    )
    if not isinstance(written, result.Success):
        return False
    held.record_unsure = False
    _adopt_witnesses(held, changed)
    return True
