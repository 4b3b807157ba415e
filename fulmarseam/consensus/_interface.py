"""Types that users of a member deal with."""

from collections.abc import Mapping
import dataclasses
from typing import Protocol

from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import wire
from fulmarseam.consensus import _core_types


class StateMachine(Protocol):
    """The state that the log replicates.

    All methods are deterministic and are called on the event loop. A
    command that is refused is answered by `apply` with a result; an
    exception from `apply` ends the process.
    """

    def apply(self, command: bytes) -> bytes:
        """Run one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that `snapshot` returned."""


@dataclasses.dataclass(frozen=True)
class DiscoverySettings:
    """How members find each other where no list of members is given.

    `seeds` are the addresses of some members, which may be out of date
    later. The member at the first of them founds the group when
    `first_start` is set; `wanted_voters` is the size that the group is
    founded with and repaired to.
    """

    host: ids.HostId
    seeds: tuple[str, ...]
    wanted_voters: int
    first_start: bool = False


@dataclasses.dataclass(frozen=True)
class MemberSettings:
    """Settings of a member of the control group; times in seconds.

    `members` are the initial members and `address` is the address at
    which the others reach this one. Entries of `members` also override
    the replicated addresses. With `discovery` the members find each other
    and the leader replaces lost ones by itself.
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
        """Return the member's part of the settings of the daemon."""
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

    `group` is empty while the member waits for its group. `snapshot_index`
    is the last index covered by the newest snapshot. `match_indexes` are
    known on the leader only.
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
