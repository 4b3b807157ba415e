"""Tests of message heads that contradict themselves.

The examples are drawn from a fixed seed, so that a failure repeats.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
from typing import ClassVar
from typing import NamedTuple

import hypothesis
from hypothesis import strategies

from fulmarseam import wire
from tests import entry_case
from tests import fakes
from tests import gateway_case

run_examples = hypothesis.settings(
    max_examples=60, derandomize=True, deadline=None, database=None
)
# A splice can leave an entry waiting for bytes that never come.
DEADLINE_MS = 300
OTHER_ID = b'other'
ANNOUNCE_INTERVAL_S = 0.5
# Of the splices, that a target got to write.
MIN_WRITTEN_SHARE = 0.9


class Message(NamedTuple):
    """A response: its status, its body and whether that is in chunks."""

    status: int
    body: bytes
    is_chunked: bool

    def render_head(self, name: bytes, request_id: bytes) -> bytes:
        """Return the head, which names the request that it answers."""
        framing = b'content-length: %d' % len(self.body)
        if self.is_chunked:
            framing = b'transfer-encoding: chunked'
        return (
            b'HTTP/1.1 %d OK\r\ndate: today\r\n%b: %b\r\nserver: s/1\r\n'
            b'%b\r\n\r\n' % (self.status, name, request_id, framing)
        )

    def render(self, name: bytes, request_id: bytes) -> bytes:
        """Return the whole response."""
        body = self.body
        if self.is_chunked:
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        return self.render_head(name, request_id) + body


FIRST = Message(200, b'first', False)
FIRST_CHUNKED = Message(200, b'first', True)
SECOND = Message(409, b'second body', False)
HEAD_BYTES = len(FIRST.render_head(b'fulmarseam-request-id', b'q1'))


class Splice(NamedTuple):
    """What a target writes on a kept connection.

    The first answer breaks off after `first_bytes`, if that is set, and a
    whole answer to another request follows. A part of the first answer,
    `repeats` times, precedes the second one, which has `second_bytes`.
    """

    first: Message = FIRST
    first_bytes: int | None = None
    start: int = 0
    end: int = 0
    repeats: int = 1
    second_bytes: int | None = None
    # Bytes of the second answer that arrive first.
    gap: int = 0


positions = strategies.integers(0, HEAD_BYTES + 20)
splices = strategies.builds(
    Splice,
    first=strategies.sampled_from((FIRST, FIRST_CHUNKED)),
    first_bytes=strategies.one_of(
        strategies.none(), strategies.integers(0, HEAD_BYTES)
    ),
    start=strategies.one_of(strategies.just(0), positions),
    end=positions,
    repeats=strategies.integers(1, 2),
    second_bytes=strategies.one_of(strategies.none(), positions),
    gap=strategies.integers(0, HEAD_BYTES),
)


class SplicingTarget:
    """Writes the spliced answers to the requests of each connection."""

    def __init__(self, id_header: bytes) -> None:
        self._id_header = id_header
        self.splice = Splice()
        # Numbers of the requests of a connection, in order of arrival.
        self.numbers: list[int] = []
        self.checked = 0
        self.written = 0

    async def serve(
        self,
        target: fakes.FakeTarget,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection; a behaviour of a `FakeTarget`."""
        splice = self.splice
        first_id = await self._read_id(target, reader)
        first = splice.first.render(self._id_header, first_id)
        self.numbers.append(1)
        if splice.first_bytes is not None:
            # With the whole head the other answer would be its body.
            head = splice.first.render_head(self._id_header, first_id)
            other = SECOND.render(self._id_header, OTHER_ID)
            writer.write(head[:-1][: splice.first_bytes] + other)
            await reader.read()
            return
        writer.write(first)
        second_id = await self._read_id(target, reader)
        self.numbers.append(2)
        second = SECOND.render(self._id_header, second_id)
        data = first[splice.start : splice.end] * splice.repeats
        data += second[: splice.second_bytes]
        writer.write(data[: splice.gap])
        await asyncio.sleep(0)
        writer.write(data[splice.gap :])
        if splice.second_bytes is None:
            await reader.read()

    async def _read_id(
        self, target: fakes.FakeTarget, reader: asyncio.StreamReader
    ) -> bytes:
        request = await fakes.read_request(target, reader, bytearray())
        _, _, rest = request.lower().partition(b'\r\n' + self._id_header)
        return rest.partition(b'\r\n')[0].removeprefix(b':').strip()


