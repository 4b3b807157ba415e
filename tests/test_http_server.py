"""Tests of the HTTP server over raw sockets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import time
import unittest

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import intake
from tests import fakes

TIMEOUT_S = 5.0
POLL_S = 0.01
GET = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
LAST_GET = b'GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'


def make_error_response(error: errors.FulmarseamError) -> http.LocalResponse:
    """Return a response with the kind of an error as a header."""
    return http.LocalResponse(
        error.answer.status, [(b'x-kind', error.kind.value.encode())], b''
    )


async def read_whole_body(caller: http.CallerConnection) -> bytes:
    """Return the body of a request."""
    assert caller.signal is not None
    body = bytearray()
    while (piece := caller.poll_body()) != b'':
        if piece is None:
            caller.start_body_timeout()
            await caller.signal.wait()
        else:
            body += piece
    return bytes(body)


class ServerCase(unittest.IsolatedAsyncioTestCase):
    """Runs a server that by default echoes the path and the body."""

    limits = http.Limits(header_timeout_s=5.0, idle_timeout_s=5.0)

    async def asyncSetUp(self) -> None:
        self.handled: list[bytes] = []
        self.handler: Callable[
            [http.Request, http.CallerConnection], Awaitable[None]
        ] = self.echo
        self.address = fakes.find_free_address()
        self.server = http.Server(
            self.address, self.handle, make_error_response, self.limits
        )
        await self.server.__aenter__()
        self.addAsyncCleanup(self.server.__aexit__)

    async def handle(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        self.handled.append(request.target)
        await self.handler(request, caller)

    async def echo(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        body = await read_whole_body(caller)
        caller.send_response(200, [], request.target + b' ' + body)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes and return all bytes received until the close."""
        reader, writer = await self.connect()
        writer.write(data)
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()


def make_post(headers: bytes, body: bytes) -> bytes:
    """Return a request, followed by one that must not be smuggled in."""
    head = b'POST / HTTP/1.1\r\nHost: a\r\n' + headers + b'\r\n\r\n'
    return head + body + LAST_GET


