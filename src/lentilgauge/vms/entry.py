"""State of one entry, a process that receives callers' requests."""

import asyncio
import dataclasses
import random
import secrets

from lentilgauge import clock, metrics, settings
from lentilgauge.callers import (
    connection_limits,
    kinds,
    memory_account,
    retries,
)
from lentilgauge.links import http_client, relay_link
from lentilgauge.services import catalog
from lentilgauge.upstreams import (
    concurrency_limiter as concurrency_limiter_module,
)
from lentilgauge.vms import replica

_ID_PREFIX_BYTES = 6


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """State of one entry: its replica, requests in flight and their limits.

    `section` is the entry's section of the settings file. The replica counts
    as fresh until `fresh_deadline_ms`. `position_by_url` is how far each
    controller's changes were read. `catalog_version` is the version of the
    configuration that was last applied, -1 before the first. `idle` is set
    while no request is in flight, `leaving` once the process has received a
    stop signal.
    """

    vm: settings.VmSettings
    section: settings.EntrySettings
    client: http_client.Client
    replica: replica.Replica
    metrics: metrics.Metrics
    now_ms: clock.Clock
    random: random.Random
    request_id_prefix: str
    account: memory_account.Account = dataclasses.field(
        default_factory=memory_account.Account
    )
    connections: connection_limits.Connections = dataclasses.field(
        default_factory=connection_limits.Connections
    )
    fresh_deadline_ms: int = 0
    position_by_url: dict[str, relay_link.Position] = dataclasses.field(
        default_factory=dict,
    )
    leaving: bool = False
    in_flight: int = 0
    idle: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    last_request_number: int = 0
    catalog_version: int = -1
    templates_by_shape: kinds.TemplatesByShape = dataclasses.field(
        default_factory=dict,
    )
    pooled_upstreams_by_service: dict[str, tuple[catalog.Upstream, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    limiter_by_upstream: dict[
        str, concurrency_limiter_module.ConcurrencyLimiter
    ] = dataclasses.field(
        default_factory=dict,
    )
    retry_budget_by_service: dict[str, retries.Budget] = dataclasses.field(
        default_factory=dict,
    )


def make_entry(
    file_settings: settings.EntryFile,
    now_ms: clock.Clock = clock.read_monotonic_ms,
) -> Entry:
    """Make an entry with an empty replica and no requests in flight."""
    section = file_settings.entry
    account = memory_account.make_account(section.memory_mb)
    entry = Entry(
        vm=file_settings.vm,
        section=section,
        client=http_client.make_client(
            memory_account.make_reply_counter(account, now_ms)
        ),
        account=account,
        connections=connection_limits.Connections(
            limit=connection_limits.compute_limit(section.max_fds)
        ),
        replica=replica.Replica(),
        metrics=metrics.Metrics(),
        now_ms=now_ms,
        random=random.Random(),  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        request_id_prefix=(
            f'{file_settings.vm.id}-{secrets.token_hex(_ID_PREFIX_BYTES)}'
        ),
    )
    entry.idle.set()
    return entry


def make_request_id(entry: Entry) -> str:
    """Make an id that is unique among all requests of the system."""
    entry.last_request_number += 1
    return f'{entry.request_id_prefix}-{entry.last_request_number}'


def begin_request(entry: Entry) -> None:
    """Count a request as in flight."""
    entry.in_flight += 1
    entry.idle.clear()


def end_request(entry: Entry) -> None:
    """Count a request as ended, and signal when none is in flight."""
    entry.in_flight -= 1
    if not entry.in_flight:
        entry.idle.set()


def is_fresh(entry: Entry) -> bool:
    """Check whether the replica is fresh enough for requests to rely on it."""
    return entry.now_ms() < entry.fresh_deadline_ms


def apply_configuration(entry: Entry) -> None:
    """Update what is derived from the configuration and the slot maps."""
    config = entry.replica.config
    if entry.catalog_version != config.version:
        entry.catalog_version = config.version
        entry.templates_by_shape = kinds.index_kinds(config.kinds)
        _update_limiters(entry, config)
    for service in config.service_by_name.values():
        entry.pooled_upstreams_by_service[service.name] = (
            _list_pooled_upstreams(entry, service)
        )


def _update_limiters(entry: Entry, config: catalog.Catalog) -> None:
    for removed_id in (
        entry.limiter_by_upstream.keys() - config.upstream_by_id.keys()
    ):
        entry.limiter_by_upstream.pop(removed_id)
    for upstream in config.upstream_by_id.values():
        concurrency_limiter = entry.limiter_by_upstream.setdefault(
            upstream.id,
            concurrency_limiter_module.ConcurrencyLimiter(
                limit=upstream.concurrency
            ),
        )
        concurrency_limiter.limit = upstream.concurrency
    for service in config.service_by_name:
        entry.retry_budget_by_service.setdefault(service, retries.Budget())


def _list_pooled_upstreams(
    entry: Entry,
    service: catalog.Service,
) -> tuple[catalog.Upstream, ...]:
    """List the upstreams of a pooled service that may get new requests."""
    slot_map = entry.replica.slot_map_by_service.get(service.name)
    if slot_map is None or service.keyed:
        return ()
    config = entry.replica.config
    return tuple(
        upstream
        for upstream in catalog.list_upstreams(config, service.name)
        if upstream.id in slot_map.lease_by_id
        and catalog.accepts_new_work(config, upstream.id)
    )
