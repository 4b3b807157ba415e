"""Finds broken promises in what targets and callers recorded.

Nothing that an entry or a control member says is used. The promises P1 to P8
are those of the design page.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import NamedTuple

from fulmarseam import errors
from fulmarseam import standin

LEAVE_BOUND_S = 3.0
CONFIG_BOUND_S = 5.0
LOOKUP_LIFETIME_S = 5.0
# A cancelled run and its successor reach the target on two connections, in
# any order.
CANCEL_RACE_S = 0.05
LINK_WINDOW_S = 1.0
_ARRIVALS = (standin.RunEvent.START, standin.RunEvent.WAIT)
# These requests break their own connections.
_BREAKING_ACTIONS = ('crash', 'truncate')


class Violation(NamedTuple):
    """One broken promise."""

    promise: str
    detail: str


class GracefulStop(NamedTuple):
    """An entry was told to stop at `begin` and had ended at `end`."""

    address: str
    begin: float
    end: float


class Retirement(NamedTuple):
    """A route was retired; the edit was accepted at `accepted`."""

    route: str
    accepted: float


class TargetDrain(NamedTuple):
    """A drain of a target was in force in the tables at `accepted`."""

    target: str
    accepted: float


class ShiftCap(NamedTuple):
    """A shift between two regions was active within a span of time."""

    pool: str
    from_region: str
    to_region: str
    cap_percent: float
    begin: float
    end: float


@dataclasses.dataclass(frozen=True)
class History:
    """What was recorded in one run.

    `entry_regions` maps the addresses at which callers reach entries to
    their regions, `route_pools` routes to pools and `link_bytes_per_s`
    directions "FROM>TO" to their limits.
    """

    calls: Sequence[standin.CallRecord]
    runs: Sequence[standin.RunRecord]
    entry_regions: Mapping[str, str] = dataclasses.field(default_factory=dict)
    route_pools: Mapping[str, str] = dataclasses.field(default_factory=dict)
    link_bytes_per_s: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    stops: Sequence[GracefulStop] = ()
    retirements: Sequence[Retirement] = ()
    drains: Sequence[TargetDrain] = ()
    shifts: Sequence[ShiftCap] = ()


def find_violations(history: History) -> list[Violation]:
    """Return all broken promises of a run."""
    runs = sorted(history.runs, key=lambda run: run.time)
    starts: dict[str, list[standin.RunRecord]] = collections.defaultdict(list)
    for run in runs:
        if run.event is standin.RunEvent.START:
            starts[run.mark].append(run)
    calls = {call.mark: call for call in history.calls}
    found: list[Violation] = []
    found.extend(_check_shifts(history, calls, runs))
    found.extend(_check_slots(runs))
    found.extend(_check_links(history, calls, runs))
    found.extend(_check_calls(history.calls, starts))
    found.extend(_check_leaves(runs))
    found.extend(_check_stops(history))
    found.extend(_check_configuration(history, calls, runs))
    return found


def find_entry_region(
    history: History, call: standin.CallRecord | None
) -> str | None:
    """Return the region of the entry that ran the call."""
    if call is None or not call.attempts:
        return None
    return history.entry_regions.get(call.attempts[-1].entry)


def _check_shifts(
    history: History,
    calls: Mapping[str, standin.CallRecord],
    runs: Sequence[standin.RunRecord],
) -> Iterator[Violation]:
    for shift in history.shifts:
        arrivals = sorted(
            attempt.sent
            for call in history.calls
            for attempt in call.attempts
            if history.route_pools.get(call.route) == shift.pool
            and history.entry_regions.get(attempt.entry) == shift.from_region
            and shift.begin <= attempt.sent
        )
        moved = 0
        for run in runs:
            if not shift.begin <= run.time <= shift.end:
                continue
            if run.event not in _ARRIVALS or run.region != shift.to_region:
                continue
            region = find_entry_region(history, calls.get(run.mark))
            if run.pool != shift.pool or region != shift.from_region:
                continue
            moved += 1
            arrived = bisect.bisect_right(arrivals, run.time)
            if moved > shift.cap_percent / 100 * arrived:
                yield Violation(
                    'P1',
                    f'{moved} of {arrived} moved to {shift.to_region}, '
                    f'over {shift.cap_percent}%',
                )


def _check_slots(runs: Sequence[standin.RunRecord]) -> Iterator[Violation]:
    """Compare the requests present in each region with its slots."""
    present: dict[tuple[str, str], int] = {}
    slots: dict[tuple[str, str], int] = {}
    groups: dict[str, tuple[str, str]] = {}
    cancelled: dict[tuple[str, str], list[float]] = collections.defaultdict(
        list
    )
    for run in runs:
        gone = run.event is standin.RunEvent.GONE
        if gone or run.result is standin.RunResult.CANCELLED:
            cancelled[run.region, run.pool].append(run.time)
    busy: dict[str, int] = {}
    for run in runs:
        group = (run.region, run.pool)
        if run.target not in groups:
            groups[run.target] = group
            slots[group] = slots.get(group, 0) + run.slots
        leaves = run.event in (standin.RunEvent.END, standin.RunEvent.GONE)
        now_busy = run.busy - 1 if leaves else run.busy
        change = now_busy - busy.get(run.target, 0)
        busy[run.target] = now_busy
        present[group] = present.get(group, 0) + change
        if run.event not in _ARRIVALS or present[group] <= slots[group]:
            continue
        ended = cancelled[group]
        first = bisect.bisect_left(ended, run.time)
        last = bisect.bisect_right(ended, run.time + CANCEL_RACE_S)
        if present[group] - (last - first) > slots[group]:
            yield Violation(
                'P2',
                f'{present[group]} requests on {slots[group]} slots of pool '
                f'{run.pool} in {run.region}',
            )


def count_over_slots(runs: Iterable[standin.RunRecord]) -> int:
    """Return the arrivals at a single target over its slots."""
    return sum(run.event in _ARRIVALS and run.busy > run.slots for run in runs)


def _check_links(
    history: History,
    calls: Mapping[str, standin.CallRecord],
    runs: Sequence[standin.RunRecord],
) -> Iterator[Violation]:
    windows: collections.Counter[tuple[str, int]] = collections.Counter()
    for run in runs:
        if run.event is not standin.RunEvent.END:
            continue
        region = find_entry_region(history, calls.get(run.mark))
        if region is None or region == run.region:
            continue
        window = int(run.time / LINK_WINDOW_S)
        windows[f'{region}>{run.region}', window] += run.received_bytes
        windows[f'{run.region}>{region}', window] += run.sent_bytes
    for (link, _), size in windows.items():
        limit = history.link_bytes_per_s.get(link)
        if limit is not None and size > limit * LINK_WINDOW_S:
            yield Violation(
                'P2', f'{size} bytes over {link} in one window, limit {limit}'
            )


def _check_calls(
    calls: Sequence[standin.CallRecord],
    starts: Mapping[str, Sequence[standin.RunRecord]],
) -> Iterator[Violation]:
    for call in calls:
        count = len(starts.get(call.mark, ()))
        outcome = errors.Outcome(call.outcome)
        if outcome is errors.Outcome.NOT_RUN and count:
            yield Violation('P4', f'{call.mark} not run, but ran {count} x')
        if call.once and count > 1:
            yield Violation('P5', f'{call.mark} ran {count} x')
        if outcome is errors.Outcome.ANSWERED and call.status == 200:
            yield from _check_answer(call, count)


def _check_answer(call: standin.CallRecord, count: int) -> Iterator[Violation]:
    if call.mark_seen != call.mark:
        yield Violation(
            'P3', f'{call.mark} got the answer to {call.mark_seen!r}'
        )
    if not count:
        yield Violation('P3', f'{call.mark} answered, but never ran')
    if call.body_bytes != call.body_expected:
        yield Violation(
            'P3',
            f'{call.mark} got {call.body_bytes} of {call.body_expected} bytes',
        )
    if call.action == 'truncate':
        yield Violation('P3', f'{call.mark} truncated, but seen as whole')


def _check_leaves(runs: Sequence[standin.RunRecord]) -> Iterator[Violation]:
    """Look for new work after a target announced that it leaves."""
    leaving: dict[tuple[str, int], float] = {}
    arrived: set[tuple[str, int, str]] = set()
    for run in runs:
        key = (run.target, run.incarnation)
        if run.event is standin.RunEvent.LEAVING:
            leaving[key] = run.time
        if run.event not in _ARRIVALS or (*key, run.mark) in arrived:
            continue
        arrived.add((*key, run.mark))
        since = run.time - leaving.get(key, run.time)
        if since > LEAVE_BOUND_S:
            yield Violation(
                'P6', f'{run.target} got work {since:.3f} s after its leave'
            )


def _check_stops(history: History) -> Iterator[Violation]:
    for stop in history.stops:
        for call in history.calls:
            if call.action in _BREAKING_ACTIONS:
                continue
            for attempt in call.attempts:
                if attempt.entry == stop.address and _is_cut(attempt, stop):
                    yield Violation(
                        'P7', f'{call.mark} cut by a stop: {attempt.detail}'
                    )


def _is_cut(attempt: standin.AttemptRecord, stop: GracefulStop) -> bool:
    if attempt.status:
        return False
    if not attempt.opened:
        age = attempt.sent - stop.begin
        return 0 <= age <= LOOKUP_LIFETIME_S
    return attempt.sent <= stop.end and attempt.ended >= stop.begin


def _check_configuration(
    history: History,
    calls: Mapping[str, standin.CallRecord],
    runs: Sequence[standin.RunRecord],
) -> Iterator[Violation]:
    retired = {item.route: item.accepted for item in history.retirements}
    drained = {item.target: item.accepted for item in history.drains}
    for run in runs:
        if run.event not in _ARRIVALS:
            continue
        call = calls.get(run.mark)
        accepted = retired.get(call.route) if call else None
        if accepted is not None and run.time > accepted + CONFIG_BOUND_S:
            yield Violation('P8', f'{run.mark} ran on a retired route')
        accepted = drained.get(run.target)
        if accepted is not None and run.time > accepted + CONFIG_BOUND_S:
            yield Violation('P8', f'{run.mark} ran on drained {run.target}')
