"""Targets that send bytes without end to many callers at once.

Each test guards against an entry that keeps what faulty targets send: it
ends when its memory is used up, and the requests of all its callers with it.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import itertools
import unittest

from tests.integration import _crowds

CALLERS = 300
FLOOD_S = 5.0
KIB = 1024
# Time between two bytes of a target that withholds the end of its answer.
DRIP_S = 0.2
# What an entry buffers of an answer before it passes it on, and of a head.
BODY_BYTES = 250 * KIB
HEAD_BYTES = 60 * KIB
CHUNK = b'4000\r\n' + bytes(16 * KIB) + b'\r\n'


def make_head(request_id: bytes, *fields: bytes) -> bytes:
    """Return the head of an answer without its end."""
    lines = (
        b'HTTP/1.1 200 OK',
        b'X-Request-Id: ' + request_id,
        b'X-Server-Stamp: s',
        *fields,
    )
    return b'\r\n'.join(lines) + b'\r\n'


def drip(piece: bytes) -> Iterator[bytes | float]:
    """Repeat a piece slowly, for as long as the entry reads."""
    while True:
        yield piece
        yield DRIP_S


def withhold_the_end_of_chunks(request_id: bytes) -> _crowds.Stream:
    """Send nearly as much as an entry buffers, then a byte now and then."""
    yield make_head(request_id, b'Transfer-Encoding: chunked', b'')
    yield CHUNK * (BODY_BYTES // len(CHUNK))
    yield from drip(b'1\r\nx\r\n')


def withhold_the_end_of_a_length(request_id: bytes) -> _crowds.Stream:
    """Send a body of a stated length without its last byte."""
    yield make_head(request_id, b'Content-Length: %d' % BODY_BYTES, b'')
    yield bytes(BODY_BYTES - 1)
    yield from drip(b'')


def withhold_the_end_of_a_connection(request_id: bytes) -> _crowds.Stream:
    """Send a body that only the close would end."""
    yield make_head(request_id, b'')
    yield bytes(BODY_BYTES)
    yield from drip(b'x')


def withhold_the_end_of_a_head(request_id: bytes) -> _crowds.Stream:
    """Send nearly as many fields as an entry takes, then a byte at times."""
    yield make_head(request_id)
    yield b'a: b\r\n' * (HEAD_BYTES // 6)
    yield b'x: '
    yield from drip(b'x')


def send_many_fields(request_id: bytes) -> _crowds.Stream:
    """Send a head of short fields and withhold the body."""
    yield make_head(request_id, b'Content-Length: 1')
    yield b'a: b\r\n' * (HEAD_BYTES // 6) + b'\r\n'
    yield from drip(b'')


def send_a_body_without_end(request_id: bytes) -> _crowds.Stream:
    """Send chunks without end, at full speed."""
    yield make_head(request_id, b'Transfer-Encoding: chunked', b'')
    yield from itertools.repeat(CHUNK)


def send_no_answer(_: bytes) -> _crowds.Stream:
    """Send bytes that are no answer, at full speed."""
    yield from itertools.repeat(b'?' * 16 * KIB)


def send_more_than_the_length(request_id: bytes) -> _crowds.Stream:
    """Send bytes without end after a complete answer."""
    yield make_head(request_id, b'Content-Length: 2', b'') + b'ok'
    yield from itertools.repeat(b'x' * 16 * KIB)


def flood_a_kept_connection(request_id: bytes) -> _crowds.Stream:
    """Send bytes without end after an answer, once the connection is idle."""
    yield make_head(request_id, b'Content-Length: 2', b'') + b'ok'
    yield DRIP_S
    yield from itertools.repeat(b'x' * 16 * KIB)


async def call_repeatedly(place: _crowds.Place) -> None:
    """Ask again as soon as an answer ends, and read all of it."""
    host, _, port = place.address.rpartition(':')
    head = _crowds.make_head(place, 'Connection: close', method='GET')
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(writer):
                writer.write(head)
                while await reader.read(64 * KIB):
                    pass
        await asyncio.sleep(0.05)


class TargetFloodTest(unittest.IsolatedAsyncioTestCase):
    """Sends many requests to a pool of twelve faulty targets."""

    async def check(self, flood: _crowds.Flood) -> None:
        """Check the memory and that another pool is served meanwhile."""
        asyncio.get_running_loop().set_debug(False)
        system = await self.enterAsyncContext(_crowds.System(flood=flood))
        callers = [
            asyncio.create_task(call_repeatedly(system.faulty_route))
            for _ in range(CALLERS)
        ]
        try:
            await asyncio.sleep(FLOOD_S)
            await _crowds.call_until_served(system.route)
        finally:
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        self.assertTrue(system.entry.is_running, 'the process has ended')
        self.assertLess(system.entry.read_peak_mib(), _crowds.MEMORY_LIMIT_MIB)

    async def test_chunks_whose_end_is_withheld(self) -> None:
        await self.check(withhold_the_end_of_chunks)

    async def test_a_length_whose_end_is_withheld(self) -> None:
        await self.check(withhold_the_end_of_a_length)

    async def test_a_connection_whose_end_is_withheld(self) -> None:
        await self.check(withhold_the_end_of_a_connection)

    async def test_a_head_whose_end_is_withheld(self) -> None:
        await self.check(withhold_the_end_of_a_head)

    async def test_a_head_of_many_fields(self) -> None:
        await self.check(send_many_fields)

    async def test_a_body_without_end(self) -> None:
        await self.check(send_a_body_without_end)

    async def test_bytes_that_are_no_answer(self) -> None:
        await self.check(send_no_answer)

    async def test_more_than_the_stated_length(self) -> None:
        await self.check(send_more_than_the_length)

    async def test_bytes_on_a_kept_connection(self) -> None:
        await self.check(flood_a_kept_connection)


if __name__ == '__main__':
    unittest.main()
