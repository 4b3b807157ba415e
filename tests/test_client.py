"""Tests of the client library for callers and targets."""

import asyncio
import contextlib
import itertools
import json
import unittest

from fulmarseam import client
from fulmarseam import errors
from fulmarseam import wire
from fulmarseam.standin import _server
from tests import _loopback

REQUEST = client.Request('POST', 'shop.example', '/order', {}, b'one')


def make_report() -> wire.TargetReport:
    """Return a report whose sequence number is not set yet."""
    return wire.TargetReport(
        target='t1',
        pool='katalog',
        address='127.0.0.1:9',
        region='ost',
        failure_domain='ost-a',
        slots=4,
        connections=10,
        incarnation=1,
        sequence=0,
        state=wire.TargetState.READY,
    )


class FakeEntry:
    """An entry with scripted responses that records its requests."""

    def __init__(self, responses: list[_server.ServerResponse]) -> None:
        self.address = _loopback.find_free_address()
        self.responses = responses
        self.requests: list[_server.ServerRequest] = []
        self.lookup_count = 0
        self.lookup_addresses: list[str] = [self.address]
        self.announce_status = 200
        self.server = _server.Server(self.address, self.handle)

    async def handle(
        self, request: _server.ServerRequest
    ) -> _server.ServerResponse:
        if request.path.startswith('/v1/lookup'):
            self.lookup_count += 1
            return _server.ServerResponse(200, {}, self.make_lookup())
        self.requests.append(request)
        if request.path == '/v1/announce':
            return _server.ServerResponse(self.announce_status, {})
        return self.responses.pop(0)

    def make_lookup(self) -> bytes:
        entries = [
            {'entry': f'e{number}', 'address': address}
            for number, address in enumerate(self.lookup_addresses)
        ]
        home = {'home': 'ost', 'generation': 7}
        answer = {
            'entries': entries,
            'ttl_ms': 5_000,
            'record_home': home,
        }
        return json.dumps(answer).encode()


