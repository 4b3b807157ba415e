"""Membership changes, one at a time."""

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_rounds
from fulmarseam.consensus import _core_state
from fulmarseam.consensus import _core_types


def follow_members(state: _core_state.State) -> None:
    """Keep one peer for each other member in force."""
    others = [
        info.member
        for info in state.members.members
        if info.member != state.me
    ]
    for member in list(state.peers):
        if member not in others:
            del state.peers[member]
    for member in others:
        if member not in state.peers:
            state.peers[member] = _core_state.Peer(state.log.last_index + 1)


def _can_change(state: _core_state.State) -> bool:
    """Return whether no change is pending.

    A leader first commits an entry of its own term, because otherwise two
    changes of different leaders could be in force without a common
    majority.
    """
    return (
        _core_rounds.is_confirmed_term(state)
        and state.history.current_index <= state.commit_index
    )


def _refuse(detail: str) -> errors.FulmarseamError:
    return errors.FulmarseamError(errors.ErrorKind.INVALID_EDIT, detail)


def _require_changeable(state: _core_state.State) -> None:
    if not _can_change(state):
        raise _refuse('members: found a change in progress, expected none')


def add_learner(
    state: _core_state.State,
    info: wire.MemberInfo,
    effects: _core_types.Effects,
) -> None:
    """Append the change that adds a learner.

    Raises `errors.FulmarseamError` with `INVALID_EDIT`.
    """
    members = state.members
    known = _core_members.find_member(members, info.member)
    if known is not None and known.store == info.store:
        effects.first_index = state.history.current_index
        return
    if known is not None or info.member in members.retired:
        raise _refuse(
            f'member: found {info.member}, expected an id that this group '
            'has never had'
        )
    _require_changeable(state)
    learner = msgspec.structs.replace(info, voter=False)
    changed = wire.GroupMembers([*members.members, learner], members.retired)
    effects.first_index = _append_change(state, changed, effects)


def remove_member(
    state: _core_state.State,
    now: float,
    member: ids.MemberId,
    effects: _core_types.Effects,
) -> None:
    """Append the change that removes a member for good.

    Raises `errors.FulmarseamError` with `INVALID_EDIT`, also when too few
    of the voters left have answered lately to go on without the member.
    """
    members = state.members
    if member in members.retired:
        effects.first_index = state.history.current_index
        return
    if _core_members.find_member(members, member) is None:
        raise _refuse(f'member: found {member}, expected one of the group')
    _require_changeable(state)
    left = [info for info in members.members if info.member != member]
    changed = wire.GroupMembers(left, [*members.retired, member])
    reachable = _list_reachable(state, now)
    if not _core_members.has_majority(changed, reachable):
        voters = _core_members.list_voters(changed)
        raise _refuse(
            f'member: found {member}, expected one without which a '
            f'majority of the voters ({", ".join(voters) or "none"}) can '
            'be reached'
        )
    effects.first_index = _append_change(state, changed, effects)


def _list_reachable(
    state: _core_state.State, now: float
) -> list[ids.MemberId]:
    reachable = [state.me]
    for member, peer in state.peers.items():
        answered_at = peer.answered_at
        if answered_at is None:
            continue
        if now - answered_at < state.config.election_max_s:
            reachable.append(member)
    return reachable


def promote_learner(
    state: _core_state.State, effects: _core_types.Effects
) -> bool:
    """Make a learner a voter once it holds every committed entry."""
    if not _can_change(state):
        return False
    for info in state.members.members:
        peer = state.peers.get(info.member)
        if info.voter or peer is None:
            continue
        if peer.match_index >= state.commit_index:
            _append_change(state, _with_voter(state.members, info), effects)
            return True
    return False


def _with_voter(
    members: wire.GroupMembers, learner: wire.MemberInfo
) -> wire.GroupMembers:
    voter = msgspec.structs.replace(learner, voter=True)
    return wire.GroupMembers(
        [voter if info == learner else info for info in members.members],
        members.retired,
    )


def _append_change(
    state: _core_state.State,
    members: wire.GroupMembers,
    effects: _core_types.Effects,
) -> int:
    """Append a member set and return its index."""
    entry = wire.LogEntry(
        state.log.last_index + 1,
        state.term,
        wire.EntryType.MEMBERS,
        _core_members.encode_members(members),
    )
    _core_state.append_entries(state, [entry], effects)
    follow_members(state)
    return entry.index


def has_left(state: _core_state.State) -> bool:
    """Return whether this leader's own removal is committed."""
    return (
        state.leads
        and _core_members.find_member(state.members, state.me) is None
        and state.history.current_index <= state.commit_index
    )
