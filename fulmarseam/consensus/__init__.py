"""The replicated log of the control group.

A `Member` replicates the commands of a `StateMachine` to the other members
of its group. Pass messages of the types in `PEER_MESSAGES` to `handle`::

    member = consensus.Member(
        consensus.MemberSettings.from_control(loaded), state_machine
    )
    async with member:
        result = await member.propose(b'command')
"""

from fulmarseam import wire
from fulmarseam.consensus._core_types import Role
from fulmarseam.consensus._interface import DiscoverySettings
from fulmarseam.consensus._interface import MemberSettings
from fulmarseam.consensus._interface import MemberStatus
from fulmarseam.consensus._interface import StateMachine
from fulmarseam.consensus._runtime import Member
from fulmarseam.consensus._storage import clear_directory
from fulmarseam.consensus._storage import DirectoryUnavailableError
from fulmarseam.consensus._storage import load_or_assign_member_id
from fulmarseam.consensus._storage import StorageFailedError

PEER_MESSAGES = (
    wire.MemberRequest,
    wire.IdentityRequest,
)

__all__ = [
    'DirectoryUnavailableError',
    'PEER_MESSAGES',
    'DiscoverySettings',
    'Member',
    'MemberSettings',
    'MemberStatus',
    'Role',
    'StateMachine',
    'StorageFailedError',
    'clear_directory',
    'load_or_assign_member_id',
]
