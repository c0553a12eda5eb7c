"""Read the settings file that the platform gives each process."""

import pathlib

import msgspec
from returns import result

from lentilgauge import errors
from lentilgauge.platform import spans
from lentilgauge.vms import gateway


class Listen(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Carry the addresses to listen on."""

    front: str
    ready: str
    control: str


class FileBounds(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Carry the figures that bound the process, where they concern it."""

    hold_max: str = '10000ms'
    cold_burst_factor: float = 1.5
    cold_slack: float = 5
    retry_budget_ratio: float = 0.2
    budget_window: str = '10s'
    #: How many repeats a window allows beside the share of the requests.
    budget_extra: float = 0
    drain: str = '2000ms'
    evacuate: str = '5000ms'
    grace: str = '6s'


class Provider(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Carry where the platform's store is."""

    address: str


class Limits(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Carry what the VM has, where it concerns the process."""

    #: The share of each core that the process may use.
    cpu_share: float = 1
    cores: int = 1


class SettingsFile(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Carry the settings of one process."""

    node: str
    zone: str
    listen: Listen
    seeds: list[str] = []
    #: True only where the whole system starts for the first time.
    bootstrap: bool = False
    bounds: FileBounds = FileBounds()
    provider: Provider
    limits: Limits = Limits()


SettingsResult = result.Result[SettingsFile, errors.Failure]


def read_settings(path: pathlib.Path) -> SettingsResult:
    """Read the file; a failure names the file, the field and the fault."""
    try:
        return result.Success(_decode(path.read_bytes()))
    except (OSError, msgspec.MsgspecError, ValueError) as fault:
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_SETTINGS,
                detail=f'{path}: {fault}',
            ),
        )


def _decode(packed: bytes) -> SettingsFile:
    found = msgspec.json.decode(packed, type=SettingsFile)
    # A span that can't be read makes the whole file unusable.
    make_bounds(found)
    return found


def describe_identity(settings_file: SettingsFile) -> dict[str, str]:
    """Name the settings that a running process can't change."""
    listen = settings_file.listen
    return {
        'vm': settings_file.node,
        'failure_domain': settings_file.zone,
        'callers': listen.front,
        'ready': listen.ready,
        'peers': listen.control,
    }


def make_bounds(settings_file: SettingsFile) -> gateway.Bounds:
    """Translate the figures into the product's."""
    given = settings_file.bounds
    return gateway.Bounds(
        hold_ms=spans.read_span_ms(given.hold_max),
        cold_burst_factor=given.cold_burst_factor,
        cold_slack=given.cold_slack,
        retry_ratio=given.retry_budget_ratio,
        retry_window_ms=spans.read_span_ms(given.budget_window),
        retry_extra=given.budget_extra,
        drain_ms=spans.read_span_ms(given.drain),
        evacuate_ms=spans.read_span_ms(given.evacuate),
        grace_ms=spans.read_span_ms(given.grace),
    )
