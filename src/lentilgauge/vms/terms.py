"""Take over the leases of upstreams, term by term, through the platform."""

import asyncio

import pydantic
from returns import result

from lentilgauge import clock, logs
from lentilgauge.contracts import lessor
from lentilgauge.links import http_client, http_server, state_messages
from lentilgauge.services import placement
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership, object_writes, witnesses

STEP_DOWN_PATH = '/peer/step-down/'
_TICK_MS = 500
_SETTLE_TICK_MS = 200


#: What stands before an upstream's first term.
_NO_TERM = state_messages.TermBody(
    controller='',
    incarnation='',
    term=0,
    witnesses=[],
)


class StepDownMessage(pydantic.BaseModel):
    """Promise that an older term grants no more.

    `lapse_in_ms` is how long its last grant may still be held, `None` where
    the answering controller can't promise that.
    """

    lapse_in_ms: int | None


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


def list_missing_terms(controller: controller_module.Controller) -> list[str]:
    """List the upstreams whose lease this controller should grant."""
    domain_by_vm = membership.list_live_domains(controller)
    if controller.vm_id not in domain_by_vm or controller.leaving:
        return []
    return [
        upstream.id
        for upstream in controller.replica.config.upstream_by_id.values()
        if not holds_term(controller, upstream.id)
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
    if not isinstance(written, result.Success):
        return
    now_ms = controller.now_ms()
    taken = lessor.Lessor(
        upstream_id=upstream_id,
        term=body.term,
        lapse_deadline_ms=None if body.unsettled else now_ms,
        settled_ms=None if body.unsettled else now_ms,
        opened_ms=now_ms,
    )
    _adopt_witnesses(taken, body)
    controller.lessor_by_upstream[upstream_id] = taken
    logs.log_change('took a term', upstream=upstream_id, term=body.term)
    await _make_ready(controller, taken)
    await settle_term(controller, taken)


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


def _adopt_witnesses(
    held: lessor.Lessor,
    body: state_messages.TermBody,
) -> None:
    held.vouch_deadline_by_vm.clear()
    held.incarnation_by_witness = {
        named.vm: named.incarnation for named in body.witnesses
    }


async def settle_term(
    controller: controller_module.Controller,
    taken: lessor.Lessor,
) -> None:
    """Find out when the grants of all earlier terms have lapsed."""
    body = controller.replica.term_by_upstream.get(taken.upstream_id)
    if body is None or body.term != taken.term:
        return
    ends_ms = await asyncio.gather(
        *(_settle_earlier(controller, taken, old) for old in body.unsettled),
    )
    known_ms = [end_ms for end_ms in ends_ms if end_ms is not None]
    if len(known_ms) == len(ends_ms) and taken.lapse_deadline_ms is None:
        taken.settled_ms = max(known_ms, default=controller.now_ms())
        taken.lapse_deadline_ms = max(
            taken.settled_ms,
            taken.granted_deadline_ms,
        )


async def _settle_earlier(
    controller: controller_module.Controller,
    taken: lessor.Lessor,
    old: state_messages.EarlierTerm,
) -> int | None:
    """Return when one earlier term's grants have lapsed, `None` if unknown.

    Either its controller says so, or its witnesses no longer vouch for it
    and the platform's last confirmation of it has worn off.
    """
    stepped_ms = await _ask_to_step_down(controller, taken, old)
    if stepped_ms is not None:
        return stepped_ms
    released_ms = await witnesses.release_old_term(controller, taken, old)
    if released_ms is None:
        return None
    section = controller.section
    terms = controller.terms
    worn_off_ms = taken.opened_ms + lessor.stretch(
        terms,
        section.confirm_grace_ms,
    )
    return max(worn_off_ms, released_ms) + lessor.stretch(
        terms,
        section.lease_ms,
    )


async def _ask_to_step_down(
    controller: controller_module.Controller,
    taken: lessor.Lessor,
    old: state_messages.EarlierTerm,
) -> int | None:
    """Return when the old term's last grant lapses, if its holder answers."""
    vm = controller.replica.vm_by_id.get(old.controller)
    if vm is None:
        return None
    sent = await http_client.send_call(
        controller.client,
        http_client.Call(
            method='POST',
            url=(
                f'http://{vm.address}:{vm.port}'
                f'{STEP_DOWN_PATH}{taken.upstream_id}'
            ),
            timeout_ms=controller.section.call_timeout_ms,
            body=old.model_dump_json().encode(),
        ),
    )
    if not isinstance(sent, result.Success):
        return None
    try:
        message = StepDownMessage.model_validate_json(sent.unwrap().body)
    except pydantic.ValidationError:
        return None
    if message.lapse_in_ms is None:
        return None
    span_ms = lessor.stretch(controller.terms, message.lapse_in_ms)
    return controller.now_ms() + span_ms


def step_down(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> http_server.Response:
    """Stop granting in a term and say when its last grant lapses."""
    upstream_id = request.path.removeprefix(STEP_DOWN_PATH)
    old = state_messages.EarlierTerm.model_validate_json(request.body)
    mine = controller.lessor_by_upstream.get(upstream_id)
    asked = (old.controller, old.incarnation)
    if asked != (controller.vm_id, controller.incarnation):
        return http_server.respond(StepDownMessage(lapse_in_ms=None))
    if mine is None or mine.term != old.term:
        return http_server.respond(StepDownMessage(lapse_in_ms=None))
    if not mine.stepped_down:
        mine.stepped_down = True
        logs.log_change('stepped down', upstream=upstream_id, term=old.term)
    lapse_ms = max(mine.granted_deadline_ms, mine.lapse_deadline_ms or 0)
    left_ms = max(0, lapse_ms - controller.now_ms())
    return http_server.respond(StepDownMessage(lapse_in_ms=left_ms))


async def divide_upstreams(controller: controller_module.Controller) -> None:
    """Take the terms that fall to this VM as others come and go."""
    # Peers start together: what they find in the first moment isn't all.
    await asyncio.sleep(clock.to_seconds(_TICK_MS))
    while True:
        missing = list_missing_terms(controller)
        await asyncio.gather(
            *(take_over(controller, upstream_id) for upstream_id in missing),
        )
        await controller_module.wait_for_change(controller, _TICK_MS)


async def settle_terms(controller: controller_module.Controller) -> None:
    """Settle the terms that aren't, and keep their records up to date."""
    while True:
        held = [
            one
            for one in list(controller.lessor_by_upstream.values())
            if holds_term(controller, one.upstream_id) and not one.stepped_down
        ]
        await asyncio.gather(
            *(
                settle_term(controller, one)
                for one in held
                if one.lapse_deadline_ms is None
            ),
        )
        await asyncio.gather(
            *(_make_ready(controller, one) for one in held if not one.ready),
        )
        await asyncio.gather(
            *(_refresh_record(controller, one) for one in held),
        )
        await asyncio.sleep(clock.to_seconds(_SETTLE_TICK_MS))


def is_settled(
    controller: controller_module.Controller,
    held: lessor.Lessor,
) -> bool:
    """Tell whether no earlier term's grant can still be held."""
    settled_ms = held.settled_ms
    return settled_ms is not None and controller.now_ms() >= settled_ms


def _is_record_current(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    body: state_messages.TermBody,
) -> bool:
    """Tell whether a record names live witnesses and no settled term."""
    if body.unsettled and is_settled(controller, held):
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
                if is_settled(controller, held)
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
