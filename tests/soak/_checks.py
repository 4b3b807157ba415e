"""The promises that a soak checks on what it recorded."""

import collections
import math

from tests.soak import _callers
from tests.soak import _operator
from tests.soak import _plan
from tests.soak import _record
from tests.soak import _system

# Bounds that the users state for their deployments, in seconds.
CONTACT_S = 3.0
DRAIN_S = 2.5
CONFIG_APPLY_S = 2.5
REGRESS_SLACK_S = 0.25
EVACUATE_S = 5.0
RECOVERY_S = 15.0
# After the recovery the whole system is sound, so nearly all is served.
SERVED_SHARE = 0.9
# A SIGTERM covers the requests of the process until 1 s after its grace.
STOP_S = _system.GRACE_S + 1.0

Runs = dict[str, list[_record.Run]]


class Touch:
    """Which processes a fault has left alone for long enough."""

    def __init__(self, record: _record.Record) -> None:
        self._spans: dict[str, list[_record.Disturbance]] = (
            collections.defaultdict(list)
        )
        for span in record.disturbances:
            name = 'core' if span.subject.startswith('core') else span.subject
            self._spans[name].append(span)

    def is_calm(self, name: str, start: float, end: float) -> bool:
        """Return whether no fault touched a subject in a time."""
        return not any(
            span.started_at <= end and span.ended_at >= start
            for span in self._spans[name]
        )

    def is_in_touch(self, entry: str, moment: float) -> bool:
        """Return whether an entry and the group were calm for a while."""
        start = moment - CONTACT_S
        return self.is_calm(entry, start, moment) and self.is_calm(
            'core', start, moment
        )

    def list_stops(self) -> list[_record.Disturbance]:
        """Return the graceful stops of entries."""
        return [
            span
            for spans in self._spans.values()
            for span in spans
            if span.is_planned and span.subject.startswith('edge')
        ]


def check_record(record: _record.Record) -> list[str]:
    """Return a line for each broken promise."""
    runs: Runs = collections.defaultdict(list)
    for run in record.runs:
        runs[run.request].append(run)
    touch = Touch(record)
    return [
        *record.findings,
        *_check_denied(record),
        *_check_at_most_once(record, runs),
        *_check_attempts(record, runs),
        *_check_leaves(record, runs, touch),
        *_check_evacuations(record, runs, touch),
        *_check_moves(record, runs, touch),
        *_check_stops(record, runs, touch),
        *_check_read_back(record),
        *_check_recovery(record),
    ]


def _check_denied(record: _record.Record) -> list[str]:
    """Check that no proper request is answered as a mistake of its caller.

    All routes stand from before the first request on.
    """
    return [
        f'denied: {call}'
        for call in record.calls
        if 400 <= call.status < 500
        and call.status not in _callers.STATUS_NOT_RUN
    ]


def _check_at_most_once(record: _record.Record, runs: Runs) -> list[str]:
    """Check that nothing ran twice and that a refusal is true."""
    found = []
    for call in record.calls:
        count = len(runs[call.request])
        if call.is_idempotent:
            continue
        if count > 1:
            found.append(f'{call.request} ran {count} times: {call}')
        if count and call.status in _callers.STATUS_NOT_RUN:
            found.append(f'{call.request} was refused and ran: {call}')
    return found


def _check_attempts(record: _record.Record, runs: Runs) -> list[str]:
    """Check the bound on targets for one request."""
    known = {call.request for call in record.calls}
    unknown = [name for name in runs if name not in known and runs[name]]
    found = [f'{name} ran and no caller sent it' for name in unknown]
    for name, list_of_runs in runs.items():
        if len({run.target for run in list_of_runs}) > 2:
            found.append(f'{name} ran on more than 2 targets: {list_of_runs}')
    return found


def _list_runs_in_touch(
    record: _record.Record, runs: Runs, touch: Touch
) -> list[_record.Run]:
    """Return the runs that an entry in touch started."""
    return [
        run
        for call in record.calls
        for run in runs[call.request]
        if touch.is_in_touch(call.entry, run.started_at)
    ]


def _check_leaves(
    record: _record.Record, runs: Runs, touch: Touch
) -> list[str]:
    """Check that a target that left gets nothing new."""
    return [
        f'{run} came {run.started_at - record.left[run.target]:.2f} s after '
        'the leave'
        for run in _list_runs_in_touch(record, runs, touch)
        if run.started_at > record.left.get(run.target, math.inf) + DRAIN_S
    ]


