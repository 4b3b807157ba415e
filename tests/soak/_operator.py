"""The operator of the soak: it moves a route and evacuates a domain."""

import asyncio
import json
import random
import time
from typing import Any

from tests.soak import _callers
from tests.soak import _calls
from tests.soak import _record
from tests.soak import _system
from tests.soak import _targets

# Range of the time between two changes.
MOVE_GAP_S = (0.3, 2.5)
FIRST_VERSION = 7
# A command is retried on other members until it is acknowledged.
ACKNOWLEDGE_TIMEOUT_S = 30.0
EVACUATE_AT_S = 4.0
EVACUATION_PATH = f'/api/evacuate/{_system.EVACUATED}'
# Lasts longer than the 5 s in which an evacuation must take effect, and than
# a member is paused.
EVACUATE_FOR_S = 9.0
# Range of the time between two evacuations: shorter than a pause, so that a
# withdrawal that waited in a paused member meets the next evacuation.
EVACUATE_GAP_S = (0.1, 0.6)


def make_route(name: str, path: str, pool: str, version: int) -> Any:
    """Return a route as the platform's API expects it."""
    is_write = path == _callers.WRITE_PATH
    return {
        'name': name,
        'pathPrefix': path,
        'type': 'non_idempotent' if is_write else 'idempotent',
        'timeout': '1500ms',
        'targetLatency': '300ms',
        'priority': 0 if is_write else 2,
        'service': pool,
        'maxAttempts': 2,
        'sessionAffinity': True,
        'allowedRegions': [],
        'version': version,
    }


def find_pool(version: int) -> str:
    """Return the pool to which a version moves the route."""
    return _targets.POOLS[version % len(_targets.POOLS)]


class Operator:
    """Sends commands to any member until they are acknowledged."""

    def __init__(self, system: _system.System, record: _record.Record) -> None:
        self._system = system
        self._record = record
        self._version = FIRST_VERSION

    async def set_up(self) -> None:
        """Send the first configuration."""
        services = [
            {
                'name': pool,
                'healthPath': '/health',
                'maxConns': 200,
                'warmup': '1s',
                'warmupPerS': 20.0,
                'version': FIRST_VERSION,
            }
            for pool in _targets.POOLS
        ]
        routes = [
            make_route('read', _callers.READ_PATH, 'alpha', FIRST_VERSION),
            make_route('write', _callers.WRITE_PATH, 'beta', FIRST_VERSION),
            self._make_next_move(FIRST_VERSION),
        ]
        limits = {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 1_000_000,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
            'version': FIRST_VERSION,
        }
        upsert = {
            'services': services,
            'limits': limits,
            'hosts': [{'host': _callers.HOST, 'paths': routes}],
        }
        await self._send_until_acknowledged(
            'PATCH', '/api/config', {'upsert': upsert}
        )
        self._record.acknowledged[FIRST_VERSION] = time.monotonic()

    def _make_next_move(self, version: int) -> Any:
        pool = find_pool(version)
        self._record.moves.append(
            _record.Move(version, pool, time.monotonic())
        )
        return make_route('move', _callers.MOVE_PATH, pool, version)

    async def move_repeatedly(self) -> None:
        """Move the route to the next pool again and again."""
        while True:
            await asyncio.sleep(random.uniform(*MOVE_GAP_S))
            await self.move()

    async def move(self) -> None:
        """Move the route to the next pool."""
        self._version += random.randint(1, 2)
        version = self._version
        paths = [self._make_next_move(version)]
        upsert = {'hosts': [{'host': _callers.HOST, 'paths': paths}]}
        if await self._send_until_acknowledged(
            'PATCH', '/api/config', {'upsert': upsert}
        ):
            self._record.acknowledged[version] = time.monotonic()

    async def evacuate_repeatedly(self) -> None:
        """Evacuate a failure domain again and again."""
        await asyncio.sleep(EVACUATE_AT_S)
        while await self.evacuate():
            started = time.monotonic()
            try:
                await asyncio.sleep(EVACUATE_FOR_S)
            finally:
                self._record.evacuations.append(
                    (_system.EVACUATED, started, time.monotonic())
                )
            await self._send_until_acknowledged('DELETE', EVACUATION_PATH)
            await asyncio.sleep(random.uniform(*EVACUATE_GAP_S))

    async def evacuate(self) -> bool:
        """Evacuate the failure domain; return whether it is acknowledged."""
        return await self._send_until_acknowledged('POST', EVACUATION_PATH)

    async def _send_until_acknowledged(
        self, method: str, path: str, body: Any = None
    ) -> bool:
        """Retry a command until it is acknowledged; return whether it was."""
        data = b'' if body is None else json.dumps(body).encode()
        deadline = time.monotonic() + ACKNOWLEDGE_TIMEOUT_S
        while time.monotonic() < deadline:
            api = self._system.choose_apis()[0]
            reply = await _calls.call(api, method, path, data)
            if reply is not None and reply.status == 200:
                return True
            if reply is not None and reply.status in (400, 409, 422):
                self._record.add_finding(
                    f'{method} {path} was refused: {reply.body!r}'
                )
                return False
            await asyncio.sleep(0.1)
        self._record.add_finding(
            f'{method} {path}: no acknowledgement in {ACKNOWLEDGE_TIMEOUT_S} s'
        )
        return False

    async def read_back(self) -> None:
        """Record the routes in force, by name."""
        deadline = time.monotonic() + ACKNOWLEDGE_TIMEOUT_S
        while time.monotonic() < deadline:
            api = random.choice(self._system.list_apis())
            reply = await _calls.call(api, 'GET', '/api/config')
            if reply is not None and reply.status == 200:
                answer = json.loads(reply.body)
                self._record.read_back = {
                    route['name']: route
                    for host in answer['hosts']
                    for route in host['paths']
                }
                return
            await asyncio.sleep(0.1)
