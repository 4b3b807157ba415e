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
from fulmarseam.consensus import _core_founding
from fulmarseam.consensus import _interface
from fulmarseam.consensus import _storage

# How often the initial members are asked until this one is bound.
POLL_S = 0.1

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
        else:
            self._decide([])

    def check_addressee(self, message: wire.MemberRequest) -> None:
        """Refuse a message for another group or another data directory.

        A member that joins is bound to the group that sends it the first
        message. Raises `errors.DamagedDataError` when the group knows this
        member by a directory that is lost, and `errors.FulmarseamError`
        with `UNAVAILABLE` otherwise.
        """
        identity = self.identity
        if identity.founding is None and message.store != identity.store:
            raise errors.DamagedDataError(
                _core_founding.describe_refusal(identity)
            )
        if identity.founding is None and self._settings.join:
            self._bind(
                wire.Founding(group=message.group, members=wire.GroupMembers())
            )
        if (message.group, message.store) != (self.group, identity.store):
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                f'{identity.member}: found a message for group '
                f'{message.group}, store {message.store}, expected group '
                f'{self.group or "none"}, store {identity.store}',
            )

    async def run(self) -> None:
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
