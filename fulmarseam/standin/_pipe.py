"""One direction of a forwarded connection."""

import asyncio
import collections
import contextlib
from typing import NamedTuple

READ_BYTES = 65_536
# Beyond this the proxy stops to read, as a full socket buffer would.
MAX_QUEUED_BYTES = 1 << 20


class LineState:
    """The faults of one direction of a link, shared by its connections."""

    def __init__(self, delay_s: float, bytes_per_s: int) -> None:
        self.delay_s = delay_s
        self.bytes_per_s = bytes_per_s
        self._open = asyncio.Event()
        self._open.set()
        self._next_free = 0.0
        self.forwarded_bytes = 0

    @property
    def held(self) -> bool:
        """Return whether bytes are held back."""
        return not self._open.is_set()

    def hold(self) -> None:
        """Hold all bytes back from now on."""
        self._open.clear()

    def release(self) -> None:
        """Let bytes pass again, the held ones first."""
        self._open.set()

    async def wait_open(self) -> None:
        """Return when bytes may pass."""
        await self._open.wait()

    async def take_turn(self, count: int) -> None:
        """Wait until `count` bytes fit the rate limit."""
        if not self.bytes_per_s:
            return
        loop = asyncio.get_running_loop()
        start = max(self._next_free, loop.time())
        self._next_free = start + count / self.bytes_per_s
        await asyncio.sleep(start - loop.time())


class _Chunk(NamedTuple):
    due: float
    data: bytes


class Pipe:
    """Copies bytes one way under the faults of its line."""

    def __init__(
        self,
        line: LineState,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._line = line
        self._reader = reader
        self._writer = writer
        self._chunks: collections.deque[_Chunk] = collections.deque()
        self._queued_bytes = 0
        self._changed = asyncio.Event()
        self._ended = False

    async def run(self) -> None:
        """Copy until the source ends, then end the destination."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self._deliver())

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            while self._queued_bytes >= MAX_QUEUED_BYTES:
                await self._wait_change()
            data = await self._reader.read(READ_BYTES)
            due = loop.time() + self._line.delay_s
            self._chunks.append(_Chunk(due, data))
            self._queued_bytes += len(data)
            self._changed.set()
            if not data:
                return

    async def _deliver(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            while not self._chunks:
                await self._wait_change()
            chunk = self._chunks[0]
            await asyncio.sleep(chunk.due - loop.time())
            await self._line.take_turn(len(chunk.data))
            await self._line.wait_open()
            self._chunks.popleft()
            self._queued_bytes -= len(chunk.data)
            self._changed.set()
            if not chunk.data:
                with contextlib.suppress(OSError):
                    self._writer.write_eof()
                return
            self._writer.write(chunk.data)
            await self._writer.drain()
            self._line.forwarded_bytes += len(chunk.data)

    async def _wait_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()
