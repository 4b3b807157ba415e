"""Which member holds a vote while another one is absent.

A leader demotes the only other voter in the failure domain of a successor, as
the platform does not tell which member a successor replaces. If it is another
one, a sound member has been demoted, and the one that ends is a silent voter.
The demoted member then holds the vote of the silent one. That one stays a
member, with its data: it may only be without power, and gets its vote back.
"""

from collections.abc import Callable
import enum

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_members


class Presence(enum.Enum):
    """What a leader knows of a member.

    `UNKNOWN` is one that has not answered this leader yet, which may have
    been elected just now.
    """

    ANSWERING = 'answering'
    UNKNOWN = 'unknown'
    SILENT = 'silent'


PresenceReader = Callable[[ids.MemberId], Presence]


def is_handing_over(
    members: wire.GroupMembers, member: ids.MemberId, wanted_voters: int
) -> bool:
    """Return whether a member that ends should wait for its substitute.

    A replaced member could hold its vote, or is about to get it.
    """
    info = _core_members.find_member(members, member)
    if info is None:
        return False
    if not info.voter:
        return len(_core_members.list_voters(members)) < wanted_voters
    return any(other.is_replaced for other in members.members)


def is_substituted(members: wire.GroupMembers, info: wire.MemberInfo) -> bool:
    """Return whether another member holds the vote of a sound member.

    Other replaced members have a successor, and end for good.
    """
    return (
        info.is_replaced
        and _core_members.find_successor(members, info.member) is None
        and (info.is_successor or _core_members.is_alone(members, info))
    )


def find_demotion(
    members: wire.GroupMembers,
    read_presence: PresenceReader,
    wanted_voters: int,
) -> ids.MemberId | None:
    """Return the voter whose vote a replaced member should get, or None."""
    voters = _core_members.list_voters(members)
    if len(voters) != wanted_voters or _has_joining_member(members):
        return None
    for voter in voters:
        if any(
            _should_substitute(members, read_presence, voter, info)
            for info in members.members
        ):
            return voter
    return None


def _should_substitute(
    members: wire.GroupMembers,
    read_presence: PresenceReader,
    voter: ids.MemberId,
    info: wire.MemberInfo,
) -> bool:
    """Return whether a member should have the vote of `voter`.

    A replaced member that answers takes the place of a silent voter. One
    that has no successor takes the place of a voter that has one, even if
    both are silent: the voter is the one that ends for good.
    """
    if not info.is_replaced:
        return False
    presence = read_presence(info.member)
    is_voter_silent = read_presence(voter) is Presence.SILENT
    if is_voter_silent and presence is Presence.ANSWERING:
        return True
    return (
        is_substituted(members, info)
        and _core_members.find_successor(members, voter) is not None
        and (
            presence is Presence.ANSWERING
            or (presence is Presence.SILENT and is_voter_silent)
        )
    )


def _has_joining_member(members: wire.GroupMembers) -> bool:
    """Return whether a learner is about to become a voter."""
    return any(
        not info.voter and not info.is_replaced for info in members.members
    )


def find_restoration(
    members: wire.GroupMembers,
    read_presence: PresenceReader,
    wanted_voters: int,
) -> ids.MemberId | None:
    """Return the replaced member that should get its vote back, or None.

    Of those that answer, one without a successor comes first. If all are
    silent, such a one gets its vote where it has it at once.
    """
    voters = _core_members.list_voters(members)
    if len(voters) >= wanted_voters or _has_joining_member(members):
        return None
    replaced = [info for info in members.members if info.is_replaced]
    sound = [info for info in replaced if is_substituted(members, info)]
    for info in (*sound, *replaced):
        if read_presence(info.member) is Presence.ANSWERING:
            return info.member
    are_silent = all(
        read_presence(info.member) is Presence.SILENT for info in replaced
    )
    if are_silent and sound and len(voters) % 2 == 0:
        return sound[0].member
    return None
