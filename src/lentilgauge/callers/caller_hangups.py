"""Notice callers that leave while the HTTP library doesn't read from them.

While it serves a request, the library reads a connection only if it holds no
bytes of the next request. So it doesn't see the end of a connection on which
more was sent ahead. The kernel reports that end whatever is left to read, so
nothing is read for it, and what callers send ahead stays limited.
"""

import asyncio
import select

from tornado import iostream

from lentilgauge import clock

#: How often the connections that are being served are checked. Upstreams may
#: work on a request for 0.5 s after its caller has left.
INTERVAL_MS = 100


class HangupWatch:
    """Closes the connections of callers that have left while they are served.

    A caller that has only ended its sending side counts as having left, as it
    does if it sent nothing ahead.
    """

    def __init__(self) -> None:
        """Watch no connection."""
        self.stream_by_descriptor: dict[int, iostream.IOStream] = {}
        self._poller = select.poll()
        self._check_scheduled = False

    def add(self, stream: iostream.IOStream) -> None:
        """Watch an open connection."""
        descriptor = stream.socket.fileno()
        self._poller.register(descriptor, select.POLLRDHUP)
        self.stream_by_descriptor[descriptor] = stream
        self._schedule_check()

    def remove(self, stream: iostream.IOStream) -> None:
        """Watch a connection no longer, before it is closed."""
        descriptor = stream.socket.fileno()
        if self.stream_by_descriptor.get(descriptor) is stream:
            self._poller.unregister(descriptor)
            self.stream_by_descriptor.pop(descriptor)

    def _schedule_check(self) -> None:
        if self._check_scheduled or not self.stream_by_descriptor:
            return
        self._check_scheduled = True
        asyncio.get_running_loop().call_later(
            clock.to_seconds(INTERVAL_MS), self._check
        )

    def _check(self) -> None:
        self._check_scheduled = False
        for descriptor, _ in self._poller.poll(0):
            stream = self.stream_by_descriptor[descriptor]
            # The end of a write shows whether the caller is still there.
            if not stream.writing():
                stream.close()
        self._schedule_check()


def has_hung_up(stream: iostream.IOStream) -> bool:
    """Return whether the caller has closed an open connection."""
    poller = select.poll()
    poller.register(stream.socket.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))
