"""Replication from the leader to its peers."""

from collections.abc import Sequence

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_change
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_rounds
from fulmarseam.consensus import _core_state
from fulmarseam.consensus import _core_transfer
from fulmarseam.consensus import _core_types


def become_leader(
    state: _core_state.State, now: float, effects: _core_types.Effects
) -> None:
    """Become the leader of the current term and append its first entry."""
    state.role = _core_types.Role.LEADER
    state.leader = state.member_id
    state.votes.clear()
    state.rounds = _core_state.Rounds()
    state.leader_since = now
    state.heartbeat_due_at = now + state.config.heartbeat_s
    state.term_start_index = state.log.last_index + 1
    state.peers.clear()
    _core_change.sync_peers(state)
    entry = wire.LogEntry(
        state.term_start_index, state.term, wire.LogEntryType.TERM_START
    )
    _core_state.append_entries(state, [entry], effects)
    broadcast(state, now, effects)


def propose(
    state: _core_state.State,
    now: float,
    commands: Sequence[bytes],
    effects: _core_types.Effects,
) -> None:
    """Append commands and send them."""
    first = state.log.last_index + 1
    entries = [
        wire.LogEntry(index, state.term, wire.LogEntryType.COMMAND, command)
        for index, command in enumerate(commands, first)
    ]
    _core_state.append_entries(state, entries, effects)
    effects.first_index = first
    broadcast(state, now, effects)


def tick(
    state: _core_state.State, now: float, effects: _core_types.Effects
) -> None:
    """Send due heartbeats; step down if no majority answers any more."""
    if _core_rounds.has_lost_quorum(state, now):
        _core_state.become_follower(state, now, state.term, None, effects)
        return
    if now >= state.heartbeat_due_at:
        for peer in state.peers.values():
            _reset_stalled(state, now, peer)
        send_heartbeats(state, now, effects)


def send_heartbeats(
    state: _core_state.State, now: float, effects: _core_types.Effects
) -> int:
    """Start a round with a message to each peer; return its number."""
    number = _core_rounds.start_round(state, now)
    state.heartbeat_due_at = now + state.config.heartbeat_s
    for member, peer in state.peers.items():
        if not _send_pending(state, now, member, peer, effects):
            _send_heartbeat(state, member, peer, effects)
    _update_progress(state, now, effects)
    return number


def broadcast(
    state: _core_state.State, now: float, effects: _core_types.Effects
) -> None:
    """Start a round and send new entries to all peers that are ready."""
    _core_rounds.start_round(state, now)
    for member, peer in state.peers.items():
        _send_pending(state, now, member, peer, effects)
    _update_progress(state, now, effects)


def _reset_stalled(
    state: _core_state.State, now: float, peer: _core_state.Peer
) -> None:
    """Prepare to resend what was not answered in an election timeout."""
    is_pending = peer.awaiting_response or bool(peer.in_flight)
    if (
        not is_pending
        or now - peer.last_activity_at < state.config.election_min_s
    ):
        return
    peer.awaiting_response = False
    if peer.mode is _core_state.PeerMode.REPLICATE:
        _start_probe(peer, peer.match_index + 1)


def _start_probe(peer: _core_state.Peer, next_index: int) -> None:
    peer.mode = _core_state.PeerMode.PROBE
    peer.awaiting_response = False
    peer.in_flight.clear()
    peer.next_index = next_index


def _send_heartbeat(
    state: _core_state.State,
    member: ids.MemberId,
    peer: _core_state.Peer,
    effects: _core_types.Effects,
) -> None:
    """Send an append without entries, based on the last matching entry."""
    previous_index = peer.match_index
    previous_term = state.log.term_at(previous_index)
    if previous_term is None:
        previous_index, previous_term = 0, 0
    request = wire.AppendRequest(
        term=state.term,
        round=state.rounds.current,
        previous_index=previous_index,
        previous_term=previous_term,
        commit_index=min(state.commit_index, previous_index),
    )
    effects.messages.append(_core_types.OutgoingRequest(member, request))


def _send_pending(
    state: _core_state.State,
    now: float,
    member: ids.MemberId,
    peer: _core_state.Peer,
    effects: _core_types.Effects,
) -> bool:
    """Send what the peer lacks, within limits; return if any was sent."""
    sent = False
    while _can_send(state, peer):
        in_transfer = peer.mode is _core_state.PeerMode.SNAPSHOT
        if not in_transfer and _needs_snapshot(state, peer):
            _core_transfer.start_transfer(state, peer)
            in_transfer = True
        if in_transfer:
            _core_transfer.send_chunk(state, now, member, peer, effects)
        else:
            _send_entries(state, now, member, peer, effects)
        sent = True
    return sent


def _can_send(state: _core_state.State, peer: _core_state.Peer) -> bool:
    if peer.mode is not _core_state.PeerMode.REPLICATE:
        return not peer.awaiting_response
    return (
        peer.next_index <= state.log.last_index
        and len(peer.in_flight) < state.config.max_appends_in_flight
    )


def _needs_snapshot(state: _core_state.State, peer: _core_state.Peer) -> bool:
    return state.log.term_at(peer.next_index - 1) is None


