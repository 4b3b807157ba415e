"""Maintenance of the record groups, one for each region.

A replica is one incarnation of an entry that stores records. It is lost once
the entry has restarted without its records, or has been silent for longer than
its entry lease and configuration lease together, after which it cannot answer.
"""

from collections.abc import Iterator
import dataclasses

import msgspec

from fulmarseam import ids
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.control import _leadership

CONFIG_LEASE_S = 3.0
CLOCK_DRIFT = 0.01
REPLICA_LOST_AFTER_S = _leadership.ENTRY_LEASE_S + CONFIG_LEASE_S * (
    1.0 + CLOCK_DRIFT
)
# Half of the maximum of 12 h, since a new leader restarts the timing of the
# current generation.
GENERATION_ROTATE_AFTER_S = 6 * 3_600.0
GENERATION_DROP_AFTER_S = 24 * 3_600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """An incarnation of an entry that stores or may store records."""

    entry: ids.EntryId
    incarnation: int
    region: ids.RegionName
    domain: ids.DomainName


class GroupPlanner:
    """Proposes changes of the record groups during one term."""

    def __init__(self) -> None:
        self._generation_seen_at: dict[tuple[str, int], float] = {}

    def plan(
        self,
        now: float,
        leadership: _leadership.Leadership,
        tables: store.Tables,
    ) -> Iterator[store.RowStep]:
        """Yield the steps that are due; `now` is in monotonic seconds."""
        candidates = _list_candidates(leadership, tables)
        regions = {replica.region for replica in candidates}
        regions.update(row.name for row in tables.rows(wire.RecordGroup))
        for region in sorted(regions):
            current = tables.get(wire.RecordGroup, region)
            if current is None:
                if leadership.is_settled(now):
                    yield store.RowStep(
                        None, _create_group(region, candidates)
                    )
                continue
            row = _repair_group(now, current, leadership, candidates)
            if row == current:
                row = self._rotate_generations(now, current)
            if row != current:
                yield store.RowStep(current, row)

    def _rotate_generations(
        self, now: float, row: wire.RecordGroup
    ) -> wire.RecordGroup:
        """Start a new generation or drop the oldest ones when due."""
        seen_keys = [
            key for key in self._generation_seen_at if key[0] == row.name
        ]
        if (row.name, row.generation) not in self._generation_seen_at:
            for generation in range(row.lost_before, row.generation + 1):
                self._generation_seen_at.setdefault(
                    (row.name, generation), now
                )
        for key in seen_keys:
            if key[1] < row.lost_before:
                del self._generation_seen_at[key]
        started = self._generation_seen_at[row.name, row.generation]
        if now - started >= GENERATION_ROTATE_AFTER_S:
            return msgspec.structs.replace(row, generation=row.generation + 1)
        lost_before = row.lost_before
        # A generation is superseded when the next one is first seen.
        while (
            lost_before < row.generation
            and now
            - self._generation_seen_at.get((row.name, lost_before + 1), now)
            >= GENERATION_DROP_AFTER_S
        ):
            lost_before += 1
        return msgspec.structs.replace(row, lost_before=lost_before)


def _list_candidates(
    leadership: _leadership.Leadership, tables: store.Tables
) -> list[Replica]:
    """Return the entries that may become replicas."""
    drained = {
        drain.subject
        for drain in tables.rows(wire.Drain)
        if drain.scope is wire.DrainScope.ENTRY
        and drain.state in {wire.DrainState.ACTIVE, wire.DrainState.DONE}
    }
    return [
        Replica(
            row.info.entry,
            row.info.incarnation,
            row.info.region,
            row.info.failure_domain,
        )
        for row in leadership.entries.rows()
        if row.alive and not row.draining and row.info.entry not in drained
    ]


def _create_group(
    region: ids.RegionName, candidates: list[Replica]
) -> wire.RecordGroup:
    """Return the first group of a region, which has no records yet."""
    primary = next(
        replica for replica in candidates if replica.region == region
    )
    empty = wire.RecordGroup(name=region, generation=1, primary=primary.entry)
    return _set_replicas(
        empty, primary, _choose_backup(region, primary, candidates)
    )


def _repair_group(
    now: float,
    row: wire.RecordGroup,
    leadership: _leadership.Leadership,
    candidates: list[Replica],
) -> wire.RecordGroup:
    """Return the group after the loss, return or drain of a replica."""
    primary_lost = _is_replica_lost(
        now, row, row.primary, row.primary_incarnation, leadership
    )
    backup_lost = row.backup is None or _is_replica_lost(
        now, row, row.backup, row.backup_incarnation, leadership
    )
    if primary_lost:
        if backup_lost or not row.backup_ready:
            return _restart_group(row, candidates)
        return _promote_backup(row, candidates)
    primary = _find_candidate(candidates, row.primary)
    if primary is None:
        can_take_over = row.backup_ready and _find_candidate(
            candidates, row.backup
        )
        draining = _find_alive(row.primary, leadership)
        if draining is not None and not backup_lost and can_take_over:
            return _promote_backup(row, candidates, draining)
        return row
    preferred = _choose_backup(row.name, primary, candidates)
    if (
        backup_lost
        or _should_move_backup(row, primary, preferred, candidates)
        or (
            preferred is not None
            and _is_draining(row.backup, candidates, leadership)
        )
    ):
        if preferred is None and row.backup is None:
            return row
        return _replace_backup(row, primary, preferred)
    if not row.backup_ready and _has_full_copy(
        row, row.backup, row.backup_incarnation, leadership
    ):
        return msgspec.structs.replace(row, backup_ready=True)
    return row


