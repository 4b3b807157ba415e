"""Share the event loop between connections with much to parse."""

import asyncio
import collections
from collections.abc import Callable

# Events of chunked bodies that all connections together parse in one turn of
# the event loop; each takes about 15 us.
EVENTS_PER_TURN = 64


class Turns:
    """Lets waiting work run one piece per turn of the event loop.

    The pieces run in the order in which they were asked for, so that the
    work of one connection delays others by one piece.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: collections.deque[Callable[[], bool]] = (
            collections.deque()
        )
        self._is_scheduled = False
        self._events_left = EVENTS_PER_TURN

    def take_event(self) -> bool:
        """Count an event; return False when the turn has had its share."""
        if self._events_left <= 0:
            return False
        self._events_left -= 1
        self._schedule()
        return True

    def call_in_turn(self, callback: Callable[[], bool]) -> None:
        """Call back in a turn of the event loop for this piece of work.

        The callback returns whether it uses the turn.
        """
        self._waiting.append(callback)
        self._schedule()

    async def wait(self) -> None:
        """Wait for a turn."""
        future: asyncio.Future[None] = self._loop.create_future()

        def wake() -> bool:
            if future.done():
                return False
            future.set_result(None)
            return True

        self.call_in_turn(wake)
        await future

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._start_turn)

    def _start_turn(self) -> None:
        self._is_scheduled = False
        self._events_left = EVENTS_PER_TURN
        while self._waiting:
            if self._waiting.popleft()():
                self._events_left = 0
                break
        if self._waiting or not self._events_left:
            self._schedule()