class AmbiguousFramingTest(ServerCase):
    """Guards against request smuggling with ambiguous message framing."""

    async def test_ambiguous_heads_are_refused(self) -> None:
        heads = {
            'length and coding': (
                b'Content-Length: 4\r\nTransfer-Encoding: chunked'
            ),
            'coding and length': (
                b'Transfer-Encoding: chunked\r\nContent-Length: 4'
            ),
            'equal lengths': b'Content-Length: 0\r\nContent-Length: 0',
            'two lengths': b'Content-Length: 0\r\nContent-Length: 9',
            'list of lengths': b'Content-Length: 0, 0',
            'signed length': b'Content-Length: +1',
            'negative length': b'Content-Length: -1',
            'hexadecimal length': b'Content-Length: 0x4',
            'space before colon': b'Content-Length : 4',
            'unknown coding': b'Transfer-Encoding: xchunked',
            'repeated coding': b'Transfer-Encoding: chunked, chunked',
            'two codings': (
                b'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity'
            ),
            'folded coding': b'Transfer-Encoding:\r\n chunked',
            'folded header': b'X: a\r\n\tContent-Length: 4',
            'NUL': b'X: a\0b',
            'bare line feed': b'X: a\nContent-Length: 4',
            'bare carriage return': b'X: a\rContent-Length: 4',
            'second host': b'Host: b',
            'two encodings': b'Content-Encoding: a\r\nContent-Encoding: a',
        }
        for name, headers in heads.items():
            with self.subTest(name):
                answer = await self.exchange(make_post(headers, b'0\r\n\r\n'))
                self.assertTrue(answer.startswith(b'HTTP/1.1 400 '), answer)
                self.assertEqual(1, answer.count(b'HTTP/1.1'))
                self.assertIn(b'connection: close', answer.lower())
        self.assertEqual([], self.handled)

    async def test_malformed_requests_are_refused(self) -> None:
        requests = {
            'line feeds only': b'GET / HTTP/1.1\nHost: a\n\n',
            'no host': b'GET / HTTP/1.1\r\n\r\n',
            'no version': b'GET /\r\n\r\n',
            'later version': b'GET / HTTP/9.9\r\nHost: a\r\n\r\n',
            'earlier version': b'GET / HTTP/0.9\r\nHost: a\r\n\r\n',
            'coding in 1.0': (
                b'POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n'
            ),
            'other protocol': b'\x16\x03\x01\x02\x00\x01\r\n\r\n',
        }
        for name, data in requests.items():
            with self.subTest(name):
                answer = await self.exchange(data)
                self.assertTrue(answer.startswith(b'HTTP/1.1 400 '), answer)
        self.assertEqual([], self.handled)

    async def test_bad_chunks_are_refused(self) -> None:
        bodies = {
            'negative size': b'-1\r\n\r\n',
            'prefixed size': b'0x1\r\na\r\n0\r\n\r\n',
            'two sizes': b'1 1\r\na\r\n0\r\n\r\n',
            'size too long': b'1' * 30 + b'\r\na\r\n',
            'empty size': b'\r\na\r\n',
            'line feed after size': b'1\na\r\n0\r\n\r\n',
            'data longer than size': b'1\r\nabc\r\n0\r\n\r\n',
            'line feed at the end': b'0\r\n\n',
            'line feed in trailers': b'0\r\nX: a\n\r\n',
        }
        for name, body in bodies.items():
            with self.subTest(name):
                self.handled.clear()
                answer = await self.exchange(
                    make_post(b'Transfer-Encoding: chunked', body)
                )
                self.assertTrue(answer.startswith(b'HTTP/1.1 400 '), answer)
                self.assertEqual(1, answer.count(b'HTTP/1.1'))
                self.assertEqual([b'/'], self.handled)

    async def test_second_request_is_checked_like_the_first(self) -> None:
        bad = make_post(b'Content-Length: 0\r\nContent-Length: 0', b'')
        answer = await self.exchange(GET + bad)
        self.assertEqual(1, answer.count(b'HTTP/1.1 200 '))
        self.assertEqual(1, answer.count(b'HTTP/1.1 400 '))
        self.assertEqual([b'/'], self.handled)


class BodyTest(ServerCase):
    """Guards against confusing body bytes with pipelined requests."""

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        chunked = (
            b'POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked'
            b'\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nX: y\r\n\r\n'
        )
        data = (
            b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc'
            + chunked
            + b'\r\n'
            + LAST_GET
        )
        whole = await self.exchange(data)
        reader, writer = await self.connect()
        for position in range(len(data)):
            writer.write(data[position : position + 1])
            await writer.drain()
            await asyncio.sleep(0)
        split = await reader.read()
        for answer in (whole, split):
            bodies = [
                part.partition(b'\r\n\r\n')[2]
                for part in answer.split(b'HTTP/1.1 200 OK')[1:]
            ]
            self.assertEqual([b'/a abc', b'/b def', b'/last '], bodies)

    async def test_answers_without_body(self) -> None:
        async def answer(
            request: http.Request, caller: http.CallerConnection
        ) -> None:
            status = int(request.target[1:] or b'200')
            caller.send_response(status, [], b'' if status == 204 else b'abc')

        self.handler = answer
        data = (
            b'HEAD / HTTP/1.1\r\nHost: a\r\n\r\n'
            b'GET /204 HTTP/1.1\r\nHost: a\r\n\r\n'
            b'GET /304 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
        )
        received = await self.exchange(data)
        self.assertEqual(3, received.count(b'HTTP/1.1'))
        self.assertNotIn(b'abc', received)
        self.assertIn(b'content-length: 3', received.lower())

    async def test_continue_is_sent_only_when_the_body_is_wanted(
        self,
    ) -> None:
        head = (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n'
            b'Expect: 100-continue\r\nConnection: close\r\n\r\n'
        )
        reader, writer = await self.connect()
        writer.write(head)
        self.assertEqual(
            b'HTTP/1.1 100 Continue\r\n\r\n',
            await reader.readuntil(b'\r\n\r\n'),
        )
        writer.write(b'abc')
        self.assertIn(b'/ abc', await reader.read())

        async def refuse(
            request: http.Request, caller: http.CallerConnection
        ) -> None:
            raise errors.FulmarseamError(errors.ErrorKind.NO_ROUTE)

        self.handler = refuse
        answer = await self.exchange(head.replace(b'Connection: close', b'X:'))
        self.assertTrue(answer.startswith(b'HTTP/1.1 404 '), answer)
        self.assertNotIn(b'100 Continue', answer)

    async def test_unread_body_is_not_taken_for_a_request(self) -> None:
        async def answer_early(
            request: http.Request, caller: http.CallerConnection
        ) -> None:
            caller.send_response(200, [], b'early')

        self.handler = answer_early
        body = LAST_GET
        head = (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
            % len(body)
        )
        received = await self.exchange(head + body)
        self.assertEqual(1, received.count(b'HTTP/1.1'))
        self.assertEqual([b'/'], self.handled)


