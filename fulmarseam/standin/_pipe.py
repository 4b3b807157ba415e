"""One direction of a forwarded connection."""

import asyncio
import collections
import contextlib
from typing import NamedTuple

READ_BYTES = 65_536
# Beyond this the proxy stops reading, which acts like a full socket buffer.
MAX_QUEUED_BYTES = 1 << 20


class DirectionState:
    """Delay, rate limit and hold of a link direction, for all connections."""

    def __init__(self, delay_s: float, bytes_per_s: int) -> None:
        self.delay_s = delay_s
        self.bytes_per_s = bytes_per_s
        self._released = asyncio.Event()
        self._released.set()
        self._next_send_time = 0.0
        self.forwarded_bytes = 0

    @property
    def held(self) -> bool:
        """Return whether all bytes are held back."""
        return not self._released.is_set()

    def hold(self) -> None:
        """Hold back all bytes from now on."""
        self._released.clear()

    def release(self) -> None:
        """Forward bytes again, the held ones first."""
        self._released.set()

    async def wait_released(self) -> None:
        """Wait until bytes are not held back."""
        await self._released.wait()

    async def throttle(self, count: int) -> None:
        """Wait until the rate limit admits `count` bytes."""
        if not self.bytes_per_s:
            return
        loop = asyncio.get_running_loop()
        start = max(self._next_send_time, loop.time())
        self._next_send_time = start + count / self.bytes_per_s
        await asyncio.sleep(start - loop.time())


class _Chunk(NamedTuple):
    due: float
    data: bytes


class Pipe:
    """Copies bytes in one direction, subject to its delay, rate and hold."""

    def __init__(
        self,
        state: DirectionState,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._state = state
        self._reader = reader
        self._writer = writer
        self._chunks: collections.deque[_Chunk] = collections.deque()
        self._queued_bytes = 0
        self._queue_changed = asyncio.Event()
        self._ended = False

    async def run(self) -> None:
        """Copy until the source ends, then pass on the end of stream."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive())
            group.create_task(self._deliver())

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            while self._queued_bytes >= MAX_QUEUED_BYTES:
                await self._wait_queue_change()
            data = await self._reader.read(READ_BYTES)
            due = loop.time() + self._state.delay_s
            self._chunks.append(_Chunk(due, data))
            self._queued_bytes += len(data)
            self._queue_changed.set()
            if not data:
                return

    async def _deliver(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            while not self._chunks:
                await self._wait_queue_change()
            chunk = self._chunks[0]
            await asyncio.sleep(chunk.due - loop.time())
            await self._state.throttle(len(chunk.data))
            await self._state.wait_released()
            self._chunks.popleft()
            self._queued_bytes -= len(chunk.data)
            self._queue_changed.set()
            if not chunk.data:
                with contextlib.suppress(OSError):
                    self._writer.write_eof()
                return
            self._writer.write(chunk.data)
            await self._writer.drain()
            self._state.forwarded_bytes += len(chunk.data)

    async def _wait_queue_change(self) -> None:
        self._queue_changed.clear()
        await self._queue_changed.wait()
