"""Messages about at-most-once records."""

import enum

import msgspec

from fulmarseam import ids


class RecordState(enum.Enum):
    """The outcome, if known, of a claimed request."""

    PENDING = 'pending'
    DONE = 'done'
    UNKNOWN = 'unknown'


class Verdict(enum.Enum):
    """The result of a claim; only a FRESH request may run."""

    FRESH = 'fresh'
    IN_PROGRESS = 'in-progress'
    DONE = 'done'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The response of a target; `body` is None if it was not stored."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes | None


class RecordRow(msgspec.Struct, frozen=True, array_like=True):
    """The at-most-once record of a request.

    `deadline_ms` is the time left for a pending request when the row was
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

    `attempt` identifies one attempt of one entry to process the request.
    A repeated claim with the same `attempt` gets the same verdict.
    """

    region: ids.RegionName
    key: str
    fingerprint: str
    attempt: str
    deadline_ms: int


class RecordVerdict(
    msgspec.Struct, tag='record_verdict', frozen=True, kw_only=True
):
    """The response to a claim, with the stored answer if DONE."""

    verdict: Verdict
    answer: StoredAnswer | None = None


class RecordFinish(
    msgspec.Struct, tag='record_finish', frozen=True, kw_only=True
):
    """Stores a response; `answer` None means an unknown outcome."""

    region: ids.RegionName
    key: str
    attempt: str
    answer: StoredAnswer | None


class RecordRelease(
    msgspec.Struct, tag='record_release', frozen=True, kw_only=True
):
    """Releases a claim whose request did not and will not run."""

    region: ids.RegionName
    key: str
    attempt: str


class RecordStream(msgspec.Struct, frozen=True, array_like=True):
    """Identifies the writes of one incarnation of a primary.

    `since` is the generation in which it became primary.
    """

    primary: ids.EntryId
    incarnation: int
    since: int


class RecordReplicate(
    msgspec.Struct, tag='record_replicate', frozen=True, kw_only=True
):
    """Replicates to the backup the writes after write number `base`."""

    region: ids.RegionName
    generation: int
    stream: RecordStream
    base: int
    writes: list[RecordWrite]


class RecordChunk(
    msgspec.Struct, tag='record_chunk', frozen=True, kw_only=True
):
    """Part `index` of a full copy at write number `number`.

    `copy` numbers the full copies of a stream. A copy is complete once
    the backup has accepted the part with `last` set.
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
    """The replication progress of a backup: all writes up to `applied`.

    `applied` is None while the backup has no full copy; `next_index` is
    then the part of copy `copy` that it expects next.
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
