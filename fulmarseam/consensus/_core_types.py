"""Inputs and outputs of a replica."""

import dataclasses
import enum
from typing import NamedTuple
from typing import Protocol
import zlib

import msgspec

from fulmarseam import ids
from fulmarseam import wire


class Rng(Protocol):
    """The random source of a replica, such as `random.Random`."""

    def uniform(self, a: float, b: float) -> float:
        """Return a random number between `a` and `b`."""


class Role(enum.Enum):
    """Raft role of a replica."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True)
class ReplicaConfig:
    """Id, times in seconds and size limits of a replica.

    Compaction keeps the last `keep_entries` entries that the snapshot
    covers, so that a member slightly behind needs no snapshot transfer, but
    no more than `keep_bytes` of them: the log is in memory.
    """

    member_id: ids.MemberId
    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    clock_drift: float = 0.01
    keep_entries: int = 1_000
    keep_bytes: int = 2 * 1024 * 1024
    max_batch_entries: int = 1_024
    max_batch_bytes: int = 256 * 1024
    max_appends_in_flight: int = 8
    chunk_bytes: int = 256 * 1024

    @property
    def lease_s(self) -> float:
        """Return the length of the leader lease, from the start of a round."""
        return self.election_min_s * (1.0 - self.clock_drift)


class Snapshot(NamedTuple):
    """A serialized state of the state machine with its metadata."""

    meta: wire.SnapshotMeta
    data: bytes


def make_snapshot(
    index: int, term: int, members: wire.GroupMembers, data: bytes
) -> Snapshot:
    """Return a snapshot; compute the size and checksum of `data`."""
    meta = wire.SnapshotMeta(
        index=index,
        term=term,
        members=members,
        size=len(data),
        checksum=zlib.crc32(data),
    )
    return Snapshot(meta, data)


class TermRecord(msgspec.Struct, tag='term', frozen=True):
    """The current term and the vote cast in it."""

    term: int
    vote: ids.MemberId | None


class EntriesRecord(msgspec.Struct, tag='entries', frozen=True):
    """Entries to append, replacing the log from the first of them on."""

    entries: list[wire.LogEntry]


class SnapshotRecord(msgspec.Struct, frozen=True):
    """A snapshot to save, and the log that remains after compaction.

    The log starts after the entry with `base_index` and `base_term`.
    """

    snapshot: Snapshot
    base_index: int
    base_term: int
    entries: list[wire.LogEntry]
    term: int
    vote: ids.MemberId | None


Record = TermRecord | EntriesRecord | SnapshotRecord


@dataclasses.dataclass(frozen=True)
class DurableState:
    """The state read from disk with which a replica starts.

    `initial_members` are the members before the first log entry; they are
    empty for a member that joined later. `entries` follow `base_index`,
    which the snapshot covers unless it is 0.
    """

    initial_members: wire.GroupMembers
    term: int = 0
    vote: ids.MemberId | None = None
    base_index: int = 0
    base_term: int = 0
    entries: tuple[wire.LogEntry, ...] = ()
    snapshot: Snapshot | None = None


class OutgoingRequest(NamedTuple):
    """A request to send to another member."""

    to: ids.MemberId
    body: wire.ReplicaRequest


@dataclasses.dataclass
class Effects:
    """What the driver has to do after a call, in this order.

    1. Write and sync `records`.
    2. Apply `committed`; a snapshot replaces the whole state machine.
    3. Send `reply` to the sender of the handled request, and `messages`.

    `first_index` is the index of the first command appended by `propose`,
    or of the entry of a membership change. `round` is the number of the
    round started by `confirm_leadership`.
    """

    records: list[Record] = dataclasses.field(default_factory=list)
    committed: list[wire.LogEntry | Snapshot] = dataclasses.field(
        default_factory=list
    )
    messages: list[OutgoingRequest] = dataclasses.field(default_factory=list)
    reply: wire.ReplicaResponse | None = None
    first_index: int = 0
    round: int = 0
