"""An HTTP/1.1 server."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple
from typing import Self

import logbook

from fulmarseam import errors
from fulmarseam import intake
from fulmarseam.http import _caller
from fulmarseam.http import _failures
from fulmarseam.http import _intake
from fulmarseam.http import _limits

Handler = Callable[
    [_caller.Request, _caller.CallerConnection], Awaitable[None]
]

LISTEN_BACKLOG = 1_024
# Shortest and longest time between two checks for expired connections.
SWEEP_INTERVAL_MIN_S = 0.01
SWEEP_INTERVAL_MAX_S = 1.0
# A caller that is still sending after the response gets this long to read it.
# Closing earlier would reset the connection and lose the response.
LINGER_TIMEOUT_S = 1.0
LINGER_MAX_BYTES = 16 * 1024 * 1024

_log = logbook.Logger('http')


class LocalResponse(NamedTuple):
    """A response made by the server itself, not by a target."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


ErrorResponder = Callable[[errors.FulmarseamError], LocalResponse]


class Server:
    """Serves callers on one address until the context ends.

    `handler` runs once for each request, in the task of its connection.
    `make_error_response` makes the response for a `FulmarseamError` that the
    handler raises, and for a request that is refused. All servers of a
    process share one `caller_intake`.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        make_error_response: ErrorResponder,
        limits: _limits.Limits | None = None,
        caller_intake: _intake.Intake | None = None,
    ) -> None:
        self._address = address
        self._handler = handler
        self._make_error_response = make_error_response
        self._limits = limits or _limits.Limits()
        self._intake = caller_intake or _intake.Intake(
            intake.Rules(max_connections=self._limits.max_connections)
        )
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._tasks: dict[asyncio.Task[None], _caller.CallerConnection] = {}
        self._active_requests = 0
        self._draining = False

    @property
    def active_requests(self) -> int:
        """Return the number of requests being handled."""
        return self._active_requests

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._tasks)

    async def __aenter__(self) -> Self:
        """Listen on the address.

        Raises `errors.FulmarseamError` when the address cannot be used.
        """
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        try:
            self._listener = await loop.create_server(
                self._accept, host, port, backlog=LISTEN_BACKLOG
            )
        except OSError as error:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'cannot listen on {self._address}: {error.strerror}',
            ) from error
        self._sweeper = asyncio.create_task(self._sweep())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.close_listener()
        if self._sweeper is not None:
            self._sweeper.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_limits(self, limits: _limits.Limits) -> None:
        """Change the limits of all connections.

        The sizes apply to requests whose head ends later, the time-outs at
        once.
        """
        self._limits = limits

    def close_listener(self) -> None:
        """Stop accepting new connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def announce_close(self) -> None:
        """Close each connection after its next response."""
        self._draining = True
        for connection in self._tasks.values():
            connection.closing = True

    def start_draining(self) -> None:
        """Close each connection after the response in progress.

        Idle connections are closed immediately.
        """
        self.announce_close()
        for connection in list(self._tasks.values()):
            if connection.is_idle():
                connection.expire()

    async def wait_closed(self) -> None:
        """Wait until all connections are closed."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def _accept(self) -> _caller.CallerConnection:
        connection = _caller.CallerConnection(lambda: self._limits)
        connection.closing = self._draining
        connection.on_connection_made = self._start
        return connection

    def _start(self, connection: _caller.CallerConnection) -> None:
        account = self._intake.admit(connection, connection.remote_address)
        if account is None:
            connection.abort()
            return
        connection.attach(self._intake, account)
        task = asyncio.create_task(self._serve(connection))
        self._tasks[task] = connection
        task.add_done_callback(self._remove_task)

    def _remove_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error('event=connection_failed error={!r}', task.exception())

    async def _serve(self, connection: _caller.CallerConnection) -> None:
        try:
            try:
                await self._serve_requests(connection)
            except errors.FulmarseamError as error:
                self._send_error_response(connection, error)
            if connection.response_done and not connection.ended:
                await linger(connection)
        except _failures.CallerGoneError:
            connection.abort()
        finally:
            if connection.response_started and not connection.response_done:
                connection.abort()
            connection.close()

    async def _serve_requests(
        self, connection: _caller.CallerConnection
    ) -> None:
        while True:
            request = await connection.read_request()
            if request is None:
                return
            connection.set_read_limit(
                _limits.PIPELINED_BYTES
                if connection.body_done
                else _limits.BUFFER_BYTES
            )
            try:
                await self._require_present(connection)
                await self._handle(request, connection)
            finally:
                # Its header fields are free before the account says so.
                del request
                connection.finish_request()
            if not connection.prepare_next_request():
                return
            await self._wait_for_turn(connection)

    async def _require_present(
        self, connection: _caller.CallerConnection
    ) -> None:
        """Raise `CallerGoneError` if a close followed the request.

        After a stall of the process, both wait in the kernel. The event loop
        reads the close one turn after the request.
        """
        await asyncio.sleep(0)
        if connection.gone:
            self._intake.note('caller_left')
        connection.require_present()

    async def _wait_for_turn(
        self, connection: _caller.CallerConnection
    ) -> None:
        """Hold further requests until others had a turn.

        Requests that follow a response which the caller does not read stay
        unread.
        """
        assert connection.signal is not None
        if connection.write_paused:
            # The caller is idle only once it has read the response.
            connection.stop_timeout()
            while connection.write_paused and not connection.ended:
                await connection.signal.wait()
            connection.start_idle_timeout()
        if connection.has_pieces():
            await self._intake.turns.wait()

    async def _handle(
        self, request: _caller.Request, connection: _caller.CallerConnection
    ) -> None:
        self._active_requests += 1
        try:
            await self._handler(request, connection)
        except errors.FulmarseamError as error:
            if connection.response_started:
                raise
            response = self._make_error_response(error)
            connection.send_response(*response)
        except (_failures.CallerGoneError, asyncio.CancelledError):
            raise
        except Exception:
            _log.exception('event=handler_failed')
            raise errors.FulmarseamError(errors.ErrorKind.INTERNAL) from None
        finally:
            self._active_requests -= 1

    def _send_error_response(
        self,
        connection: _caller.CallerConnection,
        error: errors.FulmarseamError,
    ) -> None:
        if connection.ended:
            return
        if connection.response_started and not connection.response_done:
            connection.abort()
            return
        connection.send_final_response(*self._make_error_response(error))

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            shortest = min(
                self._limits.header_timeout_s, self._limits.idle_timeout_s
            )
            interval = min(
                max(shortest / 4, SWEEP_INTERVAL_MIN_S), SWEEP_INTERVAL_MAX_S
            )
            await asyncio.sleep(interval)
            now = loop.time()
            for connection in list(self._tasks.values()):
                if connection.expires_at <= now:
                    connection.expire()


async def linger(connection: _caller.CallerConnection) -> None:
    """Close a connection whose caller may still be sending.

    Closes the sending side first, then drops received bytes until the
    caller closes or a limit of time or bytes is reached.
    """
    if connection.transport.is_closing():
        return
    connection.expired = False
    connection.expire_at(asyncio.get_running_loop().time() + LINGER_TIMEOUT_S)
    if connection.transport.can_write_eof():
        connection.transport.write_eof()
    assert connection.signal is not None
    dropped = 0
    while not connection.ended and not connection.expired:
        piece = connection.take_piece()
        if piece is None:
            await connection.signal.wait()
            continue
        dropped += len(piece)
        if dropped > LINGER_MAX_BYTES:
            return


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of IP:PORT."""
    host, _, port = address.rpartition(':')
    return host.removeprefix('[').removesuffix(']'), int(port)
