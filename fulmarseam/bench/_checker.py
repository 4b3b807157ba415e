"""Checks the history of a run for violations of the promises P1 to P8.

The checks use the journals of targets and callers and the actions of the
operator, but nothing that entries or control members report. The design page
defines the promises.
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
# The cancellation of a request and the next request for its slot use two
# connections and may reach the target in either order.
CANCEL_RACE_S = 0.05
LINK_WINDOW_S = 1.0
_ARRIVAL_EVENTS = (standin.RunEvent.START, standin.RunEvent.QUEUED)
# Requests with these actions make the target break their connection.
_CONNECTION_BREAKING_ACTIONS = ('crash', 'truncate')


class Violation(NamedTuple):
    """A violation of one promise."""

    promise: str
    detail: str


class GracefulStop(NamedTuple):
    """A graceful stop of an entry, from `begin` until its exit at `end`."""

    address: str
    begin: float
    end: float


class Retirement(NamedTuple):
    """The retirement of a route by an edit that was accepted."""

    route: str
    accepted: float


class TargetDrain(NamedTuple):
    """A drain of a target that was active in the tables at `accepted`."""

    target: str
    accepted: float


class ShiftCap(NamedTuple):
    """The cap of a shift that was active from `begin` to `end`."""

    pool: str
    from_region: str
    to_region: str
    cap_percent: float
    begin: float
    end: float


@dataclasses.dataclass(frozen=True)
class History:
    """The journals and the operator's actions of one run.

    `entry_regions` maps the addresses at which callers reach entries to
    regions, `route_pools` maps routes to pools, and `link_bytes_per_s` maps
    directions "FROM>TO" between regions to byte rate limits.
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
    """Return all violations in the history of a run."""
    runs = sorted(history.runs, key=lambda run: run.time)
    starts: dict[str, list[standin.RunRecord]] = collections.defaultdict(list)
    for run in runs:
        if run.event is standin.RunEvent.START:
            starts[run.mark].append(run)
    calls = {call.mark: call for call in history.calls}
    violations: list[Violation] = []
    violations.extend(_check_shifts(history, calls, runs))
    violations.extend(_check_slots(runs))
    violations.extend(_check_links(history, calls, runs))
    violations.extend(_check_calls(history.calls, starts))
    violations.extend(_check_leaves(runs))
    violations.extend(_check_stops(history))
    violations.extend(_check_configuration(history, calls, runs))
    return violations


def find_entry_region(
    history: History, call: standin.CallRecord | None
) -> str | None:
    """Return the region of the entry that got the last attempt of a call."""
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
            if (
                run.event not in _ARRIVAL_EVENTS
                or run.region != shift.to_region
            ):
                continue
            region = find_entry_region(history, calls.get(run.mark))
            if run.pool != shift.pool or region != shift.from_region:
                continue
            moved += 1
            arrived = bisect.bisect_right(arrivals, run.time)
            if moved > shift.cap_percent / 100 * arrived:
                yield Violation(
                    'P1',
                    f'{moved} of {arrived} requests moved to '
                    f'{shift.to_region}, expected at most '
                    f'{shift.cap_percent}%',
                )


def _check_slots(runs: Sequence[standin.RunRecord]) -> Iterator[Violation]:
    """Check that no pool has more requests than slots in a region.

    Requests that are cancelled within `CANCEL_RACE_S` do not count.
    """
    in_flight: dict[tuple[str, str], int] = {}
    slots: dict[tuple[str, str], int] = {}
    groups: dict[str, tuple[str, str]] = {}
    cancel_times: dict[tuple[str, str], list[float]] = collections.defaultdict(
        list
    )
    for run in runs:
        is_gone = run.event is standin.RunEvent.ABANDONED
        if is_gone or run.result is standin.RunResult.CANCELLED:
            cancel_times[run.region, run.pool].append(run.time)
    target_in_flight: dict[str, int] = {}
    for run in runs:
        group = (run.region, run.pool)
        if run.target not in groups:
            groups[run.target] = group
            slots[group] = slots.get(group, 0) + run.slots
        is_end = run.event in (
            standin.RunEvent.END,
            standin.RunEvent.ABANDONED,
        )
        remaining = run.busy - 1 if is_end else run.busy
        change = remaining - target_in_flight.get(run.target, 0)
        target_in_flight[run.target] = remaining
        in_flight[group] = in_flight.get(group, 0) + change
        if (
            run.event not in _ARRIVAL_EVENTS
            or in_flight[group] <= slots[group]
        ):
            continue
        cancelled = cancel_times[group]
        first = bisect.bisect_left(cancelled, run.time)
        last = bisect.bisect_right(cancelled, run.time + CANCEL_RACE_S)
        if in_flight[group] - (last - first) > slots[group]:
            yield Violation(
                'P2',
                f'{in_flight[group]} requests on {slots[group]} slots of pool '
                f'{run.pool} in {run.region}',
            )


def count_slot_overruns(runs: Iterable[standin.RunRecord]) -> int:
    """Count the arrivals that took a single target over its slots."""
    return sum(
        run.event in _ARRIVAL_EVENTS and run.busy > run.slots for run in runs
    )


