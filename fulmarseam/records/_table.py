"""The records of one region as a pure table."""

import collections
import dataclasses
import re
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire

MAX_STORED_BODY_BYTES = 16 * 1024
# Bodies beyond this are forgotten, oldest first, so that a busy region
# cannot fill the memory; the record itself stays.
KEPT_BYTES_TOTAL = 64 * 1024 * 1024
# A claim may arrive after its release. Without a note of the release it
# would block the key until its deadline.
RELEASES_KEPT = 4_096

_KEY = re.compile(r'([a-z0-9][a-z0-9_-]{0,62})\.([0-9]{1,18})\.[!-~]{8,200}')


class RecordKey(NamedTuple):
    """The parts of a key that decide where and how long it is kept."""

    home: ids.RegionName
    generation: int


def parse_key(key: str) -> RecordKey | None:
    """Return the parts of `HOME.GENERATION.RANDOM`; None if malformed."""
    match = _KEY.fullmatch(key)
    if match is None:
        return None
    return RecordKey(ids.RegionName(match.group(1)), int(match.group(2)))


class Decision(NamedTuple):
    """The verdict on a claim and the write that it causes, if any."""

    verdict: wire.Verdict
    answer: wire.StoredAnswer | None = None
    write: wire.RecordWrite | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Record:
    row: wire.RecordRow
    deadline: float


