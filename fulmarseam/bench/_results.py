"""Figures of one run, computed from the journals."""

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
# Refusals for want of a slot; others, such as a retired route, say nothing
# about room.
ROOM_KINDS = frozenset(
    kind.value
    for kind in (
        errors.ErrorKind.NO_CAPACITY,
        errors.ErrorKind.NO_TARGET,
        errors.ErrorKind.QUEUE_FULL,
        errors.ErrorKind.TARGET_SHED,
    )
)


class Figures(NamedTuple):
    """The figures of one run. `headroom` is a share of all slots."""

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
        """Return one line of key=value pairs."""
        pairs = [
            f'{key}={value:.3f}'
            if isinstance(value, float)
            else f'{key}={value}'
            for key, value in self._asdict().items()
        ]
        return ' '.join(pairs)


class Latencies:
    """Latencies from the intended start of good answers."""

    def __init__(self, calls: Iterable[standin.CallRecord]) -> None:
        self.count = 0
        self._histogram: Any = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        for call in calls:
            if is_good(call):
                taken_us = int((call.ended - call.intended) * 1e6)
                self._histogram.record_value(max(LOWEST_US, taken_us))
                self.count += 1

    def read_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds; 0 without answers."""
        if not self.count:
            return 0.0
        return float(
            self._histogram.get_value_at_percentile(percentile) / 1_000
        )


def is_good(call: standin.CallRecord) -> bool:
    """Return whether a call got a whole, successful answer."""
    answered = call.outcome == errors.Outcome.ANSWERED.value
    return answered and 200 <= call.status < 300


class Usage:
    """Free slots of each pool over time."""

    def __init__(self, runs: Iterable[standin.RunRecord]) -> None:
        self._steps: dict[str, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )
        self._times: dict[str, list[float]] = {}
        self._free: dict[str, list[int]] = {}
        free: dict[str, tuple[str, int]] = {}
        for run in sorted(runs, key=lambda run: run.time):
            now_free = _count_free(run, free.get(run.target, ('', 0))[1])
            before = free.get(run.target, ('', 0))[1]
            free[run.target] = (run.pool, now_free)
            if now_free != before:
                step = (run.time, now_free - before)
                self._steps[run.pool].append(step)
        for pool, steps in self._steps.items():
            self._times[pool] = [time for time, _ in steps]
            changes = [change for _, change in steps]
            self._free[pool] = list(itertools.accumulate(changes))

    def find_free(self, pool: str, begin: float, end: float) -> int:
        """Return the least number of free slots within a span of time."""
        times = self._times.get(pool, [])
        first = bisect.bisect_right(times, begin) - 1
        last = bisect.bisect_right(times, end)
        levels = self._free.get(pool, [])[max(first, 0) : max(last, 1)]
        return min(levels, default=0)


def _count_free(run: standin.RunRecord, before: int) -> int:
    leaves = run.event in (standin.RunEvent.END, standin.RunEvent.GONE)
    if run.event in (standin.RunEvent.LEAVING, standin.RunEvent.DOWN):
        return 0
    if run.result is standin.RunResult.CRASHED:
        return 0
    if run.event is standin.RunEvent.SHED:
        return before
    busy = run.busy - 1 if leaves else run.busy
    return max(0, run.slots - busy)


def measure_headroom(
    runs: Sequence[standin.RunRecord], begin: float, end: float
) -> float:
    """Return the mean share of slots that were free in a span of time."""
    slots = {run.target: run.slots for run in runs}
    open_runs: dict[tuple[str, str], float] = {}
    busy_s = 0.0
    for run in sorted(runs, key=lambda run: run.time):
        key = (run.target, run.mark)
        if run.event is standin.RunEvent.START:
            open_runs[key] = run.time
        elif run.event is standin.RunEvent.END and key in open_runs:
            started = max(open_runs.pop(key), begin)
            busy_s += max(0.0, min(run.time, end) - started)
    total_s = sum(slots.values()) * (end - begin)
    return 1 - busy_s / total_s if total_s else 0.0


def measure_drains(runs: Iterable[standin.RunRecord]) -> list[float]:
    """Return the seconds from each leave to the end of its last request."""
    left: dict[tuple[str, int], float] = {}
    last: dict[tuple[str, int], float] = {}
    for run in sorted(runs, key=lambda run: run.time):
        key = (run.target, run.incarnation)
        if run.event is standin.RunEvent.LEAVING:
            left[key] = last[key] = run.time
        elif run.event is standin.RunEvent.END and key in left:
            last[key] = run.time
    return [last[key] - left[key] for key in left]


def count_refused_with_room(history: _checker.History, usage: Usage) -> int:
    """Return the calls refused for want of slots while slots were free.

    Slots must have been free during the whole call.
    """
    return sum(
        call.kind in ROOM_KINDS
        and call.outcome == errors.Outcome.NOT_RUN.value
        and usage.find_free(
            history.route_pools.get(call.route, ''), call.intended, call.ended
        )
        > 0
        for call in history.calls
    )


def compute_figures(
    scenario: str, policy: str, history: _checker.History
) -> Figures:
    """Return the figures of a run."""
    latencies = Latencies(history.calls)
    begin = min((call.intended for call in history.calls), default=0.0)
    end = max((call.intended for call in history.calls), default=0.0)
    drains = measure_drains(history.runs)
    return Figures(
        scenario=scenario,
        policy=policy,
        p50_ms=latencies.read_ms(50),
        p99_ms=latencies.read_ms(99),
        p999_ms=latencies.read_ms(99.9),
        goodput=latencies.count / (end - begin) if end > begin else 0.0,
        refused_with_room=count_refused_with_room(
            history, Usage(history.runs)
        ),
        headroom=measure_headroom(history.runs, begin, end),
        drain_s=max(drains, default=0.0),
        broken_promises=len(_checker.find_violations(history)),
    )
