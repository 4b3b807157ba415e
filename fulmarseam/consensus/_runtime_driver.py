"""Drives a replica: batches inputs, syncs, applies and sends."""

import asyncio
import random
import time

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.consensus import _core
from fulmarseam.consensus import _core_types
from fulmarseam.consensus import _interface
from fulmarseam.consensus import _runtime_inputs
from fulmarseam.consensus import _runtime_peers
from fulmarseam.consensus import _storage

# Log entries kept behind a snapshot, as a share of `snapshot_every`.
KEEP_SHARE = 0.2
# Bounds the memory and the restart time of a log of large commands.
MAX_BYTES_BEFORE_SNAPSHOT = 32 * 1024 * 1024

_log = logbook.Logger('consensus')

_Replies = list[
    tuple[asyncio.Future[wire.ReplicaResponse], wire.ReplicaResponse]
]


class Driver:
    """Runs the replica of a member that is bound to a group.

    `replica` is None until `start`. All inputs that are ready at the same
    time share one step and one sync.
    """

    def __init__(
        self,
        settings: _interface.MemberSettings,
        machine: _interface.StateMachine,
        storage: _storage.Storage,
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._storage = storage
        self._me = settings.member_id
        self._group = ''
        self._members_in_use: wire.GroupMembers | None = None
        self._peers = _runtime_peers.Peers(
            self._me, settings.election_min_s, self._take_response
        )
        self._wake = asyncio.Event()
        self._leadership_changed = asyncio.Event()
        self._last_leading: ids.Term | None = None
        self._stopped = False
        self._applied_bytes = 0
        self.replica: _core.Replica | None = None
        self.inputs = _runtime_inputs.Inputs()
        self.waiters = _runtime_inputs.Waiters()

    def start(self, founding: wire.Founding) -> None:
        """Load the data directory and start the replica.

        Raises `errors.DamagedDataError`.
        """
        durable = self._storage.load(founding)
        if self._storage.truncated_bytes:
            _log.warning(
                telemetry.format_event(
                    'log_tail_truncated', bytes=self._storage.truncated_bytes
                )
            )
        if durable.snapshot is not None:
            self._machine.restore(durable.snapshot.data)
        self._group = founding.group
        self.replica = _core.Replica(
            _make_config(self._settings),
            durable,
            random.SystemRandom(),
            time.monotonic(),
        )
        self._follow_members(self.replica)

    async def run(self) -> None:
        """Take part until cancelled; `start` comes first.

        Raises whatever the machine or the storage raises.
        """
        while self.replica is not None:
            await self._await_work(self.replica)
            self._step(self.replica)

    async def stop(self) -> None:
        """Fail everything that waits and close the clients."""
        self.refuse_inputs()
        await self._peers.close()
        self.replica = None
        self._announce_leadership()

    def refuse_inputs(self) -> None:
        """Fail everything that waits, and take no more messages."""
        self._stopped = True
        self.waiters.fail(None)
        inputs, self.inputs = self.inputs, _runtime_inputs.Inputs()
        inputs.fail(self._describe_stop())

    def wake(self) -> None:
        """Handle new inputs soon."""
        self._wake.set()

    def take_request(
        self, sender: ids.MemberId, body: wire.ReplicaRequest
    ) -> asyncio.Future[wire.ReplicaResponse]:
        """Queue a request and return the future of its reply.

        Raises `errors.FulmarseamError` with `UNAVAILABLE` when stopped or
        overloaded.
        """
        if self._stopped:
            raise self._describe_stop()
        if len(self.inputs.messages) >= _runtime_inputs.MAX_QUEUED_MESSAGES:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'{self._me}: found too many queued messages',
            )
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[wire.ReplicaResponse] = loop.create_future()
        self.inputs.messages.append(
            _runtime_inputs.Received(sender, body, reply)
        )
        self._wake.set()
        return reply

    def _take_response(
        self, sender: ids.MemberId, body: wire.ReplicaResponse
    ) -> None:
        if len(self.inputs.messages) < _runtime_inputs.MAX_QUEUED_MESSAGES:
            self.inputs.messages.append(_runtime_inputs.Received(sender, body))
            self._wake.set()

    def _describe_stop(self) -> errors.FulmarseamError:
        return errors.FulmarseamError(
            errors.ErrorKind.UNAVAILABLE, f'{self._me}: has stopped'
        )

    def leading_term(self) -> ids.Term | None:
        """Return the term led, once an entry of it was applied."""
        if self.replica is None or self.replica.leading_term is None:
            return None
        return ids.Term(self.replica.leading_term)

    async def wait_leadership_change(
        self, known: ids.Term | None
    ) -> ids.Term | None:
        """Return `leading_term` as soon as it differs from `known`."""
        while self.leading_term() == known:
            await self._leadership_changed.wait()
        return self.leading_term()

    async def _await_work(self, replica: _core.Replica) -> None:
        """Wait for inputs or the next tick.

        One pass of the event loop follows, so that everything that became
        ready meanwhile shares the next sync.
        """
        delay = replica.next_tick_at() - time.monotonic()
        if delay > 0 and not self.inputs.has_any():
            timer = asyncio.get_running_loop().call_later(
                delay, self._wake.set
            )
            await self._wake.wait()
            timer.cancel()
        self._wake.clear()
        await asyncio.sleep(0)

    def _step(self, replica: _core.Replica) -> None:
        """Handle all inputs, sync once, then act on the effects."""
        inputs, self.inputs = self.inputs, _runtime_inputs.Inputs()
        now = time.monotonic()
        effects: list[_core_types.Effects] = []
        replies: _Replies = []
        for received in inputs.messages:
            self._receive(replica, now, received, effects, replies)
        self._propose(replica, now, inputs.proposals, effects)
        for change in inputs.changes:
            self._propose_change(replica, now, change, effects)
        self._confirm(replica, now, inputs.confirmations, effects)
        if now >= replica.next_tick_at():
            effects.append(replica.tick(now))
        self._storage.write(
            [record for part in effects for record in part.records]
        )
        for part in effects:
            self._apply(part.committed)
        self._follow_members(replica)
        self._send(effects)
        for future, reply in replies:
            _runtime_inputs.resolve(future, reply)
        self.waiters.settle(replica)
        self._announce_leadership()
        self._compact_if_due(replica)

    def _receive(
        self,
        replica: _core.Replica,
        now: float,
        received: _runtime_inputs.Received,
        effects: list[_core_types.Effects],
        replies: _Replies,
    ) -> None:
        try:
            result = replica.receive(now, received.sender, received.body)
        except errors.WireError as error:
            if received.reply is not None:
                _runtime_inputs.reject(received.reply, error)
            return
        effects.append(result)
        if received.reply is not None and result.reply is not None:
            replies.append((received.reply, result.reply))

    def _propose(
        self,
        replica: _core.Replica,
        now: float,
        proposals: list[_runtime_inputs.Proposal],
        effects: list[_core_types.Effects],
    ) -> None:
        wanted = [item for item in proposals if not item.result.done()]
        if not wanted:
            return
        try:
            result = replica.propose(now, [item.command for item in wanted])
        except errors.NotLeaderError as error:
            for item in wanted:
                _runtime_inputs.reject(item.result, error)
            return
        effects.append(result)
        self.waiters.add_proposals(replica.term, result.first_index, wanted)

    def _propose_change(
        self,
        replica: _core.Replica,
        now: float,
        change: _runtime_inputs.ProposedChange,
        effects: list[_core_types.Effects],
    ) -> None:
        try:
            result = change.change(now)
        except errors.FulmarseamError as error:
            _runtime_inputs.reject(change.done, error)
            return
        effects.append(result)
        self.waiters.add_change(replica.term, result.first_index, change.done)

    def _confirm(
        self,
        replica: _core.Replica,
        now: float,
        waiting: list[asyncio.Future[None]],
        effects: list[_core_types.Effects],
    ) -> None:
        if not waiting:
            return
        try:
            result = replica.confirm_leadership(now)
        except errors.NotLeaderError as error:
            for future in waiting:
                _runtime_inputs.reject(future, error)
            return
        effects.append(result)
        self.waiters.add_confirmations(replica.term, result.round, waiting)

    def _apply(
        self, committed: list[wire.LogEntry | _core_types.Snapshot]
    ) -> None:
        for item in committed:
            if isinstance(item, _core_types.Snapshot):
                self._machine.restore(item.data)
            elif item.type is wire.EntryType.COMMAND:
                self._applied_bytes += len(item.data)
                result = self._machine.apply(item.data)
                self.waiters.resolve_proposal(item, result)

    def _send(self, effects: list[_core_types.Effects]) -> None:
        for part in effects:
            for message in part.messages:
                self._peers.send(self._group, message.to, message.body)

    def _follow_members(self, replica: _core.Replica) -> None:
        """Keep clients for the members in force."""
        members = replica.members
        if members is self._members_in_use:
            return
        self._members_in_use = members
        configured = self._settings.members
        self._peers.update(
            {
                info.member: (
                    configured[info.member].address
                    if info.member in configured
                    else info.address,
                    info.store,
                )
                for info in members.members
                if info.member != self._me
            }
        )

    def _announce_leadership(self) -> None:
        leading = self.leading_term()
        if leading == self._last_leading:
            return
        event = 'leadership_ended' if leading is None else 'leadership_started'
        term = self._last_leading if leading is None else leading
        _log.info(telemetry.format_event(event, member=self._me, term=term))
        self._last_leading = leading
        changed, self._leadership_changed = (
            self._leadership_changed,
            asyncio.Event(),
        )
        changed.set()

    def _compact_if_due(self, replica: _core.Replica) -> None:
        behind = replica.commit_index - replica.snapshot_index
        is_large = self._applied_bytes >= MAX_BYTES_BEFORE_SNAPSHOT
        if is_large or behind >= self._settings.snapshot_every:
            self._applied_bytes = 0
            effects = replica.compact(self._machine.snapshot())
            self._storage.write(effects.records)


def _make_config(
    settings: _interface.MemberSettings,
) -> _core_types.ReplicaConfig:
    return _core_types.ReplicaConfig(
        member_id=settings.member_id,
        heartbeat_s=settings.heartbeat_s,
        election_min_s=settings.election_min_s,
        election_max_s=settings.election_max_s,
        clock_drift=settings.clock_drift,
        keep_entries=int(settings.snapshot_every * KEEP_SHARE),
    )
