"""Targets of the soak: they announce themselves and run requests."""

import asyncio
from collections.abc import Callable
import contextlib
import json
import random
import time

from fulmarseam.standin import _server
from tests import fakes
from tests.soak import _calls
from tests.soak import _plan
from tests.soak import _record
from tests.soak import _system

POOLS = ('alpha', 'beta', 'gamma')
# Nine targets run about 500 requests a second; the callers send about 100.
SLOTS = 4
QUEUE_LIMIT = 8
SERVICE_TIME_S = (0.02, 0.12)
# Factor on the service time; the slowest run takes 1 s, within the
# deadline of callers.
SLOW_FACTOR = 8.0
# A request for a path that ends so ends the target that runs it.
LETHAL_NAME = 'lethal'
LETHAL_RUN_S = 0.03
RESTART_S = 3.0
# A target that pauses refuses requests for this long.
REFUSE_S = 1.0
# Callers send each target about 11 requests a second.
RATE_LIMITS_PER_S = (1.0, 3.0)
# A target keeps serving this long after its leave was acknowledged.
LEAVE_SERVE_S = 4.0
# A target that announces no drain serves this long after its leave.
SERVE_ON_S = 2.6
# A late announcement arrives this long after the leave. Silent targets are
# dropped after 4 s.
LATE_AFTER_SILENCE_S = 5.5
LATE_AFTER_LEAVE_S = 2.2
# A target of another pool may reuse an address after this time.
ADDRESS_REUSE_S = 2.0


class _Incarnation:
    """One incarnation of a target, which runs requests."""

    def __init__(
        self,
        target: str,
        pool: str,
        domain: str,
        record: _record.Record,
        end: Callable[[], None],
    ) -> None:
        self.target = target
        self.pool = pool
        self.domain = domain
        self.born_ms = int(time.time() * 1_000)
        self.sequence = 0
        self.state = 'ready'
        self.slowdown = 1.0
        self.is_shedding = False
        self.rate_limit_per_s: float | None = None
        self.is_leaving = False
        self.ended = asyncio.Event()
        # Named in refusals of all requests, if set.
        self.pause_s = 0.0
        self._record = record
        self._end = end
        self._slots = asyncio.Semaphore(SLOTS)
        self._request_count = 0

    async def handle(
        self, request: _server.ServerRequest
    ) -> _server.ServerResponse:
        """Run a request, or respond that it was not run."""
        headers = {
            'X-Request-Id': request.headers.get('x-request-id', ''),
            'X-Server-Load': f'{min(self._request_count, SLOTS)},'
            f'{max(0, self._request_count - SLOTS)},{SLOTS}',
        }
        if request.headers.get('x-expect-instance') != self.target:
            return _server.ServerResponse(421, {**headers}, b'')
        self._record.arrivals.append(
            _record.Arrival(
                self.target,
                time.monotonic(),
                request.headers.get('x-request-id', ''),
            )
        )
        if request.path.endswith(LETHAL_NAME):
            self._record.lethal_arrivals.append(time.monotonic())
            self._end()
            await asyncio.sleep(RESTART_S)
        if self.rate_limit_per_s is not None:
            headers['Server-Limit'] = f'{self.rate_limit_per_s:g}'
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        if self.pause_s:
            self._note(request, self.pause_s)
            headers['Retry-After'] = f'{self.pause_s:g}'
            return _server.ServerResponse(
                503, {**headers, 'X-Not-Executed': '1'}, b''
            )
        if self.is_shedding or self._request_count >= SLOTS + QUEUE_LIMIT:
            return _server.ServerResponse(
                503, {**headers, 'X-Not-Executed': '1'}, b''
            )
        self._request_count += 1
        try:
            async with self._slots:
                response = await self._run(request, headers)
                if 'Server-Leaving' in headers:
                    self._note(request)
                return response
        finally:
            self._request_count -= 1

    def _note(
        self, request: _server.ServerRequest, pause_s: float = 0.0
    ) -> None:
        self._record.notices.append(
            _record.Notice(
                request.headers.get('x-request-id', ''),
                self.target,
                self.target.rpartition('-')[0],
                time.monotonic(),
                pause_s,
            )
        )

    async def _run(
        self, request: _server.ServerRequest, headers: dict[str, str]
    ) -> _server.ServerResponse:
        name = request.headers.get('x-request-id', '')
        self._record.runs.append(
            _record.Run(
                name, self.target, self.pool, self.domain, time.monotonic()
            )
        )
        await asyncio.sleep(random.uniform(*SERVICE_TIME_S) * self.slowdown)
        headers['X-Server-Stamp'] = f'{self.target}|{self.pool}|{name}'
        return _server.ServerResponse(200, headers, sign(name, request.body))


