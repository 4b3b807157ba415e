"""Detection of pauses by the gaps between signs of life."""

from collections.abc import Callable
import time


def read_clock() -> float:
    """Return seconds of a steady clock that counts the time of a suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Tells when the process was stopped or its host suspended.

    The owner calls `check` at intervals well below `min_s`, and before
    anything that must not happen unnoticed after a pause.
    """

    def __init__(
        self, min_s: float, clock: Callable[[], float] = read_clock
    ) -> None:
        self._min_s = min_s
        self._clock = clock
        self.last_seen_at = clock()

    def check(self) -> float | None:
        """Note a sign of life; return the length of a pause before it."""
        now = self._clock()
        pause_s = now - self.last_seen_at
        self.last_seen_at = now
        return pause_s if pause_s >= self._min_s else None
