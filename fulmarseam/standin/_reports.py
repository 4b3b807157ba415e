"""Load reports of a target: correct, delayed, wrong or missing."""

import collections
from typing import NamedTuple

from fulmarseam import wire


class Sample(NamedTuple):
    """A measured load and its time on the monotonic clock."""

    time: float
    load: wire.TargetLoad


class LoadReporter:
    """Derives the reported load from the measured one.

    The modes are "true", "lag" (the load of `lag_s` ago), "low" (always
    idle), "high" (always full), "stuck" (the first load measured in this
    mode) and "stop" (no load).
    """

    def __init__(self, mode: str, lag_s: float, slots: int) -> None:
        self._mode = mode
        self._lag_s = lag_s
        self._slots = slots
        self._samples: collections.deque[Sample] = collections.deque()
        self._stuck_load: wire.TargetLoad | None = None

    def set_mode(self, mode: str) -> None:
        self._mode = mode
        self._stuck_load = None

    def report(
        self, now: float, measured: wire.TargetLoad
    ) -> wire.TargetLoad | None:
        """Record the load measured at `now`; return the load to report."""
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
            if self._stuck_load is None:
                self._stuck_load = measured
            return self._stuck_load
        return measured
