"""Say what one controller knows, as messages for operators."""

import pydantic

from lentilgauge.contracts import lessor
from lentilgauge.services import catalog, placement, slots
from lentilgauge.vms import controller as controller_module


class UpstreamStatus(pydantic.BaseModel):
    """Show one upstream, as configured and as it is."""

    id: str
    service: str
    failure_domain: str
    accepts_new_work: bool
    available: bool
    slots: int
    controller: str
    term: int
    checks_tokens: bool


class ServiceStatus(pydantic.BaseModel):
    """Show one service and how evenly its slots are spread.

    `imbalance` is the largest number of slots of an available upstream over
    the mean, 0 where there is none. `balanced` means that no move of a slot
    would make it smaller.
    """

    name: str
    slots: int
    vacant: int
    moving: int
    epoch: int
    imbalance: float
    balanced: bool


class VmStatus(pydantic.BaseModel):
    """Show one entry VM."""

    id: str
    failure_domain: str
    state: str
    url: str


class LeaseStatus(pydantic.BaseModel):
    """Show one lease that this controller grants."""

    upstream: str
    term: int
    sequence: int
    acknowledged: bool
    lapse_in_ms: int | None


class StatusMessage(pydantic.BaseModel):
    """Show everything that one controller knows."""

    vm: str
    configuration_version: int
    confirmed_age_ms: int | None
    services: list[ServiceStatus]
    upstreams: list[UpstreamStatus]
    vms: list[VmStatus]
    leases: list[LeaseStatus]


class OwnerStatus(pydantic.BaseModel):
    """Show who owns a key."""

    service: str
    slot: int
    owner: str
    epoch: int


_EMPTY = slots.SlotMap()


def _show_upstream(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> UpstreamStatus:
    known = controller.replica
    slot_map = known.slot_map_by_service.get(upstream.service, _EMPTY)
    term = known.term_by_upstream.get(upstream.id)
    return UpstreamStatus(
        id=upstream.id,
        service=upstream.service,
        failure_domain=upstream.failure_domain,
        accepts_new_work=catalog.accepts_new_work(known.config, upstream.id),
        available=upstream.id in slot_map.lease_by_id,
        slots=len(slots.list_slots(slot_map, upstream.id)),
        controller='' if term is None else term.controller,
        term=0 if term is None else term.term,
        checks_tokens=upstream.checks_tokens,
    )


def _find_imbalance(slot_map: slots.SlotMap) -> float:
    counts = [
        len(slots.list_slots(slot_map, upstream_id))
        for upstream_id in slot_map.lease_by_id
    ]
    total = sum(counts)
    return max(counts) * len(counts) / total if total else 0


def _show_service(
    controller: controller_module.Controller,
    service: catalog.Service,
) -> ServiceStatus:
    known = controller.replica.slot_map_by_service
    slot_map = known.get(service.name, _EMPTY)
    return ServiceStatus(
        name=service.name,
        slots=service.slot_count,
        vacant=len(slots.list_vacant_slots(slot_map)),
        moving=len(slot_map.move_by_slot),
        epoch=slot_map.epoch,
        imbalance=_find_imbalance(slot_map),
        balanced=not placement.plan_rebalance(
            slot_map,
            placement.list_eligible(
                controller.replica.config,
                service.name,
                slot_map,
            ),
            1,
        ),
    )


def _show_lease(
    controller: controller_module.Controller,
    held: lessor.Lessor,
) -> LeaseStatus:
    lapse_ms = held.lapse_deadline_ms
    return LeaseStatus(
        upstream=held.upstream_id,
        term=held.term,
        sequence=held.sequence,
        acknowledged=held.acked_slots is not None,
        lapse_in_ms=None
        if lapse_ms is None
        else lapse_ms - controller.now_ms(),
    )


def show_status(controller: controller_module.Controller) -> StatusMessage:
    """Show what a controller knows."""
    known = controller.replica
    config = known.config
    return StatusMessage(
        vm=controller.vm_id,
        configuration_version=config.version,
        confirmed_age_ms=controller_module.get_confirmed_age_ms(controller),
        services=[
            _show_service(controller, service)
            for service in config.service_by_name.values()
        ],
        upstreams=[
            _show_upstream(controller, upstream)
            for upstream in config.upstream_by_id.values()
        ],
        vms=[
            VmStatus(
                id=vm_id,
                failure_domain=vm.failure_domain,
                state=vm.state,
                url=f'http://{vm.address}:{vm.port}',
            )
            for vm_id, vm in known.vm_by_id.items()
        ],
        leases=[
            _show_lease(controller, held)
            for held in controller.lessor_by_upstream.values()
        ],
    )
