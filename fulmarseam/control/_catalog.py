"""A control member of a catalog group.

Every member accepts announcements of targets, polls of entries and commands.
Commands are replicated through the leader's log. Which entries and targets
are alive is not; each member tracks it from the requests that it receives.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import time
from typing import Self

import logbook

from fulmarseam import catalog
from fulmarseam import consensus
from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.control import _currency
from fulmarseam.control import _entry_answers
from fulmarseam.control import _item_parts
from fulmarseam.control import _log_admission
from fulmarseam.control import _pending_calls

# A member that hears no leader for a random time within these bounds starts
# an election; a wide range makes simultaneous elections rare. Heartbeats come
# every 0.1 s, and their round trip takes up to 40 ms.
ELECTION_TIMEOUT_MIN_S = 0.4
ELECTION_TIMEOUT_MAX_S = 0.8
# Operators and targets wait 1 s for an answer, and retry a command without
# a result at another member.
COMMAND_TIMEOUT_S = 0.9
FORWARD_TIMEOUT_S = 0.6
# Operators wait longer for a large call. They expect an answer within 3 ms
# more for each route.
ITEM_TIMEOUT_S = 0.003
# Pause before a command is retried, for example while there is no leader.
COMMAND_RETRY_PAUSE_S = 0.05
# A poll that asks whether this member is current is answered after this time
# at the latest; entries wait 0.8 s.
CURRENCY_TIMEOUT_S = 0.5
RENEWAL_INTERVAL_S = 0.5
RENEWAL_TIMEOUT_S = 0.4
# A target is dropped after this many missed announcements, plus a margin for
# a late one.
MISSED_HEARTBEATS = 3
HEARTBEAT_MARGIN_S = 1.0
# An announcement that a partition or retries held up arrives no later than
# this many leases after it was sent.
MAX_DELAY_LEASES = 2
# Pause before a member opens its directory again after a failed write. A
# full disk usually stays full for seconds.
DISK_RETRY_DELAY_S = 0.5
# Pause before a member rejoins under a new identity.
REJOIN_DELAY_S = 0.1
# A member that was replaced ends after this time even if it cannot leave, for
# example because no majority answers. A host has 6 s to stop.
LEAVE_TIMEOUT_S = 2.0

_READ_REVISION = catalog.encode_command(catalog.ReadRevision())

_log = logbook.Logger('control')


class CatalogMember:
    """A member of the catalog group; a context manager::

    async with CatalogMember(options) as member:
        result = await member.submit(catalog.PutItems(...))
    """

    def __init__(self, options: settings.CatalogSettings) -> None:
        self._options = options
        self._seeds = options.list_peers()
        self._loop = asyncio.get_running_loop()
        self.catalog = catalog.Catalog()
        self._entry_answers = _entry_answers.EntryAnswers(
            options, self.catalog
        )
        self.metrics = telemetry.Metrics()
        self._heartbeat_tracker = catalog.HeartbeatTracker()
        lease_s = MISSED_HEARTBEATS * options.heartbeat + HEARTBEAT_MARGIN_S
        self._target_leases = catalog.TargetLeases(lease_s)
        self._clients = transport.RpcClients()
        self._member: consensus.Member | None = None
        self._is_leaving = False
        self._exit_stack = contextlib.AsyncExitStack()
        self._admission = _log_admission.LogAdmission(
            options.heartbeat, MAX_DELAY_LEASES * lease_s
        )
        self._arrivals = _pending_calls.ArrivalClock()
        self._currency = _currency.CurrencyCheck(self.wait_until_current)
        self._tasks: list[asyncio.Task[None]] = []
        # Gets the exception of a background task, which must never end.
        self.failed: asyncio.Future[None] = self._loop.create_future()
        self._register_gauges()

    def _register_gauges(self) -> None:
        """Register the gauges of the metrics page."""
        register_gauge = self.metrics.register_gauge
        register_gauge('revision', lambda: self.catalog.revision)
        register_gauge('targets', lambda: len(self.catalog.targets.all()))
        register_gauge(
            'entries',
            lambda: self._entry_answers.entry_registry.count_senders(
                self._now()
            ),
        )
        register_gauge(
            'suspected_requests', self._entry_answers.suspect_registry.count
        )
        register_gauge('leads', lambda: self.is_leader())
        register_gauge('term', lambda: self._read_status('term'))
        register_gauge(
            'commit_index', lambda: self._read_status('commit_index')
        )

    def _read_status(self, name: str) -> float:
        if self._member is None:
            return 0.0
        return float(getattr(self._member.status(), name))

    def _now(self) -> float:
        return time.monotonic()

    # Lifecycle

    async def __aenter__(self) -> Self:
        await self._exit_stack.enter_async_context(self._clients)
        await self._exit_stack.enter_async_context(self._currency)
        server = transport.RpcServer(self._options.listen, self.handle)
        await self._exit_stack.enter_async_context(server)
        for work in (
            self._run_memberships(),
            self._forward_renewals(),
            self._arrivals.run(),
        ):
            task = asyncio.create_task(work)
            task.add_done_callback(self._report_failure)
            self._tasks.append(task)
        return self

    def _report_failure(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self.failed.done():
            return
        error = task.exception()
        if error is not None:
            self.failed.set_exception(error)

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.failed.cancel()
        await self._exit_stack.aclose()

    async def leave_group(self) -> None:
        """Leave the group if this member was replaced; it will end now.

        The data directory stays as it is, in case the process starts again.
        """
        self._is_leaving = True
        if self._member is None:
            return
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._member.leave_if_replaced()
        except TimeoutError:
            _log.warning(
                telemetry.format_event(
                    'member_not_removed', waited_s=LEAVE_TIMEOUT_S
                )
            )

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seeds, also for a search that is under way."""
        self._seeds = seeds
        if self._member is not None:
            self._member.update_seeds(seeds)

    async def _run_memberships(self) -> None:
        """Take part in the group; rejoin as a new member after a removal.

        A member that leaves because it ends does not rejoin.
        """
        while True:
            try:
                await self._run_until_removed()
                if self._is_leaving:
                    return
            except consensus.StorageFailedError as error:
                _log.error(
                    telemetry.format_event('disk_failed', reason=str(error))
                )
                await asyncio.sleep(DISK_RETRY_DELAY_S)
                continue
            except consensus.DirectoryUnavailableError as error:
                # Too many open files, for example. The content may be sound
                # and hold the vote of this member, so it is kept.
                _log.error(
                    telemetry.format_event('disk_failed', reason=error.detail)
                )
                await asyncio.sleep(DISK_RETRY_DELAY_S)
                continue
            except errors.DamagedDataError as error:
                # The other members have the state of this one, so it rejoins
                # as a new member, as after a lost disk.
                _log.error(
                    telemetry.format_event('data_damaged', reason=error.detail)
                )
            consensus.clear_directory(self._options.data_dir)
            _log.info(telemetry.format_event('member_rejoins'))
            await asyncio.sleep(REJOIN_DELAY_S)

    async def _run_until_removed(self) -> None:
        """Run one membership; return when the group has removed it."""
        options = self._options
        member_id = consensus.load_or_assign_member_id(
            options.data_dir, options.host
        )
        self.catalog.reset()
        member = consensus.Member(
            consensus.MemberSettings(
                member_id=member_id,
                region=options.region,
                address=options.advertise or options.listen,
                data_dir=options.data_dir,
                members={},
                election_min_s=ELECTION_TIMEOUT_MIN_S,
                election_max_s=ELECTION_TIMEOUT_MAX_S,
                discovery=consensus.DiscoverySettings(
                    host=options.host,
                    failure_domain=options.failure_domain,
                    seeds=self._seeds,
                    wanted_voters=options.wanted_voters,
                    first_start=options.first_start,
                ),
            ),
            self.catalog,
        )
        async with member:
            self._member = member
            try:
                await self._wait_until_removed(member)
            finally:
                self._member = None

    async def _wait_until_removed(self, member: consensus.Member) -> None:
        failed = asyncio.ensure_future(member.wait_failed())
        retired = asyncio.ensure_future(member.wait_removed())
        try:
            await asyncio.wait(
                (failed, retired), return_when=asyncio.FIRST_COMPLETED
            )
            if failed.done():
                failed.result()
        finally:
            failed.cancel()
            retired.cancel()

    # Requests of other processes

    async def handle(self, message: wire.Message) -> wire.Message:
        """Answer a request to the RPC server of the member."""
        match message:
            case wire.CatalogCommand():
                return await self._handle_command(message)
            case wire.TargetRenewal(targets=targets):
                self._arrivals.require_recent(RENEWAL_TIMEOUT_S)
                self._target_leases.renew(self._now(), targets)
                return wire.Ok()
            case wire.EntryPoll():
                is_current = None
                if message.asks_current:
                    is_current = (
                        self.has_leader()
                        and await self._currency.prove(CURRENCY_TIMEOUT_S)
                    )
                return self._entry_answers.answer_poll(
                    self._now(), message, self._view_group(), is_current
                )
            case wire.PermitRequest():
                return self._entry_answers.issue_permits(
                    self._now(), self._require_term(), message
                )
            case wire.RelayRequest():
                return wire.RelayResponse(
                    entries=self._entry_answers.entry_registry.find_relays(
                        self._now(), message.entry, message.region
                    )
                )
            case wire.SuspectReport():
                return self._entry_answers.suspect_registry.answer(
                    self._now(), self._require_term(), message
                )
        if self._member is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE, 'the member is starting'
            )
        return await self._member.handle(message)

    def _require_term(self) -> int:
        """Return the term of this leader.

        Raises `errors.NotLeaderError` if this member does not lead.
        """
        if self._member is None or not self.is_leader():
            raise errors.NotLeaderError()
        return self._member.status().term

    def _view_group(self) -> _entry_answers.GroupView:
        status = self._member.status() if self._member else None
        leads = status is not None and self.is_leader()
        own_address = self._options.advertise or self._options.listen
        return _entry_answers.GroupView(
            members=[info.address for info in status.members]
            if status
            else [],
            leader=own_address if leads else self._find_leader_address() or '',
            led_term=status.term if status and leads else None,
        )

    def find_entries(
        self, region: ids.RegionName, domain: ids.DomainName, limit: int
    ) -> list[str]:
        """Return the addresses of the entries that a caller should use."""
        return self._entry_answers.entry_registry.find_entries(
            self._now(), region, domain, limit
        )

    # Commands

    def make_call(
        self,
        is_wanted: Callable[[], bool] = _pending_calls.is_wanted_always,
        timeout_s: float = COMMAND_TIMEOUT_S,
    ) -> _pending_calls.PendingCall:
        """Return the call whose bytes have just been read.

        `is_wanted` tells whether its sender still waits for the answer.
        """
        return _pending_calls.PendingCall(
            self._arrivals.get_earliest() + timeout_s, is_wanted
        )

    async def wait_until_current(
        self, call: _pending_calls.PendingCall | None = None
    ) -> None:
        """Wait until this member has applied all commands accepted so far.

        Raises `errors.FulmarseamError` with `UNAVAILABLE` when that takes
        too long, and like `submit`.
        """
        result = await self.submit(catalog.ReadRevision(), call=call)
        call = call or self.make_call()
        while self.catalog.revision < result.revision:
            if call.get_left_s() <= 0.0:
                raise errors.FulmarseamError(
                    errors.ErrorKind.UNAVAILABLE,
                    f'found revision {self.catalog.revision}, expected '
                    f'{result.revision}',
                )
            await asyncio.sleep(COMMAND_RETRY_PAUSE_S)

    async def submit(
        self,
        command: catalog.Command,
        timeout_s: float = COMMAND_TIMEOUT_S,
        call: _pending_calls.PendingCall | None = None,
    ) -> wire.CatalogResult:
        """Replicate a command and return its result.

        Without `call`, it is a command of this member, which may be carried
        out for `timeout_s`. Commands are idempotent, so one with an unknown
        outcome is retried, until `call` is stale. Raises
        `errors.FulmarseamError` with `UNAVAILABLE` when there is no result
        in time; the command may still be applied later, but before any that
        is accepted after `call` has ended. Raises it with `CALLER_GONE` when
        the sender has gone.
        """
        data = catalog.encode_command(command)
        call = call or self.make_call(timeout_s=timeout_s)
        call.check()
        reason = 'no leader is known'
        while (left_s := call.get_left_s()) > 0.0:
            call.check()
            try:
                async with asyncio.timeout(left_s):
                    return await self._send_to_leader(data, call)
            except TimeoutError:
                reason = 'no result in time'
            except errors.FulmarseamError as error:
                if error.kind is errors.ErrorKind.CALLER_GONE:
                    raise
                reason = error.detail
            await asyncio.sleep(COMMAND_RETRY_PAUSE_S)
        raise errors.FulmarseamError(errors.ErrorKind.UNAVAILABLE, reason)

    async def put_items(
        self,
        items: Sequence[wire.Item],
        digest: bytes,
        call: _pending_calls.PendingCall,
    ) -> wire.CatalogResult:
        """Replicate the items of an operator's call; raises like `submit`.

        A large call is several commands. It is checked as a whole before the
        first of them, so that no part of an invalid call comes into force.
        It goes on if its sender leaves, who resends it to another member:
        versions order the items, and what a resend repeats is known. Raises
        `errors.FulmarseamError` with `BODY_TOO_LARGE` if an item is too
        large.
        """
        parts = _item_parts.split_call(items, digest)
        if len(parts) > 1:
            await self.wait_until_current(call)
            problems = self.catalog.find_call_problems(items, digest)
            if problems:
                return wire.CatalogResult(
                    revision=self.catalog.revision, problems=problems
                )
            call = call.detach(len(items) * ITEM_TIMEOUT_S)
        for part in parts:
            result = await self.submit(part, call=call)
            if result.problems:
                break
        return result

    async def _send_to_leader(
        self, data: bytes, call: _pending_calls.PendingCall
    ) -> wire.CatalogResult:
        """Send a command to the leader, which may be this member."""
        if self.is_leader():
            return await self._propose(data)
        address = self._find_leader_address()
        if address is None:
            raise errors.NotLeaderError()
        if data == _READ_REVISION:
            # A read that comes late does no harm.
            return await self._forward(
                address, wire.CatalogCommand(command=data)
            )
        clock = await self._forward(
            address,
            wire.CatalogCommand(
                # A leader of the previous release carries this out.
                command=_READ_REVISION,
                asks_clock=True,
            ),
        )
        call.check()
        if not clock.clock_ms:
            return await self._forward(
                address, wire.CatalogCommand(command=data)
            )
        # The leader read its clock before it answered, so the time left
        # from now on ends too early by that delay, never too late.
        left_ms = int(call.get_left_s() * 1_000)
        return await self._forward(
            address,
            wire.CatalogCommand(
                command=data,
                term=clock.term,
                expires_ms=clock.clock_ms + left_ms,
            ),
        )

    async def _forward(
        self, address: str, message: wire.CatalogCommand
    ) -> wire.CatalogResult:
        answer = await self._clients.call(address, message, FORWARD_TIMEOUT_S)
        if isinstance(answer, wire.CatalogResult):
            return answer
        raise errors.FulmarseamError(
            errors.ErrorKind.UNAVAILABLE,
            f'{address}: {getattr(answer, "detail", type(answer).__name__)}',
        )

    async def _handle_command(
        self, message: wire.CatalogCommand
    ) -> wire.CatalogResult:
        """Carry out a command that another member has forwarded in time."""
        if message.asks_clock:
            return wire.CatalogResult(
                revision=self.catalog.revision,
                problems=[],
                term=self._require_term(),
                clock_ms=_pending_calls.read_clock_ms(),
            )
        if message.expires_ms:
            _pending_calls.check_forwarded(
                message.term, message.expires_ms, self._require_term()
            )
        return await self._propose(message.command)

    async def _propose(self, data: bytes) -> wire.CatalogResult:
        """Append a command to the log, unless it must have no effect.

        Raises `errors.NotLeaderError` if this member does not lead, as
        confirmed by a majority: it may lack what that depends on.
        """
        if self._member is None or not self.is_leader():
            raise errors.NotLeaderError()
        command = catalog.decode_command(data)
        problems = self._admission.find_problems(
            self._now(), self.catalog, command
        )
        if problems is not None:
            return wire.CatalogResult(
                revision=self.catalog.revision, problems=problems
            )
        await self._drop_unused_owners(self._member, command)
        with self._admission.track(command):
            result = catalog.decode_result(await self._member.propose(data))
        self._admission.note_applied(self._now(), command)
        return result

    async def _drop_unused_owners(
        self, member: consensus.Member, command: catalog.Command
    ) -> None:
        """Drop targets without a pool in force at addresses of usable ones.

        One that is younger than the usable target would keep the address.
        """
        if not isinstance(command, catalog.AnnounceTargets):
            return
        owners = [
            owner
            for record in command.records
            if (owner := self.catalog.find_unused_owner(record)) is not None
        ]
        for removal in catalog.make_removals(owners):
            await member.propose(catalog.encode_command(removal))

    def is_leader(self) -> bool:
        """Return whether this member leads, as confirmed by a majority."""
        return (
            self._member is not None
            and self._member.leadership_age() is not None
        )

    def _find_leader_address(self) -> str | None:
        """Return the address of the leader that this member follows."""
        if self._member is None:
            return None
        status = self._member.status()
        for info in status.members:
            if info.member == status.leader != status.member_id:
                return info.address
        return None

    def status(self) -> consensus.MemberStatus:
        """Return this member's view of the group.

        Raises `errors.FulmarseamError` with `UNAVAILABLE` while the member
        is starting.
        """
        if self._member is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE, 'the member is starting'
            )
        return self._member.status()

    def has_leader(self) -> bool:
        """Return whether this member leads or follows a leader."""
        return self.is_leader() or self._find_leader_address() is not None

    # Targets

    async def announce(
        self,
        record: wire.TargetRecord,
        call: _pending_calls.PendingCall | None = None,
    ) -> None:
        """Record the announcement of a target.

        Returns once a change is committed. Raises `errors.FulmarseamError`
        with `UNAVAILABLE` when this member has no leader, so that the target
        announces itself to another member, and like `submit`.
        """
        call = call or self.make_call()
        call.check()
        if not self.has_leader():
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE, 'no leader is known'
            )
        if await self._would_displace(record, call):
            self._note_ignored(record, catalog.AnnouncementState.POOL_UNKNOWN)
            return
        current = self.catalog.targets.get(record.target)
        is_change = self._heartbeat_tracker.record(
            self._now(), current, record
        )
        if not is_change:
            return
        state = self.catalog.classify(record)
        if (
            state is catalog.AnnouncementState.ADDRESS_TAKEN
            and record.phase is wire.TargetPhase.DRAINING
        ):
            # The drain is a promise that outlasts the claim to the address.
            await self.leave(record.target, record.born_ms, call)
            return
        if state is catalog.AnnouncementState.NEWER:
            result = await self.submit(
                catalog.AnnounceTargets(records=[record]), call=call
            )
            if result.problems:
                state = self._classify_refused(record)
        if state is not catalog.AnnouncementState.NEWER:
            self._note_ignored(record, state)
            return
        _log.info(
            telemetry.format_event(
                'target_state',
                target=record.target,
                pool=record.pool,
                address=record.address,
                phase=record.phase.value,
                born=record.born_ms,
                sequence=record.sequence,
                cold_ms=record.cold_ms,
                previous=_get_phase_name(current),
            )
        )

    async def _would_displace(
        self, record: wire.TargetRecord, call: _pending_calls.PendingCall
    ) -> bool:
        """Return whether an announcement would displace a usable target.

        This member may not have applied the pool yet that it names.
        """
        if self.catalog.find_displaced(record) is None:
            return False
        await self.wait_until_current(call)
        return self.catalog.find_displaced(record) is not None

    def _classify_refused(
        self, record: wire.TargetRecord
    ) -> catalog.AnnouncementState:
        """Return why the leader kept an announcement out of the log."""
        if self.catalog.items.has_pool(record.pool):
            return catalog.AnnouncementState.UNCONFIRMED
        return catalog.AnnouncementState.POOL_UNKNOWN

    def _note_ignored(
        self, record: wire.TargetRecord, state: catalog.AnnouncementState
    ) -> None:
        """Record an announcement that is acknowledged and changes nothing."""
        self.metrics.add('announcements_ignored_total', reason=state.value)
        _log.info(
            telemetry.format_event(
                'announcement_ignored',
                target=record.target,
                phase=record.phase.value,
                born=record.born_ms,
                sequence=record.sequence,
                reason=state.value,
            )
        )

    async def leave(
        self,
        target: ids.TargetId,
        born_ms: int,
        call: _pending_calls.PendingCall | None = None,
    ) -> None:
        """Record that a target has left; raises like `announce`.

        `born_ms` 0 means the incarnation in force when the call arrived, or
        the last one known. The command names it, so that it cannot end a
        later one. It is recorded also for a target that is not in the
        catalog, as its announcements may still be under way.
        """
        call = call or self.make_call()
        if not born_ms:
            await call.confirm()
            await self.wait_until_current(call)
            born_ms = self.catalog.targets.find_incarnation(target)
        born_ms = max(born_ms, catalog.UNNAMED_BORN_MS)
        previous = _get_phase_name(self.catalog.targets.get(target))
        await self.submit(
            catalog.LeaveTarget(target=target, born_ms=born_ms), call=call
        )
        _log.info(
            telemetry.format_event(
                'target_state',
                target=target,
                phase='gone',
                born=born_ms,
                previous=previous,
            )
        )

    async def evacuate(
        self,
        domain: ids.DomainName,
        active: bool,
        call: _pending_calls.PendingCall | None = None,
    ) -> wire.CatalogResult:
        """Start or end the evacuation of a failure domain.

        Nothing orders these commands but their arrival. Raises like `submit`.
        """
        call = call or self.make_call()
        await call.confirm()
        return await self.submit(
            catalog.EvacuateDomain(failure_domain=domain, active=active),
            call=call,
        )

    async def _forward_renewals(self) -> None:
        """Forward renewals to the leader, or drop silent targets as leader."""
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            renewed = self._heartbeat_tracker.take_renewed()
            status = self._member.status() if self._member else None
            self._clients.close_all_except(
                {info.address for info in status.members} if status else ()
            )
            if self.is_leader():
                self._target_leases.renew(self._now(), renewed)
                self._entry_answers.suspect_registry.expire(self._now())
                await self._drop_expired_targets()
                continue
            self._target_leases.clear()
            address = self._find_leader_address()
            if address is None or not renewed:
                continue
            with contextlib.suppress(errors.FulmarseamError):
                # A lost renewal is made up by the next announcement.
                await self._clients.call(
                    address,
                    wire.TargetRenewal(targets=renewed),
                    RENEWAL_TIMEOUT_S,
                )

    async def _drop_expired_targets(self) -> None:
        expired = self._find_expired_targets()
        if not expired:
            return
        try:
            await asyncio.gather(
                *map(self.submit, catalog.make_removals(expired))
            )
        except errors.FulmarseamError as error:
            _log.warning(
                telemetry.format_event(
                    'targets_not_dropped', reason=error.detail
                )
            )
            return
        _log.info(
            telemetry.format_event(
                'targets_dropped',
                targets=','.join(record.target for record in expired),
                draining=','.join(
                    record.target
                    for record in expired
                    if record.phase is wire.TargetPhase.DRAINING
                ),
            )
        )

    def _find_expired_targets(self) -> list[wire.TargetRecord]:
        """Return the records of silent targets.

        A target that has just announced a drain, which is in the log but not
        applied, still has the record of before and must not be dropped.
        """
        records = {
            record.target: record for record in self.catalog.targets.all()
        }
        announced = self._admission.list_announced()
        return [
            records[target]
            for target, _ in self._target_leases.find_expired(
                self._now(), records
            )
            if target not in announced
        ]


def _get_phase_name(record: wire.TargetRecord | None) -> str:
    """Return the phase of a target for a log line."""
    return 'none' if record is None else record.phase.value
