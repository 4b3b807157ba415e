"""Answers to the requests of operators."""

from collections.abc import Callable
import time

from fulmarseam import consensus
from fulmarseam import errors
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.control import _leadership
from fulmarseam.control import _pending_calls
from fulmarseam.control import _sync

ADMIN_REQUESTS = (
    wire.Edit,
    wire.Restore,
    wire.TablesRequest,
    wire.StatusRequest,
    wire.FleetRequest,
    wire.MemberAdd,
    wire.MemberRemove,
    wire.TimedRequest,
)


class AdminService:
    """Answers admin requests; only the leader answers any but status."""

    def __init__(
        self,
        member: consensus.Member,
        machine: store.Machine,
        find_leadership: _sync.FindLeadership,
        report_edit: Callable[[wire.EditResult, float], None],
    ) -> None:
        self._member = member
        self._machine = machine
        self._find_leadership = find_leadership
        self._report_edit = report_edit

    async def answer(self, message: wire.Message) -> wire.Message:
        """Return the answer to one of `ADMIN_REQUESTS`.

        Raises `errors.NotLeaderError`, `errors.ProposalUncertainError` and
        the errors of a membership change.
        """
        match message:
            case wire.Edit() | wire.Restore():
                return await self._propose(message)
            case wire.TablesRequest():
                return await self._read_tables(message)
            case wire.StatusRequest():
                return self._make_status()
            case wire.FleetRequest():
                return self._make_fleet()
            case wire.MemberAdd():
                await self._member.add_member(
                    message.member, message.address, message.region
                )
                return wire.Ok()
            case wire.MemberRemove():
                await self._member.remove_member(message.member)
                return wire.Ok()
            case wire.TimedRequest():
                return await self._answer_in_time(message)
        raise errors.WireError(
            f'{type(message).__name__}: expected an admin request'
        )

    def _require_leadership(self) -> None:
        if self._member.leadership_age() is None:
            raise errors.NotLeaderError(self._member.leader())

    async def _answer_in_time(
        self, message: wire.TimedRequest
    ) -> wire.Message:
        """Answer the request in a message, unless it is late."""
        self._require_leadership()
        _pending_calls.check_forwarded(
            message.term, message.expires_ms, self._member.status().term
        )
        request = wire.decode(message.request)
        if isinstance(request, wire.TimedRequest):
            raise errors.WireError('found a timed request within another')
        return await self.answer(request)

    async def _propose(self, edit: wire.Edit | wire.Restore) -> wire.Message:
        started = time.monotonic()
        data = await self._member.propose(store.encode_command(edit))
        result = wire.decode(data)
        if isinstance(result, wire.EditResult):
            self._report_edit(result, time.monotonic() - started)
        return result

    async def _read_tables(
        self, request: wire.TablesRequest
    ) -> wire.TablesResponse:
        await self._member.confirm_leadership()
        self._require_leadership()
        tables = self._machine.tables
        names = request.tables or list(wire.TableName)
        row_encoded = [
            name for name in names if name in store.ROW_ENCODED_TABLES
        ]
        return wire.TablesResponse(
            revision=tables.revision,
            versions={
                name: self._machine.table_version(name) for name in names
            },
            changes=tables.dump(row_encoded),
            blocks=tables.dump_blocks() if row_encoded != names else b'',
        )

    def _make_status(self) -> wire.StatusResponse:
        status = self._member.status()
        age = self._member.leadership_age()
        return wire.StatusResponse(
            member=status.member_id,
            leader=status.leader,
            term=status.term,
            revision=self._machine.tables.revision,
            leadership_age_ms=(
                None if age is None else _sync.round_up_ms(age)
            ),
            members=[
                wire.MemberRow(
                    member=info.member,
                    address=info.address,
                    region=info.region,
                    voter=info.voter,
                    match_index=status.match_indexes.get(info.member),
                )
                for info in status.members
            ],
            applied_index=status.commit_index,
            last_index=status.last_index,
            clock_ms=_pending_calls.read_clock_ms(),
        )

    def _make_fleet(self) -> wire.FleetResponse:
        leadership = self._find_leadership()
        if leadership is None or self._member.leadership_age() is None:
            raise errors.NotLeaderError(self._member.leader())
        now = time.monotonic()
        return wire.FleetResponse(
            revision=self._machine.tables.revision,
            entries=_list_entries(leadership, now),
            targets=_list_targets(leadership, now),
        )


def _list_entries(
    leadership: _leadership.Leadership, now: float
) -> list[wire.EntryProgress]:
    found = []
    for row in leadership.entries.rows():
        report = leadership.reports[row.info.entry]
        found.append(
            wire.EntryProgress(
                row=row,
                revision=report.request.revision,
                silent_ms=int((now - report.received_at) * _sync.MS_PER_S),
                in_flight=report.in_flight,
            )
        )
    return found


def _list_targets(
    leadership: _leadership.Leadership, now: float
) -> list[wire.TargetProgress]:
    granted: dict[str, int] = {}
    in_flight: dict[str, int] = {}
    for report in leadership.find_live_reports(now):
        for use in report.request.uses:
            target = use.target
            granted[target] = granted.get(target, 0) + use.allowance
            in_flight[target] = in_flight.get(target, 0) + use.in_flight
    rows = leadership.targets.changes_since(now, 0).rows
    return [
        wire.TargetProgress(
            row=row,
            granted=granted.get(row.report.target, 0),
            in_flight=in_flight.get(row.report.target, 0),
        )
        for row in sorted(rows, key=lambda row: row.report.target)
    ]
