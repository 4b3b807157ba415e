"""Placement of requests on targets: queues, target choice, slots, shifts."""

import collections
from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import functools
import random
import statistics
from typing import NamedTuple

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import notices
from fulmarseam import relay
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.entry import _state

# Number of latest service times from which the median of a pool is computed.
SERVICE_TIME_SAMPLES = 64
# Service time assumed before the first response.
INITIAL_SERVICE_TIME_S = 0.0
# A shorter service time would let refused callers return together.
MIN_SERVICE_TIME_S = 0.05
RATE_SMOOTHING_FACTOR = 0.3
# A new control leader is elected within 2 s. An entry whose configuration has
# not been confirmed for longer has lost contact and gets no more slots.
LEADER_CONTACT_TIMEOUT_S = 2.0

_log = logbook.Logger('entry')


class Placement(NamedTuple):
    """A request's slot on a target, to be released by `Pools.release`."""

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
    retry_after_s: float | None = None


class PoolState:
    """The queue and the recent statistics of one pool."""

    def __init__(self, pool: wire.Pool, locality: steering.Locality) -> None:
        self.pool = pool
        self.view = steering.PoolView(pool, locality)
        self.reachability = steering.Reachability()
        self.return_times = steering.ReturnTimes()
        self.queue: steering.RequestQueue[QueuedRequest] = (
            steering.RequestQueue(pool.queue_limit)
        )
        self.retry_budget = steering.RetryBudget(pool.retry_ratio)
        self.in_flight = 0
        self.waiting_outside_queue = 0
        self.arrivals = 0
        self.arrivals_per_s = 0.0
        self.reported_wanted_slots = 0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self.remote_regions: frozenset[ids.RegionName] = frozenset()
        self.remote_placements: dict[ids.RegionName, int] = {}
        self._remote_rates: dict[ids.RegionName, float] = {}
        self._service_times: collections.deque[float] = collections.deque(
            maxlen=SERVICE_TIME_SAMPLES
        )

    @property
    def wanted_slots(self) -> int:
        """Return the number of requests that run or wait for a slot."""
        return self.in_flight + len(self.queue) + self.waiting_outside_queue

    def update(self, pool: wire.Pool, locality: steering.Locality) -> None:
        """Apply a changed row of the pool."""
        self.pool = pool
        self.view = steering.PoolView(pool, locality)
        self.queue.limit = pool.queue_limit
        self.retry_budget.ratio = pool.retry_ratio

    def get_remote_rate(self, region: ids.RegionName) -> float:
        """Return the recent rate of requests/s placed in another region."""
        return self._remote_rates.get(region, 0.0)

    def record_service_time(self, seconds: float) -> None:
        """Record the service time of a completed request."""
        self._service_times.append(seconds)

    def refresh(self, elapsed_s: float) -> None:
        """Recompute the recent statistics; called periodically."""
        rate = self.arrivals / elapsed_s
        self.arrivals = 0
        self.arrivals_per_s += RATE_SMOOTHING_FACTOR * (
            rate - self.arrivals_per_s
        )
        for region in self.remote_regions:
            placed = self.remote_placements.pop(region, 0) / elapsed_s
            previous = self._remote_rates.get(region, 0.0)
            self._remote_rates[region] = previous + RATE_SMOOTHING_FACTOR * (
                placed - previous
            )
        if self._service_times:
            self.service_time_s = statistics.median(self._service_times)


