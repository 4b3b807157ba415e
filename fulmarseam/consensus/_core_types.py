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
    """The random source of a replica; `random.Random` is one."""

    def uniform(self, a: float, b: float) -> float:
        """Return a number between two bounds."""


class Role(enum.Enum):
    """Roles of a replica."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True)
class ReplicaConfig:
    """Identity, times in seconds and sizes of a replica.

    `keep_entries` entries stay in the log behind a snapshot, so that a
    member that is slightly behind needs no snapshot transfer.
    """

    member_id: ids.MemberId
    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    clock_drift: float = 0.01
    keep_entries: int = 1_000
    max_batch_entries: int = 1_024
    max_batch_bytes: int = 256 * 1024
    max_in_flight: int = 8
    chunk_bytes: int = 256 * 1024

    @property
    def lease_s(self) -> float:
        """Return how long a confirmed round vouches for the leader."""
        return self.election_min_s * (1.0 - self.clock_drift)


class Snapshot(NamedTuple):
    """A state of the machine and what it covers."""

    meta: wire.SnapshotMeta
    data: bytes


def make_snapshot(
    index: int, term: int, members: wire.GroupMembers, data: bytes
) -> Snapshot:
    """Return a snapshot with its size and checksum filled in."""
    meta = wire.SnapshotMeta(
        index=index,
        term=term,
        members=members,
        size=len(data),
        checksum=zlib.crc32(data),
    )
    return Snapshot(meta, data)


class TermRecord(msgspec.Struct, tag='term', frozen=True):
    """The current term and the vote given in it."""

    term: int
    vote: ids.MemberId | None


class EntriesRecord(msgspec.Struct, tag='entries', frozen=True):
    """Entries that replace the log from the first of them on."""

    entries: list[wire.LogEntry]


class SnapshotRecord(msgspec.Struct, frozen=True):
    """A snapshot to save, and the log that remains beside it.

    The log starts after (`base_index`, `base_term`).
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
    """What a replica starts from.

    `founding` are the members before the first entry; a member that joins
    later has none. `entries` follow `base_index`, which a snapshot covers
    when it is not 0.
    """

    initial_members: wire.GroupMembers
    term: int = 0
    vote: ids.MemberId | None = None
    base_index: int = 0
    base_term: int = 0
    entries: tuple[wire.LogEntry, ...] = ()
    snapshot: Snapshot | None = None


class Outgoing(NamedTuple):
    """A request for another member."""

    to: ids.MemberId
    body: wire.ReplicaRequest


@dataclasses.dataclass
class Effects:
    """What the driver has to do, in this order.

    1. Write and sync `records`.
    2. Apply `committed`; a snapshot replaces the state of the machine.
    3. Send `reply` to the sender of the request received, and `messages`.

    `first_index` is the index of the first command appended by `propose`,
    and `round` the round started by `confirm`.
    """

    records: list[Record] = dataclasses.field(default_factory=list)
    committed: list[wire.LogEntry | Snapshot] = dataclasses.field(
        default_factory=list
    )
    messages: list[Outgoing] = dataclasses.field(default_factory=list)
    reply: wire.ReplicaResponse | None = None
    first_index: int = 0
    round: int = 0
