"""The state of a replica and the transitions between its roles."""

import collections
import dataclasses
import enum

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_log
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_types


class PeerMode(enum.Enum):
    """How a leader sends its log to a peer.

    PROBE searches for the last common entry, one message at a time.
    REPLICATE pipelines appends. SNAPSHOT transfers a snapshot.
    """

    PROBE = 'probe'
    REPLICATE = 'replicate'
    SNAPSHOT = 'snapshot'


@dataclasses.dataclass
class Peer:
    """The replication state that a leader keeps for another member.

    `in_flight` holds the last index of each unanswered append.
    `last_activity_at` is when the peer last made progress, or when the first
    of its unanswered messages was sent. `awaiting_response` is set
    while the single message of PROBE or SNAPSHOT is not answered.
    """

    next_index: int
    match_index: int = 0
    mode: PeerMode = PeerMode.PROBE
    awaiting_response: bool = False
    in_flight: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    last_activity_at: float = 0.0
    last_response_at: float | None = None
    acknowledged_round: int = 0
    snapshot: _core_types.Snapshot | None = None
    snapshot_offset: int = 0


@dataclasses.dataclass
class Rounds:
    """Confirmation rounds, which prove that a leader still leads.

    A round is confirmed when a majority of the voters has answered messages
    that were sent after the round started. `confirmed` is the number of the
    last confirmed round and `confirmed_start` is when it started;
    `pending_starts` holds number and start time of each later round.
    """

    current: int = 0
    pending_starts: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    confirmed: int = 0
    confirmed_start: float | None = None


@dataclasses.dataclass
class IncomingSnapshot:
    """The received part of a snapshot transfer."""

    meta: wire.SnapshotMeta
    data: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass
class State:
    """All state of a replica.

    `leader_heard_at` is when a leader last sent a message. A replica that
    starts sets it to the start time: before its restart it may have answered
    a round on which a leader lease still depends.
    """

    config: _core_types.ReplicaConfig
    rng: _core_types.Rng
    log: _core_log.Log
    member_history: _core_members.MemberHistory
    term: int
    vote: ids.MemberId | None
    commit_index: int
    leader_heard_at: float
    snapshot: _core_types.Snapshot | None = None
    election_due_at: float = 0.0
    role: _core_types.Role = _core_types.Role.FOLLOWER
    leader: ids.MemberId | None = None
    pre_voting: bool = False
    votes: set[ids.MemberId] = dataclasses.field(default_factory=set)
    peers: dict[ids.MemberId, Peer] = dataclasses.field(default_factory=dict)
    rounds: Rounds = dataclasses.field(default_factory=Rounds)
    leader_since: float = 0.0
    heartbeat_due_at: float = 0.0
    term_start_index: int = 0
    incoming_snapshot: IncomingSnapshot | None = None

    @property
    def member_id(self) -> ids.MemberId:
        """Return the id of this member."""
        return self.config.member_id

    @property
    def members(self) -> wire.GroupMembers:
        """Return the newest members in the log, committed or not."""
        return self.member_history.current

    @property
    def is_leader(self) -> bool:
        """Return whether this member is the leader."""
        return self.role is _core_types.Role.LEADER

    @property
    def can_campaign(self) -> bool:
        """Return whether this member may stand for election.

        It must be a voter, or have been one until an uncommitted removal:
        its log may then be the only one that is complete enough to lead.
        """
        committed = self.member_history.members_at(self.commit_index)
        voters = [
            *_core_members.list_voters(self.members),
            *_core_members.list_voters(committed),
        ]
        return self.member_id in voters


def restore_state(
    config: _core_types.ReplicaConfig,
    durable: _core_types.DurableState,
    rng: _core_types.Rng,
    now: float,
) -> State:
    """Return the state of a replica that starts from its stored state."""
    snapshot = durable.snapshot
    index = snapshot.meta.index if snapshot else 0
    members = snapshot.meta.members if snapshot else durable.initial_members
    history = _core_members.MemberHistory(index, members)
    history.add_entries(
        entry for entry in durable.entries if entry.index > index
    )
    state = State(
        config=config,
        rng=rng,
        log=_core_log.Log(
            durable.base_index, durable.base_term, durable.entries
        ),
        member_history=history,
        term=durable.term,
        vote=durable.vote,
        commit_index=index,
        leader_heard_at=now,
        snapshot=snapshot,
    )
    reset_election_timer(state, now)
    # The only voter may lead at once, unless an earlier member set had other
    # voters: one of them may still hold a leader lease.
    if history.has_only_voter(state.member_id):
        state.election_due_at = now
    return state


def reset_election_timer(state: State, now: float) -> None:
    """Start a new election timeout of random length."""
    config = state.config
    state.election_due_at = now + state.rng.uniform(
        config.election_min_s, config.election_max_s
    )


def set_term(
    state: State,
    term: int,
    vote: ids.MemberId | None,
    effects: _core_types.Effects,
) -> None:
    """Set the term and the vote, and record them for the disk."""
    state.term = term
    state.vote = vote
    effects.records.append(_core_types.TermRecord(term, vote))


def become_follower(
    state: State,
    now: float,
    term: int,
    leader: ids.MemberId | None,
    effects: _core_types.Effects,
) -> None:
    """Become a follower in `term`; `leader` is None if not known yet."""
    if term > state.term:
        set_term(state, term, None, effects)
    if state.role is not _core_types.Role.FOLLOWER:
        reset_election_timer(state, now)
    state.role = _core_types.Role.FOLLOWER
    state.leader = leader
    state.pre_voting = False
    state.votes.clear()
    state.peers.clear()


def append_entries(
    state: State,
    entries: list[wire.LogEntry],
    effects: _core_types.Effects,
) -> None:
    """Append entries, replacing the log from the first of them on."""
    if not entries:
        return
    first = entries[0].index
    if first <= state.commit_index:
        raise AssertionError(
            f'entry {first} would replace a committed entry '
            f'(commit index {state.commit_index})'
        )
    state.member_history.truncate(first)
    state.log.append(entries)
    state.member_history.add_entries(entries)
    effects.records.append(_core_types.EntriesRecord(entries))


def advance_commit(
    state: State, index: int, effects: _core_types.Effects
) -> None:
    """Commit the entries up to `index`."""
    if index <= state.commit_index:
        return
    effects.committed.extend(
        state.log.read_range(state.commit_index + 1, index)
    )
    state.commit_index = index
