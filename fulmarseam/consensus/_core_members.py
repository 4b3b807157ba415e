"""The members of the group as the log sets them."""

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
    """Return the members that a `MEMBERS` entry holds.

    Raises `errors.WireError`.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.WireError(f'members: {error}') from error


class MemberHistory:
    """Sets of members by the index of the entry that set them.

    A set is in force from the moment its entry is in the log, committed
    or not, as single-server changes require.
    """

    def __init__(self, index: int, members: wire.GroupMembers) -> None:
        self._sets = [(index, members)]

    @property
    def current(self) -> wire.GroupMembers:
        """Return the members in force."""
        return self._sets[-1][1]

    @property
    def current_index(self) -> int:
        """Return the index that set the members in force."""
        return self._sets[-1][0]

    def at(self, index: int) -> wire.GroupMembers:
        """Return the members as of `index`."""
        found = self._sets[0][1]
        for position, members in self._sets:
            if position <= index:
                found = members
        return found

    def has_only_voter(self, member: ids.MemberId) -> bool:
        """Return whether `member` is the only voter of all sets known."""
        return all(
            list_voters(members) == [member] for _, members in self._sets
        )

    def note(self, entries: Iterable[wire.LogEntry]) -> None:
        """Take over the member sets of appended entries."""
        for entry in entries:
            if entry.type is wire.EntryType.MEMBERS:
                self._sets.append((entry.index, decode_members(entry.data)))

    def truncate(self, first: int) -> None:
        """Forget the sets of the entries from `first` on."""
        base = self._sets[0]
        later = [item for item in self._sets[1:] if item[0] < first]
        self._sets = [base, *later]

    def compact(self, index: int) -> None:
        """Fold the sets up to `index` into the base."""
        self.replace_base(index, self.at(index))

    def replace_base(self, index: int, members: wire.GroupMembers) -> None:
        """Replace the sets up to `index` by the one of a snapshot."""
        later = [item for item in self._sets if item[0] > index]
        self._sets = [(index, members), *later]


def find_member(
    members: wire.GroupMembers, member: ids.MemberId
) -> wire.MemberInfo | None:
    """Return the entry of a member, or None."""
    for info in members.members:
        if info.member == member:
            return info
    return None


def list_voters(members: wire.GroupMembers) -> list[ids.MemberId]:
    """Return the ids of the voters."""
    return [info.member for info in members.members if info.voter]


def has_majority(
    members: wire.GroupMembers, agreeing: Iterable[ids.MemberId]
) -> bool:
    """Return whether `agreeing` holds a majority of the voters."""
    voters = list_voters(members)
    count = len(set(agreeing).intersection(voters))
    return 2 * count > len(voters)


def majority_value(values: list[int]) -> int:
    """Return the highest value that a majority has reached."""
    if not values:
        return 0
    return sorted(values, reverse=True)[len(values) // 2]
