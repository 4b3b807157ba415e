"""What targets say in their answers about the requests that they want.

============= ========================== =================== ================
state         entered when a target says requests to it      left by
============= ========================== =================== ================
`WILLING`     nothing                    any                 a notice
`PAUSED`      when it wants requests     none                that time
              again
`RETURNING`   nothing, as that time is   one per interval    an answer
              over
`LEAVING`     that it leaves             none                a new process
============= ========================== =================== ================

A notice holds for one process of a target. It goes before an announcement of
that process as ready, and it is not shared with other entries.
"""

import dataclasses
import enum
from typing import NamedTuple

from fulmarseam import ids

# A longer pause is taken for this long, in seconds, and then tried again.
MAX_PAUSE_S = 600.0
# Until a target has answered after its pause, an entry sends it one request
# per interval, in seconds.
RETURN_INTERVAL_S = 0.25
# Limits the memory for targets that have left.
MAX_NOTICES = 10_000


class NoticeState(enum.Enum):
    """Which requests a target wants."""

    WILLING = 'willing'
    PAUSED = 'paused'
    RETURNING = 'returning'
    LEAVING = 'leaving'


class TargetProcess(NamedTuple):
    """One process of a target; a target may start again under its id.

    `incarnation` is the time or number of its start.
    """

    target: ids.TargetId
    address: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class _Notice:
    process: TargetProcess
    is_leaving: bool = False
    paused_until: float = float('-inf')
    # When it may get the next request, while it is paused or returning.
    next_at: float = float('-inf')


class NoticeTable:
    """The newest notices of targets; times are in seconds of one clock.

    Targets without a notice are willing::

        table.note_pause(now, process, 2.0)
        table.may_send(now + 1.0, process)  # False
    """

    def __init__(self) -> None:
        self._notices: dict[ids.TargetId, _Notice] = {}

    # A table without notices is false, which spares a look-up per target.
    def __len__(self) -> int:
        return len(self._notices)

    def note_leaving(self, process: TargetProcess) -> bool:
        """Record that a process leaves; return whether this is news."""
        notice = self._get_or_create(process)
        was_leaving = notice.is_leaving
        notice.is_leaving = True
        return not was_leaving

    def note_pause(
        self, now: float, process: TargetProcess, pause_s: float
    ) -> bool:
        """Record that a process wants no requests for a while.

        Returns whether it was willing or returning before.
        """
        was_paused = self.get_state(now, process) is NoticeState.PAUSED
        notice = self._get_or_create(process)
        notice.paused_until = max(
            notice.paused_until, now + min(pause_s, MAX_PAUSE_S)
        )
        notice.next_at = notice.paused_until
        return not was_paused

    def note_answer(self, now: float, process: TargetProcess) -> None:
        """Record an answer without a notice, which ends a return."""
        if self.get_state(now, process) is NoticeState.RETURNING:
            del self._notices[process.target]

    def note_sent(self, now: float, process: TargetProcess) -> None:
        """Record a request, which delays the next one while it returns."""
        notice = self._find(process)
        if notice is not None:
            notice.next_at = now + RETURN_INTERVAL_S

    def get_state(self, now: float, process: TargetProcess) -> NoticeState:
        """Return which requests a process wants now."""
        notice = self._find(process)
        if notice is None:
            return NoticeState.WILLING
        if notice.is_leaving:
            return NoticeState.LEAVING
        if now < notice.paused_until:
            return NoticeState.PAUSED
        return NoticeState.RETURNING

    def may_send(self, now: float, process: TargetProcess) -> bool:
        """Return whether a process may get a request now."""
        state = self.get_state(now, process)
        if state is NoticeState.RETURNING:
            return now >= self._notices[process.target].next_at
        return state is NoticeState.WILLING

    def is_due(self, now: float, process: TargetProcess) -> bool:
        """Return whether a returning process should get a request now."""
        return self.get_state(
            now, process
        ) is NoticeState.RETURNING and self.may_send(now, process)

    def is_leaving(self, process: TargetProcess) -> bool:
        """Return whether a process has said that it leaves."""
        notice = self._find(process)
        return notice is not None and notice.is_leaving

    def get_return_time(self, now: float, process: TargetProcess) -> float:
        """Return when a paused or returning process wants a request."""
        notice = self._find(process)
        return now if notice is None else max(now, notice.next_at)

    def _find(self, process: TargetProcess) -> _Notice | None:
        notice = self._notices.get(process.target)
        if notice is None or notice.process != process:
            return None
        return notice

    def _get_or_create(self, process: TargetProcess) -> _Notice:
        notice = self._find(process)
        if notice is None:
            self._notices.pop(process.target, None)
            if len(self._notices) >= MAX_NOTICES:
                del self._notices[next(iter(self._notices))]
            notice = self._notices[process.target] = _Notice(process)
        return notice
