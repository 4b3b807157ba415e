"""Placement of requests on targets: queue, choice, slots and shifts."""

import collections
from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import random
import statistics
from typing import NamedTuple

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.entry import _state

# Service times kept for the median of a pool.
SERVICE_TIMES_KEPT = 64
# Median assumed before the first answer, in seconds.
FIRST_SERVICE_S = 0.0
RATE_STEP = 0.3
# A new control leader is elected within 2 s. An entry that has not been
# confirmed for longer is cut off and gets no more slots.
OUT_OF_TOUCH_S = 2.0


class Placement(NamedTuple):
    """A request's slot on a target; ended with `Pools.release`."""

    choice: steering.Choice
    pool: ids.PoolName


@dataclasses.dataclass(eq=False, slots=True)
class QueuedRequest:
    """A request that waits for a slot.

    `notify` is called when `placement` or `refusal` has been set.
    """

    notify: Callable[[], None]
    placement: Placement | None = None
    refusal: errors.ErrorKind | None = None


class PoolState:
    """The queue and the recent figures of one pool."""

    def __init__(self, pool: wire.Pool, place: steering.Locality) -> None:
        self.pool = pool
        self.view = steering.PoolView(pool, place)
        self.queue: steering.RequestQueue[QueuedRequest] = (
            steering.RequestQueue(pool.queue_limit)
        )
        self.budget = steering.RetryBudget(pool.retry_ratio)
        self.in_flight = 0
        self.apart = 0
        self.arrivals = 0
        self.arrivals_per_s = 0.0
        self.reported_wanted = 0
        self.service_s = FIRST_SERVICE_S
        self.regions: frozenset[ids.RegionName] = frozenset()
        self.remote_placements: dict[ids.RegionName, int] = {}
        self._remote_rates: dict[ids.RegionName, float] = {}
        self._service_times: collections.deque[float] = collections.deque(
            maxlen=SERVICE_TIMES_KEPT
        )

    @property
    def wanted(self) -> int:
        """Return the slots wanted now."""
        return self.in_flight + len(self.queue) + self.apart

    def update(self, pool: wire.Pool, place: steering.Locality) -> None:
        """Take a changed row of the pool."""
        self.pool = pool
        self.view = steering.PoolView(pool, place)
        self.queue.limit = pool.queue_limit
        self.budget.ratio = pool.retry_ratio

    def remote_rate(self, region: ids.RegionName) -> float:
        """Return the recent requests/s placed in another region."""
        return self._remote_rates.get(region, 0.0)

    def record_service(self, seconds: float) -> None:
        """Count the time of a full answer."""
        self._service_times.append(seconds)

    def refresh(self, elapsed_s: float) -> None:
        """Recompute the recent figures; called on a tick."""
        rate = self.arrivals / elapsed_s
        self.arrivals = 0
        self.arrivals_per_s += RATE_STEP * (rate - self.arrivals_per_s)
        for region in self.regions:
            placed = self.remote_placements.pop(region, 0) / elapsed_s
            known = self._remote_rates.get(region, 0.0)
            self._remote_rates[region] = known + RATE_STEP * (placed - known)
        if self._service_times:
            self.service_s = statistics.median(self._service_times)


