"""A non-blocking stream for log lines."""

import collections
import os

# Bytes buffered while nothing reads the descriptor; a line has about 250
# bytes.
MAX_BUFFERED_BYTES = 1024 * 1024


class BoundedStream:
    """Writes lines to a file descriptor and drops the oldest when full.

    The number of dropped lines is logged in a line of its own as soon as
    the descriptor accepts bytes again::

        stream = BoundedStream(sys.stdout.fileno())
        stream.write('event=started\\n')
        stream.flush()
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        # Unwritten rest of a partly written line.
        self._partial_line = b''
        self.dropped_lines = 0

    def write(self, text: str) -> int:
        """Buffer a line, dropping the oldest lines when the buffer is full."""
        line = text.encode('utf-8', 'backslashreplace')
        self._lines.append(line)
        self._buffered_bytes += len(line)
        while self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._buffered_bytes -= len(self._lines.popleft())
            self.dropped_lines += 1
        return len(text)

    def flush(self) -> None:
        """Write what the descriptor accepts now; keep the rest."""
        try:
            while self._partial_line or self._lines:
                if not self._partial_line:
                    self._partial_line = self._pop_line()
                written = os.write(self._descriptor, self._partial_line)
                self._partial_line = self._partial_line[written:]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the descriptor, so there is nowhere to
            # report this.
            self._lines.clear()
            self._partial_line = b''
            self._buffered_bytes = 0

    def _pop_line(self) -> bytes:
        if self.dropped_lines:
            dropped, self.dropped_lines = self.dropped_lines, 0
            return f'event=log_lines_dropped lines={dropped}\n'.encode()
        line = self._lines.popleft()
        self._buffered_bytes -= len(line)
        return line