def _send_entries(
    state: _core_state.State,
    now: float,
    member: ids.MemberId,
    peer: _core_state.Peer,
    effects: _core_types.Effects,
) -> None:
    config = state.config
    previous = peer.next_index - 1
    entries = state.log.read_batch(
        peer.next_index, config.max_batch_entries, config.max_batch_bytes
    )
    request = wire.AppendRequest(
        term=state.term,
        round=state.rounds.current,
        previous_index=previous,
        previous_term=state.log.term_at(previous) or 0,
        commit_index=state.commit_index,
        entries=entries,
    )
    effects.messages.append(_core_types.OutgoingRequest(member, request))
    if not peer.in_flight:
        peer.last_activity_at = now
    if peer.mode is _core_state.PeerMode.PROBE:
        peer.awaiting_response = True
        return
    peer.next_index = previous + len(entries) + 1
    peer.in_flight.append(previous + len(entries))


def handle_append_response(
    state: _core_state.State,
    now: float,
    sender: ids.MemberId,
    response: wire.AppendResponse,
    effects: _core_types.Effects,
) -> None:
    """Record the progress of a peer and send what follows."""
    peer = _record_response(
        state, now, sender, response.term, response.round, effects
    )
    if peer is None:
        return
    if response.success:
        _record_match(now, peer, response.match_index)
    else:
        _rewind_next_index(state, peer, response)
    _send_pending(state, now, sender, peer, effects)
    _update_progress(state, now, effects)


def handle_snapshot_response(
    state: _core_state.State,
    now: float,
    sender: ids.MemberId,
    response: wire.SnapshotResponse,
    effects: _core_types.Effects,
) -> None:
    """Continue a snapshot transfer, or the log after it."""
    peer = _record_response(
        state, now, sender, response.term, response.round, effects
    )
    if peer is None:
        return
    _core_transfer.advance_transfer(now, peer, response)
    _send_pending(state, now, sender, peer, effects)
    _update_progress(state, now, effects)


def _record_response(
    state: _core_state.State,
    now: float,
    sender: ids.MemberId,
    term: int,
    number: int,
    effects: _core_types.Effects,
) -> _core_state.Peer | None:
    """Record a response; return its peer, or None if it is outdated."""
    if term > state.term:
        _core_state.become_follower(state, now, term, None, effects)
        return None
    peer = state.peers.get(sender)
    if not state.is_leader or term < state.term or peer is None:
        return None
    peer.last_response_at = now
    peer.acknowledged_round = max(peer.acknowledged_round, number)
    return peer


def _record_match(now: float, peer: _core_state.Peer, index: int) -> None:
    if index > peer.match_index:
        peer.last_activity_at = now
    peer.match_index = max(peer.match_index, index)
    while peer.in_flight and peer.in_flight[0] <= peer.match_index:
        peer.in_flight.popleft()
    is_probe = peer.mode is _core_state.PeerMode.PROBE
    if is_probe and peer.match_index >= peer.next_index - 1:
        peer.mode = _core_state.PeerMode.REPLICATE
        peer.awaiting_response = False
        peer.next_index = peer.match_index + 1


def _rewind_next_index(
    state: _core_state.State,
    peer: _core_state.Peer,
    response: wire.AppendResponse,
) -> None:
    """Choose an earlier index to probe, skipping a whole term at a time."""
    rejected = response.rejected_index
    if rejected <= peer.match_index:
        return
    if peer.mode is _core_state.PeerMode.REPLICATE:
        _start_probe(peer, peer.match_index + 1)
        return
    is_answer_to_probe = rejected == peer.next_index - 1
    if peer.mode is not _core_state.PeerMode.PROBE or not is_answer_to_probe:
        return
    next_index = response.hint_index
    if response.hint_term:
        last_common = state.log.last_index_of_term(
            response.hint_term, rejected
        )
        if last_common is not None:
            next_index = last_common + 1
    next_index = max(peer.match_index + 1, min(next_index, rejected))
    _start_probe(peer, next_index)


def _update_progress(
    state: _core_state.State, now: float, effects: _core_types.Effects
) -> None:
    """Update the rounds, the commit index and the membership."""
    _core_rounds.update_confirmed_round(state)
    _commit(state, effects)
    if _core_change.is_own_removal_committed(state):
        _core_state.become_follower(state, now, state.term, None, effects)
    elif _core_change.promote_learner(state, effects):
        broadcast(state, now, effects)


def _commit(state: _core_state.State, effects: _core_types.Effects) -> None:
    """Commit what a majority has stored, up to an entry of this term.

    An entry of an earlier term is committed only together with an entry of
    this term, since a later leader could still replace it otherwise.
    """
    match_indexes = []
    for voter in _core_members.list_voters(state.members):
        peer = state.peers.get(voter)
        if voter == state.member_id:
            match_indexes.append(state.log.last_index)
        else:
            match_indexes.append(peer.match_index if peer else 0)
    index = _core_members.majority_value(match_indexes)
    if index > state.commit_index and state.log.term_at(index) == state.term:
        _core_state.advance_commit(state, index, effects)
