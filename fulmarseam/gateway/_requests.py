"""A caller's request on its way through a gateway."""

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.gateway import _http_names

# A body up to this size is read before the request is sent, so that it can
# be sent again.
HELD_BODY_BYTES = 256 * 1024
MAX_DEADLINE_DIGITS = 9


class Job:
    """One request: its route, its deadline and the body held of it.

    `deadline` is in seconds of the event loop's clock. `request_path` is
    what the target gets, byte for byte as the caller sent it.
    """

    __slots__ = (
        'arrived_at',
        'attempted',
        'caller',
        'deadline',
        'host',
        'is_replayable',
        'kept',
        'kept_bytes',
        'path',
        'request',
        'request_id',
        'request_path',
        'route',
    )

    def __init__(
        self,
        request: http.Request,
        caller: http.CallerConnection,
        now: float,
        http_names: _http_names.HttpNames,
    ) -> None:
        self.request = request
        self.caller = caller
        self.arrived_at = now
        self.deadline = now
        self.host, self.path = http.find_host_and_path(request)
        self.request_path = self.path.encode('latin-1')
        self.request_id = request.fields.get(http_names.request_id)
        self.route: wire.RouteItem
        # Targets that may have run it; a route bounds their number.
        self.attempted: set[ids.TargetId] = set()
        self.kept: list[bytes] = []
        self.kept_bytes = 0
        self.is_replayable = True

    @property
    def signal(self) -> http.Signal:
        """Return what wakes the task for either side."""
        assert self.caller.signal is not None
        return self.caller.signal

    async def hold_body(self) -> None:
        """Read the body, or the first part of a large one.

        Raises `http.CallerGoneError` and `errors.FulmarseamError` like
        `poll_body`.
        """
        caller = self.caller
        while not caller.body_done and self.kept_bytes < HELD_BODY_BYTES:
            piece = caller.poll_body()
            if piece:
                self.kept.append(piece)
                self.kept_bytes += len(piece)
            elif piece is None:
                caller.start_body_timeout()
                await self.signal.wait()
                if caller.gone:
                    raise http.CallerGoneError('the caller has left')
        caller.stop_body_timeout()


def read_deadline_ms(
    request: http.Request, http_names: _http_names.HttpNames
) -> int | None:
    """Return the time that the caller waits, in milliseconds, if stated.

    Raises `errors.FulmarseamError` when the header is malformed.
    """
    value = request.fields.get(http_names.deadline)
    if value is None:
        return None
    if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
        raise errors.FulmarseamError(
            errors.ErrorKind.MALFORMED_REQUEST,
            f'{http_names.deadline.decode()}: found {value!r}, expected '
            'milliseconds',
        )
    return int(value)


def read_affinity(
    request: http.Request, http_names: _http_names.HttpNames
) -> str | None:
    """Return the name of the object that a request concerns, if stated."""
    cookies = request.fields.get(b'cookie')
    if cookies is None:
        return None
    for cookie in cookies.split(b';'):
        name, _, value = cookie.strip().partition(b'=')
        if name.lower() == http_names.affinity:
            return value.decode('latin-1')
    return None
