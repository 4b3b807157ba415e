"""A member: the replica connected to files, clock and transport."""

from typing import Self

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _interface


class Member:
    """A member of the control group.

    The owner serves RPC on the member's address and passes the messages
    of `PEER_MESSAGES` to `handle`; the member calls its peers itself::

        member = consensus.Member(settings, machine)
        async with member, transport.RpcServer(address, member.handle):
            result = await member.propose(b'command')
    """

    def __init__(
        self,
        settings: _interface.MemberSettings,
        machine: _interface.Machine,
    ) -> None:
        raise NotImplementedError

    async def __aenter__(self) -> Self:
        """Read the data directory and start to take part.

        Raises `errors.DamagedDataError` when the directory cannot be used.
        """
        raise NotImplementedError

    async def __aexit__(self, *exc_info: object) -> None:
        raise NotImplementedError

    async def handle(self, message: wire.Message) -> wire.Message:
        """Answer a message of another member; see `PEER_MESSAGES`."""
        raise NotImplementedError

    async def propose(self, command: bytes) -> bytes:
        """Append a command and return the result of applying it.

        Raises `errors.NotLeaderError` when nothing was appended,
        `errors.ProposalUncertainError` when the entry may still be
        committed, and `errors.FulmarseamError` with `UNAVAILABLE` when too
        many proposals are pending, with nothing appended.
        """
        raise NotImplementedError

    def leader(self) -> ids.MemberId | None:
        """Return the leader that this member knows of."""
        raise NotImplementedError

    def leading_term(self) -> ids.Term | None:
        """Return the term that this member leads, or None.

        It is set only after the first entry of the term was applied, so
        the machine then holds every accepted command.
        """
        raise NotImplementedError

    async def wait_leadership_change(
        self, known: ids.Term | None
    ) -> ids.Term | None:
        """Return `leading_term` as soon as it differs from `known`::

        term = None
        while True:
            term = await member.wait_leadership_change(term)
        """
        raise NotImplementedError

    def leadership_age(self) -> float | None:
        """Return the seconds since a majority last confirmed this leader.

        They count from the start of the last round that a majority
        answered. None when not leading, when no entry of the own term was
        applied yet, or when older than the leader lease.
        """
        raise NotImplementedError

    async def confirm_leadership(self) -> None:
        """Wait for a round that starts now and that a majority answers.

        Raises `errors.NotLeaderError` when this member does not lead.
        """
        raise NotImplementedError

    async def add_member(
        self, member: ids.MemberId, address: str, region: ids.RegionName
    ) -> None:
        """Add a member with an empty data directory as a learner.

        Returns when the group has accepted the learner. It becomes a voter
        by itself when it has caught up; see `status`. Raises
        `errors.FulmarseamError` with `INVALID_EDIT` when the id was used
        before or another change is in progress, and what `propose` raises.
        """
        raise NotImplementedError

    async def remove_member(self, member: ids.MemberId) -> None:
        """Remove a member for good; its id cannot come back.

        Raises what `add_member` raises.
        """
        raise NotImplementedError

    def status(self) -> _interface.MemberStatus:
        """Return this member's view of the group."""
        raise NotImplementedError

    async def wait_failed(self) -> None:
        """Wait until the member cannot go on, and raise the reason.

        A daemon runs this beside its work and ends with the error. A
        failed write or sync is not reported here: it ends the process.
        """
        raise NotImplementedError
