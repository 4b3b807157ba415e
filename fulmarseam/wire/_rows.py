"""Rows of the replicated tables."""

import enum

import msgspec

from fulmarseam import ids


class TableName(enum.Enum):
    """The replicated tables."""

    ROUTES = 'routes'
    POOLS = 'pools'
    LINKS = 'links'
    BLOCKS = 'blocks'
    DRAINS = 'drains'
    SHIFTS = 'shifts'
    RECORD_GROUPS = 'record_groups'
    REGISTRATIONS = 'registrations'


class Route(msgspec.Struct, tag='route', frozen=True, kw_only=True):
    """Requests matched by host, path prefix and method, sent to a pool.

    Empty `methods` means all methods. `priority` 0 is served first. A
    route with `idempotent` false runs each request at most once.
    """

    name: ids.RouteName
    host: str
    path_prefix: str
    pool: ids.PoolName
    methods: list[str] = []
    priority: int = 1
    idempotent: bool = True
    request_id_required: bool = True
    retired: bool = False
    deadline_ms: int = 10_000


class Pool(msgspec.Struct, tag='pool', frozen=True, kw_only=True):
    """Targets that can serve the same requests.

    `latency_weight` 0.0 prefers headroom and 1.0 prefers low latency.
    `cold_factor` is the share of a cold target's slots that is used at
    the start of `slow_start_s`. `retry_ratio` limits the ratio of retries
    to requests.
    `request_bytes` and `response_bytes` are the expected sizes, used to
    plan inter-region traffic.
    """

    name: ids.PoolName
    latency_weight: float = 0.5
    slow_start_s: float = 10.0
    cold_factor: float = 0.25
    queue_limit: int = 64
    retry_ratio: float = 0.1
    max_deadline_ms: int = 10_000
    local_only: bool = False
    request_bytes: int = 1_000
    response_bytes: int = 10_000


class Link(msgspec.Struct, tag='link', frozen=True, kw_only=True):
    """One direction between two regions and its limit in bytes/s.

    The name is `FROM>TO`.
    """

    name: str
    from_region: ids.RegionName
    to_region: ids.RegionName
    bytes_per_s: int


class Block(msgspec.Struct, tag='block', frozen=True, kw_only=True):
    """A block of caller addresses and the region that is nearest to it.

    `name` is the block in CIDR form.
    """

    name: str
    region: ids.RegionName


class DrainScope(enum.Enum):
    """The kinds of subjects that a drain takes out of service."""

    TARGET = 'target'
    DOMAIN = 'domain'
    REGION = 'region'
    ENTRY = 'entry'


class DrainState(enum.Enum):
    """States of a drain; they only move forward."""

    PLANNED = 'planned'
    ACTIVE = 'active'
    DONE = 'done'
    CANCELLED = 'cancelled'


class Drain(msgspec.Struct, tag='drain', frozen=True, kw_only=True):
    """A planned drain.

    `start` is in seconds since the epoch. `subject` names the target,
    failure domain, region or entry. A finished drain stays in effect until
    it is cancelled.
    """

    name: str
    scope: DrainScope
    subject: str
    start: float
    state: DrainState = DrainState.PLANNED


class ShiftState(enum.Enum):
    """States of a shift."""

    PLANNED = 'planned'
    ACTIVE = 'active'
    HELD = 'held'
    DONE = 'done'
    CANCELLED = 'cancelled'


class Shift(msgspec.Struct, tag='shift', frozen=True, kw_only=True):
    """A planned move of a pool's traffic from one region to another.

    `cap_percent` is the largest share of the requests arriving for the
    pool in `from_region` that may be moved. `percent` is the current
    share. `start` and `end` are in seconds since the epoch.
    """

    name: str
    pool: ids.PoolName
    from_region: ids.RegionName
    to_region: ids.RegionName
    cap_percent: float
    start: float
    end: float
    ramp_s: float = 60.0
    state: ShiftState = ShiftState.PLANNED
    percent: float = 0.0


class RecordGroup(
    msgspec.Struct, tag='record_group', frozen=True, kw_only=True
):
    """The two entries that hold the at-most-once records of a region.

    Records of generations below `lost_before` may have been lost. A holder
    is one incarnation of an entry, since a restarted entry has lost what it
    held in memory. `backup_ready` is true once the backup is known to hold
    a full copy; before that it does not count as a survivor.
    """

    name: ids.RegionName
    generation: int
    primary: ids.EntryId
    backup: ids.EntryId | None = None
    lost_before: int = 0
    primary_incarnation: int = 0
    backup_incarnation: int = 0
    backup_ready: bool = False


class Registration(
    msgspec.Struct, tag='registration', frozen=True, kw_only=True
):
    """The incarnations of an entry that may hold grants.

    The leader registers an incarnation before it gives it the first grant,
    so a new leader knows which incarnations must report before it may
    grant what none of them reports to hold.
    """

    name: ids.EntryId
    incarnations: list[int]


Row = Route | Pool | Link | Block | Drain | Shift | RecordGroup | Registration


class Change(msgspec.Struct, frozen=True):
    """A row that was set, or removed when `row` is None."""

    table: TableName
    key: str
    row: Row | None
