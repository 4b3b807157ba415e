"""An entry's copy of the leader's target rows."""

from collections.abc import Iterable
import dataclasses

import msgspec

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.membership import _targets


@dataclasses.dataclass(slots=True)
class MirroredTarget:
    """A target as an entry knows it.

    `ready_since` and `load_at` are in the entry's monotonic seconds;
    `load_at` is None without a load report. `drop_at` is set while the row
    waits for a new leader to list it.
    """

    report: wire.TargetReport
    ready_since: float
    load_at: float | None
    drop_at: float | None = None


class TargetMirror:
    """Target rows of the leader and leaves heard directly.

    A row is no permission to use the target: the grants are, and they carry
    its lease. Rows that a new leader does not list yet stay for one target
    lease, because its table is empty until the targets announce themselves
    again. `version` counts changes of the mirror.
    """

    def __init__(self) -> None:
        self.version = 0
        self._targets: dict[ids.TargetId, MirroredTarget] = {}
        self._left: dict[ids.TargetId, tuple[tuple[int, int], float]] = {}

    def apply(self, now: float, response: wire.SyncResponse) -> None:
        """Take the rows of an answer."""
        listed = {row.report.target for row in response.targets}
        if response.targets_full:
            self._schedule_drops(now, listed)
        for row in response.targets:
            self._apply_row(now, row)
        for load in response.loads:
            self._apply_load(now, load)
        for target in response.targets_removed:
            if target not in listed:
                self._targets.pop(target, None)
        self.version += 1

    def record_leave(self, now: float, report: wire.TargetReport) -> None:
        """Take a leave that reached this entry or one of its peers.

        The target is left out until it reports a newer incarnation or the
        row is 60 s old.
        """
        order = _targets.sort_key(report)
        known, _ = self._left.get(report.target, (order, 0.0))
        self._left[report.target] = (
            max(order, known),
            now + _targets.LEAVING_KEPT_S,
        )
        self.version += 1

    def expire(self, now: float) -> None:
        """Drop rows that a new leader did not list and old leaves."""
        dropped = [
            target
            for target, row in self._targets.items()
            if row.drop_at is not None and row.drop_at <= now
        ]
        for target in dropped:
            del self._targets[target]
        ended = [
            target for target, (_, end) in self._left.items() if end <= now
        ]
        for target in ended:
            del self._left[target]
        if dropped or ended:
            self.version += 1

    def get(self, target: ids.TargetId) -> MirroredTarget | None:
        """Return the row of a target, or None when it is not known."""
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
        left = self._left.get(report.target)
        if left is None:
            return False
        # Sequences restart with an incarnation. A "ready" with a higher
        # sequence of the same incarnation revokes the leave.
        return _targets.sort_key(report) <= left[0]

    def _schedule_drops(
        self, now: float, listed: Iterable[ids.TargetId]
    ) -> None:
        for target, row in self._targets.items():
            if target not in listed and row.drop_at is None:
                row.drop_at = now + _targets.TARGET_LEASE_S

    def _apply_row(self, now: float, row: wire.TargetRow) -> None:
        report = row.report
        known = self._targets.get(report.target)
        if known is not None and (
            _targets.sort_key(report) < _targets.sort_key(known.report)
        ):
            # The row of a new leader may be older, but it lists the target.
            known.drop_at = None
            return
        has_load = report.load is not None
        self._targets[report.target] = MirroredTarget(
            report=report,
            ready_since=now - row.ready_ms / 1_000,
            load_at=now - row.load_age_ms / 1_000 if has_load else None,
        )

    def _apply_load(self, now: float, row: wire.LoadRow) -> None:
        known = self._targets.get(row.target)
        if known is None or row.sequence < known.report.sequence:
            return
        known.report = msgspec.structs.replace(
            known.report,
            sequence=row.sequence,
            load=wire.TargetLoad(
                busy_slots=row.busy_slots,
                queued=row.queued,
                latency_ms=row.latency_ms,
            ),
        )
        known.load_at = now - row.age_ms / 1_000
