"""The leader's table of announced targets."""

import collections
import dataclasses
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire

TARGET_LEASE_S = 3.0
# The row of a leaving target stays this long, so that a late "ready" report
# does not revive the target.
LEAVING_RETENTION_S = 60.0
# Load changes with nearly every report. Publishing each change would exceed
# the 6 KB/s of control traffic that a node may use.
LOAD_PUBLISH_INTERVAL_S = 2.0
# Removals that are kept; readers that missed more get the whole table.
MAX_REMOVALS = 1_000


@dataclasses.dataclass(slots=True)
class Target:
    """A target and the times of its last reports.

    Times are in seconds of the owner's monotonic clock. `ready_since` is
    None until the target was ready, `load_at` until it reported a load.
    `version` is the table version of the last urgent change, `load_version`
    that of the last published load.
    """

    report: wire.TargetReport
    lease_until: float
    ready_since: float | None
    load_at: float | None
    load_published_at: float
    version: int
    load_version: int


class TargetChanges(NamedTuple):
    """Changed rows and loads, and removed targets, since a version.

    If `full` is set, `rows` is the whole table and replaces the reader's.
    """

    version: int
    full: bool
    rows: list[wire.TargetRow]
    removed: list[ids.TargetId]
    loads: list[wire.LoadRow]


class TargetTable:
    """Announced targets, each with its newest report.

    Reports are ordered by (incarnation, sequence). `version` counts the
    changes that readers must get: new and removed targets, changes of state,
    address, size or location, and the load at most every 2 s. A renewal
    alone is not a change, because each grant carries the lease of its
    target. `urgent_version` is the last version with more than a change of
    load; only such versions are sent to readers at once.
    """

    def __init__(self, lease_s: float = TARGET_LEASE_S) -> None:
        self.version = 0
        self.urgent_version = 0
        self._lease_s = lease_s
        self._targets: dict[ids.TargetId, Target] = {}
        self._removals: collections.deque[tuple[int, ids.TargetId]] = (
            collections.deque()
        )
        self._min_incremental_version = 0

    def record(
        self, now: float, report: wire.TargetReport, received_age_ms: int
    ) -> bool:
        """Record a report that an entry received `received_age_ms` ago.

        Returns whether the report was accepted. It is ignored unless it is
        newer than the last report.
        """
        received_at = now - max(0, received_age_ms) / 1_000
        current = self._targets.get(report.target)
        if current is None:
            self._targets[report.target] = self._create(received_at, report)
            return True
        if sort_key(report) <= sort_key(current.report):
            return False
        self._update(current, received_at, report)
        return True

    def has_report(self, report: wire.TargetReport) -> bool:
        """Return whether this report or a newer one has been recorded.

        If so, an entry may confirm the announcement to the target.
        """
        current = self._targets.get(report.target)
        return current is not None and sort_key(report) <= sort_key(
            current.report
        )

    def expire(self, now: float) -> list[ids.TargetId]:
        """Remove targets with expired leases; return their ids.

        Rows of leaving targets stay until 60 s after the report.
        """
        expired = [
            target
            for target, row in self._targets.items()
            if row.lease_until <= now
        ]
        for target in expired:
            del self._targets[target]
            self.version += 1
            self.urgent_version = self.version
            self._removals.append((self.version, target))
        while len(self._removals) > MAX_REMOVALS:
            self._min_incremental_version = self._removals.popleft()[0]
        return expired

    def get(self, target: ids.TargetId) -> Target | None:
        """Return the target, or None if it is not known."""
        return self._targets.get(target)

    def all(self) -> list[Target]:
        """Return all targets, including leaving ones."""
        return list(self._targets.values())

    def changes_since(self, now: float, version: int) -> TargetChanges:
        """Return the changes that a reader at `version` has not seen.

        Version 0 stands for a reader without rows, or with rows from the
        table of another leader. It gets the whole table.
        """
        full = version < self._min_incremental_version or not (
            0 < version <= self.version
        )
        rows = [
            to_row(now, target)
            for target in self._targets.values()
            if full or target.version > version
        ]
        if full:
            return TargetChanges(self.version, full, rows, [], [])
        loads = [
            _to_load_row(now, target)
            for target in self._targets.values()
            if target.load_version > version >= target.version
        ]
        removed = self._list_removed(version)
        return TargetChanges(self.version, full, rows, removed, loads)

    def rows_since(self, now: float, version: int) -> list[wire.TargetRow]:
        """Return the rows that changed after `version`."""
        return self.changes_since(now, version).rows

    def _list_removed(self, version: int) -> list[ids.TargetId]:
        return sorted(
            {
                target
                for removed_at, target in self._removals
                if removed_at > version and target not in self._targets
            }
        )

    def _create(self, received_at: float, report: wire.TargetReport) -> Target:
        self.version += 1
        self.urgent_version = self.version
        ready = report.state is wire.TargetState.READY
        return Target(
            report=report,
            lease_until=received_at + self._find_lease_s(report),
            ready_since=received_at if ready else None,
            load_at=None if report.load is None else received_at,
            load_published_at=received_at,
            version=self.version,
            load_version=self.version,
        )

    def _update(
        self, current: Target, received_at: float, report: wire.TargetReport
    ) -> None:
        restarted = report.incarnation != current.report.incarnation
        if restarted:
            current.ready_since = None
        if (
            report.state is wire.TargetState.READY
            and current.ready_since is None
        ):
            current.ready_since = received_at
        if report.load is not None:
            current.load_at = received_at
        elif restarted:
            current.load_at = None
        if get_urgent_fields(report) != get_urgent_fields(current.report):
            self.version += 1
            self.urgent_version = self.version
            current.version = self.version
            current.load_published_at = received_at
        elif self._is_load_due(current, received_at, report):
            self.version += 1
            current.load_version = self.version
            current.load_published_at = received_at
        current.report = report
        current.lease_until = max(
            current.lease_until, received_at + self._find_lease_s(report)
        )

    def _find_lease_s(self, report: wire.TargetReport) -> float:
        if report.state is wire.TargetState.LEAVING:
            return LEAVING_RETENTION_S
        return self._lease_s

    def _is_load_due(
        self, current: Target, received_at: float, report: wire.TargetReport
    ) -> bool:
        is_due = (
            received_at - current.load_published_at >= LOAD_PUBLISH_INTERVAL_S
        )
        return is_due and report.load is not None


