"""Decides how a new data directory is bound to a group.

A new data directory gets a random store id, and its member takes part only
once it is bound to a group. The initial member with the lowest id founds the
group once all initial members have answered and none belongs to a group; the
others copy the founding record from any bound member. A group therefore
knows the store id of each member. A member whose directory was wiped is
refused under its old id, because it could vote twice in a term whose vote it
has lost.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import wire
from fulmarseam.consensus import _core_members


@dataclasses.dataclass(frozen=True)
class Identity:
    """The ids of a member and of its data directory, and its group.

    `founding` is None until the member is bound to a group. For a member
    that joined later, `founding` has no members.
    """

    member: ids.MemberId
    store_id: str
    founding: wire.Founding | None = None


@dataclasses.dataclass(frozen=True)
class BindingDecision:
    """The result of asking the other members; wait if both are None.

    `refusal` is why this directory cannot be used under its member id.
    """

    founding: wire.Founding | None = None
    refusal: str | None = None


def decide_binding(
    identity: Identity,
    initial: Mapping[ids.MemberId, settings.MemberAddress],
    join: bool,
    answers: Sequence[wire.IdentityResponse],
    new_group_id: str,
) -> BindingDecision:
    """Decide whether to found a group, join one, wait or give up.

    `new_group_id` is the id of the group in case this member founds it.
    """
    for answer in answers:
        if not answer.group:
            continue
        if has_conflicting_identity(identity, answer.members):
            return BindingDecision(refusal=describe_refusal(identity))
        founding = answer.founding
        if founding and _lists_store(identity, founding.members):
            return BindingDecision(founding=founding)
    if join or identity.member != min(initial):
        return BindingDecision()
    return _try_found_group(identity, initial, answers, new_group_id)


def has_conflicting_identity(
    identity: Identity, members: wire.GroupMembers
) -> bool:
    """Return whether the id was removed or belongs to another directory."""
    if identity.member in members.retired:
        return True
    info = _core_members.find_member(members, identity.member)
    return info is not None and info.store != identity.store_id


def describe_refusal(identity: Identity) -> str:
    """Return why a wiped directory is refused, and what to do."""
    return (
        f'member_id: found {identity.member} with an empty data directory, '
        'expected the directory that the group has recorded for this member; '
        'restore it, or remove the member from the group and start with a '
        'new member_id and join: true'
    )


def _lists_store(identity: Identity, members: wire.GroupMembers) -> bool:
    info = _core_members.find_member(members, identity.member)
    return info is not None and info.store == identity.store_id


def _try_found_group(
    identity: Identity,
    initial: Mapping[ids.MemberId, settings.MemberAddress],
    answers: Sequence[wire.IdentityResponse],
    new_group_id: str,
) -> BindingDecision:
    stores = {answer.member: answer.store for answer in answers}
    stores[identity.member] = identity.store_id
    are_all_new = not any(answer.group for answer in answers)
    if not are_all_new or not set(initial) <= set(stores):
        return BindingDecision()
    members = [
        wire.MemberInfo(
            member=member,
            address=location.address,
            region=location.region,
            store=stores[member],
        )
        for member, location in sorted(initial.items())
    ]
    return BindingDecision(
        founding=wire.Founding(
            group=new_group_id, members=wire.GroupMembers(members)
        )
    )
