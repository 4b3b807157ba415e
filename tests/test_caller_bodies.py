"""Tests of callers' bodies that several attempts need."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import ClassVar
import unittest
from unittest import mock

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import wire
from tests import catalog_fixtures as fixtures
from tests import entry_case
from tests import fakes
from tests import gateway_case

# More than an entry keeps of a body, and more than one that refuses reads.
LARGE_BODY = bytes(range(256)) * 2_000
READ_BEFORE_REFUSAL = 300_000
SMALL_BODY = b'0123456789' * 1_000
# No target got the request, so that it needs no retry to go on.
NOT_RUN_HEADERS = (
    b'fulmarseam-not-run: 1\r\nfulmarseam-outcome: not-run\r\n'
    b'fulmarseam-relayed: 0\r\n'
)
CHUNK_BYTES = 16_000
REGION = ids.RegionName('ost')

Serve = Callable[
    [fakes.FakeTarget, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


def frame_chunks(body: bytes, trailers: bytes = b'') -> bytes:
    """Return a body in chunks."""
    pieces = []
    for start in range(0, len(body), CHUNK_BYTES):
        chunk = body[start : start + CHUNK_BYTES]
        pieces.append(b'%x\r\n%b\r\n' % (len(chunk), chunk))
    return b''.join(pieces) + b'0\r\n' + trailers + b'\r\n'


def frame_bodies(body: bytes) -> dict[str, tuple[bytes, bytes]]:
    """Return the header and the bytes of a body in each framing."""
    chunked = b'transfer-encoding: chunked'
    return {
        'length': (b'content-length: %d' % len(body), body),
        'chunks': (chunked, frame_chunks(body)),
        'trailers': (chunked, frame_chunks(body, b'x-sum: 1\r\n')),
    }


# The first part of it has been sent before the rest is refused.
BROKEN_CHUNKS = (
    b'transfer-encoding: chunked',
    frame_chunks(LARGE_BODY).removesuffix(b'0\r\n\r\n') + b'zz\r\n',
)


async def read_head(reader: asyncio.StreamReader) -> dict[bytes, bytes]:
    """Return the headers of a request."""
    head = await reader.readuntil(b'\r\n\r\n')
    pairs = (line.partition(b':') for line in head.split(b'\r\n')[1:] if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(
    reader: asyncio.StreamReader, headers: dict[bytes, bytes]
) -> bytes:
    """Return the whole body of a request, and its trailers.

    Raises `asyncio.IncompleteReadError` if it breaks off.
    """
    if b'transfer-encoding' not in headers:
        length = int(headers.get(b'content-length', b'0'))
        return await reader.readexactly(length)
    body = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (line := await reader.readuntil(b'\r\n')) != b'\r\n':
        body += line
    return body


def make_answer(
    headers: dict[bytes, bytes], status: int, extra: bytes = b''
) -> bytes:
    """Return an empty answer that echoes the id of its request."""
    request_id = headers.get(b'fulmarseam-request-id', b'')
    return (
        b'HTTP/1.1 %d X\r\nfulmarseam-request-id: %b\r\n%b'
        b'content-length: 0\r\n\r\n' % (status, request_id, extra)
    )


class Peer(fakes.FakeTarget):
    """An entry or target that refuses some requests midway.

    `bodies` are those that arrived whole.
    """

    def __init__(self, refusals: int = 0, status: int = 503) -> None:
        super().__init__(serve_peer)
        self.refusals = refusals
        self.status = status
        self.bodies: list[bytes] = []
        self.started = 0

    def count_refusal(self) -> bool:
        """Return whether the next request is refused."""
        self.started += 1
        return self.started <= self.refusals


async def serve_peer(
    target: fakes.FakeTarget,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Refuse a request in the middle of its body, or run it."""
    assert isinstance(target, Peer)
    while True:
        headers = await read_head(reader)
        if target.count_refusal():
            left = READ_BEFORE_REFUSAL
            while left > 0:
                left -= len(await reader.read(left))
            not_run = NOT_RUN_HEADERS
            writer.write(make_answer(headers, target.status, not_run))
            await writer.drain()
            await reader.read()
            return
        target.bodies.append(await read_body(reader, headers))
        writer.write(make_answer(headers, 200))


