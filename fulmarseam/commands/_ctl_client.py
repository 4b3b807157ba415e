"""Calls of the operator's tool to the control group."""

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
_RETRIED = frozenset(
    {
        errors.ErrorKind.NOT_LEADER,
        errors.ErrorKind.UNAVAILABLE,
        errors.ErrorKind.PROPOSAL_UNCERTAIN,
    }
)


class AdminClient:
    """Calls the leader of the control group and follows its changes.

    Requests may be sent more than once: reads change nothing, and edits
    carry an edit id.
    """

    def __init__(self, options: settings.CtlSettings) -> None:
        self._addresses: dict[str, str] = {
            str(member): address for member, address in options.control.items()
        }
        self._attempt_s = options.call_timeout_ms / 1_000
        self._total_s = options.timeout_ms / 1_000
        self._leader: str | None = None
        self._clients: dict[str, transport.RpcClient] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def call(self, message: wire.Message) -> wire.Message:
        """Return the leader's answer.

        Raises `errors.FulmarseamError` with the kind of the failure, or
        the last problem of each member when none answered in time.
        """
        end = time.monotonic() + self._total_s
        problems: dict[str, errors.FulmarseamError] = {}
        if self._leader is None:
            await self._find_leader()
        while True:
            for member in list(self._list_members()):
                left = end - time.monotonic()
                if left <= 0:
                    raise _summarize(problems)
                try:
                    return await self._call_member(member, message, left)
                except errors.FulmarseamError as error:
                    if error.kind not in _RETRIED:
                        raise
                    problems[member] = error
                    if await self._follow_hint(member, error):
                        break
            else:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def call_each(
        self, message: wire.Message
    ) -> dict[str, wire.Message | errors.FulmarseamError]:
        """Return the answer or failure of each known member."""

        async def ask(member: str) -> wire.Message | errors.FulmarseamError:
            try:
                return await self._call_member(
                    member, message, self._attempt_s
                )
            except errors.FulmarseamError as error:
                return error

        members = list(self._addresses)
        answers = await asyncio.gather(*(ask(member) for member in members))
        return dict(zip(members, answers, strict=True))

    async def call_address(
        self,
        address: str,
        message: wire.Message,
        timeout_s: float | None = None,
    ) -> wire.Message:
        """Return the answer of the process at an address.

        The time-out of one attempt applies unless `timeout_s` is given.
        """
        client = self._clients.get(address)
        if client is None:
            client = transport.RpcClient(address)
            await self._stack.enter_async_context(client)
            self._clients[address] = client
        answer = await client.call(message, timeout_s or self._attempt_s)
        return _raise_failure(answer)

    def _list_members(self) -> Iterator[str]:
        """Yield the members, the presumed leader first."""
        if self._leader in self._addresses:
            yield self._leader
        for member in list(self._addresses):
            if member != self._leader:
                yield member

    async def _call_member(
        self, member: str, message: wire.Message, left_s: float
    ) -> wire.Message:
        return await self.call_address(
            self._addresses[member], message, min(left_s, self._attempt_s)
        )

    async def _find_leader(self) -> None:
        """Ask all members at once and take the first leader named.

        One after the other, each member that is down would cost the
        time-out of an attempt.
        """
        calls = [
            asyncio.create_task(
                self._call_member(
                    member, wire.StatusRequest(), self._attempt_s
                )
            )
            for member in self._addresses
        ]
        try:
            for call in asyncio.as_completed(calls):
                with contextlib.suppress(errors.FulmarseamError):
                    found = await call
                    if isinstance(found, wire.StatusResponse) and found.leader:
                        self._note_members(found)
                        self._leader = found.leader
                        return
        finally:
            for task in calls:
                task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    async def _follow_hint(
        self, member: str, error: errors.FulmarseamError
    ) -> bool:
        """Note the leader that a member named; return whether it is news."""
        if not isinstance(error, errors.NotLeaderError):
            return False
        leader = error.leader
        if leader is None or leader == self._leader:
            return False
        if leader not in self._addresses:
            await self._learn_members(member)
        if leader not in self._addresses:
            return False
        self._leader = leader
        return leader != member

    async def _learn_members(self, member: str) -> None:
        """Ask a member for the addresses of the group.

        Addresses given to this tool are kept, since they may differ from
        those between the members.
        """
        try:
            found = await self.call_address(
                self._addresses[member], wire.StatusRequest()
            )
        except errors.FulmarseamError:
            return
        if isinstance(found, wire.StatusResponse):
            self._note_members(found)

    def _note_members(self, status: wire.StatusResponse) -> None:
        for row in status.members:
            self._addresses.setdefault(row.member, row.address)


def _raise_failure(answer: wire.Message) -> wire.Message:
    """Return an answer, or raise the failure that it holds."""
    if not isinstance(answer, wire.Failure):
        return answer
    kind = errors.ErrorKind(answer.kind)
    if kind is errors.ErrorKind.NOT_LEADER:
        raise errors.NotLeaderError(answer.leader)
    raise errors.FulmarseamError(kind, answer.detail)


def _summarize(
    problems: dict[str, errors.FulmarseamError],
) -> errors.FulmarseamError:
    """Return one error for the last problems of all members."""
    kinds = {error.kind for error in problems.values()}
    details = '; '.join(
        f'{member}: {error.detail}' for member, error in problems.items()
    )
    kind = errors.ErrorKind.UNAVAILABLE
    for uncertain in (
        errors.ErrorKind.PROPOSAL_UNCERTAIN,
        errors.ErrorKind.NOT_LEADER,
    ):
        if uncertain in kinds:
            kind = uncertain
            break
    return errors.FulmarseamError(
        kind, f'no control leader answered in time: {details}'
    )