class RecordTable:
    """Records by key; `now` is in monotonic seconds of the holder.

    Methods that change the table return the write for the backup and the
    journal. The generations come from the record group in force.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._released: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._bodies: collections.deque[str] = collections.deque()
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def claim(
        self,
        now: float,
        group: wire.RecordGroup,
        message: wire.RecordClaim,
    ) -> Decision:
        """Decide on a claim for a key of the group.

        The key must be well-formed and not of a later generation than the
        group's. Without a record, a key of a generation that may have been
        lost is UNKNOWN, any other FRESH.
        """
        record = self._records.get(message.key)
        parts = parse_key(message.key)
        if parts is None or parts.generation < group.lost_before:
            # Other holders may have changed what is left of the record;
            # only an answer is final.
            return _decide_lost(record, message)
        if record is not None:
            return self._decide_repeat(now, record, message)
        if message.attempt in self._released:
            # The entry has given up this attempt; nobody waits for it.
            return Decision(wire.Verdict.UNKNOWN)
        row = wire.RecordRow(
            key=message.key,
            fingerprint=message.fingerprint,
            attempt=message.attempt,
            state=wire.RecordState.PENDING,
            deadline_ms=message.deadline_ms,
        )
        return Decision(wire.Verdict.FRESH, None, self._set(now, row))

    def finish(
        self, now: float, message: wire.RecordFinish
    ) -> wire.RecordWrite | None:
        """Store the outcome of the attempt that holds the claim.

        A late answer replaces an unknown outcome, never another answer.
        """
        record = self._records.get(message.key)
        if record is None or record.row.attempt != message.attempt:
            return None
        row = record.row
        if row.state is wire.RecordState.DONE:
            return None
        if message.answer is None:
            if row.state is wire.RecordState.UNKNOWN:
                return None
            state = wire.RecordState.UNKNOWN
        else:
            state = wire.RecordState.DONE
        return self._set(
            now,
            wire.RecordRow(
                key=row.key,
                fingerprint=row.fingerprint,
                attempt=row.attempt,
                state=state,
                answer=trim_answer(message.answer),
            ),
        )

    def release(
        self, now: float, message: wire.RecordRelease
    ) -> wire.RecordWrite | None:
        """Delete the claim of an attempt that did not run."""
        self._released[message.attempt] = None
        if len(self._released) > RELEASES_KEPT:
            self._released.popitem(last=False)
        record = self._records.get(message.key)
        if (
            record is None
            or record.row.attempt != message.attempt
            or record.row.state is not wire.RecordState.PENDING
        ):
            return None
        write = wire.RecordWrite(message.key, None)
        self.apply(now, write)
        return write

    def apply(self, now: float, write: wire.RecordWrite) -> None:
        """Take a write of the primary or of the journal."""
        old = self._records.pop(write.key, None)
        self._body_bytes -= 0 if old is None else _count_body(old.row)
        if write.row is None:
            return
        deadline = now + write.row.deadline_ms / 1_000
        self._records[write.key] = _Record(write.row, deadline)
        self._keep_body(write.row)

    def drop_below(self, generation: int) -> int:
        """Drop the records of older generations; return how many."""
        dropped = [
            key for key in self._records if _generation_of(key) < generation
        ]
        for key in dropped:
            self.apply(0.0, wire.RecordWrite(key, None))
        self._bodies = collections.deque(
            key for key in self._bodies if key in self._records
        )
        return len(dropped)

    def rows(self, now: float) -> list[wire.RecordRow]:
        """Return all rows, with the time left to pending ones."""
        return [
            record.row
            if record.row.state is not wire.RecordState.PENDING
            else _set_time_left(record.row, record.deadline - now)
            for record in self._records.values()
        ]

    def _decide_repeat(
        self, now: float, record: _Record, message: wire.RecordClaim
    ) -> Decision:
        row = record.row
        if row.fingerprint != message.fingerprint:
            return Decision(wire.Verdict.CONFLICT)
        if row.state is wire.RecordState.DONE:
            return Decision(wire.Verdict.DONE, row.answer)
        if row.state is wire.RecordState.UNKNOWN or record.deadline <= now:
            return Decision(wire.Verdict.UNKNOWN)
        if row.attempt == message.attempt:
            # The call was repeated; its entry dispatches an attempt once.
            return Decision(wire.Verdict.FRESH)
        return Decision(wire.Verdict.IN_PROGRESS)

    def _set(self, now: float, row: wire.RecordRow) -> wire.RecordWrite:
        write = wire.RecordWrite(row.key, row)
        self.apply(now, write)
        return write

    def _keep_body(self, row: wire.RecordRow) -> None:
        size = _count_body(row)
        if not size:
            return
        self._body_bytes += size
        self._bodies.append(row.key)
        while self._body_bytes > KEPT_BYTES_TOTAL:
            self._forget_body(self._bodies.popleft())

    def _forget_body(self, key: str) -> None:
        record = self._records.get(key)
        if record is None or record.row.answer is None:
            return
        self._body_bytes -= _count_body(record.row)
        row, answer = record.row, record.row.answer
        record.row = wire.RecordRow(
            key=row.key,
            fingerprint=row.fingerprint,
            attempt=row.attempt,
            state=row.state,
            answer=wire.StoredAnswer(answer.status, answer.headers, None),
        )


def _decide_lost(
    record: _Record | None, message: wire.RecordClaim
) -> Decision:
    if (
        record is not None
        and record.row.state is wire.RecordState.DONE
        and record.row.fingerprint == message.fingerprint
    ):
        return Decision(wire.Verdict.DONE, record.row.answer)
    return Decision(wire.Verdict.UNKNOWN)


def trim_answer(answer: wire.StoredAnswer | None) -> wire.StoredAnswer | None:
    """Return the answer without a body that is too large to keep."""
    if answer is None or answer.body is None:
        return answer
    if len(answer.body) <= MAX_STORED_BODY_BYTES:
        return answer
    return wire.StoredAnswer(answer.status, answer.headers, None)


def _count_body(row: wire.RecordRow) -> int:
    if row.answer is None or row.answer.body is None:
        return 0
    return len(row.answer.body)


def _generation_of(key: str) -> int:
    parts = parse_key(key)
    return -1 if parts is None else parts.generation


def _set_time_left(row: wire.RecordRow, left_s: float) -> wire.RecordRow:
    return wire.RecordRow(
        key=row.key,
        fingerprint=row.fingerprint,
        attempt=row.attempt,
        state=row.state,
        deadline_ms=int(max(0.0, left_s) * 1_000),
    )
