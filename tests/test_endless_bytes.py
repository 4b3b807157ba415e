"""Tests of targets and callers that send bytes without end."""

import asyncio
import contextlib
import gc
import socket
import threading
import time
from unittest import mock

from fulmarseam import http
from fulmarseam.gateway import _attempts
from tests import catalog_fixtures as fixtures
from tests import gateway_case

BLOCK_BYTES = 64 * 1024
ROUTE_TIMEOUT_S = 1.0
# Time after the deadline within which the caller has its answer.
ANSWER_MARGIN_S = 0.5
# Longest processor time of the entry between two turns of its loop. A request
# through an entry takes 1 ms at p50 and 5 ms at p99, so a longer standstill
# would more than double the p99 of others.
MAX_TURN_S = 0.05
# Bytes that an entry may take before it cuts off a target: twice those that
# it buffers of an answer. More may be in the buffers of the kernel.
MAX_RECEIVED_BYTES = 2 * _attempts.MAX_BUFFERED_ANSWER_BYTES

HEAD = b'HTTP/1.1 200 OK\r\nfulmarseam-request-id: q1\r\n'
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
OTHER = (
    b'HTTP/1.1 200 OK\r\nfulmarseam-request-id: other\r\n'
    b'content-length: 1000000000\r\n\r\n'
)


