"""Tests of the account of memory and connections that callers take."""

import random
import unittest

from tornado import httputil

from lentilgauge.callers import (
    body_intake,
    connection_limits,
    memory_account,
    memory_watch,
    transfer_pace,
)

_MEMORY_MB = 160
_LARGE_BYTES = 20_000_000
_SMALL_BYTES = 10_000
_STARTED_MS = 1_000_000
#: Longer than any time after which a transfer counts as stalled.
_LONG_MS = 10_000
#: Time after which a transfer with a small part of its pace is slow.
_SLOW_SECONDS = 3


class AccountTestCase(unittest.TestCase):
    """An account of a process with 160 MB, and the transfers it dropped."""

    def setUp(self) -> None:
        """Make an empty account."""
        self.account = memory_account.make_account(_MEMORY_MB)
        self.dropped: list[str] = []
        self.now_ms = _STARTED_MS

    def hold(
        self,
        name: str,
        held_bytes: int,
        kind: memory_account.Kind = memory_account.Kind.UPLOADS,
        moved_ms: int = _STARTED_MS,
    ) -> memory_account.Holding:
        """Count a transfer whose name is listed when it is dropped."""
        holding = memory_account.Holding(
            kind=kind,
            held_bytes=held_bytes,
            moved_ms=moved_ms,
            drop=lambda: self.dropped.append(name),
        )
        memory_account.hold(self.account, holding)
        return holding

    def make_room(self, claim: memory_account.Claim, wanted: int) -> bool:
        """Make room for a claim at the test's time."""
        return memory_account.make_room(
            self.account, claim, wanted, self.now_ms
        )


