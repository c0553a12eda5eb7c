"""Messages between VMs, sent as JSON over HTTP.

The granter is the VM that grants keys to upstreams. Every other VM follows it
by long polling, directly or through another VM as a relay. A request states the
revisions that the follower has and carries the follower's report; the reply has
all newer state. The reply is delayed until there is newer state or the wait
time is over.
"""

import dataclasses
import http
import zlib
from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec
from returns import result
from tornado import httputil

from lentilgauge.contracts import ownership
from lentilgauge.links import (
    http_client,
    peer_encoding,
    quota_link,
    store_link,
)

FOLLOW_PATH = '/peer/follow'
VIEW_PATH = '/peer/view'
STORE_ACCESS_PATH = '/peer/store'
TAKEOVER_PATH = '/peer/lead'
#: `state_lag_ms` of a VM that never had current state, some 30 years.
UNKNOWN_LAG_MS = 1_000_000_000_000


class Peer(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """A VM's gateway process and the address at which other VMs reach it.

    `incarnation` tells the process from earlier ones on the VM. `cores` is the
    VM's processing capacity in cores.
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
    """A `store_link.Document`, one object of the store."""

    name: str
    revision: int
    body: object

    def __repr__(self) -> str:
        """Leave out the body, which may have API keys."""
        return f'DocumentMessage(name={self.name!r}, revision={self.revision})'


class TopicMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Changes of the objects of one topic, up to the store's revision `mark`.

    `edits` counts the removals after that revision that the sender, or the VM
    that it follows, made on its own, without the store. `documents` are the
    objects that changed since the follower's revision. `names` lists all
    objects of the topic if any was removed since the follower's revision, and
    is `None` otherwise. `mark` and the documents' revisions are of the store's
    `era`; a VM of an earlier version names none.
    """

    mark: int
    edits: int
    names: list[str] | None
    documents: list[DocumentMessage]
    era: int | None = None


class UpstreamReport(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Counters of one upstream at a VM since the VM's last report.

    `slowness` sums the execution times of the `executed` requests, each
    divided by the usual time of its route; `moved` counts refusals because
    the upstream doesn't own the key.
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
    """What a VM has counted since its last report.

    `counts_by_service` has, for each service, pairs of a key and its number of
    requests. `leaving_by_upstream` has the incarnation of each upstream that
    told the VM that it is leaving.
    """

    counts_by_service: dict[str, list[tuple[int, int]]] = {}
    report_by_upstream: dict[str, UpstreamReport] = {}
    leaving_by_upstream: dict[str, int] = {}


class SuspicionMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """A VM's suspicion that an incarnation of an upstream has restarted.

    It ends after `remaining_ms`. While `failing` is true the VM can't reach the
    upstream; then it has answered.
    """

    incarnation: int
    remaining_ms: int
    failing: bool = False


class ReplyReceipt(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Which reply a follower last received.

    `incarnation` is that of the process that sent the reply, and `replied_ms`
    the time of the reply on that process's clock.
    """

    incarnation: str
    replied_ms: int


class FollowMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """Request for state that is newer than the follower's.

    `mark_by_topic` has the follower's `mark` and `edits` of each topic, and
    `term` and `serial` are the version of the ownership that the follower has.
    `outage_age_ms` is how long ago the follower last reported a store outage to
    a granter, or `None` if that no longer matters. A restart counts as such a
    report, as the process before it may have sent one. The reply may be delayed
    by up to `wait_ms`. `peers_digest` is the checksum of the live peers that
    the follower knows, without the VM to which it sends the request.
    `suspicion_by_upstream` has what the follower itself suspects. `receipt`
    names the last reply that the follower received from any VM. `quota` has the
    permits that the follower needs. `era_by_topic` has the store's era of each
    mark; a VM of an earlier version sends none.
    """

    peer: Peer
    mark_by_topic: dict[store_link.Topic, tuple[int, int]]
    term: int
    serial: int
    wait_ms: int
    peers_digest: int = 0
    outage_age_ms: int | None = None
    report: Report = Report()
    suspicion_by_upstream: dict[str, SuspicionMessage] = {}
    receipt: ReplyReceipt | None = None
    quota: quota_link.QuotaNeeds | None = None
    era_by_topic: dict[store_link.Topic, int] | None = None


class ViewMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """A VM and the granter that it knows, with the granter's term.

    `age_ms` is how long ago the VM last heard of the granter, directly or
    through another VM. `grants` is true if the VM itself is the granter, or may
    become it without another call to the store. The VM's state of the store's
    topics is `state_lag_ms` older than that: a granter that has yet to read
    them knows no more than when it followed its predecessor.
    `configuration_age_ms` is the age that its configuration had, by the word of
    the store, when the request for this view arrived; negative if the store has
    given its word since. It is `None` if it is unknown or the VM is of an
    earlier version. The VM knows of no fencing token reserved by a granter from
    `fence_limit` on.
    """

    peer: Peer
    term: int
    granter: ownership.Granter
    age_ms: int
    grants: bool
    state_lag_ms: int = 0
    configuration_age_ms: int | None = None
    fence_limit: int = 0


class FollowReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    omit_defaults=True,
):
    """State that is newer than the follower's.

    `section_by_topic` has the topics with changes, and `news` the changes of
    ownership, if there are any. `peers` are the live peers of the replying VM,
    or `None` if the digest in the request shows that the follower knows them.
    `suspicion_by_upstream` has what VMs suspect that the replying one knows of.
    `replied_ms` is the time of the reply on the replying VM's clock. `quota`
    has permits lent to the follower.
    """

    view: ViewMessage
    section_by_topic: dict[store_link.Topic, TopicMessage] = {}
    news: ownership.OwnershipDelta | None = None
    peers: list[Peer] | None = None
    suspicion_by_upstream: dict[str, SuspicionMessage] = {}
    replied_ms: int = 0
    quota: quota_link.QuotaLoans | None = None


class StoreAccessMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a VM reaches the store.

    A VM that is `stopping` takes over from no granter; one of an earlier
    version doesn't say so.
    """

    reachable: bool
    stopping: bool = False


class TakeoverReply(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a VM takes over as it was asked to, or is the granter itself."""

    accepted: bool = msgspec.field(name='reachable')


class TakeoverMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Request to a peer to take over from a granter.

    It comes from the granter, which has stopped, or with `granter_lost` from a
    small VM that found no VM which hears the granter. `term` is that of the
    granter. `hold_ms` is the longest time for which its grants may still last,
    or 0 if that is unknown. `sections_ms` is that for the sections of quotas
    that it or earlier granters leased, or `None` if unknown.
    """

    term: int
    hold_ms: int
    granter_lost: bool = False
    sections_ms: int | None = None


Message = TypeVar('Message')
PeerResult = result.Result[Message, http_client.LinkFailure]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerCall:
    """HTTP request to a VM: a POST with `message`, or a GET if it is `None`.

    `address` includes the port. The reply may be compressed if `compressible`.
    """

    address: str
    path: str
    timeout_ms: int
    message: msgspec.Struct | None = None
    compressible: bool = True


async def call_peer(
    client: http_client.Client,
    call: PeerCall,
    model: type[Message],
) -> PeerResult[Message]:
    """Send a message to a VM and parse the reply."""
    body = None
    if call.message is not None:
        body = msgspec.json.encode(call.message)
    headers = httputil.HTTPHeaders()
    if call.compressible:
        headers[peer_encoding.ACCEPT_HEADER] = peer_encoding.ACCEPTED_ENCODINGS
    call_result = await http_client.send_call(
        client,
        http_client.Call(
            method='GET' if body is None else 'POST',
            url=f'http://{call.address}{call.path}',
            timeout_ms=call.timeout_ms,
            body=body,
            headers=headers,
        ),
    )
    return call_result.bind(lambda reply: _parse_reply(reply, model))


def _parse_reply(
    reply: http_client.Reply,
    model: type[Message],
) -> PeerResult[Message]:
    if reply.status != http.HTTPStatus.OK:
        return result.Failure(http_client.LinkFailure.INVALID)
    body = peer_encoding.decode_body(reply)
    if body is None:
        return result.Failure(http_client.LinkFailure.INVALID)
    try:
        return result.Success(msgspec.json.decode(body, type=model))
    except (msgspec.MsgspecError, RecursionError):
        return result.Failure(http_client.LinkFailure.INVALID)


def pack_document(document: store_link.Document) -> DocumentMessage:
    """Convert an object of the store to a message."""
    return DocumentMessage(
        name=document.name,
        revision=store_link.get_history_revision(document.revision),
        body=document.body,
    )


def merge_topic_changes(
    message: TopicMessage,
    known_by_name: Mapping[str, store_link.Document],
    era: int = 0,
) -> dict[str, store_link.Document]:
    """Merge a topic's changes into the known objects and return all objects.

    The revisions in the message are of the store's `era`.
    """
    document_by_name = dict(known_by_name)
    if message.names is not None:
        document_by_name = {
            name: known_by_name[name]
            for name in message.names
            if name in known_by_name
        }
    for document_message in message.documents:
        document_by_name[document_message.name] = store_link.Document(
            name=document_message.name,
            revision=store_link.join_revision(era, document_message.revision),
            body=document_message.body,
        )
    return document_by_name


def compute_peers_digest(peers: Iterable[Peer]) -> int:
    """Compute a checksum by which two VMs compare the peers they know."""
    process_ids = sorted(f'{peer.vm}/{peer.incarnation}' for peer in peers)
    return zlib.crc32(' '.join(process_ids).encode())
