"""Recording of notices, with a log line for each change."""

import logbook

from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam.notices import _reading

# Targets whose unreadable notices are remembered, so that each is logged once.
MAX_PROBLEMS = 1_000

_log = logbook.Logger('notices')


class NoticeRecorder:
    """Records notices in a table, and logs what is new."""

    def __init__(self, table: steering.NoticeTable) -> None:
        self.table = table
        # The last value of a target that could not be read.
        self._problems: dict[ids.TargetId, bytes] = {}

    def record(
        self,
        now: float,
        process: steering.TargetProcess,
        notice: _reading.Notice,
        source: str = 'answer',
    ) -> bool:
        """Record the notice of an answer.

        `source` tells the log where it comes from. Returns whether the target
        is now known to leave and was not before.
        """
        is_new_leave = False
        if notice.problem:
            self._log_problem(process, notice.problem)
        if notice.pause_s and self.table.note_pause(
            now, process, notice.pause_s
        ):
            _log.info(
                telemetry.format_event(
                    'target_pauses',
                    target=process.target,
                    address=process.address,
                    pause_s=notice.pause_s,
                    source=source,
                )
            )
        if notice.is_leaving:
            is_new_leave = self.table.note_leaving(process)
        if is_new_leave:
            _log.info(
                telemetry.format_event(
                    'target_leaves',
                    target=process.target,
                    address=process.address,
                    source=source,
                )
            )
        if not notice.pause_s:
            self.table.note_answer(now, process)
        return is_new_leave

    def _log_problem(
        self, process: steering.TargetProcess, problem: bytes
    ) -> None:
        if self._problems.get(process.target) == problem:
            return
        if len(self._problems) >= MAX_PROBLEMS:
            del self._problems[next(iter(self._problems))]
        self._problems[process.target] = problem
        _log.warning(
            telemetry.format_event(
                'notice_unreadable',
                target=process.target,
                address=process.address,
                found=problem.decode('latin-1'),
            )
        )
