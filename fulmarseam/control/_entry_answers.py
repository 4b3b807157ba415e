"""What a member of a catalog group answers to entries."""

from typing import NamedTuple

import logbook

from fulmarseam import catalog
from fulmarseam import quarantine
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.control import _quotas
from fulmarseam.control import _rate_limits

_log = logbook.Logger('control')


class GroupView(NamedTuple):
    """What a member knows of its group.

    `members` and `leader` are addresses; `leader` is empty if not known.
    `led_term` is the term that this member leads, or None.
    """

    members: list[str]
    leader: str
    led_term: int | None


class EntryAnswers:
    """Tracks the entries that poll this member, and answers them.

    Limits, quotas and suspects are answered by the leader only::

        response = answers.answer_poll(now, poll, view)
    """

    def __init__(
        self, options: settings.CatalogSettings, machine: catalog.Catalog
    ) -> None:
        self._machine = machine
        self._shared_loads = catalog.SharedLoads()
        self._packed_changes = catalog.PackedChanges(machine)
        self.entry_registry = catalog.EntryRegistry()
        self._rate_limits = _rate_limits.RateLimits(
            machine, self.entry_registry
        )
        self._quotas = _quotas.Quotas(
            machine,
            self.entry_registry,
            steering.QuotaBounds(
                options.quota_window,
                options.quota_overage,
                options.quota_slack,
            ),
        )
        self.suspect_registry = quarantine.SuspectRegistry()

    def answer_poll(
        self,
        now: float,
        poll: wire.EntryPoll,
        view: GroupView,
        is_current: bool | None = None,
    ) -> wire.EntryPollResponse:
        """Record the state of an entry; return what it lacks.

        `is_current` tells whether this member has proved to be current, if
        the poll asks for that.
        """
        if self.entry_registry.record_poll(now, poll):
            _log.info(
                telemetry.format_event(
                    'entry_state',
                    entry=poll.entry,
                    state=poll.state.value,
                    incarnation=poll.incarnation,
                )
            )
        changes, packed_changes = self._list_changes(poll)
        target_loads = b''
        region_loads = {}
        if poll.wants_loads:
            self._shared_loads.record(now, poll)
            target_loads = self._shared_loads.get_packed(
                now,
                poll.region,
                self._machine.revision,
                self._machine.targets.list_ids(),
            )
            if poll.wants_region_loads:
                region_loads = self._shared_loads.sum_by_region(now)
        limits_version = 0
        rate_limits: list[wire.TargetRateLimit] = []
        suspects_version = 0
        suspects: list[wire.SuspectRow] = []
        if view.led_term is not None:
            if poll.wants_loads:
                self._quotas.record(now, view.led_term, poll.quota_reports)
                self._rate_limits.update(now, view.led_term, poll.rate_limits)
                limits_version = self._rate_limits.version
                if poll.limits_version != limits_version:
                    rate_limits = self._rate_limits.list_limits()
            suspects_version, suspects = self.suspect_registry.list_news(
                now, view.led_term, poll.suspects_version
            )
        knows_members = poll.group == wire.compute_group_checksum(view.members)
        return wire.EntryPollResponse(
            revision=self._machine.revision,
            changes=changes,
            packed_changes=packed_changes,
            members=[] if knows_members else view.members,
            entry_count=self.entry_registry.count_senders(now),
            is_count_partial=self.entry_registry.is_count_partial(now),
            leader=view.leader,
            target_loads=target_loads,
            limits_version=limits_version,
            rate_limits=rate_limits,
            suspects_version=suspects_version,
            suspects=suspects,
            region_loads=region_loads,
            is_current=is_current,
        )

    def _list_changes(
        self, poll: wire.EntryPoll
    ) -> tuple[wire.CatalogChanges | None, bytes]:
        """Return the changes that an entry asks for, plain or packed."""
        if not poll.wants_changes or poll.revision >= self._machine.revision:
            return None, b''
        known = (poll.revision, poll.removals_revision)
        if poll.accepts_packed:
            return None, self._packed_changes.get(
                *known, poll.reads_organisations
            )
        changes = self._machine.list_changes(
            *known, has_organisations=poll.reads_organisations
        )
        return changes, b''

    def issue_permits(
        self, now: float, term: int, request: wire.PermitRequest
    ) -> wire.PermitResponse:
        """Issue permits as the leader of a term."""
        self._rate_limits.update(now, term, request.rate_limits)
        quota_counts, waits_ms = self._quotas.issue(
            now, term, request.quota_asks
        )
        return wire.PermitResponse(
            counts=self._rate_limits.issue(now, request),
            quota_counts=quota_counts,
            quota_waits_ms=waits_ms,
        )
