"""Messages between the members of the control group."""

import enum

import msgspec

from fulmarseam import ids


class MemberInfo(msgspec.Struct, frozen=True, kw_only=True):
    """A member of the group.

    `store` is the random id of its data directory; a directory that was
    wiped gets a new id. A learner (`voter` false) receives the log but
    does not count towards a majority. `host` is the host it runs on, empty
    in a group whose members are named by an operator; `failure_domain` is
    that of the host, empty if a member of an earlier release added it.
    `is_successor` is set for a member that joined to replace another one of
    its failure domain, which then had `domain_voters`. `is_replaced` is set
    for a learner whose vote a successor or a substitute has.
    """

    member: ids.MemberId
    address: str
    region: ids.RegionName
    store: str
    voter: bool = True
    host: ids.HostId = ids.HostId('')
    failure_domain: ids.DomainName = ids.DomainName('')
    is_successor: bool = False
    domain_voters: int = 0
    is_replaced: bool = False


class GroupMembers(msgspec.Struct, frozen=True):
    """The members of the group and the ids that must not be reused."""

    members: list[MemberInfo] = []
    retired: list[ids.MemberId] = []


class LogEntryType(enum.Enum):
    """The kinds of log entries."""

    COMMAND = 'c'
    TERM_START = 't'
    MEMBERS = 'm'


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    `data` is a command of the state machine, or encoded `GroupMembers`.
    """

    index: int
    term: int
    type: LogEntryType
    data: bytes = b''


class VoteRequest(
    msgspec.Struct, tag='vote_request', frozen=True, kw_only=True
):
    """Asks for a vote or, with `pre_vote`, whether it would be granted."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool


class VoteResponse(
    msgspec.Struct, tag='vote_response', frozen=True, kw_only=True
):
    """The response to a vote request for term `for_term`."""

    term: int
    for_term: int
    granted: bool
    pre_vote: bool


class AppendRequest(
    msgspec.Struct, tag='append_request', frozen=True, kw_only=True
):
    """Log entries that follow (`previous_index`, `previous_term`).

    `round` is the leader's confirmation round number.
    """

    term: int
    round: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: list[LogEntry] = []


class AppendResponse(
    msgspec.Struct, tag='append_response', frozen=True, kw_only=True
):
    """The response to an append request.

    With `success` the logs are equal up to `match_index`. Otherwise the
    leader continues at `hint_index`, or after its own last entry of
    `hint_term` when it has one; `hint_term` 0 means the log is shorter.
    """

    term: int
    round: int
    success: bool
    match_index: int = 0
    rejected_index: int = 0
    hint_index: int = 0
    hint_term: int = 0


class SnapshotMeta(msgspec.Struct, frozen=True, kw_only=True):
    """The log position, members, size in bytes and CRC-32 of a snapshot."""

    index: int
    term: int
    members: GroupMembers
    size: int
    checksum: int


class SnapshotChunk(
    msgspec.Struct, tag='snapshot_chunk', frozen=True, kw_only=True
):
    """A part of a snapshot that starts at byte `offset`."""

    term: int
    round: int
    meta: SnapshotMeta
    offset: int
    data: bytes


class SnapshotResponse(
    msgspec.Struct, tag='snapshot_response', frozen=True, kw_only=True
):
    """The response to a snapshot chunk.

    `index` identifies the snapshot and `next_offset` is the first missing
    byte. With `done` the member has all log entries up to `index`.
    """

    term: int
    round: int
    index: int
    next_offset: int
    done: bool


ReplicaRequest = VoteRequest | AppendRequest | SnapshotChunk
ReplicaResponse = VoteResponse | AppendResponse | SnapshotResponse
ReplicaMessage = ReplicaRequest | ReplicaResponse


class MemberRequest(
    msgspec.Struct, tag='member_request', frozen=True, kw_only=True
):
    """A request to a member whose data directory has the id `store`."""

    group: str
    sender: ids.MemberId
    store: str
    body: ReplicaRequest


class MemberResponse(
    msgspec.Struct, tag='member_response', frozen=True, kw_only=True
):
    """The response of a member."""

    sender: ids.MemberId
    body: ReplicaResponse


class Founding(msgspec.Struct, frozen=True, kw_only=True):
    """The initial members of a group, all of which were new."""

    group: str
    members: GroupMembers


class CommittedMembers(msgspec.Struct, frozen=True, kw_only=True):
    """The members as of the last entry that a member knows is committed.

    `term` is the term of that entry, or 0 if there is none.
    """

    term: int
    members: GroupMembers


class IdentityRequest(
    msgspec.Struct, tag='identity_request', frozen=True, kw_only=True
):
    """Asks a member for its identity.

    `candidate` describes a sender that is in no group and wants to be in one.
    `leaving` is set by a member that has a successor and is about to end.
    `is_first_start` is set if the candidate's host has lost no disk since the
    first start of the system. `group_addresses` are those of the members of
    the sender's group, sent to a host that may have lost its disk.
    """

    sender: ids.MemberId
    candidate: MemberInfo | None = None
    leaving: bool = False
    is_first_start: bool = False
    group_addresses: list[str] = []


class IdentityResponse(
    msgspec.Struct, tag='identity_response', frozen=True, kw_only=True
):
    """A member's id and data directory.

    `group` is empty while the member belongs to no group. `members` is the
    membership currently known to the member, committed or not; `founding` is
    the initial membership of the group. `committed` is missing from a member
    that is not bound, and from members of earlier releases. `may_found` tells
    whether this is the first start of the system for the member; it is None
    if that is not known.
    """

    member: ids.MemberId
    store: str
    group: str
    members: GroupMembers
    founding: Founding | None = None
    committed: CommittedMembers | None = None
    may_found: bool | None = None