class LimitTest(ServerCase):
    """Guards against callers that hold memory or connections without limit."""

    limits = http.Limits(
        max_header_bytes=2_048,
        max_body_bytes=100_000,
        max_connections=3,
        header_timeout_s=0.2,
        idle_timeout_s=0.3,
    )

    async def test_oversized_headers_are_refused(self) -> None:
        header = b'X: ' + b'a' * 3_000
        for data in (
            b'GET / HTTP/1.1\r\nHost: a\r\n' + header,
            b'GET / HTTP/1.1\r\nHost: a\r\n' + header + b'\r\n\r\n',
        ):
            answer = await self.exchange(data)
            self.assertTrue(answer.startswith(b'HTTP/1.1 431 '), answer)
        self.assertEqual([], self.handled)

    async def test_slow_headers_are_refused(self) -> None:
        answer = await self.exchange(b'GET / HTTP/1.1\r\nHos')
        self.assertTrue(answer.startswith(b'HTTP/1.1 408 '), answer)

    async def test_idle_connections_are_closed_without_answer(self) -> None:
        self.assertEqual(b'', await self.exchange(b''))
        answer = await self.exchange(GET)
        self.assertEqual(1, answer.count(b'HTTP/1.1'))

    async def test_stalled_body_is_refused(self) -> None:
        answer = await self.exchange(
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc'
        )
        self.assertTrue(answer.startswith(b'HTTP/1.1 408 '), answer)

    async def test_oversized_bodies_are_refused(self) -> None:
        declared = b'Content-Length: 100001'
        answer = await self.exchange(make_post(declared, b''))
        self.assertTrue(answer.startswith(b'HTTP/1.1 413 '), answer)
        self.assertEqual([], self.handled)
        chunk = b'ffff\r\n' + b'a' * 0xFFFF + b'\r\n'
        answer = await self.exchange(
            make_post(b'Transfer-Encoding: chunked', 3 * chunk)
        )
        self.assertTrue(answer.startswith(b'HTTP/1.1 413 '), answer)

    async def test_connections_above_the_limit_are_closed(self) -> None:
        first = [(await self.connect())[0] for _ in range(3)]
        await asyncio.sleep(0.05)
        self.assertEqual(3, self.server.connections)
        _, writer = await self.connect()
        # The new connection takes the place of the oldest idle one.
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(0.1):
                self.assertEqual(b'', await first[0].read())
        await asyncio.sleep(0)
        self.assertEqual(3, self.server.connections)
        writer.close()

    async def test_running_requests_are_not_closed_for_others(self) -> None:
        release = asyncio.Event()

        async def wait(
            request: http.Request, caller: http.CallerConnection
        ) -> None:
            caller.stop_body_timeout()
            await release.wait()
            caller.send_response(200, [], b'done')

        self.handler = wait
        busy = []
        for _ in range(3):
            reader, writer = await self.connect()
            writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            busy.append(reader)
        await asyncio.sleep(0.05)
        refused, _ = await self.connect()
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(0.1):
                self.assertEqual(b'', await refused.read())
        self.assertEqual(3, self.server.connections)
        release.set()
        for reader in busy:
            async with asyncio.timeout(1.0):
                answer = await reader.readuntil(b'done')
            self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)


