"""Log requests at a limited rate."""

import logbook

from fulmarseam.telemetry import _logs

# Lines per second for requests that took the usual way and for all others. At
# 25 us per line, both together take less than 1% of a core.
USUAL_LINES_PER_S = 20
OTHER_LINES_PER_S = 200

_log = logbook.Logger('request')


class RequestLog:
    """Logs requests up to a rate limit and counts the omitted ones.

    Requests that failed or took another way than the usual one have a limit
    of their own, so that many usual requests do not hide them. Call `tick`
    once a second.
    """

    def __init__(self) -> None:
        self._lines_left: dict[bool, int] = {}
        self._omitted: dict[bool, int] = {}
        self._reset()

    def _reset(self) -> None:
        self._lines_left = {True: USUAL_LINES_PER_S, False: OTHER_LINES_PER_S}
        self._omitted = {True: 0, False: 0}

    def add(self, is_usual: bool, **fields: object) -> None:
        """Log one request, or count it as omitted."""
        if not self._lines_left[is_usual]:
            self._omitted[is_usual] += 1
            return
        self._lines_left[is_usual] -= 1
        _log.info(_logs.format_event('request_ended', **fields))

    def tick(self) -> None:
        """Log the number of omitted requests and reset the limits."""
        if any(self._omitted.values()):
            _log.info(
                _logs.format_event(
                    'requests_omitted',
                    usual=self._omitted[True],
                    others=self._omitted[False],
                )
            )
        self._reset()
