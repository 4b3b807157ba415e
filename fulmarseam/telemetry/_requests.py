"""Log lines of requests, bounded in number."""

import logbook

from fulmarseam.telemetry import _logs

# Lines a second for answered requests and for all others. At 25 us a line
# both together cost less than 1% of a core.
ANSWERED_PER_S = 20
FAILED_PER_S = 200

_log = logbook.Logger('request')


class RequestLog:
    """Writes a line for each request up to a rate; counts the rest.

    Requests that failed have a bound of their own, so that a flood of
    successes hides none of them. `tick` comes once a second.
    """

    def __init__(self) -> None:
        self._left = {True: ANSWERED_PER_S, False: FAILED_PER_S}
        self._omitted = {True: 0, False: 0}

    def add(self, was_answered: bool, **fields: object) -> None:
        """Write the line of one request, or count it."""
        if not self._left[was_answered]:
            self._omitted[was_answered] += 1
            return
        self._left[was_answered] -= 1
        _log.info(_logs.format_event('request_ended', **fields))

    def tick(self) -> None:
        """Report what was left out and start the next second."""
        if any(self._omitted.values()):
            _log.info(
                _logs.format_event(
                    'requests_omitted',
                    answered=self._omitted[True],
                    failed=self._omitted[False],
                )
            )
        self._left = {True: ANSWERED_PER_S, False: FAILED_PER_S}
        self._omitted = {True: 0, False: 0}
