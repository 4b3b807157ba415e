"""Pacing of bodies between regions."""

import asyncio
from collections.abc import Callable

from fulmarseam import steering

# Shortest pause, and the pause while no rate is granted.
PAUSE_MIN_S = 0.001
PAUSE_NO_RATE_S = 0.05


class Pacer:
    """Keeps one direction of a body within the granted link bytes.

    A piece is passed on first and paid afterwards; the next piece waits
    until all is paid. `notify` is called when it may go on.
    """

    __slots__ = ('_debt', '_links', '_loop', '_name', '_notify', '_timer')

    def __init__(
        self,
        links: steering.LinkTokens,
        name: str,
        notify: Callable[[], None],
    ) -> None:
        self._links = links
        self._name = name
        self._notify = notify
        self._loop = asyncio.get_running_loop()
        self._debt = 0
        self._timer: asyncio.TimerHandle | None = None

    def charge(self, size: int) -> None:
        """Count bytes that have been passed on."""
        self._debt += size

    def is_ready(self) -> bool:
        """Return whether more may be passed on; else notify later."""
        if not self._debt:
            return True
        now = self._loop.time()
        self._debt -= self._links.consume(now, self._name, self._debt)
        if not self._debt:
            return True
        self._start_timer(now)
        return False

    def _start_timer(self, now: float) -> None:
        if self._timer is not None and self._timer.when() > now:
            return
        pause = self._links.wait_s(now, self._name, self._debt)
        if pause is None:
            pause = PAUSE_NO_RATE_S
        self._timer = self._loop.call_later(
            max(pause, PAUSE_MIN_S), self._notify
        )
