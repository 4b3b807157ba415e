"""Maintenance of the record groups, one for each region.

A holder is one incarnation of an entry. It is lost when it has restarted
without its records, or when it has been silent for longer than its entry
lease and configuration lease together, after which it cannot answer.
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
LOST_AFTER_S = _leadership.ENTRY_LEASE_S + CONFIG_LEASE_S * (1.0 + CLOCK_DRIFT)
# Half of the bound of 12 h, since a new leader times a generation anew.
ROTATE_AFTER_S = 6 * 3_600.0
DROP_AFTER_S = 24 * 3_600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """An entry in its incarnation that holds or may hold records."""

    entry: ids.EntryId
    incarnation: int
    region: ids.RegionName
    domain: ids.DomainName


class GroupPlanner:
    """Proposes changes of the record groups during one term."""

    def __init__(self) -> None:
        self._seen_at: dict[tuple[str, int], float] = {}

    def plan(
        self,
        now: float,
        leadership: _leadership.Leadership,
        tables: store.Tables,
    ) -> Iterator[store.RowStep]:
        """Yield the steps that are due; `now` is in monotonic seconds."""
        live = _list_live(leadership, tables)
        regions = {holder.region for holder in live}
        regions.update(row.name for row in tables.rows(wire.RecordGroup))
        for region in sorted(regions):
            current = tables.get(wire.RecordGroup, region)
            if current is None:
                if leadership.is_settled(now):
                    yield store.RowStep(None, _found_group(region, live))
                continue
            row = _repair(now, current, leadership, live)
            if row == current:
                row = self._age(now, current)
            if row != current:
                yield store.RowStep(current, row)

    def _age(self, now: float, row: wire.RecordGroup) -> wire.RecordGroup:
        """Start a new generation or drop the oldest when it is time."""
        known = [key for key in self._seen_at if key[0] == row.name]
        if (row.name, row.generation) not in self._seen_at:
            for generation in range(row.lost_before, row.generation + 1):
                self._seen_at.setdefault((row.name, generation), now)
        for key in known:
            if key[1] < row.lost_before:
                del self._seen_at[key]
        started = self._seen_at[row.name, row.generation]
        if now - started >= ROTATE_AFTER_S:
            return msgspec.structs.replace(row, generation=row.generation + 1)
        lost_before = row.lost_before
        # A generation is superseded when the next one is first seen.
        while (
            lost_before < row.generation
            and now - self._seen_at.get((row.name, lost_before + 1), now)
            >= DROP_AFTER_S
        ):
            lost_before += 1
        return msgspec.structs.replace(row, lost_before=lost_before)


def _list_live(
    leadership: _leadership.Leadership, tables: store.Tables
) -> list[Holder]:
    """Return the entries that may become holders."""
    drained = {
        drain.subject
        for drain in tables.rows(wire.Drain)
        if drain.scope is wire.DrainScope.ENTRY
        and drain.state in {wire.DrainState.ACTIVE, wire.DrainState.DONE}
    }
    return [
        Holder(
            row.info.entry,
            row.info.incarnation,
            row.info.region,
            row.info.failure_domain,
        )
        for row in leadership.entries.rows()
        if row.alive and not row.draining and row.info.entry not in drained
    ]


def _found_group(
    region: ids.RegionName, live: list[Holder]
) -> wire.RecordGroup:
    """Return the first row of a region; no record can exist yet."""
    primary = next(holder for holder in live if holder.region == region)
    empty = wire.RecordGroup(name=region, generation=1, primary=primary.entry)
    return _set_holders(empty, primary, _choose_backup(region, primary, live))


def _repair(
    now: float,
    row: wire.RecordGroup,
    leadership: _leadership.Leadership,
    live: list[Holder],
) -> wire.RecordGroup:
    """Return the row after the loss or return of a holder."""
    primary_lost = _is_lost(
        now, row, row.primary, row.primary_incarnation, leadership
    )
    backup_lost = row.backup is None or _is_lost(
        now, row, row.backup, row.backup_incarnation, leadership
    )
    if primary_lost:
        if backup_lost or not row.backup_ready:
            return _restart(row, live)
        return _promote(row, live)
    primary = _find(live, row.primary)
    if primary is None:
        can_take_over = row.backup_ready and _find(live, row.backup)
        draining = _find_draining(row.primary, leadership)
        if draining is not None and not backup_lost and can_take_over:
            return _promote(row, live, draining)
        return row
    wanted = _choose_backup(row.name, primary, live)
    if (
        backup_lost
        or _should_move(row, primary, wanted, live)
        or (wanted is not None and _is_leaving(row.backup, live, leadership))
    ):
        if wanted is None and row.backup is None:
            return row
        return _replace_backup(row, primary, wanted)
    if not row.backup_ready and _has_copy(
        row, row.backup, row.backup_incarnation, leadership
    ):
        return msgspec.structs.replace(row, backup_ready=True)
    return row


def _is_lost(
    now: float,
    row: wire.RecordGroup,
    entry: ids.EntryId,
    incarnation: int,
    leadership: _leadership.Leadership,
) -> bool:
    known = leadership.entries.get(entry)
    if known is not None and known.info.incarnation != incarnation:
        # The process has restarted; what it held in memory is gone.
        return True
    return leadership.entries.get_silence_s(now, entry) > LOST_AFTER_S


def _has_copy(
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


def _find(live: list[Holder], entry: ids.EntryId | None) -> Holder | None:
    return next((holder for holder in live if holder.entry == entry), None)


def _choose_backup(
    region: ids.RegionName, primary: Holder, live: list[Holder]
) -> Holder | None:
    """Return the best backup for a primary.

    Another failure domain of the region comes first. Another region comes
    before the primary's own domain, which would be lost together with it.
    """

    def rank(holder: Holder) -> tuple[bool, bool, str]:
        return (
            not _is_home(region, primary, holder),
            holder.region == region,
            holder.entry,
        )

    others = [holder for holder in live if holder.entry != primary.entry]
    return min(others, key=rank, default=None)


def _find_draining(
    entry: ids.EntryId, leadership: _leadership.Leadership
) -> Holder | None:
    """Return an entry that is alive but may not become a holder anew."""
    known = leadership.entries.get(entry)
    if known is None or not known.alive:
        return None
    info = known.info
    return Holder(entry, info.incarnation, info.region, info.failure_domain)


def _is_leaving(
    entry: ids.EntryId | None,
    live: list[Holder],
    leadership: _leadership.Leadership,
) -> bool:
    if entry is None or _find(live, entry) is not None:
        return False
    return _find_draining(entry, leadership) is not None


def _is_home(region: ids.RegionName, primary: Holder, holder: Holder) -> bool:
    return holder.region == region and holder.domain != primary.domain


def _should_move(
    row: wire.RecordGroup,
    primary: Holder,
    wanted: Holder | None,
    live: list[Holder],
) -> bool:
    """Return whether the backup is outside a region that has room for it."""
    current = _find(live, row.backup)
    if wanted is None or current is None or current.entry == wanted.entry:
        return False
    return _is_home(row.name, primary, wanted) and not _is_home(
        row.name, primary, current
    )


def _set_holders(
    row: wire.RecordGroup, primary: Holder, backup: Holder | None
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
    row: wire.RecordGroup, primary: Holder, backup: Holder | None
) -> wire.RecordGroup:
    """Return the row with a new backup, which counts once it is ready."""
    newer = msgspec.structs.replace(row, generation=row.generation + 1)
    return _set_holders(newer, primary, backup)


def _promote(
    row: wire.RecordGroup, live: list[Holder], draining: Holder | None = None
) -> wire.RecordGroup:
    """Return the row with the backup as primary.

    Without any other entry the draining primary stays as backup until it
    ends, since a group without a backup takes no claims.
    """
    backup = _find(live, row.backup)
    newer = msgspec.structs.replace(row, generation=row.generation + 1)
    if backup is None:
        # The survivor is silent or draining but has not lost its records.
        return msgspec.structs.replace(
            newer,
            primary=row.backup,
            primary_incarnation=row.backup_incarnation,
            backup=None,
            backup_incarnation=0,
            backup_ready=False,
        )
    other = _choose_backup(row.name, backup, live) or draining
    return _set_holders(newer, backup, other)


def _restart(row: wire.RecordGroup, live: list[Holder]) -> wire.RecordGroup:
    """Return a row whose older records count as lost."""
    local = [holder for holder in live if holder.region == row.name]
    if not local:
        return row
    # A former holder may have kept records in its journal.
    former = [row.primary, row.backup]
    primary = min(
        local, key=lambda holder: (holder.entry not in former, holder.entry)
    )
    generation = row.generation + 1
    newer = msgspec.structs.replace(
        row, generation=generation, lost_before=generation
    )
    return _set_holders(
        newer, primary, _choose_backup(row.name, primary, live)
    )
