"""The records service of an entry."""

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

# Shorter than the claim timeout of the client, which then gets the reason.
REPLICATION_TIMEOUT_S = 0.8

FindGroup = Callable[[ids.RegionName], wire.RecordGroup | None]


class RecordServer:
    """Serves the records of regions as primary or backup; a context manager.

    `find_group` returns the group of a region from the configuration in
    force, and `has_config_lease` returns whether the configuration lease is
    valid. Call `update_groups` after each change of the configuration and
    `handle` for each message of another entry, and add `list_copies` to
    each sync request. `failed` is done when the journal has failed; the
    process must then end::

        server = records.RecordServer(
            entry, incarnation, find_group, has_config_lease, peers.client,
            path)
        async with server:
            server.update_groups(tables.rows(wire.RecordGroup))
            answer = await server.handle(message)
    """

    def __init__(
        self,
        entry: ids.EntryId,
        incarnation: int,
        find_group: FindGroup,
        has_config_lease: Callable[[], bool],
        find_client: _runtime_region.FindClient,
        directory: str | None,
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._find_group = find_group
        self._has_config_lease = has_config_lease
        self._find_client = find_client
        self._regions: dict[ids.RegionName, _runtime_region.RegionRecords] = {}
        self._journal = _runtime_journal.JournalWriter(
            directory, self._list_table_entries
        )
        self._loop = asyncio.get_running_loop()

    @property
    def failed(self) -> asyncio.Future[_storage.JournalFailedError]:
        """Return the future that is done when the journal has failed."""
        return self._journal.failed

    async def __aenter__(self) -> Self:
        """Load the tables from the journal.

        Raises `errors.DamagedDataError` and `JournalFailedError`.
        """
        await self._journal.__aenter__()
        for region, table in self._journal.tables.items():
            self._add_region(region, table)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for records in self._regions.values():
            records.step_down()
        await self._journal.__aexit__(*exc_info)

    def set_incarnation(self, incarnation: int) -> None:
        """Set the incarnation under which the leader knows this entry.

        It may change only until the first sync succeeds; before that, this
        entry cannot hold records.
        """
        self._incarnation = incarnation

    def update_groups(self, groups: Iterable[wire.RecordGroup]) -> None:
        """Apply the record groups of the configuration in force."""
        rows = {group.name: group for group in groups}
        for region, group in rows.items():
            records = self._regions.get(region)
            if records is not None and records.group == group:
                continue
            if self._is_primary(group):
                self._get_or_add_region(region).become_primary(
                    group, self._entry, self._incarnation
                )
            elif self._is_backup(group):
                self._get_or_add_region(region).become_backup(group)
            elif records is not None:
                records.leave_group()
        for region in self._regions.keys() - rows.keys():
            self._regions[region].leave_group()

    def list_copies(self) -> list[wire.RecordCopy]:
        """Return the groups for which this backup has a full copy."""
        return [
            wire.RecordCopy(region=region, generation=group.generation)
            for region, records in self._regions.items()
            if (group := records.group) is not None
            and self._is_backup(group)
            and records.receiver.has_full_copy(group.generation)
        ]

    async def handle(self, message: wire.Message) -> wire.Message | None:
        """Answer a message about records; return None for any other message.

        Raises `errors.FulmarseamError` with `record_unavailable` when this
        replica must not or cannot answer. Handling is idempotent.
        """
        if isinstance(message, wire.RecordClaim):
            return await self._claim(message)
        if isinstance(message, wire.RecordFinish | wire.RecordRelease):
            return await self._end_attempt(message)
        if isinstance(message, wire.RecordReplicate | wire.RecordChunk):
            return await self._handle_stream(message)
        return None

    async def _claim(self, message: wire.RecordClaim) -> wire.RecordVerdict:
        records, group = self._require_primary(message.region)
        _require_valid_key(message.key, group)
        if group.backup is None:
            raise _runtime_region.make_unavailable(
                'the record group has no backup'
            )
        decision = records.table.claim(self._loop.time(), group, message)
        if decision.verdict is wire.Verdict.FRESH:
            if decision.write is not None:
                records.append(decision.write)
            await records.wait_until_replicated(REPLICATION_TIMEOUT_S)
            # The claim may have been released or the group changed during
            # the wait, so the claim is repeated, which is idempotent.
            current, group = self._require_primary(message.region)
            if current is not records or records.sender is None:
                raise _runtime_region.make_unavailable(
                    'the record group changed during the claim'
                )
            decision = records.table.claim(self._loop.time(), group, message)
            if decision.write is not None:
                records.append(decision.write)
                raise _runtime_region.make_unavailable(
                    'the claim was lost during the wait'
                )
        return wire.RecordVerdict(
            verdict=decision.verdict, answer=decision.answer
        )

    async def _end_attempt(
        self, message: wire.RecordFinish | wire.RecordRelease
    ) -> wire.Message:
        records, _ = self._require_primary(message.region)
        now = self._loop.time()
        if isinstance(message, wire.RecordFinish):
            write = records.table.finish(now, message)
        else:
            write = records.table.release(now, message)
        if write is not None:
            records.append(write)
        await records.wait_until_replicated(REPLICATION_TIMEOUT_S)
        return wire.Ok()

    async def _handle_stream(
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
        return await self._get_or_add_region(
            message.region
        ).apply_stream_message(message)

    def _require_primary(
        self, region: ids.RegionName
    ) -> tuple[_runtime_region.RegionRecords, wire.RecordGroup]:
        group = self._require_group(region)
        if not self._is_primary(group):
            raise _runtime_region.make_unavailable(
                f'{region}: expected this entry as primary, found '
                f'{group.primary}'
            )
        return self._get_or_add_region(region), group

    def _require_group(self, region: ids.RegionName) -> wire.RecordGroup:
        """Return the group of a region if this entry may act on it."""
        group = self._find_group(region)
        if group is None:
            raise _runtime_region.make_unavailable(
                f'{region}: the region has no record group'
            )
        if not self._has_config_lease():
            raise _runtime_region.make_unavailable(
                'the configuration lease has ended'
            )
        if self._journal.failed.done():
            raise self._journal.failed.result()
        records = self._regions.get(region)
        if records is None or records.group != group:
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

    def _get_or_add_region(
        self, region: ids.RegionName
    ) -> _runtime_region.RegionRecords:
        records = self._regions.get(region)
        if records is None:
            records = self._add_region(region, _table.RecordTable())
        return records

    def _add_region(
        self, region: ids.RegionName, table: _table.RecordTable
    ) -> _runtime_region.RegionRecords:
        records = _runtime_region.RegionRecords(
            region, table, self._journal, self._find_client
        )
        self._regions[region] = records
        return records

    def _list_table_entries(self) -> Iterator[_storage.JournalEntry]:
        now = self._loop.time()
        for region, records in self._regions.items():
            yield from _storage.make_reset_entries(
                region, records.table.rows(now)
            )


def _require_valid_key(key: str, group: wire.RecordGroup) -> None:
    """Refuse a key of another region or of a later generation."""
    parts = _table.parse_key(key)
    if parts is None or parts.home != group.name:
        raise _runtime_region.make_unavailable(
            f'{key!r}: expected a key of region {group.name}'
        )
    if parts.generation > group.generation:
        # The entry that issued the key knows a newer generation.
        raise _runtime_region.make_unavailable(
            f'{key!r}: expected a generation up to {group.generation}'
        )
