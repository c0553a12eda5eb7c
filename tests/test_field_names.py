"""Test replies with field names, or control bytes, that HTTP doesn't allow."""

import dataclasses
import json
from collections.abc import Iterator

from returns import result

from lentilgauge.links import (
    http_client,
    message_call,
    object_api,
    peer_link,
    store_link,
    upstream_data,
    upstream_link,
    witness_link,
)
from lentilgauge.platform import store_adapter, upstream_adapter
from tests import (
    raw_replies,
    raw_upstream,
    test_reply_framing,
    test_status_lines,
)

_START = b'HTTP/1.1 200 OK'
_TOKEN = b"!#$%&'*+-.^_`|~09AZaz"
_CONTROLS = (*range(0x20), 0x7F)
#: Bytes that no name may have. A colon ends the name.
_NO_NAME_BYTES = (
    *_CONTROLS,
    *b' "(),/;<=>?@[]{}',
    0x5C,
    *range(0x80, 0x100),
)
_CHUNKED = b'Transfer-Encoding: chunked'
_CHUNKED_BODY = b'4\r\nodd.\r\n0\r\n'


def list_broken_lines() -> Iterator[bytes]:
    """List field lines that HTTP doesn't allow."""
    yield b': v'
    for code in _NO_NAME_BYTES:
        yield from (
            line % code for line in (b'%cX-Foo: 1', b'X%cFoo: 1', b'X-Foo%c: 1')
        )
    for code in _CONTROLS:
        if code not in b'\t\n':
            yield b'X-Foo: a%cb' % code


def script_trailer(line: bytes) -> raw_upstream.Script:
    """Make a sealed answer whose body ends with a trailer."""
    return raw_upstream.Script(
        start=_START,
        length_line=_CHUNKED,
        body=b'%b%b\r\n\r\n' % (_CHUNKED_BODY, line),
    )


def script_length(line: bytes, body: bytes) -> raw_upstream.Script:
    """Make a sealed answer with a line about the length of its body."""
    return raw_upstream.Script(
        start=_START, length_line=line, body=body, closes=True
    )


def list_parts(line: bytes) -> list[raw_upstream.Script]:
    """List sealed answers with a line in their head, interim head or trailer.

    The lines that state the length are sound.
    """
    scripts = [
        raw_upstream.Script(start=b'%b\r\n%b' % (_START, line)),
        raw_upstream.Script(
            start=b'HTTP/1.1 103 Early\r\n%b\r\n\r\n%b' % (line, _START)
        ),
    ]
    if not line.startswith(b'\n'):
        # After the last chunk a single LF ends the reply (RFC 9112, section
        # 2.2); the rest of the line belongs to no reply.
        scripts.append(script_trailer(line))
    return scripts


def list_lengths(code: int) -> list[raw_upstream.Script]:
    """List sealed answers with a byte in a name that states the length."""
    return [
        script_length(line % code, body)
        for line, body in (
            (b'Content%cLength: 3', b'five.'),
            (b'Content-Length%c: 3', b'five.'),
            (b'%cContent-Length: 3', b'five.'),
            (b'Transfer%cEncoding: chunked', b'%b\r\n' % _CHUNKED_BODY),
            (b'Transfer-Encoding%c: chunked', b'%b\r\n' % _CHUNKED_BODY),
            (b'%cTransfer-Encoding: chunked', b'%b\r\n' % _CHUNKED_BODY),
        )
        # A line that begins with a blank continues the line before it.
        if code not in b' \t' or not line.startswith(b'%c')
    ]


class GatewayFieldNameTest(raw_replies.RawGatewayTestCase):
    """A gateway process whose upstreams send broken names."""

    def list_scripts(self) -> list[raw_upstream.Script]:
        """List replies with some broken lines in each part."""
        return [
            script
            for line in (
                b'X Foo: 1',
                b'X-Foo : 1',
                b' X-Foo: 1',
                b'X\x01Foo: 1',
                b'X\x7fFoo: 1',
                b'X\xa0Foo: 1',
                b'X(Foo: 1',
                b': 1',
                b'X-Foo: \x01',
            )
            for script in list_parts(line)
        ] + [script for code in b' \t\x01\x7f' for script in list_lengths(code)]

    async def test_a_broken_name_is_no_answer(self) -> None:
        """Guard against an answer that isn't what the upstream meant.

        Callers got answers without the line, or with a body that was cut
        short, too long or still had the framing of its chunks.
        """
        await self.call_until_sent('/safe/warm', 'warm')
        wrong_by_script: dict[str, str] = {}
        for target, script in self.script_by_target.items():
            end = await self.call_until_sent(target, target)
            expected = 'status 200 after 2'
            if target.startswith('/unsafe'):
                expected = 'status 502 after 1'
            if end != expected:
                wrong_by_script[f'{target} {script}'] = end
        self.assertEqual(
            wrong_by_script, {}, '\n'.join(map(str, wrong_by_script.items()))
        )
        self.assertEqual(self.attempts.reused_ids, [])

    async def test_sound_lines_stay_accepted(self) -> None:
        """Guard against a rule that refuses what RFC 9110 allows."""
        scripts = [
            script
            for line in (
                b'%b: 1' % _TOKEN,
                b'X-Foo:',
                b'X-Foo: \xe9\t(x)',
                b'x-foo:1 \t',
            )
            for script in list_parts(line)
        ]
        scripts.extend(
            raw_upstream.Script(start=_START + lines)
            for lines in (b'\r\nX: a\r\n b', b'\nX: a\n b\r\nY: c')
        )
        for number, script in enumerate(scripts):
            target = f'/unsafe/sound-{number}'
            self.script_by_target[target] = script
            with self.subTest(script):
                end = await self.call_until_sent(target, target)
                self.assertEqual(end, 'status 200 after 1')

    async def test_bytes_behind_a_body_answer_no_other_request(self) -> None:
        """Guard against an answer that begins with bytes of the one before.

        The connection may be reused: curl drops what it has read behind the
        last chunk.
        """
        target = '/unsafe/behind'
        self.script_by_target[target] = script_trailer(b'\nX-Foo: 1')
        end = await self.call_until_sent(target, target)
        self.assertEqual(end, 'status 200 after 1')
        for number in range(40):
            end = await self.call('/unsafe/x', f'next-{number}')
            self.assertEqual(end, 'status 200 after 1')


