"""The allowed changes of a row, given the row that it replaces.

Operators set the plan of a drain or shift; the control leader sets the state
and the percentage in force. States only move forward.
"""

from collections.abc import Iterator

import msgspec

from fulmarseam import wire
from fulmarseam.store import _checks

_DRAIN_STEPS = frozenset(
    {
        (wire.DrainState.PLANNED, wire.DrainState.ACTIVE),
        (wire.DrainState.ACTIVE, wire.DrainState.DONE),
    }
)
_SHIFT_STEPS = frozenset(
    {
        (wire.ShiftState.PLANNED, wire.ShiftState.ACTIVE),
        (wire.ShiftState.PLANNED, wire.ShiftState.DONE),
        (wire.ShiftState.ACTIVE, wire.ShiftState.ACTIVE),
        (wire.ShiftState.ACTIVE, wire.ShiftState.HELD),
        (wire.ShiftState.ACTIVE, wire.ShiftState.DONE),
        (wire.ShiftState.HELD, wire.ShiftState.ACTIVE),
        (wire.ShiftState.HELD, wire.ShiftState.DONE),
    }
)
_STATES_IN_FORCE = frozenset(
    {
        wire.DrainState.ACTIVE,
        wire.DrainState.DONE,
        wire.ShiftState.ACTIVE,
        wire.ShiftState.HELD,
    }
)
_DRAIN_PLAN_FIELDS: tuple[str, ...] = ('scope', 'subject', 'start')
_SHIFT_PLAN_FIELDS: tuple[str, ...] = (
    'pool',
    'from_region',
    'to_region',
    'start',
)


def merge_edit(current: wire.Row | None, new: wire.Row) -> wire.Row:
    """Return the row that results from an operator's row.

    The row keeps the state in force, unless the operator cancels the drain
    or shift. A lowered cap lowers the percentage at once.
    """
    if isinstance(new, wire.Drain) and isinstance(current, wire.Drain):
        if new.state is wire.DrainState.CANCELLED:
            return msgspec.structs.replace(current, state=new.state)
        return msgspec.structs.replace(new, state=current.state)
    if isinstance(new, wire.Shift) and isinstance(current, wire.Shift):
        if new.state is wire.ShiftState.CANCELLED:
            return msgspec.structs.replace(
                current, state=new.state, percent=0.0
            )
        return msgspec.structs.replace(
            new,
            state=current.state,
            percent=min(current.percent, new.cap_percent),
        )
    return new


def check_edit(change: wire.Change, current: wire.Row | None) -> Iterator[str]:
    """Report why an operator's change of one row is not allowed."""
    name = f'{change.table.value}.{change.key}'
    if change.row is None:
        if current is None:
            yield f'{name}: found nothing, expected a row to remove'
        elif _get_state(current) in _STATES_IN_FORCE:
            yield (
                f'{name}: found state {_get_state(current).value!r}, expected '
                f'a row that is cancelled before it is removed'
            )
        return
    if current is None:
        yield from _check_new_row(change.row)
    elif current != change.row:
        yield from _check_plan_fields(change.row, current)


def _get_state(row: wire.Row) -> wire.DrainState | wire.ShiftState:
    if isinstance(row, (wire.Drain, wire.Shift)):
        return row.state
    return wire.DrainState.PLANNED


def _check_new_row(row: wire.Row) -> Iterator[str]:
    if not isinstance(row, (wire.Drain, wire.Shift)):
        return
    if row.state.value != wire.DrainState.PLANNED.value:
        yield _checks.describe_problem(row, 'state', 'planned for a new row')
    if isinstance(row, wire.Shift) and row.percent != 0.0:
        yield _checks.describe_problem(row, 'percent', '0.0 for a new row')


def _check_plan_fields(new: wire.Row, current: wire.Row) -> Iterator[str]:
    if isinstance(current, wire.Drain):
        plan = _DRAIN_PLAN_FIELDS
        final = current.state is wire.DrainState.CANCELLED
    elif isinstance(current, wire.Shift):
        plan = _SHIFT_PLAN_FIELDS
        final = current.state in {
            wire.ShiftState.DONE,
            wire.ShiftState.CANCELLED,
        }
    else:
        return
    if current.state.value == wire.DrainState.PLANNED.value:
        return
    all_fields = [field for field in new.__struct_fields__ if final]
    for field in all_fields or plan:
        expected = getattr(current, field)
        if getattr(new, field) != expected:
            yield _checks.describe_problem(
                new,
                field,
                f'{expected!r} since the row is {current.state.value}; add '
                f'another row',
            )


def is_allowed_step(current: wire.Row | None, new: wire.Row) -> bool:
    """Return whether a step of the leader may replace a row."""
    if isinstance(new, wire.Drain) and isinstance(current, wire.Drain):
        same_plan = (
            msgspec.structs.replace(new, state=current.state) == current
        )
        return same_plan and (current.state, new.state) in _DRAIN_STEPS
    if isinstance(new, wire.Shift) and isinstance(current, wire.Shift):
        return _is_allowed_shift_step(current, new)
    if isinstance(new, wire.Registration):
        return True
    if isinstance(new, wire.RecordGroup):
        if current is None:
            return True
        return (
            isinstance(current, wire.RecordGroup)
            and new.generation >= current.generation
            and new.lost_before >= current.lost_before
        )
    return False


def _is_allowed_shift_step(current: wire.Shift, new: wire.Shift) -> bool:
    with_current_state = msgspec.structs.replace(
        new, state=current.state, percent=current.percent
    )
    if with_current_state != current:
        return False
    if (current.state, new.state) not in _SHIFT_STEPS:
        return False
    if new.state is wire.ShiftState.DONE:
        return new.percent == 0.0
    return current.percent <= new.percent <= new.cap_percent
