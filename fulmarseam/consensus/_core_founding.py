"""The first start of a member.

A new data directory gets a random store id, and a member takes part only
once it is bound to a group. The initial member with the lowest id founds
the group when it has seen that all initial members are new; the others take
the founding over from any bound member. A group therefore knows the store
id of each member, and a member whose directory was wiped is refused under
its old id instead of voting a second time in a term it forgot.
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
    """The id of a member, of its directory, and the group it is bound to.

    `founding` is None until the member is bound. A member that joined
    later has a founding without members.
    """

    member: ids.MemberId
    store: str
    founding: wire.Founding | None = None


@dataclasses.dataclass(frozen=True)
class Decision:
    """What follows from the answers of the peers; nothing means wait.

    `refusal` is why this directory cannot take part under its member id.
    """

    founding: wire.Founding | None = None
    refusal: str | None = None


def decide(
    identity: Identity,
    initial: Mapping[ids.MemberId, settings.MemberAddress],
    join: bool,
    answers: Sequence[wire.IdentityResponse],
    new_group: str,
) -> Decision:
    """Return whether to found a group, to follow one, or to give up.

    `new_group` is the id of the group if one is founded.
    """
    for answer in answers:
        if not answer.group:
            continue
        if is_known_elsewhere(identity, answer.members):
            return Decision(refusal=describe_refusal(identity))
        founding = answer.founding
        if founding and _names_store(identity, founding.members):
            return Decision(founding=founding)
    if join or identity.member != min(initial):
        return Decision()
    return _found(identity, initial, answers, new_group)


def is_known_elsewhere(identity: Identity, members: wire.GroupMembers) -> bool:
    """Return whether a group knows the id with another directory."""
    if identity.member in members.retired:
        return True
    known = _core_members.find_member(members, identity.member)
    return known is not None and known.store != identity.store


def describe_refusal(identity: Identity) -> str:
    """Return why a wiped directory is refused, and the remedy."""
    return (
        f'member_id: found {identity.member} with an empty data directory, '
        'expected the directory that the group knows this member by; '
        'restore it, or remove the member from the group and start with a '
        'new member_id and join: true'
    )


def _names_store(identity: Identity, members: wire.GroupMembers) -> bool:
    known = _core_members.find_member(members, identity.member)
    return known is not None and known.store == identity.store


def _found(
    identity: Identity,
    initial: Mapping[ids.MemberId, settings.MemberAddress],
    answers: Sequence[wire.IdentityResponse],
    new_group: str,
) -> Decision:
    stores = {answer.member: answer.store for answer in answers}
    stores[identity.member] = identity.store
    is_all_new = not any(answer.group for answer in answers)
    if not is_all_new or not set(initial) <= set(stores):
        return Decision()
    members = [
        wire.MemberInfo(
            member=member,
            address=place.address,
            region=place.region,
            store=stores[member],
        )
        for member, place in sorted(initial.items())
    ]
    return Decision(
        founding=wire.Founding(
            group=new_group, members=wire.GroupMembers(members)
        )
    )
