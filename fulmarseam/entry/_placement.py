"""Waiting for a slot: in the pool's queue, or apart for suspects."""

import asyncio

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam.entry import _outcomes
from fulmarseam.entry import _pools
from fulmarseam.entry import _requests
from fulmarseam.entry import _suspects

# A request that waits apart looks this often for a slot.
LOOK_INTERVAL_S = 0.01


class Scheduler:
    """Finds a slot for a context.

    Suspects and jobs that avoid targets wait apart from the queue: at its
    head they would hold up requests that could use the free slots.
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

        Raises `errors.FulmarseamError` when there is none in time, and
        `http.CallerGoneError`. A placement ends with `release`.
        """
        if avoided or self._is_suspect(context):
            return await self._wait_outside_queue(context, pool, avoided)
        placement = await self._wait_in_queue(context, pool)
        if not self._suspects.may_exist():
            return placement
        is_suspect = True
        try:
            is_suspect = self._is_suspect(context)
        finally:
            if is_suspect:
                # It became a suspect while it was waiting.
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
        """Give the slot back."""
        if context.runs_as_suspect:
            context.runs_as_suspect = False
            self._suspects.finish(
                context.fingerprint(), placement.choice.target
            )
        self._pools.release(self._loop.time(), placement, refund=not sent)

    def _is_suspect(self, context: _requests.RequestContext) -> bool:
        """Return whether a context is a suspect; refuse a quarantined one."""
        if not self._suspects.may_exist():
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
        ticket = self._pools.start(
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
                queued.refusal, f'no slot of pool {pool.pool.name} in time'
            )
        return queued.placement

    async def _wait_outside_queue(
        self,
        context: _requests.RequestContext,
        pool: _pools.PoolState,
        avoided: frozenset[ids.TargetId],
    ) -> _pools.Placement:
        if pool.apart >= pool.pool.queue_limit:
            raise errors.FulmarseamError(
                errors.ErrorKind.QUEUE_FULL,
                f'{pool.apart} requests wait apart',
            )
        signal = context.caller.signal
        assert signal is not None
        pool.apart += 1
        try:
            while True:
                placement = self._try_place(context, pool, avoided)
                if placement is not None:
                    return placement
                timer = self._loop.call_later(LOOK_INTERVAL_S, signal.notify)
                try:
                    await context.wait()
                finally:
                    timer.cancel()
        finally:
            pool.apart -= 1

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
