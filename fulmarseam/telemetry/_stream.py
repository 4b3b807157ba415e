"""A stream for log lines that never holds up the process."""

import collections
import os

# Bytes kept while nobody reads; a line has about 250 bytes.
MAX_BUFFERED_BYTES = 1024 * 1024


class BoundedStream:
    """Writes lines to a descriptor and drops the oldest if it is full.

    The number of dropped lines is reported in a line of its own as soon as
    the descriptor takes bytes again::

        stream = BoundedStream(sys.stdout.fileno())
        stream.write('event=started\\n')
        stream.flush()
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        # The rest of a line of which a part has been written.
        self._rest = b''
        self.dropped = 0

    def write(self, text: str) -> int:
        """Keep a line, in place of the oldest ones if there are too many."""
        line = text.encode('utf-8', 'backslashreplace')
        self._lines.append(line)
        self._buffered += len(line)
        while self._buffered > MAX_BUFFERED_BYTES:
            self._buffered -= len(self._lines.popleft())
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Write what the descriptor takes now; the rest stays."""
        try:
            while self._rest or self._lines:
                if not self._rest:
                    self._rest = self._take_next()
                written = os.write(self._descriptor, self._rest)
                self._rest = self._rest[written:]
        except BlockingIOError:
            return
        except OSError:
            # Nobody can read the lines any more, so there is nowhere to
            # report this to.
            self._lines.clear()
            self._rest = b''
            self._buffered = 0

    def _take_next(self) -> bytes:
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            return f'event=log_lines_dropped lines={dropped}\n'.encode()
        line = self._lines.popleft()
        self._buffered -= len(line)
        return line
