"""Waiting for a slot: in the pool's queue or, for suspects, outside it."""

import asyncio

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam.entry import _outcomes
from fulmarseam.entry import _pools
from fulmarseam.entry import _requests

# A request that waits outside the queue checks for a slot this often.
SLOT_POLL_INTERVAL_S = 0.01


class Scheduler:
    """Waits for a slot for each request.

    Crash suspects and requests that avoid targets wait outside the queue:
    at its head they would block requests that could use the free slots.
    """

    def __init__(
        self, pools: _pools.Pools, crash_guard: quarantine.CrashGuard
    ) -> None:
        self._pools = pools
        self._crash_guard = crash_guard
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
        while True:
            context.is_trial = await self._admit(context)
            try:
                placement = await self._wait_for_placement(
                    context, pool, avoided
                )
            except BaseException:
                self._end_trial(context)
                raise
            if context.is_trial or not self._crash_guard.must_try(
                context.fingerprint()
            ):
                return placement
            # The request became a suspect while it was waiting.
            self._pools.release(self._loop.time(), placement, refund=True)

    async def _admit(self, context: _requests.RequestContext) -> bool:
        """Return whether a request runs as a trial, once it may run.

        Raises `errors.FulmarseamError` if it must not run.
        """
        while True:
            admission = await self._crash_guard.admit(
                context.fingerprint(), context.deadline - self._loop.time()
            )
            verdict = admission.verdict
            if verdict is quarantine.Verdict.REFUSE:
                raise _outcomes.make_quarantine_error()
            if verdict is not quarantine.Verdict.WAIT:
                return verdict is quarantine.Verdict.TRIAL
            signal = context.caller.signal
            assert signal is not None
            timer = self._loop.call_later(admission.wait_s, signal.notify)
            try:
                await context.wait()
            finally:
                timer.cancel()

    async def _wait_for_placement(
        self,
        context: _requests.RequestContext,
        pool: _pools.PoolState,
        avoided: frozenset[ids.TargetId],
    ) -> _pools.Placement:
        if not avoided and not context.is_trial:
            return await self._wait_in_queue(context, pool)
        return await self._wait_outside_queue(context, pool, avoided)

    def release(
        self,
        context: _requests.RequestContext,
        placement: _pools.Placement,
        sent: bool,
    ) -> None:
        """Release the slot; `sent` tells whether any byte was sent."""
        self._end_trial(context)
        self._pools.release(self._loop.time(), placement, refund=not sent)

    def _end_trial(self, context: _requests.RequestContext) -> None:
        if context.is_trial:
            context.is_trial = False
            self._crash_guard.end_trial(context.fingerprint())

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
                queued.retry_after_s,
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
                now = self._loop.time()
                if self._pools.wants_nothing(now, pool):
                    raise errors.FulmarseamError(
                        errors.ErrorKind.NO_CAPACITY,
                        f'no target of pool {pool.pool.name} wants requests',
                        self._pools.schedule_return(
                            now, pool, context.route.priority
                        ),
                    )
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
        if context.is_trial:
            avoided |= self._crash_guard.list_trial_targets()
        placement = self._pools.try_place(now, pool, avoided)
        if placement is not None and context.is_trial:
            self._crash_guard.start_trial(
                context.fingerprint(), placement.choice.target
            )
        return placement
