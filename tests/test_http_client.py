"""Tests of the HTTP client and its pools against scripted targets."""

import asyncio
import unittest

from fulmarseam import http
from tests import fakes

TIMEOUT_S = 5.0
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
HEADERS = [(b'host', b'a')]


class ClientCase(unittest.IsolatedAsyncioTestCase):
    """Sends requests to a fake target with scripted responses."""

    async def asyncSetUp(self) -> None:
        self.signal = http.Signal()

    async def start_target(
        self, behaviour: fakes.Behaviour, limit: int = 10
    ) -> tuple[fakes.FakeTarget, http.TargetPool]:
        target = fakes.FakeTarget(behaviour)
        await target.__aenter__()
        self.addAsyncCleanup(target.__aexit__)
        return target, http.TargetPool(target.address, limit)

    async def get_connection(
        self, pool: http.TargetPool
    ) -> http.TargetConnection:
        return pool.take_idle(self.signal) or await pool.open(self.signal)

    async def read_response(self, connection: http.TargetConnection) -> bytes:
        """Return status and body of the response."""
        async with asyncio.timeout(TIMEOUT_S):
            while (response := connection.poll_response()) is None:
                await self.signal.wait()
            body = b'%d ' % response.status
            while (piece := connection.poll_body()) != b'':
                if piece is None:
                    await self.signal.wait()
                else:
                    body += piece
        return body

    async def run_request(
        self,
        pool: http.TargetPool,
        path: bytes = b'/',
        method: bytes = b'GET',
    ) -> bytes:
        connection = await self.get_connection(pool)
        try:
            connection.send_head(method, path, HEADERS)
            connection.end_request()
            return await self.read_response(connection)
        finally:
            pool.release(connection)


