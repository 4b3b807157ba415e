"""Steps of planned shifts."""

from collections.abc import Iterator
import dataclasses

import msgspec

from fulmarseam import store
from fulmarseam import wire
from fulmarseam.control import _drains
from fulmarseam.control import _leadership

RAMP_STEPS = 10
# A step is in force everywhere within a second, so faster steps would
# follow each other before their effect is seen.
MIN_STEP_S = 1.0
# A shift is held below the first share of free slots on the receiving side
# and goes on above the second, so that it does not alternate.
HOLD_BELOW = 0.1
RESUME_ABOVE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Slots of a pool in a region and how many of them are free."""

    slots: int
    free: int

    @property
    def share(self) -> float:
        """Return the free share; 0 without any slots."""
        return self.free / self.slots if self.slots else 0.0


class ShiftPlanner:
    """Proposes the next states and percentages of shifts during one term.

    Start and end follow the wall clock. The ramp is timed by the monotonic
    clock; a new leader goes on from the percentage in force.
    """

    def __init__(self) -> None:
        self._stepped_at: dict[str, float] = {}

    def plan(
        self,
        now: float,
        wall_time: float,
        leadership: _leadership.Leadership,
        tables: store.Tables,
    ) -> Iterator[store.RowStep]:
        """Yield the steps that are due; `now` is in monotonic seconds."""
        for shift in tables.rows(wire.Shift):
            if shift.state in {
                wire.ShiftState.DONE,
                wire.ShiftState.CANCELLED,
            }:
                self._stepped_at.pop(shift.name, None)
            elif shift.end <= wall_time:
                yield _move(shift, wire.ShiftState.DONE, 0.0)
            elif shift.state is wire.ShiftState.PLANNED:
                if shift.start <= wall_time and not _is_blocked(shift, tables):
                    yield _move(shift, wire.ShiftState.ACTIVE, 0.0)
            else:
                yield from self._plan_ramp(now, shift, leadership, tables)

    def _plan_ramp(
        self,
        now: float,
        shift: wire.Shift,
        leadership: _leadership.Leadership,
        tables: store.Tables,
    ) -> Iterator[store.RowStep]:
        if shift.percent >= shift.cap_percent:
            return
        if not leadership.is_settled(now):
            return
        room = find_room(now, shift, leadership, tables)
        if shift.state is wire.ShiftState.HELD:
            if room.share > RESUME_ABOVE:
                yield _move(shift, wire.ShiftState.ACTIVE, shift.percent)
            return
        if room.share < HOLD_BELOW:
            yield _move(shift, wire.ShiftState.HELD, shift.percent)
            return
        interval = max(MIN_STEP_S, shift.ramp_s / RAMP_STEPS)
        if now - self._stepped_at.get(shift.name, float('-inf')) < interval:
            return
        self._stepped_at[shift.name] = now
        yield _move(shift, shift.state, _next_percent(shift))


def find_room(
    now: float,
    shift: wire.Shift,
    leadership: _leadership.Leadership,
    tables: store.Tables,
) -> Room:
    """Return the room for a shift in its receiving region."""
    drains = [
        drain
        for drain in tables.rows(wire.Drain)
        if drain.state in {wire.DrainState.ACTIVE, wire.DrainState.DONE}
    ]
    slots = {
        target.report.target: target.report.slots
        for target in leadership.targets.all()
        if target.report.pool == shift.pool
        and target.report.region == shift.to_region
        and target.report.state is wire.TargetState.READY
        and not any(
            _drains.is_drained(drain, target.report.target, leadership)
            for drain in drains
        )
    }
    busy = sum(
        use.in_flight
        for report in leadership.live_reports(now)
        for use in report.request.uses
        if use.target in slots
    )
    total = sum(slots.values())
    return Room(total, max(0, total - busy))


def _is_blocked(shift: wire.Shift, tables: store.Tables) -> bool:
    """Return whether another shift of the same traffic still runs."""
    return any(
        other.state in {wire.ShiftState.ACTIVE, wire.ShiftState.HELD}
        and (other.pool, other.from_region) == (shift.pool, shift.from_region)
        for other in tables.rows(wire.Shift)
        if other.name != shift.name
    )


def _next_percent(shift: wire.Shift) -> float:
    if shift.ramp_s <= 0.0:
        return shift.cap_percent
    step = shift.cap_percent / RAMP_STEPS
    return min(shift.cap_percent, shift.percent + step)


def _move(
    shift: wire.Shift, state: wire.ShiftState, percent: float
) -> store.RowStep:
    return store.RowStep(
        shift, msgspec.structs.replace(shift, state=state, percent=percent)
    )
