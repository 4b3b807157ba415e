"""The state of a caller's request in a gateway."""

import hashlib

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.gateway import _http_names

# A body up to this size is buffered before the request is sent, so that the
# request can be retried.
MAX_BUFFERED_BODY_BYTES = 256 * 1024
MAX_DEADLINE_DIGITS = 9
MAX_ATTEMPTS_DIGITS = 3
MAX_AFFINITY_KEY_BYTES = 128
AFFINITY_DIGEST_BYTES = 16


class RequestContext:
    """One request: its route, its deadline and its body.

    `deadline` is in seconds of the event loop's clock. `request_path` is
    sent to targets byte for byte as the caller sent it. Each attempt starts
    `body` anew.
    """

    __slots__ = (
        'answered_by',
        'arrivals',
        'arrived_at',
        'attempted',
        'body',
        'caller',
        'deadline',
        'hides_credentials',
        'host',
        'is_relayed',
        'is_trial',
        'matched_route',
        'max_attempts',
        'organisation',
        'path',
        'request',
        'request_id',
        'request_path',
        'route',
        '_fingerprint',
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
        http.check_single_fields(
            request.headers, request.fields, http_names.list_single_fields()
        )
        self.host, self.path = http.find_host_and_path(request)
        self.request_path = self.path.encode('latin-1')
        self.request_id = request.fields.get(http_names.request_id)
        self.route: wire.RouteItem
        # The route as it is for any organisation.
        self.matched_route: wire.RouteItem
        self.organisation: wire.OrganisationItem | None = None
        # Whether targets must not see the credentials of the caller.
        self.hides_credentials = False
        # Targets that may have run the request; a route bounds their number.
        self.attempted: set[ids.TargetId] = set()
        # How often targets may have got it, if only to refuse it.
        self.arrivals = 0
        # Targets that have answered it, if only to refuse it.
        self.answered_by: set[ids.TargetId] = set()
        self.body = http.CallerBody(caller, MAX_BUFFERED_BODY_BYTES)
        # Whether another entry relays the request.
        self.is_relayed = http_names.relayed in request.fields
        # How many targets may run it.
        self.max_attempts = 1
        # Whether the current attempt is a trial of a suspected request.
        self.is_trial = False
        self._fingerprint: steering.Fingerprint | None = None

    @property
    def signal(self) -> http.Signal:
        """Return the signal that events of caller and target set."""
        assert self.caller.signal is not None
        return self.caller.signal

    def fingerprint(self) -> steering.Fingerprint:
        """Return digests that are the same when the request is repeated.

        They cover the body as far as that is buffered.
        """
        if self._fingerprint is None:
            self._fingerprint = steering.compute_fingerprint(
                self.request.method.decode('ascii'),
                self.host,
                self.path,
                http.identify_caller(self.request),
                self.body.join_kept(),
            )
        return self._fingerprint

    async def buffer_body(self) -> None:
        """Buffer the body, or the first part of a large one.

        Raises `http.CallerGoneError` if the caller has left, and the errors
        of `http.CallerConnection.poll_body`.
        """
        await self.body.read_ahead(MAX_BUFFERED_BODY_BYTES, self._wait)

    async def _wait(self) -> None:
        await self.signal.wait()
        self.caller.require_present()


def read_deadline_ms(
    request: http.Request, http_names: _http_names.HttpNames
) -> int | None:
    """Return the milliseconds that the caller waits, or None if not stated.

    Raises `errors.FulmarseamError` if the header is malformed.
    """
    return _read_number(
        request, http_names.deadline, MAX_DEADLINE_DIGITS, 'milliseconds'
    )


def read_attempts_left(
    request: http.Request, http_names: _http_names.HttpNames
) -> int | None:
    """Return how many targets may run a relayed request, if it is one.

    Raises `errors.FulmarseamError` if the header is malformed.
    """
    return _read_number(
        request, http_names.relayed, MAX_ATTEMPTS_DIGITS, 'attempts'
    )


def _read_number(
    request: http.Request, header: bytes, max_digits: int, unit: str
) -> int | None:
    value = request.fields.get(header)
    if value is None:
        return None
    if not value.isdigit() or len(value) > max_digits:
        raise errors.FulmarseamError(
            errors.ErrorKind.MALFORMED_REQUEST,
            f'{header.decode()}: found {value!r}, expected {unit}',
        )
    return int(value)


def read_affinity(
    request: http.Request, http_names: _http_names.HttpNames
) -> str | None:
    """Return the affinity key, which names the object of a request, if any.

    A long key is replaced by its digest, as thousands of keys are kept.
    """
    cookie_header = request.fields.get(b'cookie')
    if cookie_header is None:
        return None
    for cookie in cookie_header.split(b';'):
        name, _, value = cookie.strip().partition(b'=')
        if name.lower() == http_names.affinity:
            if len(value) > MAX_AFFINITY_KEY_BYTES:
                return hashlib.blake2b(
                    value, digest_size=AFFINITY_DIGEST_BYTES
                ).hexdigest()
            return value.decode('latin-1')
    return None
