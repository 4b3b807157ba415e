"""A replica of the log, without input or output.

Every method takes the time, in seconds of a monotonic clock, and returns
`Effects` that the driver carries out before the next call::

    replica = Replica(config, durable, random.Random(), now)
    effects = replica.receive(now, sender, message)
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_change
from fulmarseam.consensus import _core_election
from fulmarseam.consensus import _core_follower
from fulmarseam.consensus import _core_leader
from fulmarseam.consensus import _core_removal
from fulmarseam.consensus import _core_rounds
from fulmarseam.consensus import _core_state
from fulmarseam.consensus import _core_transfer
from fulmarseam.consensus import _core_types


class Replica:
    """One member's replica of the log."""

    def __init__(
        self,
        config: _core_types.ReplicaConfig,
        durable: _core_types.DurableState,
        rng: _core_types.Rng,
        now: float,
    ) -> None:
        self._state = _core_state.restore_state(config, durable, rng, now)

    def tick(self, now: float) -> _core_types.Effects:
        """Do what is due at `now`; call it at `next_tick_at` at the latest."""
        effects = _core_types.Effects()
        if self._state.is_leader:
            _core_leader.tick(self._state, now, effects)
        else:
            _core_election.tick(self._state, now, effects)
        return effects

    def next_tick_at(self) -> float:
        """Return when the next tick is due."""
        if self._state.is_leader:
            return self._state.heartbeat_due_at
        return self._state.election_due_at

    def receive(
        self, now: float, sender: ids.MemberId, message: wire.ReplicaMessage
    ) -> _core_types.Effects:
        """Handle a message; the response to a request is `Effects.reply`."""
        effects = _core_types.Effects()
        state = self._state
        match message:
            case wire.AppendRequest():
                _core_follower.handle_append(
                    state, now, sender, message, effects
                )
            case wire.AppendResponse():
                _core_leader.handle_append_response(
                    state, now, sender, message, effects
                )
            case wire.VoteRequest():
                _core_election.handle_vote_request(
                    state, now, sender, message, effects
                )
            case wire.VoteResponse():
                _core_election.handle_vote_response(
                    state, now, sender, message, effects
                )
            case wire.SnapshotChunk():
                _core_transfer.handle_chunk(
                    state, now, sender, message, effects
                )
            case wire.SnapshotResponse():
                _core_leader.handle_snapshot_response(
                    state, now, sender, message, effects
                )
        return effects

    def propose(
        self, now: float, commands: Sequence[bytes]
    ) -> _core_types.Effects:
        """Append commands as one batch.

        Raises `errors.NotLeaderError` and then appends nothing.
        """
        self._require_leader()
        effects = _core_types.Effects()
        _core_leader.propose(self._state, now, commands, effects)
        return effects

    def confirm_leadership(self, now: float) -> _core_types.Effects:
        """Start a round; it is confirmed once `confirmed_round` reaches it.

        Raises `errors.NotLeaderError`.
        """
        self._require_leader()
        effects = _core_types.Effects()
        effects.round = _core_leader.send_heartbeats(self._state, now, effects)
        return effects

    def add_learner(
        self, now: float, info: wire.MemberInfo
    ) -> _core_types.Effects:
        """Append a change that adds a learner.

        Raises `errors.NotLeaderError`, or `errors.FulmarseamError` with
        `INVALID_EDIT`.
        """
        return self._change_members(
            now,
            lambda effects: _core_change.add_learner(
                self._state, info, effects
            ),
        )

    def remove_member(
        self, now: float, member: ids.MemberId
    ) -> _core_types.Effects:
        """Append a change that removes a member; raises like `add_learner`."""
        return self._change_members(
            now,
            lambda effects: _core_change.remove_member(
                self._state, now, member, effects
            ),
        )

    def demote_member(
        self, now: float, member: ids.MemberId
    ) -> _core_types.Effects:
        """Append a change that takes a vote; raises like `add_learner`."""
        return self._change_members(
            now,
            lambda effects: _core_change.demote_member(
                self._state, now, member, effects
            ),
        )

    def restore_member(
        self, now: float, member: ids.MemberId
    ) -> _core_types.Effects:
        """Append a change that undoes `demote_member`; raises like it."""
        return self._change_members(
            now,
            lambda effects: _core_change.restore_member(
                self._state, member, effects
            ),
        )

    def _change_members(
        self, now: float, append: Callable[[_core_types.Effects], None]
    ) -> _core_types.Effects:
        """Append a change of the members and send it to the peers."""
        self._require_leader()
        effects = _core_types.Effects()
        append(effects)
        _core_leader.broadcast(self._state, now, effects)
        return effects

    def compact(self, data: bytes) -> _core_types.Effects:
        """Compact the log; `data` is the state at the commit index."""
        effects = _core_types.Effects()
        _core_transfer.compact(self._state, data, effects)
        return effects

    def leadership_age(self, now: float) -> float | None:
        """Return the seconds since the last confirmed round started.

        None while this member holds no leader lease.
        """
        return _core_rounds.leadership_age(self._state, now)

    def last_response_times(self) -> Mapping[ids.MemberId, float | None]:
        """Return when each peer last answered, on the leader."""
        return {
            member: peer.last_response_at
            for member, peer in self._state.peers.items()
        }

    def _require_leader(self) -> None:
        if not self._state.is_leader:
            raise errors.NotLeaderError(self._state.leader)

    @property
    def leading_term(self) -> int | None:
        """Return the term that this member leads and has committed in."""
        if _core_rounds.has_committed_in_term(self._state):
            return self._state.term
        return None

    @property
    def confirmed_round(self) -> int:
        """Return the number of the last confirmed round, on the leader."""
        return self._state.rounds.confirmed if self._state.is_leader else 0

    @property
    def role(self) -> _core_types.Role:
        """Return the current role."""
        return self._state.role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    @property
    def leader(self) -> ids.MemberId | None:
        """Return the leader of the current term, or None if unknown."""
        return self._state.leader

    @property
    def members(self) -> wire.GroupMembers:
        """Return the newest members in the log, committed or not."""
        return self._state.members

    @property
    def committed_members(self) -> wire.CommittedMembers:
        """Return the committed members with the term of the last commit."""
        return _core_removal.describe_committed(self._state)

    def is_retired(self, committed: wire.CommittedMembers) -> bool:
        """Return whether the removal of this member is committed."""
        return _core_removal.is_retired(self._state, committed)

    def is_addition_lost(self, committed: wire.CommittedMembers) -> bool:
        """Return whether the entry that added this member can't commit."""
        return _core_removal.is_addition_lost(self._state, committed)

    @property
    def commit_index(self) -> int:
        """Return the index of the last committed entry."""
        return self._state.commit_index

    @property
    def first_index(self) -> int:
        """Return the index of the first entry in the log."""
        return self._state.log.base_index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the last entry in the log."""
        return self._state.log.last_index

    @property
    def snapshot_index(self) -> int:
        """Return the last index that the newest snapshot covers."""
        snapshot = self._state.snapshot
        return snapshot.meta.index if snapshot else 0

    @property
    def match_indexes(self) -> Mapping[ids.MemberId, int]:
        """Return the last index that each peer has stored, on the leader."""
        return {
            member: peer.match_index
            for member, peer in self._state.peers.items()
        }
