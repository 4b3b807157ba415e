"""The records of one region on one replica."""

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

STREAM_CALL_TIMEOUT_S = 0.5
STREAM_RETRY_PAUSE_S = 0.02

FindClient = Callable[[ids.EntryId], transport.RpcClient | None]

_log = logbook.Logger('records')


class RegionRecords:
    """Connects the table of a region to its replication and the journal.

    Times are those of the event loop's clock. The caller checks that the
    group in force names this replica and that the configuration lease is
    valid.
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
        self.receiver = _replication.StreamReceiver()
        self.sender: _replication.StreamSender | None = None
        self._journal = journal
        self._find_client = find_client
        self._wake = asyncio.Event()
        self._ack_waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._replication_task: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()

    def become_primary(
        self, group: wire.RecordGroup, entry: ids.EntryId, incarnation: int
    ) -> None:
        """Act as the primary of a generation."""
        if self.sender is None:
            self.receiver.reset()
            stream = wire.RecordStream(entry, incarnation, group.generation)
            self.sender = _replication.StreamSender(
                stream, lambda: self.table.rows(self._loop.time())
            )
            self._replication_task = asyncio.create_task(
                self._replicate(self.sender)
            )
        self._set_group(group)
        self.sender.start_generation(group)
        self._wake.set()

    def become_backup(self, group: wire.RecordGroup) -> None:
        """Act as the backup of a generation."""
        self.step_down()
        self._set_group(group)

    def step_down(self) -> None:
        """Stop acting as the primary and fail the waiting calls."""
        self.sender = None
        if self._replication_task is not None:
            self._replication_task.cancel()
            self._replication_task = None
        for _, waiter in self._ack_waiters:
            if not waiter.done():
                waiter.set_exception(
                    make_unavailable('this entry is no longer the primary')
                )
        self._ack_waiters = []

    def leave_group(self) -> None:
        """Stop acting as a replica of the group."""
        self.step_down()
        self.receiver.reset()
        self.group = None

    def append(self, write: wire.RecordWrite) -> None:
        """Add a write of the primary to the stream and the journal."""
        assert self.sender is not None
        self.sender.append(write)
        self._journal.append(
            _storage.JournalEntry(self.region, False, 0, [write])
        )
        self._wake.set()

    async def wait_until_replicated(self, timeout_s: float) -> None:
        """Wait until the backup and the journal have stored all writes.

        Raises `errors.FulmarseamError` with `record_unavailable` when that
        takes longer than `timeout_s`, and `JournalFailedError`.
        """
        assert self.sender is not None
        number = self.sender.last_number
        try:
            async with asyncio.timeout(timeout_s):
                if self.sender.acked_number < number:
                    waiter = self._loop.create_future()
                    self._ack_waiters.append((number, waiter))
                    await waiter
                await self._journal.flush()
        except TimeoutError:
            raise make_unavailable(
                'the backup or the journal did not confirm the write in time'
            ) from None

    async def apply_stream_message(
        self, message: _replication.StreamMessage
    ) -> wire.RecordProgress:
        """Apply writes or a chunk of a full copy as the backup, and sync.

        Raises `JournalFailedError`.
        """
        received = self.receiver.receive(message)
        now = self._loop.time()
        if received.rows is not None:
            self.table = _table.RecordTable()
            for row in received.rows:
                self.table.apply(now, wire.RecordWrite(row.key, row))
            for entry in _storage.make_reset_entries(
                self.region, received.rows
            ):
                self._journal.append(entry)
            _log.info(
                telemetry.format_event(
                    'records_copied', region=self.region, rows=len(self.table)
                )
            )
        writes = list(received.writes)
        for write in writes:
            self.table.apply(now, write)
        if writes:
            self._journal.append(
                _storage.JournalEntry(self.region, False, 0, writes)
            )
        await self._journal.flush()
        return received.progress

    def _set_group(self, group: wire.RecordGroup) -> None:
        self.group = group
        # Equal generations mean that both replicas were lost. The records
        # that are left still answer repeated requests, so they are kept.
        if group.lost_before >= group.generation:
            return
        if self.table.drop_below(group.lost_before):
            self._journal.append(
                _storage.JournalEntry(
                    self.region, False, group.lost_before, []
                )
            )

    async def _replicate(self, sender: _replication.StreamSender) -> None:
        """Send pending messages to the backup, one at a time."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while sender.has_pending():
                if not await self._send_next(sender):
                    await asyncio.sleep(STREAM_RETRY_PAUSE_S)

    async def _send_next(self, sender: _replication.StreamSender) -> bool:
        group = self.group
        if group is None or group.backup is None:
            return False
        client = self._find_client(group.backup)
        if client is None:
            return False
        message = sender.next_message()
        with contextlib.suppress(errors.FulmarseamError):
            answer = await client.call(message, STREAM_CALL_TIMEOUT_S)
            if isinstance(answer, wire.RecordProgress):
                sender.handle_progress(message, answer)
                self._resolve_waiters(sender.acked_number)
                return True
        return False

    def _resolve_waiters(self, acked_number: int) -> None:
        remaining = []
        for number, waiter in self._ack_waiters:
            if number > acked_number:
                remaining.append((number, waiter))
            elif not waiter.done():
                waiter.set_result(None)
        self._ack_waiters = remaining


def make_unavailable(detail: str) -> errors.FulmarseamError:
    """Return the error of a replica that cannot answer."""
    return errors.FulmarseamError(errors.ErrorKind.RECORD_UNAVAILABLE, detail)
