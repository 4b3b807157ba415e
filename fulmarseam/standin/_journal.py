"""Journals of what targets ran and what callers saw.

A journal is a file of JSON lines. Each line is written at once, so that the
lines before a kill are kept. Times are seconds of the monotonic clock, which
all processes of one machine share.
"""

from collections.abc import Iterator
import enum
import os
import pathlib
from typing import TypeVar

import msgspec

RecordT = TypeVar('RecordT', bound=msgspec.Struct)


class RunEvent(enum.Enum):
    """What a target records.

    QUEUED is an arrival that found no free slot, ABANDONED its end without a
    start.
    """

    UP = 'up'
    LEAVING = 'leaving'
    QUEUED = 'wait'
    ABANDONED = 'gone'
    START = 'start'
    END = 'end'
    SHED = 'shed'
    DOWN = 'down'


class RunResult(enum.Enum):
    """How a run ended."""

    ANSWERED = 'answered'
    TRUNCATED = 'truncated'
    CANCELLED = 'cancelled'
    DEADLINE = 'deadline'
    CRASHED = 'crashed'


class RunRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a target's journal.

    `mark` is the caller's mark of the request. `busy` counts the requests
    at the target, waiting ones included, with this one. `sent_bytes` is
    the size of the answer's body.
    """

    time: float
    event: RunEvent
    target: str
    pool: str
    region: str
    incarnation: int
    slots: int
    busy: int
    mark: str = ''
    request_id: str = ''
    result: RunResult | None = None
    received_bytes: int = 0
    sent_bytes: int = 0


class AttemptRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a call at one entry, see `client.Attempt`."""

    entry: str
    sent: float
    ended: float
    outcome: str
    status: int
    kind: str = ''
    detail: str = ''
    opened: bool = True
    started: bool = True


class CallRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a caller's journal.

    `mark_seen`, `body_bytes` and `body_expected` are read from the answer;
    `body_expected` is -1 when the answer names no size.
    """

    mark: str
    caller: str
    route: str
    region: str
    once: bool
    intended: float
    ended: float
    outcome: str
    status: int = 0
    kind: str = ''
    request_id: str = ''
    action: str = ''
    mark_seen: str = ''
    target_seen: str = ''
    body_bytes: int = 0
    body_expected: int = -1
    attempts: list[AttemptRecord] = []


class Journal:
    """Appends records to a file; without a path it drops them."""

    def __init__(self, path: str | None) -> None:
        self._file: int | None = None
        if path is not None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._file = os.open(path, flags, 0o644)

    def append(self, record: msgspec.Struct) -> None:
        """Write one record."""
        if self._file is not None:
            os.write(self._file, msgspec.json.encode(record) + b'\n')

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None


def read_journal(path: str, kind: type[RecordT]) -> Iterator[RecordT]:
    """Yield the records of a file; a line cut short by a kill is left out.

    Raises `msgspec.MsgspecError` on a line of another kind.
    """
    data = pathlib.Path(path).read_bytes()
    decoder = msgspec.json.Decoder(kind)
    for line in data.splitlines(keepends=True):
        if line.endswith(b'\n'):
            yield decoder.decode(line)
