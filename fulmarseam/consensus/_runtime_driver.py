"""Drives a replica: batches inputs, syncs, applies commands and sends."""

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

# Log entries that compaction keeps, as a share of `snapshot_every`.
KEPT_ENTRIES_SHARE = 0.2
# Bounds the memory use and restart time for a log with large commands.
MAX_BYTES_BEFORE_SNAPSHOT = 16 * 1024 * 1024

_log = logbook.Logger('consensus')

_Replies = list[
    tuple[asyncio.Future[wire.ReplicaResponse], wire.ReplicaResponse]
]


class Driver:
    """Runs the replica of a member that is bound to a group.

    `replica` is None until `start`. Inputs that are ready at the same time
    are handled in one step with one sync.
    """

    def __init__(
        self,
        settings: _interface.MemberSettings,
        state_machine: _interface.StateMachine,
        storage: _storage.Storage,
    ) -> None:
        self._settings = settings
        self._state_machine = state_machine
        self._storage = storage
        self._member_id = settings.member_id
        self._group = ''
        self._connected_members: wire.GroupMembers | None = None
        self._peers = _runtime_peers.PeerClients(
            self._member_id, settings.election_min_s, self._queue_response
        )
        self._wake = asyncio.Event()
        self._leadership_changed = asyncio.Event()
        self._reported_term: ids.Term | None = None
        self._stopped = False
        self._applied_bytes = 0
        self.replica: _core.Replica | None = None
        self.inputs = _runtime_inputs.StepInputs()
        self.pending_results = _runtime_inputs.PendingResults()

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
            self._state_machine.restore(durable.snapshot.data)
        self._group = founding.group
        self.replica = _core.Replica(
            _make_config(self._settings),
            durable,
            random.SystemRandom(),
            time.monotonic(),
        )
        self._update_peer_clients(self.replica)

    async def run(self) -> None:
        """Run the replica until cancelled; call `start` before.

        Raises any error of the state machine or the storage.
        """
        while self.replica is not None:
            await self._wait_for_work(self.replica)
            self._step(self.replica)

    async def stop(self) -> None:
        """Fail all pending inputs and results, and close the clients."""
        self.fail_pending()
        await self._peers.close()
        self.replica = None
        self._report_leadership()

    def fail_pending(self) -> None:
        """Fail all pending inputs and results; refuse further messages."""
        self._stopped = True
        self.pending_results.fail(None)
        inputs, self.inputs = self.inputs, _runtime_inputs.StepInputs()
        inputs.fail(self._make_stopped_error())

    def wake(self) -> None:
        """Start the next step, after inputs were added."""
        self._wake.set()

    def queue_request(
        self, sender: ids.MemberId, body: wire.ReplicaRequest
    ) -> asyncio.Future[wire.ReplicaResponse]:
        """Queue a request and return the future of its reply.

        Raises `errors.FulmarseamError` with `UNAVAILABLE` if the driver is
        stopped or too many messages are queued.
        """
        if self._stopped:
            raise self._make_stopped_error()
        if len(self.inputs.messages) >= _runtime_inputs.MAX_QUEUED_MESSAGES:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'{self._member_id}: too many messages are queued',
            )
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[wire.ReplicaResponse] = loop.create_future()
        self.inputs.messages.append(
            _runtime_inputs.ReceivedMessage(sender, body, reply)
        )
        self._wake.set()
        return reply

    def _queue_response(
        self, sender: ids.MemberId, body: wire.ReplicaResponse
    ) -> None:
        if len(self.inputs.messages) < _runtime_inputs.MAX_QUEUED_MESSAGES:
            self.inputs.messages.append(
                _runtime_inputs.ReceivedMessage(sender, body)
            )
            self._wake.set()

    def _make_stopped_error(self) -> errors.FulmarseamError:
        return errors.FulmarseamError(
            errors.ErrorKind.UNAVAILABLE,
            f'{self._member_id}: the member has stopped',
        )

    def leading_term(self) -> ids.Term | None:
        """Return the term that this member leads and has applied in."""
        if self.replica is None or self.replica.leading_term is None:
            return None
        return ids.Term(self.replica.leading_term)

    async def wait_leadership_change(
        self, previous: ids.Term | None
    ) -> ids.Term | None:
        """Wait until `leading_term` differs from `previous`; return it."""
        while self.leading_term() == previous:
            await self._leadership_changed.wait()
        return self.leading_term()

    async def _wait_for_work(self, replica: _core.Replica) -> None:
        """Wait for inputs or the next tick.

        Then let the event loop run once, so that everything that became
        ready in the meantime shares the next sync.
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
        """Handle all inputs, sync once, then carry out the effects."""
        inputs, self.inputs = self.inputs, _runtime_inputs.StepInputs()
        now = time.monotonic()
        effects: list[_core_types.Effects] = []
        replies: _Replies = []
        for received in inputs.messages:
            self._handle_message(replica, now, received, effects, replies)
        self._propose(replica, now, inputs.proposals, effects)
        for change in inputs.changes:
            self._propose_change(replica, now, change, effects)
        self._start_confirmation(replica, now, inputs.confirmations, effects)
        if now >= replica.next_tick_at():
            effects.append(replica.tick(now))
        self._storage.write(
            [
                record
                for step_effects in effects
                for record in step_effects.records
            ]
        )
        for step_effects in effects:
            self._apply(step_effects.committed)
        self._update_peer_clients(replica)
        self._send(effects)
        for future, reply in replies:
            _runtime_inputs.resolve(future, reply)
        self.pending_results.resolve_decided(replica)
        self._report_leadership()
        self._compact_if_due(replica)

    def _handle_message(
        self,
        replica: _core.Replica,
        now: float,
        received: _runtime_inputs.ReceivedMessage,
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
        pending = [item for item in proposals if not item.result.done()]
        if not pending:
            return
        try:
            result = replica.propose(now, [item.command for item in pending])
        except errors.NotLeaderError as error:
            for item in pending:
                _runtime_inputs.reject(item.result, error)
            return
        effects.append(result)
        self.pending_results.add_proposals(
            replica.term, result.first_index, pending
        )

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
        self.pending_results.add_change(
            replica.term, result.first_index, change.done
        )

    def _start_confirmation(
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
        self.pending_results.add_confirmations(
            replica.term, result.round, waiting
        )

    def _apply(
        self, committed: list[wire.LogEntry | _core_types.Snapshot]
    ) -> None:
        for item in committed:
            if isinstance(item, _core_types.Snapshot):
                self._state_machine.restore(item.data)
            elif item.type is wire.LogEntryType.COMMAND:
                self._applied_bytes += len(item.data)
                result = self._state_machine.apply(item.data)
                self.pending_results.resolve_proposal(item, result)

    def _send(self, effects: list[_core_types.Effects]) -> None:
        for step_effects in effects:
            for message in step_effects.messages:
                self._peers.send(self._group, message.to, message.body)

    def _update_peer_clients(self, replica: _core.Replica) -> None:
        """Keep a client for each other member of the group."""
        members = replica.members
        if members is self._connected_members:
            return
        self._connected_members = members
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
                if info.member != self._member_id
            }
        )

    def _report_leadership(self) -> None:
        leading = self.leading_term()
        if leading == self._reported_term:
            return
        event = 'leadership_ended' if leading is None else 'leadership_started'
        term = self._reported_term if leading is None else leading
        _log.info(
            telemetry.format_event(event, member=self._member_id, term=term)
        )
        self._reported_term = leading
        changed, self._leadership_changed = (
            self._leadership_changed,
            asyncio.Event(),
        )
        changed.set()

    def _compact_if_due(self, replica: _core.Replica) -> None:
        entries_since = replica.commit_index - replica.snapshot_index
        is_large = self._applied_bytes >= MAX_BYTES_BEFORE_SNAPSHOT
        if is_large or entries_since >= self._settings.snapshot_every:
            self._applied_bytes = 0
            effects = replica.compact(self._state_machine.snapshot())
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
        keep_entries=int(settings.snapshot_every * KEPT_ENTRIES_SHARE),
    )
