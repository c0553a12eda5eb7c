"""Commands of the `lentilgauge-standin` program."""

import asyncio

from lentilgauge import programs
from lentilgauge.standins import (
    fault_proxy,
    pass_through,
    platform_server,
    upstream,
    upstream_server,
)
from lentilgauge.vms import process

_LOOPBACK = '127.0.0.1'


async def _wait_until_stopped(name: str) -> None:
    process.report_ready(name)
    await process.make_stop_event().wait()


async def _run_platform(port: int) -> None:
    platform_server.start_platform(address=_LOOPBACK, port=port)
    await _wait_until_stopped('platform')


async def _run_upstream(
    profile: upstream.UpstreamProfile,
    port: int,
    seed: int,
    journal_path: str,
) -> None:
    upstream_server.start_upstream(
        profile,
        address=_LOOPBACK,
        port=port,
        seed=seed,
        journal_path=journal_path,
    )
    await _wait_until_stopped('upstream')


def run_platform(*, port: int) -> None:
    """Run the platform: its object store and its VM list."""
    asyncio.run(_run_platform(port))


def run_upstream(
    *,
    id: str,  # ruff: ignore[builtin-argument-shadowing]
    port: int,
    concurrency: int = 2,
    queue_limit: int = 8,
    service_ms: float = 2,
    journal: str = '',
    **options: float,
) -> None:
    """Run one upstream.

    The further options are `checks_tokens`, `cold_factor`, `warm_after` and
    `seed`.
    """
    profile = upstream.UpstreamProfile(
        upstream_id=str(id),
        concurrency=concurrency,
        queue_limit=queue_limit,
        service_ms=service_ms,
        checks_tokens=bool(options.get('checks_tokens', True)),
        cold_factor=options.get('cold_factor', 1),
        warm_after=int(options.get('warm_after', 0)),
    )
    asyncio.run(
        _run_upstream(profile, port, int(options.get('seed', 1)), journal)
    )


async def _run_proxy(
    proxy: fault_proxy.Proxy,
    port: int,
    control_port: int,
) -> None:
    await fault_proxy.start_proxy(
        proxy,
        address=_LOOPBACK,
        port=port,
        control_port=control_port,
    )
    await _wait_until_stopped('proxy')


def run_proxy(*, target_port: int, port: int, control_port: int) -> None:
    """Run a TCP proxy to one port that injects faults on command."""
    proxy = fault_proxy.Proxy(
        target_address=_LOOPBACK,
        target_port=target_port,
    )
    asyncio.run(_run_proxy(proxy, port, control_port))


async def _run_pass_through(target: str, port: int) -> None:
    pass_through.start_pass_through(
        address=_LOOPBACK,
        port=port,
        target=target,
    )
    await _wait_until_stopped('pass-through')


def run_pass_through(*, target: str, port: int) -> None:
    """Run a proxy that only forwards to one target, as a baseline."""
    asyncio.run(_run_pass_through(target, port))


def main() -> None:
    """Run the command that the arguments name."""
    programs.run_program(
        {
            'platform': run_platform,
            'upstream': run_upstream,
            'proxy': run_proxy,
            'pass-through': run_pass_through,
        }
    )