def _is_replica_lost(
    now: float,
    row: wire.RecordGroup,
    entry: ids.EntryId,
    incarnation: int,
    leadership: _leadership.Leadership,
) -> bool:
    entry_row = leadership.entries.get(entry)
    if entry_row is not None and entry_row.info.incarnation != incarnation:
        # The process has restarted and lost the records in its memory.
        return True
    return leadership.entries.get_silence_s(now, entry) > REPLICA_LOST_AFTER_S


def _has_full_copy(
    row: wire.RecordGroup,
    entry: ids.EntryId | None,
    incarnation: int,
    leadership: _leadership.Leadership,
) -> bool:
    report = leadership.reports.get(entry) if entry is not None else None
    if report is None or report.request.info.incarnation != incarnation:
        return False
    return any(
        copy.region == row.name and copy.generation == row.generation
        for copy in report.request.record_copies
    )


def _find_candidate(
    candidates: list[Replica], entry: ids.EntryId | None
) -> Replica | None:
    return next(
        (replica for replica in candidates if replica.entry == entry), None
    )


def _choose_backup(
    region: ids.RegionName, primary: Replica, candidates: list[Replica]
) -> Replica | None:
    """Return the best backup for a primary.

    Entries in another failure domain of the region come first, then those
    of other regions. The primary's own domain comes last, since it would
    fail together with the primary.
    """

    def rank(replica: Replica) -> tuple[bool, bool, str]:
        return (
            not _is_preferred_backup(region, primary, replica),
            replica.region == region,
            replica.entry,
        )

    others = [
        replica for replica in candidates if replica.entry != primary.entry
    ]
    return min(others, key=rank, default=None)


def _find_alive(
    entry: ids.EntryId, leadership: _leadership.Leadership
) -> Replica | None:
    """Return an alive entry as replica, also if it is draining."""
    entry_row = leadership.entries.get(entry)
    if entry_row is None or not entry_row.alive:
        return None
    info = entry_row.info
    return Replica(entry, info.incarnation, info.region, info.failure_domain)


def _is_draining(
    entry: ids.EntryId | None,
    candidates: list[Replica],
    leadership: _leadership.Leadership,
) -> bool:
    if entry is None or _find_candidate(candidates, entry) is not None:
        return False
    return _find_alive(entry, leadership) is not None


def _is_preferred_backup(
    region: ids.RegionName, primary: Replica, replica: Replica
) -> bool:
    return replica.region == region and replica.domain != primary.domain


def _should_move_backup(
    row: wire.RecordGroup,
    primary: Replica,
    preferred: Replica | None,
    candidates: list[Replica],
) -> bool:
    """Return whether the backup can move to another domain of the region."""
    current = _find_candidate(candidates, row.backup)
    if (
        preferred is None
        or current is None
        or current.entry == preferred.entry
    ):
        return False
    return _is_preferred_backup(
        row.name, primary, preferred
    ) and not _is_preferred_backup(row.name, primary, current)


def _set_replicas(
    row: wire.RecordGroup, primary: Replica, backup: Replica | None
) -> wire.RecordGroup:
    return msgspec.structs.replace(
        row,
        primary=primary.entry,
        primary_incarnation=primary.incarnation,
        backup=backup.entry if backup else None,
        backup_incarnation=backup.incarnation if backup else 0,
        backup_ready=False,
    )


def _replace_backup(
    row: wire.RecordGroup, primary: Replica, backup: Replica | None
) -> wire.RecordGroup:
    """Return the group with a new backup, which is not ready yet."""
    next_row = msgspec.structs.replace(row, generation=row.generation + 1)
    return _set_replicas(next_row, primary, backup)


def _promote_backup(
    row: wire.RecordGroup,
    candidates: list[Replica],
    draining: Replica | None = None,
) -> wire.RecordGroup:
    """Return the group with its backup as primary.

    Without another candidate, the draining primary becomes the backup until
    it ends, since a group without a backup refuses claims.
    """
    backup = _find_candidate(candidates, row.backup)
    next_row = msgspec.structs.replace(row, generation=row.generation + 1)
    if backup is None:
        # The backup is silent or draining but has not lost its records.
        return msgspec.structs.replace(
            next_row,
            primary=row.backup,
            primary_incarnation=row.backup_incarnation,
            backup=None,
            backup_incarnation=0,
            backup_ready=False,
        )
    other = _choose_backup(row.name, backup, candidates) or draining
    return _set_replicas(next_row, backup, other)


def _restart_group(
    row: wire.RecordGroup, candidates: list[Replica]
) -> wire.RecordGroup:
    """Return the group with new replicas and all older records lost."""
    local = [replica for replica in candidates if replica.region == row.name]
    if not local:
        return row
    # A former replica may still have records in its journal.
    former = [row.primary, row.backup]
    primary = min(
        local, key=lambda replica: (replica.entry not in former, replica.entry)
    )
    generation = row.generation + 1
    next_row = msgspec.structs.replace(
        row, generation=generation, lost_before=generation
    )
    return _set_replicas(
        next_row, primary, _choose_backup(row.name, primary, candidates)
    )
