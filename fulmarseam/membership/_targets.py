"""The leader's table of announced targets."""

import collections
import dataclasses
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire

TARGET_LEASE_S = 3.0
# A late "ready" must not revive a target that has left.
LEAVING_KEPT_S = 60.0
# Load changes with nearly every report. Passing each of them on would take
# more than the 6 KB/s that a node may spend on control.
LOAD_NEWS_INTERVAL_S = 2.0
# Readers that are behind by more removals get the whole table.
REMOVALS_KEPT = 1_000


@dataclasses.dataclass(slots=True)
class Target:
    """A target and the times of its last reports.

    `lease_until`, `ready_since` and `load_at` are in the owner's monotonic
    seconds; the latter two are None until the target was ready and until it
    reported a load. `version` is the table version of the last change of
    facts and `load_version` that of the last load passed on.
    """

    report: wire.TargetReport
    lease_until: float
    ready_since: float | None
    load_at: float | None
    load_news_at: float
    version: int
    load_version: int


class TargetChanges(NamedTuple):
    """Rows and loads changed and targets removed since a version.

    With `full`, `rows` is the whole table and replaces what the reader had.
    """

    version: int
    full: bool
    rows: list[wire.TargetRow]
    removed: list[ids.TargetId]
    loads: list[wire.LoadRow]


class TargetTable:
    """Targets ordered by (incarnation, sequence) of their reports.

    A version counts the changes that readers must know: a new target,
    another state, address, size or place, a removal, and a change of load at
    most every 2 s. A renewal alone is no news, because each grant carries
    the lease of its target. `urgent_version` is the last version that is
    more than a change of load; only that is worth an answer at once.
    """

    def __init__(self, lease_s: float = TARGET_LEASE_S) -> None:
        self.version = 0
        self.urgent_version = 0
        self._lease_s = lease_s
        self._targets: dict[ids.TargetId, Target] = {}
        self._removals: collections.deque[tuple[int, ids.TargetId]] = (
            collections.deque()
        )
        self._complete_since = 0

    def record(
        self, now: float, report: wire.TargetReport, received_age_ms: int
    ) -> bool:
        """Take a report that an entry received `received_age_ms` ago.

        Return whether the report was accepted; one that is not newer than
        the last is ignored, and a repeat of the last report too.
        """
        received_at = now - max(0, received_age_ms) / 1_000
        known = self._targets.get(report.target)
        if known is None:
            self._targets[report.target] = self._create(received_at, report)
            return True
        if sort_key(report) <= sort_key(known.report):
            return False
        self._update(known, received_at, report)
        return True

    def has_report(self, report: wire.TargetReport) -> bool:
        """Return whether this report or a newer one has been recorded.

        An entry may then confirm the announcement to the target.
        """
        known = self._targets.get(report.target)
        return known is not None and sort_key(report) <= sort_key(known.report)

    def expire(self, now: float) -> list[ids.TargetId]:
        """Remove targets whose lease has ended; return their ids.

        Rows of targets that are leaving stay until 60 s after the report.
        """
        ended = [
            target
            for target, row in self._targets.items()
            if row.lease_until <= now
        ]
        for target in ended:
            del self._targets[target]
            self.version += 1
            self.urgent_version = self.version
            self._removals.append((self.version, target))
        while len(self._removals) > REMOVALS_KEPT:
            self._complete_since = self._removals.popleft()[0]
        return ended

    def get(self, target: ids.TargetId) -> Target | None:
        """Return the target, or None when it is not known."""
        return self._targets.get(target)

    def all(self) -> list[Target]:
        """Return all targets, those that are leaving included."""
        return list(self._targets.values())

    def changes_since(self, now: float, version: int) -> TargetChanges:
        """Return what a reader at `version` needs to be up to date.

        Version 0 stands for a reader that has nothing, which also holds for
        readers whose version belongs to the table of another leader.
        """
        full = version < self._complete_since or not (
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
            lease_until=received_at + self._lease_of(report),
            ready_since=received_at if ready else None,
            load_at=None if report.load is None else received_at,
            load_news_at=received_at,
            version=self.version,
            load_version=self.version,
        )

    def _update(
        self, known: Target, received_at: float, report: wire.TargetReport
    ) -> None:
        restarted = report.incarnation != known.report.incarnation
        if restarted:
            known.ready_since = None
        if (
            report.state is wire.TargetState.READY
            and known.ready_since is None
        ):
            known.ready_since = received_at
        if report.load is not None:
            known.load_at = received_at
        elif restarted:
            known.load_at = None
        if facts_of(report) != facts_of(known.report):
            self.version += 1
            self.urgent_version = self.version
            known.version = self.version
            known.load_news_at = received_at
        elif self._is_load_due(known, received_at, report):
            self.version += 1
            known.load_version = self.version
            known.load_news_at = received_at
        known.report = report
        known.lease_until = max(
            known.lease_until, received_at + self._lease_of(report)
        )

    def _lease_of(self, report: wire.TargetReport) -> float:
        if report.state is wire.TargetState.LEAVING:
            return LEAVING_KEPT_S
        return self._lease_s

    def _is_load_due(
        self, known: Target, received_at: float, report: wire.TargetReport
    ) -> bool:
        due = received_at - known.load_news_at >= LOAD_NEWS_INTERVAL_S
        return due and report.load is not None


def sort_key(report: wire.TargetReport) -> tuple[int, int]:
    """Return the key by which the reports of a target are ordered."""
    return report.incarnation, report.sequence


def facts_of(report: wire.TargetReport) -> tuple[object, ...]:
    """Return the fields whose change readers must learn at once."""
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
    """Return the target with its times as ages at `now`.

    `ready_ms` is 0 for a target that was never ready, and `load_age_ms` is
    0 when there is no load report.
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
    """Return whole milliseconds, never below zero."""
    return max(0, int(seconds * 1_000))
