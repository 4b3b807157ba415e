"""Permits of the leader for requests that are limited over all entries."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TypeVar

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire

# A round trip to the leader takes up to 40 ms. A request that has waited for
# this long goes to another target.
PERMIT_WAIT_S = 0.2
# A call that times out replaces the connection that the polls use as well, so
# a slow leader gets as long as for a poll.
ASK_TIMEOUT_S = 0.8

SendRequest = Callable[
    [wire.PermitRequest, float], Awaitable[wire.PermitResponse]
]
SubjectT = TypeVar('SubjectT')
TokenT = TypeVar('TokenT')
_SubjectT_contra = TypeVar('_SubjectT_contra', contravariant=True)
_TokenT_co = TypeVar('_TokenT_co', covariant=True)

_log = logbook.Logger('gateway')


class Exchange(Protocol[_SubjectT_contra, _TokenT_co]):
    """The permits of this entry for subjects of one kind.

    Subjects are targets or organisations. `try_take` returns what stands for
    a permit, or what is false without one.
    """

    def note_wanted(self, now: float, subject: _SubjectT_contra) -> None:
        """Count a request that is to be sent."""

    def try_take(self, now: float, subject: _SubjectT_contra) -> _TokenT_co:
        """Use up a permit, if there is one."""

    def needs_permits(self, now: float, subject: _SubjectT_contra) -> bool:
        """Return whether to ask for more permits before they run out."""

    def may_wait(self, now: float, subject: _SubjectT_contra) -> bool:
        """Return whether a request may wait for a permit."""

    def note_failed_ask(self, now: float) -> None:
        """Record that no leader answered an ask."""

    async def ask(self, waiting: Mapping[Any, int]) -> None:
        """Ask the leader for permits; `waiting` counts the requests."""


class PermitClient(Generic[SubjectT, TokenT]):
    """Asks the leader for permits, for all requests that wait together.

    One ask is in progress at a time.
    """

    def __init__(self, exchange: Exchange[SubjectT, TokenT]) -> None:
        self._exchange = exchange
        self._loop = asyncio.get_running_loop()
        # Requests that wait for the next ask, and what its end sets.
        self._waiting: collections.Counter[SubjectT] = collections.Counter()
        self._answered = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def acquire(self, subject: SubjectT) -> TokenT:
        """Return a permit for a request; what is false if there is none.

        Waits for the answer of the leader, at most `PERMIT_WAIT_S`, if a
        permit is needed and there is none.
        """
        exchange = self._exchange
        exchange.note_wanted(self._loop.time(), subject)
        token = exchange.try_take(self._loop.time(), subject)
        if token:
            if exchange.needs_permits(self._loop.time(), subject):
                self._start_asking()
            return token
        if not exchange.may_wait(self._loop.time(), subject):
            return token
        self._waiting[subject] += 1
        answered = self._answered
        self._start_asking()
        try:
            async with asyncio.timeout(PERMIT_WAIT_S):
                await answered.wait()
        except TimeoutError:
            # No other request waits as well while the leader is silent.
            exchange.note_failed_ask(self._loop.time())
        return exchange.try_take(self._loop.time(), subject)

    def close(self) -> None:
        """Stop asking; requests that wait are cancelled with their tasks."""
        if self._task is not None:
            self._task.cancel()

    def _start_asking(self) -> None:
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._ask_while_needed())

    async def _ask_while_needed(self) -> None:
        """Ask until no request waits any more."""
        while True:
            waiting, self._waiting = self._waiting, collections.Counter()
            answered, self._answered = self._answered, asyncio.Event()
            try:
                await self._exchange.ask(waiting)
            finally:
                answered.set()
            if not self._waiting:
                return


class TargetExchange:
    """Permits for requests to targets that limit their rate."""

    def __init__(
        self,
        entry: ids.EntryId,
        limited_targets: steering.LimitedTargets,
        send: SendRequest,
    ) -> None:
        self._entry = entry
        self._limited_targets = limited_targets
        self._send = send
        self._loop = asyncio.get_running_loop()
        self.note_wanted = limited_targets.note_wanted
        self.try_take = limited_targets.try_take
        self.needs_permits = limited_targets.needs_permits
        self.note_failed_ask = limited_targets.note_failed_ask

    def may_wait(self, now: float, subject: ids.TargetId) -> bool:
        """Return whether a request may wait for a permit."""
        return not self._limited_targets.is_offline(now)

    async def ask(self, waiting: Mapping[ids.TargetId, int]) -> None:
        """Ask the leader for permits."""
        limited_targets = self._limited_targets
        sent_at = self._loop.time()
        asks = limited_targets.list_asks(sent_at, waiting)
        if not asks:
            return
        rows, changes = limited_targets.list_unreported(sent_at)
        request = wire.PermitRequest(
            entry=self._entry, asks=asks, rate_limits=rows
        )
        try:
            response = await self._send(request, ASK_TIMEOUT_S)
        except errors.FulmarseamError as error:
            # The regular polls find out who leads; requests use other
            # targets meanwhile.
            limited_targets.note_failed_ask(self._loop.time())
            _log_failure(error)
            return
        now = self._loop.time()
        limited_targets.note_leader(sent_at)
        limited_targets.mark_reported(changes)
        limited_targets.add_permits(now, sent_at, asks, response.counts)


class QuotaExchange:
    """Permits for requests of organisations with a quota."""

    def __init__(
        self,
        entry: ids.EntryId,
        stocks: steering.QuotaStocks,
        send: SendRequest,
    ) -> None:
        self._entry = entry
        self._stocks = stocks
        self._send = send
        self._loop = asyncio.get_running_loop()
        self.note_wanted = stocks.note_wanted
        self.try_take = stocks.take
        self.needs_permits = stocks.needs_permits
        self.may_wait = stocks.may_ask
        self.note_failed_ask = stocks.note_failed_ask

    async def ask(self, waiting: Mapping[ids.OrganisationName, int]) -> None:
        """Ask the leader for permits."""
        stocks = self._stocks
        sent_at = self._loop.time()
        asks = stocks.list_asks(sent_at, waiting)
        if not asks:
            return
        request = wire.PermitRequest(
            entry=self._entry, asks=[], quota_asks=asks
        )
        try:
            response = await self._send(request, ASK_TIMEOUT_S)
        except errors.FulmarseamError as error:
            stocks.note_lost(asks)
            stocks.note_failed_ask(self._loop.time())
            _log_failure(error)
            return
        now = self._loop.time()
        stocks.note_leader(sent_at)
        stocks.add_permits(
            now,
            sent_at,
            asks,
            response.quota_counts,
            response.quota_waits_ms,
        )


def _log_failure(error: errors.FulmarseamError) -> None:
    _log.info(telemetry.format_event('permits_unknown', reason=error.detail))
