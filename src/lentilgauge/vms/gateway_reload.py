"""Reload of settings in a running gateway, without dropping requests."""

import asyncio
import dataclasses
import pathlib
from collections.abc import Callable, Mapping

from returns import result

from lentilgauge import clock, errors, events
from lentilgauge.links import store_link
from lentilgauge.vms import gateway as gateway_module

#: Interval of checks for a file that changed without a signal: a check costs
#: one system call, and a change needn't apply within seconds.
FILE_POLL_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReloadableSettings:
    """Settings that a running gateway reads again.

    `identity` has the settings by which other processes know this one, such as
    its addresses. A reload doesn't apply these: a change needs a restart.
    """

    seeds: tuple[str, ...]
    bounds: gateway_module.Bounds
    store: store_link.Store
    identity: Mapping[str, str]


@dataclasses.dataclass(slots=True, kw_only=True)
class SettingsSource:
    """The settings file, its reader, and the state at the last reading.

    `identity` has the identity settings as of the start of the process.
    `file_stamp` is the file's modification time in nanoseconds and its size in
    bytes.
    """

    path: pathlib.Path
    read: Callable[[], result.Result[ReloadableSettings, errors.Failure]]
    identity: Mapping[str, str]
    file_stamp: tuple[int, int] | None = None


def read_file_stamp(path: pathlib.Path) -> tuple[int, int] | None:
    """Return a file's modification time and size; `None` if unreadable."""
    try:
        file_status = path.stat()
    except OSError:
        return None
    return (file_status.st_mtime_ns, file_status.st_size)


def reload_settings(
    gateway: gateway_module.Gateway,
    source: SettingsSource,
) -> None:
    """Read and apply the settings; invalid ones are logged and ignored."""
    source.file_stamp = read_file_stamp(source.path)
    read_outcome = source.read()
    if not isinstance(read_outcome, result.Success):
        events.log_event(
            events.Event.SETTINGS_REFUSED,
            fault=read_outcome.failure().detail,
        )
        return
    loaded: ReloadableSettings = read_outcome.unwrap()
    changed = [
        name
        for name, current, new in (
            ('seeds', gateway.seeds, loaded.seeds),
            ('bounds', gateway.bounds, loaded.bounds),
        )
        if current != new
    ]
    gateway.seeds = loaded.seeds
    gateway.bounds = loaded.bounds
    gateway.store = loaded.store
    events.log_event(
        events.Event.SETTINGS_TAKEN,
        changed=changed,
        needs_restart=[
            name
            for name, text in loaded.identity.items()
            if source.identity.get(name) != text
        ],
    )


async def poll_settings(
    gateway: gateway_module.Gateway,
    source: SettingsSource,
) -> None:
    """Poll the settings file and reload it whenever it has changed."""
    source.file_stamp = read_file_stamp(source.path)
    while True:
        await asyncio.sleep(clock.to_seconds(FILE_POLL_MS))
        if read_file_stamp(source.path) != source.file_stamp:
            reload_settings(gateway, source)
