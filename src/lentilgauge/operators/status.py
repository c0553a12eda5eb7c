"""Status of the cluster as known to one controller, for operators."""

import pydantic

from lentilgauge.contracts import lessor
from lentilgauge.services import catalog, placement, slots
from lentilgauge.vms import controller as controller_module


class UpstreamStatus(pydantic.BaseModel):
    """An upstream's configuration and its current state.

    `accepts_new_work` is what the configuration asks for, `available` whether
    the upstream has a lease. `term` is its latest term and `controller` the
    one that grants in it; 0 and empty if no term has started.
    """

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
    """A service and the distribution of its slots over upstreams.

    `imbalance` is the largest number of slots of an available upstream
    divided by the mean, 0 if no upstream has a slot. `balanced` means that
    moving a slot would not reduce it.
    """

    name: str
    slots: int
    vacant: int
    moving: int
    epoch: int
    imbalance: float
    balanced: bool


class VmStatus(pydantic.BaseModel):
    """An entry VM, its state and the URL of its controller."""

    id: str
    failure_domain: str
    state: str
    url: str


class LeaseStatus(pydantic.BaseModel):
    """A lease that this controller grants.

    `lapse_in_ms` is the time until it has certainly lapsed, negative if it
    has; `None` while grants of an earlier controller may still be valid.
    """

    upstream: str
    term: int
    sequence: int
    acknowledged: bool
    lapse_in_ms: int | None


class StatusMessage(pydantic.BaseModel):
    """Status of the cluster as one controller knows it.

    `confirmed_age_ms` is the time since the platform last confirmed that the
    controller's state was current, `None` if it never did.
    """

    vm: str
    configuration_version: int
    confirmed_age_ms: int | None
    services: list[ServiceStatus]
    upstreams: list[UpstreamStatus]
    vms: list[VmStatus]
    leases: list[LeaseStatus]


class OwnerStatus(pydantic.BaseModel):
    """The slot of a key and the upstream that owns it."""

    service: str
    slot: int
    owner: str
    epoch: int


_EMPTY_SLOT_MAP = slots.SlotMap()


def _make_upstream_status(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> UpstreamStatus:
    cluster_state = controller.replica
    slot_map = cluster_state.slot_map_by_service.get(
        upstream.service, _EMPTY_SLOT_MAP
    )
    term = cluster_state.term_by_upstream.get(upstream.id)
    return UpstreamStatus(
        id=upstream.id,
        service=upstream.service,
        failure_domain=upstream.failure_domain,
        accepts_new_work=catalog.accepts_new_work(
            cluster_state.config, upstream.id
        ),
        available=upstream.id in slot_map.lease_by_id,
        slots=len(slots.list_slots(slot_map, upstream.id)),
        controller='' if term is None else term.controller,
        term=0 if term is None else term.term,
        checks_tokens=upstream.checks_tokens,
    )


def _compute_imbalance(slot_map: slots.SlotMap) -> float:
    counts = [
        len(slots.list_slots(slot_map, upstream_id))
        for upstream_id in slot_map.lease_by_id
    ]
    total = sum(counts)
    return max(counts) * len(counts) / total if total else 0


def _make_service_status(
    controller: controller_module.Controller,
    service: catalog.Service,
) -> ServiceStatus:
    slot_map_by_service = controller.replica.slot_map_by_service
    slot_map = slot_map_by_service.get(service.name, _EMPTY_SLOT_MAP)
    return ServiceStatus(
        name=service.name,
        slots=service.slot_count,
        vacant=len(slots.list_vacant_slots(slot_map)),
        moving=len(slot_map.move_by_slot),
        epoch=slot_map.epoch,
        imbalance=_compute_imbalance(slot_map),
        balanced=not placement.plan_rebalance(
            slot_map,
            placement.weigh_eligible_upstreams(
                controller.replica.config,
                service.name,
                slot_map,
            ),
            1,
        ),
    )


def _make_lease_status(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
) -> LeaseStatus:
    deadline_ms = lease_state.lapse_deadline_ms
    return LeaseStatus(
        upstream=lease_state.upstream_id,
        term=lease_state.term,
        sequence=lease_state.sequence,
        acknowledged=lease_state.acked_slots is not None,
        lapse_in_ms=None
        if deadline_ms is None
        else deadline_ms - controller.now_ms(),
    )


def make_status(controller: controller_module.Controller) -> StatusMessage:
    """Make the status message of a controller."""
    cluster_state = controller.replica
    config = cluster_state.config
    return StatusMessage(
        vm=controller.vm_id,
        configuration_version=config.version,
        confirmed_age_ms=controller_module.get_confirmed_age_ms(controller),
        services=[
            _make_service_status(controller, service)
            for service in config.service_by_name.values()
        ],
        upstreams=[
            _make_upstream_status(controller, upstream)
            for upstream in config.upstream_by_id.values()
        ],
        vms=[
            VmStatus(
                id=vm_id,
                failure_domain=vm.failure_domain,
                state=vm.state,
                url=f'http://{vm.address}:{vm.port}',
            )
            for vm_id, vm in cluster_state.vm_by_id.items()
        ],
        leases=[
            _make_lease_status(controller, lease_state)
            for lease_state in controller.lease_state_by_upstream.values()
        ],
    )
