"""Decides whether a member is permanently out of its group.

A removed member receives no log any more, so it learns of its removal from
the members that others list. Only committed lists count, as a list that is
not committed may still be replaced. A list may also be older than the entry
that added the member: it then lacks the member although nobody removed it.
"""

from fulmarseam import wire
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_state


def describe_committed(state: _core_state.State) -> wire.CommittedMembers:
    """Return the committed members with the term of the last commit."""
    return wire.CommittedMembers(
        term=state.log.term_at(state.commit_index) or 0,
        members=state.member_history.members_at(state.commit_index),
    )


def is_retired(
    state: _core_state.State, committed: wire.CommittedMembers
) -> bool:
    """Return whether the removal of this member is committed.

    A retired id is never used again, so the age of the list is irrelevant.
    """
    return state.member_id in committed.members.retired


def is_addition_lost(
    state: _core_state.State, committed: wire.CommittedMembers
) -> bool:
    """Return whether the entry that added this member can't be committed.

    That is certain once an entry of a later term is committed and the
    members at that point lack this one: a leader of a later term has every
    entry that was committed before.
    """
    members = committed.members
    if _core_members.find_member(members, state.member_id) is not None:
        return False
    addition_term = _find_addition_term(state)
    return addition_term is not None and committed.term > addition_term


def _find_addition_term(state: _core_state.State) -> int | None:
    """Return the latest possible term of this member's addition.

    None if the addition is known to be committed.
    """
    if _core_members.find_member(state.members, state.member_id) is None:
        # The log does not reach the entry yet. The leader that sent the
        # first message had appended it in the current term or before.
        return state.term
    index = state.member_history.current_index
    if index <= state.commit_index:
        return None
    return state.log.term_at(index)
