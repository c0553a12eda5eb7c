"""Decoding of the workspaces in the operators' configuration."""

import dataclasses
import re
from typing import Annotated

import msgspec

from lentilgauge import events
from lentilgauge.services import workspaces

_MAX_NAME_LENGTH = 200
#: Names are sent in headers.
_NAME = re.compile(rf'[!-~]([ -~]{{0,{_MAX_NAME_LENGTH - 2}}}[!-~])?')
#: Log lines on unreadable workspaces of one configuration.
_MAX_LOGGED_ENTRIES = 20

NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class WorkspaceMessage(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    """Workspace of the configuration."""

    name: str
    api_keys: list[str] = []
    #: 0 is the most urgent. It replaces the priority of the route.
    priority: int | None = None
    #: Quota in requests a second; 0 means that there is none.
    rate_per_s: NotNegative | None = None
    burst: NotNegative | None = None

    def __repr__(self) -> str:
        """Leave out the keys."""
        return f'WorkspaceMessage(name={self.name!r})'


@dataclasses.dataclass(slots=True, kw_only=True)
class DirectoryParts:
    """Workspaces of a directory while it is made."""

    workspace_by_name: dict[str, workspaces.Workspace] = dataclasses.field(
        default_factory=dict
    )
    workspace_by_digest: dict[bytes, workspaces.Workspace] = dataclasses.field(
        default_factory=dict, repr=False
    )
    unreadable_count: int = 0


def read_directory(entries: object) -> workspaces.Directory | None:
    """Decode the workspaces; return `None` if there are none.

    An unreadable workspace is left out and logged, without its keys. If what
    should be the list can't be read, the directory is empty and accepts no key.
    """
    if entries is None or (isinstance(entries, list) and not entries):
        return None
    parts = DirectoryParts()
    if isinstance(entries, list):
        for index, entry in enumerate(entries):
            _add_entry(parts, index, entry)
    else:
        _log_unreadable(parts, None, 'expected a list of workspaces')
    return workspaces.Directory(
        workspace_by_name=parts.workspace_by_name,
        workspace_by_digest=parts.workspace_by_digest,
    )


def _add_entry(parts: DirectoryParts, index: int, entry: object) -> None:
    """Add a workspace, unless it is unreadable."""
    try:
        message = msgspec.convert(entry, WorkspaceMessage)
    except msgspec.ValidationError as error:
        # The text names the field and the types, but no values.
        _log_unreadable(parts, index, str(error))
        return
    digests = {
        workspaces.compute_digest(_encode_key(api_key))
        for api_key in message.api_keys
    }
    fault = _find_fault(parts, message, digests)
    if fault:
        _log_unreadable(parts, index, fault)
        return
    workspace = workspaces.Workspace(
        name=message.name,
        rank=message.priority,
        requests_per_second=message.rate_per_s or 0,
        burst=message.burst or 0,
    )
    parts.workspace_by_name[workspace.name] = workspace
    parts.workspace_by_digest.update(dict.fromkeys(digests, workspace))


def _encode_key(api_key: str) -> bytes:
    """Encode a key as callers send it."""
    return api_key.encode('utf-8', 'surrogatepass')


def _find_fault(
    parts: DirectoryParts, message: WorkspaceMessage, digests: set[bytes]
) -> str:
    """Return why a workspace can't be used; empty if it can.

    A key must not lead to two workspaces, nor a name to two quotas.
    """
    if _NAME.fullmatch(message.name) is None:
        return 'the name is empty, too long or not printable ASCII'
    if message.name in parts.workspace_by_name:
        return 'another workspace has the same name'
    if not digests.isdisjoint(parts.workspace_by_digest):
        return 'another workspace has the same key'
    lengths = [len(_encode_key(api_key)) for api_key in message.api_keys]
    if not all(0 < length <= workspaces.MAX_KEY_BYTES for length in lengths):
        return f'expected keys of 1 to {workspaces.MAX_KEY_BYTES} bytes'
    return ''


def _log_unreadable(
    parts: DirectoryParts, index: int | None, fault: str
) -> None:
    """Log an unreadable workspace by its index, up to a number of them."""
    parts.unreadable_count += 1
    if parts.unreadable_count <= _MAX_LOGGED_ENTRIES:
        events.log_event(
            events.Event.WORKSPACE_UNREADABLE, index=index, fault=fault
        )
