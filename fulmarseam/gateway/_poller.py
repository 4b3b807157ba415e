"""Polls of the control members, which keep the mirror up to date."""

import asyncio
from collections.abc import Callable
import time
from typing import Self

import logbook

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire

# A change is in force after one interval and the way to the entry, far
# within the 2 s that the operators' bounds allow.
POLL_INTERVAL_S = 0.4
# Without a configuration no request can be served, so it is asked for more
# often: after a start of all hosts it appears when a leader is elected.
FIRST_POLL_INTERVAL_S = 0.1
POLL_TIMEOUT_S = 0.8
# An answer with changes has up to 25 KB and shares a link of 300 KB/s.
FETCH_TIMEOUT_S = 3.0
# A member that no other one has listed for this long is polled no more,
# unless it is a seed.
FORGET_MEMBER_S = 30.0

_log = logbook.Logger('gateway')


class Poller:
    """Polls every control member by itself; a context manager.

    A member that is slow or cut off holds up none of the others, and the
    newest revision of any of them counts, since they hand out only what
    was agreed on. `on_change` is called after each
    change of the mirror.
    """

    def __init__(
        self,
        options: settings.GatewaySettings,
        mirror: catalog.CatalogMirror,
        on_change: Callable[[], None],
    ) -> None:
        self._options = options
        self._mirror = mirror
        self._on_change = on_change
        self._clients = transport.RpcClients()
        self._seeds = options.list_peers()
        self._listed: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._reached: set[str] = set()
        self._wake = asyncio.Event()
        self._incarnation = time.time_ns() // 1_000_000
        self.is_draining = False
        self._fetching = False
        self.senders = 1

    async def __aenter__(self) -> Self:
        await self._clients.__aenter__()
        self.update_seeds(self._seeds)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        await self._clients.__aexit__(*exc_info)

    def update_seeds(self, seeds: tuple[str, ...]) -> None:
        """Poll the members at other seeds as well."""
        self._seeds = seeds
        self._follow(list(seeds))

    def find_state(self) -> wire.EntryState:
        """Return whether the entry may be named to new callers."""
        if self.is_draining:
            return wire.EntryState.DRAINING
        if not self._mirror.is_complete:
            return wire.EntryState.STARTING
        return wire.EntryState.READY

    def poll_now(self) -> None:
        """Tell all members at once that the state has changed."""
        self._wake.set()
        self._wake = asyncio.Event()

    def _follow(self, addresses: list[str]) -> None:
        """Poll these members, and no more those that left the group."""
        now = time.monotonic()
        for address in addresses:
            self._listed[address] = now
        for address in (*self._seeds, *self._listed):
            if address not in self._tasks:
                self._tasks[address] = asyncio.create_task(
                    self._poll_member(address)
                )
        for address, listed_at in list(self._listed.items()):
            is_old = now - listed_at > FORGET_MEMBER_S
            if is_old and address not in self._seeds:
                del self._listed[address]
                self._tasks.pop(address).cancel()
        self._clients.keep(set(self._tasks))

    async def _poll_member(self, address: str) -> None:
        while True:
            wake = self._wake
            try:
                await self._poll(address)
            except errors.FulmarseamError as error:
                self._note_reached(address, error.detail)
            interval_s = (
                POLL_INTERVAL_S
                if self._mirror.is_complete
                else FIRST_POLL_INTERVAL_S
            )
            try:
                async with asyncio.timeout(interval_s):
                    await wake.wait()
            except TimeoutError:
                continue

    async def _poll(self, address: str) -> None:
        """Present this entry to a member and fetch what it has newer.

        One fetch runs at a time, because the link of an entry is thin.
        """
        answer = await self._call(address, False, POLL_TIMEOUT_S)
        while answer.revision > self._mirror.revision and not self._fetching:
            self._fetching = True
            try:
                answer = await self._fetch(address)
            finally:
                self._fetching = False

    async def _fetch(self, address: str) -> wire.EntryPollResponse:
        """Take over the next changes that a member lists."""
        revision = self._mirror.revision
        was_complete = self._mirror.is_complete
        answer = await self._call(address, True, FETCH_TIMEOUT_S)
        changes = answer.changes
        if changes is not None and self._mirror.apply(revision, changes):
            _log.info(
                telemetry.format_event(
                    'catalog_in_force',
                    revision=changes.revision,
                    newest=changes.newest,
                    source=address,
                    items=len(changes.items),
                    targets=len(changes.targets),
                    removed_targets=len(changes.removed_targets),
                )
            )
            self._on_change()
        if self._mirror.is_complete and not was_complete:
            # The members may name this entry from now on.
            self.poll_now()
        return answer

    async def _call(
        self, address: str, wants_changes: bool, timeout_s: float
    ) -> wire.EntryPollResponse:
        """Poll a member; raises `errors.FulmarseamError`."""
        options = self._options
        answer = await self._clients.call(
            address,
            wire.EntryPoll(
                entry=ids.EntryId(options.host),
                address=options.listen,
                region=options.region,
                failure_domain=options.failure_domain,
                incarnation=self._incarnation,
                state=self.find_state(),
                wants_changes=wants_changes,
                revision=self._mirror.revision,
                removals_revision=self._mirror.removals_revision,
            ),
            timeout_s,
        )
        if not isinstance(answer, wire.EntryPollResponse):
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                getattr(answer, 'detail', type(answer).__name__),
            )
        self._note_reached(address, None)
        self.senders = max(1, answer.entry_count)
        if answer.members:
            self._follow(answer.members)
        return answer

    def _note_reached(self, address: str, problem: str | None) -> None:
        """Log when a member stops or starts to answer."""
        is_reached = problem is None
        if is_reached == (address in self._reached):
            return
        if is_reached:
            self._reached.add(address)
            _log.info(
                telemetry.format_event('member_reachable', address=address)
            )
            return
        self._reached.discard(address)
        _log.warning(
            telemetry.format_event(
                'member_unreachable', address=address, reason=problem
            )
        )
