"""Computes the figures of a run from its journals."""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
from typing import Any
from typing import NamedTuple

from hdrh import histogram

from fulmarseam import errors
from fulmarseam import standin
from fulmarseam.bench import _checker

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
# Kinds of refusals for lack of a slot. Other refusals, such as for a retired
# route, do not depend on free slots.
NO_SLOT_KINDS = frozenset(
    kind.value
    for kind in (
        errors.ErrorKind.NO_CAPACITY,
        errors.ErrorKind.NO_TARGET,
        errors.ErrorKind.QUEUE_FULL,
        errors.ErrorKind.TARGET_SHED,
    )
)


class Figures(NamedTuple):
    """The figures of one run.

    `headroom` is the mean share of all slots that were free, `drain_s` the
    longest drain.
    """

    scenario: str
    policy: str
    p50_ms: float
    p99_ms: float
    p999_ms: float
    goodput: float
    refused_with_room: int
    headroom: float
    drain_s: float
    broken_promises: int

    def format(self) -> str:
        """Return the figures as one line of key=value pairs."""
        pairs = [
            f'{key}={value:.3f}'
            if isinstance(value, float)
            else f'{key}={value}'
            for key, value in self._asdict().items()
        ]
        return ' '.join(pairs)


class Latencies:
    """Latencies of good calls, counted from their intended start."""

    def __init__(self, calls: Iterable[standin.CallRecord]) -> None:
        self.count = 0
        self._histogram: Any = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        for call in calls:
            if is_good(call):
                latency_us = int((call.ended - call.intended) * 1e6)
                self._histogram.record_value(max(LOWEST_US, latency_us))
                self.count += 1

    def get_percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds; 0 without good calls."""
        if not self.count:
            return 0.0
        return float(
            self._histogram.get_value_at_percentile(percentile) / 1_000
        )


def is_good(call: standin.CallRecord) -> bool:
    """Return whether a call got a complete, successful response."""
    answered = call.outcome == errors.Outcome.ANSWERED.value
    return answered and 200 <= call.status < 300


class FreeSlots:
    """The number of free slots of each pool over time."""

    def __init__(self, runs: Iterable[standin.RunRecord]) -> None:
        self._steps: dict[str, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )
        self._times: dict[str, list[float]] = {}
        self._free: dict[str, list[int]] = {}
        free: dict[str, tuple[str, int]] = {}
        for run in sorted(runs, key=lambda run: run.time):
            current = _count_free_slots(run, free.get(run.target, ('', 0))[1])
            previous = free.get(run.target, ('', 0))[1]
            free[run.target] = (run.pool, current)
            if current != previous:
                step = (run.time, current - previous)
                self._steps[run.pool].append(step)
        for pool, steps in self._steps.items():
            self._times[pool] = [time for time, _ in steps]
            changes = [change for _, change in steps]
            self._free[pool] = list(itertools.accumulate(changes))

    def find_minimum(self, pool: str, begin: float, end: float) -> int:
        """Return the lowest number of free slots of a pool in an interval."""
        times = self._times.get(pool, [])
        first = bisect.bisect_right(times, begin) - 1
        last = bisect.bisect_right(times, end)
        counts = self._free.get(pool, [])[max(first, 0) : max(last, 1)]
        return min(counts, default=0)


def _count_free_slots(run: standin.RunRecord, previous: int) -> int:
    is_end = run.event in (standin.RunEvent.END, standin.RunEvent.ABANDONED)
    if run.event in (standin.RunEvent.LEAVING, standin.RunEvent.DOWN):
        return 0
    if run.result is standin.RunResult.CRASHED:
        return 0
    if run.event is standin.RunEvent.SHED:
        return previous
    busy = run.busy - 1 if is_end else run.busy
    return max(0, run.slots - busy)


def measure_headroom(
    runs: Sequence[standin.RunRecord], begin: float, end: float
) -> float:
    """Return the mean share of all slots that were free in an interval."""
    slots = {run.target: run.slots for run in runs}
    start_times: dict[tuple[str, str], float] = {}
    busy_s = 0.0
    for run in sorted(runs, key=lambda run: run.time):
        key = (run.target, run.mark)
        if run.event is standin.RunEvent.START:
            start_times[key] = run.time
        elif run.event is standin.RunEvent.END and key in start_times:
            started = max(start_times.pop(key), begin)
            busy_s += max(0.0, min(run.time, end) - started)
    total_s = sum(slots.values()) * (end - begin)
    return 1 - busy_s / total_s if total_s else 0.0


def measure_drain_times(runs: Iterable[standin.RunRecord]) -> list[float]:
    """Return the duration of each drain in seconds.

    A drain lasts from the announcement of a target that it leaves to the end
    of its last request.
    """
    leave_times: dict[tuple[str, int], float] = {}
    end_times: dict[tuple[str, int], float] = {}
    for run in sorted(runs, key=lambda run: run.time):
        key = (run.target, run.incarnation)
        if run.event is standin.RunEvent.LEAVING:
            leave_times[key] = end_times[key] = run.time
        elif run.event is standin.RunEvent.END and key in leave_times:
            end_times[key] = run.time
    return [end_times[key] - leave_times[key] for key in leave_times]


def count_refused_with_room(
    history: _checker.History, free_slots: FreeSlots
) -> int:
    """Return the number of calls refused for lack of slots despite free ones.

    A slot of the pool must have been free during the whole call.
    """
    return sum(
        call.kind in NO_SLOT_KINDS
        and call.outcome == errors.Outcome.NOT_RUN.value
        and free_slots.find_minimum(
            history.route_pools.get(call.route, ''), call.intended, call.ended
        )
        > 0
        for call in history.calls
    )


def compute_figures(
    scenario: str, policy: str, history: _checker.History
) -> Figures:
    """Return the figures of the run of a scenario under a policy."""
    latencies = Latencies(history.calls)
    begin = min((call.intended for call in history.calls), default=0.0)
    end = max((call.intended for call in history.calls), default=0.0)
    drains = measure_drain_times(history.runs)
    return Figures(
        scenario=scenario,
        policy=policy,
        p50_ms=latencies.get_percentile_ms(50),
        p99_ms=latencies.get_percentile_ms(99),
        p999_ms=latencies.get_percentile_ms(99.9),
        goodput=latencies.count / (end - begin) if end > begin else 0.0,
        refused_with_room=count_refused_with_room(
            history, FreeSlots(history.runs)
        ),
        headroom=measure_headroom(history.runs, begin, end),
        drain_s=max(drains, default=0.0),
        broken_promises=len(_checker.find_violations(history)),
    )
