"""Replacement of lost members without an operator.

Each new data directory gets a new member id, so a wiped member never comes
back under its former id. It asks to join as a new member, and the leader
replaces the former member by it.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_types
from fulmarseam.consensus import _substitution

# A learner, or a voter that has a successor, is removed if it has not answered
# for this long. It is longer than an election (1.2 s), during which a live
# member may not answer.
MAX_SILENCE_S = 1.5
# A voter beyond the wanted number without a successor is removed if it has not
# answered for this long, and so is a learner whose vote another member holds
# meanwhile. A member that is only without power or cut off, as whole regions
# are for minutes, keeps its data and gets its vote back.
MAX_UNREPLACED_SILENCE_S = 600.0
# A member that has not asked to leave for this long goes on, or is silent by
# then.
LEAVE_EXPIRY_S = MAX_SILENCE_S + 0.5


class RemoveMember(NamedTuple):
    """A change that removes a member permanently."""

    member: ids.MemberId


class AddLearner(NamedTuple):
    """A change that adds a candidate; it becomes a voter when caught up."""

    info: wire.MemberInfo

    @property
    def member(self) -> ids.MemberId:
        """Return the id of the candidate."""
        return self.info.member


class DemoteMember(NamedTuple):
    """A change that takes the vote of a member that has a successor."""

    member: ids.MemberId


class RestoreMember(NamedTuple):
    """A change that lets a replaced member become a voter again."""

    member: ids.MemberId


Repair = RemoveMember | AddLearner | DemoteMember | RestoreMember


def apply_repair(
    replica: _core.Replica, now: float, change: Repair
) -> _core_types.Effects:
    """Append a change; raises like the method of the replica."""
    match change:
        case AddLearner(info):
            return replica.add_learner(now, info)
        case RemoveMember(member):
            return replica.remove_member(now, member)
        case DemoteMember(member):
            return replica.demote_member(now, member)
        case RestoreMember(member):
            return replica.restore_member(now, member)


class SilenceTracker:
    """Tracks how long ago each member last answered; times in seconds.

    A member counts as heard at its first update. Otherwise a new member, or
    every member after a change of the leader, would count as silent.
    """

    def __init__(self) -> None:
        self._last_heard_at: dict[ids.MemberId, float] = {}

    def clear(self) -> None:
        """Forget all members; called while this member does not lead."""
        self._last_heard_at.clear()

    def update(
        self, now: float, last_responses: Mapping[ids.MemberId, float | None]
    ) -> dict[ids.MemberId, float]:
        """Return the silence of each member in `last_responses`."""
        self._last_heard_at = {
            member: max(
                self._last_heard_at.get(member, now), last_response_at or 0.0
            )
            for member, last_response_at in last_responses.items()
        }
        return {
            member: now - heard_at
            for member, heard_at in self._last_heard_at.items()
        }


def list_silent(
    now: float, last_responses: Mapping[ids.MemberId, float | None]
) -> list[ids.MemberId]:
    """Return the members that have not answered the leader for long."""
    return [
        member
        for member, last_response_at in last_responses.items()
        if last_response_at is None or now - last_response_at >= MAX_SILENCE_S
    ]


class LeavingMembers:
    """Members that asked to leave the group; times in seconds."""

    def __init__(self) -> None:
        self._asked_at: dict[ids.MemberId, float] = {}

    def add(self, now: float, member: ids.MemberId) -> None:
        """Record that a member has asked to leave."""
        self._asked_at[member] = now

    def list_recent(self, now: float) -> list[ids.MemberId]:
        """Return the members that asked recently."""
        self._asked_at = {
            member: asked_at
            for member, asked_at in self._asked_at.items()
            if now - asked_at <= LEAVE_EXPIRY_S
        }
        return list(self._asked_at)


def can_leave(
    members: wire.GroupMembers, member: ids.MemberId, wanted_voters: int
) -> bool:
    """Return whether the group keeps enough voters without a member."""
    info = _core_members.find_member(members, member)
    voters = _core_members.list_voters(members)
    if info is not None and info.is_replaced:
        return len(
            voters
        ) >= wanted_voters and not _substitution.is_substituted(members, info)
    return (
        len(voters) > wanted_voters
        and _core_members.find_successor(members, member) is not None
    )


def plan_repair(
    leader: ids.MemberId,
    members: wire.GroupMembers,
    silences: Mapping[ids.MemberId, float],
    candidates: Sequence[wire.MemberInfo],
    wanted_voters: int,
    leaving: Collection[ids.MemberId] = (),
    unheard: Collection[ids.MemberId] = (),
) -> Repair | None:
    """Return the next change that `leader` should make, or None.

    `silences` holds the seconds since each member last answered, counted
    from the election at most; `unheard` are those of `list_silent`. Seven
    rules apply, in this order:

    1. Remove a member that asked to leave and has a successor, which may be
       the leader.
    2. Remove the former member of a candidate's host, as it has lost its
       directory.
    3. Add a candidate.
    4. Remove a silent learner. If there are more voters than wanted, remove
       a silent voter that has a successor.
    5. Demote a voter if a replaced member should have its vote.
    6. If there are more voters than wanted, demote the only other voter in
       the failure domain of a successor. It may end at any moment, and would
       count as a voter until its silence is noticed.
    7. Restore a replaced member if there are fewer voters than wanted.
    """
    for member in leaving:
        if can_leave(members, member, wanted_voters):
            return RemoveMember(member)
    new_members = [info for info in candidates if _is_new(members, info)]
    for info in new_members:
        for former in members.members:
            if former.host == info.host and former.member != leader:
                return RemoveMember(former.member)
    if new_members:
        return _plan_addition(members, new_members[0], wanted_voters)

    def read_presence(member: ids.MemberId) -> _substitution.Presence:
        if member in leaving or silences.get(member, 0.0) >= MAX_SILENCE_S:
            return _substitution.Presence.SILENT
        if member in unheard:
            return _substitution.Presence.UNKNOWN
        return _substitution.Presence.ANSWERING

    removal = _plan_removal(leader, members, silences, wanted_voters)
    if removal is not None:
        return removal
    voter = _substitution.find_demotion(members, read_presence, wanted_voters)
    if voter is not None:
        return DemoteMember(voter)
    demotion = _plan_demotion(members, silences, wanted_voters)
    if demotion is not None:
        return demotion
    replaced = _substitution.find_restoration(
        members, read_presence, wanted_voters
    )
    return None if replaced is None else RestoreMember(replaced)


def _is_new(members: wire.GroupMembers, info: wire.MemberInfo) -> bool:
    return (
        info.member not in members.retired
        and _core_members.find_member(members, info.member) is None
    )


def _plan_addition(
    members: wire.GroupMembers, added: wire.MemberInfo, wanted_voters: int
) -> AddLearner:
    """Return the addition of a member, marked if it is a successor.

    A host that the group does not know replaces another one. Known hosts
    have lost their disk or come back after their removal. In a group that
    has its voters already, the first of a failure domain is the successor,
    which may have lost its disk as well.
    """
    voters = _core_members.list_voters(members)
    domain_voters = _core_members.count_domain_voters(members, added)
    has_successor = any(
        info.is_successor and _core_members.share_domain(info, added)
        for info in members.members
    )
    is_successor = not _had_member(members, added.host) or (
        len(voters) >= wanted_voters and not has_successor
    )
    return AddLearner(
        msgspec.structs.replace(
            added, is_successor=is_successor, domain_voters=domain_voters
        )
    )


def _had_member(members: wire.GroupMembers, host: ids.HostId) -> bool:
    """Return whether the group has or had a member on a host."""
    retired_hosts = {
        ids.HostId(member.rpartition('.')[0]) for member in members.retired
    }
    return host in retired_hosts or any(
        info.host == host for info in members.members
    )


def _plan_removal(
    leader: ids.MemberId,
    members: wire.GroupMembers,
    silences: Mapping[ids.MemberId, float],
    wanted_voters: int,
) -> Repair | None:
    voters = _core_members.list_voters(members)
    silent = sorted(
        (
            info
            for info in members.members
            if info.member != leader
            and silences.get(info.member, 0.0) >= MAX_SILENCE_S
        ),
        key=lambda info: -silences[info.member],
    )
    for info in silent:
        is_gone = (
            not _substitution.is_substituted(members, info)
            or silences[info.member] >= MAX_UNREPLACED_SILENCE_S
        )
        if not info.voter and is_gone:
            return RemoveMember(info.member)
    if len(voters) <= wanted_voters:
        return None
    for info in silent:
        if _core_members.find_successor(members, info.member) is not None:
            return RemoveMember(info.member)
    for info in silent:
        if silences[info.member] >= MAX_UNREPLACED_SILENCE_S:
            return RemoveMember(info.member)
    return None


def _plan_demotion(
    members: wire.GroupMembers,
    silences: Mapping[ids.MemberId, float],
    wanted_voters: int,
) -> Repair | None:
    """Return the demotion of a voter that is certain to be replaced.

    With several other voters in its failure domain, nothing tells which of
    them a successor replaces.
    """
    if len(_core_members.list_voters(members)) <= wanted_voters:
        return None
    for info in members.members:
        successor = _core_members.find_successor(members, info.member)
        if (
            info.voter
            and successor is not None
            and silences.get(successor.member, 0.0) < MAX_SILENCE_S
            and _core_members.count_domain_voters(members, info) == 2
        ):
            return DemoteMember(info.member)
    return None
