"""The client's side of one connection to a target."""

import asyncio
from collections.abc import Iterable
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
    """The head of a response; header names are in lower case."""

    status: int
    reason: bytes
    headers: Headers


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
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
        )
        self._head = bytearray()
        self._head_done = False
        self._out: list[bytes] = []
        self.progress = _failures.Progress.NOT_SENT
        self.request_done = False
        self.idle_since = 0.0
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
        headers: Iterable[tuple[bytes, bytes]],
    ) -> None:
        """Queue the head of a request.

        The body is framed by `Content-Length` or `Transfer-Encoding` in
        `headers`, or empty without either.
        """
        self.progress = _failures.Progress.NOT_SENT
        self.request_done = False
        self._head_done = False
        event = h11.Request(
            method=method, target=target, headers=list(headers)
        )
        self._out.append(self._h11.send(event))

    def send_data(self, data: bytes) -> None:
        """Queue a piece of the body."""
        self._out.append(self._h11.send(h11.Data(data=data)))

    def end_request(self) -> None:
        """Queue the end of the body and write what is queued."""
        self._out.append(self._h11.send(h11.EndOfMessage()))
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
            headers = [
                (name.lower(), value)
                for name, value in event.headers.raw_items()
            ]
            return Response(event.status_code, bytes(event.reason), headers)

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
            elif self.ended:
                # Ends a body that is delimited by the end of connection.
                self._h11.receive_data(b'')
            else:
                return None

    def _fail(
        self, reason: _failures.Reason, detail: str
    ) -> _failures.TargetError:
        return _failures.TargetError(reason, self.progress, detail)

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
        states = self._h11.states
        if states[h11.CLIENT] is not h11.DONE:
            return False
        if states[h11.SERVER] is not h11.DONE:
            return False
        return not self._h11.trailing_data[0]

    def park(self) -> None:
        """Make ready for the next request."""
        self._h11.start_next_cycle()
        self.signal = None
        self.idle_since = asyncio.get_running_loop().time()
