"""Rate limiting of bodies sent between regions."""

import asyncio
from collections.abc import Callable

from fulmarseam import steering

# Shortest wait for link tokens, and the wait while no rate is granted.
MIN_PAUSE_S = 0.001
NO_RATE_PAUSE_S = 0.05


class Pacer:
    """Limits one direction of a body to the rate granted on a link.

    A piece is forwarded first and its link tokens are taken afterwards; the
    next piece waits until the tokens for all bytes have been taken.
    `notify` is called when the wait may be over.
    """

    __slots__ = (
        '_unpaid_bytes',
        '_links',
        '_loop',
        '_link_name',
        '_notify',
        '_timer',
    )

    def __init__(
        self,
        links: steering.LinkTokens,
        link_name: str,
        notify: Callable[[], None],
    ) -> None:
        self._links = links
        self._link_name = link_name
        self._notify = notify
        self._loop = asyncio.get_running_loop()
        self._unpaid_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def charge(self, size: int) -> None:
        """Count bytes that have been forwarded."""
        self._unpaid_bytes += size

    def is_ready(self) -> bool:
        """Return whether more may be forwarded; if not, notify later."""
        if not self._unpaid_bytes:
            return True
        now = self._loop.time()
        self._unpaid_bytes -= self._links.consume(
            now, self._link_name, self._unpaid_bytes
        )
        if not self._unpaid_bytes:
            return True
        self._start_timer(now)
        return False

    def _start_timer(self, now: float) -> None:
        if self._timer is not None and self._timer.when() > now:
            return
        pause_s = self._links.wait_s(now, self._link_name, self._unpaid_bytes)
        if pause_s is None:
            pause_s = NO_RATE_PAUSE_S
        self._timer = self._loop.call_later(
            max(pause_s, MIN_PAUSE_S), self._notify
        )
