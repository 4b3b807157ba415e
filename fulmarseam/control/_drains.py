"""State changes of drains."""

from collections.abc import Collection
from collections.abc import Iterator

import msgspec

from fulmarseam import ids
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.control import _leadership


class DrainPlanner:
    """Proposes the next states of drains during one term.

    A drain starts at its time by the wall clock. It is done when every
    entry that may run requests has applied it and neither holds slots nor
    runs requests on the drained targets or entry.
    """

    def __init__(self) -> None:
        self._active_revisions: dict[str, int] = {}

    def plan(
        self,
        now: float,
        wall_time: float,
        leadership: _leadership.Leadership,
        tables: store.Tables,
    ) -> Iterator[store.RowStep]:
        """Yield the steps that are due; `now` is in monotonic seconds."""
        for drain in tables.rows(wire.Drain):
            if drain.state is wire.DrainState.PLANNED:
                if drain.start <= wall_time:
                    yield _make_step(drain, wire.DrainState.ACTIVE)
            elif drain.state is wire.DrainState.ACTIVE:
                # The revision at which this leader first saw the active drain
                # is at or above the one that activated it.
                revision = self._active_revisions.setdefault(
                    drain.name, tables.revision
                )
                reports = list(leadership.find_live_reports(now))
                if leadership.is_settled(now) and not any(
                    find_blocking_reports(drain, revision, leadership, reports)
                ):
                    yield _make_step(drain, wire.DrainState.DONE)


def find_blocking_reports(
    drain: wire.Drain,
    revision: int,
    leadership: _leadership.Leadership,
    reports: Collection[_leadership.EntryReport],
) -> Iterator[_leadership.EntryReport]:
    """Yield the reports of entries that keep the drain from being done."""
    for report in reports:
        if report.request.revision < revision:
            yield report
        elif drain.scope is wire.DrainScope.ENTRY:
            if report.request.info.entry == drain.subject and report.in_flight:
                yield report
        elif any(
            is_drained(drain, use.target, leadership)
            for use in report.request.uses
            if use.allowance or use.in_flight
        ):
            yield report


def is_drained(
    drain: wire.Drain, target: ids.TargetId, leadership: _leadership.Leadership
) -> bool:
    """Return whether a drain applies to a target."""
    if drain.scope is wire.DrainScope.TARGET:
        return target == drain.subject
    location = leadership.target_locations.get(target)
    if location is None:
        # The drain may apply to a target without a known location.
        return drain.scope is not wire.DrainScope.ENTRY
    if drain.scope is wire.DrainScope.DOMAIN:
        return location.domain == drain.subject
    if drain.scope is wire.DrainScope.REGION:
        return location.region == drain.subject
    return False


def _make_step(drain: wire.Drain, state: wire.DrainState) -> store.RowStep:
    return store.RowStep(drain, msgspec.structs.replace(drain, state=state))