class ClientFieldNameTest(raw_replies.RawReplyTestCase):
    """The client, and the links of the store, the peers and upstreams."""

    async def list_accepted(
        self, scripts: Iterator[raw_upstream.Script]
    ) -> list[str]:
        """List the replies that the client accepts."""
        accepted: list[str] = []
        for script in scripts:
            called = await self.fetch(raw_upstream.encode_reply(script, 'r0'))
            if isinstance(called, result.Success):
                accepted.append(
                    f'{script}: {test_status_lines.describe(called)}'
                )
        return accepted

    async def test_a_broken_line_is_no_reply(self) -> None:
        """Guard against lines that are dropped from any part of a reply."""
        accepted = await self.list_accepted(
            script
            for line in list_broken_lines()
            for script in list_parts(line)
        )
        self.assertEqual(accepted, [], '\n'.join(accepted))

    async def test_a_broken_name_ends_no_body(self) -> None:
        """Guard against a body whose end isn't the one that was stated."""
        accepted = await self.list_accepted(
            script for code in _NO_NAME_BYTES for script in list_lengths(code)
        )
        self.assertEqual(accepted, [], '\n'.join(accepted))

    async def test_a_broken_name_is_no_answer_of_the_store(self) -> None:
        """Guard against news, or a write, that the store never confirmed."""
        listing = b'{"items": [], "hasMore": false, "at": 7}'
        for script in list_parts(b'Store Era: 1')[:2]:
            reply = raw_upstream.encode_reply(
                dataclasses.replace(script, body=listing), 'r0'
            )
            address = await self.serve(reply)
            store = store_adapter.make_store(self.client, address)
            with self.subTest(script):
                self.assertEqual(
                    (
                        await store.list_topic(store_link.Topic.CONFIGURATION),
                        await store.read_record(),
                        await store.write_record({}, 1),
                    ),
                    (result.Failure(store_link.Failure.UNKNOWN),) * 3,
                )

    async def test_a_broken_name_is_no_answer_of_others(self) -> None:
        """Guard against statements of peers, witnesses and upstreams."""
        body = json.dumps({'reachable': True, 'vms': [], 'lapse_in_ms': 0})
        start = b'%b\r\nContent\x01Encoding: x' % _START
        reply = raw_upstream.encode_reply(
            raw_upstream.Script(start=start, body=body.encode()), 'r0'
        )
        address = await self.serve(reply)
        failure = result.Failure(http_client.LinkFailure.INVALID)
        peer_call = peer_link.PeerCall(
            address=address, path='/x', timeout_ms=raw_replies.TIMEOUT_MS
        )
        self.assertEqual(
            await peer_link.call_peer(
                self.client, peer_call, peer_link.StoreAccessMessage
            ),
            failure,
        )
        message = message_call.MessageCall(
            url=f'http://{address}/x', timeout_ms=raw_replies.TIMEOUT_MS
        )
        self.assertEqual(
            await message_call.exchange(
                self.client, message, witness_link.ReleaseReply
            ),
            failure,
        )
        platform = object_api.PlatformLink(
            client=self.client,
            base_url=f'http://{address}',
            timeout_ms=raw_replies.TIMEOUT_MS,
        )
        self.assertIsInstance(
            await object_api.list_vms(platform), result.Failure
        )
        self.assertEqual(
            await upstream_data.send_dispatch(
                self.client,
                test_status_lines.make_upstream(address),
                test_status_lines.make_dispatch(idempotent=False),
            ),
            upstream_data.Unanswered(failure=http_client.LinkFailure.INVALID),
        )
        attempt = test_reply_framing.make_attempt(address)
        link = upstream_adapter.make_link(self.client)
        outcome = await link.send_attempt(attempt)
        self.assertIs(outcome.proof, upstream_link.Proof.UNKNOWN)

    async def test_a_broken_name_answers_no_order(self) -> None:
        """Guard against keys that seem granted or released."""
        head = b'%b\r\nContent-Length: 0\r\nServer Leaving: 1\r\n\r\n' % _START
        attempt = test_reply_framing.make_attempt(await self.serve(head))
        link = upstream_adapter.make_link(self.client)
        order = upstream_link.KeyOrder(
            upstream=attempt.upstream,
            start=0,
            end=9,
            fence=1,
            timeout_ms=raw_replies.TIMEOUT_MS,
        )
        for key_reply in (
            await link.grant_keys(order),
            await link.release_keys(order),
        ):
            self.assertIs(key_reply.answer, upstream_link.OrderAnswer.SILENT)