class HeaderFieldTest(ServerCase):
    """Guards against heads of legal size that are refused or exhaust memory.

    A head of 16 KiB may hold thousands of short fields, each of which takes
    many times its characters once it is parsed.
    """

    limits = http.Limits(max_header_bytes=16 * 1024)
    budget_bytes = 4 * intake.MIB

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.closed: list[str] = []
        self.intake = http.Intake(
            intake.Rules(memory_bytes=self.budget_bytes), self.closed.append
        )
        self.address = fakes.find_free_address()
        server = http.Server(
            self.address,
            self.handle,
            make_error_response,
            self.limits,
            self.intake,
        )
        await self.enterAsyncContext(server)

    def make_get(self, count: int, last: bytes = b'') -> bytes:
        """Return a request with so many short fields."""
        fields = b''.join(b'a%d:b\r\n' % (i % 1_000) for i in range(count))
        return b'GET / HTTP/1.1\r\nHost: a\r\n' + fields + last + b'\r\n'

    def exhaust_memory(self) -> None:
        """Let another caller hold nearly the whole budget."""
        account = self.intake.budget.open('10.0.0.1', 0.0)
        self.intake.set_held(
            account, intake.Kind.BODY, self.budget_bytes * 9 // 10
        )

    def get_held(self) -> int:
        """Return the bytes of parsed fields that the budget counts."""
        return self.intake.budget.parts[intake.Kind.FIELDS]

    async def test_many_fields_are_served_in_calm(self) -> None:
        fields = self.make_get(1_800).removesuffix(b'\r\n')
        shortest = b'GET / HTTP/1.1\r\nHost: a\r\n' + b'a:\r\n' * 4_000
        for start in (fields, shortest):
            head = start + b'Connection: close\r\n\r\n'
            self.assertLessEqual(len(head), self.limits.max_header_bytes)
            answer = await self.exchange(head)
            self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)

    async def test_fields_are_counted_until_the_request_ends(self) -> None:
        found = []
        second = asyncio.Event()

        async def note(
            request: http.Request, caller: http.CallerConnection
        ) -> None:
            found.append((len(request.headers), self.get_held()))
            if len(found) == 2:
                second.set()
            await self.echo(request, caller)

        self.handler = note
        _, writer = await self.connect()
        writer.write(self.make_get(1_800) + GET)
        async with asyncio.timeout(TIMEOUT_S):
            await second.wait()
        self.assertEqual([1_801, 1], [count for count, _ in found])
        # At least the tuple and two strings of each field are counted.
        self.assertGreater(found[0][1], 1_800 * 140)
        self.assertEqual(0, found[1][1])

    async def test_many_fields_are_not_run_under_pressure(self) -> None:
        self.exhaust_memory()
        answer = await self.exchange(self.make_get(1_800))
        self.assertTrue(answer.startswith(b'HTTP/1.1 503 '), answer)
        self.assertIn(b'x-kind: no_capacity', answer)
        self.assertEqual([], self.handled)
        self.assertEqual(0, self.get_held())
        self.assertIn('memory', self.closed)

    async def test_ordinary_heads_are_served_under_pressure(self) -> None:
        self.exhaust_memory()
        answer = await self.exchange(
            self.make_get(30, b'Connection: close\r\n')
        )
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)


