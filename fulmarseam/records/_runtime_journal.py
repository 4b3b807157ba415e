"""Group commit of the journal beside the event loop."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
from typing import Self

from fulmarseam import ids
from fulmarseam.records import _storage
from fulmarseam.records import _table

ListEntries = Callable[[], Iterable[_storage.JournalEntry]]


class JournalWriter:
    """Writes what was appended meanwhile with one sync; a context manager.

    The write and the sync run in one worker thread, which runs no other
    code, because a sync of several milliseconds on the event loop would
    delay every request. Without a directory nothing is kept.
    `list_entries` returns the entries that rebuild all tables.
    """

    def __init__(
        self, directory: str | None, list_entries: ListEntries
    ) -> None:
        self.tables: dict[ids.RegionName, _table.RecordTable] = {}
        self.failed: asyncio.Future[_storage.JournalFailedError] = (
            asyncio.get_running_loop().create_future()
        )
        self._journal: _storage.Journal | None = None
        if directory is not None:
            self._journal = _storage.Journal(directory)
        self._list_entries = list_entries
        self._pending: list[_storage.JournalEntry] = []
        self._appended = 0
        self._synced = 0
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._worker = futures.ThreadPoolExecutor(1, 'records-journal')

    async def __aenter__(self) -> Self:
        """Open the journal and fill `tables`.

        Raises `errors.DamagedDataError` and `JournalFailedError`.
        """
        if self._journal is not None:
            self.tables = self._journal.open()
            self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._task is not None:
            await asyncio.gather(self.flush(), return_exceptions=True)
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._worker.shutdown()
        if self._journal is not None:
            self._journal.close()

    def append(self, entry: _storage.JournalEntry) -> None:
        """Add an entry to the next write."""
        if self._journal is None:
            return
        self._pending.append(entry)
        self._appended += 1
        self._wake.set()

    async def flush(self) -> None:
        """Wait until all entries appended so far are synced.

        Raises `JournalFailedError`.
        """
        if self.failed.done():
            raise self.failed.result()
        if self._synced >= self._appended:
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((self._appended, waiter))
        await waiter

    async def _run(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                await self._write_pending()
        except _storage.JournalFailedError as error:
            self.failed.set_result(error)
            for _, waiter in self._waiters:
                if not waiter.done():
                    waiter.set_exception(error)

    async def _write_pending(self) -> None:
        assert self._journal is not None
        loop = asyncio.get_running_loop()
        while self._pending:
            batch, self._pending = self._pending, []
            await loop.run_in_executor(
                self._worker, self._journal.write, batch
            )
            self._synced += len(batch)
            self._answer_waiters()
        if self._journal.should_compact():
            # What is appended meanwhile is written again after it; replaying
            # it twice ends in the same tables.
            entries = list(self._list_entries())
            await loop.run_in_executor(
                self._worker, self._journal.rewrite, entries
            )

    def _answer_waiters(self) -> None:
        left = []
        for number, waiter in self._waiters:
            if number > self._synced:
                left.append((number, waiter))
            elif not waiter.done():
                waiter.set_result(None)
        self._waiters = left
