"""Take changed settings on without cutting a request off."""

import asyncio
import dataclasses
import pathlib
from collections.abc import Callable, Mapping

from returns import result

from lentilgauge import clock, errors, events
from lentilgauge.links import store_link
from lentilgauge.vms import gateway as gateway_module

#: How often a file is looked at that may change without a signal: a look is
#: one system call, and a change is no matter of seconds.
LOOK_EVERY_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tunables:
    """Hold the settings that a running gateway takes on.

    `identity` has those by which others know the process: they need a restart.
    """

    seeds: tuple[str, ...]
    bounds: gateway_module.Bounds
    store: store_link.Store
    identity: Mapping[str, str]


@dataclasses.dataclass(slots=True, kw_only=True)
class SettingsSource:
    """Hold where settings come from, and how the file last looked."""

    path: pathlib.Path
    read: Callable[[], result.Result[Tunables, errors.Failure]]
    identity: Mapping[str, str]
    stamp: tuple[int, int] | None = None


def read_stamp(path: pathlib.Path) -> tuple[int, int] | None:
    """Read what changes when a file is written; nothing if there is none."""
    try:
        found = path.stat()
    except OSError:
        return None
    return (found.st_mtime_ns, found.st_size)


def reload_settings(
    gateway: gateway_module.Gateway,
    source: SettingsSource,
) -> None:
    """Take the settings on as they are now; bad ones change nothing."""
    source.stamp = read_stamp(source.path)
    read = source.read()
    if not isinstance(read, result.Success):
        events.record(
            events.Event.SETTINGS_REFUSED,
            fault=read.failure().detail,
        )
        return
    found: Tunables = read.unwrap()
    changed = [
        name
        for name, kept, given in (
            ('seeds', gateway.seeds, found.seeds),
            ('bounds', gateway.bounds, found.bounds),
        )
        if kept != given
    ]
    gateway.seeds = found.seeds
    gateway.bounds = found.bounds
    gateway.store = found.store
    events.record(
        events.Event.SETTINGS_TAKEN,
        changed=changed,
        needs_restart=[
            name
            for name, text in found.identity.items()
            if source.identity.get(name) != text
        ],
    )


async def follow_settings(
    gateway: gateway_module.Gateway,
    source: SettingsSource,
) -> None:
    """Look whether the file has changed, for as long as the process lives."""
    source.stamp = read_stamp(source.path)
    while True:
        await asyncio.sleep(clock.to_seconds(LOOK_EVERY_MS))
        if read_stamp(source.path) != source.stamp:
            reload_settings(gateway, source)
