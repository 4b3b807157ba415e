"""The rate limits that targets name in their answers."""

from collections.abc import Collection
import re
from typing import NamedTuple

import logbook

from fulmarseam import http
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry

# A higher limit than this would never bind.
MAX_RATE_PER_S = 1e6
MAX_LOGGED_VALUE_BYTES = 80

_DECIMAL = re.compile(rb'\d{1,15}(\.\d{0,15})?')

_log = logbook.Logger('gateway')


class LimitReading(NamedTuple):
    """What an answer says about the limit of its target.

    `rate_per_s` is the named limit in requests/s, or None if the answer
    names none that can be read. `problem` is the value that cannot be read.
    """

    rate_per_s: float | None = None
    problem: bytes = b''


NO_LIMIT = LimitReading()


def read_limit(response: http.Response, header: bytes) -> LimitReading:
    """Return what an answer says about the limit of its target.

    The lowest readable value counts if the header comes more than once.
    """
    if header not in response.fields:
        return NO_LIMIT
    values = [
        part.strip()
        for name, value in response.headers
        if name == header
        for part in value.split(b',')
    ]
    rates = [
        min(float(value), MAX_RATE_PER_S)
        for value in values
        if _DECIMAL.fullmatch(value)
    ]
    problem = b''
    if len(rates) < len(values):
        problem = b','.join(values)[:MAX_LOGGED_VALUE_BYTES]
    return LimitReading(min(rates, default=None), problem)


class RateLimits:
    """Records what answers say about the limits of their targets."""

    def __init__(self, limited_targets: steering.LimitedTargets) -> None:
        self._limited_targets = limited_targets
        # The value that cannot be read in the last answer, by target.
        self._problems: dict[ids.TargetId, bytes] = {}

    def note_reading(
        self,
        now: float,
        observed: steering.ObservedTarget,
        reading: LimitReading,
        is_served: bool,
    ) -> None:
        """Record what an answer of a target says; log each change.

        A value that cannot be read changes nothing. Only an answer to a
        request that was served shows that a limit has ended.
        """
        target = observed.target
        previous = self._limited_targets.get_rate(target)
        is_changed = False
        if reading.rate_per_s is not None or (
            is_served and not reading.problem
        ):
            is_changed = self._limited_targets.note_answer(
                now, observed, reading.rate_per_s
            )
        last_problem = self._problems.pop(target, b'')
        if reading.problem:
            self._problems[target] = reading.problem
        if not is_changed and reading.problem in (b'', last_problem):
            return
        write = _log.warning if reading.problem else _log.info
        write(
            telemetry.format_event(
                'target_rate_limit',
                target=target,
                address=observed.record.address,
                rate_per_s=reading.rate_per_s,
                previous=previous,
                unreadable=reading.problem.decode('latin-1'),
            )
        )

    def retain(self, targets: Collection[ids.TargetId]) -> None:
        """Forget the other targets."""
        for target in self._problems.keys() - targets:
            del self._problems[target]
