"""Entries, a control member and targets that name rate limits."""

import asyncio
import contextlib
import pathlib
import tempfile
from typing import ClassVar
import unittest

from fulmarseam import catalog
from fulmarseam import control
from fulmarseam import gateway
from fulmarseam import ids
from fulmarseam import settings
from tests import catalog_fixtures as fixtures
from tests import fakes
from tests import gateway_case

MEMBER_HOST = '127.0.8.1'
START_TIMEOUT_S = 15.0


class LimitedTarget:
    """A target that names `rate_per_s` in its answers, if that is set.

    `value` is named instead if it is set, whatever it is.
    """

    def __init__(self, service_s: float = 0.02) -> None:
        self.rate_per_s: float | None = None
        self.value: str | None = None
        self.is_refusing = False
        self.is_leaving = False
        self.arrivals: list[float] = []
        self.server = gateway_case.Target(self._serve)
        self._service_s = service_s

    async def _serve(self, reader, writer, headers) -> None:
        self.arrivals.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self._service_s)
        extra = {}
        value = self.value
        if value is None and self.rate_per_s is not None:
            value = f'{self.rate_per_s:g}'
        if value is not None:
            extra['fulmarseam_rate_limit'] = value
        if self.is_leaving:
            extra['fulmarseam_leaving'] = '1'
        if self.is_refusing:
            await gateway_case.write_response(
                writer, headers, 503, b'', fulmarseam_not_run='1', **extra
            )
            return
        await gateway_case.write_response(writer, headers, **extra)


class Caller:
    """Sends requests to one entry, each on a new connection.

    The ids of the requests begin with `name`.
    """

    def __init__(self, address: str, name: str = 'e') -> None:
        self.address = address
        self.name = name
        self.statuses: list[int] = []
        self.retry_after_s: list[float] = []
        # How long each refusal took.
        self.refusal_s: list[float] = []
        # Further header lines of the requests.
        self.headers = ''
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self, rate_per_s: float, duration_s: float) -> None:
        """Start requests at a rate, and wait for the answers."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for number in range(int(rate_per_s * duration_s)):
            due_at = started_at + number / rate_per_s
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            task = asyncio.create_task(self._call(number))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
        await asyncio.gather(*self._calls)

    async def finish(self) -> None:
        """Wait for the answers to all requests so far."""
        await asyncio.gather(*self._calls, return_exceptions=True)

    async def _call(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f'GET /r/x HTTP/1.1\r\nhost: shop.example\r\n'
            f'fulmarseam-request-id: {self.name}.q{number}\r\n'
            f'{self.headers}\r\n'.encode()
        )
        async with asyncio.timeout(10.0):
            found = await gateway_case.read_head(reader)
        writer.close()
        assert found is not None, 'the connection ended without an answer'
        line, headers = found
        self.statuses.append(int(line.split()[1]))
        if 'retry-after' in headers:
            self.retry_after_s.append(float(headers['retry-after']))
            self.refusal_s.append(loop.time() - started_at)


class RateLimitCase(unittest.IsolatedAsyncioTestCase):
    """Runs a control member and entries that share the targets."""

    # Regions of entries that are not in "ost".
    entry_regions: ClassVar[dict[str, str]] = {}
    # Interval of announcements, in seconds. Tests that announce targets only
    # once need a long one.
    heartbeat_s = 20.0
    # Whether entries start for the first time.
    is_first_start = True

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.stack = contextlib.AsyncExitStack()
        self.peer_port = int(fakes.find_free_address().rpartition(':')[2])
        self._member_stack = await self.stack.enter_async_context(
            contextlib.AsyncExitStack()
        )
        self.member = await self._member_stack.enter_async_context(
            control.CatalogMember(
                self._make_member_options(pathlib.Path(directory.name))
            )
        )
        self.entries: list[gateway.Gateway] = []
        self.addresses: list[str] = []
        self._runs: list[asyncio.Task[None]] = []
        self.targets: list[gateway_case.Target] = []

    async def asyncTearDown(self) -> None:
        await self.stop_entries()
        for target in self.targets:
            target.stop()
        await self.stack.aclose()

    async def stop_entries(self) -> None:
        """End all entries at once, as when their processes are killed."""
        for run in self._runs:
            run.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)
        self._runs.clear()
        self.entries.clear()
        self.addresses.clear()

    async def stop_member(self) -> None:
        """Stop the control member."""
        await self._member_stack.aclose()

    def _make_member_options(
        self, directory: pathlib.Path
    ) -> settings.CatalogSettings:
        return settings.CatalogSettings(
            host=ids.HostId('core-1'),
            region=fixtures.region('ost'),
            failure_domain=fixtures.domain('ost-wien'),
            domains={},
            data_dir=str(directory),
            listen=f'{MEMBER_HOST}:{self.peer_port}',
            api=f'{MEMBER_HOST}:1',
            lookups=f'{MEMBER_HOST}:2',
            seeds=[f'{MEMBER_HOST}:1'],
            peer_port=self.peer_port,
            first_start=True,
            tolerated_hosts=0,
            heartbeat=self.heartbeat_s,
        )

    async def start_entries(self, count: int) -> None:
        """Start entries, and wait until they have the catalog."""
        for _ in range(count):
            options = self._make_entry_options(f'e{len(self.entries)}')
            self.addresses.append(options.listen)
            self.start_entry(options)
        await self.wait_until_ready()

    def start_entry(self, options: settings.GatewaySettings) -> None:
        """Start an entry with its settings."""
        entry = gateway.Gateway(options, gateway.HttpNames())
        self.entries.append(entry)
        self._runs.append(asyncio.create_task(entry.run()))

    async def wait_until_ready(self) -> None:
        """Wait until all entries have the catalog."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                if all(entry.is_ready() for entry in self.entries):
                    return
                await asyncio.sleep(0.05)

    def _make_entry_options(self, host: str) -> settings.GatewaySettings:
        region = self.entry_regions.get(host, 'ost')
        return settings.GatewaySettings(
            host=ids.HostId(host),
            region=fixtures.region(region),
            failure_domain=fixtures.domain('ost-wien'),
            domains={},
            listen=fakes.find_free_address(),
            readiness=fakes.find_free_address(),
            seeds=[f'{MEMBER_HOST}:1'],
            peer_port=self.peer_port,
            first_start=self.is_first_start,
        )

    async def put_items(self, **route: object) -> None:
        """Configure one pool and one route at `/r/`."""
        items = [
            fixtures.make_pool('katalog', 1),
            fixtures.make_route('r', 1, **route),
        ]
        await self.member.submit(
            catalog.PutItems(items=items, digest=b'first'),
            START_TIMEOUT_S,
        )

    async def add_target(self, name: str, target: LimitedTarget) -> None:
        """Start a target and announce it."""
        await target.server.start()
        self.targets.append(target.server)
        await self.member.announce(
            fixtures.make_record(
                name, address=target.server.address, slots=20, born_ms=1
            )
        )

    def make_callers(self) -> list[Caller]:
        """Return a caller of each entry."""
        return [Caller(address) for address in self.addresses]
