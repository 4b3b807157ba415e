"""Request/reply calls over nng."""

import asyncio
import atexit
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import contextlib
import functools
import time
from typing import Any
from typing import Self
from typing import TypeVar
import weakref

import logbook
import pynng

from fulmarseam import errors
from fulmarseam import wire

Handler = Callable[[wire.Message], Awaitable[wire.Message]]
T = TypeVar('T')

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
MAX_PENDING_CALLS = 4_096
# Length and request ID that nng sends before each message.
FRAME_BYTES = 12
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 200
# Calls are retried by the code that makes them, which knows whether that is
# safe.
RESEND_NEVER_MS = -1
# nng resolves even numeric addresses on threads of its own. An address that it
# is resolving when pynng ends nng at exit aborts the process; resolving takes
# far less than this.
EXIT_PAUSE_S = 0.05
# Closing a socket while nng resolves its address can abort the process too.
# A socket therefore stops connecting first. An attempt that was due begins
# `RECONNECT_MAX_MS` later at most, and the socket is closed after it.
RECONNECT_NEVER_MS = 3_600_000
CLOSE_DELAY_S = 0.5

_log = logbook.Logger('transport')

# Sockets that connect to an address, for `close_at_exit`.
_dialing_sockets: weakref.WeakSet[Any] = weakref.WeakSet()


def close_at_exit() -> None:
    """Close the sockets that connect, and wait for the threads of nng."""
    if not _dialing_sockets:
        return
    for nng_socket in list(_dialing_sockets):
        nng_socket.close()
    time.sleep(EXIT_PAUSE_S)


# Runs before the exit handler of pynng, which was registered at its import.
atexit.register(close_at_exit)


def _close_later(nng_socket: Any) -> None:
    """Stop a socket from connecting, and close it once it has stopped."""
    for dialer in nng_socket.dialers:
        dialer.reconnect_time_max = RECONNECT_NEVER_MS
        dialer.reconnect_time_min = RECONNECT_NEVER_MS
    asyncio.get_running_loop().call_later(CLOSE_DELAY_S, nng_socket.close)


@contextlib.contextmanager
def _open_context(nng_socket: Any) -> Iterator[Any]:
    """Yield a context of a socket that may close before the context."""
    context = nng_socket.new_context()
    try:
        yield context
    finally:
        with contextlib.suppress(pynng.Closed):
            context.close()


