"""Journals of the requests that targets ran and callers sent.

A journal is a file of JSON lines. Each record is written without buffering,
so that a killed process loses none. Times are seconds of the monotonic
clock, which all processes of one machine share.
"""

from collections.abc import Iterator
import enum
import os
import pathlib
from typing import TypeVar

import msgspec

RecordT = TypeVar('RecordT', bound=msgspec.Struct)


class RunEvent(enum.Enum):
    """Event of a target or of a request at a target.

    A request is QUEUED when it finds no free slot, and ABANDONED when it
    ends without getting one.
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
    """How the execution of a request ended."""

    ANSWERED = 'answered'
    TRUNCATED = 'truncated'
    CANCELLED = 'cancelled'
    DEADLINE = 'deadline'
    CRASHED = 'crashed'


class RunRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a target's journal.

    `mark` is the id that the caller gave the request. `busy` counts the
    running and queued requests of the target, including this one.
    `sent_bytes` is the size of the response body.
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
    """One attempt of a call, with the fields of `client.Attempt`."""

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

    `mark_seen`, `target_seen`, `body_bytes` and `body_expected` are read
    from the response; `body_expected` is -1 when no header gives the size.
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
    """Appends records to a file, or drops them when there is no path."""

    def __init__(self, path: str | None) -> None:
        self._file: int | None = None
        if path is not None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._file = os.open(path, flags, 0o644)

    def append(self, record: msgspec.Struct) -> None:
        """Write one record without buffering."""
        if self._file is not None:
            os.write(self._file, msgspec.json.encode(record) + b'\n')

    def close(self) -> None:
        if self._file is not None:
            os.close(self._file)
            self._file = None


def read_journal(path: str, record_type: type[RecordT]) -> Iterator[RecordT]:
    """Yield the records of a file.

    Skips a last line without its end, which a killed process leaves.
    Raises `msgspec.MsgspecError` for a line that is no `record_type`.
    """
    data = pathlib.Path(path).read_bytes()
    decoder = msgspec.json.Decoder(record_type)
    for line in data.splitlines(keepends=True):
        if line.endswith(b'\n'):
            yield decoder.decode(line)
