"""Confirmation rounds and the leader lease."""

from fulmarseam import ids
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_state


def start_round(state: _core_state.State, now: float) -> int:
    """Start a round and return its number."""
    rounds = state.rounds
    rounds.current += 1
    rounds.pending_starts.append((rounds.current, now))
    update_confirmed_round(state)
    return rounds.current


def update_confirmed_round(state: _core_state.State) -> None:
    """Find the last round that a majority of the voters has answered."""
    rounds = state.rounds
    answered = [
        rounds.current
        if voter == state.member_id
        else _last_acknowledged_round(state, voter)
        for voter in _core_members.list_voters(state.members)
    ]
    reached = _core_members.majority_value(answered)
    while rounds.pending_starts and rounds.pending_starts[0][0] <= reached:
        rounds.confirmed, rounds.confirmed_start = (
            rounds.pending_starts.popleft()
        )


def _last_acknowledged_round(
    state: _core_state.State, voter: ids.MemberId
) -> int:
    peer = state.peers.get(voter)
    return peer.acknowledged_round if peer else 0


def last_confirmation_start(state: _core_state.State) -> float:
    """Return when the last confirmed round, or the leadership, started."""
    start = state.rounds.confirmed_start
    return state.leader_since if start is None else start


def has_committed_in_term(state: _core_state.State) -> bool:
    """Return whether this member leads and has committed in its term."""
    return state.is_leader and state.commit_index >= state.term_start_index


def leadership_age(state: _core_state.State, now: float) -> float | None:
    """Return the seconds since the last confirmed round started.

    None while this member holds no leader lease.
    """
    if not has_committed_in_term(state):
        return None
    if _core_members.list_voters(state.members) == [state.member_id]:
        return 0.0
    if state.rounds.confirmed_start is None:
        return None
    age = max(0.0, now - state.rounds.confirmed_start)
    return age if age < state.config.lease_s else None


def has_lost_quorum(state: _core_state.State, now: float) -> bool:
    """Return whether no round was confirmed within `election_max_s`."""
    if _core_members.list_voters(state.members) == [state.member_id]:
        return False
    return now - last_confirmation_start(state) >= state.config.election_max_s
