"""The state of a caller's request in an entry."""

import asyncio

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import steering
from fulmarseam import wire

DEADLINE_HEADER = b'fulmarseam-deadline-ms'
REQUEST_ID_HEADER = b'idempotency-key'
# Marks a request that another entry relays, which is relayed no further. In an
# error of such a request it is how often targets may have got it.
RELAYED_HEADER = b'fulmarseam-relayed'
# Headers that a request has once, beside the request id.
_SINGLE_FIELDS = frozenset((DEADLINE_HEADER, RELAYED_HEADER))
MAX_DEADLINE_DIGITS = 9
# Length of the body prefix that fingerprints cover; it is read before the
# request is sent to a target.
BODY_PREFIX_BYTES = 16 * 1024
# A request can be retried only if its body is not larger than this, because
# larger bodies are not kept.
MAX_REPLAY_BODY_BYTES = 64 * 1024


class RequestContext:
    """One request: its head, its deadline and its body.

    Each attempt starts `body` anew.
    `arrived_at` and `deadline` are in seconds of the event loop's clock.
    """

    __slots__ = (
        'arrivals',
        'arrived_at',
        'body',
        'caller',
        'deadline',
        'host',
        'method',
        'path',
        'body_prefix',
        'request',
        'request_id',
        'route',
        'is_relayed',
        'is_trial',
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
        http.check_single_fields(
            request.headers, request.fields, _SINGLE_FIELDS
        )
        self.host, self.path = http.find_host_and_path(request)
        self.route: wire.Route
        self.request_id: str | None = None
        self.traceparent: str | None = None
        self.body = http.CallerBody(caller, MAX_REPLAY_BODY_BYTES)
        self.body_prefix = b''
        # How often targets may have got the request.
        self.arrivals = 0
        # Whether another entry relays the request.
        self.is_relayed = RELAYED_HEADER in request.fields
        self.is_trial = False
        self._fingerprint: steering.Fingerprint | None = None

    def fingerprint(self) -> steering.Fingerprint:
        """Return digests that are the same when a request is repeated."""
        if self._fingerprint is None:
            self._fingerprint = steering.compute_fingerprint(
                self.method,
                self.host,
                self.path,
                http.identify_caller(self.request),
                self.body_prefix,
            )
        return self._fingerprint

    def content_fingerprint(self) -> str:
        """Return a fingerprint of the content, without the caller.

        It detects a request id that is used again for another request.
        """
        return steering.compute_fingerprint(
            self.method,
            self.host,
            f'{self.path} {self.request.length}',
            b'',
            self.body_prefix,
        ).full.hex()

    async def read_prefix(self) -> None:
        """Read the body prefix that fingerprints cover.

        Raises `http.CallerGoneError` and `errors.FulmarseamError` like
        `poll_body`, and `deadline_unreachable` at the deadline.
        """
        await self.body.read_ahead(BODY_PREFIX_BYTES, self.wait)
        self.body_prefix = self.body.join_kept()[:BODY_PREFIX_BYTES]

    async def wait(self) -> None:
        """Wait for the signal of a connection, a slot or a timer.

        Raises `http.CallerGoneError` when the caller has left, and
        `errors.FulmarseamError` with `deadline_unreachable` when the
        deadline has passed.
        """
        assert self.caller.signal is not None
        await self.caller.signal.wait()
        self.caller.require_present()
        if asyncio.get_running_loop().time() >= self.deadline:
            raise errors.FulmarseamError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                'the deadline passed before the request was sent',
            )


def read_deadline_ms(request: http.Request) -> int | None:
    """Return the remaining time that the caller sent, in milliseconds.

    Raises `errors.FulmarseamError` when the header is malformed.
    """
    value = request.fields.get(DEADLINE_HEADER)
    if value is None:
        return None
    if not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
        raise _make_malformed_error(
            f'Fulmarseam-Deadline-Ms: found {value!r}, expected a number of '
            'milliseconds'
        )
    return int(value)


def read_request_id(request: http.Request) -> str | None:
    """Return the Idempotency-Key of a request, or None.

    Raises `errors.FulmarseamError` for several keys, because the target
    could use another one than the entry.
    """
    value = request.fields.get(REQUEST_ID_HEADER)
    if value is None:
        return None
    if sum(name == REQUEST_ID_HEADER for name, _ in request.headers) > 1:
        raise _make_malformed_error(
            'Idempotency-Key: found several headers, expected one'
        )
    return value.decode('latin-1')


def _make_malformed_error(detail: str) -> errors.FulmarseamError:
    return errors.FulmarseamError(errors.ErrorKind.MALFORMED_REQUEST, detail)
