"""Request vouches for this VM's terms, and vouch for those of others.

While the platform is unreachable, a controller may grant only as long as a
quorum of its term's witnesses vouches for the term. A witness that has
released a term, on request of a later one, doesn't vouch for it again.
"""

import asyncio

from returns import result

from lentilgauge import clock
from lentilgauge.contracts import lessor, witness
from lentilgauge.links import http_server, state_messages, witness_link
from lentilgauge.services import placement
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership

#: Most witnesses that a term names; fewer if fewer other VMs are live.
MAX_WITNESSES = 3
_PER_MILLE = 1000
#: Rounds of requests sent within the validity of one vouch.
_REQUEST_ROUNDS_PER_VOUCH = 16
#: Share of the grace period after which vouches are requested, so that they
#: are valid by its end.
_VOUCH_START_SHARE = 0.6


def choose_witnesses(
    controller: controller_module.Controller,
    upstream_id: str,
) -> list[state_messages.WitnessBody]:
    """Choose live witnesses for a term.

    Each choice avoids the failure domain of the one before, and the first
    that of this VM, where possible.
    """
    domain_by_vm = membership.map_live_domains(controller)
    domain_by_vm.pop(controller.vm_id, None)
    avoided_domain = controller.vm.failure_domain
    chosen: list[state_messages.WitnessBody] = []
    while domain_by_vm and len(chosen) < MAX_WITNESSES:
        vm_id = placement.choose_controller(
            f'witness/{upstream_id}',
            avoided_domain,
            domain_by_vm,
        )
        if vm_id is None:
            break
        avoided_domain = domain_by_vm.pop(vm_id)
        chosen.append(
            state_messages.WitnessBody(
                vm=vm_id,
                incarnation=controller.replica.vm_by_id[vm_id].incarnation,
            ),
        )
    return chosen