def fill(pattern: bytes) -> bytes:
    """Return about one block of a repeated pattern."""
    return pattern * max(1, BLOCK_BYTES // len(pattern))


class EndlessTarget:
    """A target on a thread that answers with a start and an endless rest.

    The first `good_answers` requests are answered properly. With `pause_s`
    the rest is sent a byte at a time.
    """

    def __init__(
        self,
        start: bytes,
        rest: bytes,
        pause_s: float = 0.0,
        good_answers: int = 0,
    ) -> None:
        self._start = start
        self._rest = rest
        self._pause_s = pause_s
        self._good_answers = good_answers
        self.was_closed = threading.Event()
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                with connection, contextlib.suppress(OSError):
                    connection.settimeout(10.0)
                    self._answer(connection)
                self.was_closed.set()

    def _answer(self, connection: socket.socket) -> None:
        while self._good_answers:
            if not connection.recv(BLOCK_BYTES):
                return
            self._good_answers -= 1
            connection.sendall(HEAD + b'content-length: 2\r\n\r\nok')
        if not connection.recv(BLOCK_BYTES):
            return
        connection.sendall(self._start)
        while True:
            if self._pause_s:
                time.sleep(self._pause_s)
                connection.sendall(self._rest[:1])
            else:
                connection.sendall(self._rest)

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()


class EndlessBytesCase(gateway_case.GatewayCase):
    """Sends a request to an endless target and watches the entry."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # As the programs do at their start: a collection of all that other
        # tests have left takes as long as the bound of a turn.
        gc.collect()
        gc.freeze()
        self.addCleanup(gc.unfreeze)
        self.received_bytes = 0
        receive = http.TargetConnection.data_received

        def count_received(
            connection: http.TargetConnection, data: bytes
        ) -> None:
            self.received_bytes += len(data)
            receive(connection, data)

        patch = mock.patch.object(
            http.TargetConnection, 'data_received', count_received
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def start_target(
        self,
        start: bytes,
        rest: bytes,
        pause_s: float = 0.0,
        good_answers: int = 0,
    ) -> EndlessTarget:
        target = EndlessTarget(start, rest, pause_s, good_answers)
        self.addCleanup(target.close)
        fixtures.announce(self.machine, 't1', address=target.address)
        await self.put_route(
            timeout_ms=ROUTE_TIMEOUT_S * 1_000, idempotent=False
        )
        return target

    async def measure_longest_turn(self) -> float:
        """Return the longest processor time between two turns of the loop.

        Runs until it is cancelled.
        """
        longest_s = 0.0
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                started = time.thread_time()
                await asyncio.sleep(0)
                longest_s = max(longest_s, time.thread_time() - started)
        return longest_s

    async def read_all(self) -> bytes:
        """Return all bytes of the answer, up to the end of the connection."""
        reader, writer = await self.open_call(connection='close')
        received = bytearray()
        with contextlib.suppress(ConnectionError):
            while piece := await reader.read(BLOCK_BYTES):
                received += piece
                del received[1_000:-1_000]
        writer.close()
        return bytes(received)

    async def check(self, target: EndlessTarget) -> bytes:
        """Return the answer after checks of time, lag and the connection."""
        watch = asyncio.create_task(self.measure_longest_turn())
        started = time.monotonic()
        async with asyncio.timeout(10.0):
            answer = await self.read_all()
        taken_s = time.monotonic() - started
        watch.cancel()
        longest_s = await watch
        closed = await asyncio.to_thread(target.was_closed.wait, 2.0)
        self.assertTrue(closed, 'the connection to the target stays open')
        self.assertLess(taken_s, ROUTE_TIMEOUT_S + ANSWER_MARGIN_S)
        self.assertLess(longest_s, MAX_TURN_S)
        return answer

    async def check_failure(self, target: EndlessTarget) -> None:
        answer = await self.check(target)
        self.assertIn(answer[9:12], (b'502', b'504'))
        self.assertLess(self.received_bytes, MAX_RECEIVED_BYTES)


class EndlessHeadTest(EndlessBytesCase):
    """Guards against an entry that reads a head until it stands still."""

    async def test_header_lines(self) -> None:
        await self.check_failure(
            await self.start_target(HEAD, fill(b'x-a: b\r\n'))
        )

    async def test_status_line(self) -> None:
        await self.check_failure(
            await self.start_target(b'HTTP/1.1 200 ', fill(b'O'))
        )

    async def test_interim_responses(self) -> None:
        await self.check_failure(
            await self.start_target(b'', fill(b'HTTP/1.1 102 P\r\n\r\n'))
        )

    async def test_bytes_that_are_no_response(self) -> None:
        await self.check_failure(await self.start_target(b'', fill(b'?')))

    async def test_a_head_a_byte_at_a_time(self) -> None:
        await self.check_failure(
            await self.start_target(HEAD + b'x-a: ', b'x', pause_s=0.01)
        )


class QuotedBytesTest(EndlessBytesCase):
    """Guards against answers and log lines that hold what a target sent."""

    MAX_ANSWER_BYTES = 1_000

    async def check_short(self, start: bytes) -> None:
        target = await self.start_target(start, b'x', pause_s=0.05)
        answer = await self.check(target)
        self.assertIn(answer[9:12], (b'502', b'504'))
        body = answer.partition(b'\r\n\r\n')[2]
        self.assertLess(len(body), self.MAX_ANSWER_BYTES)

    async def test_a_status_line(self) -> None:
        await self.check_short(b'?' * 900 + b'\r\n\r\n')

    async def test_a_field(self) -> None:
        await self.check_short(HEAD + b'\x01' * 900 + b': a\r\n\r\n')

    async def test_the_size_of_a_chunk(self) -> None:
        await self.check_short(CHUNKED + b'z' * 900 + b'\r\n')


class EndlessBodyTest(EndlessBytesCase):
    """Guards against an endless body that looks complete or stalls others."""

    async def check_broken(self, target: EndlessTarget) -> None:
        """Expect an error, or a body that is visibly incomplete."""
        answer = await self.check(target)
        if answer[9:12] == b'200':
            self.assertIn(b'transfer-encoding: chunked', answer.lower())
            self.assertFalse(answer.endswith(b'0\r\n\r\n'))
        else:
            self.assertIn(answer[9:12], (b'502', b'504'))

    async def test_small_chunks(self) -> None:
        await self.check_broken(
            await self.start_target(CHUNKED, fill(b'1\r\nx\r\n'))
        )

    async def test_large_chunks(self) -> None:
        chunk = b'8000\r\n' + b'x' * 0x8000 + b'\r\n'
        await self.check_broken(await self.start_target(CHUNKED, fill(chunk)))

    async def test_chunk_extensions(self) -> None:
        await self.check_broken(
            await self.start_target(CHUNKED + b'1;', fill(b'x'))
        )

    async def test_trailers(self) -> None:
        await self.check_broken(
            await self.start_target(CHUNKED + b'0\r\n', fill(b'x-a: b\r\n'))
        )

    async def test_a_body_that_only_the_close_ends(self) -> None:
        await self.check_broken(
            await self.start_target(HEAD + b'\r\n', fill(b'x'))
        )

    async def test_a_body_a_byte_at_a_time(self) -> None:
        await self.check_broken(
            await self.start_target(CHUNKED, b'1', pause_s=0.01)
        )

    async def test_more_than_the_stated_length(self) -> None:
        target = await self.start_target(
            HEAD + b'content-length: 2\r\n\r\nok', fill(b'x')
        )
        answer = await self.check(target)
        self.assertTrue(answer.endswith(b'\r\n\r\nok'))
        self.assertLess(self.received_bytes, MAX_RECEIVED_BYTES)


class EndlessCopyTest(EndlessBytesCase):
    """Guards against the endless answer to another request."""

    async def test_on_a_kept_connection(self) -> None:
        target = await self.start_target(OTHER, fill(b'x'), good_answers=1)
        self.assertEqual(200, (await self.call()).status)
        await self.check_failure(target)

    async def test_on_a_new_connection(self) -> None:
        await self.check_failure(await self.start_target(OTHER, fill(b'x')))


class EndlessCallerTest(EndlessBytesCase):
    """Guards against a caller whose body never ends."""

    async def test_small_chunks_do_not_stall_the_entry(self) -> None:
        async def hang(reader, writer, headers):
            await asyncio.sleep(10.0)

        await self.add_target('t1', hang)
        await self.put_route(timeout_ms=ROUTE_TIMEOUT_S * 1_000)
        watch = asyncio.create_task(self.measure_longest_turn())
        await asyncio.to_thread(self._send_chunks)
        watch.cancel()
        self.assertLess(await watch, MAX_TURN_S)

    def _send_chunks(self) -> None:
        host, _, port = self.options.listen.rpartition(':')
        with (
            socket.create_connection((host, int(port)), 5.0) as connection,
            contextlib.suppress(OSError),
        ):
            connection.sendall(
                b'POST /a/b HTTP/1.1\r\nhost: shop.example\r\n'
                b'fulmarseam-request-id: q1\r\n'
                b'transfer-encoding: chunked\r\n\r\n'
            )
            end = time.monotonic() + 2 * ROUTE_TIMEOUT_S
            while time.monotonic() < end:
                connection.sendall(fill(b'1\r\nx\r\n'))
