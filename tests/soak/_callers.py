"""Callers of the soak, which check every response."""

import asyncio
import contextlib
import json
import random
import time
import uuid

from tests.soak import _calls
from tests.soak import _record
from tests.soak import _system
from tests.soak import _targets

HOST = 'shop.example'
READ_PATH = '/read/'
WRITE_PATH = '/write/'
MOVE_PATH = '/move/'
LETHAL_PATH = f'{READ_PATH}{_targets.LETHAL_NAME}'
# Deadline that callers send, as on the users' shortest routes.
DEADLINE_S = 1.5
# Time after the deadline in which a caller still accepts a response.
RESPONSE_SLACK_S = 0.5
REQUEST_GAP_S = (0.03, 0.15)
# Few affinity keys, so that requests repeat them; most connections are
# reused.
OBJECTS = 20
REUSE_SHARE = 0.8
STATUS_NOT_RUN = (408, 421, 429, 503)


async def send_lethal_requests(
    system: _system.System, interval_s: float
) -> None:
    """Send copies of a request that ends its targets, at any entry."""
    while True:
        await asyncio.sleep(interval_s)
        await _calls.call(
            random.choice(system.list_entries()),
            'GET',
            LETHAL_PATH,
            headers={'host': HOST, 'x-request-id': uuid.uuid4().hex},
        )


class Caller:
    """Sends one request after the other, partly on reused connections."""

    def __init__(
        self,
        number: int,
        system: _system.System,
        record: _record.Record,
    ) -> None:
        self._domain = _system.find_domain(number)
        self._system = system
        self._record = record
        self._addresses: list[str] = []
        self._lookup_expires_at = 0.0
        self._entry = ''
        self._connection: _calls.Connection | None = None
        self.is_stopping = False

    async def run(self) -> None:
        """Send requests until `is_stopping` is set."""
        while not self.is_stopping:
            await asyncio.sleep(random.uniform(*REQUEST_GAP_S))
            if time.monotonic() >= self._lookup_expires_at:
                await self._look_up()
            if self._addresses:
                await self._send()

    async def _look_up(self) -> None:
        region = _system.DOMAINS[self._domain]
        path = f'/api/resolve?name={HOST}&region={region}&zone={self._domain}'
        lookups = self._system.list_lookups()
        for address in random.sample(lookups, len(lookups)):
            reply = await _calls.call(address, 'GET', path)
            if reply is not None and reply.status == 200:
                answer = json.loads(reply.body)
                self._addresses = answer['addresses']
                lifetime_ms = float(answer['ttl'].removesuffix('ms'))
                self._lookup_expires_at = (
                    time.monotonic() + lifetime_ms / 1_000
                )
                return

    async def _connect(self) -> _calls.Connection | None:
        """Return the reused connection or a new one; None on failure."""
        kept = self._connection
        self._connection = None
        if kept is not None and kept.is_open:
            if self._entry in self._addresses:
                if random.random() < REUSE_SHARE:
                    return kept
            kept.close()
        self._entry = random.choice(self._addresses)
        connection = _calls.Connection(self._entry)
        try:
            await connection.open(1.0)
        except OSError:
            # Callers use only the other addresses until the next lookup.
            self._addresses.remove(self._entry)
            return None
        return connection

    async def _send(self) -> None:
        connection = await self._connect()
        if connection is None:
            return
        path = random.choice((READ_PATH, WRITE_PATH, MOVE_PATH))
        request = uuid.uuid4().hex
        key = random.randint(1, OBJECTS)
        body = b'x' * 200 if path == WRITE_PATH else b''
        sent_at = time.monotonic()
        reply: _calls.Reply | None = None
        was_cut = True
        try:
            async with asyncio.timeout(DEADLINE_S + RESPONSE_SLACK_S):
                reply = await connection.exchange(
                    'POST' if body else 'GET',
                    f'{path}{request}',
                    {
                        'host': HOST,
                        'x-request-id': request,
                        'x-deadline-ms': str(int(DEADLINE_S * 1_000)),
                        'cookie': f'X-Affinity-Key={key}',
                    },
                    body,
                )
        except TimeoutError:
            was_cut = False
            connection.close()
        except (OSError, asyncio.IncompleteReadError):
            connection.close()
        target = ''
        if reply is not None:
            target = self._check(request, body, reply)
            self._connection = connection
        self._record.calls.append(
            _record.Call(
                request,
                self._system.find_entry(self._entry),
                path,
                path != WRITE_PATH,
                sent_at,
                time.monotonic(),
                reply.status if reply is not None else 0,
                target,
                was_cut=reply is None and was_cut,
            )
        )
        if reply is not None and reply.status in STATUS_NOT_RUN:
            pause_s = float(reply.headers.get('retry-after', '0.1'))
            with contextlib.suppress(ValueError):
                await asyncio.sleep(min(pause_s, DEADLINE_S / 3))

    def _check(self, request: str, body: bytes, reply: _calls.Reply) -> str:
        """Check that a response is complete and belongs to this request.

        Returns the target that sent it.
        """
        stamp = reply.headers.get('x-server-stamp', '')
        if reply.status >= 300:
            if stamp:
                self._record.add_finding(
                    f'{request}: found status {reply.status} with the stamp '
                    f'{stamp} of a target'
                )
            return ''
        target, _, rest = stamp.partition('|')
        if rest.partition('|')[2] != request:
            self._record.add_finding(
                f'{request}: found an answer stamped {stamp!r}'
            )
        if reply.body != _targets.sign(request, body):
            self._record.add_finding(
                f'{request}: found a body of another request'
            )
        return target
