"""Answers to the sync requests of entries."""

from collections.abc import Callable
import time

from fulmarseam import consensus
from fulmarseam import errors
from fulmarseam import settings
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.control import _leadership
from fulmarseam.control import _notifier

MS_PER_S = 1_000

FindLeadership = Callable[[], _leadership.Leadership | None]


class SyncService:
    """Answers sync requests while this member leads.

    `find_leadership` returns the state of the current term, or None when
    this member does not lead. `request_plan` makes the leader plan its
    steps at once, which registers a new entry.
    """

    def __init__(
        self,
        options: settings.ControlSettings,
        member: consensus.Member,
        tables: store.Tables,
        find_leadership: FindLeadership,
        notifier: _notifier.Notifier,
        request_plan: Callable[[], None],
    ) -> None:
        self._options = options
        self._member = member
        self._tables = tables
        self._find_leadership = find_leadership
        self._notifier = notifier
        self._request_plan = request_plan

    async def answer(self, request: wire.SyncRequest) -> wire.SyncResponse:
        """Return the changes for an entry, waiting for some if needed.

        Raises `errors.NotLeaderError` when this member does not lead with
        a valid leadership age, and `errors.FulmarseamError` when a newer
        incarnation of the entry is known.
        """
        leadership, _ = self._require_leadership()
        now = time.monotonic()
        entries_version = leadership.entries.version
        if not leadership.record_sync(now, request):
            raise errors.FulmarseamError(
                errors.ErrorKind.VERSION_CONFLICT,
                f'{request.info.entry}: a newer incarnation is known',
            )
        if not leadership.is_registered(request.info):
            self._request_plan()
        wants_more = _wants_more(request)
        leadership.allocate_if_due(now, wants_more)
        if (
            leadership.entries.version != entries_version
            or request.announcements
        ):
            self._notifier.notify()
        elif wants_more:
            # Other entries may have to give up slots that this one wants.
            self._notifier.notify()
        await self._wait_for_changes(leadership, request, now)
        return self._make_response(leadership, request)

    def answer_suspects(
        self, report: wire.SuspectReport
    ) -> wire.TrialResponse:
        """Record what an entry reports of suspected requests.

        Raises `errors.NotLeaderError` like `answer`.
        """
        leadership, _ = self._require_leadership()
        response = leadership.suspects.answer(
            time.monotonic(), leadership.term, report
        )
        self._notifier.notify()
        return response

    def _require_leadership(self) -> tuple[_leadership.Leadership, float]:
        leadership = self._find_leadership()
        age = self._member.leadership_age()
        if (
            leadership is None
            or age is None
            or leadership.term != self._member.leading_term()
        ):
            raise errors.NotLeaderError(self._member.leader())
        return leadership, age

    async def _wait_for_changes(
        self,
        leadership: _leadership.Leadership,
        request: wire.SyncRequest,
        started: float,
    ) -> None:
        hold_ms = min(request.wait_ms, self._options.sync_hold_ms)
        deadline = started + hold_ms / MS_PER_S
        while True:
            now = time.monotonic()
            if (
                now >= deadline
                or leadership is not self._find_leadership()
                or self._has_changes(leadership, request, now)
            ):
                return
            await self._notifier.wait(deadline - now)

    def _has_changes(
        self,
        leadership: _leadership.Leadership,
        request: wire.SyncRequest,
        now: float,
    ) -> bool:
        return (
            bool(request.announcements)
            or request.revision < self._tables.revision
            or request.targets_term != leadership.term
            or request.targets_version < leadership.targets.urgent_version
            or request.entries_version != leadership.entries.version
            or leadership.has_grant_changes(now, request.info)
            or leadership.suspects.list_news(
                now, leadership.term, request.suspects_version
            )[0]
            > 0
        )

    def _make_response(
        self, leadership: _leadership.Leadership, request: wire.SyncRequest
    ) -> wire.SyncResponse:
        current, age = self._require_leadership()
        if current is not leadership:
            raise errors.NotLeaderError(self._member.leader())
        now = time.monotonic()
        leadership.allocate_if_due(now, wants_more=False)
        grants = leadership.issue_grants(now, request.info)
        is_same_term = request.targets_term == leadership.term
        targets = leadership.targets.changes_since(
            now, request.targets_version if is_same_term else 0
        )
        entries = leadership.entries.changes_since(
            request.entries_version if is_same_term else 0
        )
        tables = self._tables.changes_since(request.revision)
        suspects_version, suspects = leadership.suspects.list_news(
            now, leadership.term, request.suspects_version
        )
        return wire.SyncResponse(
            term=leadership.term,
            leadership_age_ms=round_up_ms(age),
            revision=tables.revision,
            full=tables.full,
            changes=tables.changes,
            blocks=tables.blocks,
            targets_version=targets.version,
            targets_full=targets.full,
            targets=targets.rows,
            targets_removed=targets.removed,
            loads=targets.loads,
            entries_version=entries.version,
            entries_full=entries.full,
            entries=entries.rows,
            grant_sequence=grants.sequence,
            grant_ttl_ms=self._options.grant_ttl_ms,
            grants=grants.slots,
            links=grants.links,
            suspects_version=suspects_version,
            suspects=suspects,
        )


def round_up_ms(seconds: float) -> int:
    """Return seconds as milliseconds, rounded up."""
    return -int(-seconds * MS_PER_S // 1)


def _wants_more(request: wire.SyncRequest) -> bool:
    wanted = sum(demand.wanted for demand in request.demand)
    held = sum(use.allowance for use in request.uses)
    return wanted > held
