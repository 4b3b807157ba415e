"""What a leader knows besides the tables, for one term.

All of it is in memory and is built anew from the sync requests of the
entries after each change of leader.
"""

from collections.abc import Iterator
import dataclasses

from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import store
from fulmarseam import wire

MILLISECONDS = 1_000
ENTRY_LEASE_S = 3.0
# Entries at this number of demands per second would otherwise each start an
# allocation over all targets.
MIN_ALLOCATION_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReport:
    """The last sync request of an entry and when it came."""

    request: wire.SyncRequest
    heard_at: float

    @property
    def in_flight(self) -> int:
        """Return the number of requests at targets."""
        return sum(use.in_flight for use in self.request.uses)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The failure domain and region of a target."""

    domain: ids.DomainName
    region: ids.RegionName


class Leadership:
    """Targets, entries and grants that the leader of a term keeps.

    `now` is in monotonic seconds. `started` is when the term began.
    """

    def __init__(
        self,
        now: float,
        term: ids.Term,
        options: settings.ControlSettings,
        tables: store.Tables,
    ) -> None:
        self.term = term
        self.started = now
        self.targets = membership.TargetTable(
            options.target_lease_ms / MILLISECONDS
        )
        self.entries = membership.EntryTable(now, ENTRY_LEASE_S)
        self.allocator = steering.Allocator(
            now,
            term,
            steering.AllocatorOptions(
                grant_ttl_s=options.grant_ttl_ms / MILLISECONDS,
                clock_drift=options.clock_drift,
            ),
            former_holders=list_registered(tables),
        )
        self.reports: dict[ids.EntryId, EntryReport] = {}
        self.places: dict[ids.TargetId, Place] = {}
        self._grant_ttl_s = options.grant_ttl_ms / MILLISECONDS
        self._tables = tables
        self._allocated_at = float('-inf')
        self._allocated_revision = -1

    def record(self, now: float, request: wire.SyncRequest) -> bool:
        """Take a sync request.

        Return False when a newer incarnation of the entry is known.
        """
        if not self.entries.record(now, request):
            return False
        ages = request.announcement_ages_ms
        travel_s = self.allocator.compute_max_request_age(now, request)
        for index, report in enumerate(request.announcements):
            age_ms = ages[index] if index < len(ages) else 0
            if self.targets.record(now - travel_s, report, age_ms):
                self.places[report.target] = Place(
                    report.failure_domain, report.region
                )
        self.reports[request.info.entry] = EntryReport(request, now)
        self.allocator.report(now, request)
        return True

    def expire(self, now: float) -> bool:
        """End leases; return whether any ended."""
        ended = bool(self.targets.expire(now))
        ended |= bool(self.entries.expire(now))
        known = {row.info.entry for row in self.entries.rows()}
        for entry in self.reports.keys() - known:
            del self.reports[entry]
        return ended

    def allocate(self, now: float) -> None:
        """Plan the shares of all entries."""
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
        """Plan anew when the tables changed or an entry wants more."""
        if self._allocated_revision != self._tables.revision or (
            wants_more
            and now - self._allocated_at >= MIN_ALLOCATION_INTERVAL_S
        ):
            self.allocate(now)

    def allocate_on_tick(self, now: float, interval_s: float) -> bool:
        """Plan anew after an interval; return whether it was done."""
        if now - self._allocated_at < interval_s:
            return False
        self.allocate(now)
        return True

    def grants_for(self, now: float, info: wire.EntryInfo) -> steering.Grants:
        """Return the grants of an entry; none before it is registered."""
        if not self.is_registered(info):
            return steering.Grants(0, [], [])
        return self.allocator.issue_grants(now, info.entry, info.incarnation)

    def is_registered(self, info: wire.EntryInfo) -> bool:
        """Return whether the log names an incarnation of an entry."""
        row = self._tables.get(wire.Registration, info.entry)
        return row is not None and info.incarnation in row.incarnations

    def has_grant_news(self, now: float, info: wire.EntryInfo) -> bool:
        """Return whether an entry should get its grants at once."""
        return self.is_registered(info) and self.allocator.has_grant_changes(
            now, info.entry, info.incarnation
        )

    def live_reports(self, now: float) -> Iterator[EntryReport]:
        """Yield the reports of entries that may still run requests.

        An entry that went silent may use its grants until they expire and
        run what it dispatched until the longest deadline has passed.
        """
        pools = self._tables.rows(wire.Pool)
        longest_ms = max((pool.max_deadline_ms for pool in pools), default=0)
        limit = self._grant_ttl_s + longest_ms / MILLISECONDS
        for report in self.reports.values():
            if now - report.heard_at < limit:
                yield report

    def is_settled(self, now: float) -> bool:
        """Return whether every live entry has had time to report."""
        return now - self.started > 2 * ENTRY_LEASE_S


def list_registered(tables: store.Tables) -> set[tuple[ids.EntryId, int]]:
    """Return the incarnations of entries that may hold grants."""
    return {
        (row.name, incarnation)
        for row in tables.rows(wire.Registration)
        for incarnation in row.incarnations
    }
