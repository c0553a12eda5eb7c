"""Run a gateway's jobs, and stop it without cutting a request off."""

import asyncio
import signal
from collections.abc import Coroutine

from tornado import httpserver

from lentilgauge import clock, errors, events
from lentilgauge.callers import gateway_server
from lentilgauge.links import http_server
from lentilgauge.vms import beliefs as beliefs_module
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import gateway_reload, waiting_rooms

#: How often those who wait for room are looked at beside other events.
TICK_MS = 25
#: How long callers may still come after the stop was announced: the balancer
#: asks once a second and takes two misses to notice.
NOTICE_MS = 2600
#: How long before the end of the grace no further request is begun: longer
#: than most deadlines of callers.
_CLOSE_BEFORE_MS = 2400
#: How long before the end of the grace whoever still waits is answered.
_END_BEFORE_MS = 400
_LOOK_EVERY_MS = 50


def make_ready_routes(
    gateway: gateway_module.Gateway,
    path: str,
) -> dict[http_server.Route, http_server.Responder]:
    """Make the route on which the balancer asks."""

    async def tell(_: http_server.Request) -> http_server.Response:
        if is_ready(gateway):
            return http_server.respond_text('ready\n')
        return http_server.respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.LEAVING,
                detail='this gateway takes no new callers',
            ),
        )

    return {http_server.Route('GET', path): tell}


def is_ready(gateway: gateway_module.Gateway) -> bool:
    """Tell whether callers should come here."""
    return not gateway.leaving and gateway.beliefs.configuration is not None


async def look_after_waiters(gateway: gateway_module.Gateway) -> None:
    """Look for room as time passes and beliefs change, while somebody waits.

    With nobody waiting the process sleeps: in a large fleet, ticks of all VMs
    would cost more than their requests.
    """
    while True:
        await gateway.waiting_began.wait()
        while waiting_rooms.has_waiters(gateway):
            await beliefs_module.wait_for_change(gateway.beliefs, TICK_MS)
            waiting_rooms.admit_all_waiters(gateway)
            await asyncio.sleep(0)
        gateway.waiting_began.clear()


async def run_until_stopped(
    gateway: gateway_module.Gateway,
    membership: Coroutine[object, object, None],
    callers: httpserver.HTTPServer,
    source: gateway_reload.SettingsSource,
) -> None:
    """Run until told to stop; then serve out what was begun."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(
        signal.SIGHUP,
        gateway_reload.reload_settings,
        gateway,
        source,
    )
    jobs = [
        asyncio.ensure_future(membership),
        asyncio.ensure_future(look_after_waiters(gateway)),
        asyncio.ensure_future(gateway_reload.follow_settings(gateway, source)),
    ]
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        (stopping, *jobs),
        return_when=asyncio.FIRST_COMPLETED,
    )
    for job in jobs:
        if job.done():
            # A job never ends by itself: this raises what broke it.
            job.result()
    await _serve_out(gateway, callers)
    for job in jobs:
        job.cancel()


async def _serve_out(
    gateway: gateway_module.Gateway,
    callers: httpserver.HTTPServer,
) -> None:
    gateway.leaving = True
    beliefs_module.note_change(gateway.beliefs)
    events.record(events.Event.STOPPING, in_flight=gateway.in_flight)
    started_ms = gateway.now_ms()
    end_ms = started_ms + gateway.bounds.grace_ms
    close_ms = max(started_ms + NOTICE_MS, end_ms - _CLOSE_BEFORE_MS)
    await _wait_until(gateway, close_ms, started_ms + NOTICE_MS)
    gateway.closing = True
    callers.stop()
    await _wait_until(gateway, end_ms - _END_BEFORE_MS, 0)
    gateway_server.end_exchanges(gateway)
    await asyncio.sleep(clock.to_seconds(_LOOK_EVERY_MS))
    await callers.close_all_connections()
    events.record(events.Event.STOPPED, in_flight=gateway.in_flight)


async def _wait_until(
    gateway: gateway_module.Gateway,
    last_ms: int,
    first_ms: int,
) -> None:
    """Wait until nothing is in flight, between two moments."""
    while gateway.now_ms() < last_ms:
        if gateway.now_ms() >= first_ms and not gateway.in_flight:
            break
        await asyncio.sleep(clock.to_seconds(_LOOK_EVERY_MS))
