"""Tests of request routing, forwarding and outcomes of an entry."""

import asyncio
import json
from typing import ClassVar

import msgspec

from fulmarseam import wire
from tests import entry_case
from tests import fakes

OK = entry_case.OK
SHED = entry_case.SHED


def serve_bytes(answer: bytes) -> fakes.Behaviour:
    """Return a behaviour that responds to one request and then closes."""

    async def serve(
        target: fakes.FakeTarget,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        buffer = bytearray()
        target.received.append(buffer)
        await fakes.read_request(target, reader, buffer)
        writer.write(answer)

    return serve


async def stay_silent(
    target: fakes.FakeTarget,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Read and never respond."""
    buffer = bytearray()
    target.received.append(buffer)
    while data := await reader.read(65_536):
        buffer += data
    buffer += b'<closed>'


def refuse_again(echoes_attempt: bool) -> fakes.Behaviour:
    """Return a behaviour that repeats a refusal on a kept connection.

    It serves the first request, and writes the refusal of some other one
    before it serves the second.
    """

    async def serve(
        target: fakes.FakeTarget,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        buffer = bytearray()
        target.received.append(buffer)
        await fakes.read_request(target, reader, buffer)
        writer.write(OK)
        await fakes.read_request(target, reader, buffer)
        mark = b'Fulmarseam-Attempt: other\r\n' if echoes_attempt else b''
        writer.write(SHED.replace(b'Content', mark + b'Content'))
        await asyncio.sleep(0.05)
        writer.write(OK)

    return serve


class RoutingTest(entry_case.EntryCase):
    """Guards against requests that reach the wrong pool."""

    rows: ClassVar[list[wire.Row]] = [
        wire.Pool(name=fakes.POOL),
        entry_case.make_route(name='read', path_prefix='/a', methods=['GET']),
        entry_case.make_route(name='old', path_prefix='/old', retired=True),
    ]

    async def test_refusals_reach_no_target(self) -> None:
        target = await self.start_target(fakes.answer_always(OK))
        cases = {
            ('GET', '/b'): (404, 'no_route', 'not-run'),
            ('POST', '/a'): (405, 'method_not_allowed', 'not-run'),
            ('GET', '/old/x'): (410, 'route_retired', 'not-run'),
            ('GET', '/a/../b'): (400, 'malformed_request', 'not-run'),
            ('GET', '/a/%2E%2e/b'): (400, 'malformed_request', 'not-run'),
            ('GET', 'a'): (400, 'malformed_request', 'not-run'),
        }
        for (method, path), expected in cases.items():
            with self.subTest(path):
                answer = await self.call(path, method)
                self.assertEqual(expected, answer.describe())
                body = json.loads(answer.body)
                self.assertEqual(expected[1:], (body['kind'], body['outcome']))
        self.assertEqual(b'', target.received_bytes)

    async def test_absolute_form_and_prefix_are_matched(self) -> None:
        target = await self.start_target(fakes.answer_always(OK))
        for path in ('/a', '/a/b?c=/../d', 'http://other/a'):
            answer = await self.call(path)
            self.assertEqual((200, '', 'answered'), answer.describe())
        self.assertIn(b'GET /a HTTP/1.1\r\n', target.received_bytes)
        self.assertNotIn(b'http://', target.received_bytes)
        self.assertIn(b'host: other\r\n', target.received_bytes)
        self.assertEqual(3, target.received_bytes.count(b'host: '))

    async def test_old_request_without_host_gets_one(self) -> None:
        target = await self.start_target(fakes.answer_always(OK))
        answer = await self.exchange(b'GET /a HTTP/1.0\r\n\r\n')
        self.assertEqual(200, answer.status)
        host = b'host: ' + target.address.encode()
        self.assertIn(host, target.received_bytes)

    async def test_retired_route_is_cached_and_counts_callers(self) -> None:
        for _ in range(2):
            answer = await self.call('/old')
        self.assertEqual('max-age=86400', answer.headers['cache-control'])
        self.assertEqual(
            2,
            self.entry.metrics.counter_value(
                'retired_caller_requests_total',
                route='old',
                caller='127.0.0.1',
            ),
        )

    async def test_allowed_methods_are_named(self) -> None:
        answer = await self.call('/a', 'DELETE')
        self.assertEqual('GET', answer.headers['allow'])


class ForwardingTest(entry_case.EntryCase):
    """Guards against requests and responses altered by the proxy."""

    async def test_headers_of_one_connection_are_not_passed_on(self) -> None:
        answer = (
            b'HTTP/1.1 200 Fine\r\nConnection: X-Hop\r\nX-Hop: 1\r\n'
            b'Keep-Alive: 9\r\nX-End: 2\r\nFulmarseam-Outcome: unknown\r\n'
            b'Content-Length: 2\r\n\r\nok'
        )
        target = await self.start_target(fakes.answer_always(answer))
        parent = '00-' + 'a' * 32 + '-' + 'b' * 16 + '-01'
        received = await self.exchange(
            b'GET /x?y HTTP/1.1\r\nHost: a\r\nConnection: close, X-Own\r\n'
            b'X-Own: 1\r\nTE: trailers\r\nProxy-Authorization: z\r\n'
            b'X-End: 3\r\nTraceparent: ' + parent.encode() + b'\r\n\r\n'
        )
        self.assertEqual((200, '', 'answered'), received.describe())
        self.assertEqual('2', received.headers['x-end'])
        self.assertNotIn('x-hop', received.headers)
        self.assertNotIn('keep-alive', received.headers)
        sent = target.received_bytes.lower()
        self.assertIn(b'x-end: 3', sent)
        self.assertIn(parent.encode(), sent)
        for name in (b'x-own', b'te:', b'proxy-auth', b'connection'):
            self.assertNotIn(name, sent)

    async def test_bodies_are_streamed_in_both_framings(self) -> None:
        async def echo(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            buffer = bytearray()
            target.received.append(buffer)
            head = await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nConnection: close\r\n')
            chunked = b'transfer-encoding: chunked' in head.lower()
            framing = b'Transfer-Encoding: chunked'
            if not chunked:
                framing = b'Content-Length: 300000'
            writer.write(framing + b'\r\n\r\n')
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()

        await self.start_target(echo)
        body = bytes(range(250)) * 1_200
        answer = await self.call('/', 'POST', body)
        self.assertEqual(body, answer.body)
        chunks = b''.join(
            b'%x\r\n%s\r\n' % (50_000, body[start : start + 50_000])
            for start in range(0, 300_000, 50_000)
        )
        answer = await self.exchange(
            b'POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n' + chunks + b'0\r\n\r\n'
        )
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.data.endswith(b'\r\n0\r\n\r\n'))
        self.assertGreater(len(answer.data), 300_000)

    async def test_head_and_empty_answers(self) -> None:
        await self.start_target(
            fakes.answer_always(b'HTTP/1.1 304 X\r\nETag: "a"\r\n\r\n')
        )
        answer = await self.call()
        self.assertEqual((304, b''), (answer.status, answer.body))
        self.assertEqual('"a"', answer.headers['etag'])

    async def test_deadline_is_counted_down(self) -> None:
        target = await self.start_target(fakes.answer_always(OK))
        answer = await self.call(headers='Fulmarseam-Deadline-Ms: 700\r\n')
        self.assertEqual(200, answer.status)
        sent = target.received_bytes.lower()
        left = int(sent.split(b'fulmarseam-deadline-ms: ')[1].split()[0])
        self.assertLess(left, 700)
        self.assertGreater(left, 300)
        for value, expected in (('0', 504), ('x', 400), ('-1', 400)):
            answer = await self.call(
                headers=f'Fulmarseam-Deadline-Ms: {value}\r\n'
            )
            self.assertEqual(expected, answer.status)
            self.assertEqual('not-run', answer.outcome)

    async def test_slow_reader_stops_the_target(self) -> None:
        sent = 0

        async def stream(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            nonlocal sent
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
            for _ in range(1_000):
                writer.write(b'a' * 65_536)
                await writer.drain()
                sent += 65_536

        await self.start_target(stream)
        reader, writer = await self.connect(self.options.listen)
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        await asyncio.sleep(0.3)
        sent_at_stall = sent
        await asyncio.sleep(0.2)
        self.assertEqual(sent_at_stall, sent)
        self.assertLess(sent_at_stall, 32 * 1024 * 1024)
        writer.transport.abort()


class RetryOutcomeTest(entry_case.EntryCase):
    """Guards against a failed retry that hides an earlier run (P4).

    When an earlier attempt may have run the request, the outcome is unknown
    even if the retry is refused.
    """

    rows: ClassVar[list[wire.Row]] = [
        wire.Pool(name=fakes.POOL, retry_ratio=1.0),
        entry_case.make_route(),
    ]

    async def start_pair(
        self, second: fakes.Behaviour, slots: int = 4
    ) -> list[fakes.FakeTarget]:
        """Start a preferred target that closes early, and another one."""
        preferred = await self.start_target(serve_bytes(b''), 't1')
        other = await self.enterAsyncContext(fakes.FakeTarget(second))
        report = other.make_report('t2', slots)
        self.announce(msgspec.structs.replace(report, failure_domain='ost-b'))
        await self.wait_until(lambda: self.is_usable('t2'))
        return [preferred, other]

    async def test_request_shed_by_the_second_target_is_unknown(self) -> None:
        targets = await self.start_pair(fakes.answer_always(SHED))
        answer = await self.call()
        for target in targets:
            self.assertNotEqual(b'', target.received_bytes)
        self.assertEqual((502, 'target_failed', 'unknown'), answer.describe())

    async def test_request_without_a_second_slot_is_unknown(self) -> None:
        _, other = await self.start_pair(stay_silent, slots=1)
        held_call = asyncio.create_task(self.call('/held'))
        await self.wait_until(lambda: other.received_bytes)
        answer = await self.call(
            '/x', headers='Fulmarseam-Deadline-Ms: 300\r\n'
        )
        self.assertNotIn(b'/x', other.received_bytes)
        self.assertEqual((502, 'target_failed', 'unknown'), answer.describe())
        held_call.cancel()


class OutcomeTest(entry_case.EntryCase):
    """Guards against "not-run" for a request that may have run (P4)."""

    async def test_outcomes_agree_with_what_the_target_received(
        self,
    ) -> None:
        cases: dict[str, tuple[fakes.Behaviour, tuple[int, str, str]]] = {
            'answer': (
                fakes.answer_always(OK),
                (200, '', 'answered'),
            ),
            'plain 503 is an answer': (
                fakes.answer_always(OK.replace(b'200', b'503')),
                (503, '', 'answered'),
            ),
            'declared not-run': (
                fakes.answer_always(SHED),
                (503, 'target_shed', 'not-run'),
            ),
            'closed without answer': (
                serve_bytes(b''),
                (502, 'target_failed', 'unknown'),
            ),
            'malformed answer': (
                serve_bytes(b'HTTP/1.1 200 OK\n\n'),
                (502, 'target_failed', 'unknown'),
            ),
            'no answer in time': (
                stay_silent,
                (504, 'target_timeout', 'unknown'),
            ),
        }
        for number, (name, (behaviour, expected)) in enumerate(cases.items()):
            with self.subTest(name):
                label = f't{number}'
                target = await self.start_target(behaviour, label)
                answer = await self.call(
                    f'/{number}', headers='Fulmarseam-Deadline-Ms: 300\r\n'
                )
                self.assertEqual(expected, answer.describe())
                self.assertNotEqual(b'', target.received_bytes)
                self.withdraw_target(target, label)

    def withdraw_target(self, target: fakes.FakeTarget, name: str) -> None:
        """Take a target out of service."""
        report = target.make_report(
            name, state=wire.TargetState.LEAVING, sequence=9
        )
        self.announce(report)
        self.entry.state.targets.record_leave(
            asyncio.get_running_loop().time(), report
        )
        self.entry.pools.update(asyncio.get_running_loop().time())

    async def test_unreachable_target_has_not_run_the_request(self) -> None:
        target = fakes.FakeTarget(stay_silent)
        self.announce(target.make_report())
        await self.wait_until(lambda: self.is_usable('t1'))
        answer = await self.call()
        self.assertEqual((503, 'no_target', 'not-run'), answer.describe())
        self.assertIsNotNone(json.loads(answer.body)['retry_after_ms'])

    async def test_truncated_body_is_seen_as_truncated(self) -> None:
        framings = {
            b'Content-Length: 9\r\n\r\nok': b'ok',
            b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n': b'2\r\nok\r\n',
        }
        for number, (framing, expected) in enumerate(framings.items()):
            name = f't{number}'
            target = await self.start_target(
                serve_bytes(b'HTTP/1.1 200 OK\r\n' + framing), name
            )
            answer = await self.call(f'/{number}')
            self.assertEqual(200, answer.status)
            self.assertEqual(expected, answer.body)
            self.withdraw_target(target, name)

    async def test_request_on_a_reused_connection_is_sent_once(self) -> None:
        """The target closes a reused connection once the request was sent."""

        async def serve(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            buffer = bytearray()
            target.received.append(buffer)
            await fakes.read_request(target, reader, buffer)
            writer.write(OK)
            await fakes.read_request(target, reader, buffer)

        target = await self.start_target(serve)
        self.assertEqual(200, (await self.call('/first')).status)
        answer = await self.call('/second')
        self.assertEqual((502, 'target_failed', 'unknown'), answer.describe())
        # A connection that only checks whether the target lives has no bytes.
        self.assertEqual(1, sum(map(bool, target.received)))
        self.assertEqual(1, target.received_bytes.count(b'/second'))

    async def test_stalled_upload_is_unknown(self) -> None:
        """A part of the body was sent, so the request may have run."""
        target = await self.start_target(stay_silent)
        reader, writer = await self.connect(self.options.listen)
        writer.write(
            b'POST / HTTP/1.1\r\nHost: a\r\nFulmarseam-Deadline-Ms: 400\r\n'
            b'Content-Length: 90000\r\n\r\n' + b'a' * 50_000
        )
        async with asyncio.timeout(5):
            answer = entry_case.Answer(await reader.read())
        self.assertEqual('unknown', answer.outcome)
        self.assertNotEqual(b'', target.received_bytes)

    async def test_caller_that_leaves_cancels_its_request(self) -> None:
        target = await self.start_target(stay_silent)
        _, writer = await self.connect(self.options.listen)
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        await self.wait_until(lambda: target.received_bytes)
        writer.close()
        await self.wait_until(
            lambda: target.received_bytes.endswith(b'<closed>')
        )
        await self.wait_until(
            lambda: self.entry.state.slots.total_in_flight() == 0
        )

    async def test_caller_that_leaves_while_a_connection_opens(self) -> None:
        target = await self.start_target(stay_silent)
        with fakes.delay_connections(0.2):
            _, writer = await self.connect(self.options.listen)
            writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.3)
        self.assertEqual(b'', target.received_bytes.replace(b'<closed>', b''))

    async def test_timed_out_connection_is_not_reused(self) -> None:
        release = asyncio.Event()

        async def serve(
            target: fakes.FakeTarget,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            buffer = bytearray()
            target.received.append(buffer)
            while True:
                request = await fakes.read_request(target, reader, buffer)
                path = request.split()[1]
                if path == b'/slow':
                    await release.wait()
                writer.write(OK.replace(b'ok', path[1:3]))

        await self.start_target(serve, slots=1)
        answer = await self.call(
            '/slow', headers='Fulmarseam-Deadline-Ms: 100\r\n'
        )
        self.assertEqual('target_timeout', answer.kind)
        release.set()
        for path in ('/ab', '/cd', '/ef'):
            answer = await self.call(path)
            self.assertEqual(path[1:].encode(), answer.body)


class RepeatedRefusalTest(entry_case.EntryCase):
    """Guards against 'not run' for a request that is running."""

    # The copy of a refusal used to count for the next request on the
    # connection.
    async def test_a_refusal_written_again_is_not_believed(self) -> None:
        await self.check(refuse_again(echoes_attempt=False))

    async def test_a_refusal_of_another_attempt_is_not_believed(self) -> None:
        await self.check(refuse_again(echoes_attempt=True))

    async def check(self, behaviour: fakes.Behaviour) -> None:
        target = await self.start_target(behaviour)
        first = await self.call(method='POST', body=b'a')
        self.assertEqual(200, first.status)
        second = await self.call(method='POST', body=b'b')
        self.assertEqual((502, 'target_failed', 'unknown'), second.describe())
        self.assertEqual(2, target.received_bytes.count(b'POST'))
