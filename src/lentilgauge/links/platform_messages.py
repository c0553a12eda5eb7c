"""JSON format of the platform's object API."""

import pydantic


class StoredObject(pydantic.BaseModel):
    """Object of the platform.

    `version` increases with each change of the object, `revision` with each
    change of any object of the store.
    """

    name: str
    version: int
    revision: int
    body: dict[str, object]


class PutMessage(pydantic.BaseModel):
    """Request to update an object if it has the expected version.

    An expected version of 0 creates the object.
    """

    expected_version: int
    write_id: str
    body: dict[str, object]


class ChangesMessage(pydantic.BaseModel):
    """Objects that changed after a given revision, ordered by revision.

    `revision` is the one after which to watch next.
    """

    revision: int
    changed: list[StoredObject]


class ListedVm(pydantic.BaseModel):
    """State of one VM according to the platform; it may be out of date."""

    id: str
    leaving: bool


class VmListMessage(pydantic.BaseModel):
    """The platform's list of VMs."""

    vms: list[ListedVm]
