"""Replacement of lost members without an operator.

Each new data directory gets a new member id, so a wiped member never comes
back under its former id. It asks to join as a new member, and the leader
replaces the former member by it.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_members

# A learner, or a voter beyond the wanted number, is removed if it has not
# answered for this long. It is longer than an election (1.2 s), during which
# a live member may not answer.
MAX_SILENCE_S = 1.5


class RemoveMember(NamedTuple):
    """A change that removes a member permanently."""

    member: ids.MemberId


class AddLearner(NamedTuple):
    """A change that adds a candidate; it becomes a voter when caught up."""

    info: wire.MemberInfo


Repair = RemoveMember | AddLearner


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


def plan_repair(
    leader: ids.MemberId,
    members: wire.GroupMembers,
    silences: Mapping[ids.MemberId, float],
    candidates: Sequence[wire.MemberInfo],
    wanted_voters: int,
) -> Repair | None:
    """Return the next change that `leader` should make, or None.

    `silences` holds the seconds since each member last answered. Three rules
    apply, in this order:

    1. Remove the former member of a candidate's host, as it has lost its
       directory.
    2. Add a candidate.
    3. Remove a silent learner, or a silent voter if there are more voters
       than wanted.
    """
    new_members = [info for info in candidates if _is_new(members, info)]
    for info in new_members:
        for former in members.members:
            if former.host == info.host and former.member != leader:
                return RemoveMember(former.member)
    if new_members:
        return AddLearner(new_members[0])
    return _plan_removal(leader, members, silences, wanted_voters)


def _is_new(members: wire.GroupMembers, info: wire.MemberInfo) -> bool:
    return (
        info.member not in members.retired
        and _core_members.find_member(members, info.member) is None
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
        if not info.voter or len(voters) > wanted_voters:
            return RemoveMember(info.member)
    return None
