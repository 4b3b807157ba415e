"""Binding of a data directory to its group at the first start."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import uuid

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.consensus import _core
from fulmarseam.consensus import _core_founding
from fulmarseam.consensus import _discovery
from fulmarseam.consensus import _interface
from fulmarseam.consensus import _removal
from fulmarseam.consensus import _storage

# How often an unbound member queries the initial members.
POLL_INTERVAL_S = 0.1

_log = logbook.Logger('consensus')


class GroupBinding:
    """Finds the group of a member; `on_bound` then starts the replica."""

    def __init__(
        self,
        settings: _interface.MemberSettings,
        storage: _storage.Storage,
        on_bound: Callable[[wire.Founding], None],
    ) -> None:
        self._settings = settings
        self._storage = storage
        self._on_bound = on_bound
        self.identity = _core_founding.Identity(settings.member_id, '')
        self.candidates = _discovery.JoinCandidates()
        self._finder: _discovery.GroupFinder | None = None
        self._seeds: tuple[str, ...] = ()
        if settings.discovery is not None:
            self._seeds = settings.discovery.seeds
        self._removals = _removal.RemovalTracker()

    @property
    def group(self) -> str:
        """Return the id of the group, or an empty string if unbound."""
        founding = self.identity.founding
        return founding.group if founding else ''

    @property
    def may_found(self) -> bool | None:
        """Return whether this member's settings let it found a group."""
        discovery = self._settings.discovery
        return None if discovery is None else discovery.first_start

    def open(self) -> None:
        """Read the identity; start a bound member or a group of one member.

        Raises `errors.DamagedDataError`.
        """
        self.identity = self._storage.open(uuid.uuid4().hex)
        if self.identity.founding is not None:
            self._on_bound(self.identity.founding)
        elif self._settings.discovery is None:
            self._decide_binding([])

    def check_recipient(self, message: wire.MemberRequest) -> None:
        """Refuse a message for another group or another data directory.

        The first message that a joining member receives binds it to the
        sender's group. Raises `errors.DamagedDataError` if the group knows
        this member by a directory that is lost, and `errors.FulmarseamError`
        with `UNAVAILABLE` in other cases.
        """
        identity = self.identity
        if identity.founding is None:
            if message.store == identity.store_id:
                self._bind_if_joining(message.group)
            elif self._settings.discovery is None:
                raise errors.DamagedDataError(
                    _core_founding.describe_refusal(identity)
                )
            # With discovery, such a message is meant for the former member
            # of a host that has lost its directory.
            identity = self.identity
        if (message.group, message.store) != (self.group, identity.store_id):
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'{identity.member}: found a message for group '
                f'{message.group}, store {message.store}, expected group '
                f'{self.group or "none"}, store {identity.store_id}',
            )

    def _bind_if_joining(self, group: str) -> None:
        """Bind this member, if it is joining, to the group that added it.

        A member that the founding record lists must not start before it has
        received that record with its members.
        """
        if self._finder is not None:
            is_joining = self._finder.joinable_group == group
        else:
            is_joining = self._settings.join
        if is_joining:
            self._bind(wire.Founding(group=group, members=wire.GroupMembers()))

    async def run(self) -> None:
        """Find the group and bind this member to it."""
        if self._settings.discovery is None:
            await self._poll_initial_members()
        else:
            await self._discover(self._settings.discovery)

    async def _discover(self, discovery: _interface.DiscoverySettings) -> None:
        if self.identity.founding is not None:
            return
        own_info = wire.MemberInfo(
            member=self.identity.member,
            address=self._settings.address,
            region=self._settings.region,
            store=self.identity.store_id,
            host=discovery.host,
            failure_domain=discovery.failure_domain,
        )
        finder = _discovery.GroupFinder(discovery, own_info, self.candidates)
        self._finder = finder
        while self.identity.founding is None:
            answers = await finder.query_all()
            founding = finder.find_founding(answers)
            if founding is None and not finder.joinable_group:
                founding = finder.try_found_group(answers, uuid.uuid4().hex)
            if founding is not None and self.identity.founding is None:
                self._bind(founding)
            await asyncio.sleep(_discovery.QUERY_INTERVAL_S)

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Search for the group at other seeds, beside the former ones."""
        self._seeds = seeds
        self.add_addresses(seeds)

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Search for the group at these addresses too, if unbound."""
        if self._finder is not None:
            self._finder.add_addresses(addresses)

    async def _poll_initial_members(self) -> None:
        """Query the initial members until this member is bound.

        Raises `errors.DamagedDataError` when the group knows this member
        by another data directory.
        """
        addresses = [
            location.address
            for member, location in self._settings.members.items()
            if member != self.identity.member
        ]
        async with contextlib.AsyncExitStack() as stack:
            clients = [
                await stack.enter_async_context(transport.RpcClient(address))
                for address in addresses
            ]
            while self.identity.founding is None:
                answers = await asyncio.gather(
                    *(
                        self._query_identity(
                            client,
                            wire.IdentityRequest(sender=self.identity.member),
                        )
                        for client in clients
                    )
                )
                if self.identity.founding is None:
                    self._decide_binding([item for item in answers if item])
                await asyncio.sleep(POLL_INTERVAL_S)

    async def is_removed(self, replica: _core.Replica | None) -> bool:
        """Return whether this member is permanently out of the group.

        A member without a leader asks the others what they have committed.
        """
        if replica is None:
            return False
        if replica.is_retired(replica.committed_members):
            return True
        if replica.leader is not None or self._settings.discovery is None:
            self._removals.clear()
            return False
        return self._removals.update(
            replica,
            await self._query_committed_members(replica),
        )

    async def _query_committed_members(
        self, replica: _core.Replica
    ) -> list[wire.CommittedMembers]:
        """Return what each reachable member of the group has committed."""
        addresses = {info.address for info in replica.members.members}
        addresses.update(self._seeds)
        addresses.discard(self._settings.address)
        answers = await asyncio.gather(
            *(self.query_identity(address) for address in sorted(addresses))
        )
        return [
            answer.committed
            for answer in answers
            if answer is not None
            and answer.group == self.group
            and answer.committed is not None
        ]

    async def announce_group(
        self, members: wire.GroupMembers, silent: Iterable[ids.MemberId]
    ) -> None:
        """Tell the hosts of silent members where the group is."""
        addresses = [info.address for info in members.members]
        await asyncio.gather(
            *(
                self.query_identity(info.address, group_addresses=addresses)
                for info in members.members
                if info.member in silent
            )
        )

    async def query_identity(
        self,
        address: str,
        leaving: bool = False,
        group_addresses: Sequence[str] = (),
    ) -> wire.IdentityResponse | None:
        """Return the identity of the member at an address, or None."""
        request = wire.IdentityRequest(
            sender=self.identity.member,
            leaving=leaving,
            group_addresses=list(group_addresses),
        )
        async with transport.RpcClient(address) as client:
            return await self._query_identity(client, request)

    async def _query_identity(
        self, client: transport.RpcClient, request: wire.IdentityRequest
    ) -> wire.IdentityResponse | None:
        try:
            answer = await client.call(request, self._settings.election_min_s)
        except errors.FulmarseamError:
            return None
        return answer if isinstance(answer, wire.IdentityResponse) else None

    def _decide_binding(self, answers: list[wire.IdentityResponse]) -> None:
        decision = _core_founding.decide_binding(
            self.identity,
            self._settings.members,
            self._settings.join,
            answers,
            uuid.uuid4().hex,
        )
        if decision.refusal is not None:
            raise errors.DamagedDataError(decision.refusal)
        if decision.founding is not None:
            self._bind(decision.founding)

    def _bind(self, founding: wire.Founding) -> None:
        self.identity = self._storage.bind(self.identity, founding)
        _log.info(telemetry.format_event('group_bound', group=founding.group))
        self._on_bound(founding)


async def fetch_store_id(
    sender: ids.MemberId,
    group: str,
    member: ids.MemberId,
    address: str,
    timeout_s: float,
) -> str:
    """Return the store id of a member that is to join the group.

    Raises `errors.TransportError`, or `errors.FulmarseamError` with
    `INVALID_EDIT` if another member or a member of another group answers.
    """
    async with transport.RpcClient(address) as client:
        answer = await client.call(
            wire.IdentityRequest(sender=sender), timeout_s
        )
    if not isinstance(answer, wire.IdentityResponse):
        raise errors.TransportError(
            f'{address}: found no member of a control group, expected one'
        )
    if answer.member != member or answer.group not in ('', group):
        raise errors.FulmarseamError(
            errors.ErrorKind.INVALID_EDIT,
            f'{address}: found member {answer.member} of group '
            f'{answer.group or "none"}, expected {member} of no group',
        )
    return answer.store
