"""Hold the state of one controller process."""

import dataclasses
import random
import secrets

from lentilgauge import clock, metrics, settings
from lentilgauge.contracts import lessor, once, witness
from lentilgauge.links import http_client, platform, relay
from lentilgauge.vms import replica

_INCARNATION_BYTES = 6


@dataclasses.dataclass(slots=True, kw_only=True)
class Controller:
    """Hold what one controller knows and has granted.

    `peer_deadline_by_id` holds when each watched peer counts as lost unless
    it answers before; `lessor_by_upstream` the leases this VM grants;
    in no term up to `stepped_down_by_upstream` does it grant any more;
    `majority_ms` when most other VMs last said they know nothing newer.
    """

    vm: settings.VmSettings
    section: settings.ControllerSettings
    platform: platform.Platform
    client: http_client.Client
    replica: replica.Replica
    metrics: metrics.Metrics
    now_ms: clock.Clock
    incarnation: str
    witness: witness.Witness
    once: once.Registry
    random: random.Random
    lessor_by_upstream: dict[str, lessor.Lessor] = dataclasses.field(
        default_factory=dict,
    )
    peer_deadline_by_id: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    mark_by_url: dict[str, relay.Mark] = dataclasses.field(
        default_factory=dict,
    )
    stepped_down_by_upstream: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    first_placement_deadline_by_service: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    majority_ms: int | None = None
    leaving: bool = False

    @property
    def vm_id(self) -> str:
        """The id of the VM this controller runs on."""
        return self.vm.id

    @property
    def terms(self) -> lessor.Terms:
        """The lengths of the leases this controller grants."""
        return lessor.Terms(
            lease_ms=self.section.lease_ms,
            drift_per_mille=self.section.clock_drift_per_mille,
        )


def make_controller(
    loaded: settings.ControllerFile,
    now_ms: clock.Clock = clock.read_monotonic_ms,
) -> Controller:
    """Make a controller that has heard of nothing yet."""
    client = http_client.make_client()
    located = loaded.platform
    return Controller(
        vm=loaded.vm,
        section=loaded.controller,
        platform=platform.Platform(
            client=client,
            base_url=f'http://{located.address}:{located.port}',
            timeout_ms=located.timeout_ms,
        ),
        client=client,
        replica=replica.Replica(),
        metrics=metrics.Metrics(),
        now_ms=now_ms,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        witness=witness.Witness(),
        once=once.Registry(),
        random=random.Random(),  # ruff: ignore[suspicious-non-cryptographic-random-usage]
    )


def get_confirmed_age_ms(controller: Controller) -> int | None:
    """Return how long ago the platform confirmed what we know."""
    confirmed_ms = controller.replica.confirmed_ms
    if confirmed_ms is None:
        return None
    return controller.now_ms() - confirmed_ms


def get_fresh_age_ms(controller: Controller) -> int | None:
    """Return how long ago our configuration was known to be the newest."""
    known = (controller.replica.confirmed_ms, controller.majority_ms)
    moments = [moment_ms for moment_ms in known if moment_ms is not None]
    if not moments:
        return None
    return controller.now_ms() - max(moments)


async def wait_for_change(controller: Controller, wait_ms: int) -> None:
    """Wait until the replica changes, `wait_ms` at the longest."""
    await replica.wait_for_change(
        controller.replica,
        clock.to_seconds(wait_ms),
    )
