"""The targets of an entry and the placement of requests on them."""

from collections.abc import Collection
import zlib

import logbook

from fulmarseam import catalog
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire

# A target that can be reached again may have restarted. What it announces
# about that arrives within one heartbeat of 1.5 s and a poll.
RECOVERY_COLD_S = 2.0
# Part of the retry bound that is used: requests and repeats of one window
# arrive at the targets in another one after a delay.
REPEAT_SHARE_USED = 0.8
# Targets that share the requests for one object. With more of them an
# overload spreads each object over all targets, which then keep none of
# them and stay slow: the overload feeds itself.
CHOICES_PER_OBJECT = 2
# Load per slot that a target in the own region may have above that of one
# in another region before a request for no known object goes there.
REMOTE_COST = 0.4
# Steps between 0 and 1 of the phase of an entry.
PHASES = 1_000
# The failure rate of a pool is taken anew after this time.
RATE_INTERVAL_S = 0.2
# Rankings kept; the least of what the busiest deployments have is some
# hundred objects for each route.
MAX_RANKINGS = 20_000

_log = logbook.Logger('gateway')


class _Pool:
    """The targets of one pool that may get new requests."""

    def __init__(self, budget: steering.WindowedRetryBudget) -> None:
        self.budget = budget
        self.targets: list[steering.ObservedTarget] = []
        self._failure_rate = 0.0
        self._rated_at = float('-inf')

    def find_failure_rate(self, now: float) -> float:
        """Return the mean failure rate of the targets."""
        if now - self._rated_at >= RATE_INTERVAL_S:
            self._rated_at = now
            self._failure_rate = steering.compute_mean_failure_rate(
                self.targets
            )
        return self._failure_rate


