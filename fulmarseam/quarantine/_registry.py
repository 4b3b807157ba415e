"""The leader's part: what all entries know together of suspected requests."""

import logbook

from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire

# A version holds the term in its upper bits, so that an entry notices a new
# leader, whose registry starts empty.
VERSION_BITS = 32
# Bounds the bytes of an answer; most rows take 24.
MAX_ROWS_PER_ANSWER = 6
# An entry retries a request at this interval while another trial runs.
MAX_TRIAL_WAIT_S = 0.25

_log = logbook.Logger('quarantine')


class SuspectRegistry:
    """Suspected requests of all entries; only the leader uses it.

    Times are in seconds of a monotonic clock.
    """

    def __init__(self) -> None:
        self._table = steering.SuspectTable()
        self._term = 0

    def answer(
        self, now: float, term: int, report: wire.SuspectReport
    ) -> wire.TrialResponse:
        """Record the report of an entry and answer the trial it asks for."""
        self._start_term(term)
        table = self._table
        table.merge(now, report.known)
        for strike in report.strikes:
            table.strike(now, strike)
            _log.warning(
                telemetry.format_event(
                    'strike',
                    fingerprint=strike.fingerprint.hex(),
                    target=strike.target,
                    was_trial=strike.was_trial,
                )
            )
        for fingerprint in report.answered:
            if table.clear(now, fingerprint):
                _log.info(
                    telemetry.format_event(
                        'suspect_cleared', fingerprint=fingerprint.hex()
                    )
                )
        for fingerprint in report.ended:
            table.end_trial(fingerprint)
        if report.trial is None:
            return wire.TrialResponse()
        return self._answer_trial(now, report.trial)

    def _answer_trial(
        self, now: float, trial: wire.TrialRequest
    ) -> wire.TrialResponse:
        permission = self._table.start_trial(
            now, trial.fingerprint, trial.lease_ms / 1_000
        )
        _log.info(
            telemetry.format_event(
                'trial_asked',
                fingerprint=trial.fingerprint.hex(),
                wait_s=permission.wait_s,
                is_running=permission.is_running,
            )
        )
        wait_s = permission.wait_s
        if permission.is_running:
            wait_s = min(wait_s, MAX_TRIAL_WAIT_S)
        return wire.TrialResponse(
            wait_ms=-int(-wait_s * 1_000 // 1),
            is_running=permission.is_running,
        )

    def _start_term(self, term: int) -> None:
        if term != self._term:
            self._term = term
            self._table = steering.SuspectTable()

    def list_news(
        self, now: float, term: int, known_version: int
    ) -> tuple[int, list[wire.SuspectRow]]:
        """Return the version and the rows that an entry lacks.

        The version is 0 if there is nothing to tell.
        """
        self._start_term(term)
        since = 0
        if known_version >> VERSION_BITS == term:
            since = known_version & ((1 << VERSION_BITS) - 1)
            if since == self._table.version:
                return 0, []
        elif not known_version and not self._table.version:
            return 0, []
        version, rows = self._table.list_changes(
            now, since, MAX_ROWS_PER_ANSWER
        )
        return (term << VERSION_BITS) + version, rows

    def count(self) -> int:
        """Return the number of suspected requests."""
        return self._table.count()

    def expire(self, now: float) -> None:
        """Forget suspects whose time is over."""
        self._table.expire(now)