class CallerBodyTest(unittest.TestCase):
    """Guards against an attempt that starts without the beginning."""

    def make_body(self, *pieces: bytes) -> http.CallerBody:
        """Return a body whose caller sends these pieces."""
        caller = mock.Mock(body_done=False)
        caller.poll_body.side_effect = [*pieces, b'']
        return http.CallerBody(caller, 5)

    def test_each_attempt_reads_the_whole_of_a_kept_body(self) -> None:
        body = self.make_body(b'ab', b'cd')
        first = body.start()
        self.assertEqual(([], b'ab'), (first.kept, first.poll()))
        second = body.start()
        self.assertEqual([b'ab'], second.kept)
        self.assertEqual([b'cd', b''], [second.poll(), second.poll()])
        self.assertEqual([b'ab', b'cd'], body.start().kept)

    def test_no_attempt_starts_once_a_part_is_lost(self) -> None:
        body = self.make_body(b'ab', b'cdef', b'g')
        reader = body.start()
        pieces = [reader.poll() for _ in range(4)]
        self.assertEqual([b'ab', b'cdef', b'g', b''], pieces)
        self.assertFalse(body.can_start())
        self.assertEqual(0, body.kept_bytes)
        with self.assertRaises(errors.FulmarseamError) as caught:
            body.start()
        self.assertIs(errors.ErrorKind.BODY_NOT_KEPT, caught.exception.kind)

    def test_an_earlier_attempt_takes_nothing_from_a_later_one(self) -> None:
        body = self.make_body(b'ab', b'cd')
        first = body.start()
        second = body.start()
        with self.assertRaises(AssertionError):
            first.poll()
        self.assertEqual(b'ab', second.poll())


