"""Explains the outcome of a request from the logs of all processes."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import re
import sys
from typing import NamedTuple

from fulmarseam import errors
from fulmarseam import telemetry

STANDARD_INPUT = '-'
# Related log lines are shown from this long before the request arrived. A
# target is dropped after 4 missed announcements, 1.5 s apart, so the cause
# of an outcome is at most about 6 s old.
LOOKBACK_S = 6.0
# Log lines of other hosts may bear later times, since clocks differ. Clocks
# synchronized over the network differ by far less than a second.
CLOCK_SKEW_S = 1.0

_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_REQUEST_EVENT = 'request_ended'
# Events of the entry that handled the request.
_ENTRY_EVENTS = frozenset(
    {
        'catalog_in_force',
        'drain_started',
        'drained',
        'member_reachable',
        'member_unreachable',
        'started',
        'stopped',
    }
)
# Decisions of the control members.
_CONTROL_EVENTS = frozenset(
    {
        'evacuation',
        'items_accepted',
        'leadership_ended',
        'leadership_started',
        'member_added',
        'member_removed',
    }
)

_OUTCOME_TEXTS = {
    'answered': 'The target ran the request and its response was passed on.',
    errors.ErrorKind.NO_CAPACITY.value: (
        'It was never sent: no target had capacity for it, see the detail.'
    ),
    errors.ErrorKind.TARGET_SHED.value: (
        'No target ran it: each target that was tried refused it.'
    ),
    errors.ErrorKind.TARGET_FAILED.value: (
        'It was sent and may have run: the connection or the target failed.'
    ),
    errors.ErrorKind.TARGET_TIMEOUT.value: (
        'It was sent and may have run: no response came in time.'
    ),
    errors.ErrorKind.CONFIG_STALE.value: (
        'It was never sent: the entry had no configuration yet.'
    ),
    errors.ErrorKind.NO_ROUTE.value: (
        'It was never sent: no route of the current configuration matches.'
    ),
    errors.ErrorKind.CALLER_GONE.value: (
        'The caller closed its connection before the response was ready.'
    ),
}


class Event(NamedTuple):
    """One log line; `time_s` is in seconds since the epoch."""

    time_s: float
    source: str
    fields: dict[str, str]

    @property
    def name(self) -> str:
        return self.fields.get('event', '')


def explain(request_id: str, paths: list[str]) -> str:
    """Return the outcome of a request and the related log lines in order.

    `paths` are log files of any processes, or `-` for standard input.
    Raises `errors.UsageError` for a file that cannot be read, and
    `errors.FulmarseamError` with `NOT_FOUND` when no line has the id.
    """
    events = sorted(_read_all(paths), key=lambda event: event.time_s)
    ended = [
        event
        for event in events
        if event.name == _REQUEST_EVENT
        and event.fields.get('id') == request_id
    ]
    if not ended:
        raise errors.FulmarseamError(
            errors.ErrorKind.NOT_FOUND,
            f'{request_id}: found no request_ended line among '
            f'{len(events)} events; the request reached none of these '
            'entries, or its line is one of those that requests_omitted '
            'counts',
        )
    lines: list[str] = []
    for event in ended:
        lines.extend(_explain_request_end(event, events))
    return '\n'.join(lines)


def _explain_request_end(ended: Event, events: list[Event]) -> list[str]:
    """Return the lines about a request at one entry."""
    fields = ended.fields
    outcome = fields.get('outcome', '')
    lines = [
        f'{fields.get("id")} through {ended.source}: {outcome}, '
        f'status {fields.get("status")}, after {fields.get("elapsed_s")} s '
        f'with {fields.get("time_left_s")} s left',
        f'  {_OUTCOME_TEXTS.get(outcome, "See the list of error kinds.")}',
    ]
    if fields.get('detail'):
        lines.append(f'  {fields["detail"]}')
    for position, attempt in enumerate(_list_attempts(fields), start=1):
        target, _, failure = attempt.partition(':')
        result = failure or 'answered'
        lines.append(f'  attempt {position}: {target}: {result}')
    lines.extend(
        f'  {event.time_s - ended.time_s:+8.3f} s {event.source}: '
        + ' '.join(f'{key}={text}' for key, text in event.fields.items())
        for event in find_related_events(ended, events)
    )
    return lines


def find_related_events(ended: Event, events: Iterable[Event]) -> list[Event]:
    """Return the events that may have affected a request."""
    arrived_s = ended.time_s - float(ended.fields.get('elapsed_s', 0.0))
    targets = {
        attempt.partition(':')[0] for attempt in _list_attempts(ended.fields)
    }
    return [
        event
        for event in events
        if arrived_s - LOOKBACK_S <= event.time_s
        and event.time_s <= ended.time_s + CLOCK_SKEW_S
        and _is_related(event, ended.source, targets)
    ]


def _is_related(event: Event, entry: str, targets: set[str]) -> bool:
    if event.name == _REQUEST_EVENT:
        return False
    if event.fields.get('target') in targets:
        return event.source == entry or event.name == 'target_state'
    if targets.intersection(event.fields.get('targets', '').split(',')):
        return True
    if event.source == entry:
        return event.name in _ENTRY_EVENTS
    return event.name in _CONTROL_EVENTS


def _list_attempts(fields: dict[str, str]) -> list[str]:
    return [part for part in fields.get('targets', '').split(',') if part]


def _read_all(paths: list[str]) -> Iterator[Event]:
    for path in paths:
        if path == STANDARD_INPUT:
            yield from read_events('stdin', sys.stdin)
            continue
        try:
            with open(path, encoding='utf-8', errors='replace') as file:
                yield from read_events(path, file)
        except OSError as error:
            raise errors.UsageError(f'{path}: {error.strerror}') from error


def read_events(source: str, lines: Iterable[str]) -> Iterator[Event]:
    """Yield the events of log lines, skipping other lines::

    list(read_events('edge-1.log', ['time=... event=started']))
    """
    for line in lines:
        fields = {
            key: telemetry.unquote(text)
            for key, text in _FIELD_PATTERN.findall(line)
        }
        time_s = _read_time(fields.pop('time', ''))
        if time_s is None or 'event' not in fields:
            continue
        fields.pop('level', None)
        fields.pop('logger', None)
        yield Event(time_s, source, fields)


def _read_time(text: str) -> float | None:
    """Return a log time in seconds since the epoch, or None if invalid."""
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None
