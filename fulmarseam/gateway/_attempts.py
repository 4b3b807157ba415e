"""One attempt to get a request answered by a target."""

import asyncio
from typing import NamedTuple

from fulmarseam import http
from fulmarseam import ids
from fulmarseam import notices
from fulmarseam import relay
from fulmarseam.gateway import _http_names
from fulmarseam.gateway import _organisations
from fulmarseam.gateway import _rate_limits
from fulmarseam.gateway import _requests

# Answers up to this size are buffered and passed on only when complete, so
# that the request can still be retried if the answer breaks off.
MAX_BUFFERED_ANSWER_BYTES = 256 * 1024
# A target that does not accept a connection within this time is ejected. The
# longest round trip is 40 ms.
CONNECT_TIMEOUT_S = 0.4
MISDIRECTED_STATUS = 421

_DROPPED_REQUEST_HEADERS = http.HOP_BY_HOP | {b'expect', b'keep-alive'}


class NotRunError(Exception):
    """A target declared that it did not run the request.

    `is_misdirected` is set if another target now has the address.
    """

    def __init__(self, detail: str, is_misdirected: bool = False) -> None:
        super().__init__(detail)
        self.is_misdirected = is_misdirected


class Answer(NamedTuple):
    """A target's answer; `body` is None if it must be streamed."""

    response: http.Response
    body: bytes | None


class Recipient(NamedTuple):
    """Where an attempt sends its request: a target, or a relay.

    `header` is the header that the request carries for the recipient only.
    `is_entry` tells a relay from a target.
    """

    name: ids.TargetId
    header: tuple[bytes, bytes]
    is_entry: bool = False


