"""Messages about at-most-once records."""

import enum

import msgspec

from fulmarseam import ids


class RecordState(enum.Enum):
    """What is known about a request that was claimed."""

    PENDING = 'pending'
    DONE = 'done'
    UNKNOWN = 'unknown'


class Verdict(enum.Enum):
    """What the record holder says about a claim; only FRESH may run."""

    FRESH = 'fresh'
    IN_PROGRESS = 'in-progress'
    DONE = 'done'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer of a target; `body` is None when it was not kept."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes | None


class RecordRow(msgspec.Struct, frozen=True, array_like=True):
    """A record.

    `deadline_ms` is the time left to a pending request when the row was
    sent.
    """

    key: str
    fingerprint: str
    attempt: str
    state: RecordState
    deadline_ms: int = 0
    answer: StoredAnswer | None = None


class RecordWrite(msgspec.Struct, frozen=True, array_like=True):
    """A row that was set, or removed when `row` is None."""

    key: str
    row: RecordRow | None


class RecordClaim(
    msgspec.Struct, tag='record_claim', frozen=True, kw_only=True
):
    """Claims the right to run a request once.

    `attempt` names one processing of the request by one entry. A repeat
    with the same attempt gets the same verdict.
    """

    region: ids.RegionName
    key: str
    fingerprint: str
    attempt: str
    deadline_ms: int


class RecordVerdict(
    msgspec.Struct, tag='record_verdict', frozen=True, kw_only=True
):
    """The answer to a claim, with the stored answer when DONE."""

    verdict: Verdict
    answer: StoredAnswer | None = None


class RecordFinish(
    msgspec.Struct, tag='record_finish', frozen=True, kw_only=True
):
    """Stores an answer; None says that the outcome is unknown."""

    region: ids.RegionName
    key: str
    attempt: str
    answer: StoredAnswer | None


class RecordRelease(
    msgspec.Struct, tag='record_release', frozen=True, kw_only=True
):
    """Gives back a claim whose request did not run and will not."""

    region: ids.RegionName
    key: str
    attempt: str


class RecordStream(msgspec.Struct, frozen=True, array_like=True):
    """The writes of one incarnation of a primary.

    `since` is the generation in which it became primary.
    """

    primary: ids.EntryId
    incarnation: int
    since: int


class RecordReplicate(
    msgspec.Struct, tag='record_replicate', frozen=True, kw_only=True
):
    """Writes of a stream that follow number `base`, for the backup."""

    region: ids.RegionName
    generation: int
    stream: RecordStream
    base: int
    writes: list[RecordWrite]


class RecordChunk(
    msgspec.Struct, tag='record_chunk', frozen=True, kw_only=True
):
    """Part `index` of a full copy at write number `number`.

    `copy` numbers the copies of a stream. The copy counts once the part
    with `last` has been taken.
    """

    region: ids.RegionName
    generation: int
    stream: RecordStream
    copy: int
    index: int
    last: bool
    number: int
    rows: list[RecordRow]


class RecordProgress(
    msgspec.Struct, tag='record_progress', frozen=True, kw_only=True
):
    """What a backup has: all writes up to `applied`.

    `applied` is None when it has no full copy; then `next_index` is the
    part of copy `copy` that it expects.
    """

    applied: int | None
    copy: int = 0
    next_index: int = 0


RecordMessage = (
    RecordClaim
    | RecordVerdict
    | RecordFinish
    | RecordRelease
    | RecordReplicate
    | RecordChunk
    | RecordProgress
)
