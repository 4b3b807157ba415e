"""The server's side of one connection of a caller."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import http
import math
from typing import Any
from typing import NamedTuple

import h11

from fulmarseam import errors
from fulmarseam.http import _channel
from fulmarseam.http import _failures
from fulmarseam.http import _framing
from fulmarseam.http import _limits
from fulmarseam.http import _signal

Headers = list[tuple[bytes, bytes]]

NEVER = math.inf
REASONS = {status.value: status.phrase.encode() for status in http.HTTPStatus}


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


class CallerConnection(_channel.Channel):
    """Reads requests from a caller and writes the answers.

    One task at a time uses a connection. After a wait it checks `gone`:
    a caller that closes its sending side counts as gone, because a closed
    connection cannot be told from a half-closed one before the answer is
    written.
    """

    def __init__(self, limits: _limits.Limits) -> None:
        super().__init__(_signal.Signal())
        self._limits = limits
        self._clock = asyncio.get_running_loop().time
        self._h11 = self._open_parser()
        self._head = bytearray()
        self._fed = b''
        self._fed_before = b''
        self._method = b''
        self._keep_alive = True
        # Bytes left of a body with a length, which needs no h11; None for
        # a body that h11 frames.
        self._body_left: int | None = 0
        self._answer_left: int | None = 0
        self._body_bytes = 0
        self._out: list[bytes] = []
        self._idle = True
        self.body_done = True
        self.response_started = False
        self.response_done = False
        self.closing = False
        self.expired = False
        self.expires_at = self._clock() + limits.header_timeout_s
        self.on_made: Callable[[CallerConnection], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection."""
        super().connection_made(transport)
        if self.on_made is not None:
            self.on_made(self)

    def _open_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=max(
                self._limits.max_header_bytes, _limits.CHUNK_LINE_BYTES
            ),
        )

    @property
    def gone(self) -> bool:
        """Return whether the caller has left before its answer ended."""
        return self.ended

    @property
    def remote_address(self) -> str:
        """Return the IP address of the caller."""
        name = self.transport.get_extra_info('peername')
        return str(name[0]) if name else ''

    def expire(self) -> None:
        """Note that a time-out has passed and wake the task."""
        self.expired = True
        self.expires_at = NEVER
        self._notify()

    # Requests

    async def read_request(self) -> Request | None:
        """Wait for the next request; None when the connection is over.

        Raises `errors.FulmarseamError` for a request to be refused.
        """
        assert self.signal is not None
        while True:
            request = self._take_request()
            if request is not None:
                return request
            if self.ended:
                return None
            if self.expired:
                if not self._head:
                    return None
                raise errors.FulmarseamError(
                    errors.ErrorKind.REQUEST_TIMEOUT,
                    'the headers did not arrive in time',
                )
            await self.signal.wait()

    def _take_request(self) -> Request | None:
        while (piece := self.take_piece()) is not None:
            if not self._head:
                # One empty line before a request is allowed.
                piece = piece.removeprefix(b'\r\n')
                self.expires_at = self._clock() + self._limits.header_timeout_s
            start = max(0, len(self._head) - 3)
            self._head += piece
            end = self._head.find(_framing.HEAD_END, start)
            if end >= 0:
                return self._parse_head(end + len(_framing.HEAD_END))
            self._check_partial_head()
        return None

    def _check_partial_head(self) -> None:
        _framing.check_lines(self._head)
        if len(self._head) > self._limits.max_header_bytes:
            raise self._refuse_header_size()

    def _refuse_header_size(self) -> errors.FulmarseamError:
        return errors.FulmarseamError(
            errors.ErrorKind.HEADERS_TOO_LARGE,
            f'the headers exceed {self._limits.max_header_bytes} bytes',
        )

    def _parse_head(self, length: int) -> Request:
        head = bytes(self._head[:length])
        rest = bytes(self._head[length:])
        self._head.clear()
        if rest:
            self.put_back(rest)
        if length > self._limits.max_header_bytes:
            raise self._refuse_header_size()
        _framing.check_lines(head)
        _framing.check_length_headers(head)
        self._h11.receive_data(head)
        event = self._next_event()
        if type(event) is not h11.Request:
            raise _framing.refuse('no request')
        if event.method == b'CONNECT':
            raise errors.FulmarseamError(
                errors.ErrorKind.METHOD_NOT_ALLOWED, 'CONNECT'
            )
        return self._start_request(event)

    def _start_request(self, event: h11.Request) -> Request:
        _framing.check_version(event.http_version)
        headers = [
            (name.lower(), value) for name, value in event.headers.raw_items()
        ]
        fields = dict(headers)
        length = _framing.find_length(fields) or 0
        is_chunked = b'transfer-encoding' in fields
        is_new = event.http_version >= b'1.1'
        if is_chunked and not is_new:
            raise _framing.refuse('Transfer-Encoding in HTTP/1.0')
        if length > self._limits.max_body_bytes:
            raise self._refuse_body_size()
        self._keep_alive = is_new and _framing.is_kept_alive(headers, fields)
        self._body_left = None if is_chunked else length
        self._body_bytes = 0
        self._fed = self._fed_before = b''
        self._method = event.method
        self.body_done = self._body_left == 0
        self.response_started = False
        self.response_done = False
        self.expired = False
        self._idle = False
        self.expires_at = NEVER
        return Request(
            event.method, event.target, headers, self._body_left, fields
        )

    def _refuse_body_size(self) -> errors.FulmarseamError:
        return errors.FulmarseamError(
            errors.ErrorKind.BODY_TOO_LARGE,
            f'the body exceeds {self._limits.max_body_bytes} bytes',
        )

    def _next_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise _framing.refuse(str(error)) from error

    def poll_body(self) -> bytes | None:
        """Return the next piece of the body, or None when none is there.

        An empty piece is the end of the body. The first call answers
        `Expect: 100-continue`. Raises `CallerGoneError` when the caller
        left, and `errors.FulmarseamError` for a body to be refused.
        """
        if self.body_done:
            return b''
        if self._h11.they_are_waiting_for_100_continue:
            self._send_continue()
        if self._body_left is not None:
            return self._poll_plain_body(self._body_left)
        return self._poll_chunked_body()

    def _poll_plain_body(self, left: int) -> bytes | None:
        piece = self.take_piece()
        if piece is None:
            self._check_stalled_body()
            return None
        if len(piece) > left:
            self.put_back(piece[left:])
            piece = piece[:left]
        self._body_left = left - len(piece)
        self.body_done = self._body_left == 0
        return piece

    def _poll_chunked_body(self) -> bytes | None:
        while True:
            event = self._next_event()
            kind = type(event)
            if kind is h11.Data:
                return self._count_body(bytes(event.data))
            if kind is h11.EndOfMessage:
                self._check_body_end()
                self.body_done = True
                return b''
            piece = self.take_piece()
            if piece is None:
                self._check_stalled_body()
                return None
            self._fed_before = (self._fed_before + self._fed[-4:])[-4:]
            self._fed = piece
            self._h11.receive_data(piece)

    def _send_continue(self) -> None:
        event = h11.InformationalResponse(
            status_code=100, headers=[], reason=b'Continue'
        )
        data = self._h11.send(event)
        if data:
            self.transport.write(data)

    def _count_body(self, data: bytes) -> bytes:
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            raise self._refuse_body_size()
        return data

    def _check_body_end(self) -> None:
        """Refuse a chunked body that does not end with two full lines."""
        left = len(self._h11.trailing_data[0])
        last = self._fed[: len(self._fed) - left]
        last = (self._fed_before + last[-4:])[-4:]
        if last != _framing.HEAD_END:
            raise _framing.refuse('chunked body ends ambiguously')

    def _check_stalled_body(self) -> None:
        if self.ended:
            raise _failures.CallerGoneError('the request body is incomplete')
        if self.expired:
            raise errors.FulmarseamError(
                errors.ErrorKind.REQUEST_TIMEOUT,
                'the body did not arrive in time',
            )

    def start_body_timeout(self) -> None:
        """Restart the time-out for the next piece of the body."""
        self.expires_at = self._clock() + self._limits.idle_timeout_s

    def stop_body_timeout(self) -> None:
        """Stop the time-out, as the connection waits for no bytes."""
        self.expires_at = NEVER

    # Answers

    def start_response(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        reason: bytes = b'',
        headers_validated: bool = False,
    ) -> None:
        """Queue the head of the answer.

        Without a length in `headers` the body is sent chunked. A request
        body that has not been read ends the connection after the answer.
        `headers_validated` headers have been read by h11 and are not checked
        again, which saves 12 us.
        """
        fields = list(headers)
        if not self.body_done or self.closing:
            fields.append((b'connection', b'close'))
        self.response_started = True
        event = h11.Response(
            status_code=status,
            headers=fields,
            reason=reason or REASONS.get(status, b''),
            _parsed=headers_validated,
        )
        if self._method == b'HEAD' or status in (204, 304):
            self._answer_left = 0
        else:
            self._answer_left = _framing.find_length(dict(fields))
        self._out.append(self._h11.send(event))

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the body.

        Raises `ValueError` for more bytes than the length allows.
        """
        if self._answer_left is None:
            self._out.append(self._h11.send(h11.Data(data=data)))
            return
        if len(data) > self._answer_left:
            raise ValueError('the body exceeds its length')
        self._answer_left -= len(data)
        self._out.append(data)

    def end_response(self) -> None:
        """Queue the end of the body and write what is queued.

        Raises `ValueError` for fewer bytes than the length says.
        """
        if self._answer_left is None:
            self._out.append(self._h11.send(h11.EndOfMessage()))
        elif self._answer_left:
            raise ValueError('the body is shorter than its length')
        self.response_done = True
        self.flush()

    def flush(self) -> None:
        """Write what is queued."""
        if not self._out or self.transport.is_closing():
            return
        out = self._out
        self.transport.write(out[0] if len(out) == 1 else b''.join(out))
        self._out = []

    def send_response(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole answer; its length is added to the headers."""
        fields = [*headers, (b'content-length', b'%d' % len(body))]
        self.start_response(status, fields)
        if body and self._method != b'HEAD' and status not in (204, 304):
            self.send_data(body)
        self.end_response()

    def refuse(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Answer a message that cannot be followed by another."""
        self.closing = True
        if self._idle:
            # The message was refused before it became a request.
            self._method = b''
        self.send_response(status, headers, body)

    def is_idle(self) -> bool:
        """Return whether no part of a request has arrived."""
        return self._idle and not (self._head or self._pieces)

    def finish_cycle(self) -> bool:
        """Prepare for the next request; False when it must not come."""
        if self.closing or self.ended or not self._keep_alive:
            return False
        if not self.response_done or not self.body_done:
            return False
        left = self._h11.trailing_data[0]
        if left:
            self.put_back(bytes(left))
        self._h11 = self._open_parser()
        self._idle = True
        self.expires_at = self._clock() + self._limits.idle_timeout_s
        return True
