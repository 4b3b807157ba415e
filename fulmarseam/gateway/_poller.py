"""Polling of the control members, which keeps the mirror up to date."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import time
from typing import Any
from typing import NamedTuple
from typing import Self

import logbook

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.gateway import _pauses

# The leader is polled most often: its answers carry the loads of the targets,
# which change within a run time.
LEADER_POLL_INTERVAL_S = 0.2
# While the leader answers, the other members only need to know that the entry
# is alive.
IDLE_POLL_INTERVAL_S = 0.8
LEADER_SILENCE_S = 1.0
# Otherwise a change is in force after one interval and the network delay,
# well within the 2 s that operators allow.
POLL_INTERVAL_S = 0.4
# Without a configuration no request can be served, so members are polled more
# often until there is one. After a start of all hosts it is available once a
# leader is elected.
FIRST_POLL_INTERVAL_S = 0.1
POLL_TIMEOUT_S = 0.8
# An answer with changes is up to 25 KB long and shares a link of 300 KB/s.
FETCH_TIMEOUT_S = 3.0
# A second fetch starts once the first has taken longer than a poll may: its
# member may have fallen silent.
MAX_FETCHES = 2
# A member that no answer has listed for this long is no longer polled, unless
# it is a seed.
MEMBER_RETENTION_S = 30.0

_log = logbook.Logger('gateway')


class LoadExchange(NamedTuple):
    """What polls of the leader tell about targets, and who gets the answer.

    `apply_loads` is called with the loads that all entries observe together
    and the revision that lists the targets, and `apply_region_loads` with the
    requests in flight of the entries of each region, which is asked for while
    `wants_region_loads` returns true.
    """

    list_observations: Callable[[], list[wire.TargetObservation]]
    apply_loads: Callable[[bytes, int], None]
    apply_region_loads: Callable[[Mapping[ids.RegionName, int]], None]
    wants_region_loads: Callable[[], bool]


class Poller:
    """Polls every control member independently; a context manager.

    A member that is slow or cut off does not delay the others. The newest
    revision of any member is applied, since members only send what the
    group has committed. `on_change` is called after each change of the
    mirror, and when the mirror has become complete.
    """

    def __init__(
        self,
        options: settings.GatewaySettings,
        mirror: catalog.CatalogMirror,
        on_change: Callable[[], None],
        load_exchange: LoadExchange,
        limited_targets: steering.LimitedTargets,
        crash_guard: quarantine.CrashGuard,
        quota_stocks: steering.QuotaStocks,
    ) -> None:
        self._options = options
        self._quota_stocks = quota_stocks
        self._crash_guard = crash_guard
        self._limited_targets = limited_targets
        self._load_exchange = load_exchange
        self._mirror = mirror
        self._on_change = on_change
        self._clients = transport.RpcClients()
        self._seeds = options.list_peers()
        self._listed_at: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._reachable: set[str] = set()
        self._wake = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._incarnation = time.time_ns() // 1_000_000
        self._started_at = time.monotonic()
        self.pause_guard = _pauses.PauseGuard(self._handle_pause)
        self.is_draining = False
        # Whether this entry reaches few targets.
        self.is_cut_off = False
        # When each fetch in progress was started, by the member's address.
        self._fetches: dict[str, float] = {}
        self._leader = ''
        self._leader_heard_at = float('-inf')
        # The members as an answer listed them last.
        self._group: list[str] = []
        self._sender_count = catalog.SenderCount(options.retry_window)

    @property
    def senders(self) -> int:
        """Return the number of entries that share bounds."""
        return self._sender_count.senders

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
        """Use other seeds, and poll the members there as well."""
        self._seeds = seeds
        self._update_members(list(seeds))

    def get_state(self) -> wire.EntryState:
        """Return the state that tells whether look-ups may list the entry."""
        if self.is_draining:
            return wire.EntryState.DRAINING
        if not self._mirror.is_complete:
            return wire.EntryState.STARTING
        return wire.EntryState.READY

    def poll_now(self) -> None:
        """Poll all members at once, to tell them a changed state."""
        self._wake.set()
        self._wake = asyncio.Event()

    def _handle_pause(self) -> None:
        """Forget what may have run out during a pause."""
        self._limited_targets.drop_permits()
        self._quota_stocks.drop_permits()
        self.poll_now()

    def _update_members(self, addresses: list[str]) -> None:
        """Poll these members; stop polling those no longer in the group."""
        now = time.monotonic()
        for address in addresses:
            self._listed_at[address] = now
        for address in (*self._seeds, *self._listed_at):
            if address not in self._tasks:
                self._tasks[address] = asyncio.create_task(
                    self._poll_member(address)
                )
        for address, listed_at in list(self._listed_at.items()):
            is_expired = now - listed_at > MEMBER_RETENTION_S
            if is_expired and address not in self._seeds:
                del self._listed_at[address]
                self._tasks.pop(address).cancel()
        self._clients.close_all_except(set(self._tasks))

    async def _poll_member(self, address: str) -> None:
        while True:
            wake = self._wake
            try:
                await self._poll(address)
            except errors.FulmarseamError as error:
                self._record_reachability(address, error.detail)
            except Exception:
                # Without polls the entry would follow no change any more.
                _log.exception(
                    telemetry.format_event('poll_failed', address=address)
                )
            try:
                async with asyncio.timeout(self._choose_interval(address)):
                    await wake.wait()
            except TimeoutError:
                continue

    def _choose_interval(self, address: str) -> float:
        """Return the seconds until the next poll of a member."""
        if not self._mirror.is_complete:
            return FIRST_POLL_INTERVAL_S
        if time.monotonic() - self._leader_heard_at > LEADER_SILENCE_S:
            return POLL_INTERVAL_S
        if address == self._leader:
            return LEADER_POLL_INTERVAL_S
        return IDLE_POLL_INTERVAL_S

    async def _poll(self, address: str) -> None:
        """Report this entry to a member and fetch its newer changes.

        Only one fetch runs at a time, because an entry's link is slow, but
        one that takes long does not keep other members from being asked.
        """
        sent_at = self.pause_guard.get_time()
        answer = await self._send_poll(
            address,
            False,
            POLL_TIMEOUT_S,
            not self._mirror.is_complete or self.pause_guard.awaits_answer,
        )
        is_current = answer.is_current
        if is_current is None:
            # Not asked for, or a member of an earlier release: one that knows
            # no leader may itself be behind.
            is_current = bool(answer.leader)
        revision = answer.revision
        while answer.revision > self._mirror.revision and self._may_fetch():
            self._fetches[address] = self._loop.time()
            try:
                answer = await self._fetch_changes(address)
            finally:
                del self._fetches[address]
        if is_current and revision <= self._mirror.revision:
            self.pause_guard.note_answer(sent_at)
            if self._mirror.confirm(revision):
                _log.info(
                    telemetry.format_event(
                        'catalog_confirmed', revision=revision, source=address
                    )
                )
                self._on_change()
                # Look-ups may list this entry from now on.
                self.poll_now()

    def _may_fetch(self) -> bool:
        started_before = self._loop.time() - POLL_TIMEOUT_S
        return len(self._fetches) < MAX_FETCHES and all(
            started_at < started_before
            for started_at in self._fetches.values()
        )

    async def _fetch_changes(self, address: str) -> wire.EntryPollResponse:
        """Fetch and apply the next changes from a member."""
        revision = self._mirror.revision
        answer = await self._send_poll(address, True, FETCH_TIMEOUT_S)
        changes = answer.changes
        if answer.packed_changes:
            changes = wire.unpack_changes(answer.packed_changes)
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
                    evacuated=','.join(sorted(changes.evacuated)),
                    leader=answer.leader,
                )
            )
            self._on_change()
        return answer

    async def _send_poll(
        self,
        address: str,
        wants_changes: bool,
        timeout_s: float,
        asks_current: bool = False,
    ) -> wire.EntryPollResponse:
        """Send a poll; raises `errors.FulmarseamError` if it fails."""
        is_leader = address == self._leader and self._mirror.is_complete
        sent_at = self._loop.time()
        rows, changes = self._limited_targets.list_unreported(sent_at)
        reports = self._quota_stocks.list_reports(sent_at) if is_leader else []
        try:
            response = await self._clients.call(
                address,
                self._make_poll(
                    wants_changes,
                    is_leader,
                    rows if is_leader else [],
                    self._crash_guard.version
                    if address == self._leader
                    else 0,
                    reports,
                    asks_current,
                ),
                timeout_s,
            )
            answer = transport.expect(response, wire.EntryPollResponse)
        except errors.FulmarseamError:
            self._quota_stocks.note_lost(reports)
            raise
        self._record_reachability(address, None)
        self._sender_count.record(
            time.monotonic(),
            answer.entry_count,
            answer.is_count_partial,
        )
        if answer.leader:
            self._leader = answer.leader
        if answer.leader == address:
            self._leader_heard_at = time.monotonic()
        if is_leader and answer.leader != address:
            # A member that does not lead any more has ignored them.
            self._quota_stocks.note_lost(reports)
        if is_leader and answer.leader == address:
            self._quota_stocks.note_leader(sent_at)
            self._limited_targets.mark_reported(changes)
            self._apply_limits(sent_at, answer)
        self._crash_guard.apply_news(answer.suspects_version, answer.suspects)
        if answer.target_loads:
            self._load_exchange.apply_loads(
                wire.unpack_loads(answer.target_loads), answer.revision
            )
        if answer.region_loads:
            self._load_exchange.apply_region_loads(answer.region_loads)
        self._group = answer.members or self._group
        if self._group:
            self._update_members(self._group)
        return answer

    def _make_poll(
        self,
        wants_changes: bool,
        wants_loads: bool,
        rate_limits: list[wire.TargetRateLimit],
        suspects_version: int = 0,
        quota_reports: Sequence[wire.QuotaAsk] = (),
        asks_current: bool = False,
    ) -> wire.EntryPoll:
        """Return a poll; it leaves out what its response does not need."""
        options = self._options
        limited_targets = self._limited_targets
        changes_fields: dict[str, Any] = {}
        if wants_changes:
            changes_fields = {
                'revision': self._mirror.revision,
                'removals_revision': self._mirror.removals_revision,
                'accepts_packed': True,
                'reads_organisations': True,
            }
        return wire.EntryPoll(
            entry=ids.EntryId(options.host),
            address=options.listen,
            region=options.region,
            failure_domain=options.failure_domain,
            incarnation=self._incarnation,
            state=self.get_state(),
            wants_changes=wants_changes,
            uptime_s=time.monotonic() - self._started_at,
            wants_loads=wants_loads,
            observations=(
                self._load_exchange.list_observations() if wants_loads else []
            ),
            limits_version=limited_targets.version if wants_loads else 0,
            rate_limits=rate_limits,
            is_offline=(
                limited_targets.count() > 0
                and limited_targets.is_offline(self._loop.time())
            )
            or (
                self._quota_stocks.count() > 0
                and self._quota_stocks.is_offline(self._loop.time())
            ),
            quota_reports=list(quota_reports),
            group=wire.compute_group_checksum(self._group),
            suspects_version=suspects_version,
            is_cut_off=self.is_cut_off,
            asks_current=asks_current,
            wants_region_loads=(
                wants_loads and self._load_exchange.wants_region_loads()
            ),
            **changes_fields,
        )

    def _apply_limits(
        self, sent_at: float, answer: wire.EntryPollResponse
    ) -> None:
        """Apply the limits of targets that the leader knows."""
        limited_targets = self._limited_targets
        limited_targets.note_leader(sent_at)
        if answer.limits_version == limited_targets.version:
            return
        limited_targets.apply(
            self._loop.time(),
            answer.limits_version,
            answer.rate_limits,
            self._mirror.list_incarnations(),
        )
        _log.info(
            telemetry.format_event(
                'rate_limits_in_force',
                version=answer.limits_version,
                limits=','.join(
                    f'{row.target}:{row.rate_per_s}'
                    for row in answer.rate_limits
                ),
            )
        )

    async def request_permits(
        self, request: wire.PermitRequest, timeout_s: float
    ) -> wire.PermitResponse:
        """Ask the leader for permits.

        Raises `errors.FulmarseamError` if no leader answers.
        """
        return transport.expect(
            await self._call_leader(request, timeout_s), wire.PermitResponse
        )

    async def report_suspects(
        self, report: wire.SuspectReport, timeout_s: float
    ) -> wire.TrialResponse:
        """Tell the leader of suspected requests.

        Raises `errors.FulmarseamError` if no leader answers.
        """
        return transport.expect(
            await self._call_leader(report, timeout_s), wire.TrialResponse
        )

    async def fetch_relays(self) -> list[wire.EntryAddress]:
        """Return the entries that can relay requests of this one.

        Raises `errors.FulmarseamError` if no member answers.
        """
        request = wire.RelayRequest(
            entry=ids.EntryId(self._options.host), region=self._options.region
        )
        members = sorted(
            self._reachable, key=lambda address: address != self._leader
        )
        for address in members:
            with contextlib.suppress(errors.TransportError):
                # The next member has the same list.
                answer = await self._clients.call(
                    address, request, POLL_TIMEOUT_S
                )
                return transport.expect(answer, wire.RelayResponse).entries
        raise errors.FulmarseamError(
            errors.ErrorKind.UNAVAILABLE, 'no member is reachable'
        )

    async def _call_leader(
        self, message: wire.Message, timeout_s: float
    ) -> wire.Message:
        if not self._leader:
            raise errors.NotLeaderError()
        return await self._clients.call(self._leader, message, timeout_s)

    def _record_reachability(self, address: str, problem: str | None) -> None:
        """Log when a member becomes reachable or unreachable."""
        is_reachable = problem is None
        if is_reachable == (address in self._reachable):
            return
        if is_reachable:
            self._reachable.add(address)
            _log.info(
                telemetry.format_event('member_reachable', address=address)
            )
            return
        self._reachable.discard(address)
        _log.warning(
            telemetry.format_event(
                'member_unreachable', address=address, reason=problem
            )
        )
