"""A member, which connects a replica to files, clock and transport."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import os
import sys
import time
from typing import Any
from typing import Self

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.consensus import _core
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_types
from fulmarseam.consensus import _interface
from fulmarseam.consensus import _repair
from fulmarseam.consensus import _runtime_binding
from fulmarseam.consensus import _runtime_driver
from fulmarseam.consensus import _runtime_inputs
from fulmarseam.consensus import _storage
from fulmarseam.consensus import _substitution

# Sending a larger command would delay heartbeats.
MAX_COMMAND_BYTES = 4 * 1024 * 1024

# How often the leader checks for members to replace, and how often a member
# without a leader asks the others whether it was removed. Both are short
# compared with the 4 s within which a replacement has to become a voter.
REPAIR_INTERVAL_S = 0.1
REMOVAL_CHECK_INTERVAL_S = 0.3
# How often the leader tells silent members where the group is.
ANNOUNCE_INTERVAL_S = 0.5
# How often a member that leaves asks the leader whether it has been removed.
LEAVE_INTERVAL_S = 0.05
REPAIR_EVENTS: Mapping[type[_repair.Repair], str] = {
    _repair.AddLearner: 'member_added',
    _repair.RemoveMember: 'member_removed',
    _repair.DemoteMember: 'member_demoted',
    _repair.RestoreMember: 'member_restored',
}

_log = logbook.Logger('consensus')


class Member:
    """A member of the control group.

    The owner serves RPC on the member's address and passes the messages
    of `PEER_MESSAGES` to `handle`; the member calls its peers itself::

        member = consensus.Member(settings, state_machine)
        async with member, transport.RpcServer(address, member.handle):
            result = await member.propose(b'command')

    At the first start the group waits until all initial members are up. An
    exception from the state machine, or a failed write or sync, ends the
    process; with `discovery`, a failed write or sync ends only the member.
    """

    def __init__(
        self,
        settings: _interface.MemberSettings,
        state_machine: _interface.StateMachine,
    ) -> None:
        self._settings = settings
        self._member_id = settings.member_id
        self._storage = _storage.Storage(settings.data_dir, self._member_id)
        self._driver = _runtime_driver.Driver(
            settings, state_machine, self._storage
        )
        self._binding = _runtime_binding.GroupBinding(
            settings, self._storage, self._driver.start
        )
        self._leaving = _repair.LeavingMembers()
        self._failure: Exception | None = None
        self._failed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        # Tests replace this, since they must survive a failed sync.
        self._exit: Callable[[int], Any] = os._exit

    async def __aenter__(self) -> Self:
        """Read the data directory and start to take part in the group.

        Raises `errors.DamagedDataError` when the directory cannot be used,
        and `errors.FulmarseamError` with `UNAVAILABLE` when another process
        uses it.
        """
        try:
            self._binding.open()
        except BaseException as error:
            self._storage.close()
            if isinstance(error, _storage.StorageFailedError):
                self._handle_storage_failure(error)
            raise
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._driver.stop()
        self._storage.close()

    async def _run(self) -> None:
        tasks: list[asyncio.Task[None]] = []
        try:
            await self._binding.run()
            if self._settings.discovery is not None:
                tasks = [
                    asyncio.create_task(
                        self._run_repairs(self._settings.discovery)
                    ),
                    asyncio.create_task(self._run_announcements()),
                ]
            await self._driver.run()
        except errors.FulmarseamError as error:
            self._fail(error)
        except _storage.StorageFailedError as error:
            self._handle_storage_failure(error)
        except Exception as error:
            self._end_process(error)
        finally:
            for task in tasks:
                task.cancel()

    async def _run_repairs(
        self, discovery: _interface.DiscoverySettings
    ) -> None:
        """Replace lost members while this member leads."""
        silences = _repair.SilenceTracker()
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            replica = self._driver.replica
            if replica is None or replica.leading_term is None:
                silences.clear()
                continue
            now = time.monotonic()
            last_responses = replica.last_response_times()
            change = _repair.plan_repair(
                self._member_id,
                replica.members,
                silences.update(now, last_responses),
                self._binding.candidates.list_recent(now),
                discovery.wanted_voters,
                self._leaving.list_recent(now),
                _repair.list_silent(now, last_responses),
            )
            if change is not None:
                await self._apply_repair(replica, change)

    async def _run_announcements(self) -> None:
        """Tell silent members where the group is while this member leads.

        A host that has lost its disk searches for the group at its seeds,
        and those may all have been lost or replaced.
        """
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            replica = self._driver.replica
            if replica is not None and replica.leading_term is not None:
                silent = _repair.list_silent(
                    time.monotonic(), replica.last_response_times()
                )
                await self._binding.announce_group(replica.members, silent)

    async def _apply_repair(
        self, replica: _core.Replica, change: _repair.Repair
    ) -> None:
        try:
            await self._propose_change(
                lambda now: _repair.apply_repair(replica, now, change)
            )
        except errors.FulmarseamError as error:
            # The next plan, made from the new state, tries again.
            _log.info(
                telemetry.format_event(
                    'member_change_refused',
                    member=change.member,
                    reason=error.detail,
                )
            )
            return
        _log.info(
            telemetry.format_event(
                REPAIR_EVENTS[type(change)], member=change.member
            )
        )

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Search for the group at other seeds from now on.

        Which member founds a group is still decided by the first seeds.
        """
        self._binding.update_seeds(seeds)

    async def wait_removed(self) -> None:
        """Return when the group has permanently removed this member.

        A removed member receives no log any more, so it asks the others
        whether it was removed.
        """
        while True:
            if await self._binding.is_removed(self._driver.replica):
                return
            await asyncio.sleep(REMOVAL_CHECK_INTERVAL_S)

    async def leave_if_replaced(self) -> None:
        """Leave the group before the process ends, if a successor has joined.

        Until it is removed, a member that has ended counts as a voter, so
        the group would tolerate the loss of one member less. If the
        successor is in another failure domain, this member only gives its
        vote to the one that was demoted there. Returns when that is
        committed, or when there is no reason to leave.
        """
        while (replica := self._driver.replica) is not None:
            if replica.is_retired(replica.committed_members):
                return
            if not self._is_leaving(replica):
                return
            if replica.leader == self._member_id:
                self._leaving.add(time.monotonic(), self._member_id)
            elif await self._is_leave_settled(replica):
                return
            await asyncio.sleep(LEAVE_INTERVAL_S)

    def _is_leaving(self, replica: _core.Replica) -> bool:
        """Return whether this member may leave or is under removal."""
        discovery = self._settings.discovery
        if discovery is None:
            return False
        members = replica.members
        is_listed = _core_members.find_member(members, self._member_id)
        return (
            is_listed is None
            or _repair.can_leave(
                members, self._member_id, discovery.wanted_voters
            )
            or _substitution.is_handing_over(
                replica.committed_members.members,
                self._member_id,
                discovery.wanted_voters,
            )
        )

    async def _is_leave_settled(self, replica: _core.Replica) -> bool:
        """Ask the leader for the removal; return whether to stop asking."""
        if replica.leader is None:
            return False
        info = _core_members.find_member(replica.members, replica.leader)
        if info is None:
            return False
        answer = await self._binding.query_identity(info.address, leaving=True)
        if answer is None or answer.group != self._binding.group:
            return False
        # A leader of the release before removes silent members only.
        return answer.committed is None or replica.is_retired(answer.committed)

    def _fail(self, error: Exception) -> None:
        """Stop taking part and report the reason through `wait_failed`."""
        if self._failure is not None:
            return
        self._failure = error
        self._driver.fail_pending()
        self._failed.set()
        _log.error(telemetry.format_event('member_failed', reason=str(error)))

    def _handle_storage_failure(
        self, error: _storage.StorageFailedError
    ) -> None:
        """End the process, or with `discovery` only this member.

        With `discovery` the owner opens the member again. In both cases the
        files are read again before the member takes part again, and data
        that was not synced counts as never written.
        """
        if self._settings.discovery is None:
            self._end_process(error)
        else:
            self._fail(error)

    def _end_process(self, error: Exception) -> None:
        """End the process at once, without cleanup that could write."""
        _log.critical(
            telemetry.format_event('process_ended', reason=repr(error))
        )
        print(f'error: {error!r}', file=sys.stderr, flush=True)
        self._fail(error)
        self._exit(errors.ANSWERS[errors.ErrorKind.INTERNAL].exit_code)

    async def handle(self, message: wire.Message) -> wire.Message:
        """Answer a message of a type in `PEER_MESSAGES`.

        Raises `errors.FulmarseamError` for a message that cannot be
        answered, which the RPC server turns into `wire.Failure`.
        """
        match message:
            case wire.IdentityRequest():
                now = time.monotonic()
                if message.candidate is not None:
                    self._binding.candidates.add(
                        now, message.candidate, message.is_first_start
                    )
                if message.leaving:
                    self._leaving.add(now, message.sender)
                self._binding.add_addresses(message.group_addresses)
                return self._describe_identity()
            case wire.MemberRequest():
                self._check_recipient(message)
                body = await self._driver.queue_request(
                    message.sender, message.body
                )
                return wire.MemberResponse(sender=self._member_id, body=body)
            case _:
                raise errors.WireError(
                    f'found {type(message).__name__}, expected a message '
                    'between members'
                )

    def _check_recipient(self, message: wire.MemberRequest) -> None:
        try:
            self._binding.check_recipient(message)
        except errors.DamagedDataError as error:
            self._fail(error)
            if self._task is not None:
                self._task.cancel()
            raise
        except _storage.StorageFailedError as error:
            self._handle_storage_failure(error)
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE, str(error)
            ) from error

    def _describe_identity(self) -> wire.IdentityResponse:
        founding = self._binding.identity.founding
        replica = self._driver.replica
        return wire.IdentityResponse(
            member=self._member_id,
            store=self._binding.identity.store_id,
            group=founding.group if founding else '',
            members=replica.members if replica else wire.GroupMembers(),
            founding=founding,
            committed=replica.committed_members if replica else None,
            may_found=self._binding.may_found,
        )

    async def propose(self, command: bytes) -> bytes:
        """Append a command and return the result of applying it.

        Raises `errors.NotLeaderError` if nothing was appended,
        `errors.ProposalUncertainError` if the entry may still be committed,
        and `errors.FulmarseamError`, with nothing appended, of kind
        `UNAVAILABLE` if too many proposals are pending and of kind
        `BODY_TOO_LARGE` if the command exceeds `MAX_COMMAND_BYTES`.
        Cancelling the call does not withdraw the command.
        """
        replica = self._require_leader()
        if len(command) > MAX_COMMAND_BYTES:
            raise errors.FulmarseamError(
                errors.ErrorKind.BODY_TOO_LARGE,
                f'command: found {len(command)} bytes, expected at most '
                f'{MAX_COMMAND_BYTES}',
            )
        queued = (
            len(self._driver.inputs.proposals)
            + self._driver.pending_results.proposal_count
        )
        if queued >= _runtime_inputs.MAX_PENDING_PROPOSALS:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'found {queued} pending proposals in term {replica.term}, '
                'expected fewer than the limit',
            )
        result: asyncio.Future[bytes] = self._make_future()
        self._driver.inputs.proposals.append(
            _runtime_inputs.Proposal(command, result)
        )
        self._driver.wake()
        return await result

    def leader(self) -> ids.MemberId | None:
        """Return the leader of the current term, or None if unknown."""
        return self._driver.replica.leader if self._driver.replica else None

    def leading_term(self) -> ids.Term | None:
        """Return the term that this member leads, or None.

        It is set only after the first entry of the term was applied, when
        the state machine has every accepted command.
        """
        return self._driver.leading_term()

    async def wait_leadership_change(
        self, previous: ids.Term | None
    ) -> ids.Term | None:
        """Wait until `leading_term` differs from `previous`; return it::

        term = None
        while True:
            term = await member.wait_leadership_change(term)
        """
        return await self._driver.wait_leadership_change(previous)

    def leadership_age(self) -> float | None:
        """Return the seconds since a majority last confirmed this leader.

        The time counts from the start of the last round that a majority
        answered. None if this member does not lead, if no entry of its term
        was applied yet, or if the time exceeds the leader lease.
        """
        if self._driver.replica is None:
            return None
        return self._driver.replica.leadership_age(time.monotonic())

    async def confirm_leadership(self) -> None:
        """Start a round and wait until a majority has answered it.

        Raises `errors.NotLeaderError` when this member does not lead.
        """
        self._require_leader()
        confirmed: asyncio.Future[None] = self._make_future()
        self._driver.inputs.confirmations.append(confirmed)
        self._driver.wake()
        await confirmed

    async def add_member(
        self, member: ids.MemberId, address: str, region: ids.RegionName
    ) -> None:
        """Add a member with an empty data directory as a learner.

        Returns when the change is committed. The learner becomes a voter
        when it has caught up; see `status`. Raises `errors.FulmarseamError`
        with `INVALID_EDIT` if the id was used before or another change is in
        progress, and the errors of `propose`.
        """
        self._require_leader()
        store = await _runtime_binding.fetch_store_id(
            self._member_id,
            self._binding.group,
            member,
            address,
            self._settings.election_max_s,
        )
        info = wire.MemberInfo(
            member=member,
            address=address,
            region=region,
            store=store,
            voter=False,
        )
        replica = self._require_leader()
        await self._propose_change(lambda now: replica.add_learner(now, info))

    async def remove_member(self, member: ids.MemberId) -> None:
        """Remove a member permanently; its id cannot be used again.

        Raises the errors of `add_member`, also `INVALID_EDIT` if no majority
        of the remaining voters is reachable.
        """
        replica = self._require_leader()
        await self._propose_change(
            lambda now: replica.remove_member(now, member)
        )

    def status(self) -> _interface.MemberStatus:
        """Return this member's view of the group."""
        replica = self._driver.replica
        return _interface.MemberStatus(
            member_id=self._member_id,
            group=self._binding.group,
            role=replica.role if replica else _core_types.Role.FOLLOWER,
            term=ids.Term(replica.term if replica else 0),
            leader=self.leader(),
            first_index=replica.first_index if replica else 0,
            last_index=replica.last_index if replica else 0,
            commit_index=replica.commit_index if replica else 0,
            snapshot_index=replica.snapshot_index if replica else 0,
            members=tuple(replica.members.members) if replica else (),
            match_indexes=dict(replica.match_indexes) if replica else {},
        )

    async def wait_failed(self) -> None:
        """Wait until the member has failed, and raise the reason.

        A daemon awaits this in the background and ends with the error. A
        failed write or sync is reported here only with `discovery`;
        otherwise it ends the process.
        """
        await self._failed.wait()
        if self._failure is not None:
            raise self._failure

    def _make_future(self) -> asyncio.Future[Any]:
        return asyncio.get_running_loop().create_future()

    def _require_leader(self) -> _core.Replica:
        replica = self._driver.replica
        if replica is None or replica.role is not _core_types.Role.LEADER:
            raise errors.NotLeaderError(self.leader())
        return replica

    async def _propose_change(self, change: _runtime_inputs.Change) -> None:
        done: asyncio.Future[None] = self._make_future()
        self._driver.inputs.changes.append(
            _runtime_inputs.ProposedChange(change, done)
        )
        self._driver.wake()
        await done