def sign(request: str, body: bytes) -> bytes:
    """Return the body of the response to a request."""
    return f'{request}:{len(body)}:'.encode() + request.encode() * 20


class TargetHost:
    """Runs the incarnations of one target, one after the other.

    `pools` holds the pool of each target of the soak, by name.
    """

    def __init__(
        self,
        number: int,
        system: _system.System,
        record: _record.Record,
        pools: dict[str, str],
    ) -> None:
        self.name = f'target-{number}'
        self._number = number
        self._system = system
        self._record = record
        self._listen_address = fakes.find_free_address()
        self._proxy_address = fakes.find_free_address()
        # Each pool has targets in all failure domains.
        self._pools = pools
        self._pools[self.name] = POOLS[number // len(POOLS) % len(POOLS)]
        self._starts = 0
        self._current: _Incarnation | None = None
        self._server: _server.Server | None = None
        self._announcing: asyncio.Task[None] | None = None
        self._ending: asyncio.Task[None] | None = None
        self.control = asyncio.Lock()
        system.add_link(self.name, self._proxy_address, self._listen_address)

    async def start(
        self, keeps_id: bool = False, is_heard: bool = True
    ) -> None:
        """Start a new incarnation, with a new id unless it keeps its own.

        No member hears its announcements unless `is_heard` is set.
        """
        domain = _system.find_domain(self._number)
        if keeps_id:
            self._record.restarted[f'{self.name}-{self._starts}'] = (
                _record.Restart(domain, time.monotonic())
            )
        else:
            self._record.restarted.pop(f'{self.name}-{self._starts}', None)
            self._starts += 1
        self._current = _Incarnation(
            f'{self.name}-{self._starts}',
            self._pools[self.name],
            domain,
            self._record,
            self._end_soon,
        )
        self._server = _server.Server(
            self._listen_address, self._current.handle
        )
        await self._server.__aenter__()
        if is_heard:
            self._announcing = asyncio.create_task(
                self._announce_periodically()
            )

    def _end_soon(self) -> None:
        """End under a lethal request, unless the target ends already."""
        if self._ending is None or self._ending.done():
            self._ending = asyncio.create_task(self._end_and_restart())

    async def _end_and_restart(self) -> None:
        await asyncio.sleep(LETHAL_RUN_S)
        async with self.control:
            started = time.monotonic()
            self._record.lethal_ends.append(started)
            await self.crash()
            await asyncio.sleep(RESTART_S)
            await self.start()
            self._record.disturbances.append(
                _record.Disturbance(
                    self.name, 'lethal', started, time.monotonic()
                )
            )

    async def crash(self) -> None:
        """End without announcing a leave; all connections break."""
        if self._current is not None:
            self._current.ended.set()
        if self._announcing is not None:
            self._announcing.cancel()
        if self._server is not None:
            await self._server.__aexit__()

    async def _announce_periodically(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(_system.HEARTBEAT_S)

    async def _announce(self) -> bool:
        """Announce the current state; return whether it was accepted."""
        current = self._current
        assert current is not None
        current.sequence += 1
        body = {
            'address': self._proxy_address,
            'born': current.born_ms,
            'info': {
                'service': current.pool,
                'version': 'v1',
                'zone': current.domain,
                'slots': SLOTS,
            },
            'status': {
                'state': current.state,
                'sequence': current.sequence,
                'warmupLeft': '0ms',
            },
        }
        return await self._send('PUT', json.dumps(body).encode())

    async def _send(self, method: str, body: bytes) -> bool:
        current = self._current
        assert current is not None
        path = f'/api/instances/{current.target}'
        for api in self._system.choose_apis():
            reply = await _calls.call(api, method, path, body)
            if reply is not None and reply.status < 300:
                return True
        return False

    # Faults

    async def apply(self, fault: _plan.Fault) -> None:
        """Apply a fault until it ends."""
        if fault.kind is _plan.FaultKind.LIMIT:
            await self._name_limit(fault.for_s)
            return
        async with self.control:
            started = time.monotonic()
            await self._inject(fault)
            self._record.disturbances.append(
                _record.Disturbance(
                    self.name,
                    fault.kind.value,
                    started,
                    time.monotonic(),
                    is_planned=fault.kind is _plan.FaultKind.LEAVE,
                )
            )

    async def _name_limit(self, for_s: float) -> None:
        """Name a rate limit; other faults may come meanwhile."""
        current = self._current
        assert current is not None
        if current.rate_limit_per_s is not None:
            return
        rate_per_s = random.choice(RATE_LIMITS_PER_S)
        current.rate_limit_per_s = rate_per_s
        started = time.monotonic()
        # The next incarnation under the same id names no limit.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(for_s):
                await current.ended.wait()
        current.rate_limit_per_s = None
        self._record.limits.append(
            _record.Limit(
                current.target,
                self.name,
                rate_per_s,
                started,
                time.monotonic(),
            )
        )

    async def _inject(self, fault: _plan.Fault) -> None:
        current = self._current
        assert current is not None
        match fault.kind:
            case _plan.FaultKind.KILL:
                await self.crash()
                await asyncio.sleep(fault.for_s)
                await self.start()
            case _plan.FaultKind.REPLACE:
                await self.crash()
                await asyncio.sleep(max(fault.for_s, ADDRESS_REUSE_S))
                self._move_to_next_pool()
                await self.start()
            case _plan.FaultKind.LEAVE:
                await self._leave(current)
                await self.start()
            case _plan.FaultKind.LEAVE_SILENTLY:
                await self._drain(current)
                await asyncio.sleep(LATE_AFTER_SILENCE_S)
                await self._announce_late(current)
                await self.start()
            case _plan.FaultKind.LEAVE_UNHEARD:
                await self.crash()
                await self.start(is_heard=False)
                assert self._current is not None
                if await self._send('DELETE', b''):
                    self._note_leave(self._current)
                await asyncio.sleep(LATE_AFTER_LEAVE_S)
                await self._announce_late(self._current)
                await self.start()
            case _plan.FaultKind.RESTART:
                if self._announcing is not None:
                    self._announcing.cancel()
                await self._send('DELETE', b'')
                await asyncio.sleep(SERVE_ON_S)
                await self.crash()
                await self.start(keeps_id=True)
            case _plan.FaultKind.SLOW:
                current.slowdown = SLOW_FACTOR
                await asyncio.sleep(fault.for_s)
                current.slowdown = 1.0
            case _plan.FaultKind.SAY_LEAVING:
                current.is_leaving = True
                await asyncio.sleep(fault.for_s + LEAVE_SERVE_S)
                await self.crash()
                await asyncio.sleep(1.0)
                await self.start()
            case _plan.FaultKind.SAY_PAUSE:
                current.pause_s = fault.for_s
                await asyncio.sleep(REFUSE_S)
                current.pause_s = 0.0
            case _plan.FaultKind.SHED:
                current.is_shedding = True
                await asyncio.sleep(fault.for_s)
                current.is_shedding = False
            case _:
                await self._system.disturb_link(fault)

    def _move_to_next_pool(self) -> None:
        """Serve another pool, unless the present one depends on this target.

        A pool whose targets are all in the domain that is evacuated cannot
        be served.
        """
        pool = self._pools[self.name]
        others = [
            name
            for name in self._pools
            if name != self.name
            and self._pools[name] == pool
            and _system.find_domain(int(name.rpartition('-')[2]))
            != _system.EVACUATED
        ]
        if others:
            position = (POOLS.index(pool) + 1) % len(POOLS)
            self._pools[self.name] = POOLS[position]

    async def _leave(self, current: _Incarnation) -> None:
        """Announce the leave, keep serving for a while, then end."""
        await self._drain(current)
        await asyncio.sleep(LEAVE_SERVE_S)
        await self._send('DELETE', b'')
        await self.crash()

    async def _drain(self, current: _Incarnation) -> None:
        """Announce the leave, and then nothing more."""
        current.state = 'draining'
        if self._announcing is not None:
            self._announcing.cancel()
        for _ in range(5):
            if await self._announce():
                self._note_leave(current)
                break

    def _note_leave(self, current: _Incarnation) -> None:
        self._record.left[current.target] = time.monotonic()

    async def _announce_late(self, current: _Incarnation) -> None:
        """Deliver two announcements of before; serve on, then end.

        They are as far apart as when they were sent.
        """
        current.state = 'ready'
        current.sequence = max(0, current.sequence - 3)
        await self._announce()
        await asyncio.sleep(_system.HEARTBEAT_S)
        await self._announce()
        await asyncio.sleep(LEAVE_SERVE_S)
        await self.crash()


def make_hosts(
    system: _system.System, record: _record.Record
) -> list[TargetHost]:
    """Return the hosts of all targets."""
    pools: dict[str, str] = {}
    return [
        TargetHost(number, system, record, pools)
        for number in range(1, _plan.TARGETS + 1)
    ]
