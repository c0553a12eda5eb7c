"""Take over the leases of upstreams, term by term, through the platform."""

import asyncio

import pydantic
from returns import result

from lentilgauge import clock, logs
from lentilgauge.contracts import lessor
from lentilgauge.links import http_client, http_server, state_messages
from lentilgauge.services import placement
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership, object_writes

STEP_DOWN_PATH = '/peer/step-down/'
_TICK_MS = 500


class StepDownMessage(pydantic.BaseModel):
    """Promise that an older term grants no more.

    `lapse_in_ms` is how long its last grant may still be held, `None` where
    the answering controller never granted in that term.
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


async def take_over(
    controller: controller_module.Controller,
    upstream_id: str,
) -> None:
    """Open a new term for an upstream and ask the old one to step down."""
    old = controller.replica.term_by_upstream.get(upstream_id)
    body = state_messages.TermBody(
        controller=controller.vm_id,
        incarnation=controller.incarnation,
        term=1 if old is None else old.term + 1,
        write_ids=[] if old is None else old.write_ids,
    )
    written = await object_writes.write_model(
        controller,
        _name(upstream_id),
        body,
    )
    if not isinstance(written, result.Success):
        return
    taken = lessor.Lessor(
        upstream_id=upstream_id,
        term=body.term,
        lapse_deadline_ms=None if old else controller.now_ms(),
        allowance_deadline_ms=_find_allowance_deadline(controller),
    )
    controller.lessor_by_upstream[upstream_id] = taken
    logs.log_change('took a term', upstream=upstream_id, term=body.term)
    if old is not None:
        await _ask_to_step_down(controller, taken, old)


async def _ask_to_step_down(
    controller: controller_module.Controller,
    taken: lessor.Lessor,
    old: state_messages.TermBody,
) -> None:
    """Learn when the old term's last grant lapses, if its holder answers."""
    vm = controller.replica.vm_by_id.get(old.controller)
    if vm is None:
        return
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
    if isinstance(sent, result.Success):
        _absorb_step_down(controller, taken, sent.unwrap())


def _find_allowance_deadline(controller: controller_module.Controller) -> int:
    """Bound how long a silent old controller's grants may be held.

    It grants no later than its allowance after the platform last confirmed
    its term, which was before the new term was written.
    """
    section = controller.section
    span_ms = section.outage_allowance_ms + section.lease_ms
    drift_ms = span_ms * section.clock_drift_per_mille // clock.MS_PER_SECOND
    return controller.now_ms() + span_ms + drift_ms + 1


def _absorb_step_down(
    controller: controller_module.Controller,
    taken: lessor.Lessor,
    reply: http_client.Reply,
) -> None:
    try:
        message = StepDownMessage.model_validate_json(reply.body)
    except pydantic.ValidationError:
        return
    if message.lapse_in_ms is not None and taken.lapse_deadline_ms is None:
        taken.lapse_deadline_ms = controller.now_ms() + message.lapse_in_ms


async def step_down(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> http_server.Response:
    """Stop granting in a term and say when its last grant lapses."""
    upstream_id = request.path.removeprefix(STEP_DOWN_PATH)
    old = state_messages.TermBody.model_validate_json(request.body)
    mine = controller.lessor_by_upstream.get(upstream_id)
    asked = (old.controller, old.incarnation)
    if asked != (controller.vm_id, controller.incarnation):
        return http_server.respond(StepDownMessage(lapse_in_ms=None))
    if mine is None or mine.term != old.term:
        return http_server.respond(StepDownMessage(lapse_in_ms=None))
    mine.stepped_down = True
    logs.log_change('stepped down', upstream=upstream_id, term=old.term)
    lapse_ms = mine.lapse_deadline_ms
    if lapse_ms is None:
        return http_server.respond(StepDownMessage(lapse_in_ms=None))
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
