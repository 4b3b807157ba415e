"""A small HTTP/1.1 server for the stand-ins, based on h11.

It shares no code with the HTTP server of the entries: a bug in shared code
could go unnoticed in tests. The handler of a request is cancelled when the
connection closes.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import NamedTuple
from typing import Self

import h11
import logbook

# Names an attempt of an entry; returned with the response.
ATTEMPT_HEADER = 'fulmarseam-attempt'
READ_BYTES = 65_536

_log = logbook.Logger('server')


class ServerRequest(NamedTuple):
    """A request with its complete body; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class ServerResponse(NamedTuple):
    """A response; with `truncate` only half of the body is sent."""

    status: int
    headers: dict[str, str]
    body: bytes = b''
    truncate: bool = False


Handler = Callable[[ServerRequest], Awaitable[ServerResponse]]


class Server:
    """Serves HTTP on one address until the context ends."""

    def __init__(self, address: str, handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_connections(self) -> int:
        return len(self._tasks)

    async def __aenter__(self) -> Self:
        host, _, port = self._address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve_connection, host.strip('[]'), int(port), backlog=1_024
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await _Connection(reader, writer, self._handler).run()
        except (OSError, h11.ProtocolError) as error:
            _log.debug('event=connection_lost error={!r}', str(error))
        except asyncio.CancelledError:
            # asyncio logs a cancelled connection callback as an error.
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


class _Connection:
    """Serves the requests of one connection in sequence."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._protocol = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            response = await self._run_handler(request)
            if response is None:
                return
            await self._send(request, response)
            if self._protocol.our_state is not h11.DONE:
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def _read_request(self) -> ServerRequest | None:
        head: h11.Request | None = None
        parts: list[bytes] = []
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                await self._send_continue()
                self._protocol.receive_data(
                    await self._reader.read(READ_BYTES)
                )
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _make_request(head, b''.join(parts))
            else:
                return None

    async def _send_continue(self) -> None:
        if not self._protocol.they_are_waiting_for_100_continue:
            return
        head = h11.InformationalResponse(status_code=100, headers=[])
        self._writer.write(self._protocol.send(head) or b'')
        await self._writer.drain()

    async def _run_handler(
        self, request: ServerRequest
    ) -> ServerResponse | None:
        """Run the handler; return None if the connection closes first."""
        handling = asyncio.ensure_future(self._handler(request))
        disconnect = asyncio.ensure_future(self._wait_disconnect())
        try:
            await asyncio.wait(
                (handling, disconnect), return_when=asyncio.FIRST_COMPLETED
            )
            if handling.done():
                return handling.result()
            return None
        finally:
            for task in (handling, disconnect):
                task.cancel()
            await asyncio.gather(handling, disconnect, return_exceptions=True)

    async def _wait_disconnect(self) -> None:
        """Wait until the peer closes the connection."""
        while True:
            data = await self._reader.read(READ_BYTES)
            if not data:
                return
            self._protocol.receive_data(data)

    async def _send(
        self, request: ServerRequest, response: ServerResponse
    ) -> None:
        headers = dict(response.headers)
        headers['Content-Length'] = str(len(response.body))
        if ATTEMPT_HEADER in request.headers:
            headers[ATTEMPT_HEADER] = request.headers[ATTEMPT_HEADER]
        head = h11.Response(
            status_code=response.status, headers=list(headers.items())
        )
        parts = [self._protocol.send(head) or b'']
        body = response.body if request.method != 'HEAD' else b''
        if response.truncate:
            self._writer.write(b''.join(parts) + body[: len(body) // 2])
            await self._writer.drain()
            self._protocol.send_failed()
            return
        if body:
            parts.append(self._protocol.send(h11.Data(data=body)) or b'')
        parts.append(self._protocol.send(h11.EndOfMessage()) or b'')
        self._writer.write(b''.join(parts))
        await self._writer.drain()


def _make_request(head: h11.Request, body: bytes) -> ServerRequest:
    headers = {
        name.decode('latin-1'): value.decode('latin-1')
        for name, value in head.headers
    }
    return ServerRequest(
        head.method.decode('latin-1'),
        head.target.decode('latin-1'),
        headers,
        body,
    )
