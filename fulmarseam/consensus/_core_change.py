"""Membership changes, one at a time."""

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_rounds
from fulmarseam.consensus import _core_state
from fulmarseam.consensus import _core_types


def sync_peers(state: _core_state.State) -> None:
    """Keep one peer for each other member of the group."""
    others = [
        info.member
        for info in state.members.members
        if info.member != state.member_id
    ]
    for member in list(state.peers):
        if member not in others:
            del state.peers[member]
    for member in others:
        if member not in state.peers:
            state.peers[member] = _core_state.Peer(state.log.last_index + 1)


def _can_change(state: _core_state.State) -> bool:
    """Return whether a membership change may start.

    None may be pending, and the leader must have committed an entry of its
    own term. Otherwise changes of two leaders could both take effect without
    a majority in common.
    """
    return (
        _core_rounds.has_committed_in_term(state)
        and state.member_history.current_index <= state.commit_index
    )


def _make_refusal(detail: str) -> errors.FulmarseamError:
    return errors.FulmarseamError(errors.ErrorKind.INVALID_EDIT, detail)


def _require_change_allowed(state: _core_state.State) -> None:
    if not _can_change(state):
        raise _make_refusal(
            'members: found a change in progress, expected none'
        )


def add_learner(
    state: _core_state.State,
    info: wire.MemberInfo,
    effects: _core_types.Effects,
) -> None:
    """Append the change that adds a learner.

    Raises `errors.FulmarseamError` with `INVALID_EDIT`.
    """
    members = state.members
    existing = _core_members.find_member(members, info.member)
    if existing is not None and existing.store == info.store:
        effects.first_index = state.member_history.current_index
        return
    if existing is not None or info.member in members.retired:
        raise _make_refusal(
            f'member: found {info.member}, expected an id that this group '
            'has never had'
        )
    _require_change_allowed(state)
    learner = msgspec.structs.replace(info, voter=False)
    changed = wire.GroupMembers([*members.members, learner], members.retired)
    effects.first_index = _append_change(state, changed, effects)


def remove_member(
    state: _core_state.State,
    now: float,
    member: ids.MemberId,
    effects: _core_types.Effects,
) -> None:
    """Append the change that removes a member permanently.

    Raises `errors.FulmarseamError` with `INVALID_EDIT`, also when less than
    a majority of the remaining voters has answered recently.
    """
    members = state.members
    if member in members.retired:
        effects.first_index = state.member_history.current_index
        return
    if _core_members.find_member(members, member) is None:
        raise _make_refusal(
            f'member: found {member}, expected a member of the group'
        )
    _require_change_allowed(state)
    remaining = [info for info in members.members if info.member != member]
    changed = wire.GroupMembers(remaining, [*members.retired, member])
    _require_reachable_majority(state, now, member, changed)
    effects.first_index = _append_change(state, changed, effects)


def demote_member(
    state: _core_state.State,
    now: float,
    member: ids.MemberId,
    effects: _core_types.Effects,
) -> None:
    """Append the change that makes a replaced voter a learner.

    A leader may demote itself: it goes on to lead, and counts for no
    majority. Raises like `remove_member`.
    """
    members = state.members
    found = _core_members.find_member(members, member)
    if found is None or not found.voter:
        raise _make_refusal(f'member: found {member}, expected a voter')
    _require_change_allowed(state)
    learner = msgspec.structs.replace(found, voter=False, is_replaced=True)
    changed = wire.GroupMembers(
        [learner if info is found else info for info in members.members],
        members.retired,
    )
    _require_reachable_majority(state, now, member, changed)
    effects.first_index = _append_change(state, changed, effects)


def restore_member(
    state: _core_state.State,
    member: ids.MemberId,
    effects: _core_types.Effects,
) -> None:
    """Append the change that gives a replaced learner its vote back.

    It gets the vote at once if the majority needs no more votes then, even
    if it does not answer. Otherwise it has to catch up first. Raises
    `errors.FulmarseamError` with `INVALID_EDIT`.
    """
    members = state.members
    found = _core_members.find_member(members, member)
    if found is None or not found.is_replaced:
        raise _make_refusal(
            f'member: found {member}, expected a replaced member'
        )
    _require_change_allowed(state)
    has_vote = len(_core_members.list_voters(members)) % 2 == 0
    restored = msgspec.structs.replace(
        found, voter=has_vote, is_replaced=False
    )
    changed = wire.GroupMembers(
        [restored if info is found else info for info in members.members],
        members.retired,
    )
    effects.first_index = _append_change(state, changed, effects)


def _require_reachable_majority(
    state: _core_state.State,
    now: float,
    member: ids.MemberId,
    changed: wire.GroupMembers,
) -> None:
    """Refuse a change that takes the vote of a member that is needed."""
    reachable = _list_reachable(state, now)
    if not _core_members.has_majority(changed, reachable):
        voters = _core_members.list_voters(changed)
        raise _make_refusal(
            f'member: found {member}, expected a member without which a '
            f'majority of the voters ({", ".join(voters) or "none"}) is '
            'reachable'
        )


def _list_reachable(
    state: _core_state.State, now: float
) -> list[ids.MemberId]:
    reachable = [state.member_id]
    for member, peer in state.peers.items():
        last_response_at = peer.last_response_at
        if last_response_at is None:
            continue
        if now - last_response_at < state.config.election_max_s:
            reachable.append(member)
    return reachable


def promote_learner(
    state: _core_state.State, effects: _core_types.Effects
) -> bool:
    """Make a learner a voter once it has every committed entry."""
    if not _can_change(state):
        return False
    for info in state.members.members:
        if info.voter or info.is_replaced:
            continue
        peer = state.peers.get(info.member)
        # A leader that was demoted and restored has all entries.
        is_caught_up = info.member == state.member_id or (
            peer is not None and peer.match_index >= state.commit_index
        )
        if is_caught_up:
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
    """Append an entry that sets the members; return its index."""
    entry = wire.LogEntry(
        state.log.last_index + 1,
        state.term,
        wire.LogEntryType.MEMBERS,
        _core_members.encode_members(members),
    )
    _core_state.append_entries(state, [entry], effects)
    sync_peers(state)
    return entry.index


def is_own_removal_committed(state: _core_state.State) -> bool:
    """Return whether the removal of this leader is committed."""
    return (
        state.is_leader
        and _core_members.find_member(state.members, state.member_id) is None
        and state.member_history.current_index <= state.commit_index
    )
