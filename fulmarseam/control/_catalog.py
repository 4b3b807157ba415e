"""A control member of a catalog group.

Every member takes announcements, polls of entries and orders. What has to
be agreed on goes through the log of the leader; who is there at the moment
is known to each member by itself.
"""

import asyncio
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

# A member that hears no leader for the first time asks for votes; two ask
# at the same moment less often the further both are apart. Heartbeats come
# each 0.1 s and take up to 40 ms there and back.
ELECTION_MIN_S = 0.4
ELECTION_MAX_S = 0.8
# Operators and targets wait 1 s for an answer. An order that has no result
# by then is sent again to another member.
ORDER_TIMEOUT_S = 0.9
FORWARD_TIMEOUT_S = 0.6
# Pause before an order is offered again, while there is no leader.
ORDER_PAUSE_S = 0.05
RENEWAL_INTERVAL_S = 0.5
RENEWAL_TIMEOUT_S = 0.4
# A target is dropped after this many missed announcements and a margin for
# one that is late.
MISSED_HEARTBEATS = 3
HEARTBEAT_MARGIN_S = 1.0
# Pause before a member whose disk refused a write opens it again. A full
# disk stays so for seconds.
DISK_PAUSE_S = 0.5
# Pause before a member takes part again under a new identity.
REJOIN_PAUSE_S = 0.1

_log = logbook.Logger('control')


