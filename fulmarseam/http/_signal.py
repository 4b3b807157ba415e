"""Wake the task that runs an exchange."""

import asyncio


class Signal:
    """Wakes one waiting task and remembers a notification until its wait.

    Both connections of a proxied request share one signal, so that one task
    can wait for either::

        while (response := connection.poll_response()) is None:
            await signal.wait()
    """

    __slots__ = ('_future', '_loop', '_notified')

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._future: asyncio.Future[None] | None = None
        self._notified = False

    def notify(self) -> None:
        """Wake the waiting task, or let the next wait return immediately."""
        self._notified = True
        future = self._future
        if future is not None and not future.done():
            future.set_result(None)

    async def wait(self) -> None:
        """Wait for the next notification."""
        if not self._notified:
            self._future = self._loop.create_future()
            try:
                await self._future
            finally:
                self._future = None
        self._notified = False
