"""The rate limits that targets name in their answers."""

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
    """The limits that targets name, as this entry has seen them."""

    def __init__(self) -> None:
        self._readings: dict[ids.TargetId, LimitReading] = {}

    def count(self) -> int:
        """Return the number of targets that name a limit."""
        return sum(
            reading.rate_per_s is not None
            for reading in self._readings.values()
        )

    def get_rate(self, observed: steering.ObservedTarget) -> float | None:
        """Return the limit that a target names, in requests/s, if any."""
        reading = self._readings.get(observed.target, NO_LIMIT)
        return reading.rate_per_s

    def note_reading(
        self, observed: steering.ObservedTarget, reading: LimitReading
    ) -> None:
        """Record what an answer of a target says; log each change."""
        target = observed.target
        previous = self._readings.get(target, NO_LIMIT)
        if reading == previous:
            return
        self._readings[target] = reading
        if reading == NO_LIMIT:
            del self._readings[target]
        write = _log.warning if reading.problem else _log.info
        write(
            telemetry.format_event(
                'target_rate_limit',
                target=target,
                address=observed.record.address,
                rate_per_s=reading.rate_per_s,
                previous=previous.rate_per_s,
                unreadable=reading.problem.decode('latin-1'),
            )
        )
