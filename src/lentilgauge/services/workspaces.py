"""Workspaces: customers of a deployment, whose requests carry API keys."""

import dataclasses
import hashlib
from collections.abc import Mapping

#: Longest API key in bytes. The digest of a key of this length takes less than
#: the 20 microseconds that a look-up may take.
MAX_KEY_BYTES = 2048


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """One workspace with its quota.

    `rank` replaces the rank of the route, unless it is `None`; 0 is the most
    urgent. `requests_per_second` and `burst` are the quota over all VMs
    together, in requests a second and in requests; there is none if
    `requests_per_second` is 0.
    """

    name: str
    rank: int | None = None
    requests_per_second: float = 0
    burst: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Directory:
    """Workspaces by name, and by the digest of each of their API keys.

    The keys themselves aren't kept.
    """

    workspace_by_name: Mapping[str, Workspace] = dataclasses.field(
        default_factory=dict
    )
    workspace_by_digest: Mapping[bytes, Workspace] = dataclasses.field(
        default_factory=dict, repr=False
    )


def compute_digest(api_key: bytes) -> bytes:
    """Compute the digest by which a key is looked up.

    The time that this takes depends on the key's length alone, and that of the
    look-up in a dictionary on the digest.
    """
    return hashlib.sha256(api_key).digest()
