"""Find out when the grants of earlier terms have lapsed.

A new term's controller asks the controllers of earlier terms to step down,
or else their witnesses to stop vouching for them.
"""

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
    """Reply of a controller that was asked to step down from a term.

    `lapse_in_ms` is the time until the term's last grant has lapsed. `None`
    means that the replying process is not the one that owned the term, and
    so can't rule out further grants.
    """

    lapse_in_ms: int | None


async def settle_earlier_terms(
    controller: controller_module.Controller,
    new_lease_state: lessor.Lessor,
) -> None:
    """Find out and store when the grants of all earlier terms have lapsed.

    Nothing is stored while that is unknown for any earlier term.
    """
    record = controller.replica.term_by_upstream.get(
        new_lease_state.upstream_id
    )
    if record is None or record.term != new_lease_state.term:
        return
    lapses_ms = await asyncio.gather(
        *(
            _settle_earlier_term(controller, new_lease_state, earlier_term)
            for earlier_term in record.unsettled
        ),
    )
    known_lapses_ms = [
        lapse_ms for lapse_ms in lapses_ms if lapse_ms is not None
    ]
    if (
        len(known_lapses_ms) == len(lapses_ms)
        and new_lease_state.lapse_deadline_ms is None
    ):
        new_lease_state.earlier_terms_lapse_ms = max(
            known_lapses_ms, default=controller.now_ms()
        )
        new_lease_state.lapse_deadline_ms = max(
            new_lease_state.earlier_terms_lapse_ms,
            new_lease_state.own_grants_lapse_ms,
        )


async def _settle_earlier_term(
    controller: controller_module.Controller,
    new_lease_state: lessor.Lessor,
    earlier_term: state_messages.EarlierTerm,
) -> int | None:
    """Return when one earlier term's grants have lapsed, `None` if unknown.

    It is known if the term's controller steps down, or if enough of the
    term's witnesses stop vouching. In the second case, that controller may
    still grant during its grace period after the platform's last confirmation.
    """
    stepped_down_ms = await _ask_to_step_down(
        controller, new_lease_state, earlier_term
    )
    if stepped_down_ms is not None:
        return stepped_down_ms
    vouch_end_ms = await witnesses.release_earlier_term(
        controller, new_lease_state, earlier_term
    )
    if vouch_end_ms is None:
        return None
    section = controller.section
    lease_timing = controller.lease_timing
    grace_end_ms = (
        new_lease_state.term_opened_ms
        + lessor.bound_local_duration_ms(
            lease_timing,
            section.confirm_grace_ms,
        )
    )
    return max(grace_end_ms, vouch_end_ms) + lessor.bound_local_duration_ms(
        lease_timing,
        section.lease_ms,
    )


async def _ask_to_step_down(
    controller: controller_module.Controller,
    new_lease_state: lessor.Lessor,
    earlier_term: state_messages.EarlierTerm,
) -> int | None:
    """Return when a term's last grant lapses, if its controller replies."""
    vm = controller.replica.vm_by_id.get(earlier_term.controller)
    if vm is None:
        return None
    reply = await message_call.exchange(
        controller.client,
        message_call.MessageCall(
            url=(
                f'http://{vm.address}:{vm.port}'
                f'{STEP_DOWN_PATH}{new_lease_state.upstream_id}'
            ),
            timeout_ms=controller.section.call_timeout_ms,
            message=earlier_term,
        ),
        StepDownMessage,
    )
    if not isinstance(reply, result.Success):
        return None
    message: StepDownMessage = reply.unwrap()
    if message.lapse_in_ms is None:
        return None
    lapse_in_ms = lessor.bound_local_duration_ms(
        controller.lease_timing, message.lapse_in_ms
    )
    return controller.now_ms() + lapse_in_ms


def answer_step_down(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> http_server.Response:
    """Step down from a term and reply when its last grant lapses."""
    upstream_id = request.path.removeprefix(STEP_DOWN_PATH)
    earlier_term = state_messages.EarlierTerm.model_validate_json(request.body)
    addressee = (earlier_term.controller, earlier_term.incarnation)
    if addressee != (controller.vm_id, controller.incarnation):
        return http_server.respond(StepDownMessage(lapse_in_ms=None))
    stepped_down_term = controller.stepped_down_term_by_upstream.get(
        upstream_id, 0
    )
    controller.stepped_down_term_by_upstream[upstream_id] = max(
        stepped_down_term, earlier_term.term
    )
    lease_state = controller.lease_state_by_upstream.get(upstream_id)
    if lease_state is None:
        # A lease's state is dropped only once all of its grants have lapsed.
        return http_server.respond(StepDownMessage(lapse_in_ms=0))
    if lease_state.term <= earlier_term.term and not lease_state.stepped_down:
        lease_state.stepped_down = True
        logs.log_change(
            'stepped down from a term',
            upstream=upstream_id,
            term=earlier_term.term,
        )
    lapse_ms = max(
        lease_state.own_grants_lapse_ms, lease_state.lapse_deadline_ms or 0
    )
    lapse_in_ms = max(0, lapse_ms - controller.now_ms())
    return http_server.respond(StepDownMessage(lapse_in_ms=lapse_in_ms))


def is_settled(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
) -> bool:
    """Check whether the grants of all earlier terms have lapsed."""
    settled_ms = lease_state.earlier_terms_lapse_ms
    return settled_ms is not None and controller.now_ms() >= settled_ms
