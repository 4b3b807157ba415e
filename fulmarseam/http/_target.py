"""The client's side of one connection to a target."""

import asyncio
from typing import Any
from typing import NamedTuple

import h11

from fulmarseam import errors
from fulmarseam.http import _channel
from fulmarseam.http import _failures
from fulmarseam.http import _framing
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


class TargetConnection(_channel.Channel):
    """Sends one request at a time to a target and reads its response.

    All calls return at once; the owner of the signal waits between them::

        connection.send_head(b'GET', b'/', headers)
        connection.end_request()
        while (response := connection.poll_response()) is None:
            await signal.wait()
    """

    def __init__(self, signal: _signal.Signal | None) -> None:
        super().__init__(signal)
        self._h11 = _open_parser()
        self._head = bytearray()
        self._head_done = False
        self._method = b''
        self._keep_alive = True
        # Bytes left of a body with a length, which needs no h11; None for
        # a body that h11 frames.
        self._request_left: int | None = 0
        self._body_left: int | None = 0
        self._out: list[bytes] = []
        self.progress = _failures.Progress.NOT_SENT
        self.request_done = False
        self.idle_since = 0.0
        # How long the connection was idle before its present request.
        self.idle_before_request_s = 0.0
        self.on_idle_event: Any = None

    def handle_idle_event(self) -> None:
        """Drop a pooled connection that ends or sends unasked bytes."""
        if self.on_idle_event is not None:
            self.on_idle_event(self)

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
        `headers`, or empty without either. `headers_validated` headers have
        been read by h11 and are not checked again, which saves 12 us.
        """
        fields = dict(headers)
        self.progress = _failures.Progress.NOT_SENT
        self.request_done = False
        self._head_done = False
        self._method = method
        self._request_left = None
        if b'transfer-encoding' not in fields:
            self._request_left = _framing.find_length(fields) or 0
        event = h11.Request(
            method=method,
            target=target,
            headers=headers,
            _parsed=headers_validated,
        )
        self._out.append(self._h11.send(event))

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the body.

        Raises `ValueError` for more bytes than the length allows.
        """
        if self._request_left is None:
            self._out.append(self._h11.send(h11.Data(data=data)))
            return
        if len(data) > self._request_left:
            raise ValueError('the body exceeds its length')
        self._request_left -= len(data)
        self._out.append(data)

    def end_request(self) -> None:
        """Queue the end of the body and write what is queued.

        Raises `ValueError` for fewer bytes than the length says.
        """
        if self._request_left is None:
            self._out.append(self._h11.send(h11.EndOfMessage()))
        elif self._request_left:
            raise ValueError('the body is shorter than its length')
        self.request_done = True
        self.flush()

    def flush(self) -> None:
        """Write what is queued.

        Raises `TargetError` with NOT_SENT when the connection had ended
        before any byte of the request was written.
        """
        out = self._out
        self._out = []
        if self.ended or self.transport.is_closing():
            raise self._fail(_failures.Reason.BROKEN, 'connection ended')
        self.progress = _failures.Progress.MAY_HAVE_SENT
        self.transport.write(out[0] if len(out) == 1 else b''.join(out))

    # Response

    def poll_response(self) -> Response | None:
        """Return the head of the final response, or None before it came.

        Interim responses are dropped. Raises `TargetError` when the
        connection broke or the response is malformed.
        """
        while True:
            if not self._head_done and not self._take_head():
                return None
            event = self._next_event()
            self._head_done = False
            if type(event) is h11.InformationalResponse:
                if event.status_code == 101:
                    raise self._fail(
                        _failures.Reason.MALFORMED, 'unasked upgrade'
                    )
                continue
            if type(event) is not h11.Response:
                raise self._fail(_failures.Reason.MALFORMED, 'no response')
            return self._start_body(event)

    def _start_body(self, event: h11.Response) -> Response:
        if not event.http_version.startswith(b'1.'):
            raise self._fail(_failures.Reason.MALFORMED, 'not HTTP/1.x')
        status = event.status_code
        headers = [
            (name.lower(), value) for name, value in event.headers.raw_items()
        ]
        fields = dict(headers)
        is_new = event.http_version >= b'1.1'
        self._keep_alive = is_new and _framing.is_kept_alive(headers, fields)
        if self._method == b'HEAD' or status in (204, 304):
            self._body_left = 0
        else:
            self._body_left = _framing.find_length(fields)
            if self._body_left is None and (
                b'transfer-encoding' not in fields
            ):
                # The body ends with the connection.
                self._keep_alive = False
        return Response(status, bytes(event.reason), headers, fields)

    def _take_head(self) -> bool:
        """Pass one head to h11 after the framing checks."""
        while (piece := self.take_piece()) is not None:
            start = max(0, len(self._head) - 3)
            self._head += piece
            end = self._head.find(_framing.HEAD_END, start)
            if end >= 0:
                self._feed_head(end + len(_framing.HEAD_END))
                return True
            self._check_partial_head()
        if self.ended:
            raise self._fail(
                _failures.Reason.BROKEN, 'connection ended before a response'
            )
        return False

    def _check_partial_head(self) -> None:
        self._check_head_size(len(self._head))
        self._check_framing(self._head, complete=False)

    def _check_head_size(self, size: int) -> None:
        if size > MAX_RESPONSE_HEADER_BYTES:
            raise self._fail(
                _failures.Reason.MALFORMED, 'response headers too large'
            )

    def _feed_head(self, length: int) -> None:
        head = bytes(self._head[:length])
        rest = bytes(self._head[length:])
        self._head.clear()
        if rest:
            self.put_back(rest)
        self._check_head_size(length)
        self._check_framing(head, complete=True)
        self._h11.receive_data(head)
        self._head_done = True

    def _check_framing(self, head: bytes | bytearray, complete: bool) -> None:
        try:
            _framing.check_lines(head)
            if complete:
                _framing.check_length_headers(head)
        except errors.FulmarseamError as error:
            raise self._fail(
                _failures.Reason.MALFORMED, error.detail
            ) from error

    def _next_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            reason = _failures.Reason.MALFORMED
            if self.ended:
                reason = _failures.Reason.BROKEN
            raise self._fail(reason, str(error)) from error

    def poll_body(self) -> bytes | None:
        """Return the next piece of the body, or None when none is there.

        An empty piece is the end of the body. Raises `TargetError` when
        the body is truncated or malformed.
        """
        if self._body_left is not None:
            return self._poll_plain_body(self._body_left)
        return self._poll_framed_body()

    def _poll_plain_body(self, left: int) -> bytes | None:
        if not left:
            self.progress = _failures.Progress.COMPLETE
            return b''
        piece = self.take_piece()
        if piece is None:
            if self.ended:
                raise self._fail(
                    _failures.Reason.BROKEN, f'{left} bytes are missing'
                )
            return None
        if len(piece) > left:
            self.put_back(piece[left:])
            piece = piece[:left]
        self._body_left = left - len(piece)
        return piece

    def _poll_framed_body(self) -> bytes | None:
        while True:
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
                raise self._fail(
                    _failures.Reason.BROKEN, 'connection reset in the body'
                )
            elif self.ended:
                # Ends a body that is delimited by the end of connection.
                self._h11.receive_data(b'')
            else:
                return None

    def _fail(
        self, reason: _failures.Reason, detail: str
    ) -> _failures.TargetError:
        return _failures.TargetError(reason, self.progress, detail)

    def expect_next_response(self) -> None:
        """Get ready for the response that follows one that was read.

        A target may send a response twice; the second one arrives in
        place of the response to the next request. Raises `TargetError`
        when no other response can follow on this connection.
        """
        self.progress = _failures.Progress.MAY_HAVE_SENT
        if not self._keep_alive or not self.request_done:
            raise self._fail(
                _failures.Reason.MALFORMED, 'the response is a stray one'
            )
        left = bytes(self._h11.trailing_data[0])
        if left:
            self.put_back(left)
        self._head_done = False
        self._h11 = _open_parser()
        # The parser has to know the method; the bytes were sent before.
        self._h11.send(
            h11.Request(
                method=self._method, target=b'/', headers=[(b'host', b'x')]
            )
        )
        self._h11.send(h11.EndOfMessage())

    # Reuse

    def is_reusable(self) -> bool:
        """Return whether another request may use this connection.

        Only after a complete response whose request was fully sent, with
        no byte left over and the connection kept open by the target.
        """
        if self.ended or self.transport.is_closing() or self._pieces:
            return False
        if self.progress is not _failures.Progress.COMPLETE:
            return False
        if not self.request_done or self.transport.get_write_buffer_size():
            return False
        return self._keep_alive and not self._h11.trailing_data[0]

    def park(self) -> None:
        """Make ready for the next request."""
        self._h11 = _open_parser()
        self.signal = None
        self.idle_since = asyncio.get_running_loop().time()


def _open_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
    )
