"""The bodies of callers' requests."""

from collections.abc import Awaitable
from collections.abc import Callable

from fulmarseam import errors
from fulmarseam.http import _caller


async def read_body(
    caller: _caller.CallerConnection, max_bytes: int | None = None
) -> bytes:
    """Return the whole body of the request in progress.

    Its size is limited by `max_bytes` and by the limits of the server.
    Raises `CallerGoneError` when the caller disconnects, and
    `errors.FulmarseamError` when the body is too large, malformed or late.
    """
    assert caller.signal is not None
    caller.keeps_whole_body = True
    pieces: list[bytes] = []
    size = 0
    while True:
        piece = caller.poll_body()
        if piece == b'':
            break
        if piece is None:
            caller.start_body_timeout()
            await caller.signal.wait()
            continue
        pieces.append(piece)
        size += len(piece)
        if max_bytes is not None and size > max_bytes:
            raise errors.FulmarseamError(
                errors.ErrorKind.BODY_TOO_LARGE,
                f'the request body exceeds {max_bytes} bytes',
            )
        if caller.body_done:
            break
    caller.stop_body_timeout()
    return b''.join(pieces)


class BodyReader:
    """Reads a caller's body from its beginning, for one attempt to send it.

    Only the reader that was started last may be used.
    """

    def __init__(self, body: 'CallerBody', kept: list[bytes]) -> None:
        self._body = body
        # The pieces that `poll` does not return.
        self.kept = kept

    def poll(self) -> bytes | None:
        """Return the next piece after the kept ones, like `poll_body`."""
        return self._body.poll_rest(self)

    @property
    def has_ended(self) -> bool:
        """Return whether the caller has sent the end of the body."""
        return self._body.has_ended


class CallerBody:
    """The body of a caller's request, for all attempts to send it.

    Keeps the beginning of the body. Once it has passed on more than it may
    keep, no further attempt can start::

        if body.can_start():
            reader = body.start()
            send(reader.kept)
            while piece := reader.poll():
                send(piece)
    """

    def __init__(
        self, caller: _caller.CallerConnection, max_kept_bytes: int
    ) -> None:
        self._caller = caller
        self._max_kept_bytes = max_kept_bytes
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._is_kept_whole = True
        self._reader: BodyReader | None = None

    @property
    def has_ended(self) -> bool:
        """Return whether the caller has sent the end of the body."""
        return self._caller.body_done

    @property
    def kept_bytes(self) -> int:
        """Return the size of the kept part."""
        return self._kept_bytes

    def join_kept(self) -> bytes:
        """Return the kept part."""
        return b''.join(self._kept)

    def can_start(self) -> bool:
        """Return whether an attempt can read the body from its beginning."""
        return self._is_kept_whole

    def start(self) -> BodyReader:
        """Return a reader of the whole body.

        Raises `errors.FulmarseamError` if the beginning is not kept.
        """
        if not self._is_kept_whole:
            raise errors.FulmarseamError(
                errors.ErrorKind.BODY_NOT_KEPT,
                f'more than {self._max_kept_bytes} bytes of the body were '
                'passed on',
            )
        self._reader = BodyReader(self, list(self._kept))
        return self._reader

    async def read_ahead(
        self, size: int, wait: Callable[[], Awaitable[None]]
    ) -> None:
        """Read and keep the body up to about this size.

        `wait` waits for an event of the caller. Raises the errors of
        `CallerConnection.poll_body` and of `wait`.
        """
        caller = self._caller
        while not caller.body_done and self._kept_bytes < size:
            piece = caller.poll_body()
            if piece:
                self._kept.append(piece)
                self._kept_bytes += len(piece)
            elif piece is None:
                caller.start_body_timeout()
                await wait()
        caller.stop_body_timeout()

    def poll_rest(self, reader: BodyReader) -> bytes | None:
        """Return the next piece of the caller, and keep it if it fits."""
        assert reader is self._reader, 'a later attempt reads the body'
        piece = self._caller.poll_body()
        if not piece:
            return piece
        if self._kept_bytes + len(piece) > self._max_kept_bytes:
            self._is_kept_whole = False
            self._kept = []
            self._kept_bytes = 0
        elif self._is_kept_whole:
            self._kept.append(piece)
            self._kept_bytes += len(piece)
        return piece
