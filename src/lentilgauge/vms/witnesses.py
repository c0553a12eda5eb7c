"""Have witnesses vouch for this VM's terms, and be one for others."""

import asyncio

from returns import result

from lentilgauge import clock
from lentilgauge.contracts import lessor, witness
from lentilgauge.links import http_server, state_messages, witness_link
from lentilgauge.services import placement
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership

#: Each term names up to this many witnesses.
NAMED = 3
_PER_MILLE = 1000
_ASKS_PER_VOUCH = 16
#: The part of the grace after which witnesses are asked in advance.
_LATE_SHARE = 0.6


def choose_witnesses(
    controller: controller_module.Controller,
    upstream_id: str,
) -> list[state_messages.WitnessBody]:
    """Choose the witnesses of a term: live, in as many domains as can be."""
    domain_by_vm = membership.list_live_domains(controller)
    domain_by_vm.pop(controller.vm_id, None)
    taken_domain = controller.vm.failure_domain
    chosen: list[state_messages.WitnessBody] = []
    while domain_by_vm and len(chosen) < NAMED:
        vm_id = placement.choose_controller(
            f'witness/{upstream_id}',
            taken_domain,
            domain_by_vm,
        )
        if vm_id is None:
            break
        taken_domain = domain_by_vm.pop(vm_id)
        chosen.append(
            state_messages.WitnessBody(
                vm=vm_id,
                incarnation=controller.replica.vm_by_id[vm_id].incarnation,
            ),
        )
    return chosen


def _locate(
    controller: controller_module.Controller,
    vm_id: str,
) -> witness_link.WitnessAddress | None:
    vm = controller.replica.vm_by_id.get(vm_id)
    if vm is None:
        return None
    return witness_link.WitnessAddress(
        base_url=f'http://{vm.address}:{vm.port}',
        timeout_ms=controller.section.vouch_timeout_ms,
    )


async def _ask_to_vouch(
    controller: controller_module.Controller,
    named: state_messages.WitnessBody,
    held: list[lessor.Lessor],
) -> None:
    """Have one witness vouch for all leases that name it."""
    address = _locate(controller, named.vm)
    if address is None:
        return
    asked_ms = controller.now_ms()
    sent = await witness_link.ask_to_vouch(
        controller.client,
        address,
        witness_link.VouchMessage(
            claims=[
                witness_link.ClaimMessage(
                    upstream_id=one.upstream_id,
                    term=one.term,
                )
                for one in held
            ],
            span_ms=controller.section.vouch_ms,
        ),
    )
    if not isinstance(sent, result.Success):
        return
    reply = sent.unwrap()
    if reply.incarnation != named.incarnation:
        return
    # The witness counts from the arrival, we from before: ours ends first.
    deadline_ms = asked_ms + _shorten(controller, controller.section.vouch_ms)
    vouched = set(reply.vouched)
    for one in held:
        named_still = one.incarnation_by_witness.get(named.vm)
        if one.upstream_id in vouched and named_still == named.incarnation:
            one.vouch_deadline_by_vm[named.vm] = deadline_ms


def _shorten(controller: controller_module.Controller, span_ms: int) -> int:
    drift = controller.section.clock_drift_per_mille
    return span_ms * (_PER_MILLE - drift) // _PER_MILLE


def is_vouched(lent: lessor.Lessor, now_ms: int) -> bool:
    """Tell whether a quorum of the term's witnesses vouches now."""
    return now_ms < witness.find_quorum_deadline(
        list(lent.vouch_deadline_by_vm.values()),
        len(lent.incarnation_by_witness),
    )


async def ask_witnesses(controller: controller_module.Controller) -> None:
    """Have all witnesses of this VM's terms vouch once."""
    asked = []
    for vm_id, held in _list_by_witness(controller).items():
        incarnation = held[0].incarnation_by_witness[vm_id]
        named = state_messages.WitnessBody(vm=vm_id, incarnation=incarnation)
        asked.append(_ask_to_vouch(controller, named, held))
    await asyncio.gather(*asked)
    controller.metrics.count('vouch_rounds')


