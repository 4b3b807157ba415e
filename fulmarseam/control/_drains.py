"""Steps of planned drains."""

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
    entry that may run requests has it in force and neither holds slots nor
    runs requests on what it empties.
    """

    def __init__(self) -> None:
        self._in_force_at: dict[str, int] = {}

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
                    yield _move(drain, wire.DrainState.ACTIVE)
            elif drain.state is wire.DrainState.ACTIVE:
                # The revision at which this leader first saw the drain is
                # not below the one that started it.
                revision = self._in_force_at.setdefault(
                    drain.name, tables.revision
                )
                reports = list(leadership.live_reports(now))
                if leadership.is_settled(now) and not any(
                    find_pending(drain, revision, leadership, reports)
                ):
                    yield _move(drain, wire.DrainState.DONE)


def find_pending(
    drain: wire.Drain,
    revision: int,
    leadership: _leadership.Leadership,
    reports: Collection[_leadership.EntryReport],
) -> Iterator[_leadership.EntryReport]:
    """Yield the reports of entries that the drain still waits for."""
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
    """Return whether a drain empties a target."""
    if drain.scope is wire.DrainScope.TARGET:
        return target == drain.subject
    place = leadership.places.get(target)
    if place is None:
        # A target that this leader never heard of may be drained.
        return drain.scope is not wire.DrainScope.ENTRY
    if drain.scope is wire.DrainScope.DOMAIN:
        return place.domain == drain.subject
    if drain.scope is wire.DrainScope.REGION:
        return place.region == drain.subject
    return False


def _move(drain: wire.Drain, state: wire.DrainState) -> store.RowStep:
    return store.RowStep(drain, msgspec.structs.replace(drain, state=state))
