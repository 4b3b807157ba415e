"""Replication on a follower."""

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_state
from fulmarseam.consensus import _core_types


def accept_leader(
    state: _core_state.State,
    now: float,
    sender: ids.MemberId,
    term: int,
    effects: _core_types.Effects,
) -> bool:
    """Follow the sender unless its term is outdated."""
    if term < state.term:
        return False
    if state.is_leader and term == state.term:
        raise AssertionError(
            f'{sender} and {state.member_id} both lead term {term}'
        )
    _core_state.become_follower(state, now, term, sender, effects)
    state.leader_heard_at = now
    _core_state.reset_election_timer(state, now)
    return True


def handle_append(
    state: _core_state.State,
    now: float,
    sender: ids.MemberId,
    request: wire.AppendRequest,
    effects: _core_types.Effects,
) -> None:
    """Append the entries if the previous entry matches.

    Otherwise the reply hints at the index where the leader should continue.
    Raises `errors.WireError` and changes nothing if the entries are
    malformed.
    """
    _require_well_formed(request)
    if not accept_leader(state, now, sender, request.term, effects):
        effects.reply = _refuse_stale_term(state, request)
        return
    previous = request.previous_index
    if previous > state.log.last_index:
        effects.reply = _reject_mismatch(
            state, request, state.log.last_index + 1, 0
        )
        return
    local_term = state.log.term_at(previous)
    if local_term is not None and local_term != request.previous_term:
        first = state.log.first_index_of_term(previous)
        effects.reply = _reject_mismatch(state, request, first, local_term)
        return
    _append_new(state, request.entries, effects)
    match_index = previous + len(request.entries)
    _core_state.advance_commit(
        state, min(request.commit_index, match_index), effects
    )
    effects.reply = wire.AppendResponse(
        term=state.term,
        round=request.round,
        success=True,
        match_index=match_index,
    )


def _require_well_formed(request: wire.AppendRequest) -> None:
    for index, entry in enumerate(request.entries, request.previous_index + 1):
        if entry.index != index or index < 1:
            raise errors.WireError(
                f'entries: found index {entry.index}, expected {index}'
            )
        if entry.type is wire.LogEntryType.MEMBERS:
            _core_members.decode_members(entry.data)


def _append_new(
    state: _core_state.State,
    entries: list[wire.LogEntry],
    effects: _core_types.Effects,
) -> None:
    """Append the entries from the first one that is not in the log.

    Entries up to the base index are skipped: the snapshot covers them, so
    they are the same.
    """
    for position, entry in enumerate(entries):
        if entry.index <= state.log.base_index:
            continue
        if state.log.term_at(entry.index) != entry.term:
            _core_state.append_entries(state, entries[position:], effects)
            return


def _refuse_stale_term(
    state: _core_state.State, request: wire.AppendRequest
) -> wire.AppendResponse:
    """Refuse an append of an outdated term.

    The response carries the term of this member, so it must not confirm a
    round: by now the sender may lead that term, with round numbers that
    start at 1 again.
    """
    return wire.AppendResponse(
        term=state.term,
        round=0,
        success=False,
        rejected_index=request.previous_index,
    )


def _reject_mismatch(
    state: _core_state.State,
    request: wire.AppendRequest,
    hint_index: int,
    hint_term: int,
) -> wire.AppendResponse:
    return wire.AppendResponse(
        term=state.term,
        round=request.round,
        success=False,
        rejected_index=request.previous_index,
        hint_index=hint_index,
        hint_term=hint_term,
    )