def _check_links(
    history: History,
    calls: Mapping[str, standin.CallRecord],
    runs: Sequence[standin.RunRecord],
) -> Iterator[Violation]:
    window_bytes: collections.Counter[tuple[str, int]] = collections.Counter()
    for run in runs:
        if run.event is not standin.RunEvent.END:
            continue
        region = find_entry_region(history, calls.get(run.mark))
        if region is None or region == run.region:
            continue
        window = int(run.time / LINK_WINDOW_S)
        window_bytes[f'{region}>{run.region}', window] += run.received_bytes
        window_bytes[f'{run.region}>{region}', window] += run.sent_bytes
    for (link, _), size in window_bytes.items():
        limit = history.link_bytes_per_s.get(link)
        if limit is not None and size > limit * LINK_WINDOW_S:
            yield Violation(
                'P2',
                f'{size} bytes over link {link} in one window, '
                f'limit {limit} bytes/s',
            )


def _check_calls(
    calls: Sequence[standin.CallRecord],
    starts: Mapping[str, Sequence[standin.RunRecord]],
) -> Iterator[Violation]:
    for call in calls:
        run_count = len(starts.get(call.mark, ()))
        outcome = errors.Outcome(call.outcome)
        if outcome is errors.Outcome.NOT_RUN and run_count:
            yield Violation(
                'P4',
                f'call {call.mark} has outcome not-run, '
                f'but ran {run_count} times',
            )
        if call.once and run_count > 1:
            yield Violation(
                'P5',
                f'call {call.mark} ran {run_count} times, expected at most 1',
            )
        if outcome is errors.Outcome.ANSWERED and call.status == 200:
            yield from _check_response(call, run_count)


def _check_response(
    call: standin.CallRecord, run_count: int
) -> Iterator[Violation]:
    if call.mark_seen != call.mark:
        yield Violation(
            'P3', f'call {call.mark} got the response to {call.mark_seen!r}'
        )
    if not run_count:
        yield Violation('P3', f'call {call.mark} was answered, but never ran')
    if call.body_bytes != call.body_expected:
        yield Violation(
            'P3',
            f'call {call.mark} got {call.body_bytes} of '
            f'{call.body_expected} body bytes',
        )
    if call.action == 'truncate':
        yield Violation(
            'P3',
            f'call {call.mark} has a truncated response that the caller '
            'took as complete',
        )


def _check_leaves(runs: Sequence[standin.RunRecord]) -> Iterator[Violation]:
    """Check that a target gets no new requests after it announced to leave.

    Requests within `LEAVE_BOUND_S` of the announcement are allowed.
    """
    leaving_since: dict[tuple[str, int], float] = {}
    arrived: set[tuple[str, int, str]] = set()
    for run in runs:
        key = (run.target, run.incarnation)
        if run.event is standin.RunEvent.LEAVING:
            leaving_since[key] = run.time
        if run.event not in _ARRIVAL_EVENTS or (*key, run.mark) in arrived:
            continue
        arrived.add((*key, run.mark))
        delay_s = run.time - leaving_since.get(key, run.time)
        if delay_s > LEAVE_BOUND_S:
            yield Violation(
                'P6',
                f'target {run.target} got a request {delay_s:.3f} s after '
                'it announced to leave',
            )


def _check_stops(history: History) -> Iterator[Violation]:
    for stop in history.stops:
        for call in history.calls:
            if call.action in _CONNECTION_BREAKING_ACTIONS:
                continue
            for attempt in call.attempts:
                if attempt.entry == stop.address and _is_cut_off(
                    attempt, stop
                ):
                    yield Violation(
                        'P7',
                        f'call {call.mark} failed because of a graceful '
                        f'stop: {attempt.detail}',
                    )


def _is_cut_off(attempt: standin.AttemptRecord, stop: GracefulStop) -> bool:
    if attempt.status:
        return False
    if not attempt.opened:
        # Callers may use a look-up answer from before the stop this long.
        delay_s = attempt.sent - stop.begin
        return 0 <= delay_s <= LOOKUP_LIFETIME_S
    return attempt.sent <= stop.end and attempt.ended >= stop.begin


def _check_configuration(
    history: History,
    calls: Mapping[str, standin.CallRecord],
    runs: Sequence[standin.RunRecord],
) -> Iterator[Violation]:
    retired = {item.route: item.accepted for item in history.retirements}
    drained = {item.target: item.accepted for item in history.drains}
    for run in runs:
        if run.event not in _ARRIVAL_EVENTS:
            continue
        call = calls.get(run.mark)
        accepted = retired.get(call.route) if call else None
        if accepted is not None and run.time > accepted + CONFIG_BOUND_S:
            yield Violation('P8', f'call {run.mark} ran on a retired route')
        accepted = drained.get(run.target)
        if accepted is not None and run.time > accepted + CONFIG_BOUND_S:
            yield Violation(
                'P8', f'call {run.mark} ran on drained target {run.target}'
            )
