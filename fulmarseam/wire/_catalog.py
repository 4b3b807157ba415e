"""Rows and messages of a catalog: configuration items and live targets.

A catalog is the state of a group in which operators version each item
separately and targets announce themselves to the members.
"""

import enum
import hashlib

import msgspec

from fulmarseam import ids
from fulmarseam.wire import _suspects

KEY_DIGEST_BYTES = 16


def compute_key_digest(key: bytes) -> bytes:
    """Return what stands for the key of an organisation."""
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()


class SplitPart(msgspec.Struct, frozen=True, array_like=True):
    """A pool and its relative share of a route's requests."""

    pool: ids.PoolName
    weight: float


class RouteItem(
    msgspec.Struct,
    tag='route_item',
    frozen=True,
    kw_only=True,
    array_like=True,
):
    """Requests matched by host and path prefix, and how they are served.

    `split` has a single part for a route to one pool. `timeout_ms` is the
    longest time that a caller waits for a response. A response within
    `target_latency_ms` keeps its full value. `priority` 0 is served first.
    A request is sent to at most `max_attempts` targets; a request that is
    not idempotent never runs twice. `sticky` sends the requests for one
    object to the same target. An empty `allowed_regions` allows all regions.
    With `allow_anonymous` requests need no key of an organisation.
    """

    name: ids.RouteName
    version: int
    host: str
    path_prefix: str
    split: list[SplitPart]
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    max_attempts: int = 1
    idempotent: bool = False
    sticky: bool = False
    allowed_regions: list[ids.RegionName] = []
    allow_anonymous: bool = False


class PoolItem(
    msgspec.Struct, tag='pool_item', frozen=True, kw_only=True, array_like=True
):
    """Targets that can serve the same requests.

    A target accepts `max_connections` from all callers together. For
    `cold_s` after its start it accepts `cold_per_s` requests per second.
    """

    name: ids.PoolName
    version: int
    health_path: str
    max_connections: int
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class LimitsItem(
    msgspec.Struct,
    tag='limits_item',
    frozen=True,
    kw_only=True,
    array_like=True,
):
    """Limits on the size in bytes and the duration of a request."""

    version: int
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float
    name: str = 'limits'


class OrganisationItem(
    msgspec.Struct,
    tag='organisation_item',
    frozen=True,
    kw_only=True,
    array_like=True,
):
    """Callers that share keys and a quota over all entries.

    `key_digests` are those of the keys, see `compute_key_digest`. `priority`
    replaces that of the routes, unless it is None. A `rate_per_s` of 0 is no
    quota. Targets lie in `allowed_regions` and in those of the route.
    """

    name: ids.OrganisationName
    version: int
    key_digests: list[bytes] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[ids.RegionName] = []


ItemRow = RouteItem | PoolItem | LimitsItem | OrganisationItem


class ItemKind(enum.Enum):
    """The kinds of configuration items."""

    ROUTE = 'route'
    POOL = 'pool'
    LIMITS = 'limits'
    ORGANISATION = 'organisation'


