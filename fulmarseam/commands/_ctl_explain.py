"""Explains the outcome of a request from the logs of all processes."""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import datetime
import re
import shutil
import sys
import tempfile
from typing import IO
from typing import NamedTuple

from fulmarseam import errors
from fulmarseam import telemetry
from fulmarseam.commands import _ctl_causes

STANDARD_INPUT = '-'
# Related log lines are shown from this long before the request arrived. A
# target is dropped after 4 missed announcements, 1.5 s apart, so the cause
# of an outcome is at most about 6 s old.
LOOKBACK_S = 6.0
# Log lines of other hosts may bear later times, since clocks differ. Clocks
# synchronized over the network differ by far less than a second.
CLOCK_SKEW_S = 1.0

# Standard input is read twice, from a copy on disk if it is larger than this.
MAX_SPOOLED_BYTES = 16 * 1024 * 1024

_TIME_PATTERN = re.compile(r'\btime=(\S+)')
_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_REQUEST_EVENT = 'request_ended'
_CATALOG_EVENT = 'catalog_in_force'
# Lines of the control members on one target.
_TARGET_EVENTS = ('target_state', 'announcement_ignored')
# Events of the entry that handled the request.
_ENTRY_EVENTS = frozenset(
    {
        _CATALOG_EVENT,
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


class _Source(NamedTuple):
    """Log lines that can be read more than once."""

    name: str
    file: IO[str]


def explain(request_id: str, paths: list[str]) -> str:
    """Return the outcome of a request and the related log lines in order.

    `paths` are log files of any processes, or `-` for standard input. They
    are read twice, for the request and for what happened around it, and only
    lines that may matter are kept in memory. Raises `errors.UsageError` for
    a file that cannot be read, and `errors.FulmarseamError` with `NOT_FOUND`
    when no line has the id.
    """
    with contextlib.ExitStack() as stack:
        sources = [stack.enter_context(_open_source(path)) for path in paths]
        ended = sorted(
            _find_request_ends(request_id, sources),
            key=lambda event: event.time_s,
        )
        if not ended:
            raise errors.FulmarseamError(
                errors.ErrorKind.NOT_FOUND,
                f'{request_id}: found no request_ended line in '
                f'{len(sources)} files; the request reached none of these '
                'entries, or its line is one of those that requests_omitted '
                'counts',
            )
        events = _read_events_around(ended, sources)
    lines: list[str] = []
    for event in ended:
        lines.extend(_explain_request_end(event, events))
    return '\n'.join(lines)


@contextlib.contextmanager
def _open_source(path: str) -> Iterator[_Source]:
    if path == STANDARD_INPUT:
        with tempfile.SpooledTemporaryFile(
            MAX_SPOOLED_BYTES, 'w+', encoding='utf-8'
        ) as copy:
            shutil.copyfileobj(sys.stdin, copy)
            yield _Source('stdin', copy)
        return
    try:
        file = open(path, encoding='utf-8', errors='replace')
    except OSError as error:
        raise errors.UsageError(f'{path}: {error.strerror}') from error
    with file:
        yield _Source(path, file)


def _find_request_ends(
    request_id: str, sources: Iterable[_Source]
) -> Iterator[Event]:
    """Yield the events at the end of a request; most lines are not parsed."""
    for source in sources:
        source.file.seek(0)
        lines = (line for line in source.file if request_id in line)
        for event in read_events(source.name, lines):
            if (
                event.name == _REQUEST_EVENT
                and event.fields.get('id') == request_id
            ):
                yield event


def _read_events_around(
    ended: list[Event], sources: Iterable[_Source]
) -> list[Event]:
    """Return the events from `LOOKBACK_S` before until after a request."""
    start_s = min(_find_arrival(event) for event in ended) - LOOKBACK_S
    end_s = max(event.time_s for event in ended) + CLOCK_SKEW_S
    events: list[Event] = []
    for source in sources:
        source.file.seek(0)
        lines = (
            line
            for line in source.file
            if _REQUEST_EVENT not in line and _is_between(line, start_s, end_s)
        )
        events.extend(read_events(source.name, lines))
    events.sort(key=lambda event: event.time_s)
    return events


def _is_between(line: str, start_s: float, end_s: float) -> bool:
    match = _TIME_PATTERN.search(line)
    time_s = _read_time(match[1]) if match is not None else None
    return time_s is not None and start_s <= time_s <= end_s


def _find_arrival(ended: Event) -> float:
    return ended.time_s - float(ended.fields.get('elapsed_s', 0.0))


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
    inputs = _list_parts(fields, 'inputs')
    for position, attempt in enumerate(_list_attempts(fields)):
        target, _, failure = attempt.partition(':')
        line = f'  attempt {position + 1}: {target}: {failure or "answered"}'
        if position < len(inputs):
            line += f' ({inputs[position].replace(":", ", ")})'
        lines.append(line)
    cause = _ctl_causes.find_likely_cause(
        fields, _list_ejecting(ended, events)
    )
    if cause:
        lines.append(f'  {cause}')
    lines.extend(
        f'  {event.time_s - ended.time_s:+8.3f} s {event.source}: '
        + ' '.join(f'{key}={text}' for key, text in event.fields.items())
        for event in find_related_events(ended, events)
    )
    return lines


def find_related_events(ended: Event, events: Iterable[Event]) -> list[Event]:
    """Return the events that may have affected a request."""
    arrived_s = _find_arrival(ended)
    targets = {
        attempt.partition(':')[0] for attempt in _list_attempts(ended.fields)
    }
    related = [
        event
        for event in events
        if arrived_s - LOOKBACK_S <= event.time_s
        and event.time_s <= ended.time_s + CLOCK_SKEW_S
        and _is_related(event, ended.source, targets)
    ]
    return _drop_superseded_catalogs(related, arrived_s)


def _drop_superseded_catalogs(
    events: list[Event], arrived_s: float
) -> list[Event]:
    """Drop the catalogs that newer ones replaced before a request arrived."""
    earlier = [
        event
        for event in events
        if event.name == _CATALOG_EVENT and event.time_s <= arrived_s
    ]
    return [event for event in events if event not in earlier[:-1]]


def _is_related(event: Event, entry: str, targets: set[str]) -> bool:
    if event.name == _REQUEST_EVENT:
        return False
    if event.fields.get('target') in targets:
        return event.source == entry or event.name in _TARGET_EVENTS
    if targets.intersection(event.fields.get('targets', '').split(',')):
        return True
    if event.source == entry:
        return event.name in _ENTRY_EVENTS
    return event.name in _CONTROL_EVENTS


def _list_ejecting(ended: Event, events: Iterable[Event]) -> set[str]:
    """Return the entries that ejected the last target around a request."""
    attempts = _list_attempts(ended.fields)
    target = attempts[-1].partition(':')[0] if attempts else ''
    return {
        event.source
        for event in events
        if event.name == 'target_ejected'
        and event.fields.get('target') == target
    }


def _list_attempts(fields: dict[str, str]) -> list[str]:
    return _list_parts(fields, 'targets')


def _list_parts(fields: dict[str, str], name: str) -> list[str]:
    return [part for part in fields.get(name, '').split(',') if part]


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
