"""Fakes of the control leader and the targets of an entry."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any
from typing import Self
from unittest import mock

from fulmarseam import http
from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import quarantine
from fulmarseam import settings
from fulmarseam import store
from fulmarseam import transport
from fulmarseam import wire
from tests import _loopback

POOL = ids.PoolName('katalog')


find_free_address = _loopback.find_free_address


@contextlib.contextmanager
def delay_connections(delay_s: float) -> Iterator[None]:
    """Let each new connection to a target open after a delay."""
    connect = http.TargetPool._connect

    async def connect_late(pool: http.TargetPool, *args: Any) -> Any:
        await asyncio.sleep(delay_s)
        return await connect(pool, *args)

    with mock.patch.object(http.TargetPool, '_connect', connect_late):
        yield


class FakeLeader:
    """A control leader that grants one entry all slots of its targets."""

    def __init__(self, rows: list[wire.Row]) -> None:
        self.address = find_free_address()
        self.revision = 1
        self.changes = [store.make_change(row) for row in rows]
        self.term = 1
        self.age_ms = 0
        self.silent = False
        self.requests: list[wire.SyncRequest] = []
        self.entries: dict[str, wire.EntryRow] = {}
        self.targets = membership.TargetTable()
        self.suspects = quarantine.SuspectRegistry()
        self.slots: dict[str, int] = {}
        self._sequence = 0
        self._news = asyncio.Event()
        self._server = transport.RpcServer(self.address, self.handle)

    async def __aenter__(self) -> Self:
        await self._server.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._server.__aexit__(*exc_info)

    def set_rows(self, rows: list[wire.Row]) -> None:
        """Accept an edit that replaces all rows."""
        self.changes = [store.make_change(row) for row in rows]
        self.revision += 1
        self._news.set()

    async def handle(self, message: wire.Message) -> wire.Message:
        """Answer one request."""
        if self.silent:
            await asyncio.sleep(60)
        if isinstance(message, wire.SuspectReport):
            self._news.set()
            return self.suspects.answer(
                asyncio.get_running_loop().time(), self.term, message
            )
        assert isinstance(message, wire.SyncRequest)
        self.requests.append(message)
        now = asyncio.get_running_loop().time()
        for report, age in zip(
            message.announcements, message.announcement_ages_ms, strict=True
        ):
            self.targets.record(now, report, age)
        self.entries[message.info.entry] = wire.EntryRow(
            info=message.info, draining=message.draining, alive=True
        )
        is_news = (
            message.announcements
            or message.revision < self.revision
            or message.targets_version != self.targets.version
        )
        if not is_news and message.wait_ms:
            self._news.clear()
            try:
                async with asyncio.timeout(message.wait_ms / 1_000):
                    await self._news.wait()
            except TimeoutError:
                pass
        return self._make_answer(message)

    def _make_answer(self, request: wire.SyncRequest) -> wire.SyncResponse:
        now = asyncio.get_running_loop().time()
        self.targets.expire(now)
        news = self.targets.changes_since(now, request.targets_version)
        full = request.revision < self.revision
        self._sequence += 1
        suspects_version, suspects = self.suspects.list_news(
            now, self.term, request.suspects_version
        )
        return wire.SyncResponse(
            term=self.term,
            leadership_age_ms=self.age_ms,
            revision=self.revision,
            full=full,
            changes=self.changes if full else [],
            targets_version=news.version,
            targets_full=news.full,
            targets=news.rows,
            targets_removed=news.removed,
            entries=list(self.entries.values()),
            grant_sequence=self._sequence,
            grant_ttl_ms=2_800,
            grants=[
                wire.SlotGrant(
                    target=target.report.target,
                    slots=self.slots.get(
                        target.report.target, target.report.slots
                    ),
                    connections=target.report.connections,
                    lease_ms=60_000,
                )
                for target in self.targets.all()
            ],
            links=[],
            suspects_version=suspects_version,
            suspects=suspects,
        )


Behaviour = Callable[
    ['FakeTarget', asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


class FakeTarget:
    """A target that keeps every byte it receives.

    `behaviour` runs once for each connection.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.address = find_free_address()
        self.received: list[bytearray] = []
        self._behaviour = behaviour
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        host, port = self.address.split(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def received_bytes(self) -> bytes:
        """Return all bytes received on all connections."""
        return b''.join(bytes(item) for item in self.received)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._behaviour(self, reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    def make_report(
        self,
        name: str = 't1',
        slots: int = 4,
        state: wire.TargetState = wire.TargetState.READY,
        sequence: int = 1,
    ) -> wire.TargetReport:
        """Return an announcement of this target."""
        return wire.TargetReport(
            target=ids.TargetId(name),
            pool=POOL,
            address=self.address,
            region=ids.RegionName('ost'),
            failure_domain=ids.DomainName('ost-a'),
            slots=slots,
            connections=100,
            incarnation=1,
            sequence=sequence,
            state=state,
        )


async def read_request(
    target: FakeTarget, reader: asyncio.StreamReader, kept: bytearray
) -> bytes:
    """Return the next request with its body; append it to `kept`."""
    head = await reader.readuntil(b'\r\n\r\n')
    kept += head
    lower = head.lower()
    body = b''
    if b'content-length:' in lower:
        start = lower.index(b'content-length:') + len(b'content-length:')
        length = int(lower[start : lower.index(b'\r', start)])
        body = await reader.readexactly(length)
    elif b'transfer-encoding: chunked' in lower:
        while not body.endswith(b'0\r\n\r\n'):
            body += await reader.readuntil(b'\r\n')
    kept += body
    return head + body


def answer_always(answer: bytes) -> Behaviour:
    """Return a behaviour that sends the same response to every request."""

    async def serve(
        target: FakeTarget,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        kept = bytearray()
        target.received.append(kept)
        while True:
            await read_request(target, reader, kept)
            writer.write(answer)
            await writer.drain()

    return serve


def make_options(
    leader: FakeLeader, **changes: object
) -> settings.EntrySettings:
    """Return the settings of an entry that syncs with `leader`."""
    values: dict[str, object] = {
        'entry_id': 'e1',
        'region': 'ost',
        'failure_domain': 'ost-a',
        'listen': find_free_address(),
        'api': find_free_address(),
        'rpc': find_free_address(),
        'control': {'c1': leader.address},
    }
    values.update(changes)
    return settings.EntrySettings(**values)  # type: ignore[arg-type]
