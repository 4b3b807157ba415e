"""Waiting for a slot: in the pool's queue, or apart for suspects."""

import asyncio

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam.entry import _judging
from fulmarseam.entry import _pools
from fulmarseam.entry import _requests
from fulmarseam.entry import _suspects

# A request that waits apart looks this often for a slot.
LOOK_INTERVAL_S = 0.01


class Placer:
    """Finds a slot for a job.

    Suspects and jobs that avoid targets wait apart from the queue: at its
    head they would hold up requests that could use the free slots.
    """

    def __init__(
        self, pools: _pools.PoolBook, suspects: _suspects.Suspects
    ) -> None:
        self._pools = pools
        self._suspects = suspects
        self._loop = asyncio.get_running_loop()

    async def place(
        self,
        job: _requests.Job,
        pool: _pools.PoolState,
        avoided: frozenset[ids.TargetId],
    ) -> _pools.Placement:
        """Wait for a slot that is not on an avoided target.

        Raises `errors.FulmarseamError` when there is none in time, and
        `http.CallerGoneError`. A placement ends with `end`.
        """
        if avoided or self._is_suspect(job):
            return await self._place_apart(job, pool, avoided)
        placement = await self._place_in_turn(job, pool)
        if not self._suspects.may_exist():
            return placement
        is_suspect = True
        try:
            is_suspect = self._is_suspect(job)
        finally:
            if is_suspect:
                # It became a suspect while it was waiting.
                self._pools.release(self._loop.time(), placement, refund=True)
        if not is_suspect:
            return placement
        return await self._place_apart(job, pool, avoided)

    def end(
        self, job: _requests.Job, placement: _pools.Placement, sent: bool
    ) -> None:
        """Give the slot back."""
        if job.runs_as_suspect:
            job.runs_as_suspect = False
            self._suspects.finish(job.fingerprint(), placement.choice.target)
        self._pools.release(self._loop.time(), placement, refund=not sent)

    def _is_suspect(self, job: _requests.Job) -> bool:
        """Return whether a job is a suspect; refuse a quarantined one."""
        if not self._suspects.may_exist():
            return False
        state = self._suspects.table.get_state(
            self._loop.time(), job.fingerprint()
        )
        if state is steering.SuspectState.QUARANTINED:
            raise _judging.make_quarantine_error()
        return state is steering.SuspectState.SUSPECT

    async def _place_in_turn(
        self, job: _requests.Job, pool: _pools.PoolState
    ) -> _pools.Placement:
        signal = job.caller.signal
        assert signal is not None
        waiter = _pools.Waiter(signal.notify)
        ticket = self._pools.start(
            self._loop.time(), pool, waiter, job.route.priority, job.deadline
        )
        try:
            while waiter.placement is None and waiter.refusal is None:
                await job.wait()
        except BaseException:
            if ticket is not None:
                self._pools.cancel(self._loop.time(), pool, ticket)
            raise
        if waiter.placement is None:
            assert waiter.refusal is not None
            raise errors.FulmarseamError(
                waiter.refusal, f'no slot of pool {pool.pool.name} in time'
            )
        return waiter.placement

    async def _place_apart(
        self,
        job: _requests.Job,
        pool: _pools.PoolState,
        avoided: frozenset[ids.TargetId],
    ) -> _pools.Placement:
        if pool.apart >= pool.pool.queue_limit:
            raise errors.FulmarseamError(
                errors.ErrorKind.QUEUE_FULL,
                f'{pool.apart} requests wait apart',
            )
        signal = job.caller.signal
        assert signal is not None
        pool.apart += 1
        try:
            while True:
                placement = self._try_place(job, pool, avoided)
                if placement is not None:
                    return placement
                timer = self._loop.call_later(LOOK_INTERVAL_S, signal.notify)
                try:
                    await job.wait()
                finally:
                    timer.cancel()
        finally:
            pool.apart -= 1

    def _try_place(
        self,
        job: _requests.Job,
        pool: _pools.PoolState,
        avoided: frozenset[ids.TargetId],
    ) -> _pools.Placement | None:
        now = self._loop.time()
        if not self._is_suspect(job):
            return self._pools.try_place(now, pool, avoided)
        if self._suspects.is_running(job.fingerprint()):
            return None
        avoided |= self._suspects.table.list_occupied_targets()
        placement = self._pools.try_place(now, pool, avoided)
        if placement is not None:
            self._suspects.start(job.fingerprint(), placement.choice.target)
            job.runs_as_suspect = True
        return placement
