"""Binding of a data directory to its group at the first start."""

import asyncio
from collections.abc import Callable
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
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _discovery
from fulmarseam.consensus import _interface
from fulmarseam.consensus import _storage

# How often the initial members are asked until this one is bound.
POLL_S = 0.1
# Checks in a row, 0.3 s apart, in which no member lists this one, before it
# takes itself for forgotten. A change under way is listed within one.
UNLISTED_CHECKS = 4

_log = logbook.Logger('consensus')


class Binding:
    """The identity of a member; `on_bound` starts the replica."""

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
        self.candidates = _discovery.Candidates()
        self._finder: _discovery.Finder | None = None
        self._unlisted = 0

    @property
    def group(self) -> str:
        """Return the id of the group, or an empty text."""
        founding = self.identity.founding
        return founding.group if founding else ''

    def open(self) -> None:
        """Read the identity; a bound member, or a group of one, starts.

        Raises `errors.DamagedDataError`.
        """
        self.identity = self._storage.open(uuid.uuid4().hex)
        if self.identity.founding is not None:
            self._on_bound(self.identity.founding)
        elif self._settings.discovery is None:
            self._decide([])

    def check_addressee(self, message: wire.MemberRequest) -> None:
        """Refuse a message for another group or another data directory.

        A member that joins is bound to the group that sends it the first
        message. Raises `errors.DamagedDataError` when the group knows this
        member by a directory that is lost, and `errors.FulmarseamError`
        with `UNAVAILABLE` otherwise.
        """
        identity = self.identity
        if identity.founding is None:
            if message.store == identity.store:
                self._bind_if_joining(message.group)
            elif self._settings.discovery is None:
                raise errors.DamagedDataError(
                    _core_founding.describe_refusal(identity)
                )
            # Found by discovery, the message is for the former identity of
            # a host that lost its directory.
            identity = self.identity
        if (message.group, message.store) != (self.group, identity.store):
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'{identity.member}: found a message for group '
                f'{message.group}, store {message.store}, expected group '
                f'{self.group or "none"}, store {identity.store}',
            )

    def _bind_if_joining(self, group: str) -> None:
        """Bind this member to a group whose leader has added it.

        A member that is still to learn of a founding that names it must
        not start without the members that the founding lists.
        """
        if self._finder is not None:
            is_joining = self._finder.group == group
        else:
            is_joining = self._settings.join
        if is_joining:
            self._bind(wire.Founding(group=group, members=wire.GroupMembers()))

    async def run(self) -> None:
        """Find the group and bind this member to it."""
        if self._settings.discovery is None:
            await self._ask_initial_members()
        else:
            await self._discover(self._settings.discovery)

    async def _discover(self, discovery: _interface.DiscoverySettings) -> None:
        if self.identity.founding is not None:
            return
        me = wire.MemberInfo(
            member=self.identity.member,
            address=self._settings.address,
            region=self._settings.region,
            store=self.identity.store,
            host=discovery.host,
        )
        finder = _discovery.Finder(discovery, me, self.candidates)
        self._finder = finder
        while self.identity.founding is None:
            answers = await finder.ask_all()
            founding = finder.find_founding(answers)
            if founding is None and not finder.group:
                founding = finder.try_to_found(answers, uuid.uuid4().hex)
            if founding is not None and self.identity.founding is None:
                self._bind(founding)
            await asyncio.sleep(_discovery.ASK_INTERVAL_S)

    async def _ask_initial_members(self) -> None:
        """Ask the initial members until this one is bound.

        Raises `errors.DamagedDataError` when the group knows this member
        by another data directory.
        """
        addresses = [
            place.address
            for member, place in self._settings.members.items()
            if member != self.identity.member
        ]
        async with contextlib.AsyncExitStack() as stack:
            clients = [
                await stack.enter_async_context(transport.RpcClient(address))
                for address in addresses
            ]
            while self.identity.founding is None:
                answers = await asyncio.gather(
                    *(self._ask(client) for client in clients)
                )
                if self.identity.founding is None:
                    self._decide([item for item in answers if item])
                await asyncio.sleep(POLL_S)

    async def is_retired(self, replica: _core.Replica | None) -> bool:
        """Return whether the group does without this member for good.

        Either it lists the member as removed, or nobody lists it at all:
        the change that added it was lost with the leader that proposed it.
        """
        if replica is None:
            return False
        me = self.identity.member
        if me in replica.members.retired:
            return True
        if replica.leader is not None or self._settings.discovery is None:
            self._unlisted = 0
            return False
        addresses = {info.address for info in replica.members.members}
        addresses.update(self._settings.discovery.seeds)
        addresses.discard(self._settings.address)
        answers = await asyncio.gather(
            *(self._ask_member(address) for address in sorted(addresses))
        )
        lists = [
            answer.members
            for answer in answers
            if answer is not None and answer.group == self.group
        ]
        if any(me in members.retired for members in lists):
            return True
        if not lists or any(
            _core_members.find_member(members, me) for members in lists
        ):
            self._unlisted = 0
            return False
        self._unlisted += 1
        return self._unlisted >= UNLISTED_CHECKS

    async def _ask_member(self, address: str) -> wire.IdentityResponse | None:
        async with transport.RpcClient(address) as client:
            return await self._ask(client)

    async def _ask(
        self, client: transport.RpcClient
    ) -> wire.IdentityResponse | None:
        try:
            answer = await client.call(
                wire.IdentityRequest(sender=self.identity.member),
                self._settings.election_min_s,
            )
        except errors.FulmarseamError:
            return None
        return answer if isinstance(answer, wire.IdentityResponse) else None

    def _decide(self, answers: list[wire.IdentityResponse]) -> None:
        decision = _core_founding.decide(
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


async def fetch_store(
    me: ids.MemberId,
    group: str,
    member: ids.MemberId,
    address: str,
    timeout_s: float,
) -> str:
    """Return the store id of a member that wants to join the group.

    Raises `errors.TransportError`, or `errors.FulmarseamError` with
    `INVALID_EDIT` when another member or one of another group answers.
    """
    async with transport.RpcClient(address) as client:
        answer = await client.call(wire.IdentityRequest(sender=me), timeout_s)
    if not isinstance(answer, wire.IdentityResponse):
        raise errors.TransportError(
            f'{address}: found no member of a control group'
        )
    if answer.member != member or answer.group not in ('', group):
        raise errors.FulmarseamError(
            errors.ErrorKind.INVALID_EDIT,
            f'{address}: found member {answer.member} of group '
            f'{answer.group or "none"}, expected {member} of no group',
        )
    return answer.store
