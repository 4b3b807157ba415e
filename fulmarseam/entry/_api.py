"""The entry's API listener: lookups, announcements, metrics, status."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import ipaddress
from typing import Any
import urllib.parse

import msgspec

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.entry import _announcements
from fulmarseam.entry import _lookups

MAX_BODY_BYTES = 64 * 1024
JSON_HEADERS = [(b'content-type', b'application/json')]
TEXT_HEADERS = [(b'content-type', b'text/plain; charset=utf-8')]

_Handler = Callable[
    [http.Request, http.CallerConnection], Awaitable[http.LocalResponse]
]
_report_decoder = msgspec.json.Decoder(wire.TargetReport)


class Api:
    """Handles the requests of the API listener.

    `announce` is called with each valid announcement and returns an event
    that is set once the leader has acknowledged it. `make_status` returns
    the content of the status page.
    """

    def __init__(
        self,
        lookups: _lookups.Lookups,
        metrics: telemetry.Metrics,
        announce: Callable[[wire.TargetReport], asyncio.Event],
        make_status: Callable[[], dict[str, Any]],
    ) -> None:
        self._lookups = lookups
        self._metrics = metrics
        self._announce = announce
        self._make_status = make_status
        self._handlers: dict[tuple[bytes, bytes], _Handler] = {
            (b'GET', b'/v1/lookup'): self._look_up,
            (b'GET', b'/v1/status'): self._show_status,
            (b'GET', b'/metrics'): self._show_metrics,
            (b'POST', b'/v1/announce'): self._accept_announcement,
        }

    async def handle(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        """Handle one request."""
        path = request.target.partition(b'?')[0]
        method = b'GET' if request.method == b'HEAD' else request.method
        handler = self._handlers.get((method, path))
        if handler is None:
            raise self._make_path_error(path)
        caller.send_response(*await handler(request, caller))

    def _make_path_error(self, path: bytes) -> errors.FulmarseamError:
        kind = errors.ErrorKind.NOT_FOUND
        if any(path == known_path for _, known_path in self._handlers):
            kind = errors.ErrorKind.METHOD_NOT_ALLOWED
        return errors.FulmarseamError(kind, path.decode('latin-1'))

    async def _look_up(
        self, request: http.Request, caller: http.CallerConnection
    ) -> http.LocalResponse:
        query = request.target.partition(b'?')[2].decode('latin-1')
        fields = dict(urllib.parse.parse_qsl(query)) if query else {}
        address = fields.get('address') or caller.remote_address
        etag = request.fields.get(b'if-none-match')
        return self._lookups.answer(fields.get('region'), address, etag)

    async def _show_status(
        self, request: http.Request, caller: http.CallerConnection
    ) -> http.LocalResponse:
        body = msgspec.json.encode(self._make_status())
        return http.LocalResponse(200, JSON_HEADERS, body + b'\n')

    async def _show_metrics(
        self, request: http.Request, caller: http.CallerConnection
    ) -> http.LocalResponse:
        body = self._metrics.render().encode()
        return http.LocalResponse(200, TEXT_HEADERS, body)

    async def _accept_announcement(
        self, request: http.Request, caller: http.CallerConnection
    ) -> http.LocalResponse:
        body = await http.read_body(caller, MAX_BODY_BYTES)
        try:
            report = _report_decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise errors.FulmarseamError(
                errors.ErrorKind.MALFORMED_MESSAGE, str(error)
            ) from error
        validate_report(report)
        event = self._announce(report)
        await _announcements.wait_until_acknowledged(event)
        return http.LocalResponse(200, JSON_HEADERS, b'{}\n')


def validate_report(report: wire.TargetReport) -> None:
    """Check the values of an announcement.

    Raises `errors.FulmarseamError` that lists all invalid values.
    """
    problems = []
    for name in ('target', 'pool', 'region', 'failure_domain'):
        if not getattr(report, name):
            problems.append(f'{name}: found nothing, expected a name')
    for name in ('slots', 'connections'):
        value = getattr(report, name)
        if not 1 <= value <= 1_000_000:
            problems.append(f'{name}: found {value}, expected 1 to 1000000')
    if not is_address(report.address):
        problems.append(f'address: found {report.address!r}, expected IP:PORT')
    if problems:
        raise errors.FulmarseamError(
            errors.ErrorKind.MALFORMED_MESSAGE, '; '.join(problems)
        )


def is_address(text: str) -> bool:
    """Return whether a text is an IP address with a port, as IP:PORT."""
    try:
        host, port = http.split_address(text)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 1 <= port <= 65_535
