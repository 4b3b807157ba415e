"""An entry's local copy of the leader's target rows."""

from collections.abc import Iterable
import dataclasses

import msgspec

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.membership import _targets


@dataclasses.dataclass(slots=True)
class MirroredTarget:
    """A target as an entry knows it.

    Times are in seconds of the entry's monotonic clock. `load_at` is when
    the load was reported, or None without a load report. `remove_at` is set
    while a new leader has not listed the target yet.
    """

    report: wire.TargetReport
    ready_since: float
    load_at: float | None
    remove_at: float | None = None


class TargetMirror:
    """Target rows of the leader, and leave notices of targets.

    A row does not permit an entry to use the target; only a grant does, and
    it carries the target's lease. Rows that a new leader does not list yet
    stay for one target lease, because its table is empty until the targets
    announce themselves again. `version` counts changes of the mirror.
    """

    def __init__(self) -> None:
        self.version = 0
        self._targets: dict[ids.TargetId, MirroredTarget] = {}
        # The newest notice of each target, and when it is forgotten.
        self._leave_notices: dict[
            ids.TargetId, tuple[wire.TargetReport, float]
        ] = {}

    def apply(self, now: float, response: wire.SyncResponse) -> None:
        """Apply the rows of an answer."""
        listed = {row.report.target for row in response.targets}
        if response.targets_full:
            self._schedule_removals(now, listed)
        for row in response.targets:
            self._apply_row(now, row)
        for load in response.loads:
            self._apply_load(now, load)
        for target in response.targets_removed:
            if target not in listed:
                self._targets.pop(target, None)
        self.version += 1

    def record_leave(self, now: float, report: wire.TargetReport) -> None:
        """Record a leave notice that reached this entry or one of its peers.

        The target is not used until it sends a newer report, or until the
        notice is 60 s old.
        """
        current, _ = self._leave_notices.get(report.target, (report, 0.0))
        self._leave_notices[report.target] = (
            max(report, current, key=_targets.sort_key),
            now + _targets.LEAVING_RETENTION_S,
        )
        self.version += 1

    def list_leave_notices(self) -> list[wire.TargetReport]:
        """Return the newest leave notice of each target."""
        return [report for report, _ in self._leave_notices.values()]

    def expire(self, now: float) -> None:
        """Remove rows that a new leader did not list, and old notices."""
        unlisted = [
            target
            for target, row in self._targets.items()
            if row.remove_at is not None and row.remove_at <= now
        ]
        for target in unlisted:
            del self._targets[target]
        expired = [
            target
            for target, (_, end) in self._leave_notices.items()
            if end <= now
        ]
        for target in expired:
            del self._leave_notices[target]
        if unlisted or expired:
            self.version += 1

    def get(self, target: ids.TargetId) -> MirroredTarget | None:
        """Return the row of a target, or None if it is not known."""
        return self._targets.get(target)

    def ready(self) -> list[MirroredTarget]:
        """Return the targets that are ready and have not left."""
        return [
            row
            for row in self._targets.values()
            if row.report.state is wire.TargetState.READY
            and not self._has_left(row.report)
        ]

    def _has_left(self, report: wire.TargetReport) -> bool:
        leave = self._leave_notices.get(report.target)
        if leave is None:
            return False
        # Sequences restart with each incarnation. A "ready" report with a
        # higher sequence of the same incarnation revokes the leave notice.
        return _targets.sort_key(report) <= _targets.sort_key(leave[0])

    def _schedule_removals(
        self, now: float, listed: Iterable[ids.TargetId]
    ) -> None:
        for target, row in self._targets.items():
            if target not in listed and row.remove_at is None:
                row.remove_at = now + _targets.TARGET_LEASE_S

    def _apply_row(self, now: float, row: wire.TargetRow) -> None:
        report = row.report
        current = self._targets.get(report.target)
        if current is not None and (
            _targets.sort_key(report) < _targets.sort_key(current.report)
        ):
            # The new leader's row may be older, but it lists the target.
            current.remove_at = None
            return
        has_load = report.load is not None
        self._targets[report.target] = MirroredTarget(
            report=report,
            ready_since=now - row.ready_ms / 1_000,
            load_at=now - row.load_age_ms / 1_000 if has_load else None,
        )

    def _apply_load(self, now: float, row: wire.LoadRow) -> None:
        current = self._targets.get(row.target)
        if current is None or row.sequence < current.report.sequence:
            return
        current.report = msgspec.structs.replace(
            current.report,
            sequence=row.sequence,
            load=wire.TargetLoad(
                busy_slots=row.busy_slots,
                queued=row.queued,
                latency_ms=row.latency_ms,
            ),
        )
        current.load_at = now - row.age_ms / 1_000