def _list_by_witness(
    controller: controller_module.Controller,
) -> dict[str, list[lessor.Lessor]]:
    held_by_vm: dict[str, list[lessor.Lessor]] = {}
    for held in controller.lessor_by_upstream.values():
        if held.stepped_down:
            continue
        for vm_id in held.incarnation_by_witness:
            held_by_vm.setdefault(vm_id, []).append(held)
    return held_by_vm


async def keep_vouched(controller: controller_module.Controller) -> None:
    """Ask the witnesses for as long as the platform confirms nothing."""
    while True:
        age_ms = controller_module.get_confirmed_age_ms(controller)
        # An idle watch confirms once in its waiting time, well before this.
        late_ms = int(
            controller.section.confirm_grace_ms * _LATE_SHARE,
        )
        if age_ms is not None and age_ms >= late_ms:
            await ask_witnesses(controller)
        await asyncio.sleep(
            clock.to_seconds(controller.section.vouch_ms / _ASKS_PER_VOUCH),
        )


def _read_claim(message: witness_link.ClaimMessage) -> witness.Claim:
    return witness.Claim(upstream_id=message.upstream_id, term=message.term)


def answer_vouch(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> http_server.Response:
    """Vouch for the claims that may still be vouched for."""
    message = witness_link.VouchMessage.model_validate_json(request.body)
    deadline_ms = controller.now_ms() + message.span_ms
    vouched = [
        claim.upstream_id
        for claim in message.claims
        if _is_latest(controller, claim)
        and witness.vouch(controller.witness, _read_claim(claim), deadline_ms)
    ]
    return http_server.respond(
        witness_link.VouchReply(
            incarnation=controller.incarnation,
            vouched=vouched,
        ),
    )


def _is_latest(
    controller: controller_module.Controller,
    claim: witness_link.ClaimMessage,
) -> bool:
    known = controller.replica.term_by_upstream.get(claim.upstream_id)
    return known is None or known.term <= claim.term


def answer_release(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> http_server.Response:
    """Release earlier terms and say when the last vouch ends."""
    message = witness_link.ReleaseMessage.model_validate_json(request.body)
    lapse_in_ms = witness.release_below(
        controller.witness,
        _read_claim(message.claim),
        controller.now_ms(),
    )
    return http_server.respond(
        witness_link.ReleaseReply(
            incarnation=controller.incarnation,
            lapse_in_ms=lapse_in_ms,
        ),
    )


async def release_old_term(
    controller: controller_module.Controller,
    taken: lessor.Lessor,
    old: state_messages.EarlierTerm,
) -> int | None:
    """Have the old term's witnesses release it.

    Return when, in our clock, their last vouch ends at the latest, or
    `None` while too few have answered.
    """
    named = old.witnesses
    answered = await asyncio.gather(
        *(_ask_to_release(controller, one, taken) for one in named),
    )
    ends_ms = [end_ms for end_ms in answered if end_ms is not None]
    block = witness.count_block(len(named))
    if len(ends_ms) < block:
        return None
    # Any witness that did not answer can't make up a quorum by itself.
    return max(ends_ms, default=controller.now_ms())


async def _ask_to_release(
    controller: controller_module.Controller,
    named: state_messages.WitnessBody,
    taken: lessor.Lessor,
) -> int | None:
    address = _locate(controller, named.vm)
    if address is None:
        return None
    sent = await witness_link.ask_to_release(
        controller.client,
        address,
        witness_link.ReleaseMessage(
            claim=witness_link.ClaimMessage(
                upstream_id=taken.upstream_id,
                term=taken.term,
            ),
        ),
    )
    if not isinstance(sent, result.Success):
        return None
    reply: witness_link.ReleaseReply = sent.unwrap()
    if reply.incarnation == named.incarnation:
        return controller.now_ms() + reply.lapse_in_ms
    # Another process answers at its address, so the named one has ended;
    # what it last vouched for can still be good for the whole span.
    return controller.now_ms() + controller.section.vouch_ms
