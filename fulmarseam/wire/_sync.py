"""Messages between an entry and the control leader."""

import enum

import msgspec

from fulmarseam import ids
from fulmarseam.wire import _rows
from fulmarseam.wire import _suspects


class TargetState(enum.Enum):
    """States that a target announces."""

    STARTING = 'starting'
    READY = 'ready'
    LEAVING = 'leaving'


class TargetLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load as reported by a target; may be outdated or wrong."""

    busy_slots: int
    queued: int = 0
    latency_ms: float = 0.0


class TargetReport(msgspec.Struct, frozen=True, kw_only=True):
    """An announcement of a target.

    Reports are ordered by (incarnation, sequence); older ones are ignored.
    """

    target: ids.TargetId
    pool: ids.PoolName
    address: str
    region: ids.RegionName
    failure_domain: ids.DomainName
    slots: int
    connections: int
    incarnation: int
    sequence: int
    state: TargetState
    load: TargetLoad | None = None


class TargetRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A target as the leader knows it.

    `lease_ms` is the time left at the moment of the answer. `ready_ms` is
    the time since the target first was ready in this incarnation.
    `load_age_ms` is the age of the load report.
    """

    report: TargetReport
    lease_ms: int
    ready_ms: int
    load_age_ms: int


class LoadRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A newer load report of a target that is otherwise unchanged.

    `age_ms` is the age of the load report at the moment of the answer.
    """

    target: ids.TargetId
    sequence: int
    busy_slots: int
    queued: int
    latency_ms: float
    age_ms: int


class EntryInfo(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Identity and addresses of an entry."""

    entry: ids.EntryId
    incarnation: int
    region: ids.RegionName
    failure_domain: ids.DomainName
    listen: str
    api: str
    rpc: str
    has_disk: bool = False


class EntryRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An entry as the leader knows it."""

    info: EntryInfo
    draining: bool
    alive: bool


class SlotUse(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An entry's grant on a target and its requests in flight there.

    `allowance` and `connections` are the slots and connections that it may
    use now: zero once its grant has expired. Array form keeps a sync with
    44 targets small.
    """

    target: ids.TargetId
    allowance: int
    in_flight: int
    connections: int = 0


class SlotGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Slots and connections that an entry may use on a target.

    `lease_ms` is the time left of the target's lease at the moment of the
    answer; the grant ends with the lease. Zero means that the leader has
    not heard of the target yet and that the entry must not extend its
    current grant. Array form keeps a sync with 44 targets small.
    """

    target: ids.TargetId
    slots: int
    connections: int
    lease_ms: int = 0


class PoolDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Demand for a pool seen by an entry.

    `wanted` is the number of slots wanted now: in flight plus queued.
    """

    pool: ids.PoolName
    wanted: int
    arrivals_per_s: float = 0.0


class LinkDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Bytes/s that an entry holds on a link and bytes/s that it wants."""

    name: str
    held: int
    wanted: int


class LinkRate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Bytes/s that an entry may send over a link."""

    name: str
    bytes_per_s: int


class RecordCopy(msgspec.Struct, frozen=True, kw_only=True):
    """A full copy of the records of a region up to a generation."""

    region: ids.RegionName
    generation: int


class SyncRequest(
    msgspec.Struct, tag='sync_request', frozen=True, kw_only=True
):
    """An entry's report to the leader and its request for updates.

    `ack_term` and `ack_sequence` identify the last grants applied, and
    `ack_age_ms` is the time since then. The leader may delay the response
    by up to `wait_ms` when there are no updates. `record_copies` lists the
    record groups of which the entry holds a full copy. `entries_version`
    is the version of the entry rows that it holds, in term `targets_term`;
    0 asks for all rows. `doubtful` lists targets on which the entry's
    requests fail; it gets slots on them only when there are no others. It
    knows the suspected requests as of `suspects_version`.
    """

    info: EntryInfo
    draining: bool
    revision: int
    targets_term: int
    targets_version: int
    ack_term: int
    ack_sequence: int
    uses: list[SlotUse]
    demand: list[PoolDemand]
    links: list[LinkDemand]
    announcements: list[TargetReport]
    announcement_ages_ms: list[int]
    wait_ms: int
    record_copies: list[RecordCopy] = []
    doubtful: list[ids.TargetId] = []
    ack_age_ms: int | None = None
    entries_version: int = 0
    suspects_version: int = 0


class SyncResponse(
    msgspec.Struct, tag='sync_response', frozen=True, kw_only=True
):
    """The leader's updates for one entry.

    `leadership_age_ms` is the time since a majority last confirmed the
    leader. `changes` brings the entry from its revision to `revision`;
    with `full` they replace all tables and `blocks` is the image of the
    blocks table. The rows of targets and entries are also differences; with
    `targets_full` or `entries_full` they replace all rows. `grants` and
    `links` replace what the entry held and are valid for `grant_ttl_ms`
    from the moment it sent the request. `suspects` are the suspected
    requests that bring it to `suspects_version`, which is 0 if there is
    nothing new.
    """

    term: int
    leadership_age_ms: int
    revision: int
    full: bool
    changes: list[_rows.Change]
    targets_version: int
    targets_full: bool
    targets: list[TargetRow]
    targets_removed: list[ids.TargetId]
    loads: list[LoadRow] = []
    entries: list[EntryRow]
    grant_sequence: int
    grant_ttl_ms: int
    grants: list[SlotGrant]
    links: list[LinkRate]
    entries_version: int = 0
    entries_full: bool = True
    blocks: bytes = b''
    suspects_version: int = 0
    suspects: list[_suspects.SuspectRow] = []
