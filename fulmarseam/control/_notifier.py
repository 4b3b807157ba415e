"""Notification of all waiting tasks."""

import asyncio


class Notifier:
    """Wakes all waiting tasks at once, such as held sync requests."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Return after the next `notify` or after the timeout."""
        event = self._event
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return
