"""The state that a leader keeps beside the replicated tables.

It lasts for one term, in memory only. Each new leader rebuilds it from the
sync requests of the entries.
"""

from collections.abc import Iterator
import dataclasses

from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import quarantine
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import store
from fulmarseam import wire

MS_PER_S = 1_000
ENTRY_LEASE_S = 3.0
# Limits the rate of allocations, since each sync request that asks for more
# slots would otherwise start one over all targets.
MIN_ALLOCATION_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReport:
    """The last sync request of an entry and the time of its arrival."""

    request: wire.SyncRequest
    received_at: float

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight at targets."""
        return sum(use.in_flight for use in self.request.uses)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLocation:
    """The failure domain and region of a target."""

    domain: ids.DomainName
    region: ids.RegionName


class Leadership:
    """Keeps targets, entries and grants while this member leads a term.

    `now` is in monotonic seconds; `started_at` is the start of the term.
    """

    def __init__(
        self,
        now: float,
        term: ids.Term,
        options: settings.ControlSettings,
        tables: store.Tables,
    ) -> None:
        self.term = term
        self.started_at = now
        self.targets = membership.TargetTable(
            options.target_lease_ms / MS_PER_S
        )
        self.entries = membership.EntryTable(now, ENTRY_LEASE_S)
        self.allocator = steering.Allocator(
            now,
            term,
            steering.AllocatorOptions(
                grant_ttl_s=options.grant_ttl_ms / MS_PER_S,
                clock_drift=options.clock_drift,
            ),
            former_holders=list_registered_incarnations(tables),
        )
        self.reports: dict[ids.EntryId, EntryReport] = {}
        self.suspects = quarantine.SuspectRegistry()
        self.target_locations: dict[ids.TargetId, TargetLocation] = {}
        self._grant_ttl_s = options.grant_ttl_ms / MS_PER_S
        self._tables = tables
        self._allocated_at = float('-inf')
        self._allocated_revision = -1

    def record_sync(self, now: float, request: wire.SyncRequest) -> bool:
        """Record a sync request.

        Return False when a newer incarnation of the entry is known.
        """
        if not self.entries.record(now, request):
            return False
        ages = request.announcement_ages_ms
        request_age_s = self.allocator.compute_max_request_age(now, request)
        for index, report in enumerate(request.announcements):
            age_ms = ages[index] if index < len(ages) else 0
            if self.targets.record(now - request_age_s, report, age_ms):
                self.target_locations[report.target] = TargetLocation(
                    report.failure_domain, report.region
                )
        self.reports[request.info.entry] = EntryReport(request, now)
        self.allocator.report(now, request)
        return True

    def expire(self, now: float) -> bool:
        """Expire leases; return whether any has ended."""
        ended = bool(self.targets.expire(now))
        ended |= bool(self.entries.expire(now))
        self.suspects.expire(now)
        known_entries = {row.info.entry for row in self.entries.rows()}
        for entry in self.reports.keys() - known_entries:
            del self.reports[entry]
        return ended

    def allocate(self, now: float) -> None:
        """Allocate the slots and link rates of all entries."""
        tables = self._tables
        self._allocated_at = now
        self._allocated_revision = tables.revision
        self.allocator.allocate(
            now,
            self.targets.all(),
            tables.rows(wire.Pool),
            tables.rows(wire.Link),
            tables.rows(wire.Drain),
            tables.rows(wire.Shift),
        )

    def allocate_if_due(self, now: float, wants_more: bool) -> None:
        """Allocate if the tables changed or an entry wants more slots."""
        if self._allocated_revision != self._tables.revision or (
            wants_more
            and now - self._allocated_at >= MIN_ALLOCATION_INTERVAL_S
        ):
            self.allocate(now)

    def allocate_on_tick(self, now: float, interval_s: float) -> bool:
        """Allocate if an interval has passed; return whether it has."""
        if now - self._allocated_at < interval_s:
            return False
        self.allocate(now)
        return True

    def issue_grants(
        self, now: float, info: wire.EntryInfo
    ) -> steering.Grants:
        """Issue the grants of an entry; none before it is registered."""
        if not self.is_registered(info):
            return steering.Grants(0, [], [])
        return self.allocator.issue_grants(now, info.entry, info.incarnation)

    def is_registered(self, info: wire.EntryInfo) -> bool:
        """Return whether the log has registered an entry's incarnation."""
        row = self._tables.get(wire.Registration, info.entry)
        return row is not None and info.incarnation in row.incarnations

    def has_grant_changes(self, now: float, info: wire.EntryInfo) -> bool:
        """Return whether an entry should get changed grants at once."""
        return self.is_registered(info) and self.allocator.has_grant_changes(
            now, info.entry, info.incarnation
        )

    def find_live_reports(self, now: float) -> Iterator[EntryReport]:
        """Yield the reports of entries that may still run requests.

        A silent entry may use its grants until they expire and run requests
        that it dispatched until the longest deadline has passed.
        """
        pools = self._tables.rows(wire.Pool)
        max_deadline_ms = max(
            (pool.max_deadline_ms for pool in pools), default=0
        )
        max_silence_s = self._grant_ttl_s + max_deadline_ms / MS_PER_S
        for report in self.reports.values():
            if now - report.received_at < max_silence_s:
                yield report

    def is_settled(self, now: float) -> bool:
        """Return whether every live entry has had time to sync."""
        return now - self.started_at > 2 * ENTRY_LEASE_S


def list_registered_incarnations(
    tables: store.Tables,
) -> set[tuple[ids.EntryId, int]]:
    """Return the incarnations of entries that may hold grants."""
    return {
        (row.name, incarnation)
        for row in tables.rows(wire.Registration)
        for incarnation in row.incarnations
    }
