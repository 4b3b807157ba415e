"""Choice of a target without slot grants, from observed state only."""

from collections.abc import Callable
from collections.abc import Iterable
import enum
from typing import NamedTuple

from fulmarseam.steering import _observed
from fulmarseam.steering import _pool_statistics

# Longest queue of a target, in rounds of its slots, by priority. Requests of
# the highest priority may wait longest, so they are refused last.
MAX_QUEUE_ROUNDS = (2.0, 1.5, 1.0)
# Queue, in rounds of the slots, that a request for an object accepts at the
# target that has the object cached. Any other target takes three to four
# times as long for the request and so adds to an overload.
UNCACHED_COST_ROUNDS = 1.0
# An attempt is not started if its expected time exceeds this share of the
# time left.
MAX_TIME_LEFT_SHARE = 0.9


class SlotAvailability(enum.Enum):
    """Whether the chosen target has a free slot, only a queue, or neither."""

    FREE = 'free'
    QUEUE = 'queue'
    NONE = 'none'


class Placement(NamedTuple):
    """The target for an attempt, or None if no target can take it.

    `run_kind` tells what run time is expected there, `wait_rounds` the
    queue, in rounds of all slots, and `work_factor` how long work takes there
    now compared with the usual time.
    """

    target: _observed.ObservedTarget | None
    availability: SlotAvailability
    run_kind: _pool_statistics.RunKind = _pool_statistics.RunKind.FIRST_CHOICE
    wait_rounds: float = 0.0
    work_factor: float = 1.0


MaySend = Callable[[_observed.ObservedTarget], bool]


def place_request(
    now: float,
    targets: Iterable[_observed.ObservedTarget],
    may_send: MaySend,
    priority: int,
    time_left_s: float,
    max_choices: int | None = None,
    pool_failure_rate: float = 0.0,
) -> Placement:
    """Return the target of an attempt.

    `targets` are in order of preference. Without `max_choices`, the first
    free target is chosen. `max_choices` is set for a request that concerns
    an object: only that many usable targets are considered, and each step
    down in preference costs as much as `UNCACHED_COST_ROUNDS` of queue,
    since a less preferred target does not have the object cached. If neither
    would finish in time the request is refused: at any other target it would
    evict an object, and a pool that lost its caches would never recover.

    A doubtful target is chosen only if it is free and no healthy target is;
    for an object, also no healthy target may have a queue of at most
    `UNCACHED_COST_ROUNDS`. A cold target is skipped if it would take longer
    than the time left.
    """
    usable_s = time_left_s * MAX_TIME_LEFT_SHARE
    healthy_count = 0
    doubtful: _observed.ObservedTarget | None = None
    best: Placement | None = None
    best_cost = 0.0
    for target in targets:
        if _observed.is_ejected(target, now) or not may_send(target):
            continue
        run_kind = _find_run_kind(target, now, healthy_count, max_choices)
        factor = target.work_factor.get(now)
        if run_kind is _pool_statistics.RunKind.COLD and (
            target.statistics.estimate_run(run_kind) * factor > usable_s
        ):
            continue
        wait = estimate_wait(target, now)
        if _observed.is_doubtful(target, pool_failure_rate):
            if not wait and doubtful is None:
                doubtful = target
            continue
        cost = (1.0 + wait) * factor - 1.0 if wait else 0.0
        if max_choices is not None:
            cost += healthy_count * UNCACHED_COST_ROUNDS
        healthy_count += 1
        if not cost:
            return Placement(
                target, SlotAvailability.FREE, run_kind, 0.0, factor
            )
        if best is None or cost < best_cost:
            best_cost = cost
            availability = (
                SlotAvailability.QUEUE if wait else SlotAvailability.FREE
            )
            best = Placement(target, availability, run_kind, wait, factor)
        if healthy_count == max_choices:
            break
    max_wait = UNCACHED_COST_ROUNDS if max_choices is not None else 0.0
    if doubtful is not None and (best is None or best.wait_rounds > max_wait):
        return Placement(
            doubtful,
            SlotAvailability.FREE,
            work_factor=doubtful.work_factor.get(now),
        )
    if best is not None and may_queue(best, priority, usable_s):
        return best
    return Placement(None, SlotAvailability.NONE)


def may_queue(placement: Placement, priority: int, usable_s: float) -> bool:
    """Return whether a request may wait for its turn at the target."""
    if not placement.wait_rounds:
        return True
    max_rounds = MAX_QUEUE_ROUNDS[min(priority, len(MAX_QUEUE_ROUNDS) - 1)]
    return (
        placement.wait_rounds <= max_rounds
        and estimate_time(placement) <= usable_s
    )


def _find_run_kind(
    target: _observed.ObservedTarget,
    now: float,
    healthy_count: int,
    max_choices: int | None,
) -> _pool_statistics.RunKind:
    if _observed.is_cold(target, now):
        return _pool_statistics.RunKind.COLD
    if healthy_count and max_choices is not None:
        return _pool_statistics.RunKind.OTHER
    return _pool_statistics.RunKind.FIRST_CHOICE


def estimate_time(placement: Placement) -> float:
    """Return the expected seconds until the response."""
    target = placement.target
    assert target is not None
    statistics = target.statistics
    round_s = max(
        target.service_s,
        statistics.estimate_run(_pool_statistics.RunKind.FIRST_CHOICE),
    )
    run_s = max(target.service_s, statistics.estimate_run(placement.run_kind))
    return (placement.wait_rounds * round_s + run_s) * placement.work_factor


def estimate_wait(target: _observed.ObservedTarget, now: float) -> float:
    """Return the queue ahead of a new request, in rounds of all slots."""
    slots = target.record.slots
    load = _observed.estimate_load(target, now)
    return max(0.0, (load + 1.0 - slots) / slots)
