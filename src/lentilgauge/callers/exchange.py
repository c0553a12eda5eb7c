"""State of one HTTP request to a gateway and of its answer."""

import asyncio
import dataclasses
import enum
import time

from tornado import http1connection, httputil

from lentilgauge.callers import body_intake, gateway_request
from lentilgauge.vms import gateway as gateway_module


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Names of the request headers that callers of a gateway use.

    `not_forwarded` are headers that are removed before a request is sent to
    an upstream. In the header `workspace` the upstream gets the name of the
    request's workspace.
    """

    request_id: str
    deadline_ms: str
    key: str
    not_forwarded: tuple[str, ...]
    workspace: str = 'X-Workspace'


class Stage(enum.IntEnum):
    """How far an exchange is.

    `DROPPED` means that its request is about to be refused for lack of memory,
    while it waited for an upstream. From `REFUSED` on it is answered, or can't
    be any more: `REFUSED` before its request arrived completely, `WRITING`
    after that. `GONE` means that the caller has disconnected.
    """

    RECEIVING = 0
    DROPPED = 1
    SERVING = 2
    REFUSED = 3
    WRITING = 4
    GONE = 5


class Exchange(httputil.HTTPMessageDelegate):
    """One HTTP request and its answer, from the first header to the end.

    `intake` is the request's body while it is held, if it has one. `written` is
    done once the answer has been passed to the caller's connection completely,
    or the connection is closed; `None` before there is an answer.
    """

    def __init__(
        self,
        *,
        gateway: gateway_module.Gateway,
        dialect: Dialect,
        connection: http1connection.HTTP1Connection,
    ) -> None:
        """Initialise an exchange before its request line is read."""
        self.gateway = gateway
        self.dialect = dialect
        self.connection = connection
        self.start_line: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.intake: body_intake.Intake | None = None
        self.arrived_ms = gateway.now_ms()
        self.started_ns = time.monotonic_ns()
        self.request: gateway_request.Request | None = None
        self.stage = Stage.RECEIVING
        self.task: asyncio.Task[None] | None = None
        self.written: asyncio.Future[None] | None = None


def is_unsent(exchange: Exchange) -> bool:
    """Return whether a request can still be refused as not run.

    Before its task has begun it can't: a task that is cancelled then runs no
    part of its code, and so wouldn't answer.
    """
    if exchange.stage is Stage.RECEIVING:
        return True
    if exchange.stage is not Stage.SERVING or exchange.request is None:
        return False
    return not exchange.request.attempts


def end_intake(exchange: Exchange) -> None:
    """Free a request's body, and count it no longer."""
    if exchange.intake is not None:
        body_intake.end(exchange.intake)
        exchange.intake = None