class GatewayBodyTest(gateway_case.GatewayCase):
    """Guards against a run of a request with a part of its body missing."""

    async def start_peers(self, *peers: Peer) -> None:
        """Let the gateway relay all requests through these entries."""
        for peer in peers:
            await self.enterAsyncContext(peer)
        addresses = [wire.EntryAddress(peer.address, REGION) for peer in peers]

        async def fetch() -> list[wire.EntryAddress]:
            return addresses

        self.gateway.relays._fetch = fetch
        self.gateway.relays._entries = addresses
        self.gateway.load_balancer.is_out_of_reach = lambda *_: True

    async def upload(
        self, framing: bytes, data: bytes
    ) -> gateway_case.Reply | None:
        """Send a request with these bytes as its body."""
        host, _, port = self.options.listen.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'PUT /a/b HTTP/1.1\r\nhost: shop.example\r\n'
            b'fulmarseam-request-id: q1\r\n%b\r\n\r\n%b' % (framing, data)
        )
        try:
            async with asyncio.timeout(10.0):
                return await self.read_reply(reader)
        finally:
            writer.close()

    # The second entry ran the request without the part of the body that only
    # the first one had got, or the caller got 500.
    async def test_no_further_relay_gets_a_body_that_is_not_kept(self) -> None:
        await self.put_route()
        for name, (framing, data) in frame_bodies(LARGE_BODY).items():
            with self.subTest(name):
                peers = (Peer(refusals=1), Peer(), Peer())
                await self.start_peers(*peers)
                reply = await self.upload(framing, data)
                self.assertEqual(503, reply.status, reply)
                self.assertIn(b'not-run', reply.body)
                self.assertEqual([], peers[1].bodies + peers[2].bodies)
                await asyncio.sleep(0.05)

    async def test_a_further_relay_gets_the_whole_of_a_kept_body(self) -> None:
        await self.put_route()
        for name, (framing, data) in frame_bodies(SMALL_BODY).items():
            with self.subTest(name):
                peers = (Peer(), Peer(), Peer())
                for peer in peers[:2]:
                    peer._behaviour = refuse_at_once
                await self.start_peers(*peers)
                reply = await self.upload(framing, data)
                self.assertEqual(200, reply.status, reply)
                self.assertEqual([SMALL_BODY], peers[2].bodies)

    async def test_a_misdirected_upload_is_not_sent_again(self) -> None:
        await self.put_route()
        for name, (framing, data) in frame_bodies(LARGE_BODY).items():
            peers = [Peer(refusals=1, status=421) for _ in range(2)]
            for number, peer in enumerate(peers):
                await self.enterAsyncContext(peer)
                await self.add_target(
                    f'{name}-{number}',
                    gateway_case.write_response,
                    address=peer.address,
                )
            await self.wait_for_catalog()
            with self.subTest(name):
                reply = await self.upload(framing, data)
                self.assertEqual(503, reply.status, reply)
                self.assertEqual(1, sum(peer.started for peer in peers))
                self.assertEqual([], peers[0].bodies + peers[1].bodies)
            for number in range(2):
                fixtures.leave(self.machine, f'{name}-{number}')
            await self.wait_for_catalog()

    async def test_an_upload_that_breaks_off_is_not_terminated(self) -> None:
        await self.put_route()
        peer = Peer()
        await self.start_peers(peer)
        for name, (framing, data) in frame_bodies(LARGE_BODY).items():
            with self.subTest(name):
                host, _, port = self.options.listen.rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b'PUT /a/b HTTP/1.1\r\nhost: shop.example\r\n'
                    b'fulmarseam-request-id: q1\r\n%b\r\n\r\n%b'
                    % (framing, data[:-10])
                )
                await asyncio.sleep(0.1)
                writer.close()
                await asyncio.sleep(0.1)
                self.assertEqual([], peer.bodies)

    async def test_no_attempt_follows_a_caller_that_left(self) -> None:
        await self.put_route()
        for name, (framing, data) in frame_bodies(LARGE_BODY).items():
            with self.subTest(name):
                peers = (Peer(), Peer(), Peer())
                peers[0]._behaviour = refuse_late
                await self.start_peers(*peers)
                host, _, port = self.options.listen.rpartition(':')
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b'PUT /a/b HTTP/1.1\r\nhost: shop.example\r\n'
                    b'fulmarseam-request-id: q1\r\n%b\r\n\r\n%b'
                    % (framing, data[:CHUNK_BYTES])
                )
                await asyncio.sleep(0.1)
                writer.close()
                await asyncio.sleep(0.3)
                self.assertEqual(0, peers[1].started + peers[2].started)

    # The caller was told that the request had not run.
    async def test_a_relayed_upload_that_is_refused_may_have_run(self) -> None:
        await self.put_route()
        await self.start_peers(Peer())
        reply = await self.upload(*BROKEN_CHUNKS)
        self.assertEqual(502, reply.status, reply)
        self.assertIn(b'unknown', reply.body)

    async def test_an_expected_upload_arrives_whole(self) -> None:
        await self.put_route()
        peer = Peer()
        await self.start_peers(peer)
        for name, (framing, data) in frame_bodies(LARGE_BODY).items():
            with self.subTest(name):
                peer.bodies.clear()
                host, _, port = self.options.listen.rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b'PUT /a/b HTTP/1.1\r\nhost: shop.example\r\n'
                    b'fulmarseam-request-id: q1\r\n%b\r\n'
                    b'expect: 100-continue\r\n\r\n' % framing
                )
                interim = await reader.readuntil(b'\r\n\r\n')
                self.assertIn(b' 100 ', interim)
                writer.write(data)
                async with asyncio.timeout(10.0):
                    reply = await self.read_reply(reader)
                writer.close()
                self.assertEqual(200, reply.status)
                self.assertEqual([LARGE_BODY], peer.bodies)


