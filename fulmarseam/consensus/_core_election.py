"""Elections: pre-votes, votes and leader stickiness."""

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_leader
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_rounds
from fulmarseam.consensus import _core_state
from fulmarseam.consensus import _core_types

# A failed attempt is repeated after a random part of the minimum election
# timeout. The spread has to exceed a round trip between regions (40 ms) so
# that two candidates rarely collide twice.
_RETRY_MIN_SHARE = 0.25
_RETRY_MAX_SHARE = 0.5


def tick(
    state: _core_state.State, now: float, effects: _core_types.Effects
) -> None:
    """Ask for pre-votes when no leader was heard in time."""
    if now < state.election_at:
        return
    if not state.may_campaign:
        _core_state.postpone_election(state, now)
        return
    state.role = _core_types.Role.CANDIDATE
    state.leader = None
    state.pre_voting = True
    _ask_for_votes(state, now, state.term + 1, effects)


def _ask_for_votes(
    state: _core_state.State,
    now: float,
    term: int,
    effects: _core_types.Effects,
) -> None:
    shortest = state.config.election_min_s
    state.election_at = now + state.rng.uniform(
        shortest * _RETRY_MIN_SHARE, shortest * _RETRY_MAX_SHARE
    )
    state.votes = {state.me}
    request = wire.VoteRequest(
        term=term,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre_vote=state.pre_voting,
    )
    for voter in _core_members.list_voters(state.members):
        if voter != state.me:
            effects.messages.append(_core_types.Outgoing(voter, request))
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
    _core_state.set_term(state, state.term + 1, state.me, effects)
    _ask_for_votes(state, now, state.term, effects)


def _follows_leader(state: _core_state.State, now: float) -> bool:
    """Return whether a leader was heard within the minimum timeout.

    The leader lease rests on this rule.
    """
    heard_at = state.heard_at
    if state.leads:
        heard_at = _core_rounds.last_confirmed_at(state)
    return now - heard_at < state.config.election_min_s


def _is_up_to_date(
    state: _core_state.State, request: wire.VoteRequest
) -> bool:
    theirs = (request.last_term, request.last_index)
    return theirs >= (state.log.last_term, state.log.last_index)


def handle_request(
    state: _core_state.State,
    now: float,
    sender: ids.MemberId,
    request: wire.VoteRequest,
    effects: _core_types.Effects,
) -> None:
    """Grant or refuse a vote or pre-vote."""
    granted = False
    if not _follows_leader(state, now):
        if request.term > state.term and not request.pre_vote:
            _core_state.become_follower(
                state, now, request.term, None, effects
            )
        granted = _may_vote(state, sender, request)
        if granted and not request.pre_vote:
            _core_state.set_term(state, request.term, sender, effects)
            _core_state.postpone_election(state, now)
    effects.reply = wire.VoteResponse(
        term=state.term,
        for_term=request.term,
        granted=granted,
        pre_vote=request.pre_vote,
    )


def _may_vote(
    state: _core_state.State, sender: ids.MemberId, request: wire.VoteRequest
) -> bool:
    if not _is_up_to_date(state, request):
        return False
    if request.pre_vote and request.term > state.term:
        return True
    return request.term == state.term and state.vote in (None, sender)


def handle_response(
    state: _core_state.State,
    now: float,
    sender: ids.MemberId,
    response: wire.VoteResponse,
    effects: _core_types.Effects,
) -> None:
    """Count a vote."""
    if response.term > state.term:
        _core_state.become_follower(state, now, response.term, None, effects)
        return
    asked_term = state.term + 1 if state.pre_voting else state.term
    is_current = (
        state.role is _core_types.Role.CANDIDATE
        and response.pre_vote == state.pre_voting
        and response.for_term == asked_term
    )
    if is_current and response.granted:
        state.votes.add(sender)
        _count_votes(state, now, effects)
