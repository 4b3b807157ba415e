"""Sync requests and the status page of an entry."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import logbook

from fulmarseam import quarantine
from fulmarseam import settings
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.entry import _announcements
from fulmarseam.entry import _pools
from fulmarseam.entry import _state

# Rate of remote requests for which a pool with remote targets always asks for
# link bytes/s, so that a first remote request finds tokens.
BASE_REMOTE_REQUESTS_PER_S = 1.0
# First increase of an incarnation that the leader has refused.
INCARNATION_STEP_MS = 60_000

_log = logbook.Logger('entry')


class Reporter:
    """Builds sync requests and status pages from the current state."""

    def __init__(
        self,
        options: settings.EntrySettings,
        state: _state.SharedState,
        pools: _pools.Pools,
        announcements: _announcements.PendingAnnouncements,
        list_copies: Callable[[], list[wire.RecordCopy]],
        crash_guard: quarantine.CrashGuard,
    ) -> None:
        self._options = options
        self._state = state
        self._pools = pools
        self._announcements = announcements
        self._list_copies = list_copies
        self._crash_guard = crash_guard
        self._clock = asyncio.get_running_loop().time
        self.incarnation = time.time_ns() // 1_000_000
        self.draining = False
        self._incarnation_step_ms = INCARNATION_STEP_MS

    def raise_incarnation(self) -> None:
        """Increase the incarnation after the leader has refused it.

        The incarnation comes from the wall clock. If the clock was set back
        between two starts, the new incarnation is below the previous one.
        The increase doubles until the leader accepts the incarnation.
        """
        self.incarnation += self._incarnation_step_ms
        self._incarnation_step_ms *= 2
        _log.warning(
            telemetry.format_event(
                'incarnation_raised', incarnation=self.incarnation
            )
        )

    def make_info(self) -> wire.EntryInfo:
        """Return the identity and the addresses of this entry."""
        options = self._options
        return wire.EntryInfo(
            entry=options.entry_id,
            incarnation=self.incarnation,
            region=options.region,
            failure_domain=options.failure_domain,
            listen=options.advertise_listen or options.listen,
            api=options.advertise_api or options.api,
            rpc=options.advertise_rpc or options.rpc,
            has_disk=options.data_dir is not None,
        )

    def make_request(self, wait_ms: int) -> wire.SyncRequest:
        """Return a sync request with the current state."""
        now = self._clock()
        state = self._state
        reports, ages = self._announcements.collect(now)
        return wire.SyncRequest(
            info=self.make_info(),
            draining=self.draining,
            revision=state.tables.revision,
            targets_term=state.targets_term,
            targets_version=state.targets_version,
            ack_term=state.slots.ack_term,
            ack_sequence=state.slots.ack_sequence,
            ack_age_ms=state.slots.ack_age_ms(now),
            uses=state.slots.uses(now),
            demand=self._list_demand(),
            links=state.links.demand(now, self._find_link_demand()),
            announcements=reports,
            announcement_ages_ms=ages,
            wait_ms=wait_ms,
            doubtful=[
                target
                for pool in self._pools.list_pools()
                for target in pool.view.doubtful
            ],
            entries_version=state.entry_mirror.version,
            record_copies=self._list_copies(),
            suspects_version=self._crash_guard.version,
        )

    def _list_demand(self) -> list[wire.PoolDemand]:
        demand = []
        for pool in self._pools.list_pools():
            pool.reported_wanted_slots = pool.wanted_slots
            if pool.wanted_slots or pool.arrivals_per_s >= 0.01:
                demand.append(
                    wire.PoolDemand(
                        pool=pool.pool.name,
                        wanted=pool.wanted_slots,
                        arrivals_per_s=round(pool.arrivals_per_s, 2),
                    )
                )
        return demand

    def _find_link_demand(self) -> dict[str, int]:
        """Return the bytes/s wanted on each link.

        A pool that may use other regions asks for what its recent remote
        requests and its queued requests need; the queued ones are divided
        evenly among the regions.
        """
        own_region = self._options.region
        wanted: dict[str, float] = {}
        for pool in self._pools.list_pools():
            for region in pool.remote_regions:
                rate = BASE_REMOTE_REQUESTS_PER_S + pool.get_remote_rate(
                    region
                )
                rate += len(pool.queue) / len(pool.remote_regions)
                outbound, inbound = (
                    f'{own_region}>{region}',
                    f'{region}>{own_region}',
                )
                row = pool.pool
                wanted[outbound] = (
                    wanted.get(outbound, 0) + rate * row.request_bytes
                )
                wanted[inbound] = (
                    wanted.get(inbound, 0) + rate * row.response_bytes
                )
        return {name: int(rate) for name, rate in wanted.items()}

    def make_status(self) -> dict[str, Any]:
        """Return the content of the status page."""
        now = self._clock()
        state = self._state
        age_s = state.confirmation_age(now)
        return {
            'entry': self._options.entry_id,
            'incarnation': self.incarnation,
            'region': self._options.region,
            'failure_domain': self._options.failure_domain,
            'draining': self.draining,
            'takes_work': state.is_current(now),
            'revision': state.tables.revision,
            'confirmed_s_ago': None if age_s is None else round(age_s, 3),
            'term': state.term,
            'targets': len(state.targets.ready()),
            'entries': sorted(state.entries),
            'in_flight': state.slots.total_in_flight(),
            'pools': {
                pool.pool.name: {
                    'in_flight': pool.in_flight,
                    'queued': len(pool.queue),
                    'arrivals_per_s': round(pool.arrivals_per_s, 2),
                    'service_s': round(pool.service_time_s, 4),
                }
                for pool in self._pools.list_pools()
            },
        }
