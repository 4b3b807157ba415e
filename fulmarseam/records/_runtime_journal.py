"""Group commit of the journal in a worker thread."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
from typing import Self

from fulmarseam import ids
from fulmarseam.records import _storage
from fulmarseam.records import _table

ListTableEntries = Callable[[], Iterable[_storage.JournalEntry]]


class JournalWriter:
    """Writes pending entries in batches of one sync; a context manager.

    Writes and syncs run in a worker thread of their own, since a sync of
    several milliseconds on the event loop would delay every request.
    Without a directory nothing is stored. `list_table_entries` returns the
    entries that rebuild all tables.
    """

    def __init__(
        self, directory: str | None, list_table_entries: ListTableEntries
    ) -> None:
        self.tables: dict[ids.RegionName, _table.RecordTable] = {}
        self.failed: asyncio.Future[_storage.JournalFailedError] = (
            asyncio.get_running_loop().create_future()
        )
        self._journal: _storage.Journal | None = None
        if directory is not None:
            self._journal = _storage.Journal(directory)
        self._list_table_entries = list_table_entries
        self._pending: list[_storage.JournalEntry] = []
        self._appended_count = 0
        self._synced_count = 0
        self._sync_waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._executor = futures.ThreadPoolExecutor(1, 'records-journal')

    async def __aenter__(self) -> Self:
        """Open the journal and fill `tables`.

        Raises `errors.DamagedDataError` and `JournalFailedError`.
        """
        if self._journal is not None:
            self.tables = self._journal.open()
            self._task = asyncio.create_task(self._write_batches())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._task is not None:
            await asyncio.gather(self.flush(), return_exceptions=True)
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._executor.shutdown()
        if self._journal is not None:
            self._journal.close()

    def append(self, entry: _storage.JournalEntry) -> None:
        """Add an entry to the next batch."""
        if self._journal is None:
            return
        self._pending.append(entry)
        self._appended_count += 1
        self._wake.set()

    async def flush(self) -> None:
        """Wait until all entries appended so far are synced.

        Raises `JournalFailedError`.
        """
        if self.failed.done():
            raise self.failed.result()
        if self._synced_count >= self._appended_count:
            return
        waiter = asyncio.get_running_loop().create_future()
        self._sync_waiters.append((self._appended_count, waiter))
        await waiter

    async def _write_batches(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                await self._write_pending()
        except _storage.JournalFailedError as error:
            self.failed.set_result(error)
            for _, waiter in self._sync_waiters:
                if not waiter.done():
                    waiter.set_exception(error)

    async def _write_pending(self) -> None:
        assert self._journal is not None
        loop = asyncio.get_running_loop()
        while self._pending:
            batch, self._pending = self._pending, []
            await loop.run_in_executor(
                self._executor, self._journal.write, batch
            )
            self._synced_count += len(batch)
            self._resolve_waiters()
        if self._journal.should_compact():
            # Entries appended during the rewrite are also written after it;
            # replaying an entry twice leads to the same tables.
            entries = list(self._list_table_entries())
            await loop.run_in_executor(
                self._executor, self._journal.rewrite, entries
            )

    def _resolve_waiters(self) -> None:
        remaining = []
        for number, waiter in self._sync_waiters:
            if number > self._synced_count:
                remaining.append((number, waiter))
            elif not waiter.done():
                waiter.set_result(None)
        self._sync_waiters = remaining
