"""State of one controller process."""

import dataclasses
import random
import secrets

from lentilgauge import clock, metrics, settings
from lentilgauge.contracts import idempotency_keys, lessor, witness
from lentilgauge.links import http_client, object_api, relay_link
from lentilgauge.vms import replica

_INCARNATION_BYTES = 6


@dataclasses.dataclass(slots=True, kw_only=True)
class Controller:
    """State of one controller.

    `incarnation` tells this run of the process from others on the same VM.
    `lease_state_by_upstream` has the leases that this VM grants. Each watched
    peer counts as lost after its time in `peer_deadline_ms_by_id` unless it
    replies to a heartbeat before. `stepped_down_term_by_upstream` has the
    highest term in which the controller must not grant any more.
    `first_placement_deadline_ms_by_service` has until when the first placement
    of a service's slots waits for more of its upstreams.
    `majority_confirmed_ms` is when the replica was last compared with a
    majority of the VMs, this one included. `position_by_url` is how far each
    peer's changes were read, `asked_ms_by_url` when each was last asked for
    them and `replied_ms_by_url` when one was last asked that replied. `leaving`
    is set while the VM hands over its upstreams.
    """

    vm: settings.VmSettings
    section: settings.ControllerSettings
    platform_link: object_api.PlatformLink
    client: http_client.Client
    replica: replica.Replica
    metrics: metrics.Metrics
    now_ms: clock.Clock
    incarnation: str
    witness: witness.Witness
    idempotency_registry: idempotency_keys.Registry
    random: random.Random
    lease_state_by_upstream: dict[str, lessor.Lessor] = dataclasses.field(
        default_factory=dict,
    )
    peer_deadline_ms_by_id: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    position_by_url: dict[str, relay_link.Position] = dataclasses.field(
        default_factory=dict,
    )
    asked_ms_by_url: dict[str, int] = dataclasses.field(default_factory=dict)
    replied_ms_by_url: dict[str, int] = dataclasses.field(default_factory=dict)
    stepped_down_term_by_upstream: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    first_placement_deadline_ms_by_service: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    majority_confirmed_ms: int | None = None
    leaving: bool = False

    @property
    def vm_id(self) -> str:
        """The id of the VM that this controller runs on."""
        return self.vm.id

    @property
    def lease_timing(self) -> lessor.LeaseTiming:
        """The lease duration and clock drift bound for grants."""
        return lessor.LeaseTiming(
            lease_ms=self.section.lease_ms,
            drift_per_mille=self.section.clock_drift_per_mille,
        )


def make_controller(
    file_settings: settings.ControllerFile,
    now_ms: clock.Clock = clock.read_monotonic_ms,
) -> Controller:
    """Make a controller with an empty replica."""
    client = http_client.make_client()
    platform_settings = file_settings.platform
    return Controller(
        vm=file_settings.vm,
        section=file_settings.controller,
        platform_link=object_api.PlatformLink(
            client=client,
            base_url=(
                f'http://{platform_settings.address}:{platform_settings.port}'
            ),
            timeout_ms=platform_settings.timeout_ms,
        ),
        client=client,
        replica=replica.Replica(),
        metrics=metrics.Metrics(),
        now_ms=now_ms,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        witness=witness.Witness(),
        idempotency_registry=idempotency_keys.Registry(),
        random=random.Random(),  # ruff: ignore[suspicious-non-cryptographic-random-usage]
    )


def get_confirmed_age_ms(controller: Controller) -> int | None:
    """Return the milliseconds since the platform confirmed the replica.

    `None` means that it never did.
    """
    confirmed_ms = controller.replica.confirmed_ms
    if confirmed_ms is None:
        return None
    return controller.now_ms() - confirmed_ms


def get_freshness_age_ms(controller: Controller) -> int | None:
    """Return the milliseconds since the replica was last confirmed as newest.

    Either the platform or a majority of the VMs has confirmed it; `None` means
    that neither has.
    """
    confirmations_ms = (
        controller.replica.confirmed_ms,
        controller.majority_confirmed_ms,
    )
    known_confirmations_ms = [
        confirmation_ms
        for confirmation_ms in confirmations_ms
        if confirmation_ms is not None
    ]
    if not known_confirmations_ms:
        return None
    return controller.now_ms() - max(known_confirmations_ms)


async def wait_for_change(controller: Controller, wait_ms: int) -> None:
    """Wait until the replica changes, for at most `wait_ms`."""
    await replica.wait_for_change(
        controller.replica,
        clock.to_seconds(wait_ms),
    )
