"""Read whole request bodies into memory."""

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