def make_error_response(kind: str, outcome: str) -> _server.ServerResponse:
    """Return an error response of an entry."""
    headers = {'Fulmarseam-Kind': kind, 'Fulmarseam-Outcome': outcome}
    return _server.ServerResponse(503, headers)


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a caller that retries a call that may have run."""

    async def call(self, first: FakeEntry, second: FakeEntry) -> client.Result:
        first.lookup_addresses = [first.address, second.address]
        async with first.server, second.server:
            async with client.Caller([first.address], 'ost') as caller:
                return await caller.call(REQUEST, 2_000, once=True)

    async def test_not_run_is_retried_with_the_same_request_id(self) -> None:
        first = FakeEntry([make_error_response('no_capacity', 'not-run')])
        second = FakeEntry([_server.ServerResponse(200, {}, b'done')])
        result = await self.call(first, second)
        self.assertEqual(errors.Outcome.ANSWERED, result.outcome)
        sent = [
            entry.requests[0].headers['idempotency-key']
            for entry in (first, second)
        ]
        self.assertEqual([result.request_id] * 2, sent)
        self.assertRegex(sent[0], r'^ost\.7\.[0-9a-f]{32}$')

    async def test_unknown_is_not_sent_to_another_entry(self) -> None:
        first = FakeEntry([make_error_response('target_failed', 'unknown')])
        second = FakeEntry([])
        result = await self.call(first, second)
        self.assertEqual(errors.Outcome.UNKNOWN, result.outcome)
        self.assertEqual([], second.requests)

    async def test_permanent_refusal_is_not_retried(self) -> None:
        first = FakeEntry([make_error_response('route_retired', 'not-run')])
        second = FakeEntry([])
        result = await self.call(first, second)
        self.assertEqual(errors.Outcome.NOT_RUN, result.outcome)
        self.assertEqual([], second.requests)

    async def test_failed_connect_is_retried_at_the_next_entry(self) -> None:
        second = FakeEntry([_server.ServerResponse(200, {}, b'done')])
        second.lookup_addresses = [
            _loopback.find_free_address(),
            second.address,
        ]
        async with second.server:
            async with client.Caller([second.address], 'ost') as caller:
                result = await caller.call(REQUEST, 2_000, once=True)
        opened = [attempt.opened for attempt in result.attempts]
        self.assertEqual([False, True], opened)
        self.assertEqual(errors.Outcome.ANSWERED, result.outcome)

    async def test_truncated_answer_is_not_an_answer(self) -> None:
        body = b'x' * 1_000
        first = FakeEntry([_server.ServerResponse(200, {}, body, True)])
        result = await self.call(first, FakeEntry([]))
        self.assertEqual(errors.Outcome.UNKNOWN, result.outcome)
        self.assertIsNone(result.reply)
        self.assertTrue(result.attempts[-1].started)

    async def test_lookup_answer_is_cached_for_its_ttl(self) -> None:
        done = _server.ServerResponse(200, {}, b'done')
        entry = FakeEntry([done] * 5)
        async with entry.server:
            async with client.Caller([entry.address], 'ost') as caller:
                for _ in range(5):
                    await caller.call(REQUEST, 2_000)
        self.assertEqual(1, entry.lookup_count)

    async def test_repeated_call_keeps_its_request_id(self) -> None:
        unknown = make_error_response('target_failed', 'unknown')
        done = _server.ServerResponse(200, {}, b'done')
        entry = FakeEntry([unknown, done])
        async with entry.server:
            async with client.Caller([entry.address], 'ost') as caller:
                results = await client.call_repeatedly(
                    caller, REQUEST, 2_000, max_calls=3, pause_s=0
                )
        sent = [
            request.headers['idempotency-key'] for request in entry.requests
        ]
        self.assertEqual(2, len(results))
        self.assertEqual(1, len(set(sent)))


class OverloadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against retries that multiply the load when entries refuse."""

    async def test_overload_refusals_are_retried_within_a_budget(
        self,
    ) -> None:
        refusal = make_error_response('queue_full', 'not-run')
        first = FakeEntry([refusal] * 50)
        second = FakeEntry([refusal] * 50)
        first.lookup_addresses = [first.address, second.address]
        async with first.server, second.server:
            async with client.Caller([first.address], 'ost') as caller:
                for _ in range(50):
                    await caller.call(REQUEST, 2_000)
        self.assertEqual(50, len(first.requests))
        # The retry budget starts with one token and gains a tenth of a token
        # for each of the 50 calls.
        self.assertIn(len(second.requests), (5, 6))


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a client that keeps an answer without end."""

    MAX_BYTES = 100_000
    # What the kernel and the stream buffer beyond what the client keeps.
    BUFFER_BYTES = 8 * 1024 * 1024

    async def check(self, start: bytes, piece: bytes) -> None:
        """Check that the exchange fails before the server has sent much."""
        sent = 0

        async def flood(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal sent
            with contextlib.closing(writer), contextlib.suppress(OSError):
                await reader.readuntil(b'\r\n\r\n')
                for data in itertools.chain((start,), itertools.repeat(piece)):
                    writer.write(data)
                    sent += len(data)
                    await writer.drain()

        server = await asyncio.start_server(flood, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        http_client = client.HttpClient(self.MAX_BYTES)
        self.addCleanup(http_client.close)
        with self.assertRaises(client.ExchangeError) as caught:
            await http_client.send(f'{host}:{port}', REQUEST, 2.0)
        self.assertNotIn('no complete response', str(caught.exception))
        self.assertIs(errors.Outcome.UNKNOWN, caught.exception.outcome)
        self.assertLess(sent, self.MAX_BYTES + self.BUFFER_BYTES)

    async def test_chunks(self) -> None:
        await self.check(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'1000\r\n' + bytes(0x1000) + b'\r\n',
        )

    async def test_a_body_that_only_the_close_ends(self) -> None:
        await self.check(b'HTTP/1.1 200 OK\r\n\r\n', bytes(0x1000))

    async def test_fields(self) -> None:
        await self.check(b'HTTP/1.1 200 OK\r\n', b'a: b\r\n' * 1_000)

    async def test_interim_responses(self) -> None:
        await self.check(b'', b'HTTP/1.1 102 P\r\n\r\n' * 1_000)


class AnnouncerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost or reordered announcements."""

    async def test_next_entry_gets_a_higher_sequence_number(self) -> None:
        first, second = FakeEntry([]), FakeEntry([])
        first.announce_status = 503
        announcer = client.Announcer(
            [first.address, second.address], make_report, 0.75
        )
        async with first.server, second.server:
            confirmed = await announcer.announce()
            announcer.close()
        sent = [
            json.loads(entry.requests[0].body)['sequence']
            for entry in (first, second)
        ]
        self.assertTrue(confirmed)
        self.assertEqual([1, 2], sent)

    async def test_leave_goes_to_all_entries(self) -> None:
        entries = [FakeEntry([]), FakeEntry([])]
        announcer = client.Announcer(
            [entry.address for entry in entries], make_report, 0.75
        )
        async with entries[0].server, entries[1].server:
            confirmed = await announcer.leave()
            announcer.close()
        states = [
            json.loads(entry.requests[0].body)['state'] for entry in entries
        ]
        self.assertTrue(confirmed)
        self.assertEqual(['leaving', 'leaving'], states)
