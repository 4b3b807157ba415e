"""Planning and proposing of steps.

A step is a change of replicated rows that the leader proposes by itself.
"""

import time

import logbook

from fulmarseam import consensus
from fulmarseam import errors
from fulmarseam import store
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.control import _drains
from fulmarseam.control import _groups
from fulmarseam.control import _leadership
from fulmarseam.control import _registrations
from fulmarseam.control import _shifts

_log = logbook.Logger('control')


class Planner:
    """Plans and proposes the leader's steps during one term."""

    def __init__(
        self,
        member: consensus.Member,
        tables: store.Tables,
        leadership: _leadership.Leadership,
    ) -> None:
        self._member = member
        self._tables = tables
        self._leadership = leadership
        self._drains = _drains.DrainPlanner()
        self._shifts = _shifts.ShiftPlanner()
        self._groups = _groups.GroupPlanner()

    def plan(self, now: float, wall_time: float) -> list[store.RowStep]:
        """Return the steps that are due.

        `now` is in monotonic seconds, `wall_time` in seconds since the
        epoch.
        """
        leadership = self._leadership
        tables = self._tables
        return [
            *_registrations.plan_registrations(now, leadership, tables),
            *self._drains.plan(now, wall_time, leadership, tables),
            *self._shifts.plan(now, wall_time, leadership, tables),
            *self._groups.plan(now, leadership, tables),
        ]

    async def run(self) -> None:
        """Propose the steps that are due now, one at a time.

        Refused and uncertain steps need no handling, since the next call
        plans again from the rows then in force.
        """
        for step in self.plan(time.monotonic(), time.time()):
            try:
                await self._propose(step)
            except errors.FulmarseamError as error:
                _log.info(
                    telemetry.format_event(
                        'step_failed',
                        table=store.TABLE_NAMES[type(step.row)].value,
                        key=step.row.name,
                        kind=error.kind.value,
                        detail=error.detail,
                    )
                )
                return

    async def _propose(self, step: store.RowStep) -> None:
        command = store.Step(rows=[step])
        data = await self._member.propose(store.encode_command(command))
        result = wire.decode(data)
        if not isinstance(result, wire.EditResult):
            return
        _log.info(
            telemetry.format_event(
                'step_accepted' if result.kind is None else 'step_refused',
                table=store.TABLE_NAMES[type(step.row)].value,
                key=step.row.name,
                revision=result.revision,
                **_list_changed_fields(step.row),
            )
        )


def _list_changed_fields(row: wire.Row) -> dict[str, object]:
    """Return the fields of a row that steps change, for the log."""
    match row:
        case wire.Drain():
            return {'state': row.state.value}
        case wire.Shift():
            return {'state': row.state.value, 'percent': row.percent}
        case wire.RecordGroup():
            return {
                'generation': row.generation,
                'lost_before': row.lost_before,
                'primary': row.primary,
                'backup': row.backup,
                'backup_ready': row.backup_ready,
            }
        case wire.Registration():
            return {'incarnations': len(row.incarnations)}
    return {}
