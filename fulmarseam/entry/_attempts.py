"""One attempt to run a request on a target."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import secrets

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import notices
from fulmarseam import records
from fulmarseam import relay
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.entry import _answers
from fulmarseam.entry import _pacing
from fulmarseam.entry import _requests

NOT_RUN = errors.Outcome.NOT_RUN.value.encode()
ANSWERED = errors.Outcome.ANSWERED.value.encode()
TRACEPARENT_HEADER = b'traceparent'
# Names an attempt. Targets return it, so that a late or repeated response on a
# kept connection is not taken for the one that is due.
ATTEMPT_HEADER = b'fulmarseam-attempt'
ATTEMPT_ID_BYTES = 8
LEAVING_HEADER = b'fulmarseam-leaving'
SHED_STATUS = 503
# A target that has ended refuses a connection within a round trip of 40 ms.
PROBE_TIMEOUT_S = 0.2

# Headers that the entry sets or handles itself.
_DROPPED_IN_REQUEST = http.HOP_BY_HOP | {
    b'expect',
    ATTEMPT_HEADER,
    _requests.DEADLINE_HEADER,
    _requests.RELAYED_HEADER,
    TRACEPARENT_HEADER,
}
_OWN_RESPONSE_HEADERS = frozenset(
    (_answers.OUTCOME_HEADER, _answers.KIND_HEADER)
)
_DROPPED_IN_RESPONSE = (
    http.HOP_BY_HOP | _OWN_RESPONSE_HEADERS | {ATTEMPT_HEADER}
)
_DROPPED_WITHOUT_BODY = _DROPPED_IN_RESPONSE | {b'content-length'}

# Headers that a response has once.
_SINGLE_FIELDS = _OWN_RESPONSE_HEADERS | {ATTEMPT_HEADER, LEAVING_HEADER}

_NOT_SENT = http.Progress.NOT_SENT


class TargetShedError(Exception):
    """The target declared that it did not run the request.

    `has_reached_target` is unset if another entry declared it, before any
    target got the request.
    """

    def __init__(self, detail: str, has_reached_target: bool = True) -> None:
        super().__init__(detail)
        self.has_reached_target = has_reached_target


class Attempt:
    """Runs a request on one target and forwards the response to the caller.

    One task handles both directions: it forwards what is available and then
    waits for the signal that both connections share. `pacers` limit the
    request body and the response body, in this order; both are indexed by
    `direction`: 0 is towards the target, 1 towards the caller. `may_reuse`
    allows a connection that was kept. With `is_relay` the request goes to
    another entry, whose own responses are passed on as they are.
    """

    def __init__(
        self,
        context: _requests.RequestContext,
        choice: steering.Choice,
        connection_pool: http.TargetPool,
        pacers: tuple[_pacing.Pacer, _pacing.Pacer] | None,
        may_reuse: bool = True,
        is_relay: bool = False,
    ) -> None:
        self._context = context
        self._caller = context.caller
        self._choice = choice
        self._connection_pool = connection_pool
        self._pacers = pacers
        self._may_reuse = may_reuse
        self._is_relay = is_relay
        # Whether a new connection opened.
        self.has_opened = False
        # What the response says about the requests that the target wants,
        # once one has come.
        self.notice: notices.Notice | None = None
        self._loop = asyncio.get_running_loop()
        self._connection: http.TargetConnection | None = None
        self._attempt_id = secrets.token_hex(ATTEMPT_ID_BYTES).encode()
        self._is_reused = False
        # Reads the rest of the body until all of it is sent.
        self._body: http.BodyReader | None = None
        self.progress = http.Progress.NOT_SENT
        self.response_bytes = 0
        self.store_answer = False
        self.stored_answer: wire.StoredAnswer | None = None
        self._stored_body: list[bytes] = []

    async def run(self) -> int:
        """Run the request and return the status of the target's response.

        Raises `http.TargetError`, `TargetShedError`,
        `http.CallerGoneError`, or `errors.FulmarseamError` when the request
        body is refused. `progress` then tells how much of the request was
        sent.
        """
        signal = self._caller.signal
        assert signal is not None
        while True:
            connection = None
            if self._may_reuse:
                connection = self._connection_pool.take_idle(signal)
            self._is_reused = connection is not None
            if connection is None:
                connection = await self._open(signal)
                self.has_opened = True
            try:
                # The caller may have left while the connection opened.
                self._caller.require_present()
                return await self._run_on_connection(connection)
            except http.TargetError as error:
                # The target closed the reused idle connection before any
                # byte was written: retry on another connection.
                if not self._is_reused or error.progress is not _NOT_SENT:
                    raise
            finally:
                self.progress = connection.progress
                self._connection_pool.release(connection)
                self._caller.stop_body_timeout()

    def names_pause(self) -> bool:
        """Return whether the target told when it wants requests again."""
        return self.notice is not None and self.notice.pause_s > 0.0

    def get_listening_check(self) -> Callable[[], Awaitable[bool]] | None:
        """Return a check of the target if a kept connection broke.

        The target may have closed that one for reasons of its own.
        """
        if not self._is_reused or self._caller.response_started:
            return None
        return functools.partial(
            self._connection_pool.is_listening, PROBE_TIMEOUT_S
        )

    async def _open(self, signal: http.Signal) -> http.TargetConnection:
        remaining_s = self._context.deadline - self._loop.time()
        if remaining_s <= 0.0:
            raise self._make_timeout_error()
        return await self._connection_pool.open(signal, remaining_s)

    async def _run_on_connection(
        self, connection: http.TargetConnection
    ) -> int:
        self._connection = connection
        self._send_request(connection)
        response = await self._wait_for_response(connection)
        self._check_attempt(response)
        self.notice = notices.read_notice(response, LEAVING_HEADER)
        if is_shed(response):
            raise TargetShedError(
                f'{self._choice.target} shed the request',
                relay.may_have_reached_target(
                    response.fields.get(_requests.RELAYED_HEADER)
                ),
            )
        self._start_response(response)
        await self._forward_body(connection)
        if self.store_answer:
            self._set_stored_answer(response)
        return response.status

    # Request

    def _send_request(self, connection: http.TargetConnection) -> None:
        self._body = body = self._context.body.start()
        connection.send_head(
            self._context.request.method,
            self._context.path.encode('latin-1'),
            self._make_request_headers(),
            headers_validated=True,
        )
        for piece in body.kept:
            connection.send_data(piece)
            self._charge(0, len(piece))
        if body.has_ended:
            connection.end_request()
            self._body = None
        else:
            connection.flush()

    def _make_request_headers(self) -> http.Headers:
        context = self._context
        headers = http.drop_headers(
            context.request.headers,
            context.request.fields,
            _DROPPED_IN_REQUEST,
        )
        host = context.host.encode('latin-1')
        if context.request.fields.get(b'host') != host or not host:
            # The request target names the host, or an HTTP/1.0 request has
            # no Host header.
            host = host or self._choice.address.encode()
            headers = [item for item in headers if item[0] != b'host']
            headers.append((b'host', host))
        if context.request.length is None:
            headers.append((b'transfer-encoding', b'chunked'))
        remaining_ms = int((context.deadline - self._loop.time()) * 1_000)
        headers.append(
            (_requests.DEADLINE_HEADER, b'%d' % max(remaining_ms, 0))
        )
        headers.append((ATTEMPT_HEADER, self._attempt_id))
        if self._is_relay:
            headers.append((_requests.RELAYED_HEADER, b'1'))
        if context.traceparent is not None:
            headers.append((TRACEPARENT_HEADER, context.traceparent.encode()))
        return headers

    def _upload(self, connection: http.TargetConnection) -> None:
        """Forward what has been received of the request body."""
        while self._body is not None and not connection.write_paused:
            if not self._may_forward(0):
                return
            piece = self._body.poll()
            if piece is None:
                self._caller.start_body_timeout()
                return
            if not piece:
                connection.end_request()
                self._body = None
                self._caller.stop_body_timeout()
                return
            self._charge(0, len(piece))
            connection.send_data(piece)
            connection.flush()

    # Response

    async def _wait_for_response(
        self, connection: http.TargetConnection
    ) -> http.Response:
        while True:
            response = connection.poll_response()
            if response is not None:
                connection.check_single(response, _SINGLE_FIELDS)
                return response
            self._upload(connection)
            await self._wait()

    def _check_attempt(self, response: http.Response) -> None:
        """Check that a response is the one to this attempt.

        Raises `http.TargetError` otherwise, and for a refusal on a kept
        connection that does not tell which attempt it is for.
        """
        attempt_id = response.fields.get(ATTEMPT_HEADER)
        if attempt_id == self._attempt_id:
            return
        is_doubtful = self._is_reused and is_shed(response)
        if attempt_id is not None or is_doubtful:
            raise http.TargetError(
                http.Reason.MALFORMED,
                http.Progress.MAY_HAVE_SENT,
                'the response is to another attempt',
            )

    def _start_response(self, response: http.Response) -> None:
        dropped = _DROPPED_IN_RESPONSE
        if response.status == 204:
            dropped = _DROPPED_WITHOUT_BODY
        if self._is_relay:
            dropped = dropped - _OWN_RESPONSE_HEADERS
        headers = http.drop_headers(response.headers, response.fields, dropped)
        if not self._is_relay:
            headers.append((_answers.OUTCOME_HEADER, ANSWERED))
        self._caller.start_response(
            response.status, headers, response.reason, headers_validated=True
        )

    async def _forward_body(self, connection: http.TargetConnection) -> None:
        buffered_bytes = 0
        while True:
            piece = None
            if self._may_forward(1):
                piece = connection.poll_body()
            if piece:
                self._caller.send_data(piece)
                self._record_piece(piece)
                buffered_bytes += len(piece)
                if buffered_bytes < http.BUFFER_BYTES:
                    continue
            elif piece is not None:
                self._caller.end_response()
                return
            self._caller.flush()
            buffered_bytes = 0
            if piece is None or self._caller.write_paused:
                await self._wait_for_either(connection)

    def _record_piece(self, piece: bytes) -> None:
        self.response_bytes += len(piece)
        self._charge(1, len(piece))
        if self.store_answer and (
            self.response_bytes <= records.MAX_STORED_BODY_BYTES
        ):
            self._stored_body.append(piece)

    async def _wait_for_either(
        self, connection: http.TargetConnection
    ) -> None:
        """Wait for a signal, and until the caller accepts more data."""
        while True:
            self._upload_rest(connection)
            await self._wait()
            if not self._caller.write_paused:
                return

    def _upload_rest(self, connection: http.TargetConnection) -> None:
        """Continue the upload while the response is being forwarded.

        A target that responds early may refuse the rest of the body; its
        response is still valid.
        """
        try:
            self._upload(connection)
        except http.TargetError:
            self._body = None

    def _set_stored_answer(self, response: http.Response) -> None:
        fits_limit = self.response_bytes <= records.MAX_STORED_BODY_BYTES
        self.stored_answer = wire.StoredAnswer(
            response.status,
            http.drop_headers(
                response.headers, response.fields, _DROPPED_WITHOUT_BODY
            ),
            b''.join(self._stored_body) if fits_limit else None,
        )

    # Waiting

    async def _wait(self) -> None:
        assert self._caller.signal is not None
        await self._caller.signal.wait()
        self._caller.require_present()
        if self._loop.time() >= self._context.deadline:
            raise self._make_timeout_error()

    def _make_timeout_error(self) -> http.TargetError:
        progress = http.Progress.NOT_SENT
        if self._connection is not None:
            progress = self._connection.progress
        return http.TargetError(
            http.Reason.TIMED_OUT, progress, 'the deadline passed'
        )

    def _charge(self, direction: int, size: int) -> None:
        if self._pacers is not None:
            self._pacers[direction].charge(size)

    def _may_forward(self, direction: int) -> bool:
        return self._pacers is None or self._pacers[direction].is_ready()


def is_shed(response: http.Response) -> bool:
    """Return whether a target declares that it did not run the request."""
    if response.status != SHED_STATUS:
        return False
    return response.fields.get(_answers.OUTCOME_HEADER) == NOT_RUN
