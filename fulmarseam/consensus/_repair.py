"""Replacement of lost members without an operator.

A data directory gets a new member id, so a wiped member never comes back
under its former identity: it asks the group to let it in as a new member,
and the leader exchanges the two.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_members

# A voter beyond the wanted number is removed after this silence. It is
# longer than an election (1.2 s), in which a live member may not answer.
MAX_SILENCE_S = 1.5


class RemoveMember(NamedTuple):
    """The leader removes a member for good."""

    member: ids.MemberId


class AddLearner(NamedTuple):
    """The leader adds a candidate, which becomes a voter by itself."""

    info: wire.MemberInfo


Repair = RemoveMember | AddLearner


class SilenceTracker:
    """How long the members have been silent; times in seconds.

    A member counts as heard when the leader first sees it, so a new member
    or a new leader does not find everyone silent.
    """

    def __init__(self) -> None:
        self._last_heard_at: dict[ids.MemberId, float] = {}

    def clear(self) -> None:
        """Forget all members; called while another member leads."""
        self._last_heard_at.clear()

    def update(
        self, now: float, last_responses: Mapping[ids.MemberId, float | None]
    ) -> dict[ids.MemberId, float]:
        """Return the silence of each member of `last_responses`."""
        self._last_heard_at = {
            member: max(
                self._last_heard_at.get(member, now), last_response_at or 0.0
            )
            for member, last_response_at in last_responses.items()
        }
        return {member: now - at for member, at in self._last_heard_at.items()}


def plan_repair(
    leader: ids.MemberId,
    members: wire.GroupMembers,
    silences: Mapping[ids.MemberId, float],
    candidates: Sequence[wire.MemberInfo],
    wanted_voters: int,
) -> Repair | None:
    """Return the next change that the leader `leader` makes, or None.

    `silences` holds the seconds since each member last last_responses. Three
    rules apply in this order: the former member of a candidate's host has
    lost its directory and is removed; a candidate is added; a member that
    is silent although there are voters enough without it is removed.
    """
    new = [info for info in candidates if _is_new(members, info)]
    for info in new:
        for known in members.members:
            if known.host == info.host and known.member != leader:
                return RemoveMember(known.member)
    if new:
        return AddLearner(new[0])
    return _find_silent_member(leader, members, silences, wanted_voters)


def _is_new(members: wire.GroupMembers, info: wire.MemberInfo) -> bool:
    return (
        info.member not in members.retired
        and _core_members.find_member(members, info.member) is None
    )


def _find_silent_member(
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
