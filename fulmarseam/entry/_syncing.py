"""The sync loop between an entry and the control leader."""

import asyncio
from collections.abc import Callable
from typing import Self

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.entry import _announcements
from fulmarseam.entry import _state

HOLD_MS = 400
# Time for an answer beyond the time that the leader may hold it. With 0.3 s
# a group of five is searched within half of the configuration lease of 3 s.
CALL_TIMEOUT_S = 0.3
URGENT_INTERVAL_S = 0.02
RETRY_PAUSE_S = 0.05
MAX_URGENT_CALLS = 8

_log = logbook.Logger('entry')

# Returns a sync request that reports the present, given `wait_ms`.
MakeRequest = Callable[[int], wire.SyncRequest]


class LeaderFinder:
    """Knows which control member to call next."""

    def __init__(self, members: dict[ids.MemberId, str]) -> None:
        self._order = list(members)
        self._clients = {
            member: transport.RpcClient(address)
            for member, address in members.items()
        }
        self._position = 0

    @property
    def current(self) -> ids.MemberId:
        """Return the member that is called at present."""
        return self._order[self._position]

    def client(self) -> transport.RpcClient:
        """Return the client of the current member."""
        return self._clients[self.current]

    def advance(self, member: ids.MemberId, hint: str | None = None) -> None:
        """Move on from a member that does not lead, as hinted if it did.

        Nothing changes when another call has moved on already.
        """
        if member != self.current:
            return
        if hint is not None and hint != member and hint in self._clients:
            self._position = self._order.index(ids.MemberId(hint))
            return
        self._position = (self._position + 1) % len(self._order)

    def count_bytes(self) -> int:
        """Return the bytes sent and received by all clients."""
        return sum(
            client.bytes_sent + client.bytes_received
            for client in self._clients.values()
        )

    def open(self) -> None:
        """Start to connect to all members."""
        for client in self._clients.values():
            client.open()

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()


class Synchronizer:
    """Keeps a long poll open to the leader; a context manager.

    `request_now` sends one more request beside it, at most one every
    20 ms, which the leader answers at once.
    """

    def __init__(
        self,
        members: dict[ids.MemberId, str],
        state: _state.SharedState,
        announcements: _announcements.PendingAnnouncements,
        make_request: MakeRequest,
        raise_incarnation: Callable[[], None],
    ) -> None:
        self._finder = LeaderFinder(members)
        self._state = state
        self._announcements = announcements
        self._make_request = make_request
        self._raise_incarnation = raise_incarnation
        self._loop = asyncio.get_running_loop()
        self._next_urgent_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._poll_task: asyncio.Task[None] | None = None
        self._urgent: set[asyncio.Task[bool]] = set()

    def count_bytes(self) -> int:
        """Return the bytes sent to and received from control members."""
        return self._finder.count_bytes()

    @property
    def leader(self) -> ids.MemberId:
        """Return the member that is taken for the leader."""
        return self._finder.current

    async def __aenter__(self) -> Self:
        self._finder.open()
        self._poll_task = asyncio.create_task(self._poll())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks: list[asyncio.Task[None] | asyncio.Task[bool]]
        tasks = [*self._urgent]
        if self._poll_task is not None:
            tasks.append(self._poll_task)
        if self._timer is not None:
            self._timer.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._finder.close()

    def request_now(self) -> None:
        """Sync now, or 20 ms after the last time."""
        if self._timer is None:
            at = max(self._loop.time(), self._next_urgent_at)
            self._timer = self._loop.call_at(at, self._start_urgent)

    def _start_urgent(self) -> None:
        self._timer = None
        self._next_urgent_at = self._loop.time() + URGENT_INTERVAL_S
        if len(self._urgent) >= MAX_URGENT_CALLS:
            return
        task = asyncio.create_task(self._call(wait_ms=0))
        self._urgent.add(task)
        task.add_done_callback(self._urgent.discard)

    async def _poll(self) -> None:
        # While the leader is searched no member may hold the answer, so that
        # one that does not answer costs little of the configuration lease.
        hold_ms = 0
        while True:
            started = self._loop.time()
            try:
                found = await self._call(hold_ms)
            except Exception:
                _log.exception('event=sync_failed')
                found = False
            hold_ms = HOLD_MS if found else 0
            pause = URGENT_INTERVAL_S if found else RETRY_PAUSE_S
            await asyncio.sleep(started + pause - self._loop.time())

    async def _call(self, wait_ms: int) -> bool:
        """Make one sync; return whether the leader has answered."""
        member = self._finder.current
        request = self._make_request(wait_ms)
        sent_at = self._loop.time()
        try:
            answer = await self._finder.client().call(
                request, wait_ms / 1_000 + CALL_TIMEOUT_S
            )
        except errors.FulmarseamError as error:
            _log.debug(
                telemetry.format_event(
                    'sync_unanswered', member=member, error=error.detail
                )
            )
            self._finder.advance(member)
            return False
        if isinstance(answer, wire.SyncResponse):
            return self._take(sent_at, request, answer)
        self._take_failure(member, answer)
        return False

    def _take_failure(
        self, member: ids.MemberId, answer: wire.Message
    ) -> None:
        if not isinstance(answer, wire.Failure):
            self._finder.advance(member)
        elif answer.kind == errors.ErrorKind.VERSION_CONFLICT.value:
            self._raise_incarnation()
        else:
            self._finder.advance(member, answer.leader)

    def _take(
        self,
        sent_at: float,
        request: wire.SyncRequest,
        response: wire.SyncResponse,
    ) -> bool:
        now = self._loop.time()
        if not self._state.apply(sent_at, now, response):
            return False
        self._announcements.acknowledge(request.announcements)
        return True
