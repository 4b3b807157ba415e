"""The members of the group according to the log."""

from collections.abc import Iterable

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(wire.GroupMembers)


def encode_members(members: wire.GroupMembers) -> bytes:
    """Return the data of a `MEMBERS` entry."""
    return _encoder.encode(members)


def decode_members(data: bytes) -> wire.GroupMembers:
    """Return the members from the data of a `MEMBERS` entry.

    Raises `errors.WireError`.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.WireError(f'members: {error}') from error


class MemberHistory:
    """Member sets, each with the index of the entry that set it.

    A set takes effect as soon as its entry is in the log, committed or not,
    as required by single-server membership changes.
    """

    def __init__(self, index: int, members: wire.GroupMembers) -> None:
        self._sets = [(index, members)]

    @property
    def current(self) -> wire.GroupMembers:
        """Return the newest member set."""
        return self._sets[-1][1]

    @property
    def current_index(self) -> int:
        """Return the index of the entry that set the newest member set."""
        return self._sets[-1][0]

    def members_at(self, index: int) -> wire.GroupMembers:
        """Return the member set that applied at `index`."""
        found = self._sets[0][1]
        for position, members in self._sets:
            if position <= index:
                found = members
        return found

    def has_only_voter(self, member: ids.MemberId) -> bool:
        """Return whether `member` is the only voter in every member set."""
        return all(
            list_voters(members) == [member] for _, members in self._sets
        )

    def add_entries(self, entries: Iterable[wire.LogEntry]) -> None:
        """Add the member sets of appended entries."""
        for entry in entries:
            if entry.type is wire.LogEntryType.MEMBERS:
                self._sets.append((entry.index, decode_members(entry.data)))

    def truncate(self, first: int) -> None:
        """Drop the sets of entries from `first` on."""
        base = self._sets[0]
        later = [item for item in self._sets[1:] if item[0] < first]
        self._sets = [base, *later]

    def compact(self, index: int) -> None:
        """Replace the sets up to `index` by the last of them."""
        self.replace_base(index, self.members_at(index))

    def replace_base(self, index: int, members: wire.GroupMembers) -> None:
        """Replace the sets up to `index` by `members`."""
        later = [item for item in self._sets if item[0] > index]
        self._sets = [(index, members), *later]


def find_member(
    members: wire.GroupMembers, member: ids.MemberId
) -> wire.MemberInfo | None:
    """Return what the group has recorded for a member, or None."""
    for info in members.members:
        if info.member == member:
            return info
    return None


def find_successor(
    members: wire.GroupMembers, member: ids.MemberId
) -> wire.MemberInfo | None:
    """Return the member that joined to replace `member`, or None.

    A successor has a vote, or had one that another member holds meanwhile.
    It runs on another host in the same failure domain, which has more such
    members than when the successor joined. The host of the replaced member
    may come back and join again meanwhile. A successor itself is replaced
    by a later one only; members are listed as they joined.
    """
    replaced = find_member(members, member)
    if replaced is None:
        return None
    start = 0
    if replaced.is_successor:
        start = members.members.index(replaced) + 1
    for info in members.members[start:]:
        if (
            _has_had_vote(info)
            and info.is_successor
            and info.host != replaced.host
            and share_domain(info, replaced)
            and _count_domain_members(members, info) > info.domain_voters
        ):
            return info
    return None


def count_domain_voters(
    members: wire.GroupMembers, info: wire.MemberInfo
) -> int:
    """Return the number of voters in the failure domain of a member."""
    return sum(
        other.voter and share_domain(other, info) for other in members.members
    )


def _count_domain_members(
    members: wire.GroupMembers, info: wire.MemberInfo
) -> int:
    """Return the members of a failure domain that have or had a vote."""
    return sum(
        _has_had_vote(other) and share_domain(other, info)
        for other in members.members
    )


def _has_had_vote(info: wire.MemberInfo) -> bool:
    return info.voter or info.is_replaced


def is_alone(members: wire.GroupMembers, info: wire.MemberInfo) -> bool:
    """Return whether a member has its failure domain to itself."""
    return not any(
        other.member != info.member and share_domain(other, info)
        for other in members.members
    )


def share_domain(one: wire.MemberInfo, other: wire.MemberInfo) -> bool:
    """Return whether two members share a failure domain.

    A domain that is not known may be any of the region.
    """
    domains = {one.failure_domain, other.failure_domain}
    is_possible = len(domains) == 1 or '' in domains
    return one.region == other.region and is_possible


def list_voters(members: wire.GroupMembers) -> list[ids.MemberId]:
    """Return the ids of the voters."""
    return [info.member for info in members.members if info.voter]


def has_majority(
    members: wire.GroupMembers, agreeing: Iterable[ids.MemberId]
) -> bool:
    """Return whether `agreeing` contains a majority of the voters."""
    voters = list_voters(members)
    count = len(set(agreeing).intersection(voters))
    return 2 * count > len(voters)


def majority_value(values: list[int]) -> int:
    """Return the highest value that a majority of `values` reaches."""
    if not values:
        return 0
    return sorted(values, reverse=True)[len(values) // 2]
