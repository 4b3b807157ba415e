"""A caller's request on its way through an entry."""

import asyncio
import ipaddress

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import steering
from fulmarseam import wire

DEADLINE_HEADER = b'fulmarseam-deadline-ms'
KEY_HEADER = b'idempotency-key'
MAX_DEADLINE_DIGITS = 9
# The beginning of a body that fingerprints cover, read before dispatch.
PREFIX_BYTES = 16 * 1024
# A request is sent again only if its body up to this size was kept.
REPLAY_BYTES = 64 * 1024


class RequestContext:
    """One request: its head, its deadline and the body kept for replay.

    `deadline` is in seconds of the event loop's clock.
    """

    __slots__ = (
        'arrived_at',
        'caller',
        'deadline',
        'host',
        'kept',
        'kept_bytes',
        'method',
        'path',
        'prefix',
        'replayable',
        'request',
        'request_id',
        'route',
        'runs_as_suspect',
        'traceparent',
        '_fingerprint',
    )

    def __init__(
        self, request: http.Request, caller: http.CallerConnection, now: float
    ) -> None:
        self.request = request
        self.caller = caller
        self.arrived_at = now
        self.deadline = now
        self.method = request.method.decode('ascii')
        self.host, self.path = http.find_host_and_path(request)
        self.route: wire.Route
        self.request_id: str | None = None
        self.traceparent: str | None = None
        self.kept: list[bytes] = []
        self.kept_bytes = 0
        self.prefix = b''
        self.replayable = True
        self.runs_as_suspect = False
        self._fingerprint: str | None = None

    def keep(self, piece: bytes) -> None:
        """Keep a piece sent after the prefix while all fits the bound."""
        self.kept_bytes += len(piece)
        if self.kept_bytes > REPLAY_BYTES:
            self.replayable = False
            self.kept = []
        elif self.replayable:
            self.kept.append(piece)

    def fingerprint(self) -> str:
        """Return the text that names this request when it is repeated."""
        if self._fingerprint is None:
            self._fingerprint = steering.compute_fingerprint(
                self.request_id,
                self.method,
                name_host(self.host),
                self.path,
                self.prefix,
            )
        return self._fingerprint

    def print_content(self) -> str:
        """Return the text that tells contents under one key apart."""
        return steering.compute_fingerprint(
            None,
            self.method,
            name_host(self.host),
            f'{self.path} {self.request.length}',
            self.prefix,
        )

    async def read_prefix(self) -> None:
        """Read the beginning of the body.

        Raises `http.CallerGoneError` and `errors.FulmarseamError` like
        `poll_body`, and `deadline_unreachable` at the deadline.
        """
        caller = self.caller
        while not caller.body_done and self.kept_bytes < PREFIX_BYTES:
            piece = caller.poll_body()
            if piece:
                self.kept.append(piece)
                self.kept_bytes += len(piece)
            elif piece is None:
                caller.start_body_timeout()
                await self.wait()
        caller.stop_body_timeout()
        self.prefix = b''.join(self.kept)[:PREFIX_BYTES]

    async def wait(self) -> None:
        """Wait for news of either side.

        Raises `http.CallerGoneError` when the caller has left, and
        `errors.FulmarseamError` with `deadline_unreachable` when the
        deadline has passed.
        """
        assert self.caller.signal is not None
        await self.caller.signal.wait()
        if self.caller.gone:
            raise http.CallerGoneError('the caller has left')
        if asyncio.get_running_loop().time() >= self.deadline:
            raise errors.FulmarseamError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                'the deadline passed before the request was sent',
            )


def name_host(host: str) -> str:
    """Return the host name without port; empty for an IP address.

    A request that is sent again through another entry may name that
    entry's address as its host and is the same request all the same.
    """
    name = host.partition(']')[0] if host.startswith('[') else host
    name = name.removeprefix('[')
    if not host.startswith('['):
        name = name.partition(':')[0]
    try:
        ipaddress.ip_address(name)
    except ValueError:
        return name.lower()
    return ''


def read_deadline_ms(request: http.Request) -> int | None:
    """Return the time left as the caller states it, in milliseconds.

    Raises `errors.FulmarseamError` when the header is malformed.
    """
    value = request.fields.get(DEADLINE_HEADER)
    if value is None:
        return None
    if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
        raise _refuse(
            f'Fulmarseam-Deadline-Ms: found {value!r}, expected milliseconds'
        )
    return int(value)


def read_request_id(request: http.Request) -> str | None:
    """Return the key of a request that may run only once.

    Raises `errors.FulmarseamError` for several keys, as the target could
    read another one than the entry.
    """
    value = request.fields.get(KEY_HEADER)
    if value is None:
        return None
    if sum(name == KEY_HEADER for name, _ in request.headers) > 1:
        raise _refuse('repeated Idempotency-Key')
    return value.decode('latin-1')


def _refuse(detail: str) -> errors.FulmarseamError:
    return errors.FulmarseamError(errors.ErrorKind.MALFORMED_REQUEST, detail)