class Fleet:
    """All targets of the catalog as this entry observes them.

    Times are in seconds of a monotonic clock. Every placement that `place`
    returns ends with `release`.
    """

    def __init__(
        self, options: settings.GatewaySettings, mirror: catalog.CatalogMirror
    ) -> None:
        self._options = options
        self._mirror = mirror
        self._cold_bound = steering.ColdRateLimit(
            options.cold_factor, options.cold_slack
        )
        self._targets: dict[ids.TargetId, steering.ObservedTarget] = {}
        self._pools: dict[ids.PoolName, _Pool] = {}
        self._rankings: dict[
            tuple[str, str, str], list[steering.ObservedTarget]
        ] = {}
        self._evacuated: frozenset[ids.DomainName] = frozenset()
        self.senders = 1

    # Catalog

    def update(self, now: float) -> None:
        """Take over the targets of the mirror."""
        self._rankings.clear()
        known = self._mirror.targets
        for target in self._targets.keys() - known.keys():
            del self._targets[target]
        for target, record in known.items():
            self._update_target(now, target, record)
        ended = self._evacuated - self._mirror.evacuated
        self._evacuated = self._mirror.evacuated
        for observed in self._targets.values():
            if observed.record.failure_domain in ended:
                # The targets may have lost their caches meanwhile.
                steering.mark_cold(observed, now, self._cold_s(observed))
        self._group_targets()

    def _update_target(
        self, now: float, target: ids.TargetId, record: wire.TargetRecord
    ) -> None:
        observed = self._targets.get(target)
        if observed is not None and observed.record == record:
            return
        is_new = observed is None or (
            observed.record.born_ms != record.born_ms
            or observed.record.address != record.address
        )
        if observed is None or is_new:
            observed = steering.ObservedTarget(
                record,
                record.region != self._options.region,
                token_offset=self._find_phase(target),
                tokens_at=now,
                in_flight=observed.in_flight if observed else 0,
            )
            self._targets[target] = observed
        observed.record = record
        if record.cold_ms > 0.0:
            steering.mark_cold(observed, now, record.cold_ms / 1_000)

    def _find_phase(self, target: ids.TargetId) -> float:
        name = f'{self._options.host} {target}'.encode()
        return (zlib.crc32(name) % PHASES) / PHASES

    def _cold_s(self, observed: steering.ObservedTarget) -> float:
        pool = self._mirror.pools.get(observed.record.pool)
        return pool.cold_s if pool is not None else 0.0

    def _group_targets(self) -> None:
        for pool in self._pools.values():
            pool.targets = []
        for observed in self._targets.values():
            record = observed.record
            if record.phase is not wire.TargetPhase.READY:
                continue
            if record.failure_domain in self._evacuated:
                continue
            self._get_pool(record.pool).targets.append(observed)

    def _get_pool(self, name: ids.PoolName) -> _Pool:
        pool = self._pools.get(name)
        if pool is None:
            options = self._options
            pool = self._pools[name] = _Pool(
                steering.WindowedRetryBudget(
                    options.retry_ratio * REPEAT_SHARE_USED,
                    self._find_slack(),
                    options.retry_window,
                )
            )
        return pool

    def count_ready(self) -> int:
        """Return the number of targets that may get requests."""
        return sum(len(pool.targets) for pool in self._pools.values())

    def describe_pool(self, now: float, pool_name: ids.PoolName) -> str:
        """Return what a refusal for lack of room was decided by."""
        targets = self._get_pool(pool_name).targets
        ejected = sum(steering.is_ejected(item, now) for item in targets)
        cold = sum(steering.is_cold(item, now) for item in targets)
        load = sum(steering.estimate_load(item, now) for item in targets)
        slots = sum(item.record.slots for item in targets)
        return (
            f'targets {len(targets)}, ejected {ejected}, cold {cold}, '
            f'estimated load {load:.1f} of {slots} slots'
        )

    def count_in_flight(self) -> int:
        """Return the number of requests on targets."""
        return sum(item.in_flight for item in self._targets.values())

    def set_senders(self, senders: int) -> None:
        """Take over the number of entries that share the bounds."""
        self.senders = senders
        for pool in self._pools.values():
            pool.budget.slack = self._find_slack()

    def _find_slack(self) -> float:
        """Return this entry's part of the repeats that are always allowed."""
        return self._options.retry_slack * REPEAT_SHARE_USED / self.senders

    # Placement

    def count_request(self, now: float, pool_name: ids.PoolName) -> None:
        """Count a request of a caller for a pool."""
        self._get_pool(pool_name).budget.count_request(now)

    def take_repeat(self, now: float, pool_name: ids.PoolName) -> bool:
        """Count a repeat if the budget of the pool allows it."""
        return self._get_pool(pool_name).budget.try_acquire(now)

    def place(
        self,
        now: float,
        route: wire.RouteItem,
        pool_name: ids.PoolName,
        key: str | None,
        avoided: Collection[ids.TargetId],
        time_left_s: float,
    ) -> steering.Placement:
        """Take a place on a target, or none when no target has room."""
        share = self._find_cold_share(pool_name)
        placed = steering.place_request(
            now,
            (
                item
                for item in self._rank(now, route, pool_name, key)
                if item.target not in avoided
            ),
            lambda item: steering.may_send(item, now, share),
            route.priority,
            time_left_s,
            CHOICES_PER_OBJECT if route.sticky and key is not None else None,
            self._get_pool(pool_name).find_failure_rate(now),
        )
        if placed.target is not None:
            steering.note_start(placed.target, now)
            if steering.is_cold(placed.target, now):
                placed.target.tokens -= 1.0
        return placed

    def _find_cold_share(self, pool_name: ids.PoolName) -> float:
        pool = self._mirror.pools.get(pool_name)
        if pool is None or pool.cold_per_s <= 0.0:
            return float('inf')
        return self._cold_bound.compute_sender_rate(
            pool.cold_per_s, self.senders
        )

    def _rank(
        self,
        now: float,
        route: wire.RouteItem,
        pool_name: ids.PoolName,
        key: str | None,
    ) -> list[steering.ObservedTarget]:
        """Return the targets for a request in the order of preference.

        All entries of a region prefer the same targets for an object.
        """
        targets = _keep_allowed(
            self._get_pool(pool_name).targets, route.allowed_regions
        )
        if key is None or not route.sticky:
            return sorted(targets, key=lambda item: _rate_load(now, item))
        name = (pool_name, ','.join(route.allowed_regions), key)
        ranking = self._rankings.get(name)
        if ranking is None:
            if len(self._rankings) >= MAX_RANKINGS:
                self._rankings.clear()
            ranking = self._rankings[name] = [
                self._targets[target]
                for target in steering.rank_targets(key, self._weigh(targets))
            ]
        return ranking

    def _weigh(
        self, targets: list[steering.ObservedTarget]
    ) -> dict[ids.TargetId, float]:
        """Return the part of the objects that each target is to serve."""
        slots: dict[ids.RegionName, int] = {}
        for item in targets:
            region = item.record.region
            slots[region] = slots.get(region, 0) + item.record.slots
        options = self._options
        shares = steering.compute_region_shares(
            options.region, slots, len(set(options.domains.values()))
        )
        return {
            item.target: shares[item.record.region]
            * item.record.slots
            / slots[item.record.region]
            for item in targets
        }

    def release(self, observed: steering.ObservedTarget) -> None:
        """End a placement."""
        steering.note_end(observed)

    # Outcomes

    def note_load(
        self, now: float, observed: steering.ObservedTarget, report: bytes
    ) -> None:
        """Take the load report of an answer: running, waiting and slots."""
        try:
            running, waiting, _ = (int(part) for part in report.split(b','))
        except ValueError:
            _log.debug(
                telemetry.format_event(
                    'load_report_unreadable',
                    target=observed.target,
                    found=repr(report),
                )
            )
            return
        steering.note_report(observed, now, running, waiting)

    def note_answer(
        self, now: float, observed: steering.ObservedTarget, service_s: float
    ) -> None:
        """Count a full answer of a target."""
        cold_s = min(self._cold_s(observed), RECOVERY_COLD_S)
        steering.note_answer(observed, now, service_s, cold_s)

    def note_failure(self, observed: steering.ObservedTarget) -> None:
        """Count a request that a target failed."""
        steering.note_failure(observed)

    def fails_evenly(self, now: float, pool_name: ids.PoolName) -> bool:
        """Return whether a whole pool refuses or fails many requests."""
        rate = self._get_pool(pool_name).find_failure_rate(now)
        return rate >= steering.DOUBTFUL_FAILURE_RATE

    def _is_cut_off(self, now: float, pool_name: ids.PoolName) -> bool:
        """Return whether most targets of a pool cannot be reached."""
        targets = self._get_pool(pool_name).targets
        ejected = sum(steering.is_ejected(item, now) for item in targets)
        return 2 * ejected > len(targets)

    def note_time_out(
        self, now: float, observed: steering.ObservedTarget
    ) -> None:
        """Count a request that got no answer in time."""
        if steering.is_silent(observed, now):
            self.eject(now, observed)
        else:
            steering.note_failure(observed)

    def eject(self, now: float, observed: steering.ObservedTarget) -> None:
        """Keep away from a target that is silent or unreachable."""
        steering.eject(observed, now)
        if self._is_cut_off(now, observed.record.pool):
            # The entry has lost its own links, so the targets stay warm.
            observed.recovering = False
        _log.info(
            telemetry.format_event(
                'target_ejected',
                target=observed.target,
                address=observed.record.address,
                failures=observed.failures,
                pause_s=observed.ejected_until - now,
            )
        )


def _keep_allowed(
    targets: list[steering.ObservedTarget], regions: list[ids.RegionName]
) -> list[steering.ObservedTarget]:
    if not regions:
        return targets
    return [item for item in targets if item.record.region in regions]


def _rate_load(now: float, item: steering.ObservedTarget) -> float:
    """Return the load of a target per slot, with the cost of the way."""
    load = steering.estimate_load(item, now) / item.record.slots
    return load + REMOTE_COST if item.is_remote else load