class Item(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One version of an item; `row` is None if it was deleted.

    `source` is the content as the operator sent it, so that a read returns
    it in the same form. That of an organisation has its keys: it is neither
    logged nor sent to entries.
    """

    kind: ItemKind
    name: str
    version: int
    row: ItemRow | None = None
    source: bytes = b''


class TargetPhase(enum.Enum):
    """Whether a target accepts new requests; phases only move forward."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class TargetRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The latest announcement of a target.

    `born_ms` is the start of its incarnation in milliseconds since the
    epoch, and `sequence` counts its announcements within it. `cold_ms` is
    how long it stays cold after the announcement.
    """

    target: ids.TargetId
    pool: ids.PoolName
    address: str
    region: ids.RegionName
    failure_domain: ids.DomainName
    slots: int
    phase: TargetPhase = TargetPhase.READY
    born_ms: int = 0
    sequence: int = 0
    cold_ms: float = 0.0


class CatalogCommand(
    msgspec.Struct, tag='catalog_command', frozen=True, kw_only=True
):
    """A command that a member forwards to the leader.

    The leader of `term` refuses it after `expires_ms` by its own clock; 0
    means no end. With `asks_clock`, the command is not carried out; the
    result tells that clock.
    """

    command: bytes
    term: int = 0
    expires_ms: int = 0
    asks_clock: bool = False


class CatalogResult(
    msgspec.Struct, tag='catalog_result', frozen=True, kw_only=True
):
    """The result of a catalog command.

    `problems` lists why the command was rejected; no part of a rejected
    command is applied. `term` and `clock_ms` answer a command that asked
    for the clock.
    """

    revision: int
    problems: list[str] = []
    term: int = 0
    clock_ms: int = 0


class TargetRenewal(
    msgspec.Struct, tag='target_renewal', frozen=True, kw_only=True
):
    """Targets that recently announced themselves to the sender."""

    targets: list[ids.TargetId]


class EntryState(enum.Enum):
    """Whether new callers may be directed to an entry.

    An entry is STARTING until it has a configuration.
    """

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'


class TargetObservation(msgspec.Struct, frozen=True, array_like=True):
    """What an entry observes of a target that it uses or has ejected."""

    target: ids.TargetId
    in_flight: int
    is_ejected: bool = False


class TargetRateLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit in requests/s that an incarnation of a target names.

    The rate is None if its answers no longer name one. Entries tell in
    `age_s` how long ago the answer came. `is_ending` is set by the leader
    while the rate of a target whose limit has ended rises.
    """

    target: ids.TargetId
    born_ms: int
    rate_per_s: float | None
    age_s: float = 0.0
    is_ending: bool = False


class PermitAsk(msgspec.Struct, frozen=True, array_like=True):
    """The number of permits that an entry wants for a target."""

    target: ids.TargetId
    count: int


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """The number of permits that an entry wants for an organisation.

    Since its last report the entry has sent `used` requests without permits,
    and `returned` permits have expired without use.
    """

    organisation: ids.OrganisationName
    count: int
    used: int = 0
    returned: int = 0


class PermitRequest(
    msgspec.Struct,
    tag='permit_request',
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """An entry's request for permits to send requests.

    `asks` are for targets that limit their rate, and `quota_asks` for
    organisations. `rate_limits` are those that the leader does not know yet.
    """

    entry: ids.EntryId
    asks: list[PermitAsk]
    rate_limits: list[TargetRateLimit] = []
    quota_asks: list[QuotaAsk] = []


class PermitResponse(
    msgspec.Struct,
    tag='permit_response',
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """The number of permits issued for each ask of a `PermitRequest`.

    A permit for a target expires `steering.PERMIT_LIFETIME_S` after the
    request was sent, one for an organisation `QUOTA_PERMIT_LIFETIME_S`.
    `quota_waits_ms` tells when further permits for these are expected; it is
    empty if no ask was cut short.
    """

    counts: list[int]
    quota_counts: list[int] = []
    quota_waits_ms: list[int] = []


class EntryPoll(
    msgspec.Struct,
    tag='entry_poll',
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """An entry's report on itself, with an optional request for changes.

    `incarnation` is the start of its process in milliseconds since the
    epoch, which tells processes apart; `uptime_s` orders them, as the time of
    day may be set back. With `wants_changes` the response lists the changes
    after `revision`. The entry knows the removals up to `removals_revision`,
    which is -1 before its first response. `accepts_packed` is set by an entry
    that reads `EntryPollResponse.packed_changes`. With `wants_loads` the poll
    carries `observations` for the leader, and the response what all entries
    observe together.

    `rate_limits` are those that the leader does not know yet, and the entry
    knows the others as of `limits_version`. `is_offline` is set while it uses
    its offline part of the limits. `group` is the checksum of the members that
    it knows; the response lists them if it is another one. It knows the
    suspected requests as of `suspects_version`. `is_cut_off` is set while
    it reaches few targets and relays its requests through other entries.
    `quota_reports` tell the leader what was used of quotas without permits.
    `reads_organisations` is set by an entry that can read items of this kind;
    others do not get them. With `wants_region_loads` the leader's response
    has `region_loads`. With `asks_current` the member proves first that it is
    current, if it can; see `EntryPollResponse.is_current`.
    """

    entry: ids.EntryId
    address: str
    region: ids.RegionName
    failure_domain: ids.DomainName
    incarnation: int
    state: EntryState
    wants_changes: bool = False
    revision: int = 0
    removals_revision: int = -1
    uptime_s: float | None = None
    accepts_packed: bool = False
    wants_loads: bool = False
    observations: list[TargetObservation] = []
    limits_version: int = 0
    rate_limits: list[TargetRateLimit] = []
    is_offline: bool = False
    group: int = 0
    suspects_version: int = 0
    is_cut_off: bool = False
    reads_organisations: bool = False
    quota_reports: list[QuotaAsk] = []
    wants_region_loads: bool = False
    asks_current: bool = False


class CatalogChanges(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of a catalog in the order in which they were made.

    They bring the entry to `revision`; more follow when that is below
    `newest`. With `full` they start from an empty catalog, because the
    individual removals that the entry missed are no longer stored.
    `evacuated` and `removed_targets` are as of revision `newest`.
    """

    revision: int
    newest: int
    full: bool = False
    items: list[Item] = []
    targets: list[TargetRecord] = []
    removed_targets: list[ids.TargetId] = []
    evacuated: list[ids.DomainName] = []


class EntryPollResponse(
    msgspec.Struct,
    tag='entry_poll_response',
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """The response to an `EntryPoll`.

    `members` lists the addresses of the control members. `entry_count` is
    the number of entries that may send requests; it is partial while the
    member has not heard all of them since its start. `packed_changes` replaces
    `changes` for an entry that accepts it; see `pack_changes`. `leader` is
    the address of the leader, or empty. `target_loads` are the loads of the
    targets at `revision`; see `pack_loads`. `rate_limits` lists all limits
    of targets if the entry knows them as of another `limits_version`.
    `suspects` are the suspected requests that bring it to
    `suspects_version`, which is 0 if there is nothing new. `region_loads`
    are the requests in flight of the entries of each region. `is_current`
    tells whether `revision` is at least the one that the group had when the
    poll arrived; it is None unless the poll asks for it, and for a member of
    the previous release.
    """

    revision: int
    changes: CatalogChanges | None = None
    packed_changes: bytes = b''
    members: list[str] = []
    entry_count: int = 0
    leader: str = ''
    target_loads: bytes = b''
    limits_version: int = 0
    rate_limits: list[TargetRateLimit] = []
    suspects_version: int = 0
    suspects: list[_suspects.SuspectRow] = []
    is_count_partial: bool = False
    region_loads: dict[ids.RegionName, int] = {}
    is_current: bool | None = None


CatalogMessage = (
    CatalogCommand
    | CatalogResult
    | TargetRenewal
    | EntryPoll
    | EntryPollResponse
    | PermitRequest
    | PermitResponse
)
