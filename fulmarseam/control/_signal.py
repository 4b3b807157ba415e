"""A signal that wakes all its waiters."""

import asyncio


class Signal:
    """Wakes the held sync requests when there may be news."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all that wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Return after the next `notify` or when the time is over."""
        event = self._event
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return