# What a caller got: status and body, or None without a whole response.
Result = tuple[int, bytes] | None
Call = Callable[[str], Awaitable[Result]]


async def check_splice(
    target: SplicingTarget, call: Call, splice: Splice
) -> list[Result]:
    """Return what the callers of two requests got, once that is checked."""
    target.splice = splice
    target.numbers.clear()
    results = [await call('q1'), await call('q2')]
    for result, message in zip(results, (splice.first, SECOND), strict=True):
        if result is None or result[0] >= 500:
            continue
        # The second request opens a connection if the first was closed.
        expected = {(message.status, message.body)}
        if target.numbers.count(1) > 1:
            expected.add((splice.first.status, splice.first.body))
        assert result in expected, f'{splice}: {results}'
    target.checked += 1
    target.written += bool(target.numbers)
    return results


async def check_splices(target: SplicingTarget, call: Call) -> None:
    """Check splices at each byte of a head, and some of any kind."""
    sound = await check_splice(target, call, Splice())
    assert sound == [(200, b'first'), (409, b'second body')], sound
    assert target.numbers == [1, 2], target.numbers
    for end in range(HEAD_BYTES + 5):
        await check_splice(target, call, Splice(end=end))
        if end % 4 == 0:
            await check_splice(target, call, Splice(first_bytes=end))
    loop = asyncio.get_running_loop()

    @run_examples
    @hypothesis.given(splices)
    def run(splice: Splice) -> None:
        asyncio.run_coroutine_threadsafe(
            check_splice(target, call, splice), loop
        ).result()

    await asyncio.to_thread(run)
    assert target.written >= MIN_WRITTEN_SHARE * target.checked, (
        f'{target.written} of {target.checked} splices were written'
    )


class GatewaySpliceTest(gateway_case.GatewayCase):
    """Guards against a response with the status or body of another one."""

    async def test_no_splice_gives_a_caller_another_response(self) -> None:
        splicing = SplicingTarget(b'fulmarseam-request-id')
        peer = await self.enterAsyncContext(fakes.FakeTarget(splicing.serve))
        await self.add_target(
            't1', gateway_case.write_response, address=peer.address
        )
        await self.put_route(idempotent=False)
        load_balancer = self.gateway.load_balancer
        # The only target stays in use.
        load_balancer.eject = lambda *_, **__: None
        load_balancer.record_failure = lambda *_: None
        load_balancer.record_timeout = lambda *_: None

        async def call(request_id: str) -> Result:
            if request_id == 'q1':
                pools = self.gateway._target_pools._pools
                for pool in pools.values():
                    pool.close_idle(asyncio.get_running_loop().time())
            reply = await self.call(
                method='POST',
                fulmarseam_request_id=request_id,
                fulmarseam_deadline_ms=str(DEADLINE_MS),
            )
            return reply.status, reply.body

        await check_splices(splicing, call)


class GatewayRepeatedFieldTest(gateway_case.GatewayCase):
    """Guards against heads that name two requests, targets or limits."""

    # The last of two request ids used to count.
    async def test_an_answer_with_a_repeated_field_is_rejected(self) -> None:
        repeated = ''

        async def repeat(reader, writer, headers):
            name = headers['fulmarseam-request-id']
            writer.write(
                f'HTTP/1.1 200 OK\r\n{repeated}fulmarseam-request-id: {name}'
                '\r\ncontent-length: 0\r\n\r\n'.encode()
            )

        await self.add_target('t1', repeat)
        await self.put_route(idempotent=False)
        self.gateway.load_balancer.eject = lambda *_, **__: None
        self.assertEqual(200, (await self.call(method='POST')).status)
        for name in (
            'content-encoding',
            'content-length',
            'fulmarseam-leaving',
            'fulmarseam-load',
            'fulmarseam-not-run',
            'fulmarseam-relayed',
            'fulmarseam-request-id',
            'fulmarseam-stamp',
            'fulmarseam-target',
        ):
            with self.subTest(name):
                repeated = f'{name}: 0\r\n{name.title()}: 0\r\n'
                self.assertEqual(502, (await self.call(method='POST')).status)

    async def test_a_request_with_a_repeated_field_is_rejected(self) -> None:
        target = await self.add_target('t1', gateway_case.write_response)
        await self.put_route()
        for name in (
            'content-encoding',
            'fulmarseam-deadline-ms',
            'fulmarseam-relayed',
            'fulmarseam-request-id',
            'fulmarseam-target',
        ):
            with self.subTest(name):
                reply = await self.call(
                    fulmarseam_request_id=f'1\r\n{name}: 1\r\n{name}: 1'
                )
                self.assertEqual(400, reply.status)
        self.assertEqual([], target.heads)

    async def test_bytes_before_an_answer_end_its_connection(self) -> None:
        async def answer_late(reader, writer, headers):
            first = len(target.heads) == 1
            writer.write(b'' if first else b'late\r\n')
            await gateway_case.write_response(writer, headers)

        target = await self.add_target('t1', answer_late)
        await self.put_route(idempotent=False)
        self.assertEqual(200, (await self.call(method='POST')).status)
        reply = await self.call(method='POST')
        self.assertEqual(502, reply.status)
        self.assertIn(b'unknown', reply.body)
        async with asyncio.timeout(5.0):
            await target.connection_closed.wait()
        self.assertEqual(2, len(target.heads))


