"""A replica of the log, without input or output.

Every method takes the time, in seconds of a monotonic clock, and returns
`Effects` that the driver carries out before the next call::

    replica = Replica(config, durable, random.Random(), now)
    effects = replica.receive(now, sender, message)
"""

from collections.abc import Mapping
from collections.abc import Sequence

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_change
from fulmarseam.consensus import _core_election
from fulmarseam.consensus import _core_follower
from fulmarseam.consensus import _core_leader
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
        self._state = _core_state.load_state(config, durable, rng, now)

    def tick(self, now: float) -> _core_types.Effects:
        """Do what is due; call it at `next_tick_at` at the latest."""
        effects = _core_types.Effects()
        if self._state.leads:
            _core_leader.tick(self._state, now, effects)
        else:
            _core_election.tick(self._state, now, effects)
        return effects

    def next_tick_at(self) -> float:
        """Return when the next tick is due."""
        if self._state.leads:
            return self._state.heartbeat_at
        return self._state.election_at

    def receive(
        self, now: float, sender: ids.MemberId, message: wire.ReplicaMessage
    ) -> _core_types.Effects:
        """Handle a message; a request is answered by `Effects.reply`."""
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
                _core_election.handle_request(
                    state, now, sender, message, effects
                )
            case wire.VoteResponse():
                _core_election.handle_response(
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

        Raises `errors.NotLeaderError` with nothing appended.
        """
        self._require_leader()
        effects = _core_types.Effects()
        _core_leader.propose(self._state, now, commands, effects)
        return effects

    def confirm_leadership(self, now: float) -> _core_types.Effects:
        """Start a round; `confirmed_round` tells when it is confirmed.

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
        self._require_leader()
        effects = _core_types.Effects()
        _core_change.add_learner(self._state, info, effects)
        _core_leader.broadcast(self._state, now, effects)
        return effects

    def remove_member(
        self, now: float, member: ids.MemberId
    ) -> _core_types.Effects:
        """Append a change that removes a member; raises like the above."""
        self._require_leader()
        effects = _core_types.Effects()
        _core_change.remove_member(self._state, now, member, effects)
        _core_leader.broadcast(self._state, now, effects)
        return effects

    def compact(self, data: bytes) -> _core_types.Effects:
        """Take over a snapshot of the machine at the commit index."""
        effects = _core_types.Effects()
        _core_transfer.compact(self._state, data, effects)
        return effects

    def leadership_age(self, now: float) -> float | None:
        """Return the age of the last confirmed round within the lease."""
        return _core_rounds.leadership_age(self._state, now)

    def answer_times(self) -> Mapping[ids.MemberId, float | None]:
        """Return when each peer last answered this leader."""
        return {
            member: peer.answered_at
            for member, peer in self._state.peers.items()
        }

    def _require_leader(self) -> None:
        if not self._state.leads:
            raise errors.NotLeaderError(self._state.leader)

    @property
    def leading_term(self) -> int | None:
        """Return the term led, once an entry of it is committed."""
        if _core_rounds.is_confirmed_term(self._state):
            return self._state.term
        return None

    @property
    def confirmed_round(self) -> int:
        """Return the last round that a majority has answered."""
        return self._state.rounds.confirmed if self._state.leads else 0

    @property
    def role(self) -> _core_types.Role:
        """Return the role."""
        return self._state.role

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._state.term

    @property
    def leader(self) -> ids.MemberId | None:
        """Return the leader of the current term, when known."""
        return self._state.leader

    @property
    def members(self) -> wire.GroupMembers:
        """Return the members in force."""
        return self._state.members

    @property
    def commit_index(self) -> int:
        """Return the last committed index."""
        return self._state.commit_index

    @property
    def first_index(self) -> int:
        """Return the first index held in the log."""
        return self._state.log.base_index + 1

    @property
    def last_index(self) -> int:
        """Return the last index of the log."""
        return self._state.log.last_index

    @property
    def snapshot_index(self) -> int:
        """Return the last index that the newest snapshot covers."""
        snapshot = self._state.snapshot
        return snapshot.meta.index if snapshot else 0

    @property
    def match_indexes(self) -> Mapping[ids.MemberId, int]:
        """Return what each peer is known to hold, on the leader."""
        return {
            member: peer.match_index
            for member, peer in self._state.peers.items()
        }
