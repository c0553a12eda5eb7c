"""Parts of the messages between VMs by which permits are lent."""

import msgspec

from lentilgauge.contracts import quotas

QUOTA_PATH = '/peer/quota'


class LeaseMessage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A `quotas.SectionLease` without its end."""

    term: int
    serial: int
    start: float
    end: float


class QuotaNeeds(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Permits that a VM needs, as of `sent_ms` on its clock.

    Requests wait for those in `waiting_by_workspace`, and those in
    `refill_by_workspace` replace standing permits. `lease` is the VM's lease if
    it asks for its renewal.
    """

    sent_ms: int
    waiting_by_workspace: dict[str, int] = {}
    refill_by_workspace: dict[str, int] = {}
    lease: LeaseMessage | None = None


class QuotaLoans(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Permits that the granter lends.

    `held_ms` is the time from the arrival of the needs until the granter lent
    the permits. `lent_counts` are in the order of `list_workspaces`.
    """

    held_ms: int = 0
    lent_counts: list[int] = []
    lease: LeaseMessage | None = None


class QuotaAsk(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Immediate request for permits, from a VM whose requests wait."""

    vm: str
    incarnation: str
    needs: QuotaNeeds


def list_workspaces(needs: QuotaNeeds) -> list[str]:
    """List the workspaces of needs, each once and in a fixed order."""
    return list(needs.waiting_by_workspace | needs.refill_by_workspace)


def pack_lease(lease: quotas.SectionLease) -> LeaseMessage:
    """Convert a lease to a message."""
    return LeaseMessage(
        term=lease.version.term,
        serial=lease.version.serial,
        start=lease.section.start,
        end=lease.section.end,
    )


def unpack_lease(message: LeaseMessage, expires_ms: int) -> quotas.SectionLease:
    """Convert a message to a lease that lasts until `expires_ms`."""
    return quotas.SectionLease(
        section=quotas.Section(start=message.start, end=message.end),
        version=quotas.LeaseVersion(term=message.term, serial=message.serial),
        expires_ms=expires_ms,
    )
