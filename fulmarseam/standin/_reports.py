"""Load reports that tell the truth, lag, lie or stop."""

import collections
from typing import NamedTuple

from fulmarseam import wire


class Sample(NamedTuple):
    """A load at a moment of the monotonic clock."""

    time: float
    load: wire.TargetLoad


class Reporter:
    """Turns measured loads into reported ones.

    The modes are "true", "lag" (the load of `lag_s` ago), "low" (always
    idle), "high" (always full), "stuck" (the load at the change to this
    mode) and "stop" (no load at all).
    """

    def __init__(self, mode: str, lag_s: float, slots: int) -> None:
        self._mode = mode
        self._lag_s = lag_s
        self._slots = slots
        self._samples: collections.deque[Sample] = collections.deque()
        self._stuck: wire.TargetLoad | None = None

    def change_mode(self, mode: str) -> None:
        """Report in another mode from now on."""
        self._mode = mode
        self._stuck = None

    def report(
        self, now: float, measured: wire.TargetLoad
    ) -> wire.TargetLoad | None:
        """Return the load to report for the one measured at `now`."""
        self._samples.append(Sample(now, measured))
        while (
            len(self._samples) > 1
            and self._samples[1].time <= now - self._lag_s
        ):
            self._samples.popleft()
        if self._mode == 'stop':
            return None
        if self._mode == 'lag':
            return self._samples[0].load
        if self._mode == 'low':
            return wire.TargetLoad(busy_slots=0, queued=0, latency_ms=1.0)
        if self._mode == 'high':
            return wire.TargetLoad(
                busy_slots=self._slots, queued=self._slots, latency_ms=1_000.0
            )
        if self._mode == 'stuck':
            if self._stuck is None:
                self._stuck = measured
            return self._stuck
        return measured
