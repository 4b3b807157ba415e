"""Error responses that an entry generates itself."""

import json
import math

from fulmarseam import errors
from fulmarseam import http
from fulmarseam.entry import _requests

OUTCOME_HEADER = b'fulmarseam-outcome'
KIND_HEADER = b'fulmarseam-kind'
RETIRED_MAX_AGE_S = 86_400

# Milliseconds that a caller should wait before a retry.
RETRY_AFTER_MS = {
    errors.ErrorKind.CONFIG_STALE: 500,
    errors.ErrorKind.ENTRY_DRAINING: 0,
    errors.ErrorKind.NO_CAPACITY: 250,
    errors.ErrorKind.QUEUE_FULL: 250,
    errors.ErrorKind.NO_TARGET: 250,
    errors.ErrorKind.TARGET_SHED: 250,
    errors.ErrorKind.UNAVAILABLE: 250,
    errors.ErrorKind.RECORD_UNAVAILABLE: 250,
    errors.ErrorKind.REQUEST_IN_PROGRESS: 250,
}


class AllowError(errors.FulmarseamError):
    """A route matches the path but not the method; `methods` are allowed."""

    def __init__(self, methods: tuple[str, ...]) -> None:
        super().__init__(
            errors.ErrorKind.METHOD_NOT_ALLOWED,
            'allowed methods: ' + ', '.join(methods),
        )
        self.methods = methods


def make_error_response(error: errors.FulmarseamError) -> http.LocalResponse:
    """Return the response for an error."""
    answer = error.answer
    retry_after_ms = None
    if answer.retry is not errors.Retry.NEVER:
        retry_after_ms = RETRY_AFTER_MS.get(error.kind, 1_000)
        if error.retry_after_s is not None:
            retry_after_ms = math.ceil(error.retry_after_s * 1_000)
    body = json.dumps(
        {
            'kind': error.kind.value,
            'outcome': answer.outcome.value,
            'detail': error.detail,
            'retry_after_ms': retry_after_ms,
        }
    )
    headers = [
        (b'content-type', b'application/json'),
        (OUTCOME_HEADER, answer.outcome.value.encode()),
        (KIND_HEADER, error.kind.value.encode()),
    ]
    headers.extend(_make_extra_headers(error))
    return http.LocalResponse(answer.status, headers, body.encode() + b'\n')


def _make_extra_headers(error: errors.FulmarseamError) -> http.Headers:
    if error.arrivals is not None:
        return [(_requests.RELAYED_HEADER, b'%d' % error.arrivals)]
    if error.kind is errors.ErrorKind.ROUTE_RETIRED:
        max_age = b'max-age=%d' % RETIRED_MAX_AGE_S
        return [(b'cache-control', max_age)]
    if isinstance(error, AllowError):
        return [(b'allow', ', '.join(error.methods).encode())]
    return []
