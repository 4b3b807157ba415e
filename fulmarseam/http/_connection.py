"""A buffered connection with flow control in both directions."""

import asyncio
import collections
from typing import Any

from fulmarseam.http import _limits
from fulmarseam.http import _signal


class BufferedConnection(asyncio.Protocol):
    """Buffers bytes from a peer and notifies the task that reads them.

    Received pieces are kept unchanged and returned one at a time, so that
    the number of buffered bytes is known. Without a signal (an idle pooled
    connection), `handle_idle_event` is called instead.
    """

    def __init__(self, signal: _signal.Signal | None) -> None:
        self.signal = signal
        self.transport: Any = None
        self.ended = False
        # Whether the connection ended with an error.
        self.was_reset = False
        self.write_paused = False
        self._pieces: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        # Bytes buffered before reading pauses.
        self.read_limit = _limits.BUFFER_BYTES
        self._read_paused = False
        self._read_held = False
        self._events_this_turn = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and limit its buffers."""
        self.transport = transport
        self.transport.set_write_buffer_limits(high=_limits.BUFFER_BYTES)
        # The default read size of 256 KiB would exceed the buffer bound.
        self.set_read_size(self.read_limit)

    def set_read_size(self, size: int) -> None:
        """Set the largest number of bytes that one read returns."""
        if hasattr(self.transport, 'max_size'):
            self.transport.max_size = size

    def set_read_limit(self, limit: int) -> None:
        """Set the number of buffered bytes at which reading pauses."""
        if limit != self.read_limit:
            self.read_limit = limit
            self.set_read_size(limit)
            self._update_reading()

    def hold_reading(self, is_held: bool) -> None:
        """Stop reading for a reason other than the buffer, or allow it."""
        if is_held != self._read_held:
            self._read_held = is_held
            self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading."""
        if self._read_paused:
            is_paused = self._buffered > _limits.RESUME_BYTES
        else:
            is_paused = self._buffered >= self.read_limit
        is_paused = is_paused or self._read_held
        if is_paused == self._read_paused:
            return
        self._read_paused = is_paused
        if self.transport.is_closing():
            return
        if is_paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Buffer a piece and pause reading when the buffer is full."""
        if self._pieces and len(self._pieces[-1]) < _limits.SMALL_PIECE_BYTES:
            # Many tiny pieces would take several times their bytes.
            self._pieces[-1] += data
        else:
            self._pieces.append(data)
        self._buffered += len(data)
        self._update_reading()
        self._notify()

    def eof_received(self) -> bool:
        """Record the end of input; the owner closes the connection."""
        self.ended = True
        self._notify()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection."""
        self.ended = True
        self.was_reset = exc is not None
        self.write_paused = False
        self._notify()

    def pause_writing(self) -> None:
        """Record that the write buffer is full."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Record that the write buffer has room, and wake the task."""
        self.write_paused = False
        self._notify()

    def _notify(self) -> None:
        if self.signal is not None:
            self.signal.notify()
        else:
            self.handle_idle_event()

    def handle_idle_event(self) -> None:
        """Handle received bytes or a close while no exchange is running."""

    def may_parse_event(self) -> bool:
        """Count an event to parse; return False if other work must run first.

        Very small chunks would otherwise keep the event loop busy for as
        long as the buffer lasts. The signal is set when parsing may go on.
        """
        if self._events_this_turn >= _limits.MAX_EVENTS_PER_TURN:
            return False
        if not self._events_this_turn:
            asyncio.get_running_loop().call_soon(self._start_turn)
        self._events_this_turn += 1
        return True

    def _start_turn(self) -> None:
        was_exhausted = self._events_this_turn >= _limits.MAX_EVENTS_PER_TURN
        self._events_this_turn = 0
        if was_exhausted and self.signal is not None:
            self.signal.notify()

    def take_piece(self) -> bytes | None:
        """Return the next received piece, or None when there is none."""
        if not self._pieces:
            return None
        piece = self._pieces.popleft()
        self._buffered -= len(piece)
        if self._read_paused:
            self._update_reading()
        return piece

    def put_back(self, piece: bytes) -> None:
        """Put the unused rest of a piece at the front of the buffer."""
        self._pieces.appendleft(piece)
        self._buffered += len(piece)

    def has_pieces(self) -> bool:
        """Return whether the buffer holds received bytes."""
        return bool(self._pieces)

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes in the receive buffer."""
        return self._buffered

    def close(self) -> None:
        """Close the connection after all written bytes have been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately and drop unsent bytes."""
        if self.transport is not None:
            self.transport.abort()
