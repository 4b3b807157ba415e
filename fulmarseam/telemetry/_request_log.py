"""Log requests at a limited rate."""

import logbook

from fulmarseam.telemetry import _logs

# Lines per second for answered requests and for all others. At 25 us per
# line, both together take less than 1% of a core.
ANSWERED_LINES_PER_S = 20
FAILED_LINES_PER_S = 200

_log = logbook.Logger('request')


class RequestLog:
    """Logs requests up to a rate limit and counts the omitted ones.

    Failed requests have a limit of their own, so that many successful
    requests do not hide them. Call `tick` once a second.
    """

    def __init__(self) -> None:
        self._lines_left = {
            True: ANSWERED_LINES_PER_S,
            False: FAILED_LINES_PER_S,
        }
        self._omitted = {True: 0, False: 0}

    def add(self, was_answered: bool, **fields: object) -> None:
        """Log one request, or count it as omitted."""
        if not self._lines_left[was_answered]:
            self._omitted[was_answered] += 1
            return
        self._lines_left[was_answered] -= 1
        _log.info(_logs.format_event('request_ended', **fields))

    def tick(self) -> None:
        """Log the number of omitted requests and reset the limits."""
        if any(self._omitted.values()):
            _log.info(
                _logs.format_event(
                    'requests_omitted',
                    answered=self._omitted[True],
                    failed=self._omitted[False],
                )
            )
        self._lines_left = {
            True: ANSWERED_LINES_PER_S,
            False: FAILED_LINES_PER_S,
        }
        self._omitted = {True: 0, False: 0}
