"""Confirmation rounds and the leader lease."""

from fulmarseam import ids
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_state


def start_round(state: _core_state.State, now: float) -> int:
    """Start a round and return its number."""
    rounds = state.rounds
    rounds.current += 1
    rounds.starts.append((rounds.current, now))
    count_answers(state)
    return rounds.current


def count_answers(state: _core_state.State) -> None:
    """Find the last round that a majority has answered."""
    rounds = state.rounds
    answered = [
        rounds.current if voter == state.me else _acked_round(state, voter)
        for voter in _core_members.list_voters(state.members)
    ]
    reached = _core_members.majority_value(answered)
    while rounds.starts and rounds.starts[0][0] <= reached:
        rounds.confirmed, rounds.confirmed_at = rounds.starts.popleft()


def _acked_round(state: _core_state.State, voter: ids.MemberId) -> int:
    peer = state.peers.get(voter)
    return peer.acked_round if peer else 0


def last_confirmed_at(state: _core_state.State) -> float:
    """Return when the last confirmed round, or the leadership, began."""
    confirmed_at = state.rounds.confirmed_at
    return state.led_since if confirmed_at is None else confirmed_at


def is_confirmed_term(state: _core_state.State) -> bool:
    """Return whether this member leads and has committed in its term."""
    return state.leads and state.commit_index >= state.term_start_index


def leadership_age(state: _core_state.State, now: float) -> float | None:
    """Return the age of the last confirmed round while the lease holds."""
    if not is_confirmed_term(state):
        return None
    if _core_members.list_voters(state.members) == [state.me]:
        return 0.0
    if state.rounds.confirmed_at is None:
        return None
    age = max(0.0, now - state.rounds.confirmed_at)
    return age if age < state.config.lease_s else None


def has_lost_quorum(state: _core_state.State, now: float) -> bool:
    """Return whether no majority has answered for too long."""
    if _core_members.list_voters(state.members) == [state.me]:
        return False
    return now - last_confirmed_at(state) >= state.config.election_max_s
