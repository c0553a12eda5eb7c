"""Exchange what VMs tell each other, as JSON over HTTP.

A VM follows another by asking again and again: the question carries its marks
and what it has counted, the answer whatever is newer, held back until there
is something or the wait is over.
"""

import dataclasses
import http
import zlib
from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec
from returns import result

from lentilgauge.contracts import ownership
from lentilgauge.links import http_client, store_link

FOLLOW_PATH = '/peer/follow'
VIEW_PATH = '/peer/view'
STORE_PATH = '/peer/store'
LEAD_PATH = '/peer/lead'


class Peer(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Name a VM's process and where peers reach it.

    `cores` is how much processor the VM has.
    """

    vm: str
    address: str
    failure_domain: str
    incarnation: str
    cores: float = 1


class DocumentMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Carry one object."""

    name: str
    revision: int
    body: object


class SectionMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Carry a topic as of a mark: the objects that changed.

    `names` has the names of all, if any was dropped since the asker's mark.
    """

    mark: int
    edits: int
    names: list[str] | None
    documents: list[DocumentMessage]


class UpstreamReport(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Carry what a VM has seen of one upstream since its last report.

    `slowness` sums the times of `executed` executions, each over what is usual
    for its route; `moved` counts refusals for want of the key.
    """

    executed: int = 0
    slowness: float = 0
    failed: int = 0
    moved: int = 0


class Report(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Carry what a VM has counted since its last report."""

    counts_by_service: dict[str, list[tuple[int, int]]] = {}
    report_by_upstream: dict[str, UpstreamReport] = {}


class FollowMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Ask for whatever is newer than the marks.

    `outage_age_ms` is how long ago this VM told a granter that the store is
    away, or may have done so before it was started anew.
    """

    peer: Peer
    mark_by_topic: dict[store_link.Topic, tuple[int, int]]
    term: int
    serial: int
    wait_ms: int
    peers_digest: int = 0
    outage_age_ms: int | None = None
    report: Report = Report()


class ViewMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Say whom a VM holds for the granter and how fresh its knowledge is."""

    peer: Peer
    term: int
    granter: ownership.Granter
    age_ms: int
    grants: bool


class FollowReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Carry what is newer; `peers` only if they are not those known."""

    view: ViewMessage
    section_by_topic: dict[store_link.Topic, SectionMessage] = {}
    news: ownership.News | None = None
    peers: list[Peer] | None = None


class StoreMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Say whether a VM reaches the store."""

    reachable: bool


class LeadMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Ask a VM to take over after a term whose granter has stopped."""

    term: int
    hold_ms: int


Message = TypeVar('Message')
PeerResult = result.Result[Message, http_client.LinkFailure]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerCall:
    """Describe one exchange with a VM at an address with its port."""

    address: str
    path: str
    timeout_ms: int
    message: msgspec.Struct | None = None


async def ask_peer(
    client: http_client.Client,
    call: PeerCall,
    model: type[Message],
) -> PeerResult[Message]:
    """Send a message to a VM and read the answer."""
    body = None
    if call.message is not None:
        body = msgspec.json.encode(call.message)
    sent = await http_client.send_call(
        client,
        http_client.Call(
            method='GET' if body is None else 'POST',
            url=f'http://{call.address}{call.path}',
            timeout_ms=call.timeout_ms,
            body=body,
        ),
    )
    return sent.bind(lambda reply: _read_reply(reply, model))


def _read_reply(
    reply: http_client.Reply,
    model: type[Message],
) -> PeerResult[Message]:
    if reply.status != http.HTTPStatus.OK:
        return result.Failure(http_client.LinkFailure.INVALID)
    try:
        return result.Success(msgspec.json.decode(reply.body, type=model))
    except msgspec.MsgspecError:
        return result.Failure(http_client.LinkFailure.INVALID)


def pack_document(document: store_link.Document) -> DocumentMessage:
    """Pack an object for its way."""
    return DocumentMessage(
        name=document.name,
        revision=document.revision,
        body=document.body,
    )


def unpack_section(
    message: SectionMessage,
    known: Mapping[str, store_link.Document],
) -> dict[str, store_link.Document]:
    """Unpack a topic, with what is known of the objects that are the same."""
    unpacked = dict(known)
    if message.names is not None:
        unpacked = {
            name: known[name] for name in message.names if name in known
        }
    for packed in message.documents:
        unpacked[packed.name] = store_link.Document(
            name=packed.name,
            revision=packed.revision,
            body=packed.body,
        )
    return unpacked


def digest_peers(peers: Iterable[Peer]) -> int:
    """Digest which processes are known, to tell whether two VMs agree."""
    named = sorted(f'{peer.vm}/{peer.incarnation}' for peer in peers)
    return zlib.crc32(' '.join(named).encode())