class RpcServer:
    """Serves calls on one address until the context ends.

    `handler` receives each decoded message and returns the response. A
    `FulmarseamError` that it raises is sent as `wire.Failure`.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._socket: Any = None
        self._accept_task: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._pending_slots = asyncio.Semaphore(MAX_PENDING_CALLS)

    async def __aenter__(self) -> Self:
        """Listen on the address.

        Raises `errors.TransportError` when the address cannot be used.
        """
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        try:
            self._socket.listen(f'tcp://{self._address}')
        except pynng.NNGException as error:
            self._socket.close()
            raise errors.TransportError(
                f'cannot listen on {self._address}: {error}'
            ) from error
        self._accept_task = asyncio.create_task(self._accept_calls())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = [*self._calls]
        if self._accept_task is not None:
            tasks.append(self._accept_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._socket.close()

    async def _accept_calls(self) -> None:
        while True:
            await self._pending_slots.acquire()
            context = self._socket.new_context()
            try:
                data = await context.arecv()
                raise_if_cancelled()
            except pynng.NNGException as error:
                context.close()
                self._pending_slots.release()
                if isinstance(error, pynng.Closed):
                    return
                _log.debug('event=receive_failed error={!r}', str(error))
                raise_if_cancelled()
                continue
            except asyncio.CancelledError:
                context.close()
                raise
            task = asyncio.create_task(self._serve_call(context, data))
            self._calls.add(task)
            task.add_done_callback(
                functools.partial(self._finish_call, context)
            )

    def _finish_call(self, context: Any, task: asyncio.Task[None]) -> None:
        """Free what a call used, also if it was cancelled before it began."""
        self._calls.discard(task)
        context.close()
        self._pending_slots.release()

    async def _serve_call(self, context: Any, data: bytes) -> None:
        try:
            answer = await self._answer(data)
            await context.asend(wire.encode(answer))
        except pynng.NNGException as error:
            _log.debug('event=reply_failed error={!r}', str(error))

    async def _answer(self, data: bytes) -> wire.Message:
        try:
            return await self._handler(wire.decode(data))
        except errors.NotLeaderError as error:
            return wire.Failure(
                kind=error.kind.value, detail=error.detail, leader=error.leader
            )
        except errors.FulmarseamError as error:
            return wire.Failure(kind=error.kind.value, detail=error.detail)
        except Exception:
            _log.exception('event=handler_failed')
            return wire.Failure(kind=errors.ErrorKind.INTERNAL.value)


class RpcClient:
    """Calls one address and reconnects automatically.

    Use a client from one event loop only. The connection is made in the
    background, so entering the context does not wait for the other process.
    `bytes_sent` and `bytes_received` include the framing of messages.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.bytes_sent = 0
        self.bytes_received = 0
        self._socket: Any = None
        # Those of the pending calls.
        self._contexts: set[Any] = set()
        self._last_response_at = 0.0

    async def __aenter__(self) -> Self:
        self.open()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.close()

    def open(self) -> None:
        """Start connecting in the background."""
        self._socket = pynng.Req0(
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            resend_time=RESEND_NEVER_MS,
        )
        _dialing_sockets.add(self._socket)
        self._socket.dial(f'tcp://{self.address}', block=False)

    def close(self) -> None:
        """Close the connection; pending calls fail."""
        if self._socket is not None:
            for context in list(self._contexts):
                context.close()
            _close_later(self._socket)
            self._socket = None

    async def call(
        self, message: wire.Message, timeout_s: float
    ) -> wire.Message:
        """Send a message and return the response.

        Raises `errors.TransportError` when the call fails or times out; the
        other process may have handled the call nevertheless. The connection
        is replaced if no response arrived since the call started, as a
        connection that a network fault silenced is never reset.
        """
        if self._socket is None:
            raise errors.TransportError(
                f'{self.address}: the client is closed'
            )
        socket = self._socket
        started = asyncio.get_running_loop().time()
        try:
            data = await self._exchange(message, timeout_s)
        except errors.TransportError:
            if self._socket is socket and self._last_response_at <= started:
                self.close()
                self.open()
            raise
        self._last_response_at = asyncio.get_running_loop().time()
        self.bytes_received += len(data) + FRAME_BYTES
        return wire.decode(data)

    @contextlib.contextmanager
    def _open_call_context(self) -> Iterator[Any]:
        """Yield a context that `close` closes."""
        with _open_context(self._socket) as context:
            self._contexts.add(context)
            try:
                yield context
            finally:
                self._contexts.discard(context)

    async def _exchange(
        self, message: wire.Message, timeout_s: float
    ) -> bytes:
        with self._open_call_context() as context:
            try:
                async with asyncio.timeout(timeout_s):
                    sent = wire.encode(message)
                    self.bytes_sent += len(sent) + FRAME_BYTES
                    await context.asend(sent)
                    raise_if_cancelled()
                    data: bytes = await context.arecv()
                    raise_if_cancelled()
            except TimeoutError:
                raise errors.TransportError(
                    f'{self.address}: no answer within {timeout_s:.3f} s'
                ) from None
            except pynng.NNGException as error:
                raise_if_cancelled()
                raise errors.TransportError(
                    f'{self.address}: {error}'
                ) from error
        return data


class RpcClients:
    """RPC clients by address; a context manager.

    A client is opened at its first call and closed when `close_all_except`
    leaves its address out.
    """

    def __init__(self) -> None:
        self._clients: dict[str, RpcClient] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.close_all_except(())

    def close_all_except(self, addresses: Collection[str]) -> None:
        """Close the clients of all other addresses."""
        for address in self._clients.keys() - set(addresses):
            self._clients.pop(address).close()

    async def call(
        self, address: str, message: wire.Message, timeout_s: float
    ) -> wire.Message:
        """Send a message to an address and return the response.

        Raises `errors.TransportError` when the call fails or times out.
        """
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(address)
            client.open()
        return await client.call(message, timeout_s)


def raise_if_cancelled() -> None:
    """Raise `asyncio.CancelledError` if the task has been cancelled.

    pynng loses a cancellation (of a time-out, too) that arrives after nng
    completed the operation, also with an error, and before the task resumed.
    Without this check the task would continue for ever.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


def expect(answer: wire.Message, expected: type[T]) -> T:
    """Return an answer of the expected type.

    Raises `errors.FulmarseamError` for a failure or another message.
    """
    if isinstance(answer, expected):
        return answer
    raise errors.FulmarseamError(
        errors.ErrorKind.UNAVAILABLE,
        getattr(answer, 'detail', type(answer).__name__),
    )
