"""What an entry knows of the system and may do at the moment."""

from collections.abc import Callable

import logbook

from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import store
from fulmarseam import telemetry
from fulmarseam import wire

_log = logbook.Logger('entry')


class SharedState:
    """The configuration, targets, entries and grants of an entry.

    All of it comes from the control leader. `now` is in seconds of the
    event loop's clock. `on_change` is called after each answer applied.
    """

    def __init__(self, options: settings.EntrySettings) -> None:
        self._lease_s = (
            options.config_lease_ms / 1_000 * (1.0 - options.clock_drift)
        )
        self.tables = store.Tables()
        self.targets = membership.TargetMirror()
        self.entry_rows = membership.EntryMirror()
        self.slots = steering.SlotTracker(options.clock_drift)
        self.links = steering.LinkTokens(clock_drift=options.clock_drift)
        self.shifts = steering.ShiftLimiter(options.region)
        self.routes = steering.compile_routes([])
        self.term = 0
        self.targets_term = 0
        self.targets_version = 0
        self.draining_entries: dict[ids.EntryId, int] = {}
        self.on_change: Callable[[], None] = _ignore
        self._confirmed_at: float | None = None

    @property
    def entries(self) -> dict[ids.EntryId, wire.EntryRow]:
        """Return the rows of the entries by their ids."""
        return self.entry_rows.rows

    def is_current(self, now: float) -> bool:
        """Return whether new work may start under the configuration."""
        confirmed = self._confirmed_at
        return confirmed is not None and now - confirmed < self._lease_s

    def confirmation_age(self, now: float) -> float | None:
        """Return the seconds since the configuration was confirmed."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def apply(
        self, sent_at: float, now: float, response: wire.SyncResponse
    ) -> bool:
        """Take an answer of the leader to a request sent at `sent_at`.

        Answers of an older term are ignored; returns whether the answer
        was taken.
        """
        if response.term < self.term:
            return False
        self.term = response.term
        self._apply_tables(response)
        self._apply_targets(now, response)
        if self.entry_rows.apply(now, response):
            self._forget_finished_drains()
        self.slots.apply(now, sent_at, response)
        self.links.apply(now, sent_at, response)
        confirmed = sent_at - response.leadership_age_ms / 1_000
        if self.tables.revision >= response.revision:
            self._confirmed_at = max(self._confirmed_at or 0.0, confirmed)
        self.on_change()
        return True

    def _apply_tables(self, response: wire.SyncResponse) -> None:
        changed = self.tables.apply_changes(
            response.revision,
            response.changes,
            response.full,
            response.blocks,
        )
        if not changed:
            return
        self.routes = steering.compile_routes(self.tables.rows(wire.Route))
        self.shifts.update(self.tables.rows(wire.Shift))
        _log.info(
            telemetry.format_event(
                'configuration_in_force', revision=response.revision
            )
        )

    def _apply_targets(self, now: float, response: wire.SyncResponse) -> None:
        known = self.targets_term, self.targets_version
        news = response.term, response.targets_version
        if news < known:
            return
        if (
            response.targets_full
            or response.targets
            or response.targets_removed
            or response.loads
        ):
            self.targets.apply(now, response)
        self.targets_term, self.targets_version = news

    def _forget_finished_drains(self) -> None:
        for entry, incarnation in list(self.draining_entries.items()):
            row = self.entries.get(entry)
            if row is None or row.info.incarnation > incarnation:
                del self.draining_entries[entry]

    def record_entry_drain(self, entry: ids.EntryId, incarnation: int) -> None:
        """Note that an entry announced its shutdown by itself."""
        self.draining_entries[entry] = incarnation

    def find_record_group(
        self, region: ids.RegionName
    ) -> wire.RecordGroup | None:
        """Return the row of the holders of a region's records."""
        return self.tables.get(wire.RecordGroup, region)

    def drained_entries(self) -> set[ids.EntryId]:
        """Return the entries that look-ups must leave out."""
        drained = set(self.draining_entries)
        for drain in self.tables.rows(wire.Drain):
            if drain.state in (wire.DrainState.ACTIVE, wire.DrainState.DONE):
                drained.update(self._find_drained(drain))
        return drained

    def _find_drained(self, drain: wire.Drain) -> list[ids.EntryId]:
        subjects: dict[wire.DrainScope, Callable[[wire.EntryInfo], str]] = {
            wire.DrainScope.ENTRY: lambda info: info.entry,
            wire.DrainScope.DOMAIN: lambda info: info.failure_domain,
            wire.DrainScope.REGION: lambda info: info.region,
        }
        read = subjects.get(drain.scope)
        if read is None:
            return []
        return [
            row.info.entry
            for row in self.entries.values()
            if read(row.info) == drain.subject
        ]


def _ignore() -> None:
    """Do nothing on a change."""
