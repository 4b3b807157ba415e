"""A buffered connection with flow control in both directions."""

import asyncio
import collections
from typing import Any

from fulmarseam.http import _limits
from fulmarseam.http import _signal


class Channel(asyncio.Protocol):
    """Buffers what a peer sends and notifies the task that runs it.

    Received pieces are kept as they are and handed out one at a time, so
    that the number of bytes held is known. Without a signal (an idle
    pooled connection), `handle_idle_event` is called instead.
    """

    def __init__(self, signal: _signal.Signal | None) -> None:
        self.signal = signal
        self.transport: Any = None
        self.ended = False
        # Whether the connection ended by an error rather than by a close.
        self.was_reset = False
        self.write_paused = False
        self._pieces: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._read_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the buffers of the transport."""
        self.transport = transport
        self.transport.set_write_buffer_limits(high=_limits.BUFFER_BYTES)
        # The default read size of 256 KiB would exceed the buffer bound.
        if hasattr(transport, 'max_size'):
            transport.max_size = _limits.BUFFER_BYTES

    def data_received(self, data: bytes) -> None:
        """Keep a piece and stop the peer when the buffer is full."""
        self._pieces.append(data)
        self._buffered += len(data)
        if self._buffered >= _limits.BUFFER_BYTES and not self._read_paused:
            self._read_paused = True
            self.transport.pause_reading()
        self._notify()

    def eof_received(self) -> bool:
        """Note the end; the owner closes the connection."""
        self.ended = True
        self._notify()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self.ended = True
        self.was_reset = exc is not None
        self.write_paused = False
        self._notify()

    def pause_writing(self) -> None:
        """Note that the peer reads too slowly."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Note that the peer has caught up."""
        self.write_paused = False
        self._notify()

    def _notify(self) -> None:
        if self.signal is not None:
            self.signal.notify()
        else:
            self.handle_idle_event()

    def handle_idle_event(self) -> None:
        """Handle bytes or an end that no exchange waits for."""

    def take_piece(self) -> bytes | None:
        """Return the next received piece, or None when there is none."""
        if not self._pieces:
            return None
        piece = self._pieces.popleft()
        self._buffered -= len(piece)
        if self._read_paused and self._buffered <= _limits.RESUME_BYTES:
            self._read_paused = False
            if not self.transport.is_closing():
                self.transport.resume_reading()
        return piece

    def put_back(self, piece: bytes) -> None:
        """Return the unused rest of a piece to the front of the buffer."""
        self._pieces.appendleft(piece)
        self._buffered += len(piece)

    def has_pieces(self) -> bool:
        """Return whether received bytes wait to be taken."""
        return bool(self._pieces)

    @property
    def buffered_bytes(self) -> int:
        """Return the number of received bytes that wait to be taken."""
        return self._buffered

    def close(self) -> None:
        """Close after all written bytes have been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once and drop what was not sent."""
        if self.transport is not None:
            self.transport.abort()
