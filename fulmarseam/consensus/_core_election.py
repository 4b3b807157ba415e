"""Elections: pre-votes, votes and leader stickiness."""

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_leader
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_rounds
from fulmarseam.consensus import _core_state
from fulmarseam.consensus import _core_types

# Bounds of the delay before a candidate retries, as shares of the minimum
# election timeout. The delay is random. Its range has to exceed a round trip
# between regions (40 ms) so that two candidates rarely collide twice.
_RETRY_DELAY_MIN_SHARE = 0.25
_RETRY_DELAY_MAX_SHARE = 0.5


def tick(
    state: _core_state.State, now: float, effects: _core_types.Effects
) -> None:
    """Forget a silent leader, and request pre-votes in its place."""
    if now < state.election_due_at:
        return
    state.leader = None
    if not state.can_campaign:
        _core_state.reset_election_timer(state, now)
        return
    state.role = _core_types.Role.CANDIDATE
    state.pre_voting = True
    _request_votes(state, now, state.term + 1, effects)


def _request_votes(
    state: _core_state.State,
    now: float,
    term: int,
    effects: _core_types.Effects,
) -> None:
    min_timeout_s = state.config.election_min_s
    state.election_due_at = now + state.rng.uniform(
        min_timeout_s * _RETRY_DELAY_MIN_SHARE,
        min_timeout_s * _RETRY_DELAY_MAX_SHARE,
    )
    state.votes = {state.member_id}
    request = wire.VoteRequest(
        term=term,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre_vote=state.pre_voting,
    )
    for voter in _core_members.list_voters(state.members):
        if voter != state.member_id:
            effects.messages.append(
                _core_types.OutgoingRequest(voter, request)
            )
    _count_votes(state, now, effects)


def _count_votes(
    state: _core_state.State, now: float, effects: _core_types.Effects
) -> None:
    if not _core_members.has_majority(state.members, state.votes):
        return
    if not state.pre_voting:
        _core_leader.become_leader(state, now, effects)
        return
    state.pre_voting = False
    _core_state.set_term(state, state.term + 1, state.member_id, effects)
    _request_votes(state, now, state.term, effects)


def _has_recent_leader(state: _core_state.State, now: float) -> bool:
    """Return whether a leader was heard within the minimum election timeout.

    Voters refuse votes during that time; the leader lease depends on it.
    """
    leader_heard_at = state.leader_heard_at
    if state.is_leader:
        leader_heard_at = _core_rounds.last_confirmation_start(state)
    return now - leader_heard_at < state.config.election_min_s


def _is_up_to_date(
    state: _core_state.State, request: wire.VoteRequest
) -> bool:
    candidate_log = (request.last_term, request.last_index)
    return candidate_log >= (state.log.last_term, state.log.last_index)


def handle_vote_request(
    state: _core_state.State,
    now: float,
    sender: ids.MemberId,
    request: wire.VoteRequest,
    effects: _core_types.Effects,
) -> None:
    """Grant or refuse a vote or pre-vote."""
    granted = False
    if not _has_recent_leader(state, now):
        if request.term > state.term and not request.pre_vote:
            _core_state.become_follower(
                state, now, request.term, None, effects
            )
        granted = _can_grant_vote(state, sender, request)
        if granted and not request.pre_vote:
            _core_state.set_term(state, request.term, sender, effects)
            _core_state.reset_election_timer(state, now)
    effects.reply = wire.VoteResponse(
        term=state.term,
        for_term=request.term,
        granted=granted,
        pre_vote=request.pre_vote,
    )


def _can_grant_vote(
    state: _core_state.State, sender: ids.MemberId, request: wire.VoteRequest
) -> bool:
    if not _is_up_to_date(state, request):
        return False
    if request.pre_vote and request.term > state.term:
        return True
    return request.term == state.term and state.vote in (None, sender)


def handle_vote_response(
    state: _core_state.State,
    now: float,
    sender: ids.MemberId,
    response: wire.VoteResponse,
    effects: _core_types.Effects,
) -> None:
    """Count a vote; move on once a majority has granted it."""
    if response.term > state.term:
        _core_state.become_follower(state, now, response.term, None, effects)
        return
    requested_term = state.term + 1 if state.pre_voting else state.term
    is_current = (
        state.role is _core_types.Role.CANDIDATE
        and response.pre_vote == state.pre_voting
        and response.for_term == requested_term
    )
    if is_current and response.granted:
        state.votes.add(sender)
        _count_votes(state, now, effects)
