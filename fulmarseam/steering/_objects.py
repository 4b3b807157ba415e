"""Choice of the target for requests that concern an object.

A run at a target that knows the object takes a fraction of any other run, and
a target knows a limited number of objects. The costs of targets are compared
in seconds: the wait there, the run with or without knowledge of the object as
measured, and the way to another region.
"""

import collections
from collections.abc import Iterable
import math

from fulmarseam.steering import _observed
from fulmarseam.steering import _placement
from fulmarseam.steering import _pool_statistics

# Requests for an object count half after this time, so an object keeps its
# targets for some time after it was popular.
DEMAND_HALF_LIFE_S = 10.0
# Objects whose demand an entry remembers, the last ones requested.
MAX_OBJECTS = 4_096
# Load of an object, as a share of a target's slots, for which one more target
# is used.
LOAD_PER_HOME = 0.25
MAX_HOMES = 8
# The demand counts that many standard deviations below its estimate: an entry
# among many sees few of the requests for an object.
DEMAND_DEVIATIONS = 2.0
# Targets beyond its homes that may learn an object when waiting at the homes
# costs more.
LEARNING_TARGETS = 1
# A run without knowledge of the object counts as at least this multiple of a
# run with it. Where runs take alike because no cache holds the objects, a
# request would otherwise leave its home for a slightly shorter queue and evict
# an object elsewhere.
MIN_UNKNOWN_FACTOR = 1.5
# Weight of a run without knowledge of the object, which also occupies a slot
# that runs of known objects need.
UNKNOWN_COST = 1.1
# The way to another region and back, in seconds.
REMOTE_ROUND_TRIP_S = 0.04
# Cost of a target whose slots are all in use but that has no queue, as a
# share of a run.
LOAD_COST = 0.25


class ObjectDemand:
    """Estimates the demand of objects from the requests of one entry."""

    def __init__(self) -> None:
        self._counts: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )

    def note(self, now: float, key: str) -> None:
        """Count a request for an object."""
        count = self._count(now, key)
        self._counts[key] = (count + 1.0, now)
        self._counts.move_to_end(key)
        if len(self._counts) > MAX_OBJECTS:
            self._counts.popitem(last=False)

    def count_objects(self) -> int:
        """Return the number of objects that are remembered."""
        return len(self._counts)

    def _count(self, now: float, key: str) -> float:
        count, counted_at = self._counts.get(key, (0.0, now))
        weight: float = 0.5 ** ((now - counted_at) / DEMAND_HALF_LIFE_S)
        return count * weight

    def estimate_rate(self, now: float, key: str) -> float:
        """Return a low estimate of this entry's requests/s for an object."""
        count = self._count(now, key)
        low_count = count - DEMAND_DEVIATIONS * math.sqrt(count)
        return max(0.0, low_count) * math.log(2.0) / DEMAND_HALF_LIFE_S


def count_homes(rate_per_s: float, run_s: float, slots: int) -> int:
    """Return the number of targets that should know an object.

    `rate_per_s` is that of all entries, `run_s` the time of a run at a target
    that knows the object.
    """
    load = rate_per_s * run_s
    return min(MAX_HOMES, 1 + int(load / (LOAD_PER_HOME * slots)))


def place_object(
    now: float,
    targets: Iterable[_observed.ObservedTarget],
    may_send: _placement.MaySend,
    priority: int,
    time_left_s: float,
    home_count: int,
    pool_failure_rate: float = 0.0,
) -> _placement.Placement:
    """Return the target of an attempt for a request that concerns an object.

    `targets` are in the order of preference, which is the same for all
    entries. The first `home_count` usable ones know the object. The next one
    may learn it, if that costs less than to wait at its homes. If the cheapest
    cannot finish in time, the request is refused: elsewhere it would evict an
    object, and an overloaded pool would stay slow.
    """
    usable_s = time_left_s * _placement.MAX_TIME_LEFT_SHARE
    doubtful: _observed.ObservedTarget | None = None
    best: _placement.Placement | None = None
    best_cost = math.inf
    count = 0
    for target in targets:
        if _observed.is_ejected(target, now) or not may_send(target):
            continue
        kind = _find_kind(target, now, count < home_count)
        factor = target.work_factor.get(now)
        run_s = _estimate_run(target.statistics, kind)
        if kind is _pool_statistics.RunKind.COLD and run_s * factor > usable_s:
            continue
        wait = _placement.estimate_wait(target, now)
        if _observed.is_doubtful(target, pool_failure_rate):
            if not wait and doubtful is None:
                doubtful = target
            continue
        count += 1
        cost = _compute_cost(target, now, run_s, wait, factor)
        placement = _placement.Placement(
            target,
            _placement.SlotAvailability.QUEUE
            if wait
            else _placement.SlotAvailability.FREE,
            kind,
            wait,
            factor,
        )
        if cost < best_cost:
            best_cost = cost
            best = placement
        if count >= home_count + LEARNING_TARGETS:
            break
    if doubtful is not None and (
        best is None or best.wait_rounds > _placement.UNCACHED_COST_ROUNDS
    ):
        return _placement.Placement(
            doubtful,
            _placement.SlotAvailability.FREE,
            work_factor=doubtful.work_factor.get(now),
        )
    if best is not None and _placement.may_queue(best, priority, usable_s):
        return best
    return _placement.Placement(None, _placement.SlotAvailability.NONE)


def _find_kind(
    target: _observed.ObservedTarget, now: float, is_home: bool
) -> _pool_statistics.RunKind:
    if _observed.is_cold(target, now):
        return _pool_statistics.RunKind.COLD
    if is_home:
        return _pool_statistics.RunKind.FIRST_CHOICE
    return _pool_statistics.RunKind.OTHER


def _estimate_run(
    statistics: _pool_statistics.PoolStatistics,
    kind: _pool_statistics.RunKind,
) -> float:
    run_s = statistics.estimate_run(kind)
    if kind is not _pool_statistics.RunKind.OTHER:
        return run_s
    known_s = statistics.estimate_run(_pool_statistics.RunKind.FIRST_CHOICE)
    return max(run_s * UNKNOWN_COST, MIN_UNKNOWN_FACTOR * known_s)


def _compute_cost(
    target: _observed.ObservedTarget,
    now: float,
    run_s: float,
    wait: float,
    factor: float,
) -> float:
    """Return the seconds that a request costs at a target."""
    round_s = target.statistics.estimate_run(
        _pool_statistics.RunKind.FIRST_CHOICE
    )
    slots = target.record.slots
    used = min(1.0, _observed.estimate_load(target, now) / slots)
    cost = ((wait + LOAD_COST * used) * round_s + run_s) * factor
    return cost + REMOTE_ROUND_TRIP_S if target.is_remote else cost
