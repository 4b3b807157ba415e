"""HTTP/1.1 client over h11."""

import asyncio
from collections.abc import Mapping
import contextlib
import time
from typing import NamedTuple

import h11

from fulmarseam import errors

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536
MAX_IDLE_PER_ADDRESS = 64
# Shorter than the idle timeout of an entry, so that the entry does not close
# a connection on which a request has just been sent.
MAX_IDLE_S = 4.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Interim responses before the final one; servers send a few.
MAX_INTERIM_RESPONSES = 32


class Reply(NamedTuple):
    """A complete response. Header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ExchangeError(Exception):
    """An exchange ended without a complete response.

    `opened` is false when no connection could be opened, so that the
    request cannot have run. `started` is true when the response ended
    early after its head.
    """

    def __init__(self, detail: str, opened: bool, started: bool) -> None:
        super().__init__(detail)
        self.opened = opened
        self.started = started

    @property
    def outcome(self) -> errors.Outcome:
        """Return whether the request may have run: unknown or not run."""
        if self.opened:
            return errors.Outcome.UNKNOWN
        return errors.Outcome.NOT_RUN


class Request(NamedTuple):
    """A request to send to one address."""

    method: str
    host: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b''


class _AnswerTooLargeError(Exception):
    """A response exceeds what the client takes."""


class _Connection:
    """One connection, used for one exchange at a time."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_answer_bytes: int,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._max_answer_bytes = max_answer_bytes
        self._h11 = h11.Connection(h11.CLIENT)
        self.response_started = False
        self.idle_since = 0.0

    async def exchange(self, request: Request) -> Reply:
        self.response_started = False
        self._writer.write(self._encode(request))
        await self._writer.drain()
        response = await self._read_head()
        self.response_started = True
        body = await self._read_body()
        headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in response.headers
        }
        return Reply(response.status_code, headers, body)

    def _encode(self, request: Request) -> bytes:
        headers = {'Host': request.host, **request.headers}
        if request.body or request.method in ('POST', 'PUT', 'PATCH'):
            headers['Content-Length'] = str(len(request.body))
        head = h11.Request(
            method=request.method,
            target=request.path,
            headers=list(headers.items()),
        )
        parts = [self._h11.send(head)]
        if request.body:
            parts.append(self._h11.send(h11.Data(data=request.body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    async def _read_head(self) -> h11.Response:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError(
                    'connection closed before the response'
                )
        raise _AnswerTooLargeError(
            f'more than {MAX_INTERIM_RESPONSES} interim responses'
        )

    async def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._max_answer_bytes:
                    raise _AnswerTooLargeError(
                        f'the body exceeds {self._max_answer_bytes} bytes'
                    )
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise ConnectionResetError(
                    'connection closed within the response'
                )

    async def _next_event(self) -> object:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._reader.read(READ_BYTES))

    def prepare_for_reuse(self) -> bool:
        """Prepare for the next exchange; return False if not reusable."""
        done = h11.DONE
        if self._h11.our_state is not done:
            return False
        if self._h11.their_state is not done:
            return False
        self._h11.start_next_cycle()
        self.idle_since = time.monotonic()
        return True

    def is_usable(self, now: float) -> bool:
        fresh = now - self.idle_since < MAX_IDLE_S
        return fresh and not self._reader.at_eof()

    def close(self) -> None:
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.close()


class HttpClient:
    """Sends requests and keeps idle connections for reuse.

    A connection is reused only after a complete response, whose body has
    `max_answer_bytes` at most. An instance belongs to one event loop.
    """

    def __init__(self, max_answer_bytes: int = MAX_ANSWER_BYTES) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._idle: dict[str, list[_Connection]] = {}

    async def send(
        self, address: str, request: Request, timeout_s: float
    ) -> Reply:
        """Send a request to IP:PORT and return the complete response.

        Raises `ExchangeError` when there is none, or when it is too large. A
        cancelled call closes its connection.
        """
        connection = await self._acquire(address, timeout_s)
        kept = False
        try:
            async with asyncio.timeout(timeout_s):
                reply = await connection.exchange(request)
            kept = self._release(address, connection)
            return reply
        except TimeoutError:
            raise ExchangeError(
                f'{address}: no complete response within {timeout_s:.3f} s',
                True,
                connection.response_started,
            ) from None
        except (
            OSError,
            h11.RemoteProtocolError,
            _AnswerTooLargeError,
        ) as error:
            raise ExchangeError(
                f'{address}: {error}', True, connection.response_started
            ) from error
        finally:
            if not kept:
                connection.close()

    async def _acquire(self, address: str, timeout_s: float) -> _Connection:
        idle = self._idle.get(address, [])
        now = time.monotonic()
        while idle:
            connection = idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                reader, writer = await asyncio.open_connection(
                    host.strip('[]'), int(port)
                )
        except (OSError, TimeoutError) as error:
            raise ExchangeError(
                f'{address}: cannot connect: {error}', False, False
            ) from error
        return _Connection(reader, writer, self._max_answer_bytes)

    def _release(self, address: str, connection: _Connection) -> bool:
        idle = self._idle.setdefault(address, [])
        if (
            len(idle) >= MAX_IDLE_PER_ADDRESS
            or not connection.prepare_for_reuse()
        ):
            return False
        idle.append(connection)
        return True

    def close_others(self, addresses: set[str]) -> None:
        """Close the idle connections to all but the given addresses."""
        for address in list(self._idle):
            if address not in addresses:
                for connection in self._idle.pop(address):
                    connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        self.close_others(set())
