"""Inputs of the next step of a member, and results that are pending."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core
from fulmarseam.consensus import _core_types

MAX_QUEUED_MESSAGES = 4_096
MAX_PENDING_PROPOSALS = 8_192

Change = Callable[[float], _core_types.Effects]


@dataclasses.dataclass
class ReceivedMessage:
    """A received message; for a request with the future of its reply."""

    sender: ids.MemberId
    body: wire.ReplicaMessage
    reply: asyncio.Future[wire.ReplicaResponse] | None = None


@dataclasses.dataclass
class Proposal:
    """A command and the future of its result."""

    command: bytes
    result: asyncio.Future[bytes]


@dataclasses.dataclass
class ProposedChange:
    """A membership change and the future of its commit."""

    change: Change
    done: asyncio.Future[None]


@dataclasses.dataclass
class StepInputs:
    """Inputs that the next step handles together."""

    messages: list[ReceivedMessage] = dataclasses.field(default_factory=list)
    proposals: list[Proposal] = dataclasses.field(default_factory=list)
    changes: list[ProposedChange] = dataclasses.field(default_factory=list)
    confirmations: list[asyncio.Future[None]] = dataclasses.field(
        default_factory=list
    )

    def has_any(self) -> bool:
        """Return whether any input is queued."""
        return bool(
            self.messages
            or self.proposals
            or self.changes
            or self.confirmations
        )

    def fail(self, error: errors.FulmarseamError) -> None:
        """Fail the futures of all queued inputs."""
        for received in self.messages:
            if received.reply is not None:
                reject(received.reply, error)
        for proposal in self.proposals:
            reject(proposal.result, error)
        for change in self.changes:
            reject(change.done, error)
        for future in self.confirmations:
            reject(future, error)


def resolve(future: asyncio.Future[Any], result: Any) -> None:
    """Set the result unless the future is already done or cancelled."""
    if not future.done():
        future.set_result(result)


def reject(future: asyncio.Future[Any], error: Exception) -> None:
    """Set the error unless the future is already done or cancelled."""
    if not future.done():
        future.set_exception(error)


class PendingResults:
    """Futures of proposals, changes and rounds in one term of leadership."""

    def __init__(self) -> None:
        self._term = 0
        self._proposals: dict[int, asyncio.Future[bytes]] = {}
        self._changes: list[tuple[int, asyncio.Future[None]]] = []
        self._rounds: list[tuple[int, asyncio.Future[None]]] = []

    @property
    def proposal_count(self) -> int:
        """Return the number of proposals that are not committed yet."""
        return len(self._proposals)

    def add_proposals(
        self, term: int, first_index: int, proposals: list[Proposal]
    ) -> None:
        """Add proposals that were appended from `first_index` on."""
        self._term = term
        for index, proposal in enumerate(proposals, first_index):
            self._proposals[index] = proposal.result

    def add_change(
        self, term: int, index: int, done: asyncio.Future[None]
    ) -> None:
        """Add a membership change that was appended at `index`."""
        self._term = term
        self._changes.append((index, done))

    def add_confirmations(
        self, term: int, number: int, waiting: list[asyncio.Future[None]]
    ) -> None:
        """Add futures that wait for the round `number` to be confirmed."""
        self._term = term
        self._rounds.extend((number, future) for future in waiting)

    def resolve_proposal(self, entry: wire.LogEntry, result: bytes) -> None:
        """Set the result of the proposal of an applied entry, if pending."""
        if entry.term == self._term:
            future = self._proposals.pop(entry.index, None)
            if future is not None:
                resolve(future, result)

    def resolve_decided(self, replica: _core.Replica) -> None:
        """Resolve what is decided; fail the rest if the leadership ended."""
        if replica.term == self._term:
            self._resolve_changes(replica.commit_index)
        if replica.term == self._term and replica.leading_term is not None:
            self._resolve_rounds(replica.confirmed_round)
        leads = replica.role is _core_types.Role.LEADER
        if not leads or replica.term != self._term:
            self.fail(replica.leader)

    def _resolve_changes(self, commit_index: int) -> None:
        for index, future in self._changes:
            if index <= commit_index:
                resolve(future, None)
        self._changes = [
            item for item in self._changes if item[0] > commit_index
        ]

    def _resolve_rounds(self, confirmed: int) -> None:
        for number, future in self._rounds:
            if number <= confirmed:
                resolve(future, None)
        self._rounds = [item for item in self._rounds if item[0] > confirmed]

    def fail(self, leader: ids.MemberId | None) -> None:
        """Fail all pending futures."""
        pending = [*self._proposals.values()]
        for future in pending:
            reject(future, _make_uncertain_error(leader))
        for _, done in self._changes:
            reject(done, _make_uncertain_error(leader))
        for _, confirmed in self._rounds:
            reject(confirmed, errors.NotLeaderError(leader))
        self._proposals.clear()
        self._changes.clear()
        self._rounds.clear()


def _make_uncertain_error(
    leader: ids.MemberId | None,
) -> errors.ProposalUncertainError:
    return errors.ProposalUncertainError(
        'the leader changed before the entry was committed; the leader is '
        f'{leader or "unknown"}'
    )
