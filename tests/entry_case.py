"""A test case with an entry, a fake leader and fake targets."""

import asyncio
from collections.abc import Callable
import contextlib
import json
import unittest

import msgspec

from fulmarseam import entry
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from tests import fakes

TIMEOUT_S = 5.0
POLL_S = 0.005
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
SHED = (
    b'HTTP/1.1 503 X\r\nFulmarseam-Outcome: not-run\r\n'
    b'Content-Length: 0\r\n\r\n'
)


def make_route(**changes: object) -> wire.Route:
    """Return a route that matches every request."""
    values: dict[str, object] = {
        'name': 'r',
        'host': '*',
        'path_prefix': '/',
        'pool': fakes.POOL,
    }
    values.update(changes)
    return wire.Route(**values)  # type: ignore[arg-type]


class Answer:
    """A parsed response."""

    def __init__(self, data: bytes) -> None:
        head, _, self.body = data.partition(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        self.data = data
        self.status = int(lines[0].split()[1]) if data else 0
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines[1:])
        }

    @property
    def kind(self) -> str:
        """Return the error kind of a response made by the entry."""
        return self.headers.get('fulmarseam-kind', '')

    @property
    def outcome(self) -> str:
        """Return the outcome that the response states."""
        return self.headers.get('fulmarseam-outcome', '')

    def describe(self) -> tuple[int, str, str]:
        """Return status, kind and outcome."""
        return self.status, self.kind, self.outcome


class EntryCase(unittest.IsolatedAsyncioTestCase):
    """Runs one entry with a fake leader."""

    rows: list[wire.Row] = [wire.Pool(name=fakes.POOL), make_route()]
    changes: dict[str, object] = {}

    async def asyncSetUp(self) -> None:
        self.leader = await self.enterAsyncContext(
            fakes.FakeLeader(list(self.rows))
        )
        self.options = fakes.make_options(self.leader, **self.changes)
        self.entry = self.start_entry(self.options)
        await self.wait_until(lambda: self.entry.state.tables.revision > 0)

    def start_entry(self, options: settings.EntrySettings) -> entry.Entry:
        """Start an entry that is stopped at the end of the test."""
        made = entry.Entry(options, telemetry.Tracer(None))
        task = asyncio.create_task(made.run())

        async def stop() -> None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

        self.addAsyncCleanup(stop)
        return made

    async def wait_until(self, check: Callable[[], object]) -> None:
        """Wait for a condition for a bounded time."""
        for _ in range(int(TIMEOUT_S / POLL_S)):
            if check():
                return
            await asyncio.sleep(POLL_S)
        self.fail('the condition did not become true in time')

    async def start_target(
        self,
        behaviour: fakes.Behaviour,
        name: str = 't1',
        slots: int = 4,
    ) -> fakes.FakeTarget:
        """Start a target and announce it to the leader."""
        target = await self.enterAsyncContext(fakes.FakeTarget(behaviour))
        self.announce(target.make_report(name, slots))
        await self.wait_until(lambda: self.is_usable(name))
        return target

    async def strike(self, fingerprint: bytes, target: str) -> None:
        """Let another entry report a strike; wait until this one knows."""
        await self.leader.handle(
            wire.SuspectReport(
                strikes=[wire.Strike(fingerprint, ids.TargetId(target))]
            )
        )
        await self.wait_until(self.entry.crash_guard.list_rows)

    def announce(self, report: wire.TargetReport) -> None:
        """Record an announcement at the leader and request a sync."""
        self.leader.targets.record(
            asyncio.get_running_loop().time(), report, 0
        )
        self.entry.synchronizer.request_now()

    def is_usable(self, name: str) -> bool:
        """Return whether the entry has a free slot on a target."""
        now = asyncio.get_running_loop().time()
        found = self.entry.state.targets.get(name)  # type: ignore[arg-type]
        free = self.entry.state.slots.count_free(
            now,
            name,  # type: ignore[arg-type]
        )
        return found is not None and free > 0

    async def connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to a listener of the entry."""
        host, port = address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, data: bytes, address: str = '') -> Answer:
        """Send bytes and return all that comes back until the close."""
        reader, writer = await self.connect(address or self.options.listen)
        writer.write(data)
        async with asyncio.timeout(TIMEOUT_S):
            return Answer(await reader.read())

    async def call(
        self,
        path: str = '/',
        method: str = 'GET',
        body: bytes = b'',
        headers: str = '',
    ) -> Answer:
        """Send one request to the callers' listener."""
        length = f'Content-Length: {len(body)}\r\n' if body else ''
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            f'{headers}{length}\r\n'
        )
        return await self.exchange(head.encode() + body)

    async def call_api(
        self, path: str, content: object = None, headers: str = ''
    ) -> tuple[Answer, object]:
        """Send one request to the api listener; returns also its JSON."""
        body = b'' if content is None else msgspec.json.encode(content)
        method = 'GET' if content is None else 'POST'
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            f'{headers}Content-Length: {len(body)}\r\n\r\n'
        )
        answer = await self.exchange(head.encode() + body, self.options.api)
        return answer, json.loads(answer.body) if answer.body else None


def compute_fingerprint(method: str, host: str, path: str) -> bytes:
    """Return the fingerprint of a request without key and body."""
    return steering.compute_fingerprint(method, host, path, b'', b'').full
