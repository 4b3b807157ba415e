"""Permits of the leader for requests to targets that limit their rate."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire

# A round trip to the leader takes up to 40 ms. A request that has waited for
# this long goes to another target.
PERMIT_WAIT_S = 0.2
# A call that times out replaces the connection that the polls use as well, so
# a slow leader gets as long as for a poll.
ASK_TIMEOUT_S = 0.8

SendRequest = Callable[
    [wire.PermitRequest, float], Awaitable[wire.PermitResponse]
]

_log = logbook.Logger('gateway')


class PermitClient:
    """Asks the leader for permits, for all requests that wait together.

    One ask is in progress at a time. `send` sends it to the leader.
    """

    def __init__(
        self,
        entry: ids.EntryId,
        limited_targets: steering.LimitedTargets,
        send: SendRequest,
    ) -> None:
        self._entry = entry
        self._limited_targets = limited_targets
        self._send = send
        self._loop = asyncio.get_running_loop()
        # Requests that wait for the next ask, and what its end sets.
        self._waiting: collections.Counter[ids.TargetId] = (
            collections.Counter()
        )
        self._answered = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def acquire(self, target: ids.TargetId) -> bool:
        """Return whether a request may be sent to a target now.

        Waits for the answer of the leader, at most `PERMIT_WAIT_S`, if a
        permit is needed and there is none.
        """
        limited_targets = self._limited_targets
        limited_targets.note_wanted(self._loop.time(), target)
        if limited_targets.try_take(self._loop.time(), target):
            if limited_targets.needs_permits(self._loop.time(), target):
                self._start_asking()
            return True
        if limited_targets.is_offline(self._loop.time()):
            return False
        self._waiting[target] += 1
        answered = self._answered
        self._start_asking()
        try:
            async with asyncio.timeout(PERMIT_WAIT_S):
                await answered.wait()
        except TimeoutError:
            # No other request waits as well while the leader is silent.
            limited_targets.note_failed_ask(self._loop.time())
        return limited_targets.try_take(self._loop.time(), target)

    def close(self) -> None:
        """Stop asking; requests that wait are cancelled with their tasks."""
        if self._task is not None:
            self._task.cancel()

    def _start_asking(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._ask_while_needed())

    async def _ask_while_needed(self) -> None:
        """Ask until no request waits any more."""
        while True:
            waiting, self._waiting = self._waiting, collections.Counter()
            answered, self._answered = self._answered, asyncio.Event()
            try:
                await self._ask(waiting)
            finally:
                answered.set()
            if not self._waiting:
                return

    async def _ask(self, waiting: Mapping[ids.TargetId, int]) -> None:
        limited_targets = self._limited_targets
        sent_at = self._loop.time()
        asks = limited_targets.list_asks(sent_at, waiting)
        if not asks:
            return
        rows, changes = limited_targets.list_unreported(sent_at)
        request = wire.PermitRequest(
            entry=self._entry, asks=asks, rate_limits=rows
        )
        try:
            response = await self._send(request, ASK_TIMEOUT_S)
        except errors.FulmarseamError as error:
            # The regular polls find out who leads; requests use other
            # targets meanwhile.
            limited_targets.note_failed_ask(self._loop.time())
            _log.info(
                telemetry.format_event('permits_unknown', reason=error.detail)
            )
            return
        now = self._loop.time()
        limited_targets.note_leader(sent_at)
        limited_targets.mark_reported(changes)
        limited_targets.add_permits(now, sent_at, asks, response.counts)
