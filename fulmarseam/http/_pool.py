"""Pools of connections to targets."""

import asyncio
from collections.abc import Mapping
import contextlib
import re
import socket
from typing import Self

from fulmarseam import intake
from fulmarseam.http import _failures
from fulmarseam.http import _server
from fulmarseam.http import _signal
from fulmarseam.http import _target

CONNECT_TIMEOUT_S = 1.0
# Idle connections are closed before a target with the usual keep-alive
# time-out of one minute would close them during a new request.
IDLE_TIMEOUT_S = 30.0
SWEEP_INTERVAL_S = 5.0
# Idle connections are not reused during this time before the keep-alive
# time-out of the target: it could close them while a request is on its way.
KEEP_ALIVE_MARGIN_S = 1.5
# Lower bound of the idle time-out after lost connections.
MIN_IDLE_CAP_S = 0.2
# TCP closes a connection whose sent bytes stay unacknowledged for this long.
# A single lost packet is retransmitted after 0.2 to 0.6 s.
TCP_USER_TIMEOUT_MS = 1_500

_KEEP_ALIVE = re.compile(rb'timeout=(\d{1,6})')


class TargetPool:
    """A limited number of connections to one target, in use and idle.

    `idle_limit` bounds those that are kept while they are idle. What they
    hold of answers counts in `answer_budget`.
    """

    def __init__(
        self,
        address: str,
        limit: int,
        idle_limit: int | None = None,
        answer_budget: intake.AnswerBudget | None = None,
    ) -> None:
        self.address = address
        self._answer_budget = answer_budget or intake.AnswerBudget()
        self.limit = limit
        self.idle_limit = limit if idle_limit is None else idle_limit
        self.in_use = 0
        self.idle_timeout_s = IDLE_TIMEOUT_S
        # Upper bound for the keep-alive that the target states; lowered when
        # the target closes idle connections sooner.
        self._idle_cap_s = IDLE_TIMEOUT_S
        self._idle: list[_target.TargetConnection] = []

    @property
    def idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def set_limit(self, limit: int, idle_limit: int | None = None) -> None:
        """Change the limits; idle connections above them are closed."""
        self.limit = limit
        self.idle_limit = limit if idle_limit is None else idle_limit
        while self._idle and (
            self.in_use + len(self._idle) > limit
            or len(self._idle) > self.idle_limit
        ):
            self._idle.pop(0).abort()

    def take_idle(
        self, signal: _signal.Signal
    ) -> _target.TargetConnection | None:
        """Return an idle connection that is still open, if any."""
        now = asyncio.get_running_loop().time()
        idle_since_min = now - self.idle_timeout_s
        while self._idle:
            connection = self._idle.pop()
            is_expired = connection.idle_since < idle_since_min
            if is_expired or connection.ended or connection.has_pieces():
                connection.abort()
                continue
            connection.signal = signal
            connection.idle_before_request_s = now - connection.idle_since
            self.in_use += 1
            return connection
        return None

    def apply_keep_alive(self, response: _target.Response) -> None:
        """Apply the keep-alive time-out that the target states."""
        match = _KEEP_ALIVE.search(response.fields.get(b'keep-alive', b''))
        if match is None:
            return
        idle_s = max(0.0, int(match[1]) - KEEP_ALIVE_MARGIN_S)
        self.idle_timeout_s = min(idle_s, self._idle_cap_s)

    def lower_idle_timeout(self, idle_s: float) -> None:
        """Lower the idle time-out after a reused connection was lost.

        `idle_s` is how long it had been idle; the new time-out is half of
        that. Idle connections beyond it are closed, as they may be lost too.
        """
        self._idle_cap_s = min(
            self._idle_cap_s, max(idle_s / 2, MIN_IDLE_CAP_S)
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
            raise self._make_error(
                _failures.Reason.NO_CONNECTION_LEFT,
                f'{self.limit} connections in use, the limit',
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
        loop = asyncio.get_running_loop()
        try:
            host, port = _server.split_address(self.address)
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                _, connection = await loop.create_connection(
                    lambda: _target.TargetConnection(
                        signal, self._answer_budget
                    ),
                    host,
                    port,
                )
        except TimeoutError:
            raise self._make_error(
                _failures.Reason.CONNECT_FAILED, 'connect timed out'
            ) from None
        except OSError as error:
            raise self._make_error(
                _failures.Reason.CONNECT_FAILED, str(error.strerror or error)
            ) from error
        except (OverflowError, ValueError) as error:
            raise self._make_error(
                _failures.Reason.CONNECT_FAILED, f'no address: {error}'
            ) from error
        connection.on_idle_event = self._drop_idle
        connection.transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        return connection

    async def is_listening(self, timeout_s: float) -> bool:
        """Return whether the target accepts a new connection."""
        return await is_listening(self.address, timeout_s)

    def _make_error(
        self, reason: _failures.Reason, detail: str
    ) -> _failures.TargetError:
        return _failures.TargetError(
            reason, _failures.Progress.NOT_SENT, f'{self.address}: {detail}'
        )

    def release(self, connection: _target.TargetConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        self.in_use -= 1
        is_full = (
            self.in_use + len(self._idle) >= self.limit
            or len(self._idle) >= self.idle_limit
        )
        if is_full or not connection.is_reusable():
            connection.signal = None
            connection.on_idle_event = None
            connection.abort()
            return
        connection.park()
        self._idle.append(connection)

    def _drop_idle(self, connection: _target.TargetConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
        connection.abort()

    def close_idle(self, before: float) -> None:
        """Close the connections that became idle at `before` or earlier."""
        kept = []
        for connection in self._idle:
            if connection.idle_since <= before:
                connection.abort()
            else:
                kept.append(connection)
        self._idle = kept


class TargetPools:
    """Connection pools by target address; a context manager.

    All pools of a process share one `answer_budget`.
    """

    def __init__(
        self, answer_budget: intake.AnswerBudget | None = None
    ) -> None:
        self._answer_budget = answer_budget or intake.AnswerBudget()
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

    def get(
        self, address: str, limit: int, idle_limit: int | None = None
    ) -> TargetPool:
        """Return the pool of a target and set its limits."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = TargetPool(
                address, limit, idle_limit, self._answer_budget
            )
        else:
            pool.set_limit(limit, idle_limit)
        return pool

    def has_idle(self, address: str) -> bool:
        """Return whether there are idle connections to a target."""
        pool = self._pools.get(address)
        return pool is not None and pool.idle > 0

    async def is_listening(self, address: str, timeout_s: float) -> bool:
        """Return whether a target accepts a new connection."""
        return await is_listening(address, timeout_s)

    def set_limits(
        self,
        limits: Mapping[str, int],
        idle_limits: Mapping[str, int] | None = None,
    ) -> None:
        """Set the limits of all targets.

        Targets that are not listed lose their idle connections.
        """
        if idle_limits is None:
            idle_limits = limits
        for address, pool in self._pools.items():
            limit = limits.get(address, pool.in_use)
            idle_limit = idle_limits.get(address, 0)
            if (pool.limit, pool.idle_limit) != (limit, idle_limit):
                pool.set_limit(limit, idle_limit)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = loop.time()
            for address, pool in list(self._pools.items()):
                pool.close_idle(now - pool.idle_timeout_s)
                if not pool.in_use and not pool.idle:
                    del self._pools[address]


async def is_listening(address: str, timeout_s: float) -> bool:
    """Return whether an address accepts a connection, which is closed."""
    try:
        host, port = _server.split_address(address)
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, port)
    except (TimeoutError, OSError, OverflowError, ValueError):
        return False
    writer.transport.abort()
    return True
