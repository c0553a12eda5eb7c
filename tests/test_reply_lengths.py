"""Test replies whose length can't be told, over a real connection."""

from lentilgauge.links import upstream_link
from lentilgauge.platform import headers, upstream_adapter
from tests import test_reply_framing

_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_TOO_LARGE = b'Content-Length: 99999999999999999999999\r\n'
_UNUSABLE_LINES = (
    _TOO_LARGE,
    b'content-length:\t99999999999999999999999 \r\n',
    b'Content-Length : 10\r\n',
    b'Content-Length: 10\r\nContent-Length: 5\r\n',
    b'Content-Length: 5, 10\r\n',
    b'Content-Length: -5\r\n',
    b'Content-Length: +10\r\n',
    b'Content-Length: 0x10\r\n',
    b'Content-Length: ten\r\n',
    b'Content-Length: \r\n',
    b'Content-Length: 10\r\nTransfer-Encoding: identity\r\n',
    b'Transfer-Encoding: gzip, chunked\r\n',
    b'Transfer-Encoding: chunked, chunked\r\n',
    b'Transfer-Encoding: x\r\n',
    b'Transfer-Encoding : chunked\r\n',
)


class ReplyLengthTest(test_reply_framing.FramingTest):
    """A body that ends early, after a head that states no usable length."""

    async def test_a_body_of_unusable_length_is_no_success(self) -> None:
        """Guard against a cut body that is taken for a whole one."""
        for lines in _UNUSABLE_LINES:
            with self.subTest(lines):
                call_result = await self.fetch(
                    (b'%b%b\r\nabc' % (_STATUS_LINE, lines),)
                )
                self.assertIn(
                    test_reply_framing.name_end(call_result),
                    {'broken', 'invalid'},
                )

    async def test_an_answer_of_unusable_length_proves_nothing(self) -> None:
        head = b'%b%b: r0\r\n%b: x\r\n%b\r\n' % (
            _STATUS_LINE,
            headers.REQUEST_ID.encode(),
            headers.SEAL.encode(),
            _TOO_LARGE,
        )
        link = upstream_adapter.make_link(self.client)
        outcome = await link.send_attempt(
            test_reply_framing.make_attempt(await self.serve((head, b'abc')))
        )
        self.assertEqual(outcome.proof, upstream_link.Proof.UNKNOWN)

    async def test_a_status_has_three_digits(self) -> None:
        for status_line in (
            b'HTTP/1.1 2000 OK\r\n',
            b'HTTP/1.1 200OK\r\n',
            b'HTTP/1.1 20\r\n',
        ):
            with self.subTest(status_line):
                call_result = await self.fetch(
                    (b'%bContent-Length: 1\r\n\r\na' % status_line,)
                )
                self.assertIn(
                    test_reply_framing.name_end(call_result),
                    {'broken', 'invalid'},
                )

    async def test_usual_lengths_are_read(self) -> None:
        for lines, body in (
            (b'Content-Length: 3\r\n', b'abc'),
            (b'CONTENT-LENGTH:3\r\nContent-Length: 3\r\n', b'abc'),
            (b'Content-Length: 0003 \r\n', b'abc'),
            (b'Transfer-Encoding: Chunked\r\n', b'3\r\nabc\r\n0\r\n\r\n'),
            (b'Content-Lengths: x\r\nContent-Length: 3\r\n', b'abc'),
            (b'', b'abc'),
        ):
            with self.subTest(lines):
                reply = await self.fetch(
                    (b'%b%b\r\n%b' % (_STATUS_LINE, lines, body),)
                )
                self.assertEqual(reply.unwrap().body, b'abc')
