"""The state of a replica and the steps between roles."""

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

    PROBE looks for the last common entry with one message at a time,
    REPLICATE sends ahead, SNAPSHOT transfers a snapshot.
    """

    PROBE = 'probe'
    REPLICATE = 'replicate'
    SNAPSHOT = 'snapshot'


@dataclasses.dataclass
class Peer:
    """What a leader knows of another member.

    `in_flight` holds the last index of each append not yet answered, and
    `sent_at` the time of the last send or progress. `waiting` is set while
    the one message of PROBE or SNAPSHOT is not answered.
    """

    next_index: int
    match_index: int = 0
    mode: PeerMode = PeerMode.PROBE
    waiting: bool = False
    in_flight: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    sent_at: float = 0.0
    answered_at: float | None = None
    acked_round: int = 0
    snapshot: _core_types.Snapshot | None = None
    offset: int = 0


@dataclasses.dataclass
class Rounds:
    """Confirmation rounds of a leader.

    A round is confirmed when a majority of the voters has answered a
    message that was sent after the round started.
    """

    current: int = 0
    starts: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    confirmed: int = 0
    confirmed_at: float | None = None


@dataclasses.dataclass
class Incoming:
    """A snapshot that is being received."""

    meta: wire.SnapshotMeta
    data: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass
class State:
    """All state of a replica.

    `heard_at` is when a leader was last heard. A replica that starts
    counts as having just heard one, because before its restart it may have
    answered a round that a leader lease still rests on.
    """

    config: _core_types.ReplicaConfig
    rng: _core_types.Rng
    log: _core_log.Log
    history: _core_members.MemberHistory
    term: int
    vote: ids.MemberId | None
    commit_index: int
    heard_at: float
    snapshot: _core_types.Snapshot | None = None
    election_at: float = 0.0
    role: _core_types.Role = _core_types.Role.FOLLOWER
    leader: ids.MemberId | None = None
    pre_voting: bool = False
    votes: set[ids.MemberId] = dataclasses.field(default_factory=set)
    peers: dict[ids.MemberId, Peer] = dataclasses.field(default_factory=dict)
    rounds: Rounds = dataclasses.field(default_factory=Rounds)
    led_since: float = 0.0
    heartbeat_at: float = 0.0
    term_start_index: int = 0
    incoming: Incoming | None = None

    @property
    def me(self) -> ids.MemberId:
        """Return the id of this member."""
        return self.config.member_id

    @property
    def members(self) -> wire.GroupMembers:
        """Return the members in force."""
        return self.history.current

    @property
    def leads(self) -> bool:
        """Return whether this member is the leader."""
        return self.role is _core_types.Role.LEADER

    @property
    def may_campaign(self) -> bool:
        """Return whether this member is a voter, or was until just now.

        A member whose own removal is in its log but not committed may be
        the only one whose log is complete enough to lead.
        """
        committed = self.history.at(self.commit_index)
        voters = [
            *_core_members.list_voters(self.members),
            *_core_members.list_voters(committed),
        ]
        return self.me in voters


def load_state(
    config: _core_types.ReplicaConfig,
    durable: _core_types.DurableState,
    rng: _core_types.Rng,
    now: float,
) -> State:
    """Return the state of a replica that starts now."""
    snapshot = durable.snapshot
    index = snapshot.meta.index if snapshot else 0
    members = snapshot.meta.members if snapshot else durable.initial_members
    history = _core_members.MemberHistory(index, members)
    history.note(entry for entry in durable.entries if entry.index > index)
    state = State(
        config=config,
        rng=rng,
        log=_core_log.Log(
            durable.base_index, durable.base_term, durable.entries
        ),
        history=history,
        term=durable.term,
        vote=durable.vote,
        commit_index=index,
        heard_at=now,
        snapshot=snapshot,
    )
    postpone_election(state, now)
    # With an earlier set of more voters, one of them may hold a lease.
    if history.has_only_voter(state.me):
        state.election_at = now
    return state


def postpone_election(state: State, now: float) -> None:
    """Start the wait for a leader anew."""
    config = state.config
    state.election_at = now + state.rng.uniform(
        config.election_min_s, config.election_max_s
    )


def set_term(
    state: State,
    term: int,
    vote: ids.MemberId | None,
    effects: _core_types.Effects,
) -> None:
    """Set and record the term and the vote."""
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
    """Follow `leader`, or nobody yet, in `term`."""
    if term > state.term:
        set_term(state, term, None, effects)
    if state.role is not _core_types.Role.FOLLOWER:
        postpone_election(state, now)
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
    """Append entries to the log, replacing those from the first on."""
    if not entries:
        return
    first = entries[0].index
    if first <= state.commit_index:
        raise AssertionError(
            f'entry {first} would replace a committed entry '
            f'(commit index {state.commit_index})'
        )
    state.history.truncate(first)
    state.log.append(entries)
    state.history.note(entries)
    effects.records.append(_core_types.EntriesRecord(entries))


def advance_commit(
    state: State, index: int, effects: _core_types.Effects
) -> None:
    """Commit the entries up to `index`."""
    if index <= state.commit_index:
        return
    effects.committed.extend(state.log.range(state.commit_index + 1, index))
    state.commit_index = index
