"""Entries whose targets end while they run certain requests."""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
from typing import NamedTuple

from tests import catalog_fixtures as fixtures
from tests import gateway_case
from tests import rate_limit_case

# Time after the third end from which on arrivals count as late.
SETTLE_S = 3.0
# Bounds of the operators on a request that ends the targets that run it.
MAX_LATE_ARRIVALS = 3
MAX_ENDS = 6
MIN_SERVED_SHARE = 0.9

LETHAL_PATH = '/r/lethal'
END_DELAY_S = 0.03
RESTART_S = 3.0
SERVICE_S = 0.02
RESPONSE_TIMEOUT_S = 10.0
DEFAULT_HEADERS = 'cookie: fulmarseam-object=7\r\n'


def _make_default_headers(number: int) -> str:
    return DEFAULT_HEADERS


class CrashTarget:
    """A target that ends while it runs a request for a lethal path.

    A path may be lethal with certain cookies only. The target is back at its
    address some seconds later, under another id.
    """

    def __init__(
        self, case: 'CrashCase', name: str, lethal_paths: set[str]
    ) -> None:
        self._case = case
        self._name = name
        self._lethal_paths = lethal_paths
        self._incarnations = itertools.count(1)
        self._id = ''
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._loop = asyncio.get_running_loop()
        self.service_s = SERVICE_S
        self.ends: list[float] = []
        self.lethal_arrivals: list[float] = []

    async def start(self) -> None:
        """Listen, and announce a new incarnation."""
        born_ms = next(self._incarnations)
        self._id = f'{self._name}.{born_ms}'
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self._port
        )
        host, self._port = self._server.sockets[0].getsockname()
        await self._case.member.announce(
            fixtures.make_record(
                self._id,
                address=f'{host}:{self._port}',
                slots=20,
                born_ms=born_ms,
            )
        )

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def end(self) -> None:
        """End the incarnation, and start the next one some seconds later."""
        self.ends.append(self._loop.time())
        self.stop()
        self._case.spawn(self._restart())

    async def _restart(self) -> None:
        await asyncio.sleep(RESTART_S)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        current_id = self._id
        with contextlib.suppress(ConnectionError):
            while (found := await gateway_case.read_head(reader)) is not None:
                line, headers = found
                await reader.readexactly(int(headers.get('content-length', 0)))
                if headers['fulmarseam-target'] != current_id:
                    await gateway_case.write_response(
                        writer, headers, 421, b''
                    )
                    continue
                await self._run(line.split()[1], writer, headers)
        self._writers.discard(writer)
        writer.close()

    async def _run(
        self,
        path: str,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
    ) -> None:
        current_id = self._id
        lethal_cookies = self._case.lethal_cookies
        if path not in self._lethal_paths or (
            lethal_cookies and headers.get('cookie') not in lethal_cookies
        ):
            await asyncio.sleep(self.service_s)
            await gateway_case.write_response(writer, headers)
            return
        self.lethal_arrivals.append(self._loop.time())
        await asyncio.sleep(END_DELAY_S)
        if current_id == self._id and not writer.is_closing():
            self.end()


class Reply(NamedTuple):
    """An answer with the time of the call, and how long it took."""

    called_at: float
    elapsed_s: float
    status: int
    headers: dict[str, str]


class CrashCase(rate_limit_case.RateLimitCase):
    """Runs a control member, entries and targets that may end."""

    entry_count = 4
    target_count = 6
    idempotent = True

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self._spawned: set[asyncio.Task[None]] = set()
        self.lethal_paths = {LETHAL_PATH}
        # Any cookie is lethal if this is empty.
        self.lethal_cookies: set[str] = set()
        await self.put_items(idempotent=self.idempotent, max_attempts=3)
        self.crash_targets = [
            CrashTarget(self, f't{number}', self.lethal_paths)
            for number in range(self.target_count)
        ]
        for target in self.crash_targets:
            await target.start()
        await self.start_entries(self.entry_count)
        self._request_ids = itertools.count()

    async def asyncTearDown(self) -> None:
        for task in self._spawned:
            task.cancel()
        await asyncio.gather(*self._spawned, return_exceptions=True)
        for target in self.crash_targets:
            target.stop()
        await super().asyncTearDown()

    def spawn(self, work) -> None:
        """Run work in the background until the test ends."""
        task = asyncio.create_task(work)
        self._spawned.add(task)
        task.add_done_callback(self._spawned.discard)

    async def call(
        self,
        entry: int,
        path: str,
        body: bytes = b'',
        method: str = 'GET',
        headers: str = DEFAULT_HEADERS,
    ) -> Reply:
        """Send a request with a new id to an entry."""
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        host, _, port = self.addresses[entry].rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f'{method} {path} HTTP/1.1\r\nhost: shop.example\r\n'
            f'{headers}'
            f'fulmarseam-request-id: q{next(self._request_ids)}\r\n'
            f'content-length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            found = await gateway_case.read_head(reader)
        writer.close()
        assert found is not None, 'the connection ended without an answer'
        line, headers = found
        return Reply(
            called_at,
            loop.time() - called_at,
            int(line.split()[1]),
            headers,
        )

    async def call_repeatedly(
        self,
        path: str,
        interval_s: float,
        duration_s: float,
        choose_entry,
        body: bytes = b'',
        make_headers: Callable[[int], str] = _make_default_headers,
    ) -> list[Reply]:
        """Send a request at each interval; return the answers.

        `choose_entry` gets the number of the call and returns its entry, and
        `make_headers` the header lines that differ between calls.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        calls = []
        for number in range(int(duration_s / interval_s)):
            due_at = started_at + number * interval_s
            await asyncio.sleep(max(0.0, due_at - loop.time()))
            calls.append(
                asyncio.create_task(
                    self.call(
                        choose_entry(number),
                        path,
                        body,
                        headers=make_headers(number),
                    )
                )
            )
        return await asyncio.gather(*calls)

    async def restart_entries(self) -> None:
        """Kill all entries, and start others at their addresses."""
        for run in self._runs:
            run.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)
        self._runs.clear()
        options = [entry.options for entry in self.entries]
        self.entries.clear()
        for entry_options in options:
            self.start_entry(entry_options)
        await self.wait_until_ready()

    def list_ends(self) -> list[float]:
        """Return when targets ended."""
        return sorted(
            end for target in self.crash_targets for end in target.ends
        )

    def count_late_arrivals(self) -> int:
        """Return the lethal requests that reached targets too late."""
        ends = self.list_ends()
        if len(ends) < 3:
            return 0
        return sum(
            arrival > ends[2] + SETTLE_S
            for target in self.crash_targets
            for arrival in target.lethal_arrivals
        )