def sort_key(report: wire.TargetReport) -> tuple[int, int]:
    """Return the key that orders the reports of a target."""
    return report.incarnation, report.sequence


def get_urgent_fields(report: wire.TargetReport) -> tuple[object, ...]:
    """Return the fields whose changes are sent to readers at once."""
    return (
        report.incarnation,
        report.state,
        report.pool,
        report.address,
        report.region,
        report.failure_domain,
        report.slots,
        report.connections,
        report.load is None,
    )


def to_row(now: float, target: Target) -> wire.TargetRow:
    """Return the row of a target, with times as ages at `now`.

    `ready_ms` is 0 for a target that was never ready, `load_age_ms` is 0
    without a load report.
    """
    return wire.TargetRow(
        report=target.report,
        lease_ms=to_ms(target.lease_until - now),
        ready_ms=_to_age_ms(now, target.ready_since),
        load_age_ms=_to_age_ms(now, target.load_at),
    )


def _to_load_row(now: float, target: Target) -> wire.LoadRow:
    report = target.report
    load = report.load or wire.TargetLoad(busy_slots=0)
    return wire.LoadRow(
        target=report.target,
        sequence=report.sequence,
        busy_slots=load.busy_slots,
        queued=load.queued,
        latency_ms=load.latency_ms,
        age_ms=_to_age_ms(now, target.load_at),
    )


def _to_age_ms(now: float, since: float | None) -> int:
    return 0 if since is None else to_ms(now - since)


def to_ms(seconds: float) -> int:
    """Return whole milliseconds, at least 0."""
    return max(0, int(seconds * 1_000))
