"""Find out when the grants of earlier terms have lapsed."""

import asyncio

import pydantic
from returns import result

from lentilgauge import logs
from lentilgauge.contracts import lessor
from lentilgauge.links import http_server, message_call, state_messages
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import witnesses

STEP_DOWN_PATH = '/peer/step-down/'


class StepDownMessage(pydantic.BaseModel):
    """Promise that an older term grants no more.

    `lapse_in_ms` is how long its last grant may still be held, `None` where
    the answering controller can't promise that.
    """

    lapse_in_ms: int | None


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
    answered = await message_call.exchange(
        controller.client,
        message_call.MessageCall(
            url=(
                f'http://{vm.address}:{vm.port}'
                f'{STEP_DOWN_PATH}{taken.upstream_id}'
            ),
            timeout_ms=controller.section.call_timeout_ms,
            message=old,
        ),
        StepDownMessage,
    )
    if not isinstance(answered, result.Success):
        return None
    message: StepDownMessage = answered.unwrap()
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
    asked = (old.controller, old.incarnation)
    if asked != (controller.vm_id, controller.incarnation):
        return http_server.respond(StepDownMessage(lapse_in_ms=None))
    known = controller.stepped_down_by_upstream.get(upstream_id, 0)
    controller.stepped_down_by_upstream[upstream_id] = max(known, old.term)
    mine = controller.lessor_by_upstream.get(upstream_id)
    if mine is None:
        # What it granted is forgotten only once that has lapsed.
        return http_server.respond(StepDownMessage(lapse_in_ms=0))
    if mine.term <= old.term and not mine.stepped_down:
        mine.stepped_down = True
        logs.log_change('stepped down', upstream=upstream_id, term=old.term)
    lapse_ms = max(mine.granted_deadline_ms, mine.lapse_deadline_ms or 0)
    left_ms = max(0, lapse_ms - controller.now_ms())
    return http_server.respond(StepDownMessage(lapse_in_ms=left_ms))


def is_settled(
    controller: controller_module.Controller,
    held: lessor.Lessor,
) -> bool:
    """Tell whether no earlier term's grant can still be held."""
    settled_ms = held.settled_ms
    return settled_ms is not None and controller.now_ms() >= settled_ms
