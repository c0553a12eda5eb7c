"""Objects of the store's topics as a VM has cached them."""

import dataclasses

from lentilgauge.links import store_link


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeptDocument:
    """Object kept through the store's return to an older copy.

    It is kept until another is written under its name, or until `until_ms`.
    """

    document: store_link.Document
    until_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class CachedTopic:
    """Cached objects of one topic as of `revision`, a revision of the store.

    `local_removals` counts the removals since that revision that this VM or the
    one it follows made on its own, without the store. A follower that has the
    topic as of `last_removal_revision` or later has seen every removal.
    `kept_by_name` has the objects kept although the store's copy has none or
    an older one.
    """

    revision: int = 0
    local_removals: int = 0
    last_removal_revision: int = 0
    document_by_name: dict[str, store_link.Document] = dataclasses.field(
        default_factory=dict,
    )
    kept_by_name: dict[str, KeptDocument] = dataclasses.field(
        default_factory=dict
    )
