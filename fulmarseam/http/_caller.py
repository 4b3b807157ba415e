"""The server side of a caller's connection."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import enum
import http
import math
from typing import Any
from typing import NamedTuple

import h11

from fulmarseam import errors
from fulmarseam import intake
from fulmarseam.http import _accounted
from fulmarseam.http import _failures
from fulmarseam.http import _framing
from fulmarseam.http import _limits
from fulmarseam.http import _signal

Headers = list[tuple[bytes, bytes]]

NEVER = math.inf
REASON_PHRASES = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


class _Timer(enum.Enum):
    """The time-out that runs on a connection."""

    NONE = 'none'
    HEAD = 'head'
    IDLE = 'idle'
    LINGER = 'linger'


class Request(NamedTuple):
    """The head of a request; header names are in lower case.

    `length` is the declared length of the body, or None when the body is
    chunked. `fields` holds the last value of each header.
    """

    method: bytes
    target: bytes
    headers: Headers
    length: int | None
    fields: dict[bytes, bytes]


class CallerConnection(_accounted.AccountedConnection):
    """Reads requests from a caller and writes the responses.

    `get_limits` returns the limits in force. The sizes are those at the end
    of the head of a request; the time-outs change at any time.

    Only one task at a time may use a connection, and checks `gone` after
    each wait. A caller that closes its sending side counts as gone, because
    a closed connection cannot be told from a half-closed one until the
    response is written.
    """

    def __init__(self, get_limits: Callable[[], _limits.Limits]) -> None:
        super().__init__(_signal.Signal())
        self._get_limits = get_limits
        # The limits of the current request.
        self._limits = get_limits()
        self._clock = asyncio.get_running_loop().time
        self._h11 = self._make_parser()
        self._head = bytearray()
        self._last_piece = b''
        self._previous_tail = b''
        self._method = b''
        self._keep_alive = True
        # Remaining bytes of a body of known length, which bypasses h11;
        # None for a body whose framing h11 handles.
        self._request_bytes_left: int | None = 0
        self._response_bytes_left: int | None = 0
        self._request_bytes = 0
        self._output: list[bytes] = []
        self._idle = True
        self.body_done = True
        self.response_started = False
        self.response_done = False
        self.closing = False
        self.expired = False
        self._timer = _Timer.HEAD
        self._timer_started_at = self._clock()
        self.on_connection_made: Callable[[CallerConnection], None] | None = (
            None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start serving the connection."""
        super().connection_made(transport)
        if self.on_connection_made is not None:
            self.on_connection_made(self)

    def _make_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=max(
                self._limits.max_header_bytes, _limits.MAX_CHUNK_LINE_BYTES
            ),
        )

    @property
    def gone(self) -> bool:
        """Return whether the caller has closed its side or is disconnected."""
        return self.ended

    def require_present(self) -> None:
        """Raise `CallerGoneError` if the caller has left."""
        if self.gone:
            raise _failures.CallerGoneError('the caller has left')

    @property
    def remote_address(self) -> str:
        """Return the IP address of the caller."""
        name = self.transport.get_extra_info('peername')
        return str(name[0]) if name else ''

    @property
    def expires_at(self) -> float:
        """Return when the time-out passes that runs now."""
        limits = self._get_limits()
        match self._timer:
            case _Timer.HEAD:
                return self._timer_started_at + limits.header_timeout_s
            case _Timer.IDLE:
                return self._timer_started_at + limits.idle_timeout_s
            case _Timer.LINGER:
                return self._timer_started_at
        return NEVER

    def _start_timer(self, timer: '_Timer') -> None:
        self._timer = timer
        self._timer_started_at = self._clock()

    def start_idle_timeout(self) -> None:
        """Restart the time-out of an idle connection."""
        self._start_timer(_Timer.IDLE)

    def stop_timeout(self) -> None:
        """Stop the time-out that runs now."""
        self._timer = _Timer.NONE

    def expire_at(self, time: float) -> None:
        """Let a time-out pass at a time that no limit sets."""
        self._timer = _Timer.LINGER
        self._timer_started_at = time

    def expire(self) -> None:
        """Mark the time-out as passed and wake the task."""
        self.expired = True
        self._timer = _Timer.NONE
        self._notify()

    # Requests

    async def read_request(self) -> Request | None:
        """Return the next request, or None when the connection is to close.

        Raises `errors.FulmarseamError` when the request is malformed, too
        large or late.
        """
        assert self.signal is not None
        while True:
            length = self._find_head()
            if length:
                count = _framing.count_fields(self._head, length)
                if count > _limits.FIELDS_PER_TURN:
                    await self._wait_to_parse()
                    self.check_given_up()
                return self._parse_head(length, count)
            if self.ended:
                return None
            self.check_given_up()
            if self.expired:
                if not self._head:
                    return None
                raise errors.FulmarseamError(
                    errors.ErrorKind.REQUEST_TIMEOUT,
                    'the request headers did not arrive in time',
                )
            await self.signal.wait()

    async def _wait_to_parse(self) -> None:
        """Wait for a turn, as long heads take milliseconds to parse."""
        if self.caller_intake is not None:
            await self.caller_intake.turns.wait()

    def _find_head(self) -> int:
        """Collect a head; return its length, or 0 while it is incomplete."""
        while (piece := self.take_piece()) is not None:
            if not self._head:
                # One empty line before a request is allowed.
                piece = piece.removeprefix(b'\r\n')
                self._start_timer(_Timer.HEAD)
            start = max(0, len(self._head) - 3)
            self._head += piece
            self._refresh_limits()
            end = self._head.find(_framing.HEAD_END, start)
            if end >= 0:
                return end + len(_framing.HEAD_END)
            self._check_partial_head()
        return 0

    def _refresh_limits(self) -> None:
        """Apply the limits in force, while the parser has no bytes yet."""
        limits = self._get_limits()
        if limits is not self._limits:
            self._limits = limits
            self._h11 = self._make_parser()

    def _check_partial_head(self) -> None:
        _framing.check_lines(self._head)
        if len(self._head) > self._limits.max_header_bytes:
            raise self._make_header_size_error()

    def _make_header_size_error(self) -> errors.FulmarseamError:
        return errors.FulmarseamError(
            errors.ErrorKind.HEADERS_TOO_LARGE,
            f'the headers exceed {self._limits.max_header_bytes} bytes',
        )

    def _parse_head(self, length: int, field_count: int) -> Request:
        head = bytes(self._head[:length])
        rest = bytes(self._head[length:])
        self._head.clear()
        if rest:
            self.put_back(rest)
        if length > self._limits.max_header_bytes:
            raise self._make_header_size_error()
        _framing.check_lines(head)
        if field_count > self._limits.max_header_fields:
            raise errors.FulmarseamError(
                errors.ErrorKind.HEADERS_TOO_LARGE,
                f'found more than {self._limits.max_header_fields} headers',
            )
        _framing.check_length_headers(head)
        self.hold_fields(field_count)
        self._h11.receive_data(head)
        event = self._next_event()
        if type(event) is not h11.Request:
            raise _framing.make_malformed_error('the message is not a request')
        if event.method == b'CONNECT':
            raise errors.FulmarseamError(
                errors.ErrorKind.METHOD_NOT_ALLOWED, 'CONNECT is not supported'
            )
        return self._start_request(event)

    def _start_request(self, event: h11.Request) -> Request:
        _framing.check_version(event.http_version)
        headers = [
            (name.lower(), value) for name, value in event.headers.raw_items()
        ]
        fields = dict(headers)
        _framing.check_single_fields(headers, fields)
        length = _framing.find_length(fields) or 0
        is_chunked = b'transfer-encoding' in fields
        is_http_1_1 = event.http_version >= b'1.1'
        if is_chunked and not is_http_1_1:
            raise _framing.make_malformed_error(
                'Transfer-Encoding in an HTTP/1.0 request'
            )
        if length > self._limits.max_body_bytes:
            raise self._make_body_size_error()
        self._keep_alive = is_http_1_1 and _framing.is_kept_alive(
            headers, fields
        )
        self._request_bytes_left = None if is_chunked else length
        self._request_bytes = 0
        self._last_piece = self._previous_tail = b''
        self._method = event.method
        self.body_done = self._request_bytes_left == 0
        self.response_started = False
        self.response_done = False
        self.expired = False
        self._idle = False
        self._timer = _Timer.NONE
        return Request(
            event.method,
            event.target,
            headers,
            self._request_bytes_left,
            fields,
        )

    def _make_body_size_error(self) -> errors.FulmarseamError:
        return errors.FulmarseamError(
            errors.ErrorKind.BODY_TOO_LARGE,
            f'the request body exceeds {self._limits.max_body_bytes} bytes',
        )

    def _next_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise _framing.make_malformed_error(
                _framing.describe(error)
            ) from error

    def poll_body(self) -> bytes | None:
        """Return the next piece of the body, or None when none has arrived.

        An empty piece is the end of the body. The first call answers
        `Expect: 100-continue`. Raises `CallerGoneError` when the caller
        disconnects, and `errors.FulmarseamError` when the body is too large,
        malformed or late.
        """
        if self.body_done:
            return b''
        self.check_given_up()
        if self._h11.they_are_waiting_for_100_continue:
            self._send_continue()
        if self._request_bytes_left is not None:
            return self._poll_sized_body(self._request_bytes_left)
        return self._poll_chunked_body()

    def _poll_sized_body(self, left: int) -> bytes | None:
        piece = self.take_piece()
        if piece is None:
            self._check_missing_body()
            return None
        if len(piece) > left:
            self.put_back(piece[left:])
            piece = piece[:left]
        self._request_bytes_left = left - len(piece)
        self.body_done = self._request_bytes_left == 0
        return piece

    def _poll_chunked_body(self) -> bytes | None:
        # Small chunks are joined, as each piece costs more than its bytes.
        joined = bytearray()
        while self.may_parse_event():
            event = self._next_event()
            kind = type(event)
            if kind is h11.Data:
                joined += self._count_chunk(event.data)
                if len(joined) >= _limits.RESUME_BYTES:
                    return bytes(joined)
                continue
            if kind is h11.EndOfMessage:
                self._check_body_end()
                self.body_done = True
                return bytes(joined)
            piece = self.take_piece()
            if piece is None:
                if joined:
                    break
                self._check_missing_body()
                return None
            self._previous_tail = (
                self._previous_tail + self._last_piece[-4:]
            )[-4:]
            self._last_piece = piece
            self._h11.receive_data(piece)
        return bytes(joined) or None

    def _send_continue(self) -> None:
        event = h11.InformationalResponse(
            status_code=100, headers=[], reason=b'Continue'
        )
        data = self._h11.send(event)
        if data:
            self.transport.write(data)

    def _count_chunk(self, data: bytes) -> bytes:
        self._request_bytes += len(data)
        if self._request_bytes > self._limits.max_body_bytes:
            raise self._make_body_size_error()
        return data

    def _check_body_end(self) -> None:
        """Refuse a chunked body that does not end with two CRLF pairs."""
        left = len(self._h11.trailing_data[0])
        last = self._last_piece[: len(self._last_piece) - left]
        last = (self._previous_tail + last[-4:])[-4:]
        if last != _framing.HEAD_END:
            raise _framing.make_malformed_error(
                'chunked body does not end with two CRLF pairs'
            )

    def _check_missing_body(self) -> None:
        if self.ended:
            raise _failures.CallerGoneError('the request body is incomplete')
        if self.expired:
            raise errors.FulmarseamError(
                errors.ErrorKind.REQUEST_TIMEOUT,
                'the request body did not arrive in time',
            )

    def start_body_timeout(self) -> None:
        """Restart the time-out for the next piece of the body."""
        self.start_idle_timeout()

    def stop_body_timeout(self) -> None:
        """Stop the time-out, as the connection waits for no bytes.

        From now on the request may be sent to a target.
        """
        self.stop_timeout()
        self.is_collecting = False

    # Responses

    def start_response(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        reason: bytes = b'',
        headers_validated: bool = False,
    ) -> None:
        """Queue the head of the response.

        Without a content length in `headers` the body is sent chunked. If
        the request body has not been read, the connection closes after the
        response. With `headers_validated`, h11 has parsed the headers before
        and does not validate them again, which saves 12 us.
        """
        fields = list(headers)
        if not self.body_done or self.closing:
            fields.append((b'connection', b'close'))
        self.response_started = True
        event = h11.Response(
            status_code=status,
            headers=fields,
            reason=reason or REASON_PHRASES.get(status, b''),
            _parsed=headers_validated,
        )
        if self._method == b'HEAD' or status in (204, 304):
            self._response_bytes_left = 0
        else:
            self._response_bytes_left = _framing.find_length(dict(fields))
        self._output.append(self._h11.send(event))

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the body.

        Raises `ValueError` when the body exceeds its content length.
        """
        if self._response_bytes_left is None:
            self._output.append(self._h11.send(h11.Data(data=data)))
            return
        if len(data) > self._response_bytes_left:
            raise ValueError('the response body exceeds its content length')
        self._response_bytes_left -= len(data)
        self._output.append(data)

    def end_response(self) -> None:
        """Queue the end of the body and write all queued bytes.

        Raises `ValueError` when the body is shorter than its content length.
        """
        if self._response_bytes_left is None:
            self._output.append(self._h11.send(h11.EndOfMessage()))
        elif self._response_bytes_left:
            raise ValueError(
                'the response body is shorter than its content length'
            )
        self.response_done = True
        self.flush()

    def flush(self) -> None:
        """Write all queued bytes."""
        if not self._output or self.transport.is_closing():
            return
        out = self._output
        self.transport.write(out[0] if len(out) == 1 else b''.join(out))
        self._output = []

    def send_response(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole response, with its content length as a header."""
        fields = [*headers, (b'content-length', b'%d' % len(body))]
        self.start_response(status, fields)
        if body and self._method != b'HEAD' and status not in (204, 304):
            self.send_data(body)
        self.end_response()

    def send_final_response(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a response after which the connection closes."""
        self.closing = True
        if self._idle:
            # The message was refused before a request method was parsed.
            self._method = b''
        self.send_response(status, headers, body)

    def is_idle(self) -> bool:
        """Return whether no part of a request has arrived."""
        return self._idle and not (self._head or self._pieces)

    def find_phase(self) -> intake.Phase:
        """Return what the connection waits for."""
        if self.write_paused or self.transport.is_closing():
            return intake.Phase.SENDING
        if self.is_idle():
            return intake.Phase.IDLE
        if self.expires_at == NEVER and not self.expired:
            return intake.Phase.RUNNING
        if self.is_collecting:
            return intake.Phase.COLLECTING
        if self.has_pieces():
            # The target is slower than the caller.
            return intake.Phase.RUNNING
        return intake.Phase.STREAMING

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; return False to close instead."""
        if self.closing or self.ended or not self._keep_alive:
            return False
        if not self.response_done or not self.body_done:
            return False
        left = self._h11.trailing_data[0]
        if left:
            self.put_back(bytes(left))
        self._h11 = self._make_parser()
        self._idle = True
        self.is_collecting = True
        self.start_idle_timeout()
        return True
