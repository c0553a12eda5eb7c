"""Connection of a caller, whose long work is done in turns."""

import asyncio
import contextlib
import dataclasses
import functools
import socket
from collections.abc import Awaitable, Callable

from tornado import iostream

from lentilgauge.callers import caller_hangups, loop_turns

#: A head with more lines or bytes is long.
_SHORT_HEAD_LINES = 64
_SHORT_HEAD_BYTES = 8192
#: Reads of fewer bytes are counted; this many of a request wait for no turn.
_SMALL_READ_BYTES = 512
_FREE_SMALL_READS = 32
#: Fills 100 Mbit/s at a round trip of 5 ms.
_WIDE_WINDOW_BYTES = 65_536


@dataclasses.dataclass(slots=True, kw_only=True)
class Ending:
    """Whether a server ends its connections, and which it has ended.

    These stay open for a while, so that callers can read their last answers: a
    close with unread bytes resets a connection, and the reset may overtake what
    was written.
    """

    has_begun: bool = False
    streams: list['CallerStream'] = dataclasses.field(default_factory=list)


class CallerStream(iostream.IOStream):
    """Connection whose long work waits for its turns.

    Such work is a long head, many chunks, or bytes that come one by one, as a
    head is searched for its end at each of them. `frames` counts the chunks
    that have been read on it, and `small_reads` the short reads of the current
    request. Once these are too many, each waits until `may_read`. `hangups`
    watches the connection while a request on it is served. Once its server's
    `ending` has begun, its sending side ends with the answer to the request
    that was read last.
    """

    def __init__(
        self,
        connection: socket.socket,
        *,
        turns: loop_turns.Turns,
        hangups: caller_hangups.HangupWatch,
        ending: Ending,
        read_chunk_size: int,
    ) -> None:
        """Initialise the stream of an accepted connection."""
        super().__init__(connection, read_chunk_size=read_chunk_size)
        self.turns = turns
        self.hangups = hangups
        self.ending = ending
        self.frames = 0
        self.small_reads = 0
        self.may_read = False
        self._awaits_read = False
        self._has_ended = False
        self._requested: list[loop_turns.Turn] = []

    def close(
        self,
        exc_info: (
            bool | BaseException | tuple[object, object, object] | None
        ) = False,
    ) -> None:
        """Close the connection; what waited on it ends at once."""
        if not self.closed():
            self.hangups.remove(self)
        super().close(exc_info)  # type: ignore[arg-type]
        for turn in self._requested:
            loop_turns.take_at_once(self.turns, turn)
        self._requested.clear()

    def end_sending(self) -> None:
        """End the sending side, and read no more."""
        if self.closed() or self._has_ended:
            return
        self._has_ended = True
        self.ending.streams.append(self)
        # The caller may have closed it, or the loop may not watch it.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        with contextlib.suppress(KeyError, ValueError, OSError):
            self.io_loop.update_handler(self.socket, 0)

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Set the callback for the end of the connection.

        The HTTP library has one while a request is served.
        """
        if not self.closed():
            if callback is None:
                self.hangups.remove(self)
            else:
                self.hangups.add(self)
        super().set_close_callback(callback)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read what has arrived, or nothing until the turn for it has come."""
        if self._has_ended:
            self.close()
            return None
        if self.small_reads >= _FREE_SMALL_READS and not self.may_read:
            self._request_read()
            return None
        self.may_read = False
        count = super().read_from_fd(buf)
        if count is not None and count < _SMALL_READ_BYTES:
            self.small_reads += 1
        return count

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a head; a long one is returned when its turn has come.

        Raise `StreamClosedError` if the connection is closed or ends here:
        nobody gets an answer to what is left on it.
        """
        if self.ending.has_begun:
            self.end_sending()
        if self.closed() or self._has_ended:
            raise iostream.StreamClosedError(real_error=self.error)
        read = asyncio.ensure_future(super().read_until_regex(regex, max_bytes))
        passed: asyncio.Future[bytes] = asyncio.Future()
        if read.done():
            self._pass_head(passed, read)
        else:
            read.add_done_callback(functools.partial(self._pass_head, passed))
        return passed

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read the length of a chunk, after many of them in a later turn."""
        read = asyncio.ensure_future(super().read_until(delimiter, max_bytes))
        self.frames += 1
        if self.frames % loop_turns.FRAMES_PER_TURN:
            return read
        passed: asyncio.Future[bytes] = asyncio.Future()
        self._request_turn(
            loop_turns.FRAMES_UNITS, functools.partial(_chain, read, passed)
        )
        return passed

    def _request_turn(self, units: int, take: Callable[[], None]) -> None:
        turn = loop_turns.Turn(units=units, take=take)
        self._requested = [
            requested
            for requested in self._requested
            if requested in self.turns.waiting
        ]
        self._requested.append(turn)
        loop_turns.request_turn(self.turns, turn)

    def _request_read(self) -> None:
        if self._awaits_read:
            return
        self._awaits_read = True
        loop_turns.request_turn(
            self.turns,
            loop_turns.Turn(units=loop_turns.READ_UNITS, take=self._allow_read),
        )

    def _allow_read(self) -> None:
        self._awaits_read = False
        self.may_read = True

    def _pass_head(
        self, passed: asyncio.Future[bytes], read: asyncio.Future[bytes]
    ) -> None:
        self.small_reads = 0
        if _failed(read) or _is_short(read.result()):
            _copy_outcome(passed, read)
            return
        self._request_turn(
            loop_turns.HEAD_UNITS,
            functools.partial(self._pass_long_head, passed, read),
        )

    def _pass_long_head(
        self, passed: asyncio.Future[bytes], read: asyncio.Future[bytes]
    ) -> None:
        if not self.closed():
            _copy_outcome(passed, read)
        elif not passed.done():
            passed.set_exception(
                iostream.StreamClosedError(real_error=self.error)
            )
            # The HTTP library may have stopped waiting for it.
            passed.exception()


def close_if_left(stream: iostream.BaseIOStream) -> bool:
    """Close a connection whose caller has left; return whether it is closed."""
    if (
        isinstance(stream, CallerStream)
        and not stream.closed()
        and caller_hangups.has_hung_up(stream)
    ):
        stream.close()
    return stream.closed()


def widen_window(stream: iostream.BaseIOStream) -> None:
    """Let a caller send more before it is read, for a long body."""
    if isinstance(stream, CallerStream):
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _WIDE_WINDOW_BYTES
        )


def _is_short(head: bytes) -> bool:
    return (
        len(head) <= _SHORT_HEAD_BYTES
        and head.count(b'\n') <= _SHORT_HEAD_LINES
    )


def _failed(read: asyncio.Future[bytes]) -> bool:
    return read.cancelled() or read.exception() is not None


def _chain(read: asyncio.Future[bytes], passed: asyncio.Future[bytes]) -> None:
    """Pass on the outcome of a read, once there is one."""
    if read.done():
        _copy_outcome(passed, read)
    else:
        read.add_done_callback(functools.partial(_copy_outcome, passed))


def _copy_outcome(
    passed: asyncio.Future[bytes], read: asyncio.Future[bytes]
) -> None:
    if passed.done():
        return
    if read.cancelled():
        passed.cancel()
        return
    error = read.exception()
    if error is None:
        passed.set_result(read.result())
    else:
        passed.set_exception(error)
        # The HTTP library may have stopped waiting for it.
        passed.exception()
