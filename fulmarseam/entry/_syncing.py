"""The sync loop between an entry and the control leader."""

import asyncio
from collections.abc import Callable
from typing import Self

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.entry import _announcements
from fulmarseam.entry import _state

MAX_HOLD_MS = 400
# Timeout of a call beyond the time for which the leader may hold the response.
# With 0.3 s the leader of a group of five is found within half of the
# configuration lease of 3 s.
RESPONSE_MARGIN_S = 0.3
URGENT_INTERVAL_S = 0.02
RETRY_PAUSE_S = 0.05
MAX_URGENT_CALLS = 8

_log = logbook.Logger('entry')

# Returns a sync request with the current state, given `wait_ms`.
MakeRequest = Callable[[int], wire.SyncRequest]


class LeaderFinder:
    """Selects the control member to call next."""

    def __init__(self, members: dict[ids.MemberId, str]) -> None:
        self._members = list(members)
        self._clients = {
            member: transport.RpcClient(address)
            for member, address in members.items()
        }
        self._position = 0

    @property
    def current(self) -> ids.MemberId:
        """Return the member to call at present."""
        return self._members[self._position]

    def get_client(self) -> transport.RpcClient:
        """Return the RPC client of the current member."""
        return self._clients[self.current]

    def advance(self, member: ids.MemberId, hint: str | None = None) -> None:
        """Select the next member after one that is not the leader.

        `hint` is the leader named by that member, if any. Nothing changes
        when another call has already selected a different member.
        """
        if member != self.current:
            return
        if hint is not None and hint != member and hint in self._clients:
            self._position = self._members.index(ids.MemberId(hint))
            return
        self._position = (self._position + 1) % len(self._members)

    def count_bytes(self) -> int:
        """Return the bytes sent and received by all clients."""
        return sum(
            client.bytes_sent + client.bytes_received
            for client in self._clients.values()
        )

    def open(self) -> None:
        """Start connecting to all members."""
        for client in self._clients.values():
            client.open()

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()


class Synchronizer:
    """Keeps a long poll open to the leader; a context manager.

    `request_now` sends an additional request, at most one every 20 ms, to
    which the leader responds at once.
    """

    def __init__(
        self,
        members: dict[ids.MemberId, str],
        state: _state.SharedState,
        announcements: _announcements.PendingAnnouncements,
        make_request: MakeRequest,
        raise_incarnation: Callable[[], None],
        crash_guard: quarantine.CrashGuard,
    ) -> None:
        self._leader_finder = LeaderFinder(members)
        self._state = state
        self._announcements = announcements
        self._make_request = make_request
        self._raise_incarnation = raise_incarnation
        self._crash_guard = crash_guard
        self._loop = asyncio.get_running_loop()
        self._next_urgent_at = 0.0
        self._urgent_timer: asyncio.TimerHandle | None = None
        self._poll_task: asyncio.Task[None] | None = None
        self._urgent_tasks: set[asyncio.Task[bool]] = set()

    def count_bytes(self) -> int:
        """Return the bytes sent to and received from control members."""
        return self._leader_finder.count_bytes()

    @property
    def leader(self) -> ids.MemberId:
        """Return the member that is believed to be the leader."""
        return self._leader_finder.current

    async def __aenter__(self) -> Self:
        self._leader_finder.open()
        self._poll_task = asyncio.create_task(self._poll())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks: list[asyncio.Task[None] | asyncio.Task[bool]]
        tasks = [*self._urgent_tasks]
        if self._poll_task is not None:
            tasks.append(self._poll_task)
        if self._urgent_timer is not None:
            self._urgent_timer.cancel()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._leader_finder.close()

    async def call_leader(
        self, message: wire.Message, timeout_s: float
    ) -> wire.Message:
        """Send another message to the member that is believed to lead.

        Raises `errors.FulmarseamError` if it does not answer.
        """
        return await self._leader_finder.get_client().call(message, timeout_s)

    def request_now(self) -> None:
        """Sync now, or 20 ms after the last additional request."""
        if self._urgent_timer is None:
            start_at = max(self._loop.time(), self._next_urgent_at)
            self._urgent_timer = self._loop.call_at(
                start_at, self._start_urgent
            )

    def _start_urgent(self) -> None:
        self._urgent_timer = None
        self._next_urgent_at = self._loop.time() + URGENT_INTERVAL_S
        if len(self._urgent_tasks) >= MAX_URGENT_CALLS:
            return
        task = asyncio.create_task(self._call(wait_ms=0))
        self._urgent_tasks.add(task)
        task.add_done_callback(self._urgent_tasks.discard)

    async def _poll(self) -> None:
        # During the search for the leader no member may hold its response, so
        # that a member that does not respond uses up little of the
        # configuration lease.
        hold_ms = 0
        while True:
            started = self._loop.time()
            try:
                leader_answered = await self._call(hold_ms)
            except Exception:
                _log.exception('event=sync_failed')
                leader_answered = False
            hold_ms = MAX_HOLD_MS if leader_answered else 0
            pause_s = URGENT_INTERVAL_S if leader_answered else RETRY_PAUSE_S
            await asyncio.sleep(started + pause_s - self._loop.time())

    async def _call(self, wait_ms: int) -> bool:
        """Make one sync call; return whether the leader has responded."""
        member = self._leader_finder.current
        request = self._make_request(wait_ms)
        sent_at = self._loop.time()
        try:
            response = await self._leader_finder.get_client().call(
                request, wait_ms / 1_000 + RESPONSE_MARGIN_S
            )
        except errors.FulmarseamError as error:
            _log.debug(
                telemetry.format_event(
                    'sync_unanswered', member=member, error=error.detail
                )
            )
            self._leader_finder.advance(member)
            return False
        if isinstance(response, wire.SyncResponse):
            return self._apply_response(sent_at, request, response)
        self._handle_failure(member, response)
        return False

    def _handle_failure(
        self, member: ids.MemberId, response: wire.Message
    ) -> None:
        if not isinstance(response, wire.Failure):
            self._leader_finder.advance(member)
        elif response.kind == errors.ErrorKind.VERSION_CONFLICT.value:
            self._raise_incarnation()
        else:
            self._leader_finder.advance(member, response.leader)

    def _announce_leaves(
        self, now: float, response: wire.SyncResponse
    ) -> None:
        """Tell a new leader of the leaves that it does not list.

        Its table starts empty, and a late announcement of before a leave
        would put the target back.
        """
        listed = {
            row.report.target
            for row in response.targets
            if row.report.state is wire.TargetState.LEAVING
        }
        for report in self._state.targets.list_leave_notices():
            if report.target not in listed:
                self._announcements.add(now, report)

    def _apply_response(
        self,
        sent_at: float,
        request: wire.SyncRequest,
        response: wire.SyncResponse,
    ) -> bool:
        now = self._loop.time()
        former_term = self._state.term
        if not self._state.apply(sent_at, now, response):
            return False
        self._announcements.acknowledge(request.announcements)
        if response.term > former_term:
            self._announce_leaves(now, response)
        self._crash_guard.apply_news(
            response.suspects_version, response.suspects
        )
        return True