class CatalogMember:
    """A member of the group that holds the catalog; a context manager::

    async with CatalogMember(options) as member:
        result = await member.submit(catalog.PutItems(...))
    """

    def __init__(self, options: settings.CatalogSettings) -> None:
        self._options = options
        self._seeds = options.list_peers()
        self._loop = asyncio.get_running_loop()
        self.catalog = catalog.Catalog()
        self.entry_registry = catalog.EntryRegistry()
        self.metrics = telemetry.Metrics()
        self._heartbeats = catalog.HeartbeatTracker()
        self._silences = catalog.TargetLeases(
            MISSED_HEARTBEATS * options.heartbeat + HEARTBEAT_MARGIN_S
        )
        self._clients = transport.RpcClients()
        self._member: consensus.Member | None = None
        self._stack = contextlib.AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        # Gets the exception of work that must never end.
        self.failed: asyncio.Future[None] = self._loop.create_future()
        self._observe()

    def _observe(self) -> None:
        """Register the gauges of the metrics page."""
        register_gauge = self.metrics.register_gauge
        register_gauge('revision', lambda: self.catalog.revision)
        register_gauge('targets', lambda: len(self.catalog.targets.all()))
        register_gauge(
            'entries', lambda: self.entry_registry.count_senders(self._now())
        )
        register_gauge('leads', lambda: self.leads())
        register_gauge('term', lambda: self._status_value('term'))
        register_gauge(
            'commit_index', lambda: self._status_value('commit_index')
        )

    def _status_value(self, name: str) -> float:
        if self._member is None:
            return 0.0
        return float(getattr(self._member.status(), name))

    def _now(self) -> float:
        return time.monotonic()

    # Life

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self._clients)
        server = transport.RpcServer(self._options.listen, self.handle)
        await self._stack.enter_async_context(server)
        for work in (
            self._take_part(),
            self._pass_renewals(),
        ):
            task = asyncio.create_task(work)
            task.add_done_callback(self._note_end)
            self._tasks.append(task)
        return self

    def _note_end(self, task: asyncio.Task[None]) -> None:
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
        await self._stack.aclose()

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seeds from the next search for the group on."""
        self._seeds = seeds

    async def _take_part(self) -> None:
        """Take part in the group; again as a new member when removed."""
        while True:
            try:
                await self._run_member()
            except consensus.StorageFailedError as error:
                _log.error(
                    telemetry.format_event('disk_failed', reason=str(error))
                )
                await asyncio.sleep(DISK_PAUSE_S)
                continue
            except errors.DamagedDataError as error:
                # What the directory held is with the other members; this
                # one goes on as a new member, like after a lost disk.
                _log.error(
                    telemetry.format_event('data_damaged', reason=error.detail)
                )
            consensus.clear_directory(self._options.data_dir)
            _log.info(telemetry.format_event('member_rejoins'))
            await asyncio.sleep(REJOIN_PAUSE_S)

    async def _run_member(self) -> None:
        """Return when the group has removed this member."""
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
                election_min_s=ELECTION_MIN_S,
                election_max_s=ELECTION_MAX_S,
                discovery=consensus.DiscoverySettings(
                    host=options.host,
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
                await self._wait_for_end(member)
            finally:
                self._member = None

    async def _wait_for_end(self, member: consensus.Member) -> None:
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

    # Calls of other processes

    async def handle(self, message: wire.Message) -> wire.Message:
        """Answer a call; the handler of the member's RPC server."""
        match message:
            case wire.CatalogCommand(command=command):
                return await self._propose(command)
            case wire.TargetRenewal(targets=targets):
                self._silences.renew(self._now(), targets)
                return wire.Ok()
            case wire.EntryPoll():
                return self._answer_poll(message)
        if self._member is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE, 'the member is starting'
            )
        return await self._member.handle(message)

    def _answer_poll(self, poll: wire.EntryPoll) -> wire.EntryPollResponse:
        now = self._now()
        if self.entry_registry.record_poll(now, poll):
            _log.info(
                telemetry.format_event(
                    'entry_state',
                    entry=poll.entry,
                    state=poll.state.value,
                    incarnation=poll.incarnation,
                )
            )
        changes = None
        if poll.wants_changes and poll.revision < self.catalog.revision:
            changes = self.catalog.list_changes(
                poll.revision, poll.removals_revision
            )
        members = self._member.status().members if self._member else ()
        return wire.EntryPollResponse(
            revision=self.catalog.revision,
            changes=changes,
            members=[info.address for info in members],
            entry_count=self.entry_registry.count_senders(now),
        )

    def find_entries(
        self, region: ids.RegionName, domain: ids.DomainName, limit: int
    ) -> list[str]:
        """Return the addresses of the entries that a caller should use."""
        return self.entry_registry.find_entries(
            self._now(), region, domain, limit
        )

    # Orders

    async def wait_until_current(self) -> None:
        """Wait until this member holds everything accepted before the call.

        Raises `errors.FulmarseamError` with `UNAVAILABLE` when that is not
        known in time.
        """
        result = await self.submit(catalog.ReadRevision())
        deadline = self._now() + ORDER_TIMEOUT_S
        while self.catalog.revision < result.revision:
            if self._now() >= deadline:
                raise errors.FulmarseamError(
                    errors.ErrorKind.UNAVAILABLE,
                    f'found revision {self.catalog.revision}, expected '
                    f'{result.revision}',
                )
            await asyncio.sleep(ORDER_PAUSE_S)

    async def submit(
        self, command: catalog.Command, timeout_s: float = ORDER_TIMEOUT_S
    ) -> wire.CatalogResult:
        """Have a command agreed on and return its result.

        Commands may be applied twice without harm, so one whose fate is
        unknown is offered again. Raises `errors.FulmarseamError` with
        `UNAVAILABLE` when there is no result in time; the command may
        still come into force then.
        """
        data = catalog.encode_command(command)
        deadline = self._now() + timeout_s
        reason = 'no leader is known'
        while (left_s := deadline - self._now()) > 0.0:
            try:
                async with asyncio.timeout(left_s):
                    return await self._offer(data)
            except TimeoutError:
                reason = 'no result in time'
            except errors.FulmarseamError as error:
                reason = error.detail
            await asyncio.sleep(ORDER_PAUSE_S)
        raise errors.FulmarseamError(errors.ErrorKind.UNAVAILABLE, reason)

    async def _offer(self, data: bytes) -> wire.CatalogResult:
        """Pass a command to the leader, which may be this member."""
        if self.leads():
            return await self._propose(data)
        address = self._find_leader()
        if address is None:
            raise errors.NotLeaderError()
        answer = await self._clients.call(
            address, wire.CatalogCommand(command=data), FORWARD_TIMEOUT_S
        )
        if isinstance(answer, wire.CatalogResult):
            return answer
        raise errors.FulmarseamError(
            errors.ErrorKind.UNAVAILABLE,
            f'{address}: {getattr(answer, "detail", type(answer).__name__)}',
        )

    async def _propose(self, data: bytes) -> wire.CatalogResult:
        if self._member is None:
            raise errors.NotLeaderError()
        return catalog.decode_result(await self._member.propose(data))

    def leads(self) -> bool:
        """Return whether this member is the leader for certain."""
        return (
            self._member is not None
            and self._member.leadership_age() is not None
        )

    def _find_leader(self) -> str | None:
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

    def follows_group(self) -> bool:
        """Return whether this member leads or follows a leader."""
        return self.leads() or self._find_leader() is not None

    # Targets

    async def announce(self, record: wire.TargetRecord) -> None:
        """Take the announcement of a target.

        Returns when all members will know of a change. Raises
        `errors.FulmarseamError` with `UNAVAILABLE` when this member is
        without the group, so that the target turns to another one.
        """
        if not self.follows_group():
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE, 'no leader is known'
            )
        known = self.catalog.targets.get(record.target)
        is_change = self._heartbeats.record(self._now(), known, record)
        if not is_change or not self.catalog.targets.is_newer(record):
            return
        await self.submit(catalog.AnnounceTargets(records=[record]))
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
            )
        )

    async def leave(self, target: ids.TargetId, born_ms: int) -> None:
        """Take the last word of a target; raises like `announce`."""
        await self.submit(catalog.LeaveTarget(target=target, born_ms=born_ms))
        _log.info(
            telemetry.format_event(
                'target_state', target=target, phase='gone', born=born_ms
            )
        )

    async def _pass_renewals(self) -> None:
        """Tell the leader who is alive; as the leader, drop who is not."""
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            renewed = self._heartbeats.take_renewed()
            status = self._member.status() if self._member else None
            self._clients.close_all_except(
                {info.address for info in status.members} if status else ()
            )
            if self.leads():
                self._silences.renew(self._now(), renewed)
                await self._drop_silent()
                continue
            self._silences.clear()
            address = self._find_leader()
            if address is None or not renewed:
                continue
            with contextlib.suppress(errors.FulmarseamError):
                # The next announcement of each target is passed on again.
                await self._clients.call(
                    address,
                    wire.TargetRenewal(targets=renewed),
                    RENEWAL_TIMEOUT_S,
                )

    async def _drop_silent(self) -> None:
        known = {
            record.target: record for record in self.catalog.targets.all()
        }
        silent = self._silences.find_expired(self._now(), known)
        if not silent:
            return
        try:
            await self.submit(catalog.DropTargets(targets=silent))
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
                targets=','.join(target for target, _ in silent),
            )
        )