class Pools:
    """All pools of an entry; places requests on their targets."""

    def __init__(
        self,
        state: _state.SharedState,
        locality: steering.Locality,
        rng: random.Random,
        request_sync: Callable[[], None],
    ) -> None:
        self._state = state
        self._locality = locality
        self._rng = rng
        self._request_sync = request_sync
        self._pools: dict[ids.PoolName, PoolState] = {}
        self._mirror_version = -1
        self.outcomes = steering.OutcomeTable()
        self.notices = steering.NoticeTable()
        self._notice_recorder = notices.NoticeRecorder(self.notices)

    def list_pools(self) -> list[PoolState]:
        """Return the states of all pools."""
        return list(self._pools.values())

    def get(self, name: ids.PoolName) -> PoolState:
        """Return the state of a pool.

        Raises `errors.FulmarseamError` when the pool does not exist.
        """
        pool = self._pools.get(name)
        if pool is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.NO_TARGET, f'found no pool named {name}'
            )
        return pool

    def list_targets(self, name: ids.PoolName) -> list[wire.TargetReport]:
        """Return the ready targets of a pool."""
        return [
            row.report
            for row in self._state.targets.ready()
            if row.report.pool == name
        ]

    def find_unreachable(self, name: ids.PoolName) -> frozenset[ids.TargetId]:
        """Return the targets of a pool that requests must not use now.

        There are none while the paths of this entry are open.
        """
        reachability = self.get(name).reachability
        if reachability.state is not steering.PathState.CUT_OFF:
            return frozenset()
        return frozenset(
            report.target
            for report in self.list_targets(name)
            if not reachability.may_open(report.target)
        )

    def note_unreachable(
        self, now: float, name: ids.PoolName, target: ids.TargetId
    ) -> None:
        """Record that a target could not be reached or fell silent."""
        self.get(name).reachability.note_unreachable(
            now, target, len(self.list_targets(name))
        )

    def is_cut_off(self) -> bool:
        """Return whether the paths to the targets of most pools are cut."""
        cut_count = sum(
            pool.reachability.state is steering.PathState.CUT_OFF
            for pool in self._pools.values()
        )
        return 2 * cut_count > len(self._pools)

    def choose_probes(self) -> list[relay.Probe]:
        """Return the targets to connect to, to find out about the paths."""
        probes = []
        for name, pool in self._pools.items():
            if pool.reachability.state is steering.PathState.OPEN:
                continue
            reports = {
                report.target: report for report in self.list_targets(name)
            }
            probes += [
                relay.Probe(
                    reports[target].address,
                    functools.partial(self._note_probe, name, target),
                )
                for target in pool.reachability.choose_probes(reports)
            ]
        return probes

    def _note_probe(
        self, name: ids.PoolName, target: ids.TargetId, is_reached: bool
    ) -> None:
        pool = self._pools.get(name)
        if pool is None:
            return
        previous = pool.reachability.state
        pool.reachability.note_probe(
            target, is_reached, len(self.list_targets(name))
        )
        state = pool.reachability.state
        is_change = state is not previous
        if is_change and steering.PathState.CUT_OFF in (state, previous):
            _log.warning(
                telemetry.format_event(
                    'paths',
                    pool=name,
                    state=state.value,
                    previous=previous.value,
                )
            )

    # Notices of targets

    def record_notice(
        self,
        now: float,
        process: steering.TargetProcess,
        notice: notices.Notice,
    ) -> None:
        """Record what a target says about the requests that it wants."""
        self._notice_recorder.record(now, process, notice)

    def find_process(self, target: ids.TargetId) -> steering.TargetProcess:
        """Return the process that a target runs as, as far as known."""
        row = self._state.targets.get(target)
        if row is None:
            return steering.TargetProcess(target, '', 0)
        report = row.report
        return steering.TargetProcess(
            target, report.address, report.incarnation
        )

    def _list_unwilling(
        self, now: float, name: ids.PoolName
    ) -> frozenset[ids.TargetId]:
        """Return the targets of a pool that want no request now."""
        if not self.notices:
            return frozenset()
        return frozenset(
            report.target
            for report in self.list_targets(name)
            if not self.notices.may_send(now, self.find_process(report.target))
        )

    def wants_nothing(self, now: float, pool: PoolState) -> bool:
        """Return whether no target of a pool wants a request now."""
        name = pool.pool.name
        unwilling = self._list_unwilling(now, name)
        return len(unwilling) > 0 and (
            len(unwilling) == len(self.list_targets(name))
        )

    def schedule_return(
        self, now: float, pool: PoolState, priority: int
    ) -> float | None:
        """Return when a caller should come back to a pool that wants nothing.

        This is None if all targets leave. Callers return one after another,
        as fast as the target that wants requests first can serve them.
        """
        returns = []
        for report in self.list_targets(pool.pool.name):
            process = self.find_process(report.target)
            if not self.notices.is_leaving(process):
                return_at = self.notices.get_return_time(now, process)
                returns.append((return_at, report.slots))
        if not returns:
            return None
        return_at, slots = min(returns)
        rate_per_s = slots / max(pool.service_time_s, MIN_SERVICE_TIME_S)
        return (
            return_at
            - now
            + pool.return_times.schedule(return_at, priority, rate_per_s)
        )

    def find_incarnation(self, target: ids.TargetId) -> int:
        """Return the incarnation of a target, or 0 if it has left."""
        row = self._state.targets.get(target)
        return 0 if row is None else row.report.incarnation

    def update(self, now: float) -> None:
        """Apply the current tables and targets and serve the queues."""
        rows = {row.name: row for row in self._state.tables.rows(wire.Pool)}
        for name in self._pools.keys() - rows.keys():
            self._refuse_all(self._pools.pop(name), errors.ErrorKind.NO_TARGET)
        changed = self._mirror_version != self._state.targets.version
        for name, row in rows.items():
            pool = self._pools.get(name)
            if pool is None:
                pool = self._pools[name] = PoolState(row, self._locality)
                changed = True
            elif pool.pool != row:
                pool.update(row, self._locality)
                changed = True
        if changed:
            self.refresh_views(now)
        self.serve_queues(now)

    def refresh_views(self, now: float) -> None:
        """Update the views for target choice with targets and outcomes."""
        self._mirror_version = self._state.targets.version
        ready = self._state.targets.ready()
        for pool in self._pools.values():
            pool.view.refresh(now, ready, self.outcomes)
            pool.remote_regions = _find_remote_regions(
                pool.pool, ready, self._locality.region
            )

    def serve_queues(self, now: float) -> None:
        """Place queued requests; refuse those that cannot end in time."""
        for pool in self._pools.values():
            if len(pool.queue):
                self._serve_queue(now, pool)

    def _serve_queue(self, now: float, pool: PoolState) -> None:
        for ticket in pool.queue.remove_late(now, pool.service_time_s):
            ticket.item.refusal = errors.ErrorKind.NO_CAPACITY
            ticket.item.notify()
        while (first := pool.queue.peek()) is not None:
            placement = self.try_place(now, pool)
            if placement is None:
                if self._has_lost_leader(now) or self.wants_nothing(now, pool):
                    self._refuse_all(pool, errors.ErrorKind.NO_CAPACITY)
                return
            pool.queue.pop()
            first.item.placement = placement
            first.item.notify()

    def _has_lost_leader(self, now: float) -> bool:
        """Return whether contact with the leader is lost.

        No more slots can then be expected.
        """
        age = self._state.confirmation_age(now)
        return age is None or age > LEADER_CONTACT_TIMEOUT_S

    def _refuse_all(self, pool: PoolState, kind: errors.ErrorKind) -> None:
        while (ticket := pool.queue.pop()) is not None:
            ticket.item.refusal = kind
            ticket.item.notify()

    def place_or_queue(
        self,
        now: float,
        pool: PoolState,
        queued: QueuedRequest,
        priority: int,
        deadline: float,
    ) -> steering.Ticket[QueuedRequest] | None:
        """Place a request or add it to the queue.

        Returns None when `queued` has been placed or refused. When a queued
        request stops waiting, its ticket must be passed to `cancel`.
        """
        if not len(pool.queue):
            queued.placement = self.try_place(now, pool)
            if queued.placement is not None:
                return None
        if self._has_lost_leader(now):
            queued.refusal = errors.ErrorKind.NO_CAPACITY
            return None
        if self.wants_nothing(now, pool):
            queued.refusal = errors.ErrorKind.NO_CAPACITY
            queued.retry_after_s = self.schedule_return(now, pool, priority)
            return None
        admission = pool.queue.push(
            now, queued, priority, deadline, pool.service_time_s
        )
        if admission.evicted is not None:
            admission.evicted.item.refusal = errors.ErrorKind.QUEUE_FULL
            admission.evicted.item.notify()
        queued.refusal = admission.kind
        if pool.wanted_slots > pool.reported_wanted_slots:
            self._request_sync()
        return admission.ticket

    def cancel(
        self,
        now: float,
        pool: PoolState,
        ticket: steering.Ticket[QueuedRequest],
    ) -> None:
        """Remove a request from the queue, or release its slot if placed."""
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
        """Take a slot that is free now; return None if there is none."""
        shifts = self._state.shifts
        name = pool.pool.name
        blocked_regions = shifts.list_blocked_regions(name)
        if pool.remote_regions:
            blocked_regions = (
                blocked_regions | self._find_regions_without_tokens(now, pool)
            )
        choice = steering.choose_target(
            pool.view,
            now,
            self._state.slots,
            self._rng,
            preferred_region=shifts.get_preferred_region(name),
            blocked_regions=blocked_regions,
            avoided_targets=self._list_unwilling(now, name).union(avoided),
        )
        if choice is None or not self._state.slots.try_acquire(
            now, choice.target
        ):
            return None
        if not shifts.try_acquire(name, choice.region):
            self._state.slots.release(choice.target)
            return None
        if self.notices:
            self.notices.note_sent(now, self.find_process(choice.target))
        pool.in_flight += 1
        if choice.is_remote:
            placed = pool.remote_placements
            placed[choice.region] = placed.get(choice.region, 0) + 1
        return Placement(choice, name)

    def _find_regions_without_tokens(
        self, now: float, pool: PoolState
    ) -> frozenset[ids.RegionName]:
        own_region = self._locality.region
        has_tokens = self._state.links.has_tokens
        return frozenset(
            region
            for region in pool.remote_regions
            if not has_tokens(now, f'{own_region}>{region}')
            or not has_tokens(now, f'{region}>{own_region}')
        )

    def release(
        self, now: float, placement: Placement, refund: bool = False
    ) -> None:
        """Release a slot; `refund` shift credit when nothing was sent."""
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
    own_region: ids.RegionName,
) -> frozenset[ids.RegionName]:
    if pool.local_only:
        return frozenset()
    return frozenset(
        row.report.region
        for row in ready
        if row.report.pool == pool.name and row.report.region != own_region
    )
