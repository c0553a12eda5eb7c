"""The project's store stand-in, with the revision of each removal.

The revision of an object is that of its last change, and its removal is one.
"""

from lentilgauge.standins import gateway_store


class Store(gateway_store.Store):
    """Store whose removed objects have the revision of their removal."""

    def remove(self, kind: str, name: str) -> None:
        stored = self.object_by_kind_and_name.get((kind, name))
        if stored is not None:
            metadata = dict(stored['metadata'])
            metadata['revision'] = self.revision + 1
            self.object_by_kind_and_name[kind, name] = {
                **stored, 'metadata': metadata,
            }
        super().remove(kind, name)
