"""Types of the public interface of a member."""

from collections.abc import Mapping
import dataclasses
from typing import Protocol

from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import wire
from fulmarseam.consensus import _core_types


class StateMachine(Protocol):
    """The state machine that the log replicates.

    All methods are deterministic and run on the event loop. `apply` returns
    a result also for a command that it refuses; an exception from `apply`
    ends the process.
    """

    def apply(self, command: bytes) -> bytes:
        """Run one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state in serialized form."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by the result of an earlier `snapshot`."""


@dataclasses.dataclass(frozen=True)
class DiscoverySettings:
    """Settings for finding the group where no list of members is given.

    `seeds` are addresses of members; they may become outdated later. The
    member at the first seed founds the group if `first_start` is set.
    `wanted_voters` is the number of voters that the group is founded with
    and that repairs restore.
    """

    host: ids.HostId
    failure_domain: ids.DomainName
    seeds: tuple[str, ...]
    wanted_voters: int
    first_start: bool = False


@dataclasses.dataclass(frozen=True)
class MemberSettings:
    """Settings of a member of the control group; times in seconds.

    `members` are the initial members and `address` is the address at
    which the other members reach this one. The addresses in `members`
    override those in the log. With `discovery`, the members find each other
    and the leader replaces lost members without an operator.
    """

    member_id: ids.MemberId
    region: ids.RegionName
    address: str
    data_dir: str
    members: Mapping[ids.MemberId, settings.MemberAddress]
    join: bool = False
    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2
    clock_drift: float = 0.01
    snapshot_every: int = 5_000
    discovery: DiscoverySettings | None = None

    @classmethod
    def from_control(
        cls, control: settings.ControlSettings
    ) -> 'MemberSettings':
        """Return the member settings from those of the control daemon."""
        return cls(
            member_id=control.member_id,
            region=control.region,
            address=control.listen,
            data_dir=control.data_dir,
            members=control.members,
            join=control.join,
            heartbeat_s=control.heartbeat_ms / 1_000,
            election_min_s=control.election_min_ms / 1_000,
            election_max_s=control.election_max_ms / 1_000,
            clock_drift=control.clock_drift,
            snapshot_every=control.snapshot_every,
        )


@dataclasses.dataclass(frozen=True)
class MemberStatus:
    """A member's view of the group.

    `group` is empty until the member is bound to a group. `snapshot_index`
    is the last index covered by the newest snapshot. `match_indexes` is
    empty except on the leader.
    """

    member_id: ids.MemberId
    group: str
    role: _core_types.Role
    term: ids.Term
    leader: ids.MemberId | None
    first_index: int
    last_index: int
    commit_index: int
    snapshot_index: int
    members: tuple[wire.MemberInfo, ...]
    match_indexes: Mapping[ids.MemberId, int]