class EntryRepeatedFieldTest(entry_case.EntryCase):
    """Guards against the same in an entry with grants."""

    rows: ClassVar[list[wire.Row]] = [
        wire.Pool(name=fakes.POOL),
        entry_case.make_route(idempotent=False, request_id_required=False),
    ]

    async def test_an_answer_with_a_repeated_field_is_rejected(self) -> None:
        for number, name in enumerate(
            (
                'content-encoding',
                'fulmarseam-attempt',
                'fulmarseam-kind',
                'fulmarseam-leaving',
                'fulmarseam-outcome',
            )
        ):
            with self.subTest(name):
                lines = 2 * f'{name}: 1\r\n'
                answer = f'HTTP/1.1 200 OK\r\n{lines}content-length: 0\r\n\r\n'
                await self.start_target(
                    fakes.answer_always(answer.encode()), f't{number}'
                )
                reply = await self.call(method='POST')
                self.assertEqual(
                    (502, 'unknown'), (reply.status, reply.outcome)
                )

    async def test_a_request_with_a_repeated_field_is_rejected(self) -> None:
        target = await self.start_target(fakes.answer_always(entry_case.OK))
        for name in (
            'content-encoding',
            'fulmarseam-deadline-ms',
            'fulmarseam-relayed',
        ):
            with self.subTest(name):
                reply = await self.call(headers=2 * f'{name}: 1\r\n')
                self.assertEqual(400, reply.status)
        self.assertEqual(b'', target.received_bytes)


class EntrySpliceTest(entry_case.EntryCase):
    """Guards against the same in an entry with grants."""

    rows: ClassVar[list[wire.Row]] = [
        wire.Pool(name=fakes.POOL),
        entry_case.make_route(idempotent=False, request_id_required=False),
    ]

    async def test_no_splice_gives_a_caller_another_response(self) -> None:
        splicing = SplicingTarget(b'fulmarseam-attempt')
        peer = await self.start_target(splicing.serve)
        announcer = asyncio.create_task(self.announce_forever(peer))
        self.addCleanup(announcer.cancel)
        pools = self.entry.pools
        # The only target stays in use.
        pools.outcomes.record_failure = lambda *_: None
        pools.note_unreachable = lambda *_: None

        async def call(request_id: str) -> Result:
            if request_id == 'q1':
                for pool in self.entry.target_pools._pools.values():
                    pool.close_idle(asyncio.get_running_loop().time())
            answer = await self.call(
                headers=f'fulmarseam-deadline-ms: {DEADLINE_MS}\r\n',
                method='POST',
            )
            return read_whole(answer)

        await check_splices(splicing, call)

    async def announce_forever(self, peer: fakes.FakeTarget) -> None:
        """Announce a target before its announcement expires."""
        for sequence in itertools.count(2):
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            self.announce(peer.make_report(sequence=sequence))


def read_whole(answer: entry_case.Answer) -> Result:
    """Return status and body of an answer, if it is whole."""
    body = answer.body
    if 'content-length' in answer.headers:
        if int(answer.headers['content-length']) != len(body):
            return None
    elif 'transfer-encoding' in answer.headers:
        with contextlib.suppress(ValueError):
            size, _, rest = body.partition(b'\r\n')
            length = int(size, 16)
            if rest[length:] == b'\r\n0\r\n\r\n':
                return answer.status, rest[:length]
        return None
    return answer.status, body