def answer_once(answer: bytes, close: bool = False) -> fakes.Behaviour:
    """Return a behaviour that answers only the first request."""

    async def serve(
        target: fakes.FakeTarget,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        received = bytearray()
        target.received.append(received)
        await fakes.read_request(target, reader, received)
        writer.write(answer)
        await writer.drain()
        if not close:
            received += await reader.read()

    return serve


class ReuseTest(ClientCase):
    """Guards against a response that is delivered to another request (P3).

    This happens when a connection is reused although a response on it is
    still to come or has surplus bytes.
    """

    async def test_connection_is_reused_after_a_complete_response(
        self,
    ) -> None:
        target, pool = await self.start_target(fakes.answer_always(OK))
        for _ in range(3):
            self.assertEqual(b'200 ok', await self.run_request(pool))
        self.assertEqual(1, len(target.received))
        self.assertEqual((0, 1), (pool.in_use, pool.idle))

    async def test_head_and_empty_answers_keep_the_connection(self) -> None:
        for method, answer in (
            (b'HEAD', b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'),
            (b'GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
            (b'GET', b'HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n'),
        ):
            _, pool = await self.start_target(fakes.answer_always(answer))
            body = await self.run_request(pool, method=method)
            self.assertEqual(4, len(body))
            self.assertEqual(1, pool.idle)

    async def test_interim_responses_are_skipped(self) -> None:
        interim = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\n\r\n'
        _, pool = await self.start_target(fakes.answer_always(interim + OK))
        self.assertEqual(b'200 ok', await self.run_request(pool))
        self.assertEqual(1, pool.idle)

    async def test_connection_is_not_reused(self) -> None:
        answers = {
            'bytes left over': OK + b'HTTP/1.1 200 OK\r\n',
            'second response': OK + OK,
            'close announced': OK.replace(
                b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'
            ),
            'HTTP/1.0': OK.replace(b'1.1', b'1.0'),
        }
        for name, answer in answers.items():
            with self.subTest(name):
                _, pool = await self.start_target(answer_once(answer))
                self.assertEqual(b'200 ok', await self.run_request(pool))
                self.assertEqual((0, 0), (pool.in_use, pool.idle))

    async def test_late_answer_never_reaches_another_request(self) -> None:
        """The first request times out before its response arrives."""
        late = asyncio.Event()

        async def serve(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            received = bytearray()
            target.received.append(received)
            while True:
                request = await fakes.read_request(target, reader, received)
                path = request.split()[1]
                if path == b'/slow':
                    await late.wait()
                writer.write(OK.replace(b'ok', path[1:3]))

        _, pool = await self.start_target(serve)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await self.run_request(pool, b'/slow')
        self.assertEqual((0, 0), (pool.in_use, pool.idle))
        late.set()
        for path in (b'/ab', b'/cd'):
            body = await self.run_request(pool, path)
            self.assertEqual(b'200 ' + path[1:], body)

    async def test_unread_body_and_unsent_request_end_a_connection(
        self,
    ) -> None:
        _, pool = await self.start_target(fakes.answer_always(OK))
        connection = await self.get_connection(pool)
        connection.send_head(b'GET', b'/', HEADERS)
        connection.end_request()
        while connection.poll_response() is None:
            await self.signal.wait()
        pool.release(connection)
        self.assertEqual(0, pool.idle)
        connection = await self.get_connection(pool)
        length = [*HEADERS, (b'content-length', b'3')]
        connection.send_head(b'POST', b'/', length)
        connection.flush()
        pool.release(connection)
        self.assertEqual((0, 0), (pool.in_use, pool.idle))

    async def test_early_answer_ends_a_connection(self) -> None:
        """The target responds before it has the whole request body."""

        async def serve(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(OK)
            await reader.read()

        _, pool = await self.start_target(serve)
        connection = await self.get_connection(pool)
        length = [*HEADERS, (b'content-length', b'3')]
        connection.send_head(b'POST', b'/', length)
        connection.flush()
        self.assertEqual(b'200 ok', await self.read_response(connection))
        pool.release(connection)
        self.assertEqual(0, pool.idle)

    async def test_idle_connection_that_ends_is_replaced(self) -> None:
        target, pool = await self.start_target(answer_once(OK, close=True))
        for _ in range(2):
            self.assertEqual(b'200 ok', await self.run_request(pool))
            await asyncio.sleep(0.05)
            self.assertEqual(0, pool.idle)
        self.assertEqual(2, len(target.received))

    async def test_unasked_bytes_end_an_idle_connection(self) -> None:
        async def serve(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            received = bytearray()
            target.received.append(received)
            await fakes.read_request(target, reader, received)
            writer.write(OK)
            await asyncio.sleep(0.05)
            writer.write(OK.replace(b'ok', b'no'))
            await reader.read()

        target, pool = await self.start_target(serve)
        self.assertEqual(b'200 ok', await self.run_request(pool))
        self.assertEqual(1, pool.idle)
        await asyncio.sleep(0.1)
        self.assertEqual(0, pool.idle)
        self.assertEqual(b'200 ok', await self.run_request(pool))


class ProgressTest(ClientCase):
    """Guards against reporting a request as not run that may have run (P4)."""

    async def run_failing(
        self, answer: bytes, close: bool = True
    ) -> http.TargetError:
        target, pool = await self.start_target(answer_once(answer, close))
        with self.assertRaises(http.TargetError) as caught:
            await self.run_request(pool)
        self.assertEqual((0, 0), (pool.in_use, pool.idle))
        self.assertNotEqual(b'', target.received_bytes)
        return caught.exception

    async def test_truncated_answers_may_have_run(self) -> None:
        answers = {
            'no answer': b'',
            'half a head': b'HTTP/1.1 200 OK\r\nConte',
            'half a body': b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok',
            'half a chunk': (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok'
            ),
            'no last chunk': (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'2\r\nok\r\n'
            ),
        }
        for name, answer in answers.items():
            with self.subTest(name):
                error = await self.run_failing(answer)
                self.assertIs(http.Reason.BROKEN, error.reason)
                self.assertIs(http.Progress.MAY_HAVE_SENT, error.progress)

    async def test_ambiguous_answers_are_refused(self) -> None:
        heads = {
            'length and coding': (
                b'Content-Length: 2\r\nTransfer-Encoding: chunked'
            ),
            'equal lengths': b'Content-Length: 2\r\nContent-Length: 2',
            'line feed': b'X: a\nContent-Length: 2',
            'folded': b'X: a\r\n b',
            'two encodings': b'Content-Encoding: a\r\nContent-Encoding: a',
            'status line in a value': b'X: aHTTP/1.1 409 X',
            'unknown coding': b'Transfer-Encoding: gzip',
            'huge head': b'X: ' + b'a' * 70_000,
        }
        for name, head in heads.items():
            with self.subTest(name):
                answer = b'HTTP/1.1 200 OK\r\n' + head + b'\r\n\r\nok'
                error = await self.run_failing(answer, close=False)
                self.assertIs(http.Reason.MALFORMED, error.reason)
                self.assertIs(http.Progress.MAY_HAVE_SENT, error.progress)

    async def test_other_version_is_refused(self) -> None:
        answer = OK.replace(b'HTTP/1.1', b'HTTP/2.0')
        error = await self.run_failing(answer, close=False)
        self.assertIs(http.Reason.MALFORMED, error.reason)

    async def test_body_up_to_the_close_is_read(self) -> None:
        answer = b'HTTP/1.1 200 OK\r\n\r\nall of it'
        _, pool = await self.start_target(answer_once(answer, close=True))
        self.assertEqual(b'200 all of it', await self.run_request(pool))
        self.assertEqual(0, pool.idle)

    async def test_refused_connection_has_sent_nothing(self) -> None:
        pool = http.TargetPool(fakes.find_free_address(), 1)
        with self.assertRaises(http.TargetError) as caught:
            await pool.open(self.signal)
        self.assertIs(http.Reason.CONNECT_FAILED, caught.exception.reason)
        self.assertIs(http.Progress.NOT_SENT, caught.exception.progress)
        self.assertEqual(0, pool.in_use)

    async def test_connection_lost_before_the_first_byte(self) -> None:
        target, pool = await self.start_target(fakes.answer_always(OK))
        connection = await self.get_connection(pool)
        connection.transport.abort()
        await asyncio.sleep(0.05)
        connection.send_head(b'GET', b'/', HEADERS)
        with self.assertRaises(http.TargetError) as caught:
            connection.end_request()
        self.assertIs(http.Progress.NOT_SENT, caught.exception.progress)
        self.assertEqual(b'', target.received_bytes)

    async def test_connections_stay_within_the_limit(self) -> None:
        target, pool = await self.start_target(fakes.answer_always(OK), 2)
        first = await self.get_connection(pool)
        second = await self.get_connection(pool)
        with self.assertRaises(http.TargetError) as caught:
            await pool.open(self.signal)
        self.assertIs(http.Reason.NO_CONNECTION_LEFT, caught.exception.reason)
        self.assertIs(http.Progress.NOT_SENT, caught.exception.progress)
        for connection in (first, second):
            connection.send_head(b'GET', b'/', HEADERS)
            connection.end_request()
            self.signal.notify()
            self.assertEqual(b'200 ok', await self.read_response(connection))
            pool.release(connection)
        self.assertEqual(2, pool.idle)
        pool.set_limit(1)
        self.assertEqual(1, pool.idle)

    async def test_lowered_limit_closes_connections_in_use(self) -> None:
        _, pool = await self.start_target(fakes.answer_always(OK), 2)
        connections = [
            await self.get_connection(pool),
            await self.get_connection(pool),
        ]
        pool.set_limit(1)
        for connection in connections:
            connection.send_head(b'GET', b'/', HEADERS)
            connection.end_request()
            self.assertEqual(b'200 ok', await self.read_response(connection))
            pool.release(connection)
        self.assertEqual((0, 1), (pool.in_use, pool.idle))
