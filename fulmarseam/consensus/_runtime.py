"""A member: the replica connected to files, clock and transport."""

import asyncio
from collections.abc import Callable
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
from fulmarseam.consensus import _core_types
from fulmarseam.consensus import _interface
from fulmarseam.consensus import _repair
from fulmarseam.consensus import _runtime_driver
from fulmarseam.consensus import _runtime_group
from fulmarseam.consensus import _runtime_inputs
from fulmarseam.consensus import _storage

# Larger commands would hold up heartbeats while they are sent.
MAX_COMMAND_BYTES = 4 * 1024 * 1024

# How often the leader looks for members to replace, and how often a member
# without a leader asks the others whether it was removed. Both are short
# beside the 4 s in which a new member has to count again.
REPAIR_INTERVAL_S = 0.1
RETIRED_CHECK_S = 0.3

_log = logbook.Logger('consensus')


class Member:
    """A member of the control group.

    The owner serves RPC on the member's address and passes the messages
    of `PEER_MESSAGES` to `handle`; the member calls its peers itself::

        member = consensus.Member(settings, machine)
        async with member, transport.RpcServer(address, member.handle):
            result = await member.propose(b'command')

    The first start of a group waits until all initial members are up. An
    exception from the machine, or a failed write or sync, ends the process.
    """

    def __init__(
        self,
        settings: _interface.MemberSettings,
        machine: _interface.StateMachine,
    ) -> None:
        self._settings = settings
        self._me = settings.member_id
        self._storage = _storage.Storage(settings.data_dir, self._me)
        self._driver = _runtime_driver.Driver(settings, machine, self._storage)
        self._binding = _runtime_group.Binding(
            settings, self._storage, self._driver.start
        )
        self._failure: Exception | None = None
        self._failed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        # Replaced by tests, which must outlive a failed sync.
        self._exit: Callable[[int], Any] = os._exit

    async def __aenter__(self) -> Self:
        """Read the data directory and start to take part.

        Raises `errors.DamagedDataError` when the directory cannot be used,
        and `errors.FulmarseamError` with `UNAVAILABLE` when another process
        uses it.
        """
        try:
            self._binding.open()
        except BaseException as error:
            self._storage.close()
            if isinstance(error, _storage.StorageFailedError):
                self._give_up_storage(error)
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
        repair: asyncio.Task[None] | None = None
        try:
            await self._binding.run()
            if self._settings.discovery is not None:
                repair = asyncio.create_task(
                    self._keep_repaired(self._settings.discovery)
                )
            await self._driver.run()
        except errors.FulmarseamError as error:
            self._fail(error)
        except _storage.StorageFailedError as error:
            self._give_up_storage(error)
        except Exception as error:
            self._end_process(error)
        finally:
            if repair is not None:
                repair.cancel()

    async def _keep_repaired(
        self, discovery: _interface.DiscoverySettings
    ) -> None:
        """Replace lost members while this one leads."""
        silences = _repair.Silences()
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            replica = self._driver.replica
            if replica is None or replica.leading_term is None:
                silences.clear()
                continue
            now = time.monotonic()
            change = _repair.plan_repair(
                self._me,
                replica.members,
                silences.update(now, replica.answer_times()),
                self._binding.candidates.list_live(now),
                discovery.wanted_voters,
            )
            if change is not None:
                await self._carry_out(replica, change)

    async def _carry_out(
        self, replica: _core.Replica, change: _repair.Repair
    ) -> None:
        event = 'member_added'
        try:
            match change:
                case _repair.AddLearner(info):
                    member = info.member
                    await self._change(
                        lambda now: replica.add_learner(now, info)
                    )
                case _repair.RemoveMember(member):
                    event = 'member_removed'
                    await self._change(
                        lambda now: replica.remove_member(now, member)
                    )
        except errors.FulmarseamError as error:
            # Tried again with the next plan, which sees the new state.
            event = 'member_change_refused'
            _log.info(
                telemetry.format_event(
                    event, member=member, reason=error.detail
                )
            )
            return
        _log.info(telemetry.format_event(event, member=member))

    async def wait_removed(self) -> None:
        """Return when the group has removed this member for good.

        A member that was cut off learns of it from the others, as nobody
        sends it the log any more.
        """
        while True:
            if await self._binding.is_retired(self._driver.replica):
                return
            await asyncio.sleep(RETIRED_CHECK_S)

    def _fail(self, error: Exception) -> None:
        """Stop to take part and report the reason by `wait_failed`."""
        if self._failure is not None:
            return
        self._failure = error
        self._driver.refuse_inputs()
        self._failed.set()
        _log.error(telemetry.format_event('member_failed', reason=str(error)))

    def _give_up_storage(self, error: _storage.StorageFailedError) -> None:
        """End the process, or only this member where its owner reopens it.

        Either way what the files hold is read anew before the member takes
        part again, and what was not synced counts as never written.
        """
        if self._settings.discovery is None:
            self._end_process(error)
        else:
            self._fail(error)

    def _end_process(self, error: Exception) -> None:
        """End the process at once, without clean-up that may write."""
        _log.critical(
            telemetry.format_event('process_ended', reason=repr(error))
        )
        print(f'error: {error!r}', file=sys.stderr, flush=True)
        self._fail(error)
        self._exit(errors.ANSWERS[errors.ErrorKind.INTERNAL].exit_code)

    async def handle(self, message: wire.Message) -> wire.Message:
        """Answer a message of another member; see `PEER_MESSAGES`.

        Raises `errors.FulmarseamError` for a message that cannot be
        answered, which the RPC server turns into `wire.Failure`.
        """
        match message:
            case wire.IdentityRequest():
                if message.candidate is not None:
                    self._binding.candidates.note(
                        time.monotonic(), message.candidate
                    )
                return self._describe_identity()
            case wire.MemberRequest():
                self._check_addressee(message)
                body = await self._driver.take_request(
                    message.sender, message.body
                )
                return wire.MemberResponse(sender=self._me, body=body)
            case _:
                raise errors.WireError(
                    f'found {type(message).__name__}, expected a message '
                    'between members'
                )

    def _check_addressee(self, message: wire.MemberRequest) -> None:
        try:
            self._binding.check_addressee(message)
        except errors.DamagedDataError as error:
            self._fail(error)
            if self._task is not None:
                self._task.cancel()
            raise
        except _storage.StorageFailedError as error:
            self._give_up_storage(error)
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE, str(error)
            ) from error

    def _describe_identity(self) -> wire.IdentityResponse:
        founding = self._binding.identity.founding
        empty = wire.GroupMembers()
        return wire.IdentityResponse(
            member=self._me,
            store=self._binding.identity.store,
            group=founding.group if founding else '',
            members=self._driver.replica.members
            if self._driver.replica
            else empty,
            founding=founding,
        )

    async def propose(self, command: bytes) -> bytes:
        """Append a command and return the result of applying it.

        Raises `errors.NotLeaderError` when nothing was appended,
        `errors.ProposalUncertainError` when the entry may still be
        committed, and `errors.FulmarseamError`, with nothing appended, of
        kind `UNAVAILABLE` when too many proposals are pending and
        `BODY_TOO_LARGE` when the command exceeds `MAX_COMMAND_BYTES`. A
        caller that stops waiting does not withdraw the command.
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
            + self._driver.waiters.proposal_count
        )
        if queued >= _runtime_inputs.MAX_PENDING_PROPOSALS:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'found {queued} pending proposals in term {replica.term}, '
                'expected fewer',
            )
        result: asyncio.Future[bytes] = self._make_future()
        self._driver.inputs.proposals.append(
            _runtime_inputs.Proposal(command, result)
        )
        self._driver.wake()
        return await result

    def leader(self) -> ids.MemberId | None:
        """Return the leader that this member knows of."""
        return self._driver.replica.leader if self._driver.replica else None

    def leading_term(self) -> ids.Term | None:
        """Return the term that this member leads, or None.

        It is set only after the first entry of the term was applied, so
        the machine then holds every accepted command.
        """
        return self._driver.leading_term()

    async def wait_leadership_change(
        self, known: ids.Term | None
    ) -> ids.Term | None:
        """Return `leading_term` as soon as it differs from `known`::

        term = None
        while True:
            term = await member.wait_leadership_change(term)
        """
        return await self._driver.wait_leadership_change(known)

    def leadership_age(self) -> float | None:
        """Return the seconds since a majority last confirmed this leader.

        They count from the start of the last round that a majority
        answered. None when not leading, when no entry of the own term was
        applied yet, or when older than the leader lease.
        """
        if self._driver.replica is None:
            return None
        return self._driver.replica.leadership_age(time.monotonic())

    async def confirm_leadership(self) -> None:
        """Wait for a round that starts now and that a majority answers.

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

        Returns when the group has accepted the learner. It becomes a voter
        by itself when it has caught up; see `status`. Raises
        `errors.FulmarseamError` with `INVALID_EDIT` when the id was used
        before or another change is in progress, and what `propose` raises.
        """
        self._require_leader()
        store = await _runtime_group.fetch_store(
            self._me,
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
        await self._change(lambda now: replica.add_learner(now, info))

    async def remove_member(self, member: ids.MemberId) -> None:
        """Remove a member for good; its id cannot come back.

        Raises what `add_member` raises, and refuses with `INVALID_EDIT`
        when the voters left would not include a reachable majority.
        """
        replica = self._require_leader()
        await self._change(lambda now: replica.remove_member(now, member))

    def status(self) -> _interface.MemberStatus:
        """Return this member's view of the group."""
        replica = self._driver.replica
        return _interface.MemberStatus(
            member_id=self._me,
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
        """Wait until the member cannot go on, and raise the reason.

        A daemon runs this beside its work and ends with the error. A
        failed write or sync is not reported here: it ends the process.
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

    async def _change(self, change: _runtime_inputs.Change) -> None:
        done: asyncio.Future[None] = self._make_future()
        self._driver.inputs.changes.append(
            _runtime_inputs.ProposedChange(change, done)
        )
        self._driver.wake()
        await done
