"""Waiting for a slot: in the pool's queue or, for suspects, outside it."""

import asyncio

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam.entry import _outcomes
from fulmarseam.entry import _pools
from fulmarseam.entry import _requests
from fulmarseam.entry import _suspects

# A request that waits outside the queue checks for a slot this often.
SLOT_POLL_INTERVAL_S = 0.01


class Scheduler:
    """Waits for a slot for each request.

    Crash suspects and requests that avoid targets wait outside the queue:
    at its head they would block requests that could use the free slots.
    """

    def __init__(
        self, pools: _pools.Pools, suspects: _suspects.Suspects
    ) -> None:
        self._pools = pools
        self._suspects = suspects
        self._loop = asyncio.get_running_loop()

    async def wait_for_slot(
        self,
        context: _requests.RequestContext,
        pool: _pools.PoolState,
        avoided: frozenset[ids.TargetId],
    ) -> _pools.Placement:
        """Wait for a slot that is not on an avoided target.

        Raises `errors.FulmarseamError` when no slot becomes free in time, and
        `http.CallerGoneError`. Each placement must be passed to `release`.
        """
        if avoided or self._is_suspect(context):
            return await self._wait_outside_queue(context, pool, avoided)
        placement = await self._wait_in_queue(context, pool)
        if not self._suspects.has_recent_strikes():
            return placement
        is_suspect = True
        try:
            is_suspect = self._is_suspect(context)
        finally:
            if is_suspect:
                # The request became a suspect while it was waiting.
                self._pools.release(self._loop.time(), placement, refund=True)
        if not is_suspect:
            return placement
        return await self._wait_outside_queue(context, pool, avoided)

    def release(
        self,
        context: _requests.RequestContext,
        placement: _pools.Placement,
        sent: bool,
    ) -> None:
        """Release the slot; `sent` tells whether any byte was sent."""
        if context.runs_as_suspect:
            context.runs_as_suspect = False
            self._suspects.finish(
                context.fingerprint(), placement.choice.target
            )
        self._pools.release(self._loop.time(), placement, refund=not sent)

    def _is_suspect(self, context: _requests.RequestContext) -> bool:
        """Return whether a request is a suspect; refuse if quarantined."""
        if not self._suspects.has_recent_strikes():
            return False
        state = self._suspects.table.get_state(
            self._loop.time(), context.fingerprint()
        )
        if state is steering.SuspectState.QUARANTINED:
            raise _outcomes.make_quarantine_error()
        return state is steering.SuspectState.SUSPECT

    async def _wait_in_queue(
        self, context: _requests.RequestContext, pool: _pools.PoolState
    ) -> _pools.Placement:
        signal = context.caller.signal
        assert signal is not None
        queued = _pools.QueuedRequest(signal.notify)
        ticket = self._pools.place_or_queue(
            self._loop.time(),
            pool,
            queued,
            context.route.priority,
            context.deadline,
        )
        try:
            while queued.placement is None and queued.refusal is None:
                await context.wait()
        except BaseException:
            if ticket is not None:
                self._pools.cancel(self._loop.time(), pool, ticket)
            raise
        if queued.placement is None:
            assert queued.refusal is not None
            raise errors.FulmarseamError(
                queued.refusal,
                f'no slot of pool {pool.pool.name} is available',
            )
        return queued.placement

    async def _wait_outside_queue(
        self,
        context: _requests.RequestContext,
        pool: _pools.PoolState,
        avoided: frozenset[ids.TargetId],
    ) -> _pools.Placement:
        if pool.waiting_outside_queue >= pool.pool.queue_limit:
            raise errors.FulmarseamError(
                errors.ErrorKind.QUEUE_FULL,
                f'{pool.waiting_outside_queue} requests wait '
                'outside the queue',
            )
        signal = context.caller.signal
        assert signal is not None
        pool.waiting_outside_queue += 1
        try:
            while True:
                placement = self._try_place(context, pool, avoided)
                if placement is not None:
                    return placement
                timer = self._loop.call_later(
                    SLOT_POLL_INTERVAL_S, signal.notify
                )
                try:
                    await context.wait()
                finally:
                    timer.cancel()
        finally:
            pool.waiting_outside_queue -= 1

    def _try_place(
        self,
        context: _requests.RequestContext,
        pool: _pools.PoolState,
        avoided: frozenset[ids.TargetId],
    ) -> _pools.Placement | None:
        now = self._loop.time()
        if not self._is_suspect(context):
            return self._pools.try_place(now, pool, avoided)
        if self._suspects.is_running(context.fingerprint()):
            return None
        avoided |= self._suspects.table.list_occupied_targets()
        placement = self._pools.try_place(now, pool, avoided)
        if placement is not None:
            self._suspects.start(
                context.fingerprint(), placement.choice.target
            )
            context.runs_as_suspect = True
        return placement