class Attempt:
    """Sends a request to one recipient and reads the answer.

    `first_byte_deadline` bounds the wait for the head of the answer, and the
    deadline of the request bounds the rest. Both are in seconds of the event
    loop's clock. `may_reuse` allows a connection that was kept, and
    `may_open` a new one.
    """

    def __init__(
        self,
        context: _requests.RequestContext,
        recipient: Recipient,
        pool: http.TargetPool,
        http_names: _http_names.HttpNames,
        first_byte_deadline: float,
        may_reuse: bool = True,
        may_open: bool = True,
    ) -> None:
        self._context = context
        self._recipient = recipient
        self._pool = pool
        self._http_names = http_names
        self._single_fields = http_names.list_single_fields()
        self._first_byte_deadline = first_byte_deadline
        self._may_reuse = may_reuse
        self._may_open = may_open
        self._loop = asyncio.get_running_loop()
        # Reads the rest of the body until all of it is sent.
        self._body: http.BodyReader | None = None
        self._is_reused = False
        self._connection: http.TargetConnection | None = None
        self._buffered = bytearray()
        self.progress = http.Progress.NOT_SENT
        self.load_report = b''
        # What the answer says about the requests that the target wants.
        self._notice: notices.Notice | None = None
        # Whether the target refused and told when it wants requests again.
        self.names_pause = False
        # What the answer says about the rate limit, once one has come.
        self._limit_reading: _rate_limits.LimitReading | None = None
        self.has_answered = False
        # Whether a new connection opened.
        self.has_opened = False
        # Whether a target may have got the request, if it goes to an entry.
        self.has_reached_target = True
        # Whether the target ran the request and did not fail it.
        self.is_served = False

    async def run(self) -> Answer:
        """Return the answer, with its whole body unless that is too large.

        Raises `http.TargetError`, `NotRunError`, `http.CallerGoneError` or
        `errors.FulmarseamError`. `progress` then tells whether the target
        may have got the request.
        """
        while True:
            connection = None
            if self._may_reuse_connection():
                connection = self._pool.take_idle(self._context.signal)
            self._is_reused = connection is not None
            if connection is None:
                connection = await self._open()
                self.has_opened = True
            self._connection = connection
            try:
                # The caller may have left while the connection opened.
                self._context.caller.require_present()
                return await self._run_on(connection)
            except http.TargetError as error:
                # Replace an idle connection that the target had closed
                # before any byte was written.
                is_unsent = error.progress is http.Progress.NOT_SENT
                if not self._is_reused or not is_unsent:
                    raise
                self.close()
            finally:
                self.progress = connection.progress

    def take_limit_reading(self) -> _rate_limits.LimitReading | None:
        """Return what the answer says about the rate limit, once."""
        reading = self._limit_reading
        self._limit_reading = None
        return reading

    def take_notice(self) -> notices.Notice | None:
        """Return what the answer says about the requests wanted, once."""
        notice = self._notice
        self._notice = None
        return notice

    def _may_reuse_connection(self) -> bool:
        """Return whether the request id tells the answer from late others.

        It does not without an id, and not after the target has answered the
        same request before: it may write that answer again.
        """
        context = self._context
        return (
            self._may_reuse
            and context.request_id is not None
            and self._recipient.name not in context.answered_by
        )

    @property
    def has_used_kept(self) -> bool:
        """Return whether the last connection was a kept one."""
        return self._is_reused

    @property
    def recipient_header(self) -> tuple[bytes, bytes]:
        """Return the header that the request carries for its recipient."""
        return self._recipient.header

    @property
    def pool(self) -> http.TargetPool:
        """Return the connections to the target."""
        return self._pool

    def lost_kept_connection(self) -> bool:
        """Return whether a kept connection broke before any answer."""
        return (
            self._connection is not None
            and self._is_reused
            and not self.has_answered
        )

    def record_lost_idle(self) -> bool:
        """Return whether the lost connection was a reused idle one.

        Such a loss does not mean that the target failed, only that it had
        dropped the connection.
        """
        connection = self._connection
        if connection is None or not self.lost_kept_connection():
            return False
        self._pool.lower_idle_timeout(connection.idle_before_request_s)
        return True

    def close(self) -> None:
        """Release the connection, which is closed unless it is reusable."""
        if self._connection is not None:
            self._pool.release(self._connection)
            self._connection = None

    async def _open(self) -> http.TargetConnection:
        remaining_s = self._context.deadline - self._loop.time()
        if remaining_s <= 0.0:
            raise self._make_timeout_error('the deadline passed')
        if not self._may_open:
            raise http.TargetError(
                http.Reason.NO_CONNECTION_LEFT,
                http.Progress.NOT_SENT,
                'no kept connection is left',
            )
        return await self._pool.open(
            self._context.signal, min(remaining_s, CONNECT_TIMEOUT_S)
        )

    async def _run_on(self, connection: http.TargetConnection) -> Answer:
        self._send(connection)
        response = await self._wait_for_response(connection)
        self.has_answered = True
        self._pool.apply_keep_alive(response)
        self.load_report = response.fields.get(self._http_names.load, b'')
        self._check_response(response)
        return Answer(response, await self._buffer_body(connection))

    # Sending the request

    def _send(self, connection: http.TargetConnection) -> None:
        context = self._context
        self._body = body = context.body.start()
        connection.send_head(
            context.request.method,
            context.request_path,
            self._make_headers(),
            headers_validated=True,
        )
        for chunk in body.kept:
            connection.send_data(chunk)
        if body.has_ended:
            connection.end_request()
            self._body = None
        else:
            connection.flush()

    def _make_headers(self) -> http.Headers:
        context = self._context
        http_names = self._http_names
        headers = http.drop_headers(
            context.request.headers,
            context.request.fields,
            _DROPPED_REQUEST_HEADERS
            | {
                http_names.deadline,
                http_names.expected_target,
                http_names.relayed,
            },
        )
        remaining_ms = int((context.deadline - self._loop.time()) * 1_000)
        headers.append((http_names.deadline, b'%d' % max(1, remaining_ms)))
        headers.append(self._recipient.header)
        if context.request.length is None:
            headers.append((b'transfer-encoding', b'chunked'))
        return _organisations.set_identity(
            headers, context, http_names, self._recipient.is_entry
        )

    def _upload(self, connection: http.TargetConnection) -> None:
        """Send what has arrived of the rest of the body, unbuffered."""
        caller = self._context.caller
        while self._body is not None and not connection.write_paused:
            chunk = self._body.poll()
            if chunk is None:
                caller.start_body_timeout()
                connection.flush()
                return
            if not chunk:
                connection.end_request()
                self._body = None
                caller.stop_body_timeout()
                return
            connection.send_data(chunk)

    # Reading the answer

    async def _wait_for_response(
        self, connection: http.TargetConnection
    ) -> http.Response:
        while True:
            response = connection.poll_response()
            if response is None:
                self._upload(connection)
                await self._wait_for_event(self._first_byte_deadline)
                continue
            connection.check_single(response, self._single_fields)
            if self._is_reused and self._answers_other_request(response):
                await self._skip_body(connection)
                connection.expect_next_response()
            else:
                return response

    def _answers_other_request(self, response: http.Response) -> bool:
        """Return whether an answer has the id of another request."""
        answer_id = response.fields.get(self._http_names.request_id)
        return answer_id is not None and answer_id != self._context.request_id

    async def _skip_body(self, connection: http.TargetConnection) -> None:
        """Discard the body of an answer to another request.

        Raises `http.TargetError` if it is too large to be worth reading.
        """
        skipped_bytes = 0
        while (chunk := connection.poll_body()) != b'':
            if chunk is None:
                await self._wait_for_event(self._first_byte_deadline)
                continue
            skipped_bytes += len(chunk)
            if skipped_bytes > MAX_BUFFERED_ANSWER_BYTES:
                raise http.TargetError(
                    http.Reason.MALFORMED,
                    http.Progress.MAY_HAVE_SENT,
                    f'an answer to another request has more than '
                    f'{MAX_BUFFERED_ANSWER_BYTES} bytes',
                )

    def _check_response(self, response: http.Response) -> None:
        """Check that a target ran this request.

        Raises `NotRunError` if the target declares that it did not, and
        `http.TargetError` for an answer to another request, which may
        arrive late on a reused connection. An answer without an id counts
        there only if the request had none either; elsewhere it may be a
        failure, which targets send before they have read the id.
        """
        http_names = self._http_names
        is_doubtful = http_names.request_id not in response.fields and (
            response.status < 300
            or (self._is_reused and self._context.request_id is not None)
        )
        if self._answers_other_request(response) or is_doubtful:
            raise http.TargetError(
                http.Reason.MALFORMED,
                http.Progress.MAY_HAVE_SENT,
                'the answer is to another request',
            )
        if response.status == MISDIRECTED_STATUS:
            raise NotRunError('another target has the address', True)
        self._context.answered_by.add(self._recipient.name)
        self._notice = notices.read_notice(response, http_names.leaving)
        self.names_pause = self._notice.pause_s > 0.0
        self._limit_reading = _rate_limits.read_limit(
            response, http_names.rate_limit
        )
        if http_names.not_run in response.fields:
            self.has_reached_target = relay.may_have_reached_target(
                response.fields.get(http_names.relayed)
            )
            raise NotRunError(f'the target answered {response.status}')
        self.is_served = response.status < 500

    async def _buffer_body(
        self, connection: http.TargetConnection
    ) -> bytes | None:
        """Return the whole body, or None if it must be streamed.

        That is a large one, or one for which there is no memory now.
        """
        while True:
            chunk: bytes | None = connection.poll_body()
            if chunk == b'':
                return bytes(self._buffered)
            if chunk is None:
                await self._wait_for_event(self._context.deadline)
                continue
            self._buffered += chunk
            size = len(self._buffered)
            if not connection.keep(size) or size > MAX_BUFFERED_ANSWER_BYTES:
                return None

    async def stream_body(self) -> None:
        """Stream a large answer to the caller, from its first byte.

        Raises `http.TargetError` if the answer breaks off. The caller's
        connection must then be closed, so that the body does not look
        complete.
        """
        connection = self._connection
        assert connection is not None
        caller = self._context.caller
        caller.send_data(bytes(self._buffered))
        self._buffered.clear()
        connection.keep(0)
        while True:
            chunk: bytes | None = None
            if not caller.write_paused:
                chunk = connection.poll_body()
            if chunk == b'':
                caller.end_response()
                return
            if chunk is not None:
                caller.send_data(chunk)
                continue
            caller.flush()
            await self._wait_for_event(self._context.deadline)

    async def _wait_for_event(self, deadline: float) -> None:
        """Wait for an event of the caller or the target.

        Raises `http.CallerGoneError` if the caller has left, and
        `http.TargetError` at the deadline.
        """
        timer = self._loop.call_at(deadline, self._context.signal.notify)
        try:
            await self._context.signal.wait()
        finally:
            timer.cancel()
        self._context.caller.require_present()
        if self._loop.time() >= deadline:
            raise self._make_timeout_error('no answer in time')

    def _make_timeout_error(self, detail: str) -> http.TargetError:
        progress = http.Progress.NOT_SENT
        if self._connection is not None:
            progress = self._connection.progress
        return http.TargetError(http.Reason.TIMED_OUT, progress, detail)
