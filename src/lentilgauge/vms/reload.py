"""Reload settings on SIGHUP, as far as that is possible."""

import asyncio
import dataclasses
import pathlib
import signal
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from returns import result

from lentilgauge import logs, settings

#: Options that a running process can't change: others know it by them.
FIXED_ENTRY = ('port', 'admin_port')
FIXED_CONTROLLER = ('port',)


SectionType = TypeVar('SectionType', bound=settings.Section)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Merged(Generic[SectionType]):
    """Hold a reloaded section and the changes that need a restart."""

    section: SectionType
    refused: tuple[str, ...]


def merge_section(
    old: SectionType,
    new: SectionType,
    fixed: Iterable[str],
) -> Merged[SectionType]:
    """Take a new section on, but for the options that are fixed."""
    refused = tuple(
        option
        for option in fixed
        if getattr(old, option) != getattr(new, option)
    )
    kept = {option: getattr(old, option) for option in refused}
    return Merged(section=new.model_copy(update=kept), refused=refused)


def reload_on_hangup(
    path: str,
    model: type[settings.FileModel],
    adopt: Callable[[settings.FileModel], tuple[str, ...]],
) -> None:
    """Read the settings again at each SIGHUP.

    `adopt` takes them on and returns the options that need a restart; bad
    settings change nothing.
    """

    def reload() -> None:
        read = settings.read_settings(pathlib.Path(path), model)
        if not isinstance(read, result.Success):
            logs.log_change(
                'settings refused',
                problem=read.failure().detail,
            )
            return
        refused = adopt(read.unwrap())
        logs.log_change('settings reloaded', needs_restart=refused)

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
