"""Tests of the memory that answers of targets may take."""

import asyncio
from collections.abc import Awaitable
import contextlib
import socket
import unittest

from fulmarseam import http
from fulmarseam import intake
from tests import entry_case
from tests import fakes
from tests import gateway_case

KIB = 1024
CALLERS = 20
# A budget that a few of the answers below exceed.
LIMIT_BYTES = 256 * KIB
# The size of a read, and of one while the budget is exceeded.
READ_BYTES = 64 * KIB
PRESSED_READ_BYTES = 8 * KIB
# Enough to read what is ready.
LOOP_TURNS = 3
# An answer may take this much in any case: what it may hold, and a piece that
# has just been read.
MAX_ANSWER_BYTES = intake.SMALL_ANSWER_BYTES + READ_BYTES
MAX_HELD_BYTES = LIMIT_BYTES + CALLERS * MAX_ANSWER_BYTES

LARGE_HEAD = b'x-a: ' + b'a' * 60 * KIB
MANY_FIELDS = b'a: b\r\n' * 8_000 + b'content-length: 1\r\n\r\n'
CHUNKS = (
    b'transfer-encoding: chunked\r\n\r\n'
    + (b'2000\r\n' + bytes(8 * KIB) + b'\r\n') * 30
)
LENGTH = b'content-length: 240001\r\n\r\n' + bytes(240_000)


class BudgetTest(unittest.TestCase):
    """Guards against answers that grow once the limit is exceeded."""

    def test_only_small_answers_grow_beyond_the_limit(self) -> None:
        budget = intake.AnswerBudget(4 * LIMIT_BYTES)
        self.assertEqual(LIMIT_BYTES, budget.limit)
        budget.change(LIMIT_BYTES)
        self.assertTrue(budget.may_grow(LIMIT_BYTES))
        budget.change(1)
        self.assertFalse(budget.may_grow(intake.SMALL_ANSWER_BYTES + 1))
        self.assertTrue(budget.may_grow(intake.SMALL_ANSWER_BYTES))
        budget.change(-1)
        self.assertTrue(budget.may_grow(LIMIT_BYTES))


class ReadSizeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against many answers that are all read in full at once."""

    async def test_answers_that_are_ready_at_the_same_time(self) -> None:
        budget = intake.AnswerBudget(4 * LIMIT_BYTES)
        loop = asyncio.get_running_loop()
        targets = []
        for _ in range(CALLERS):
            target, entry = socket.socketpair()
            targets.append(target)
            self.addCleanup(target.close)
            transport, _ = await loop.create_connection(
                lambda: http.TargetConnection(None, budget), sock=entry
            )
            self.addCleanup(transport.abort)
        for target in targets:
            target.setblocking(False)
            target.send(bytes(READ_BYTES))
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)
        self.assertGreater(budget.held, LIMIT_BYTES)
        most = LIMIT_BYTES + READ_BYTES + CALLERS * PRESSED_READ_BYTES
        self.assertLessEqual(budget.held, most)


class HeldBytes:
    """Shrinks a budget and records the most that is held of it."""

    def __init__(self, budget: intake.AnswerBudget) -> None:
        self._budget = budget
        self.most = 0
        budget.limit = LIMIT_BYTES

    async def _watch(self) -> None:
        while True:
            self.most = max(self.most, self._budget.held)
            await asyncio.sleep(0)

    async def run(self, *calls: Awaitable[None]) -> None:
        """Record while calls run."""
        watch = asyncio.create_task(self._watch())
        await asyncio.gather(*calls)
        watch.cancel()


async def read_all(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read an answer to its end."""
    with contextlib.closing(writer), contextlib.suppress(OSError):
        while await reader.read(64 * KIB):
            pass


class FloodTests:
    """The tests of both kinds of entry."""

    async def check(self, flood: bytes) -> None:
        """Check what is held while targets send the flood, and afterwards."""
        raise NotImplementedError

    async def test_a_large_head(self) -> None:
        await self.check(LARGE_HEAD)

    async def test_many_fields(self) -> None:
        await self.check(MANY_FIELDS)

    async def test_chunks(self) -> None:
        await self.check(CHUNKS)

    async def test_a_length(self) -> None:
        await self.check(LENGTH)


class GatewayTest(FloodTests, gateway_case.GatewayCase):
    """Guards against an entry that keeps what faulty targets send."""

    async def check(self, flood: bytes) -> None:
        async def send(reader, writer, headers):
            writer.write(
                b'HTTP/1.1 200 OK\r\nfulmarseam-request-id: q1\r\n' + flood
            )
            await reader.read()

        target = await self.add_target('t1', send, slots=2 * CALLERS)
        await self.put_route(timeout_ms=600.0, max_attempts=1)
        budget = self.gateway.caller_intake.answer_budget
        held = HeldBytes(budget)
        calls = [
            read_all(*await self.open_call(connection='close'))
            for _ in range(CALLERS)
        ]
        await held.run(*calls)
        self.assertNotEqual([], target.heads)
        self.assertLess(held.most, MAX_HELD_BYTES)
        self.assertEqual(0, budget.held)

    async def test_answers_that_are_served_leave_nothing_held(self) -> None:
        async def send(reader, writer, headers):
            await gateway_case.write_response(writer, headers, body=bytes(KIB))

        await self.add_target('t1', send)
        await self.put_route()
        for _ in range(3):
            self.assertEqual(200, (await self.call()).status)
        budget = self.gateway.caller_intake.answer_budget
        self.assertEqual(0, budget.held)


class EntryTest(FloodTests, entry_case.EntryCase):
    """Guards against the same in an entry with grants."""

    async def check(self, flood: bytes) -> None:
        async def send(target, reader, writer):
            buffer = bytearray()
            target.received.append(buffer)
            await fakes.read_request(target, reader, buffer)
            writer.write(b'HTTP/1.1 200 OK\r\n' + flood)
            await reader.read()

        await self.start_target(send, slots=2 * CALLERS)
        budget = self.entry.caller_intake.answer_budget
        held = HeldBytes(budget)
        calls = []
        for _ in range(CALLERS):
            reader, writer = await self.connect(self.options.listen)
            writer.write(
                b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
                b'Fulmarseam-Deadline-Ms: 600\r\n\r\n'
            )
            calls.append(read_all(reader, writer))
        await held.run(*calls)
        self.assertLess(held.most, MAX_HELD_BYTES)
        self.assertEqual(0, budget.held)
