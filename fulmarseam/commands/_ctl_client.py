"""Client of the operator's tool for the control group."""

import asyncio
from collections.abc import Iterator
import contextlib
import time
from typing import Self

from fulmarseam import errors
from fulmarseam import settings
from fulmarseam import transport
from fulmarseam import wire

RETRY_PAUSE_S = 0.2
# Requests that name no state on which they depend. One that is carried out
# late, after a pause of the leader or of the network, would undo later ones.
_UNORDERED_REQUESTS = (wire.Restore, wire.MemberAdd, wire.MemberRemove)
_RETRIED_KINDS = frozenset(
    {
        errors.ErrorKind.NOT_LEADER,
        errors.ErrorKind.UNAVAILABLE,
        errors.ErrorKind.PROPOSAL_UNCERTAIN,
    }
)


class AdminClient:
    """Sends requests to the leader of the control group.

    Follows changes of the leader and retries requests. This is safe: reads
    have no side effects, and edits are recognized by their edit id.
    """

    def __init__(self, options: settings.CtlSettings) -> None:
        self._addresses: dict[str, str] = {
            str(member): address for member, address in options.control.items()
        }
        self._attempt_timeout_s = options.call_timeout_ms / 1_000
        self._total_timeout_s = options.timeout_ms / 1_000
        self._leader: str | None = None
        self._clients: dict[str, transport.RpcClient] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def call(self, message: wire.Message) -> wire.Message:
        """Return the response of the leader.

        Raises `errors.FulmarseamError` with the kind of the failure, or with
        the last failure of each member if none answered in time.
        """
        deadline = time.monotonic() + self._total_timeout_s
        failures: dict[str, errors.FulmarseamError] = {}
        if self._leader is None:
            await self._find_leader()
        while True:
            for member in list(self._list_members()):
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    raise _combine_failures(failures)
                try:
                    return await self._call_member(
                        member, message, remaining_s
                    )
                except errors.FulmarseamError as error:
                    if error.kind not in _RETRIED_KINDS:
                        raise
                    failures[member] = error
                    if await self._follow_leader_hint(member, error):
                        break
            else:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def call_all_members(
        self, message: wire.Message
    ) -> dict[str, wire.Message | errors.FulmarseamError]:
        """Return the response or failure of each known member."""

        async def call_member(
            member: str,
        ) -> wire.Message | errors.FulmarseamError:
            try:
                return await self._call_member(
                    member, message, self._attempt_timeout_s
                )
            except errors.FulmarseamError as error:
                return error

        members = list(self._addresses)
        responses = await asyncio.gather(
            *(call_member(member) for member in members)
        )
        return dict(zip(members, responses, strict=True))

    async def call_address(
        self,
        address: str,
        message: wire.Message,
        timeout_s: float | None = None,
    ) -> wire.Message:
        """Return the response of the process at an address.

        `timeout_s` replaces the timeout of one attempt.
        """
        client = self._clients.get(address)
        if client is None:
            client = transport.RpcClient(address)
            await self._stack.enter_async_context(client)
            self._clients[address] = client
        response = await client.call(
            message, timeout_s or self._attempt_timeout_s
        )
        return _raise_failure(response)

    def _list_members(self) -> Iterator[str]:
        """Yield the members, the last known leader first."""
        if self._leader in self._addresses:
            yield self._leader
        for member in list(self._addresses):
            if member != self._leader:
                yield member

    async def _call_member(
        self, member: str, message: wire.Message, remaining_s: float
    ) -> wire.Message:
        timeout_s = min(remaining_s, self._attempt_timeout_s)
        address = self._addresses[member]
        if isinstance(message, _UNORDERED_REQUESTS):
            message = await self._limit_time(address, message, timeout_s)
        return await self.call_address(address, message, timeout_s)

    async def _limit_time(
        self, address: str, message: wire.Message, timeout_s: float
    ) -> wire.Message:
        """Return a request that the leader refuses once `timeout_s` is over.

        The leader reads its clock before the answer travels, so the request
        expires too early by that time, never too late. Raises
        `errors.NotLeaderError` if the member does not lead.
        """
        status = await self.call_address(
            address, wire.StatusRequest(), timeout_s
        )
        if not isinstance(status, wire.StatusResponse) or not status.clock_ms:
            return message
        if status.leadership_age_ms is None:
            raise errors.NotLeaderError(status.leader)
        return wire.TimedRequest(
            term=status.term,
            expires_ms=status.clock_ms + int(timeout_s * 1_000),
            request=wire.encode(message),
        )

    async def _find_leader(self) -> None:
        """Ask all members at once and keep the first leader named.

        In sequence, each member that is down would delay the search by the
        timeout of an attempt.
        """
        calls = [
            asyncio.create_task(
                self._call_member(
                    member, wire.StatusRequest(), self._attempt_timeout_s
                )
            )
            for member in self._addresses
        ]
        try:
            for call in asyncio.as_completed(calls):
                with contextlib.suppress(errors.FulmarseamError):
                    status = await call
                    if (
                        isinstance(status, wire.StatusResponse)
                        and status.leader
                    ):
                        self._add_addresses(status)
                        self._leader = status.leader
                        return
        finally:
            for call_task in calls:
                call_task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    async def _follow_leader_hint(
        self, member: str, error: errors.FulmarseamError
    ) -> bool:
        """Store the leader that a member named; return whether to call it."""
        if not isinstance(error, errors.NotLeaderError):
            return False
        leader = error.leader
        if leader is None or leader == self._leader:
            return False
        if leader not in self._addresses:
            await self._fetch_addresses(member)
        if leader not in self._addresses:
            return False
        self._leader = leader
        return leader != member

    async def _fetch_addresses(self, member: str) -> None:
        """Fetch the addresses of the group from a member.

        Addresses from the settings are kept, since they may differ from
        those that the members use among themselves.
        """
        try:
            status = await self.call_address(
                self._addresses[member], wire.StatusRequest()
            )
        except errors.FulmarseamError:
            return
        if isinstance(status, wire.StatusResponse):
            self._add_addresses(status)

    def _add_addresses(self, status: wire.StatusResponse) -> None:
        for member_row in status.members:
            self._addresses.setdefault(member_row.member, member_row.address)


def _raise_failure(response: wire.Message) -> wire.Message:
    """Return a response, or raise the failure that it holds."""
    if not isinstance(response, wire.Failure):
        return response
    kind = errors.ErrorKind(response.kind)
    if kind is errors.ErrorKind.NOT_LEADER:
        raise errors.NotLeaderError(response.leader)
    raise errors.FulmarseamError(kind, response.detail)


def _combine_failures(
    failures: dict[str, errors.FulmarseamError],
) -> errors.FulmarseamError:
    """Return one error for the last failures of all members."""
    kinds = {error.kind for error in failures.values()}
    details = '; '.join(
        f'{member}: {error.detail}' for member, error in failures.items()
    )
    kind = errors.ErrorKind.UNAVAILABLE
    for candidate in (
        errors.ErrorKind.PROPOSAL_UNCERTAIN,
        errors.ErrorKind.NOT_LEADER,
    ):
        if candidate in kinds:
            kind = candidate
            break
    return errors.FulmarseamError(
        kind, f'no control leader answered in time: {details}'
    )
