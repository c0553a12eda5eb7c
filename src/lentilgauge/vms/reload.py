"""Reload settings on SIGHUP, except those that need a restart."""

import asyncio
import dataclasses
import pathlib
import signal
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from returns import result

from lentilgauge import logs, settings

#: Options that need a restart: other processes connect to these ports.
FIXED_ENTRY_OPTIONS = ('port', 'admin_port')
FIXED_CONTROLLER_OPTIONS = ('port',)


SectionType = TypeVar('SectionType', bound=settings.Section)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MergedSection(Generic[SectionType]):
    """A reloaded section, and the changed options that need a restart."""

    section: SectionType
    needs_restart: tuple[str, ...]


def merge_section(
    old: SectionType,
    new: SectionType,
    fixed_options: Iterable[str],
) -> MergedSection[SectionType]:
    """Make the new section with the old values of the fixed options."""
    needs_restart = tuple(
        option
        for option in fixed_options
        if getattr(old, option) != getattr(new, option)
    )
    old_settings = {option: getattr(old, option) for option in needs_restart}
    return MergedSection(
        section=new.model_copy(update=old_settings), needs_restart=needs_restart
    )


def reload_on_sighup(
    path: str,
    model: type[settings.FileModel],
    apply_settings: Callable[[settings.FileModel], tuple[str, ...]],
) -> None:
    """Reload the settings at each SIGHUP.

    `apply_settings` applies them and returns the changed options that need
    a restart. Invalid settings are logged and change nothing.
    """

    def reload() -> None:
        loaded = settings.read_settings(pathlib.Path(path), model)
        if not isinstance(loaded, result.Success):
            logs.log_change(
                'settings refused',
                problem=loaded.failure().detail,
            )
            return
        needs_restart = apply_settings(loaded.unwrap())
        logs.log_change('settings reloaded', needs_restart=needs_restart)

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