def _check_evacuations(
    record: _record.Record, runs: Runs, touch: Touch
) -> list[str]:
    """Check that an evacuated failure domain gets nothing new."""
    return [
        f'{run} came during the evacuation'
        for run in _list_runs_in_touch(record, runs, touch)
        for domain, started, ended in record.evacuations
        if run.failure_domain == domain
        and started + EVACUATE_S < run.started_at < ended
    ]


def _check_moves(
    record: _record.Record, runs: Runs, touch: Touch
) -> list[str]:
    """Check that each version comes into force in time and for good."""
    found = []
    proven: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    calls = sorted(record.calls, key=lambda call: call.sent_at)
    for call in calls:
        if call.route != _callers.MOVE_PATH:
            continue
        for run in runs[call.request][:1]:
            late = _find_late(record, call, run, touch)
            if late is not None:
                found.append(late)
            starts = _count_starts(record, call)
            key = f'{call.entry} {starts}'
            lowest = max(
                (
                    version
                    for at, version in proven[key]
                    if at + REGRESS_SLACK_S < call.sent_at
                ),
                default=0,
            )
            version = _find_version(record, run.pool, lowest)
            if version is None or not _was_sent(record, version, run):
                found.append(f'{run} at {key} is older than version {lowest}')
            else:
                proven[key].append((run.started_at, version))
    return found


def _count_starts(record: _record.Record, call: _record.Call) -> int:
    """Return how often an entry had been started when a request came."""
    return sum(
        span.subject == call.entry
        and span.kind != _plan.FaultKind.PAUSE.value
        and span.started_at < call.sent_at
        for span in record.disturbances
    )


def _find_version(
    record: _record.Record, pool: str, lowest: int
) -> int | None:
    """Return the lowest version from `lowest` on that leads to a pool."""
    return min(
        (
            move.version
            for move in record.moves
            if move.pool == pool and move.version >= lowest
        ),
        default=None,
    )


def _was_sent(record: _record.Record, version: int, run: _record.Run) -> bool:
    return any(
        move.version == version and move.sent_at <= run.started_at
        for move in record.moves
    )


def _find_late(
    record: _record.Record,
    call: _record.Call,
    run: _record.Run,
    touch: Touch,
) -> str | None:
    """Return a line when a request is handled by an overtaken version."""
    if not touch.is_in_touch(call.entry, run.started_at):
        return None
    due = max(
        (
            version
            for version, at in record.acknowledged.items()
            if at + CONFIG_APPLY_S < call.sent_at
        ),
        default=0,
    )
    version = _find_version(record, run.pool, due)
    if version is not None and _was_sent(record, version, run):
        return None
    return f'{run} through {call.entry}: version {due} was due'


def _check_stops(
    record: _record.Record, runs: Runs, touch: Touch
) -> list[str]:
    """Check that a graceful stop cuts no request in flight."""
    found = []
    for stop in touch.list_stops():
        for call in record.calls:
            if call.entry != stop.subject or not call.was_cut:
                continue
            if not stop.started_at <= call.ended_at:
                continue
            if call.sent_at > stop.started_at + STOP_S:
                continue
            if runs[call.request] and _had_no_other_fault(record, call, stop):
                found.append(f'cut by a graceful stop: {call}')
    return found


def _had_no_other_fault(
    record: _record.Record,
    call: _record.Call,
    stop: _record.Disturbance,
) -> bool:
    start = call.sent_at - CONTACT_S
    return not any(
        span is not stop
        and span.started_at <= call.ended_at
        and span.ended_at >= start
        for span in record.disturbances
    )


def _check_read_back(record: _record.Record) -> list[str]:
    """Check that what was acknowledged is still there at the end."""
    if record.read_back is None:
        return ['no configuration came at the end']
    newest = max(record.acknowledged, default=0)
    moves = [move for move in record.moves if move.version >= newest]
    allowed = [
        _operator.make_route(
            'move', _callers.MOVE_PATH, move.pool, move.version
        )
        for move in moves
    ]
    if record.read_back.get('move') in allowed:
        return []
    return [f'found {record.read_back.get("move")}, expected one of {allowed}']


def _check_recovery(record: _record.Record) -> list[str]:
    """Check that requests are served once all faults have ended."""
    after = record.faults_ended_at + RECOVERY_S
    late = [call for call in record.calls if call.sent_at > after]
    served = sum(200 <= call.status < 300 for call in late)
    if late and served >= SERVED_SHARE * len(late):
        return []
    return [f'{served} of {len(late)} requests served after the recovery']