def _find_address(
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


async def _request_vouches(
    controller: controller_module.Controller,
    witness_id: witness.WitnessId,
    lease_states: list[lessor.Lessor],
) -> None:
    """Request one witness's vouches for all terms that may name it."""
    address = _find_address(controller, witness_id.vm)
    if address is None:
        return
    sent_ms = controller.now_ms()
    response = await witness_link.request_vouch(
        controller.client,
        address,
        witness_link.VouchMessage(
            claims=[
                witness_link.ClaimMessage(
                    upstream_id=lease_state.upstream_id,
                    term=lease_state.term,
                )
                for lease_state in lease_states
            ],
            span_ms=controller.section.vouch_ms,
        ),
    )
    if not isinstance(response, result.Success):
        return
    reply = response.unwrap()
    if reply.incarnation != witness_id.incarnation:
        return
    # The witness counts from the arrival of the request; this deadline counts
    # from before it was sent, less the clock drift, and so passes first.
    deadline_ms = sent_ms + _subtract_drift(
        controller, controller.section.vouch_ms
    )
    vouched_upstream_ids = set(reply.vouched)
    for lease_state in lease_states:
        if (
            lease_state.upstream_id in vouched_upstream_ids
            and witness_id in _list_named(lease_state)
        ):
            lease_state.vouch_deadline_by_witness[witness_id] = deadline_ms


def _subtract_drift(
    controller: controller_module.Controller, duration_ms: int
) -> int:
    drift_per_mille = controller.section.clock_drift_per_mille
    return duration_ms * (_PER_MILLE - drift_per_mille) // _PER_MILLE


def has_vouch_quorum(lease_state: lessor.Lessor, now_ms: int) -> bool:
    """Check whether a quorum of the term's witnesses vouches now.

    If the record may name one of several sets, each needs a quorum, since a
    later term asks only the witnesses that the record then names.
    """
    deadline_by_witness = lease_state.vouch_deadline_by_witness
    return bool(lease_state.witness_sets) and all(
        now_ms
        < witness.find_quorum_deadline(
            [
                deadline_by_witness[member]
                for member in witness_set.members & deadline_by_witness.keys()
            ],
            len(witness_set.members),
        )
        for witness_set in lease_state.witness_sets
    )


async def request_all_vouches(controller: controller_module.Controller) -> None:
    """Request vouches from all witnesses of this VM's terms once."""
    await asyncio.gather(
        *(
            _request_vouches(controller, witness_id, lease_states)
            for witness_id, lease_states in _group_by_witness(
                controller
            ).items()
        )
    )
    controller.metrics.count('vouch_rounds')


def _group_by_witness(
    controller: controller_module.Controller,
) -> dict[witness.WitnessId, list[lessor.Lessor]]:
    lease_states_by_witness: dict[witness.WitnessId, list[lessor.Lessor]] = {}
    for lease_state in controller.lease_state_by_upstream.values():
        if lease_state.stepped_down:
            continue
        for witness_id in _list_named(lease_state):
            lease_states_by_witness.setdefault(witness_id, []).append(
                lease_state
            )
    return lease_states_by_witness


def _list_named(lease_state: lessor.Lessor) -> frozenset[witness.WitnessId]:
    """List the witnesses that the term's record may name."""
    return frozenset().union(
        *(witness_set.members for witness_set in lease_state.witness_sets)
    )


async def keep_requesting_vouches(
    controller: controller_module.Controller,
) -> None:
    """Request vouches whenever the platform's confirmation gets old."""
    while True:
        age_ms = controller_module.get_confirmed_age_ms(controller)
        # A watch without changes also confirms the replica, each `watch_ms`,
        # which is well below this time.
        vouch_start_ms = int(
            controller.section.confirm_grace_ms * _VOUCH_START_SHARE,
        )
        if age_ms is not None and age_ms >= vouch_start_ms:
            await request_all_vouches(controller)
        await asyncio.sleep(
            clock.to_seconds(
                controller.section.vouch_ms / _REQUEST_ROUNDS_PER_VOUCH
            ),
        )


def _unpack_claim(message: witness_link.ClaimMessage) -> witness.TermClaim:
    return witness.TermClaim(upstream_id=message.upstream_id, term=message.term)


def answer_vouch(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> http_server.Response:
    """Vouch for each claimed term that is neither released nor outdated."""
    message = witness_link.VouchMessage.model_validate_json(request.body)
    deadline_ms = controller.now_ms() + message.span_ms
    vouched = [
        claim.upstream_id
        for claim in message.claims
        if _is_latest_known(controller, claim)
        and witness.vouch(controller.witness, _unpack_claim(claim), deadline_ms)
    ]
    return http_server.respond(
        witness_link.VouchReply(
            incarnation=controller.incarnation,
            vouched=vouched,
        ),
    )


def _is_latest_known(
    controller: controller_module.Controller,
    claim: witness_link.ClaimMessage,
) -> bool:
    record = controller.replica.term_by_upstream.get(claim.upstream_id)
    return record is None or record.term <= claim.term


def answer_release(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> http_server.Response:
    """Release earlier terms and reply when the last vouch expires."""
    message = witness_link.ReleaseMessage.model_validate_json(request.body)
    lapse_in_ms = witness.release_earlier_terms(
        controller.witness,
        _unpack_claim(message.claim),
        controller.now_ms(),
    )
    return http_server.respond(
        witness_link.ReleaseReply(
            incarnation=controller.incarnation,
            lapse_in_ms=lapse_in_ms,
        ),
    )


async def release_earlier_term(
    controller: controller_module.Controller,
    new_lease_state: lessor.Lessor,
    earlier_term: state_messages.EarlierTerm,
) -> int | None:
    """Ask the witnesses of an earlier term to release it.

    Return by when their last vouch has expired, on this process's clock, or
    `None` while too few of them have replied to rule out a quorum.
    """
    term_witnesses = earlier_term.witnesses
    replies_ms = await asyncio.gather(
        *(
            _request_release(controller, witness_body, new_lease_state)
            for witness_body in term_witnesses
        ),
    )
    vouch_ends_ms = [end_ms for end_ms in replies_ms if end_ms is not None]
    blocking_count = witness.get_blocking_release_count(len(term_witnesses))
    if len(vouch_ends_ms) < blocking_count:
        return None
    # The witnesses that did not reply are too few to form a quorum.
    return max(vouch_ends_ms, default=controller.now_ms())


async def _request_release(
    controller: controller_module.Controller,
    witness_body: state_messages.WitnessBody,
    new_lease_state: lessor.Lessor,
) -> int | None:
    address = _find_address(controller, witness_body.vm)
    if address is None:
        return None
    response = await witness_link.request_release(
        controller.client,
        address,
        witness_link.ReleaseMessage(
            claim=witness_link.ClaimMessage(
                upstream_id=new_lease_state.upstream_id,
                term=new_lease_state.term,
            ),
        ),
    )
    if not isinstance(response, result.Success):
        return None
    reply: witness_link.ReleaseReply = response.unwrap()
    if reply.incarnation == witness_body.incarnation:
        return controller.now_ms() + reply.lapse_in_ms
    # Another process replies at the address, so the named one has ended. Its
    # last vouch may still be valid for its full length.
    return controller.now_ms() + controller.section.vouch_ms