class ChangedLimitTest(ServerCase):
    """Guards against kept connections with the limits of their start."""

    LOW = http.Limits(
        max_header_bytes=2_048,
        max_body_bytes=1_000,
        header_timeout_s=0.6,
        idle_timeout_s=0.6,
    )
    HIGH = http.Limits(
        max_header_bytes=40_000,
        max_body_bytes=100_000,
        header_timeout_s=5.0,
        idle_timeout_s=5.0,
    )
    limits = HIGH

    async def open_kept(
        self, limits: http.Limits
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection that has served a request with these limits."""
        self.server.set_limits(limits)
        reader, writer = await self.connect()
        self.assertEqual(200, await self.send(reader, writer, GET))
        return reader, writer

    async def send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        data: bytes,
    ) -> int:
        """Send a request; return the status, or 0 if there is none."""
        writer.write(data)
        async with asyncio.timeout(TIMEOUT_S):
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                return 0
            _, _, rest = head.lower().partition(b'content-length: ')
            await reader.readexactly(int(rest.partition(b'\r\n')[0]))
        return int(head.split()[1])

    async def check(self, data: bytes, refused: int) -> None:
        """Send a request that only the high limits allow, after changes."""
        for before, after, status in (
            (self.LOW, self.HIGH, 200),
            (self.HIGH, self.LOW, refused),
        ):
            with self.subTest(status):
                reader, writer = await self.open_kept(before)
                self.server.set_limits(after)
                self.assertEqual(status, await self.send(reader, writer, data))

    async def test_size_of_a_body(self) -> None:
        body = b'a' * 50_000
        head = b'POST / HTTP/1.1\r\nHost: a\r\n'
        await self.check(
            head + b'Content-Length: 50000\r\n\r\n' + body, refused=413
        )
        await self.check(
            head
            + b'Transfer-Encoding: chunked\r\n\r\nc350\r\n'
            + body
            + b'\r\n0\r\n\r\n',
            refused=413,
        )

    async def test_size_of_a_head(self) -> None:
        header = b'X: ' + b'a' * 30_000
        await self.check(
            b'GET / HTTP/1.1\r\nHost: a\r\n' + header + b'\r\n\r\n',
            refused=431,
        )

    async def test_size_of_trailers(self) -> None:
        trailer = b'X: ' + b'a' * 30_000
        reader, writer = await self.open_kept(self.LOW)
        self.server.set_limits(self.HIGH)
        data = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked'
        writer.write(data + b'\r\n\r\n0\r\n' + trailer[:20_000])
        await asyncio.sleep(0.05)
        self.assertEqual(
            200,
            await self.send(reader, writer, trailer[20_000:] + b'\r\n\r\n'),
        )

    async def test_time_outs(self) -> None:
        """Start requests, then wait longer than the low limits allow."""
        post = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n'
        requests = {
            'between requests': (b'', GET, 0),
            'within a head': (GET[:9], GET[9:], 408),
            'within a body': (post + b'a', b'a', 408),
        }
        for before, after in ((self.LOW, self.HIGH), (self.HIGH, self.LOW)):
            kept = {name: await self.open_kept(before) for name in requests}
            for name, (start, _, _) in requests.items():
                kept[name][1].write(start)
            await asyncio.sleep(0.05)
            self.server.set_limits(after)
            # The sweeper sees a lowered time-out within 1 s.
            await asyncio.sleep(2.0)
            for name, (_, rest, refused) in requests.items():
                status = 200 if after is self.HIGH else refused
                with (
                    self.subTest(name, status=status),
                    contextlib.suppress(ConnectionError),
                ):
                    self.assertEqual(
                        status, await self.send(*kept[name], rest)
                    )


class StallTest(ServerCase):
    """Guards against requests that run although their callers have left.

    Both the request and the close wait in the kernel while the process
    stands still.
    """

    CALLERS = 40

    def stall_beside(self, callers: list[socket.socket], leave: bool) -> None:
        """Let the loop stand still while callers send, and maybe leave."""
        for caller in callers:
            caller.sendall(GET)
            if leave:
                caller.close()
        time.sleep(0.3)

    def open_callers(self) -> list[socket.socket]:
        """Connect without a turn of the loop."""
        host, port = self.address.split(':')
        callers = []
        for _ in range(self.CALLERS):
            caller = socket.create_connection((host, int(port)), TIMEOUT_S)
            self.addCleanup(caller.close)
            callers.append(caller)
        return callers

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        for _ in range(int(TIMEOUT_S / POLL_S)):
            if condition():
                return
            await asyncio.sleep(POLL_S)
        self.fail('the condition did not hold in time')

    async def check_dropped(self) -> None:
        """Check that all connections end without a handled request."""
        # Connections that wait in the kernel have no task yet.
        await asyncio.sleep(0.1)
        await self.wait_until(lambda: not self.server.connections)
        self.assertEqual([], self.handled)

    async def check_served(self, callers: list[socket.socket]) -> None:
        """Check that each caller gets its answer."""
        await self.wait_until(lambda: len(self.handled) == self.CALLERS)
        for caller in callers:
            answer = await asyncio.to_thread(caller.recv, 1024)
            self.assertIn(b' 200 ', answer)

    async def test_callers_of_new_connections_that_left(self) -> None:
        self.stall_beside(self.open_callers(), leave=True)
        await self.check_dropped()

    async def test_callers_of_kept_connections_that_left(self) -> None:
        callers = self.open_callers()
        self.stall_beside(callers, leave=False)
        await self.check_served(callers)
        self.handled.clear()
        self.stall_beside(callers, leave=True)
        await self.check_dropped()

    async def test_callers_that_wait_are_served(self) -> None:
        callers = self.open_callers()
        self.stall_beside(callers, leave=False)
        await self.check_served(callers)


class FlowTest(ServerCase):
    """Guards against unbounded buffers when a peer is slow or gone."""

    async def test_slow_reader_stops_the_handler(self) -> None:
        sizes: list[int] = []

        async def stream(
            request: http.Request, caller: http.CallerConnection
        ) -> None:
            caller.start_response(200, [])
            assert caller.signal is not None
            for _ in range(1_000):
                caller.send_data(b'a' * 65_536)
                caller.flush()
                sizes.append(caller.transport.get_write_buffer_size())
                while caller.write_paused and not caller.gone:
                    await caller.signal.wait()
                if caller.gone:
                    raise http.CallerGoneError
            caller.end_response()

        self.handler = stream
        reader, writer = await self.connect()
        writer.write(GET)
        await asyncio.sleep(0.3)
        self.assertLess(len(sizes), 500)
        self.assertLess(max(sizes), 4 * 65_536)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        self.assertEqual(0, self.server.active_requests)

    async def test_unread_upload_is_stopped(self) -> None:
        connections: list[http.CallerConnection] = []
        done = asyncio.Event()

        async def ignore(
            request: http.Request, caller: http.CallerConnection
        ) -> None:
            connections.append(caller)
            await done.wait()
            body = await read_whole_body(caller)
            caller.send_response(200, [], b'%d' % len(body))

        self.handler = ignore
        size = 32 * 1024 * 1024
        reader, writer = await self.connect()
        writer.write(
            b'POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            b'Content-Length: %d\r\n\r\n' % size
        )
        writer.write(b'a' * size)
        await asyncio.sleep(0.2)
        held = connections[0].buffered_bytes
        done.set()
        self.assertIn(b'%d' % size, await reader.read())
        self.assertLessEqual(held, 2 * http.BUFFER_BYTES)

    async def test_caller_that_leaves_is_noticed(self) -> None:
        noticed = asyncio.Event()

        async def wait(
            request: http.Request, caller: http.CallerConnection
        ) -> None:
            assert caller.signal is not None
            while not caller.gone:
                await caller.signal.wait()
            noticed.set()
            raise http.CallerGoneError

        self.handler = wait
        _, writer = await self.connect()
        writer.write(GET)
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(TIMEOUT_S):
            await noticed.wait()
            await self.server.wait_closed()

    async def test_draining_finishes_requests_and_closes(self) -> None:
        release = asyncio.Event()

        async def wait(
            request: http.Request, caller: http.CallerConnection
        ) -> None:
            await release.wait()
            caller.send_response(200, [], b'done')

        self.handler = wait
        idle_reader, _ = await self.connect()
        reader, writer = await self.connect()
        writer.write(GET)
        await asyncio.sleep(0.05)
        self.server.close_listener()
        self.server.start_draining()
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(b'', await idle_reader.read())
            release.set()
            answer = await reader.read()
            await self.server.wait_closed()
        self.assertIn(b'done', answer)
        self.assertIn(b'connection: close', answer.lower())
