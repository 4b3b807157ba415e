"""HTTP/1.1 exchanges of a caller, over h11."""

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
# a connection while a request is on its way.
MAX_IDLE_S = 4.0


class Reply(NamedTuple):
    """A whole answer. Header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ExchangeError(Exception):
    """An exchange ended without a whole answer.

    `opened` is false when no connection could be opened, so that the
    request cannot have run. `started` is true when the answer broke off
    after its head.
    """

    def __init__(self, detail: str, opened: bool, started: bool) -> None:
        super().__init__(detail)
        self.opened = opened
        self.started = started

    @property
    def outcome(self) -> errors.Outcome:
        """Return what is known about the request."""
        if self.opened:
            return errors.Outcome.UNKNOWN
        return errors.Outcome.NOT_RUN


class Request(NamedTuple):
    """A request as it is sent to one address."""

    method: str
    host: str
    path: str
    headers: Mapping[str, str] = {}
    body: bytes = b''


class _Connection:
    """One connection, used for one exchange at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._state = h11.Connection(h11.CLIENT)
        self.started = False
        self.idle_since = 0.0

    async def exchange(self, request: Request) -> Reply:
        self.started = False
        self._writer.write(self._encode(request))
        await self._writer.drain()
        response = await self._read_head()
        self.started = True
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
        parts = [self._state.send(head)]
        if request.body:
            parts.append(self._state.send(h11.Data(data=request.body)))
        parts.append(self._state.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    async def _read_head(self) -> h11.Response:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionResetError('closed before the answer')

    async def _read_body(self) -> bytes:
        parts = []
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            else:
                raise ConnectionResetError('closed within the answer')

    async def _next_event(self) -> object:
        while True:
            event = self._state.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._state.receive_data(await self._reader.read(READ_BYTES))

    def renew(self) -> bool:
        """Prepare for the next exchange; return whether that is possible."""
        done = h11.DONE
        if self._state.our_state is not done:
            return False
        if self._state.their_state is not done:
            return False
        self._state.start_next_cycle()
        self.idle_since = time.monotonic()
        return True

    def is_usable(self, now: float) -> bool:
        fresh = now - self.idle_since < MAX_IDLE_S
        return fresh and not self._reader.at_eof()

    def close(self) -> None:
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.close()


class HttpClient:
    """Sends requests and keeps idle connections for the next ones.

    A connection is kept only after a whole answer. It belongs to one event
    loop.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[_Connection]] = {}

    async def send(
        self, address: str, request: Request, timeout_s: float
    ) -> Reply:
        """Send a request to IP:PORT and return the whole answer.

        Raises `ExchangeError` otherwise. A cancelled call closes its
        connection.
        """
        connection = await self._take(address, timeout_s)
        kept = False
        try:
            async with asyncio.timeout(timeout_s):
                reply = await connection.exchange(request)
            kept = self._keep(address, connection)
            return reply
        except TimeoutError:
            raise ExchangeError(
                f'{address}: no whole answer within {timeout_s:.3f} s',
                True,
                connection.started,
            ) from None
        except (OSError, h11.RemoteProtocolError) as error:
            raise ExchangeError(
                f'{address}: {error}', True, connection.started
            ) from error
        finally:
            if not kept:
                connection.close()

    async def _take(self, address: str, timeout_s: float) -> _Connection:
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
        return _Connection(reader, writer)

    def _keep(self, address: str, connection: _Connection) -> bool:
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS or not connection.renew():
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
