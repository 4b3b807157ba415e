"""State changes of shifts."""

from collections.abc import Iterator
import dataclasses

import msgspec

from fulmarseam import store
from fulmarseam import wire
from fulmarseam.control import _drains
from fulmarseam.control import _leadership

RAMP_STEPS = 10
# A step takes up to a second to be in force everywhere. Shorter intervals
# would not show the effect of one step before the next.
MIN_STEP_INTERVAL_S = 1.0
# A shift is held when the share of free slots in the receiving region falls
# below the first value, and resumed above the second. The gap between them
# keeps it from alternating.
HOLD_BELOW_FREE_SHARE = 0.1
RESUME_ABOVE_FREE_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class SlotCapacity:
    """The total and free slots of a pool in a region."""

    slots: int
    free: int

    @property
    def free_share(self) -> float:
        """Return the share of free slots; 0 without any slots."""
        return self.free / self.slots if self.slots else 0.0


class ShiftPlanner:
    """Proposes the next states and percentages of shifts during one term.

    Start and end follow the wall clock. The ramp is timed by the monotonic
    clock; a new leader continues from the percentage in force.
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
                yield _make_step(shift, wire.ShiftState.DONE, 0.0)
            elif shift.state is wire.ShiftState.PLANNED:
                if shift.start <= wall_time and not _is_blocked(shift, tables):
                    yield _make_step(shift, wire.ShiftState.ACTIVE, 0.0)
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
        capacity = find_receiving_capacity(now, shift, leadership, tables)
        if shift.state is wire.ShiftState.HELD:
            if capacity.free_share > RESUME_ABOVE_FREE_SHARE:
                yield _make_step(shift, wire.ShiftState.ACTIVE, shift.percent)
            return
        if capacity.free_share < HOLD_BELOW_FREE_SHARE:
            yield _make_step(shift, wire.ShiftState.HELD, shift.percent)
            return
        interval = max(MIN_STEP_INTERVAL_S, shift.ramp_s / RAMP_STEPS)
        if now - self._stepped_at.get(shift.name, float('-inf')) < interval:
            return
        self._stepped_at[shift.name] = now
        yield _make_step(shift, shift.state, _compute_next_percent(shift))


def find_receiving_capacity(
    now: float,
    shift: wire.Shift,
    leadership: _leadership.Leadership,
    tables: store.Tables,
) -> SlotCapacity:
    """Return the slot capacity of the region that receives a shift."""
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
        for report in leadership.find_live_reports(now)
        for use in report.request.uses
        if use.target in slots
    )
    total = sum(slots.values())
    return SlotCapacity(total, max(0, total - busy))


def _is_blocked(shift: wire.Shift, tables: store.Tables) -> bool:
    """Return whether another shift of the same traffic is running."""
    return any(
        other.state in {wire.ShiftState.ACTIVE, wire.ShiftState.HELD}
        and (other.pool, other.from_region) == (shift.pool, shift.from_region)
        for other in tables.rows(wire.Shift)
        if other.name != shift.name
    )


def _compute_next_percent(shift: wire.Shift) -> float:
    if shift.ramp_s <= 0.0:
        return shift.cap_percent
    step = shift.cap_percent / RAMP_STEPS
    return min(shift.cap_percent, shift.percent + step)


def _make_step(
    shift: wire.Shift, state: wire.ShiftState, percent: float
) -> store.RowStep:
    return store.RowStep(
        shift, msgspec.structs.replace(shift, state=state, percent=percent)
    )
