"""Background tasks of a gateway process and its graceful stop."""

import asyncio
import signal
from collections.abc import Coroutine

from lentilgauge import clock, errors, events
from lentilgauge.callers import caller_server as caller_server_module
from lentilgauge.callers import gateway_server, memory_watch
from lentilgauge.links import http_server
from lentilgauge.vms import admission_queues, gateway_reload
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import state_cache as state_cache_module

#: Longest interval between two attempts to admit the waiting requests.
WAITER_POLL_MS = 25
#: Callers may still arrive for this long after readiness is withdrawn: the
#: balancer probes once a second and needs two failed probes to notice.
STOP_NOTICE_MS = 2600
#: Requests that could end later than this long before the end of the grace
#: period are refused; those that are unfinished by then are answered at once.
_CUT_OFF_BEFORE_END_MS = 400
#: Connections are closed and the process exits in the last part of it.
_EXIT_MS = 200
_IDLE_POLL_MS = 50


def make_readiness_routes(
    gateway: gateway_module.Gateway,
    path: str,
) -> dict[http_server.Route, http_server.Responder]:
    """Make the readiness route that the balancer probes."""

    async def answer_probe(_: http_server.Request) -> http_server.Response:
        if is_ready(gateway):
            return http_server.respond_text('ready\n')
        return http_server.respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.LEAVING,
                detail='this gateway is not accepting new callers',
            ),
        )

    return {http_server.Route('GET', path): answer_probe}


def is_ready(gateway: gateway_module.Gateway) -> bool:
    """Return whether the balancer should send callers to this gateway."""
    return (
        not gateway.draining and gateway.state_cache.configuration is not None
    )


async def poll_waiters(gateway: gateway_module.Gateway) -> None:
    """Try to admit waiting requests at each state change and each interval.

    While no request waits, the task sleeps: in a large fleet, polling on all
    VMs would cost more than their requests.
    """
    while True:
        await gateway.waiters_present.wait()
        while admission_queues.has_waiters(gateway):
            await state_cache_module.wait_for_change(
                gateway.state_cache,
                WAITER_POLL_MS,
            )
            admission_queues.admit_all_waiters(gateway)
            await asyncio.sleep(0)
        gateway.waiters_present.clear()


async def run_until_stopped(
    gateway: gateway_module.Gateway,
    lead_or_follow: Coroutine[object, object, None],
    caller_server: caller_server_module.CallerServer,
    source: gateway_reload.SettingsSource,
) -> None:
    """Run until a stop signal, then finish the requests in flight.

    An exception of a background task ends the run and is raised.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(
        signal.SIGHUP,
        gateway_reload.reload_settings,
        gateway,
        source,
    )
    tasks = [
        asyncio.ensure_future(lead_or_follow),
        asyncio.ensure_future(poll_waiters(gateway)),
        asyncio.ensure_future(gateway_reload.poll_settings(gateway, source)),
        asyncio.ensure_future(
            memory_watch.watch(gateway.account, gateway.connections)
        ),
    ]
    stop_waiter = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        (stop_waiter, *tasks),
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in tasks:
        if task.done():
            # A task ends only by failing: this raises its exception.
            task.result()
    await stop_gracefully(gateway, caller_server)
    for task in tasks:
        task.cancel()


async def stop_gracefully(
    gateway: gateway_module.Gateway,
    caller_server: caller_server_module.CallerServer,
) -> None:
    """Serve until callers have gone elsewhere or the grace period is over.

    Callers keep sending on open connections. A request is accepted for as long
    as it can be answered by `stop_deadline_ms` in any case.
    """
    started_ms = gateway.now_ms()
    end_ms = started_ms + gateway.bounds.stop_grace_ms
    gateway.draining = True
    gateway.stop_deadline_ms = end_ms - _CUT_OFF_BEFORE_END_MS
    state_cache_module.notify_change(gateway.state_cache)
    events.log_event(events.Event.STOPPING, in_flight=gateway.in_flight)
    await _wait_until_idle(
        gateway, gateway.stop_deadline_ms, started_ms + STOP_NOTICE_MS
    )
    await _end_connections(gateway, caller_server, end_ms - _EXIT_MS)
    events.log_event(
        events.Event.STOPPED,
        in_flight=gateway.in_flight,
        ended=len(caller_server.ending.streams),
    )


async def _end_connections(
    gateway: gateway_module.Gateway,
    caller_server: caller_server_module.CallerServer,
    latest_ms: int,
) -> None:
    """Answer what has been read, and end all connections.

    Stop waiting for requests that were aborted, or have just been read, at
    `latest_ms`.
    """
    gateway.closing = True
    caller_server.stop()
    gateway_server.abort_exchanges(gateway)
    caller_server.end_connections()
    await asyncio.sleep(clock.to_seconds(_IDLE_POLL_MS))
    await _wait_until_idle(gateway, latest_ms, gateway.now_ms())
    await caller_server.close_ended_connections()


async def _wait_until_idle(
    gateway: gateway_module.Gateway,
    latest_ms: int,
    earliest_ms: int,
) -> None:
    """Wait until no request is in flight.

    Wait at least until `earliest_ms`, and at most until `latest_ms`.
    """
    while gateway.now_ms() < latest_ms:
        if gateway.now_ms() >= earliest_ms and not gateway.in_flight:
            break
        await asyncio.sleep(clock.to_seconds(_IDLE_POLL_MS))
