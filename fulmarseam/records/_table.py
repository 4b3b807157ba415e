"""The records of one region, without input/output."""

import collections
import dataclasses
import re
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire

MAX_STORED_BODY_BYTES = 16 * 1024
# Beyond this the oldest bodies are evicted, so that a busy region cannot
# exhaust the memory. The records themselves stay.
MAX_TOTAL_BODY_BYTES = 64 * 1024 * 1024
# A claim that arrives after its release would block the key until its
# deadline, so the last released attempts are remembered.
MAX_RELEASED_ATTEMPTS = 4_096

_KEY = re.compile(r'([a-z0-9][a-z0-9_-]{0,62})\.([0-9]{1,18})\.[!-~]{8,200}')


class RecordKey(NamedTuple):
    """The parts of a key that decide where and how long its record is kept."""

    home: ids.RegionName
    generation: int


def parse_key(key: str) -> RecordKey | None:
    """Return the parts of `HOME.GENERATION.RANDOM`; None if malformed."""
    match = _KEY.fullmatch(key)
    if match is None:
        return None
    return RecordKey(ids.RegionName(match.group(1)), int(match.group(2)))


class ClaimDecision(NamedTuple):
    """The verdict on a claim, and the write to replicate if it stored one."""

    verdict: wire.Verdict
    answer: wire.StoredAnswer | None = None
    write: wire.RecordWrite | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Record:
    row: wire.RecordRow
    deadline: float


class RecordTable:
    """Stores records by key; `now` is in monotonic seconds of the replica.

    `claim`, `finish` and `release` return the write for the backup and the
    journal. The generations come from the record group in force.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._released_attempts: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._body_keys: collections.deque[str] = collections.deque()
        self._body_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def claim(
        self,
        now: float,
        group: wire.RecordGroup,
        message: wire.RecordClaim,
    ) -> ClaimDecision:
        """Decide on a claim for a key of the group.

        The key must be well-formed and not of a later generation than the
        group's. Without a record, the verdict is UNKNOWN for a key of a
        generation that may have been lost, and FRESH for any other.
        """
        record = self._records.get(message.key)
        parts = parse_key(message.key)
        if parts is None or parts.generation < group.lost_before:
            # Lost replicas may have changed the record since; only a stored
            # answer is final.
            return _decide_lost_generation(record, message)
        if record is not None:
            return self._decide_repeat(now, record, message)
        if message.attempt in self._released_attempts:
            # The entry has released this attempt and does not wait for it.
            return ClaimDecision(wire.Verdict.UNKNOWN)
        row = wire.RecordRow(
            key=message.key,
            fingerprint=message.fingerprint,
            attempt=message.attempt,
            state=wire.RecordState.PENDING,
            deadline_ms=message.deadline_ms,
        )
        return ClaimDecision(wire.Verdict.FRESH, None, self._put(now, row))

    def finish(
        self, now: float, message: wire.RecordFinish
    ) -> wire.RecordWrite | None:
        """Store the outcome of the attempt that holds the claim.

        A late answer replaces an unknown outcome but never an answer.
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
        return self._put(
            now,
            wire.RecordRow(
                key=row.key,
                fingerprint=row.fingerprint,
                attempt=row.attempt,
                state=state,
                answer=drop_large_body(message.answer),
            ),
        )

    def release(
        self, now: float, message: wire.RecordRelease
    ) -> wire.RecordWrite | None:
        """Delete the claim of an attempt that did not run."""
        self._released_attempts[message.attempt] = None
        if len(self._released_attempts) > MAX_RELEASED_ATTEMPTS:
            self._released_attempts.popitem(last=False)
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
        """Apply a write of the primary or of the journal."""
        old = self._records.pop(write.key, None)
        self._body_bytes -= 0 if old is None else _get_body_size(old.row)
        if write.row is None:
            return
        deadline = now + write.row.deadline_ms / 1_000
        self._records[write.key] = _Record(write.row, deadline)
        self._track_body(write.row)

    def drop_below(self, generation: int) -> int:
        """Drop the records below a generation; return how many."""
        dropped = [
            key for key in self._records if _parse_generation(key) < generation
        ]
        for key in dropped:
            self.apply(0.0, wire.RecordWrite(key, None))
        self._body_keys = collections.deque(
            key for key in self._body_keys if key in self._records
        )
        return len(dropped)

    def rows(self, now: float) -> list[wire.RecordRow]:
        """Return all rows; pending ones with their remaining time."""
        return [
            record.row
            if record.row.state is not wire.RecordState.PENDING
            else _replace_deadline(record.row, record.deadline - now)
            for record in self._records.values()
        ]

    def _decide_repeat(
        self, now: float, record: _Record, message: wire.RecordClaim
    ) -> ClaimDecision:
        row = record.row
        if row.fingerprint != message.fingerprint:
            return ClaimDecision(wire.Verdict.CONFLICT)
        if row.state is wire.RecordState.DONE:
            return ClaimDecision(wire.Verdict.DONE, row.answer)
        if row.state is wire.RecordState.UNKNOWN or record.deadline <= now:
            return ClaimDecision(wire.Verdict.UNKNOWN)
        if row.attempt == message.attempt:
            # The call was retried; its entry dispatches an attempt only once.
            return ClaimDecision(wire.Verdict.FRESH)
        return ClaimDecision(wire.Verdict.IN_PROGRESS)

    def _put(self, now: float, row: wire.RecordRow) -> wire.RecordWrite:
        write = wire.RecordWrite(row.key, row)
        self.apply(now, write)
        return write

    def _track_body(self, row: wire.RecordRow) -> None:
        size = _get_body_size(row)
        if not size:
            return
        self._body_bytes += size
        self._body_keys.append(row.key)
        while self._body_bytes > MAX_TOTAL_BODY_BYTES:
            self._evict_body(self._body_keys.popleft())

    def _evict_body(self, key: str) -> None:
        record = self._records.get(key)
        if record is None or record.row.answer is None:
            return
        self._body_bytes -= _get_body_size(record.row)
        row, answer = record.row, record.row.answer
        record.row = wire.RecordRow(
            key=row.key,
            fingerprint=row.fingerprint,
            attempt=row.attempt,
            state=row.state,
            answer=wire.StoredAnswer(answer.status, answer.headers, None),
        )


def _decide_lost_generation(
    record: _Record | None, message: wire.RecordClaim
) -> ClaimDecision:
    if (
        record is not None
        and record.row.state is wire.RecordState.DONE
        and record.row.fingerprint == message.fingerprint
    ):
        return ClaimDecision(wire.Verdict.DONE, record.row.answer)
    return ClaimDecision(wire.Verdict.UNKNOWN)


def drop_large_body(
    answer: wire.StoredAnswer | None,
) -> wire.StoredAnswer | None:
    """Return the answer, without its body if that is too large to store."""
    if answer is None or answer.body is None:
        return answer
    if len(answer.body) <= MAX_STORED_BODY_BYTES:
        return answer
    return wire.StoredAnswer(answer.status, answer.headers, None)


def _get_body_size(row: wire.RecordRow) -> int:
    if row.answer is None or row.answer.body is None:
        return 0
    return len(row.answer.body)


def _parse_generation(key: str) -> int:
    parts = parse_key(key)
    return -1 if parts is None else parts.generation


def _replace_deadline(row: wire.RecordRow, left_s: float) -> wire.RecordRow:
    return wire.RecordRow(
        key=row.key,
        fingerprint=row.fingerprint,
        attempt=row.attempt,
        state=row.state,
        deadline_ms=int(max(0.0, left_s) * 1_000),
    )
