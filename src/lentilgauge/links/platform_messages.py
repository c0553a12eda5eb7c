"""Shape the platform's objects as they travel."""

import pydantic


class StoredObject(pydantic.BaseModel):
    """Carry one object: its version grows with each change of it.

    `revision` grows with each change of any object of the store.
    """

    name: str
    version: int
    revision: int
    body: dict[str, object]


class PutMessage(pydantic.BaseModel):
    """Ask for a conditional update; version 0 creates the object."""

    expected_version: int
    write_id: str
    body: dict[str, object]


class ChangesMessage(pydantic.BaseModel):
    """Carry what changed after a revision, in order of revision."""

    revision: int
    changed: list[StoredObject]


class ListedVm(pydantic.BaseModel):
    """Carry the platform's word on one VM, which lags the truth."""

    id: str
    leaving: bool


class VmListMessage(pydantic.BaseModel):
    """Carry the platform's list of VMs."""

    vms: list[ListedVm]
