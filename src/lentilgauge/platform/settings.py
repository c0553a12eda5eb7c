"""Settings file that the platform provides for each process."""

import pathlib
from typing import Annotated

import msgspec
from returns import result

from lentilgauge import errors
from lentilgauge.contracts import quotas
from lentilgauge.platform import durations
from lentilgauge.vms import gateway


class Listen(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Addresses to listen on.

    `front` is for callers, `ready` for readiness checks and `control` for
    other VMs.
    """

    front: str
    ready: str
    control: str


class FileBounds(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Limits on the process, as far as the product uses them.

    In the file, durations are strings such as `1500ms`.
    """

    #: Longest time for which a range of keys may be granted.
    hold_max: durations.Duration = durations.Duration('10s')
    #: Bounds on the rate of requests to a cold upstream from all VMs: a factor
    #: on its configured rate, and an addition to it in requests per second.
    cold_burst_factor: float = 1.5
    cold_slack: float = 5
    #: Retries per window, as a ratio of the requests.
    retry_budget_ratio: float = 0.2
    budget_window: durations.Duration = durations.Duration('10s')
    #: Further retries per window, whatever the number of requests.
    budget_extra: float = 0
    #: Times allowed for moving the keys off a draining upstream, and out of an
    #: evacuated failure domain.
    drain: durations.Duration = durations.Duration('2s')
    evacuate: durations.Duration = durations.Duration('5s')
    #: Time allowed for stopping the process.
    grace: durations.Duration = durations.Duration('6s')
    #: Whether a removed API key must not be accepted later than `revoke` after
    #: the store acknowledged its removal, also by a VM that is cut off.
    strict_revoke: bool = False
    revoke: durations.Duration = durations.Duration('5s')
    #: Bound on the requests of a workspace with a quota in any window, over all
    #: VMs: a share of the quota and a number of requests beyond it.
    quota_window: durations.Duration = durations.Duration('5s')
    quota_overage: float = 0.1
    quota_slack: float = 20


class Provider(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Address of the platform's store."""

    address: str


class Limits(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Resources of the VM, as far as the product uses them."""

    #: Fraction of each core that the process may use.
    cpu_share: float = 1
    cores: int = 1
    #: Memory of the VM in megabytes, and the process's limit of descriptors;
    #: with 0 callers are limited by neither.
    memory_mb: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0


class SettingsFile(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Settings of one process.

    `node` is the id of the VM and `zone` its failure domain; `seeds` are the
    addresses of VMs to contact first.
    """

    node: str
    zone: str
    listen: Listen
    seeds: list[str] = []
    #: True only when the whole system starts for the first time.
    bootstrap: bool = False
    bounds: FileBounds = FileBounds()
    provider: Provider
    limits: Limits = Limits()


SettingsResult = result.Result[SettingsFile, errors.Failure]


def read_settings(path: pathlib.Path) -> SettingsResult:
    """Read the settings file; a failure names file, field and error."""
    try:
        return result.Success(
            msgspec.json.decode(
                path.read_bytes(),
                type=SettingsFile,
                dec_hook=durations.decode_field,
            ),
        )
    except (OSError, msgspec.MsgspecError, RecursionError) as error:
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_SETTINGS,
                detail=f'{path}: {error}',
            ),
        )


def describe_identity(settings_file: SettingsFile) -> dict[str, str]:
    """Return the settings that can't change while the process runs."""
    listen = settings_file.listen
    return {
        'vm': settings_file.node,
        'failure_domain': settings_file.zone,
        'callers': listen.front,
        'ready': listen.ready,
        'peers': listen.control,
    }


def make_bounds(settings_file: SettingsFile) -> gateway.Bounds:
    """Convert the limits to the gateway's bounds, in milliseconds."""
    file_bounds = settings_file.bounds
    return gateway.Bounds(
        max_hold_ms=file_bounds.hold_max.ms,
        cold_burst_factor=file_bounds.cold_burst_factor,
        cold_slack=file_bounds.cold_slack,
        retry_ratio=file_bounds.retry_budget_ratio,
        retry_window_ms=file_bounds.budget_window.ms,
        retry_extra=file_bounds.budget_extra,
        drain_ms=file_bounds.drain.ms,
        evacuate_ms=file_bounds.evacuate.ms,
        stop_grace_ms=file_bounds.grace.ms,
        strict_revoke=file_bounds.strict_revoke,
        revoke_ms=file_bounds.revoke.ms,
        quota=quotas.QuotaBounds(
            window_ms=file_bounds.quota_window.ms,
            overage=file_bounds.quota_overage,
            slack=file_bounds.quota_slack,
        ),
    )