class Pools:
    """All pools of an entry; places requests on their targets."""

    def __init__(
        self,
        state: _state.SharedState,
        place: steering.Locality,
        rng: random.Random,
        request_sync: Callable[[], None],
    ) -> None:
        self._state = state
        self._place = place
        self._rng = rng
        self._request_sync = request_sync
        self._pools: dict[ids.PoolName, PoolState] = {}
        self._mirror_version = -1
        self.outcomes = steering.OutcomeTable()

    def all(self) -> list[PoolState]:
        """Return the states of all pools."""
        return list(self._pools.values())

    def get(self, name: ids.PoolName) -> PoolState:
        """Return the state of a pool.

        Raises `errors.FulmarseamError` when the pool does not exist.
        """
        pool = self._pools.get(name)
        if pool is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.NO_TARGET, f'no pool {name}'
            )
        return pool

    def update(self, now: float) -> None:
        """Take the tables and targets in force and serve the queues."""
        rows = {row.name: row for row in self._state.tables.rows(wire.Pool)}
        for name in self._pools.keys() - rows.keys():
            self._refuse_all(self._pools.pop(name), errors.ErrorKind.NO_TARGET)
        changed = self._mirror_version != self._state.targets.version
        for name, row in rows.items():
            pool = self._pools.get(name)
            if pool is None:
                pool = self._pools[name] = PoolState(row, self._place)
                changed = True
            elif pool.pool != row:
                pool.update(row, self._place)
                changed = True
        if changed:
            self.refresh_views(now)
        self.serve_queues(now)

    def refresh_views(self, now: float) -> None:
        """Pass targets and outcomes to the choice."""
        self._mirror_version = self._state.targets.version
        ready = self._state.targets.ready()
        for pool in self._pools.values():
            pool.view.refresh(now, ready, self.outcomes)
            pool.regions = _find_remote_regions(
                pool.pool, ready, self._place.region
            )

    def serve_queues(self, now: float) -> None:
        """Place waiting requests and refuse those that are too late."""
        for pool in self._pools.values():
            if len(pool.queue):
                self._serve_queue(now, pool)

    def _serve_queue(self, now: float, pool: PoolState) -> None:
        for ticket in pool.queue.remove_late(now, pool.service_s):
            ticket.item.refusal = errors.ErrorKind.NO_CAPACITY
            ticket.item.notify()
        while (first := pool.queue.peek()) is not None:
            placement = self.try_place(now, pool)
            if placement is None:
                if self._is_out_of_touch(now):
                    self._refuse_all(pool, errors.ErrorKind.NO_CAPACITY)
                return
            pool.queue.pop()
            first.item.placement = placement
            first.item.notify()

    def _is_out_of_touch(self, now: float) -> bool:
        """Return whether no more slots can be expected from the leader."""
        age = self._state.confirmation_age(now)
        return age is None or age > OUT_OF_TOUCH_S

    def _refuse_all(self, pool: PoolState, kind: errors.ErrorKind) -> None:
        while (ticket := pool.queue.pop()) is not None:
            ticket.item.refusal = kind
            ticket.item.notify()

    def start(
        self,
        now: float,
        pool: PoolState,
        queued: QueuedRequest,
        priority: int,
        deadline: float,
    ) -> steering.Ticket[QueuedRequest] | None:
        """Place a request or queue it.

        Returns None when `queued` has been placed or refused. A ticket of
        a request that stops to wait goes to `cancel`.
        """
        if not len(pool.queue):
            queued.placement = self.try_place(now, pool)
            if queued.placement is not None:
                return None
        if self._is_out_of_touch(now):
            queued.refusal = errors.ErrorKind.NO_CAPACITY
            return None
        admission = pool.queue.push(
            now, queued, priority, deadline, pool.service_s
        )
        if admission.evicted is not None:
            admission.evicted.item.refusal = errors.ErrorKind.QUEUE_FULL
            admission.evicted.item.notify()
        queued.refusal = admission.kind
        if pool.wanted > pool.reported_wanted:
            self._request_sync()
        return admission.ticket

    def cancel(
        self,
        now: float,
        pool: PoolState,
        ticket: steering.Ticket[QueuedRequest],
    ) -> None:
        """Stop to wait; a slot that was just given goes back."""
        if pool.queue.cancel(ticket):
            return
        if ticket.item.placement is not None:
            self.release(now, ticket.item.placement, refund=True)
            ticket.item.placement = None

    def try_place(
        self,
        now: float,
        pool: PoolState,
        avoided: Collection[ids.TargetId] = (),
    ) -> Placement | None:
        """Take a slot that is free now, if there is one."""
        shifts = self._state.shifts
        name = pool.pool.name
        blocked = shifts.list_blocked_regions(name)
        if pool.regions:
            blocked = blocked | self._find_full_links(now, pool)
        choice = steering.choose_target(
            pool.view,
            now,
            self._state.slots,
            self._rng,
            preferred_region=shifts.get_preferred_region(name),
            blocked_regions=blocked,
            avoided_targets=avoided,
        )
        if choice is None or not self._state.slots.try_acquire(
            now, choice.target
        ):
            return None
        if not shifts.try_acquire(name, choice.region):
            self._state.slots.release(choice.target)
            return None
        pool.in_flight += 1
        if choice.is_remote:
            placed = pool.remote_placements
            placed[choice.region] = placed.get(choice.region, 0) + 1
        return Placement(choice, name)

    def _find_full_links(
        self, now: float, pool: PoolState
    ) -> frozenset[ids.RegionName]:
        own = self._place.region
        has_tokens = self._state.links.has_tokens
        return frozenset(
            region
            for region in pool.regions
            if not has_tokens(now, f'{own}>{region}')
            or not has_tokens(now, f'{region}>{own}')
        )

    def release(
        self, now: float, placement: Placement, refund: bool = False
    ) -> None:
        """End a request; `refund` when no byte of it was sent."""
        self._state.slots.release(placement.choice.target)
        pool = self._pools.get(placement.pool)
        if refund:
            self._state.shifts.refund(placement.pool, placement.choice.region)
        if pool is None:
            return
        pool.in_flight -= 1
        if len(pool.queue):
            self._serve_queue(now, pool)


def _find_remote_regions(
    pool: wire.Pool,
    ready: Collection[membership.MirroredTarget],
    own: ids.RegionName,
) -> frozenset[ids.RegionName]:
    if pool.local_only:
        return frozenset()
    return frozenset(
        row.report.region
        for row in ready
        if row.report.pool == pool.name and row.report.region != own
    )
