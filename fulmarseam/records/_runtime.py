"""The service of a record holder."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Self

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.records import _replication
from fulmarseam.records import _runtime_journal
from fulmarseam.records import _runtime_region
from fulmarseam.records import _storage
from fulmarseam.records import _table

# Less than the caller of a claim waits, so that it learns the reason.
SAFE_TIMEOUT_S = 0.8

FindGroup = Callable[[ids.RegionName], wire.RecordGroup | None]


class RecordServer:
    """Holds records of regions as primary or backup; a context manager.

    `find_group` returns a row of the configuration in force and
    `is_current` says whether the configuration lease is valid.
    `update_groups` is called with the rows after each change of the
    configuration, `handle` gets the messages of other entries, and
    `list_copies` goes into each sync request. `failed` is done when the
    journal has failed; the process must then end::

        holder = records.RecordServer(
            entry, incarnation, find_group, is_current, peers.client, path)
        async with holder:
            holder.update_groups(tables.rows(wire.RecordGroup))
            answer = await holder.handle(message)
    """

    def __init__(
        self,
        entry: ids.EntryId,
        incarnation: int,
        find_group: FindGroup,
        is_current: Callable[[], bool],
        find_client: _runtime_region.FindClient,
        directory: str | None,
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._find_group = find_group
        self._is_current = is_current
        self._find_client = find_client
        self._regions: dict[ids.RegionName, _runtime_region.RegionRecords] = {}
        self._journal = _runtime_journal.JournalWriter(
            directory, self._list_entries
        )
        self._loop = asyncio.get_running_loop()

    @property
    def failed(self) -> asyncio.Future[_storage.JournalFailedError]:
        """Return the future that is done when the journal has failed."""
        return self._journal.failed

    async def __aenter__(self) -> Self:
        """Read the journal.

        Raises `errors.DamagedDataError` and `JournalFailedError`.
        """
        await self._journal.__aenter__()
        for region, table in self._journal.tables.items():
            self._add_region(region, table)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for records in self._regions.values():
            records.resign()
        await self._journal.__aexit__(*exc_info)

    def set_incarnation(self, incarnation: int) -> None:
        """Take the incarnation that the leader knows this entry by.

        It may change only before the first sync has succeeded, when this
        entry cannot hold anything yet.
        """
        self._incarnation = incarnation

    def update_groups(self, groups: Iterable[wire.RecordGroup]) -> None:
        """Take the rows of the configuration in force."""
        rows = {group.name: group for group in groups}
        for region, group in rows.items():
            known = self._regions.get(region)
            if known is not None and known.group == group:
                continue
            if self._is_primary(group):
                self._get_region(region).lead(
                    group, self._entry, self._incarnation
                )
            elif self._is_backup(group):
                self._get_region(region).follow(group)
            elif known is not None:
                known.forget_group()
        for region in self._regions.keys() - rows.keys():
            self._regions[region].forget_group()

    def list_copies(self) -> list[wire.RecordCopy]:
        """Return the groups of which this backup has a full copy."""
        return [
            wire.RecordCopy(region=region, generation=group.generation)
            for region, records in self._regions.items()
            if (group := records.group) is not None
            and self._is_backup(group)
            and records.inbox.has_copy(group.generation)
        ]

    async def handle(self, message: wire.Message) -> wire.Message | None:
        """Answer a message about records; None for any other message.

        Raises `errors.FulmarseamError` with `record_unavailable` when this
        holder must not or cannot answer. A repeated message is harmless.
        """
        if isinstance(message, wire.RecordClaim):
            return await self._claim(message)
        if isinstance(message, wire.RecordFinish | wire.RecordRelease):
            return await self._end(message)
        if isinstance(message, wire.RecordReplicate | wire.RecordChunk):
            return await self._take_stream(message)
        return None

    async def _claim(self, message: wire.RecordClaim) -> wire.RecordVerdict:
        records, group = self._require_primary(message.region)
        _check_key(message.key, group)
        if group.backup is None:
            raise _runtime_region.make_unavailable('the group has no backup')
        decision = records.table.claim(self._loop.time(), group, message)
        if decision.verdict is wire.Verdict.FRESH:
            if decision.write is not None:
                records.add(decision.write)
            await records.wait_until_safe(SAFE_TIMEOUT_S)
            # The claim may have been released and the group may have
            # changed meanwhile; asking again is idempotent.
            again, group = self._require_primary(message.region)
            if again is not records or records.outbox is None:
                raise _runtime_region.make_unavailable('the group changed')
            decision = records.table.claim(self._loop.time(), group, message)
            if decision.write is not None:
                records.add(decision.write)
                raise _runtime_region.make_unavailable('the claim was lost')
        return wire.RecordVerdict(
            verdict=decision.verdict, answer=decision.answer
        )

    async def _end(
        self, message: wire.RecordFinish | wire.RecordRelease
    ) -> wire.Message:
        records, _ = self._require_primary(message.region)
        now = self._loop.time()
        if isinstance(message, wire.RecordFinish):
            write = records.table.finish(now, message)
        else:
            write = records.table.release(now, message)
        if write is not None:
            records.add(write)
        await records.wait_until_safe(SAFE_TIMEOUT_S)
        return wire.Ok()

    async def _take_stream(
        self, message: _replication.StreamMessage
    ) -> wire.RecordProgress:
        group = self._require_group(message.region)
        stream = message.stream
        if (
            group.generation != message.generation
            or not self._is_backup(group)
            or group.primary != stream.primary
            or group.primary_incarnation != stream.incarnation
        ):
            raise _runtime_region.make_unavailable(
                f'{message.region}: found generation {message.generation} '
                f'of {stream.primary}, expected {group.generation} of '
                f'{group.primary}'
            )
        return await self._get_region(message.region).take_stream(message)

    def _require_primary(
        self, region: ids.RegionName
    ) -> tuple[_runtime_region.RegionRecords, wire.RecordGroup]:
        group = self._require_group(region)
        if not self._is_primary(group):
            raise _runtime_region.make_unavailable(
                f'{region}: the primary is {group.primary}'
            )
        return self._get_region(region), group

    def _require_group(self, region: ids.RegionName) -> wire.RecordGroup:
        """Return the group that is in force here, and known to be."""
        group = self._find_group(region)
        if group is None:
            raise _runtime_region.make_unavailable(f'{region}: no group')
        if not self._is_current():
            raise _runtime_region.make_unavailable(
                'the configuration lease has ended'
            )
        if self._journal.failed.done():
            raise self._journal.failed.result()
        known = self._regions.get(region)
        if known is None or known.group != group:
            raise _runtime_region.make_unavailable(
                f'{region}: generation {group.generation} is not in force yet'
            )
        return group

    def _is_primary(self, group: wire.RecordGroup) -> bool:
        return (group.primary, group.primary_incarnation) == (
            self._entry,
            self._incarnation,
        )

    def _is_backup(self, group: wire.RecordGroup) -> bool:
        return (group.backup, group.backup_incarnation) == (
            self._entry,
            self._incarnation,
        )

    def _get_region(
        self, region: ids.RegionName
    ) -> _runtime_region.RegionRecords:
        known = self._regions.get(region)
        if known is None:
            known = self._add_region(region, _table.RecordTable())
        return known

    def _add_region(
        self, region: ids.RegionName, table: _table.RecordTable
    ) -> _runtime_region.RegionRecords:
        records = _runtime_region.RegionRecords(
            region, table, self._journal, self._find_client
        )
        self._regions[region] = records
        return records

    def _list_entries(self) -> Iterator[_storage.JournalEntry]:
        now = self._loop.time()
        for region, records in self._regions.items():
            yield from _storage.list_entries(region, records.table.rows(now))


def _check_key(key: str, group: wire.RecordGroup) -> None:
    """Refuse a key that this group cannot bound in time."""
    parts = _table.parse_key(key)
    if parts is None or parts.home != group.name:
        raise _runtime_region.make_unavailable(
            f'{key!r} is no key of {group.name}'
        )
    if parts.generation > group.generation:
        # The entry that gave it out knows a newer generation.
        raise _runtime_region.make_unavailable(
            f'{key!r} is of a generation after {group.generation}'
        )
