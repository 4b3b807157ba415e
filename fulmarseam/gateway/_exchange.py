"""One attempt to have a request run by a target."""

import asyncio
from typing import NamedTuple

from fulmarseam import http
from fulmarseam import steering
from fulmarseam.gateway import _http_names
from fulmarseam.gateway import _requests

# Answers up to this size are passed on only when they are complete, so that
# a request whose answer breaks off can still be sent again.
HELD_ANSWER_BYTES = 256 * 1024
# A target that accepts no connection within this time is left alone. The
# longest way there and back is 40 ms.
CONNECT_TIMEOUT_S = 0.4
MISDIRECTED_STATUS = 421

_DROPPED_IN_REQUEST = http.HOP_BY_HOP | {b'expect', b'keep-alive'}


class NotRunError(Exception):
    """A target declared that it has not run the request.

    `is_misdirected` is set when another target has the address now.
    """

    def __init__(self, detail: str, is_misdirected: bool = False) -> None:
        super().__init__(detail)
        self.is_misdirected = is_misdirected


class Answer(NamedTuple):
    """A target's answer; `body` is None when it is passed on as it comes."""

    response: http.Response
    body: bytes | None


class Exchange:
    """Sends a request to one target and reads the answer.

    `first_byte_by` bounds the wait for the head of the answer, in seconds
    of the event loop's clock; the deadline of the job bounds the rest.
    """

    def __init__(
        self,
        job: _requests.Job,
        target: steering.ObservedTarget,
        pool: http.TargetPool,
        http_names: _http_names.HttpNames,
        first_byte_by: float,
    ) -> None:
        self._job = job
        self._target = target
        self._pool = pool
        self._http_names = http_names
        self._first_byte_by = first_byte_by
        self._loop = asyncio.get_running_loop()
        self._uploading = True
        self._reused = False
        self._connection: http.TargetConnection | None = None
        self._pieces: list[bytes] = []
        self.progress = http.Progress.NOT_SENT
        self.load_report = b''
        self.has_answered = False

    async def run(self) -> Answer:
        """Return the answer, held completely if it is not too large.

        Raises `http.TargetError`, `NotRunError`, `http.CallerGoneError` or
        `errors.FulmarseamError`; `progress` says how far the request got.
        """
        while True:
            connection = self._pool.take_idle(self._job.signal)
            self._reused = connection is not None
            if connection is None:
                connection = await self._open()
            self._connection = connection
            try:
                return await self._run_on(connection)
            except http.TargetError as error:
                # An idle connection that the target had closed before any
                # byte was written is replaced.
                is_unsent = error.progress is http.Progress.NOT_SENT
                if not self._reused or not is_unsent:
                    raise
                self.close()
            finally:
                self.progress = connection.progress

    def note_lost_idle(self) -> bool:
        """Return whether a connection was lost that had been idle.

        It says nothing of the target, only that it had forgotten the
        connection.
        """
        connection = self._connection
        if connection is None or not self._reused or self.has_answered:
            return False
        self._pool.note_lost_idle(connection.idle_s)
        return True

    def close(self) -> None:
        """Give the connection back; it is closed unless it is reusable."""
        if self._connection is not None:
            self._pool.release(self._connection)
            self._connection = None

    async def _open(self) -> http.TargetConnection:
        left_s = self._job.deadline - self._loop.time()
        if left_s <= 0.0:
            raise self._fail('the deadline passed')
        return await self._pool.open(
            self._job.signal, min(left_s, CONNECT_TIMEOUT_S)
        )

    async def _run_on(self, connection: http.TargetConnection) -> Answer:
        self._send(connection)
        response = await self._wait_for_head(connection)
        self.has_answered = True
        self._pool.note_keep_alive(response)
        self.load_report = response.fields.get(self._http_names.load, b'')
        self._check_head(response)
        return Answer(response, await self._hold_body(connection))

    # Request

    def _send(self, connection: http.TargetConnection) -> None:
        job = self._job
        connection.send_head(
            job.request.method,
            job.request_path,
            self._make_headers(),
            are_checked=True,
        )
        for piece in job.kept:
            connection.send_data(piece)
        if job.caller.body_done:
            connection.end_request()
            self._uploading = False
        else:
            connection.flush()

    def _make_headers(self) -> http.Headers:
        job = self._job
        http_names = self._http_names
        headers = http.drop_headers(
            job.request.headers,
            job.request.fields,
            _DROPPED_IN_REQUEST
            | {http_names.deadline, http_names.expected_target},
        )
        left_ms = int((job.deadline - self._loop.time()) * 1_000)
        headers.append((http_names.deadline, b'%d' % max(1, left_ms)))
        headers.append(
            (http_names.expected_target, self._target.target.encode('latin-1'))
        )
        if job.request.length is None:
            headers.append((b'transfer-encoding', b'chunked'))
        return headers

    def _upload(self, connection: http.TargetConnection) -> None:
        """Pass on what has arrived of a body that is not held."""
        caller = self._job.caller
        while self._uploading and not connection.write_paused:
            piece = caller.poll_body()
            if piece is None:
                caller.start_body_timeout()
                connection.flush()
                return
            if not piece:
                connection.end_request()
                self._uploading = False
                caller.stop_body_timeout()
                return
            self._job.is_replayable = False
            connection.send_data(piece)

    # Answer

    async def _wait_for_head(
        self, connection: http.TargetConnection
    ) -> http.Response:
        while True:
            response = connection.poll_response()
            if response is None:
                self._upload(connection)
                await self._wait(self._first_byte_by)
            elif self._reused and self._is_stray(response):
                await self._skip_body(connection)
                connection.expect_another()
            else:
                return response

    def _is_stray(self, response: http.Response) -> bool:
        """Return whether an answer names another request than this."""
        answered_id = response.fields.get(self._http_names.request_id)
        return answered_id is not None and answered_id != self._job.request_id

    async def _skip_body(self, connection: http.TargetConnection) -> None:
        while (piece := connection.poll_body()) != b'':
            if piece is None:
                await self._wait(self._first_byte_by)

    def _check_head(self, response: http.Response) -> None:
        """Refuse answers that are not to this request.

        Raises `NotRunError` for a target's word that it ran nothing, and
        `http.TargetError` for an answer to another request, which may
        arrive late on a connection that is used again.
        """
        http_names = self._http_names
        is_anonymous = http_names.request_id not in response.fields
        if self._is_stray(response) or (
            is_anonymous and response.status < 300
        ):
            raise http.TargetError(
                http.Reason.MALFORMED,
                http.Progress.MAY_HAVE_SENT,
                'the answer is to another request',
            )
        if response.status == MISDIRECTED_STATUS:
            raise NotRunError('another target has the address', True)
        if http_names.not_run in response.fields:
            raise NotRunError(f'the target answered {response.status}')

    async def _hold_body(
        self, connection: http.TargetConnection
    ) -> bytes | None:
        """Return the whole body, or None when it is too large to hold."""
        held = 0
        while True:
            piece: bytes | None = connection.poll_body()
            if piece == b'':
                return b''.join(self._pieces)
            if piece is None:
                await self._wait(self._job.deadline)
                continue
            self._pieces.append(piece)
            held += len(piece)
            if held > HELD_ANSWER_BYTES:
                return None

    async def pass_body(self) -> None:
        """Pass on an answer that is not held, from its first byte.

        Raises `http.TargetError` when it breaks off; the caller's
        connection must then be closed before the body looks complete.
        """
        connection = self._connection
        assert connection is not None
        caller = self._job.caller
        for held in self._pieces:
            caller.send_data(held)
        self._pieces = []
        while True:
            piece: bytes | None = None
            if not caller.write_paused:
                piece = connection.poll_body()
            if piece == b'':
                caller.end_response()
                return
            if piece is not None:
                caller.send_data(piece)
                continue
            caller.flush()
            await self._wait(self._job.deadline)

    async def _wait(self, until: float) -> None:
        """Wait for news of either side, at most to a time.

        Raises `http.CallerGoneError`, or `http.TargetError` when the time
        has come.
        """
        timer = self._loop.call_at(until, self._job.signal.notify)
        try:
            await self._job.signal.wait()
        finally:
            timer.cancel()
        if self._job.caller.gone:
            raise http.CallerGoneError('the caller has left')
        if self._loop.time() >= until:
            raise self._fail('no answer in time')

    def _fail(self, detail: str) -> http.TargetError:
        progress = http.Progress.NOT_SENT
        if self._connection is not None:
            progress = self._connection.progress
        return http.TargetError(http.Reason.TIMED_OUT, progress, detail)