class MemoryAccountTest(AccountTestCase):
    """What is refused and what is dropped when memory is short."""

    def test_the_largest_body_fits_alone(self) -> None:
        """Guard against a budget that refuses a request without overload."""
        self.assertTrue(
            self.make_room(memory_account.Claim.LARGE_UPLOAD, 67_108_864)
        )

    def test_without_a_limit_nothing_is_refused(self) -> None:
        """Guard against limits in deployments that set none."""
        self.account = memory_account.make_account(0)
        self.hold('a', 10**10, moved_ms=0)
        self.assertTrue(
            self.make_room(memory_account.Claim.LARGE_UPLOAD, 10**10)
        )
        self.assertEqual(self.dropped, [])

    def test_a_stalled_upload_goes_before_one_that_moves(self) -> None:
        """Guard against dropping the callers that send."""
        self.hold('large', 3 * _LARGE_BYTES)
        self.hold('stalled', _LARGE_BYTES // 2, moved_ms=_STARTED_MS - _LONG_MS)
        self.assertTrue(
            self.make_room(memory_account.Claim.LARGE_UPLOAD, 10_000_000)
        )
        self.assertEqual(self.dropped, ['stalled'])

    def test_a_large_upload_displaces_none_that_moves(self) -> None:
        """Guard against uploads that end each other in turn."""
        self.hold('large', 3 * _LARGE_BYTES)
        self.assertFalse(
            self.make_room(memory_account.Claim.LARGE_UPLOAD, _LARGE_BYTES)
        )
        self.assertEqual(self.dropped, [])

    def test_an_ordinary_request_displaces_a_large_upload(self) -> None:
        """Guard against large bodies that leave nothing to small ones."""
        self.hold('small', _SMALL_BYTES)
        self.hold('large', self.account.limit_bytes - _SMALL_BYTES)
        self.assertTrue(
            self.make_room(memory_account.Claim.UPLOAD, _SMALL_BYTES)
        )
        self.assertEqual(self.dropped, ['large'])

    def test_requests_in_flight_are_never_dropped(self) -> None:
        """Guard against a refusal as not run of a request that may have run."""
        self.hold(
            'running',
            self.account.limit_bytes,
            memory_account.Kind.REQUESTS,
            moved_ms=0,
        )
        for claim in memory_account.Claim:
            self.assertFalse(self.make_room(claim, _SMALL_BYTES))
        self.assertEqual(self.dropped, [])

    def test_nothing_is_dropped_in_vain(self) -> None:
        """Guard against dropping transfers for a claim that fails anyway."""
        self.hold('stalled', _SMALL_BYTES, moved_ms=0)
        self.hold(
            'running', self.account.limit_bytes, memory_account.Kind.REQUESTS
        )
        self.assertFalse(
            self.make_room(memory_account.Claim.LARGE_UPLOAD, _LARGE_BYTES)
        )
        self.assertEqual(self.dropped, [])

    def test_a_trickle_is_no_progress(self) -> None:
        """Guard against callers that send a byte now and then."""
        holding = self.hold('trickle', _LARGE_BYTES)
        for _ in range(100):
            self.now_ms += 100
            memory_account.mark_progress(holding, 1, self.now_ms)
        self.assertTrue(memory_account.is_stalled(holding, self.now_ms))
        memory_account.mark_progress(holding, 65_536, self.now_ms)
        self.assertFalse(memory_account.is_stalled(holding, self.now_ms))

    def hold_reply(self, name: str, held_bytes: int) -> memory_account.Holding:
        """Count an answer that a caller reads."""
        holding = self.hold(name, held_bytes, memory_account.Kind.REPLIES)
        holding.pace = transfer_pace.Pace(since_ms=self.now_ms)
        return holding

    def test_a_slow_reader_makes_way(self) -> None:
        """Guard against readers that hold all memory, one byte at a time."""
        readers = [
            (self.hold_reply('slow', self.account.limit_bytes // 2), 60_000),
            (self.hold_reply('fast', self.account.limit_bytes // 2), 600_000),
        ]
        for _ in range(_SLOW_SECONDS):
            self.assertFalse(self.make_room(memory_account.Claim.SMALL, 1000))
            self.now_ms += 1000
            for holding, bytes_per_second in readers:
                memory_account.mark_progress(
                    holding, bytes_per_second, self.now_ms
                )
        self.assertTrue(self.make_room(memory_account.Claim.SMALL, 1000))
        self.assertEqual(self.dropped, ['slow'])

    def test_a_large_claim_displaces_no_small_reader(self) -> None:
        """Guard against many answers that are cut for one large body."""
        for number in range(self.account.limit_bytes // _SMALL_BYTES):
            self.hold_reply(str(number), _SMALL_BYTES).moved_ms += _LONG_MS
        self.now_ms += _LONG_MS
        for claim in (
            memory_account.Claim.LARGE_UPLOAD,
            memory_account.Claim.LARGE_REPLY,
        ):
            self.assertFalse(self.make_room(claim, _LARGE_BYTES))
        self.assertEqual(self.dropped, [])

    def test_small_replies_are_received_without_memory(self) -> None:
        """Guard against a granter that loses its role for lack of memory."""
        self.hold(
            'running', self.account.limit_bytes, memory_account.Kind.REQUESTS
        )
        count_reply = memory_account.make_reply_counter(
            self.account, lambda: self.now_ms
        )
        self.assertTrue(count_reply(_SMALL_BYTES, _SMALL_BYTES))
        self.assertFalse(count_reply(_LARGE_BYTES, _SMALL_BYTES))
        count_reply(0, -_SMALL_BYTES)
        self.assertEqual(
            self.account.bytes_by_kind[memory_account.Kind.REPLIES], 0
        )

    def test_load_of_uploads_that_stall_or_end(self) -> None:
        """Guard against a total over the budget, and refused small bodies.

        Five uploads arrive each 50 ms, most of which are large and stall.
        """
        generator = random.Random(7)
        ending: list[memory_account.Holding] = []
        for _ in range(4000):
            self.now_ms += 10
            size = generator.choice(
                (_SMALL_BYTES, generator.randrange(6 * 10**7))
            )
            holding = self.admit(size)
            if size == _SMALL_BYTES:
                self.assertIsNotNone(holding)
            if holding and generator.choice((size == _SMALL_BYTES, False)):
                ending.append(holding)
            for ended in ending[:-8]:
                ending.remove(ended)
                memory_account.release(self.account, ended)
            self.assert_within_budget()

    def admit(self, size: int) -> memory_account.Holding | None:
        """Count an upload if there is room for it."""
        claim = memory_account.classify_upload(size)
        if not self.make_room(claim, size):
            return None
        return self.hold('upload', size, moved_ms=self.now_ms)

    def assert_within_budget(self) -> None:
        """Check that what is held fits, and is what was counted."""
        held_bytes = sum(self.account.bytes_by_kind.values())
        self.assertLessEqual(held_bytes, self.account.limit_bytes)
        self.assertEqual(
            held_bytes,
            sum(holding.held_bytes for holding in self.account.holdings),
        )


class BodyIntakeTest(AccountTestCase):
    """How the body of a request is received and counted."""

    def begin(self, **named: str) -> body_intake.Intake | None:
        """Begin to receive a body; underscores in names stand for hyphens."""
        headers = httputil.HTTPHeaders()
        for name, text in named.items():
            headers[name.replace('_', '-')] = text
        return body_intake.begin(
            headers,
            account=self.account,
            now_ms=lambda: self.now_ms,
            max_bytes=67_108_864,
            drop=lambda: self.dropped.append('intake'),
        )

    def count_held(self) -> int:
        """Sum the bytes held."""
        return sum(self.account.bytes_by_kind.values())

    def test_an_announced_body_counts_from_the_start(self) -> None:
        """Guard against bodies that are admitted and don't fit together."""
        intake = self.begin(Content_Length='60000000')
        self.assertIsNone(self.begin(Content_Length='60000000'))
        assert intake is not None
        body_intake.end(intake)
        self.assertEqual(self.count_held(), 0)
        self.assertIsNotNone(self.begin(Content_Length='60000000'))

    def test_a_chunked_body_counts_as_it_grows(self) -> None:
        """Guard against bodies that announce no length."""
        intake = self.begin(Transfer_Encoding='chunked')
        assert intake is not None
        chunk = b'x' * 65_536
        count = 0
        while body_intake.add_chunk(intake, chunk):
            count += 1
            self.assertEqual(self.count_held(), count * len(chunk))
        self.assertLessEqual(self.count_held(), self.account.limit_bytes)
        self.assertEqual(self.dropped, [])

    def test_a_body_is_what_was_sent(self) -> None:
        """Guard against lost or reordered chunks."""
        for chunks in ([b'a'], [b'a', b'b'], [b'a', b'bc', b'd'], []):
            intake = self.begin(Content_Length='4')
            assert intake is not None
            for chunk in chunks:
                self.assertTrue(body_intake.add_chunk(intake, chunk))
            body_intake.complete(intake)
            self.assertEqual(body_intake.take_body(intake), b''.join(chunks))
            body_intake.end(intake)
        self.assertEqual(self.count_held(), 0)


class FakeStream:
    """Connection that records whether it was closed."""

    def __init__(self) -> None:
        """Start open."""
        self.is_closed = False

    def close(self) -> None:
        """Record that the connection was closed."""
        self.is_closed = True


class ConnectionLimitsTest(unittest.TestCase):
    """Which connection makes way for a new one."""

    def setUp(self) -> None:
        """Make three connections, which is the limit."""
        self.connections = connection_limits.Connections(limit=3)
        self.streams = [FakeStream() for _ in range(3)]
        for stream in self.streams:
            self.assertTrue(self.open(stream))

    def open(self, stream: FakeStream) -> bool:
        """Open a connection."""
        return connection_limits.open_connection(
            self.connections,
            stream,  # type: ignore[arg-type]
        )

    def list_closed(self) -> list[int]:
        """List the indices of the closed connections."""
        return [
            index
            for index, stream in enumerate(self.streams)
            if stream.is_closed
        ]

    def serve(self, index: int) -> None:
        """Mark a connection as being served."""
        connection_limits.mark_served(
            self.connections,
            self.streams[index],  # type: ignore[arg-type]
        )

    def test_the_platform_leaves_descriptors_for_others(self) -> None:
        """Guard against callers that take the descriptors of upstreams."""
        self.assertEqual(connection_limits.compute_limit(0), 0)
        for max_descriptors in (1638, 10_250):
            limit = connection_limits.compute_limit(max_descriptors)
            self.assertLess(2 * limit, max_descriptors - 200 - 250)

    def test_the_one_that_moved_least_recently_goes(self) -> None:
        """Guard against closing connections that make progress."""
        connection_limits.mark_moved(
            self.connections,
            self.streams[0],  # type: ignore[arg-type]
        )
        self.assertTrue(self.open(FakeStream()))
        self.assertEqual(self.list_closed(), [1])

    def test_an_incomplete_one_goes_before_a_kept_one(self) -> None:
        """Guard against closing ordinary callers' kept connections."""
        self.serve(0)
        connection_limits.mark_kept(
            self.connections,
            self.streams[0],  # type: ignore[arg-type]
        )
        self.assertTrue(self.open(FakeStream()))
        self.assertEqual(self.list_closed(), [1])

    def test_one_that_is_served_is_never_closed(self) -> None:
        """Guard against cutting the answer of a request that has run."""
        for index in range(3):
            self.serve(index)
        self.assertFalse(self.open(FakeStream()))
        self.assertEqual(self.list_closed(), [])
        connection_limits.close_connection(
            self.connections,
            self.streams[0],  # type: ignore[arg-type]
        )
        self.assertTrue(self.open(FakeStream()))

    def test_one_that_is_always_busy_makes_room(self) -> None:
        """Guard against connections on which the next request is there."""
        for index in range(3):
            self.serve(index)
        self.assertFalse(self.open(FakeStream()))
        connection_limits.mark_kept(
            self.connections,
            self.streams[2],  # type: ignore[arg-type]
        )
        self.assertEqual(self.list_closed(), [2])
        self.assertTrue(self.open(FakeStream()))

    def test_resident_memory_closes_unfinished_connections(self) -> None:
        """Guard against memory that the account doesn't count."""
        account = memory_account.make_account(_MEMORY_MB)
        self.serve(0)
        memory_watch.relieve(account, self.connections, 150_000_000)
        self.assertEqual(self.list_closed(), [])
        memory_watch.relieve(account, self.connections, 152_000_001)
        self.assertEqual(self.list_closed(), [1])
        memory_watch.relieve(account, self.connections, 160_000_000)
        self.assertEqual(self.list_closed(), [1, 2])

    def test_resident_memory_closes_kept_connections_too(self) -> None:
        """Guard against memory that no unfinished connection holds."""
        account = memory_account.make_account(_MEMORY_MB)
        dropped: list[bool] = []
        self.connections.drop_busy = lambda: bool(dropped.append(True))
        for index in range(3):
            self.serve(index)
        connection_limits.mark_kept(
            self.connections,
            self.streams[1],  # type: ignore[arg-type]
        )
        memory_watch.relieve(account, self.connections, 160_000_000)
        self.assertEqual(self.list_closed(), [1])
        self.assertEqual(dropped, [True])

    def test_without_a_limit_resident_memory_closes_none(self) -> None:
        """Guard against limits in deployments that set none."""
        account = memory_account.make_account(0)
        resident_bytes = memory_watch.read_resident_bytes()
        self.assertGreater(resident_bytes, _SMALL_BYTES)
        memory_watch.relieve(account, self.connections, resident_bytes)
        self.assertEqual(self.list_closed(), [])
