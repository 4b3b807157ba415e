"""Detection of pauses, after which an entry knows only what was true before.

A process may be stopped or its host suspended for seconds. When it goes on,
targets may have left or failure domains been evacuated. Requests then wait
for an answer of a control member, which takes a round trip. A member that
does not answer holds them up for a moment only: an entry that is cut off goes
on with what it last knew.
"""

import asyncio
from collections.abc import Callable

import logbook

from fulmarseam import pauses
from fulmarseam import telemetry

# A gap between two signs of life that counts as a pause. Ticks come each
# second; what was acknowledged before must be in force after 2 to 3 s.
PAUSE_MIN_S = 2.0
# Longest wait for an answer of a control member after a pause.
REFRESH_TIMEOUT_S = 0.5

_log = logbook.Logger('gateway')


class PauseGuard:
    """Holds requests back after a pause until the catalog is fresh again.

    `on_pause` is called once for each pause, before any request goes on.
    """

    def __init__(
        self,
        on_pause: Callable[[], None],
        clock: Callable[[], float] = pauses.read_clock,
    ) -> None:
        self._on_pause = on_pause
        self._clock = clock
        self._detector = pauses.PauseDetector(PAUSE_MIN_S, clock)
        # When the last request was sent that a current member answered.
        self._answered_at = self._detector.last_seen_at
        self._paused_at: float | None = None
        self._is_fresh = asyncio.Event()
        self._is_fresh.set()

    @property
    def awaits_answer(self) -> bool:
        """Return whether no member has answered since the last pause."""
        return self._paused_at is not None

    def check(self) -> None:
        """Note a sign of life; detect a pause since the last one."""
        pause_s = self._detector.check()
        if pause_s is None:
            return
        self._paused_at = self._detector.last_seen_at
        self._is_fresh.clear()
        _log.warning(telemetry.format_event('paused', pause_s=pause_s))
        self._on_pause()

    def get_time(self) -> float:
        """Return the time at which a request to a member is sent."""
        self.check()
        return self._detector.last_seen_at

    def note_answer(self, sent_at: float) -> None:
        """Record the answer of a member to a request sent at `get_time()`."""
        self._answered_at = max(self._answered_at, sent_at)
        if self._paused_at is not None and sent_at >= self._paused_at:
            self._paused_at = None
            self._is_fresh.set()

    def get_silence(self) -> float:
        """Return the seconds since a member was known to have answered."""
        return self._clock() - self._answered_at

    async def wait_until_fresh(self) -> None:
        """Wait after a pause, at most for `REFRESH_TIMEOUT_S`."""
        self.check()
        if self._is_fresh.is_set():
            return
        try:
            async with asyncio.timeout(REFRESH_TIMEOUT_S):
                await self._is_fresh.wait()
        except TimeoutError:
            # One wait for each pause is enough to find out.
            self._is_fresh.set()
            _log.warning(
                telemetry.format_event(
                    'not_refreshed', waited_s=REFRESH_TIMEOUT_S
                )
            )
