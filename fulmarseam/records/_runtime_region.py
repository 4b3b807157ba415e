"""The records of one region on one holder."""

import asyncio
from collections.abc import Callable
import contextlib

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.records import _replication
from fulmarseam.records import _runtime_journal
from fulmarseam.records import _storage
from fulmarseam.records import _table

REPLICATE_TIMEOUT_S = 0.5
RETRY_PAUSE_S = 0.02

FindClient = Callable[[ids.EntryId], transport.RpcClient | None]

_log = logbook.Logger('records')


class RegionRecords:
    """Table, replication and journal of a region.

    `now` is the clock of the event loop. The caller checks that the group
    in force names this holder and that its configuration is current.
    """

    def __init__(
        self,
        region: ids.RegionName,
        table: _table.RecordTable,
        journal: _runtime_journal.JournalWriter,
        find_client: FindClient,
    ) -> None:
        self.region = region
        self.table = table
        self.group: wire.RecordGroup | None = None
        self.inbox = _replication.Inbox()
        self.outbox: _replication.Outbox | None = None
        self._journal = journal
        self._find_client = find_client
        self._wake = asyncio.Event()
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._task: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()

    def lead(
        self, group: wire.RecordGroup, entry: ids.EntryId, incarnation: int
    ) -> None:
        """Be the primary of a generation."""
        if self.outbox is None:
            self.inbox.reset()
            stream = wire.RecordStream(entry, incarnation, group.generation)
            self.outbox = _replication.Outbox(
                stream, lambda: self.table.rows(self._loop.time())
            )
            self._task = asyncio.create_task(self._replicate(self.outbox))
        self._take_group(group)
        self.outbox.start_generation(group)
        self._wake.set()

    def follow(self, group: wire.RecordGroup) -> None:
        """Be the backup of a generation."""
        self.resign()
        self._take_group(group)

    def resign(self) -> None:
        """Be primary no more; waiting calls fail."""
        self.outbox = None
        if self._task is not None:
            self._task.cancel()
            self._task = None
        for _, waiter in self._waiters:
            if not waiter.done():
                waiter.set_exception(make_unavailable('not the primary'))
        self._waiters = []

    def forget_group(self) -> None:
        """Take note that the group in force names others."""
        self.resign()
        self.inbox.reset()
        self.group = None

    def add(self, write: wire.RecordWrite) -> None:
        """Send a write of the primary to the backup and the journal."""
        assert self.outbox is not None
        self.outbox.add(write)
        self._journal.append(
            _storage.JournalEntry(self.region, False, 0, [write])
        )
        self._wake.set()

    async def wait_until_safe(self, timeout_s: float) -> None:
        """Wait until all writes are at the backup and in the journal.

        Raises `errors.FulmarseamError` with `record_unavailable` when that
        takes longer, and `JournalFailedError`.
        """
        assert self.outbox is not None
        number = self.outbox.number
        try:
            async with asyncio.timeout(timeout_s):
                if self.outbox.acked < number:
                    waiter = self._loop.create_future()
                    self._waiters.append((number, waiter))
                    await waiter
                await self._journal.flush()
        except TimeoutError:
            raise make_unavailable('the backup does not answer') from None

    async def take_stream(
        self, message: _replication.StreamMessage
    ) -> wire.RecordProgress:
        """Take writes or part of a copy as backup, and sync them.

        Raises `JournalFailedError`.
        """
        intake = self.inbox.take(message)
        now = self._loop.time()
        if intake.rows is not None:
            self.table = _table.RecordTable()
            for row in intake.rows:
                self.table.apply(now, wire.RecordWrite(row.key, row))
            for entry in _storage.list_entries(self.region, intake.rows):
                self._journal.append(entry)
            _log.info(
                telemetry.format_event(
                    'records_copied', region=self.region, rows=len(self.table)
                )
            )
        writes = list(intake.writes)
        for write in writes:
            self.table.apply(now, write)
        if writes:
            self._journal.append(
                _storage.JournalEntry(self.region, False, 0, writes)
            )
        await self._journal.flush()
        return intake.progress

    def _take_group(self, group: wire.RecordGroup) -> None:
        self.group = group
        # Equal generations mean that both holders were lost. What is left
        # of their records still answers repeats.
        if group.lost_before >= group.generation:
            return
        if self.table.drop_below(group.lost_before):
            self._journal.append(
                _storage.JournalEntry(
                    self.region, False, group.lost_before, []
                )
            )

    async def _replicate(self, outbox: _replication.Outbox) -> None:
        """Send to the backup what it lacks, one message at a time."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while outbox.has_work():
                if not await self._send_next(outbox):
                    await asyncio.sleep(RETRY_PAUSE_S)

    async def _send_next(self, outbox: _replication.Outbox) -> bool:
        group = self.group
        if group is None or group.backup is None:
            return False
        client = self._find_client(group.backup)
        if client is None:
            return False
        message = outbox.next_message()
        with contextlib.suppress(errors.FulmarseamError):
            answer = await client.call(message, REPLICATE_TIMEOUT_S)
            if isinstance(answer, wire.RecordProgress):
                outbox.take_progress(message, answer)
                self._answer_waiters(outbox.acked)
                return True
        return False

    def _answer_waiters(self, acked: int) -> None:
        left = []
        for number, waiter in self._waiters:
            if number > acked:
                left.append((number, waiter))
            elif not waiter.done():
                waiter.set_result(None)
        self._waiters = left


def make_unavailable(detail: str) -> errors.FulmarseamError:
    """Return the error of a holder that cannot answer."""
    return errors.FulmarseamError(errors.ErrorKind.RECORD_UNAVAILABLE, detail)
