"""The client side of a connection to a target."""

import asyncio
from typing import Any
from typing import NamedTuple

import h11

from fulmarseam import errors
from fulmarseam import intake
from fulmarseam.http import _connection
from fulmarseam.http import _failures
from fulmarseam.http import _framing
from fulmarseam.http import _limits
from fulmarseam.http import _signal

Headers = list[tuple[bytes, bytes]]

MAX_RESPONSE_HEADER_BYTES = 64 * 1024


class Response(NamedTuple):
    """The head of a response; header names are in lower case.

    `fields` holds the last value of each header.
    """

    status: int
    reason: bytes
    headers: Headers
    fields: dict[bytes, bytes]


class TargetConnection(_connection.BufferedConnection):
    """Sends one request at a time to a target and reads its response.

    No call blocks; the owner of the signal waits between calls::

        connection.send_head(b'GET', b'/', headers)
        connection.end_request()
        while (response := connection.poll_response()) is None:
            await signal.wait()

    What it holds of an answer counts in `answer_budget`.
    """

    def __init__(
        self,
        signal: _signal.Signal | None,
        answer_budget: intake.AnswerBudget | None = None,
    ) -> None:
        super().__init__(signal)
        self._answer_budget = answer_budget or intake.AnswerBudget()
        # Bytes that are counted there, and the parts that are not buffered.
        self._held = 0
        self._kept_bytes = 0
        self._field_bytes = 0
        self._h11 = _make_parser()
        self._head = bytearray()
        self._head_done = False
        self._method = b''
        self._keep_alive = True
        self._interim_responses = 0
        # Remaining bytes of a body of known length, which bypasses h11;
        # None for a body whose framing h11 handles.
        self._request_bytes_left: int | None = 0
        self._response_bytes_left: int | None = 0
        self._output: list[bytes] = []
        self.progress = _failures.Progress.NOT_SENT
        self.request_done = False
        self.idle_since = 0.0
        # How long the connection was idle before the current request.
        self.idle_before_request_s = 0.0
        self.on_idle_event: Any = None

    def handle_idle_event(self) -> None:
        """Drop a pooled connection that closes or sends unexpected bytes."""
        if self.on_idle_event is not None:
            self.on_idle_event(self)

    # Memory

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the budget limit what the transport reads."""
        super().connection_made(transport)
        self._answer_budget.subscribe(self._limit_reading)
        self._limit_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the budget and record the end of the connection."""
        self._answer_budget.unsubscribe(self._limit_reading)
        super().connection_lost(exc)

    def _limit_reading(self) -> None:
        # One turn of the loop reads from all sockets that are ready, so the
        # limit has to hold before the next of them is read.
        self.set_read_limit(
            _limits.PRESSED_READ_BYTES
            if self._answer_budget.is_exceeded
            else _limits.BUFFER_BYTES
        )

    def data_received(self, data: bytes) -> None:
        """Buffer a piece and count it."""
        super().data_received(data)
        self._count_held()

    def take_piece(self) -> bytes | None:
        """Return the next received piece, which no longer counts."""
        piece = super().take_piece()
        if piece is not None:
            self._count_held()
        return piece

    def put_back(self, piece: bytes) -> None:
        """Put the unused rest of a piece at the front of the buffer."""
        super().put_back(piece)
        self._count_held()

    def keep(self, count: int) -> bool:
        """Count the bytes of the body that the owner keeps.

        Returns whether it may keep more.
        """
        self._kept_bytes = count
        self._count_held()
        return self._answer_budget.may_grow(self._held)

    def _count_held(self) -> None:
        held = (
            self._buffered
            + len(self._head)
            + self._kept_bytes
            + self._field_bytes
        )
        self._answer_budget.change(held - self._held)
        self._held = held

    def _drop_held(self) -> None:
        self._pieces.clear()
        self._buffered = 0
        self._head.clear()
        self._kept_bytes = self._field_bytes = 0
        self._count_held()

    def abort(self) -> None:
        """Close the connection immediately and drop what it holds."""
        super().abort()
        self._drop_held()

    # Request

    def send_head(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        headers_validated: bool = False,
    ) -> None:
        """Queue the head of a request.

        The body is framed by `content-length` or `transfer-encoding` in
        `headers`, or empty without either. With `headers_validated`, h11 has
        parsed the headers before and does not validate them again, which
        saves 12 us.
        """
        fields = dict(headers)
        self.progress = _failures.Progress.NOT_SENT
        self.request_done = False
        self._head_done = False
        self._method = method
        self._interim_responses = 0
        self._request_bytes_left = None
        if b'transfer-encoding' not in fields:
            self._request_bytes_left = _framing.find_length(fields) or 0
        event = h11.Request(
            method=method,
            target=target,
            headers=headers,
            _parsed=headers_validated,
        )
        self._output.append(self._h11.send(event))

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the body.

        Raises `ValueError` when the body exceeds its content length.
        """
        if self._request_bytes_left is None:
            self._output.append(self._h11.send(h11.Data(data=data)))
            return
        if len(data) > self._request_bytes_left:
            raise ValueError('the request body exceeds its content length')
        self._request_bytes_left -= len(data)
        self._output.append(data)

    def end_request(self) -> None:
        """Queue the end of the body and write all queued bytes.

        Raises `ValueError` when the body is shorter than its content length.
        """
        if self._request_bytes_left is None:
            self._output.append(self._h11.send(h11.EndOfMessage()))
        elif self._request_bytes_left:
            raise ValueError(
                'the request body is shorter than its content length'
            )
        self.request_done = True
        self.flush()

    def flush(self) -> None:
        """Write all queued bytes.

        Raises `TargetError` with NOT_SENT when the connection had ended
        before any byte of the request was written.
        """
        out = self._output
        self._output = []
        if self.ended or self.transport.is_closing():
            raise self._make_error(
                _failures.Reason.BROKEN, 'connection closed'
            )
        self.progress = _failures.Progress.MAY_HAVE_SENT
        self.transport.write(out[0] if len(out) == 1 else b''.join(out))

    # Response

    def poll_response(self) -> Response | None:
        """Return the head of the final response, or None until it arrives.

        Interim responses are dropped. Raises `TargetError` when the
        connection fails, the response is malformed, or more than
        `MAX_INTERIM_RESPONSES` precede it.
        """
        while True:
            if not self._head_done and not self._read_head():
                return None
            event = self._next_event()
            self._head_done = False
            if type(event) is h11.InformationalResponse:
                if event.status_code == 101:
                    raise self._make_error(
                        _failures.Reason.MALFORMED, 'unrequested upgrade'
                    )
                self._count_interim_response()
                continue
            if type(event) is not h11.Response:
                raise self._make_error(
                    _failures.Reason.MALFORMED, 'not a response'
                )
            return self._start_body(event)

    def _count_interim_response(self) -> None:
        self._interim_responses += 1
        if self._interim_responses > _limits.MAX_INTERIM_RESPONSES:
            raise self._make_error(
                _failures.Reason.MALFORMED,
                f'more than {_limits.MAX_INTERIM_RESPONSES} interim responses',
            )

    def _start_body(self, event: h11.Response) -> Response:
        if not event.http_version.startswith(b'1.'):
            raise self._make_error(_failures.Reason.MALFORMED, 'not HTTP/1.x')
        status = event.status_code
        if status > _framing.MAX_STATUS:
            raise self._make_error(
                _failures.Reason.MALFORMED,
                f'status: found {status}, expected at most '
                f'{_framing.MAX_STATUS}',
            )
        headers = [
            (name.lower(), value) for name, value in event.headers.raw_items()
        ]
        fields = dict(headers)
        is_http_1_1 = event.http_version >= b'1.1'
        self._keep_alive = is_http_1_1 and _framing.is_kept_alive(
            headers, fields
        )
        if self._method == b'HEAD' or status in (204, 304):
            self._response_bytes_left = 0
        else:
            self._response_bytes_left = _framing.find_length(fields)
            if self._response_bytes_left is None and (
                b'transfer-encoding' not in fields
            ):
                # The end of the connection delimits the body.
                self._keep_alive = False
        response = Response(status, bytes(event.reason), headers, fields)
        self.check_single(response, _framing.SINGLE_FIELDS)
        return response

    def _read_head(self) -> bool:
        """Pass a complete head to h11 after checks, or return False."""
        while (piece := self.take_piece()) is not None:
            start = max(0, len(self._head) - 3)
            self._head += piece
            end = self._head.find(_framing.HEAD_END, start)
            if end >= 0:
                self._pass_head_to_parser(end + len(_framing.HEAD_END))
                return True
            self._check_partial_head()
        if self.ended:
            raise self._make_error(
                _failures.Reason.BROKEN,
                'connection closed before the response',
            )
        return False

    def _check_partial_head(self) -> None:
        self._count_held()
        self._check_head_size(len(self._head))
        self._check_budget()
        self._check_framing(self._head, complete=False)

    def _check_head_size(self, size: int) -> None:
        if size > MAX_RESPONSE_HEADER_BYTES:
            raise self._make_error(
                _failures.Reason.MALFORMED,
                'the response headers are too large',
            )

    def _check_budget(self) -> None:
        """Refuse a large head while answers take too much memory."""
        if not self._answer_budget.may_grow(self._held):
            raise self._make_error(
                _failures.Reason.MALFORMED,
                f'response headers of {self._held} bytes are too large to '
                'be held now',
            )

    def _hold_fields(self, head: bytes) -> None:
        """Count the memory that the fields of a head take when parsed."""
        self._field_bytes = _limits.compute_field_bytes(
            _framing.count_fields(head, len(head))
        )
        self._count_held()
        if self._field_bytes:
            self._check_budget()

    def _pass_head_to_parser(self, length: int) -> None:
        head = bytes(self._head[:length])
        rest = bytes(self._head[length:])
        self._head.clear()
        if rest:
            self.put_back(rest)
        self._check_head_size(length)
        self._check_framing(head, complete=True)
        self._hold_fields(head)
        self._h11.receive_data(head)
        self._head_done = True

    def check_single(
        self, response: Response, names: frozenset[bytes]
    ) -> None:
        """Check that fields occur once in a response.

        Raises `TargetError` otherwise.
        """
        repeated = _framing.find_repeated(
            response.headers, response.fields, names
        )
        if repeated is not None:
            raise self._make_error(
                _failures.Reason.MALFORMED,
                f'several {repeated.decode()} headers',
            )

    def _check_framing(self, head: bytes | bytearray, complete: bool) -> None:
        try:
            _framing.check_lines(head)
            if complete:
                _framing.check_status_line(head)
                _framing.check_length_headers(head)
        except errors.FulmarseamError as error:
            raise self._make_error(
                _failures.Reason.MALFORMED, error.detail
            ) from error

    def _next_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            reason = _failures.Reason.MALFORMED
            if self.ended:
                reason = _failures.Reason.BROKEN
            raise self._make_error(reason, _framing.describe(error)) from error

    def poll_body(self) -> bytes | None:
        """Return the next piece of the body, or None when none has arrived.

        An empty piece is the end of the body. Raises `TargetError` when
        the body is truncated or malformed.
        """
        if self._response_bytes_left is not None:
            return self._poll_sized_body(self._response_bytes_left)
        return self._poll_unsized_body()

    def _poll_sized_body(self, left: int) -> bytes | None:
        if not left:
            self.progress = _failures.Progress.COMPLETE
            return b''
        piece = self.take_piece()
        if piece is None:
            if self.ended:
                raise self._make_error(
                    _failures.Reason.BROKEN,
                    f'{left} bytes of the body are missing',
                )
            return None
        if len(piece) > left:
            self.put_back(piece[left:])
            piece = piece[:left]
        self._response_bytes_left = left - len(piece)
        return piece

    def _poll_unsized_body(self) -> bytes | None:
        while self.may_parse_event():
            event = self._next_event()
            kind = type(event)
            if kind is h11.Data:
                return bytes(event.data)
            if kind is h11.EndOfMessage:
                self.progress = _failures.Progress.COMPLETE
                return b''
            piece = self.take_piece()
            if piece is not None:
                self._h11.receive_data(piece)
            elif self.was_reset:
                raise self._make_error(
                    _failures.Reason.BROKEN, 'connection reset within the body'
                )
            elif self.ended:
                # End a body that the end of the connection delimits.
                self._h11.receive_data(b'')
            else:
                return None
        return None

    def _make_error(
        self, reason: _failures.Reason, detail: str
    ) -> _failures.TargetError:
        return _failures.TargetError(reason, self.progress, detail)

    def expect_next_response(self) -> None:
        """Discard the response just read and wait for the next one.

        A target may send a response twice; the duplicate then arrives in
        place of the response to the next request. Raises `TargetError`
        when no other response can follow on this connection.
        """
        self.progress = _failures.Progress.MAY_HAVE_SENT
        if not self._keep_alive or not self.request_done:
            raise self._make_error(
                _failures.Reason.MALFORMED, 'response to another request'
            )
        left = bytes(self._h11.trailing_data[0])
        if left:
            self.put_back(left)
        self._head_done = False
        self._h11 = _make_parser()
        # The new parser needs the method; the request itself was already
        # sent, so these bytes are discarded.
        self._h11.send(
            h11.Request(
                method=self._method, target=b'/', headers=[(b'host', b'x')]
            )
        )
        self._h11.send(h11.EndOfMessage())

    # Reuse

    def is_reusable(self) -> bool:
        """Return whether another request may use this connection.

        The request must be fully sent and the response complete, without
        surplus bytes, and the target must keep the connection open.
        """
        if self.ended or self.transport.is_closing() or self._pieces:
            return False
        if self.progress is not _failures.Progress.COMPLETE:
            return False
        if not self.request_done or self.transport.get_write_buffer_size():
            return False
        return self._keep_alive and not self._h11.trailing_data[0]

    def park(self) -> None:
        """Reset the parser and mark the connection as idle."""
        self._h11 = _make_parser()
        self._drop_held()
        self.signal = None
        self.idle_since = asyncio.get_running_loop().time()


def _make_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
    )
