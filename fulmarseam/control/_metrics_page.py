"""The metrics page of a control member."""

import json

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import telemetry

METRICS_PATH = b'/metrics'
_TEXT = [(b'content-type', b'text/plain; charset=utf-8')]
_JSON = [(b'content-type', b'application/json')]


class MetricsPage:
    """Serves the metrics on the `api` address of the member."""

    def __init__(self, metrics: telemetry.Metrics) -> None:
        self._metrics = metrics

    async def handle(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        """Answer one request.

        Raises `errors.FulmarseamError` for other paths and methods.
        """
        path = request.target.partition(b'?')[0]
        if path != METRICS_PATH:
            raise errors.FulmarseamError(
                errors.ErrorKind.NOT_FOUND, path.decode('latin-1')
            )
        if request.method not in (b'GET', b'HEAD'):
            raise errors.FulmarseamError(
                errors.ErrorKind.METHOD_NOT_ALLOWED, 'expected GET'
            )
        caller.send_response(200, _TEXT, self._metrics.render().encode())


def make_answer(error: errors.FulmarseamError) -> http.LocalResponse:
    """Return the HTTP answer for an error."""
    body = json.dumps({'kind': error.kind.value, 'detail': error.detail})
    return http.LocalResponse(
        error.answer.status, _JSON, body.encode() + b'\n'
    )
