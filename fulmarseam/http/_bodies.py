"""Reading of whole request bodies."""

from fulmarseam.http import _caller
from fulmarseam.http import _failures


async def read_body(caller: _caller.CallerConnection) -> bytes:
    """Return the whole body of the request in progress.

    The limits of the server bound its size. Raises `CallerGoneError`, and
    `errors.FulmarseamError` for a body to be refused.
    """
    assert caller.signal is not None
    pieces = []
    while not caller.body_done:
        piece = caller.poll_body()
        if piece:
            pieces.append(piece)
        elif piece is None:
            caller.start_body_timeout()
            await caller.signal.wait()
            if caller.gone and not caller.has_pieces():
                raise _failures.CallerGoneError('the caller has left')
    caller.stop_body_timeout()
    return b''.join(pieces)
