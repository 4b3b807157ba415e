"""Pools of connections to targets."""

import asyncio
import contextlib
import re
import socket
from typing import Self

from fulmarseam.http import _failures
from fulmarseam.http import _server
from fulmarseam.http import _signal
from fulmarseam.http import _target

CONNECT_TIMEOUT_S = 1.0
# Idle connections are closed before a target with a usual keep-alive
# time-out of a minute closes them in the middle of a new request.
IDLE_TIMEOUT_S = 30.0
SWEEP_INTERVAL_S = 5.0
# Time before the end of the keep-alive that a target states in which its
# connections are not used any more: the request would cross the close.
KEEP_ALIVE_MARGIN_S = 1.5
# Connections that were idle for less are always used again.
IDLE_CAP_MIN_S = 0.2
# A connection whose sent bytes nobody acknowledges is given up after this
# time. A single lost packet is sent again after 0.2 to 0.6 s.
USER_TIMEOUT_MS = 1_500

_KEEP_ALIVE = re.compile(rb'timeout=(\d{1,6})')


class TargetPool:
    """The connections to one target, in use and idle, within a limit."""

    def __init__(self, address: str, limit: int) -> None:
        self.address = address
        self.limit = limit
        self.in_use = 0
        self.idle_timeout_s = IDLE_TIMEOUT_S
        # Below what the target states, once it has closed sooner.
        self._idle_cap_s = IDLE_TIMEOUT_S
        self._idle: list[_target.TargetConnection] = []

    @property
    def idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def set_limit(self, limit: int) -> None:
        """Change the limit; idle connections above it are closed."""
        self.limit = limit
        while self._idle and self.in_use + len(self._idle) > limit:
            self._idle.pop(0).abort()

    def take_idle(
        self, signal: _signal.Signal
    ) -> _target.TargetConnection | None:
        """Return an idle connection that is still open, if any."""
        now = asyncio.get_running_loop().time()
        oldest = now - self.idle_timeout_s
        while self._idle:
            connection = self._idle.pop()
            is_old = connection.idle_since < oldest
            if is_old or connection.ended or connection.has_pieces():
                connection.abort()
                continue
            connection.signal = signal
            connection.idle_before_request_s = now - connection.idle_since
            self.in_use += 1
            return connection
        return None

    def apply_keep_alive(self, response: _target.Response) -> None:
        """Take over how long the target keeps idle connections."""
        stated = _KEEP_ALIVE.search(response.fields.get(b'keep-alive', b''))
        if stated is None:
            return
        idle_s = max(0.0, int(stated[1]) - KEEP_ALIVE_MARGIN_S)
        self.idle_timeout_s = min(idle_s, self._idle_cap_s)

    def lower_idle_timeout(self, idle_s: float) -> None:
        """Note that a connection was lost after it had been idle.

        Connections that were idle for half as long are not used again, and
        those that wait now are as doubtful as the lost one.
        """
        self._idle_cap_s = min(
            self._idle_cap_s, max(idle_s / 2, IDLE_CAP_MIN_S)
        )
        self.idle_timeout_s = min(self.idle_timeout_s, self._idle_cap_s)
        self.close_idle(
            asyncio.get_running_loop().time() - self.idle_timeout_s
        )

    async def open(
        self, signal: _signal.Signal, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> _target.TargetConnection:
        """Connect to the target.

        Raises `TargetError` with NOT_SENT when the limit is reached or
        the target cannot be reached.
        """
        if self.in_use + len(self._idle) >= self.limit:
            raise self._fail(
                _failures.Reason.NO_CONNECTION_LEFT,
                f'{self.limit} connections in use',
            )
        self.in_use += 1
        try:
            return await self._connect(signal, timeout_s)
        except BaseException:
            self.in_use -= 1
            raise

    async def _connect(
        self, signal: _signal.Signal, timeout_s: float
    ) -> _target.TargetConnection:
        host, port = _server.split_address(self.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                _, connection = await loop.create_connection(
                    lambda: _target.TargetConnection(signal), host, port
                )
        except TimeoutError:
            raise self._fail(
                _failures.Reason.CONNECT_FAILED, 'no connection in time'
            ) from None
        except OSError as error:
            raise self._fail(
                _failures.Reason.CONNECT_FAILED, str(error.strerror or error)
            ) from error
        connection.on_idle_event = self._drop
        connection.transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        return connection

    def _fail(
        self, reason: _failures.Reason, detail: str
    ) -> _failures.TargetError:
        return _failures.TargetError(
            reason, _failures.Progress.NOT_SENT, f'{self.address}: {detail}'
        )

    def release(self, connection: _target.TargetConnection) -> None:
        """Take back a connection; it is closed unless it may be reused."""
        self.in_use -= 1
        full = self.in_use + len(self._idle) >= self.limit
        if full or not connection.is_reusable():
            connection.signal = None
            connection.on_idle_event = None
            connection.abort()
            return
        connection.park()
        self._idle.append(connection)

    def _drop(self, connection: _target.TargetConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
        connection.abort()

    def close_idle(self, before: float) -> None:
        """Close the connections that are idle since `before` or longer."""
        kept = []
        for connection in self._idle:
            if connection.idle_since <= before:
                connection.abort()
            else:
                kept.append(connection)
        self._idle = kept


class TargetPools:
    """The pools of all targets, by address; a context manager."""

    def __init__(self) -> None:
        self._pools: dict[str, TargetPool] = {}
        self._sweeper: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._sweeper = asyncio.create_task(self._sweep())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper
        now = asyncio.get_running_loop().time()
        for pool in self._pools.values():
            pool.close_idle(now)

    def get(self, address: str, limit: int) -> TargetPool:
        """Return the pool of a target with its limit set."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = TargetPool(address, limit)
        elif pool.limit != limit:
            pool.set_limit(limit)
        return pool

    def set_limits(self, limits: dict[str, int]) -> None:
        """Set the limits of all targets; others lose idle connections."""
        for address, pool in self._pools.items():
            limit = limits.get(address, pool.in_use)
            if pool.limit != limit:
                pool.set_limit(limit)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = loop.time()
            for address, pool in list(self._pools.items()):
                pool.close_idle(now - pool.idle_timeout_s)
                if not pool.in_use and not pool.idle:
                    del self._pools[address]