async def refuse_late(
    target: fakes.FakeTarget,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Refuse a request some time after its head has come."""
    headers = await read_head(reader)
    await asyncio.sleep(0.2)
    writer.write(make_answer(headers, 503, NOT_RUN_HEADERS))


async def refuse_at_once(
    target: fakes.FakeTarget,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Refuse a request once its whole body has come."""
    headers = await read_head(reader)
    await read_body(reader, headers)
    writer.write(
        make_answer(
            headers,
            503,
            NOT_RUN_HEADERS,
        )
    )


class EntryBodyTest(entry_case.EntryCase):
    """Guards against the same in an entry with grants."""

    rows: ClassVar[list[wire.Row]] = [
        wire.Pool(name=fakes.POOL),
        entry_case.make_route(),
    ]

    async def start_peers(self, *peers: Peer) -> None:
        """Let the entry relay all requests through these entries."""
        for peer in peers:
            await self.enterAsyncContext(peer)
        addresses = [wire.EntryAddress(peer.address, REGION) for peer in peers]

        async def fetch() -> list[wire.EntryAddress]:
            return addresses

        relays = self.entry._relayer.relays
        relays._fetch = fetch
        relays._entries = addresses
        self.entry.proxy._is_out_of_reach = lambda context: True

    async def upload(self, framing: bytes, data: bytes) -> entry_case.Answer:
        """Send a request with these bytes as its body."""
        return await self.exchange(
            b'PUT / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n%b\r\n\r\n%b'
            % (framing, data)
        )

    async def test_no_further_relay_gets_a_body_that_is_not_kept(self) -> None:
        for name, (framing, data) in frame_bodies(LARGE_BODY).items():
            with self.subTest(name):
                peers = (Peer(refusals=1), Peer(), Peer())
                await self.start_peers(*peers)
                answer = await self.upload(framing, data)
                self.assertEqual(
                    (503, 'not-run'), (answer.status, answer.outcome)
                )
                self.assertEqual([], peers[1].bodies + peers[2].bodies)

    async def test_a_further_relay_gets_the_whole_of_a_kept_body(self) -> None:
        for name, (framing, data) in frame_bodies(SMALL_BODY).items():
            with self.subTest(name):
                peers = (Peer(), Peer(), Peer())
                for peer in peers[:2]:
                    peer._behaviour = refuse_at_once
                await self.start_peers(*peers)
                answer = await self.upload(framing, data)
                self.assertEqual(200, answer.status, answer.data)
                self.assertEqual([SMALL_BODY], peers[2].bodies)

    async def test_a_relayed_upload_that_is_refused_may_have_run(self) -> None:
        await self.start_peers(Peer())
        answer = await self.upload(*BROKEN_CHUNKS)
        self.assertEqual((502, 'unknown'), (answer.status, answer.outcome))

    async def test_no_attempt_follows_a_caller_that_left(self) -> None:
        for name, (framing, data) in frame_bodies(LARGE_BODY).items():
            with self.subTest(name):
                peers = (Peer(), Peer(), Peer())
                peers[0]._behaviour = refuse_late
                await self.start_peers(*peers)
                _, writer = await self.connect(self.options.listen)
                writer.write(
                    b'PUT / HTTP/1.1\r\nhost: a\r\n%b\r\n\r\n%b'
                    % (framing, data[:CHUNK_BYTES])
                )
                await asyncio.sleep(0.1)
                writer.close()
                await asyncio.sleep(0.3)
                self.assertEqual(0, peers[1].started + peers[2].started)

    async def test_an_upload_that_breaks_off_is_not_terminated(self) -> None:
        peer = Peer()
        await self.start_peers(peer)
        for name, (framing, data) in frame_bodies(LARGE_BODY).items():
            with self.subTest(name):
                _, writer = await self.connect(self.options.listen)
                writer.write(
                    b'PUT / HTTP/1.1\r\nhost: a\r\n%b\r\n\r\n%b'
                    % (framing, data[:-10])
                )
                await asyncio.sleep(0.1)
                writer.close()
                await asyncio.sleep(0.1)
                self.assertEqual([], peer.bodies)
