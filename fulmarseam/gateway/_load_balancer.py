"""Load balancing of requests over the targets that an entry observes."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import zlib

import logbook

from fulmarseam import catalog
from fulmarseam import ids
from fulmarseam import notices
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.gateway import _paths
from fulmarseam.gateway import _pools

# A target that is reachable again may have restarted, so it counts as cold
# until its announcement can arrive, within a heartbeat of 1.5 s and a poll.
RECOVERY_COLD_S = 2.0
# Fraction of the retry bound that is used. Requests and retries of one time
# window may reach the targets in a different one because of delays.
RETRY_SHARE_USED = 0.8
# Targets that share the requests for one object. With more, an overload would
# spread each object over all targets; these would then keep no object cached,
# stay slow and prolong the overload.
TARGETS_PER_OBJECT = 2
# Load per slot that is added for targets in other regions when targets are
# ranked for a request without affinity.
REMOTE_LOAD_PENALTY = 0.4
# Number of different token offsets between 0 and 1.
TOKEN_OFFSET_STEPS = 1_000
# The loads that all entries observe together replace a report of the target
# that is older than this.
MIN_REPLACED_REPORT_AGE_S = 0.1
# How long other entries' ejections count without a newer answer to a poll.
SHARED_EJECTION_S = 1.2
# Share of a pool's targets up to which the ejections of other entries count.
# If they cover more, they are more likely about a network than the targets.
MAX_SHARED_EJECTIONS = 1 / 3
# Cached rankings of targets, one per object. The busiest deployments have at
# least some hundred objects per route.
MAX_RANKINGS = 20_000
# A load report that is unreadable is logged up to this length.
MAX_SHOWN_REPORT_BYTES = 40

_log = logbook.Logger('gateway')


def _has_none(address: str) -> bool:
    """Return that there is no idle connection."""
    return False


class LoadBalancer:
    """Observes all targets of the catalog and places requests on them.

    Times are in seconds of a monotonic clock. Every target that `place`
    returns must be given back with `release`.
    """

    def __init__(
        self,
        options: settings.GatewaySettings,
        mirror: catalog.CatalogMirror,
        has_kept_connection: Callable[[str], bool] = _has_none,
    ) -> None:
        self._options = options
        self._mirror = mirror
        self._cold_rate_limit = steering.ColdRateLimit(
            options.cold_factor, options.cold_slack
        )
        self._targets: dict[ids.TargetId, steering.ObservedTarget] = {}
        self._pools: dict[ids.PoolName, _pools.Pool] = {}
        self._rankings: dict[
            tuple[str, str, str], list[steering.ObservedTarget]
        ] = {}
        # Targets whose record is odd; no request is sent there.
        self._unusable: set[ids.TargetId] = set()
        # Requests in flight by target as of the last observations.
        self._reported: dict[ids.TargetId, int] = {}
        self._evacuated: frozenset[ids.DomainName] = frozenset()
        self.limited_targets = steering.LimitedTargets()
        self.notices = steering.NoticeTable()
        self._notice_recorder = notices.NoticeRecorder(self.notices)
        self.senders = 1
        self.paths = _paths.Paths(self._pools, has_kept_connection)

    # Catalog updates

    def update(self, now: float) -> None:
        """Apply the targets and evacuations of the mirror."""
        self._rankings.clear()
        records = self._mirror.targets
        self.limited_targets.retain(self._mirror.list_incarnations())
        for target in self._targets.keys() - records.keys():
            del self._targets[target]
            self._unusable.discard(target)
        for target, record in records.items():
            self._update_target(now, target, record)
        restored_domains = self._evacuated - self._mirror.evacuated
        self._evacuated = self._mirror.evacuated
        for observed in self._targets.values():
            if observed.record.failure_domain in restored_domains:
                # The targets may have lost their caches in the meantime.
                steering.mark_cold(observed, now, self._get_cold_s(observed))
        self._group_targets()

    def _update_target(
        self, now: float, target: ids.TargetId, record: wire.TargetRecord
    ) -> None:
        observed = self._targets.get(target)
        if observed is not None and observed.record == record:
            return
        is_new_instance = observed is None or (
            observed.record.born_ms != record.born_ms
            or observed.record.address != record.address
        )
        if observed is None or is_new_instance:
            observed = steering.ObservedTarget(
                record,
                record.region != self._options.region,
                token_offset=self._compute_token_offset(target),
                tokens_at=now,
                in_flight=observed.in_flight if observed else 0,
            )
            self._targets[target] = observed
        observed.record = record
        observed.statistics = self._get_or_create_pool(record.pool).statistics
        if not self._check_record(record):
            return
        if record.cold_ms > 0.0:
            steering.mark_cold(observed, now, record.cold_ms / 1_000)

    def _check_record(self, record: wire.TargetRecord) -> bool:
        """Return whether requests can be sent to a target; log why not."""
        problem = catalog.find_problem(record)
        if problem is None:
            self._unusable.discard(record.target)
            return True
        self._unusable.add(record.target)
        _log.warning(
            telemetry.format_event(
                'target_unusable', target=record.target, reason=problem
            )
        )
        return False

    def _compute_token_offset(self, target: ids.TargetId) -> float:
        name = f'{self._options.host} {target}'.encode()
        return (zlib.crc32(name) % TOKEN_OFFSET_STEPS) / TOKEN_OFFSET_STEPS

    def _get_cold_s(self, observed: steering.ObservedTarget) -> float:
        pool = self._mirror.pools.get(observed.record.pool)
        return pool.cold_s if pool is not None else 0.0

    def _group_targets(self) -> None:
        for pool in self._pools.values():
            pool.targets = []
        for observed in self._targets.values():
            record = observed.record
            if record.phase is not wire.TargetPhase.READY:
                continue
            if record.target in self._unusable:
                continue
            if record.failure_domain in self._evacuated:
                continue
            if self.notices.is_leaving(observed.process):
                continue
            self._get_or_create_pool(record.pool).targets.append(observed)

    def record_notice(
        self,
        now: float,
        process: steering.TargetProcess,
        notice: notices.Notice,
        source: str = 'answer',
    ) -> None:
        """Record what a target says about the requests that it wants."""
        if self._notice_recorder.record(now, process, notice, source):
            self._rankings.clear()
            self._group_targets()

    def record_relayed_leave(self, now: float, target: ids.TargetId) -> None:
        """Record that a target leaves, as an answer says to another entry."""
        observed = self._targets.get(target)
        if observed is not None:
            self.record_notice(
                now, observed.process, notices.Notice(is_leaving=True), 'relay'
            )

    def _get_or_create_pool(self, name: ids.PoolName) -> _pools.Pool:
        pool = self._pools.get(name)
        if pool is None:
            options = self._options
            pool = self._pools[name] = _pools.Pool(
                steering.WindowedRetryBudget(
                    options.retry_ratio * RETRY_SHARE_USED,
                    self._compute_slack(),
                    options.retry_window,
                )
            )
        return pool

    def count_ready(self) -> int:
        """Return the number of targets that may get requests."""
        return sum(len(pool.targets) for pool in self._pools.values())

    def get_targets(
        self, pool_name: ids.PoolName
    ) -> Sequence[steering.ObservedTarget]:
        """Return the targets of a pool that may get requests."""
        return self._get_or_create_pool(pool_name).targets

    def get_allowed_targets(
        self, route: wire.RouteItem, pool_name: ids.PoolName
    ) -> Sequence[steering.ObservedTarget]:
        """Return the targets of a pool that a route may use."""
        return _filter_by_region(
            self._get_or_create_pool(pool_name).targets, route.allowed_regions
        )

    def count_in_flight(self) -> int:
        """Return the number of requests in flight on all targets."""
        return sum(observed.in_flight for observed in self._targets.values())

    def set_senders(self, senders: int) -> None:
        """Set the number of entries that share the bounds."""
        self.senders = senders
        self.limited_targets.senders = senders
        for pool in self._pools.values():
            pool.retry_budget.slack = self._compute_slack()

    def _compute_slack(self) -> float:
        """Return this entry's part of the retry slack."""
        return self._options.retry_slack * RETRY_SHARE_USED / self.senders

    def is_out_of_reach(
        self, now: float, route: wire.RouteItem, pool_name: ids.PoolName
    ) -> bool:
        """Return whether this entry reaches few targets of a request."""
        targets = self.get_allowed_targets(route, pool_name)
        lost_count = sum(
            steering.is_ejected_here(observed, now)
            or not self.paths.may_send(observed)
            for observed in targets
        )
        return lost_count > 0 and 2 * lost_count >= len(targets)

    # Observations of all entries

    def list_observations(self, now: float) -> list[wire.TargetObservation]:
        """Return what other entries should know of the targets."""
        observations = []
        self._reported.clear()
        for observed in self._targets.values():
            # Without paths this entry knows nothing of its targets.
            is_ejected = steering.is_reported_ejected(
                observed, now
            ) and not self.paths.is_cut(observed)
            if observed.in_flight or is_ejected:
                self._reported[observed.target] = observed.in_flight
                observations.append(
                    wire.TargetObservation(
                        observed.target, observed.in_flight, is_ejected
                    )
                )
        return observations

    def apply_shared_loads(
        self, now: float, loads: bytes, revision: int
    ) -> None:
        """Use the loads that all entries observe together.

        They are ignored if they list the targets of another revision.
        """
        if revision != self._mirror.revision:
            return
        if len(loads) != len(self._targets):
            _log.warning(
                telemetry.format_event(
                    'shared_loads_ignored',
                    found=len(loads),
                    expected=len(self._targets),
                    revision=revision,
                )
            )
            return
        loads_by_target = dict(zip(sorted(self._targets), loads, strict=True))
        for pool in self._pools.values():
            _apply_shared_ejections(now, pool.targets, loads_by_target)
        for target, load in loads_by_target.items():
            observed = self._targets[target]
            age_s = now - observed.other_load_at
            if (
                load != wire.FAILING_TARGET
                and age_s > MIN_REPLACED_REPORT_AGE_S
            ):
                others = load - self._reported.get(target, 0)
                steering.note_shared_load(observed, now, others)

    # Placement of requests

    def count_request(self, now: float, pool_name: ids.PoolName) -> None:
        """Count a request of a caller for a pool."""
        self._get_or_create_pool(pool_name).retry_budget.count_request(now)

    def try_acquire_retry(self, now: float, pool_name: ids.PoolName) -> bool:
        """Count a retry if the budget of the pool allows it."""
        return self._get_or_create_pool(pool_name).retry_budget.try_acquire(
            now
        )

    def place(
        self,
        now: float,
        route: wire.RouteItem,
        pool_name: ids.PoolName,
        affinity_key: str | None,
        avoided: Collection[ids.TargetId],
        time_left_s: float,
        may_ask: bool = True,
    ) -> steering.Placement:
        """Choose a target and count the request there, if one has room.

        `affinity_key` names the object of the request, if known. With
        `may_ask` the request may wait for a permit of the leader.
        """
        cold_rate = self._compute_cold_rate(pool_name)

        def may_send(observed: steering.ObservedTarget) -> bool:
            return (
                self.paths.may_send(observed)
                and self._is_wanted(now, observed)
                and steering.may_send(observed, now, cold_rate)
                and self.limited_targets.may_send(
                    now, observed.target, may_ask
                )
            )

        placement = steering.place_request(
            now,
            (
                observed
                for observed in self._rank_targets(
                    now, route, pool_name, affinity_key
                )
                if observed.target not in avoided
            ),
            may_send,
            route.priority,
            time_left_s,
            TARGETS_PER_OBJECT
            if route.sticky and affinity_key is not None
            else None,
            self._get_or_create_pool(pool_name).get_failure_rate(now),
        )
        if placement.target is not None:
            steering.note_start(placement.target, now)
            if self.notices:
                self.notices.note_sent(now, placement.target.process)
            if steering.is_cold(placement.target, now):
                placement.target.tokens -= 1.0
        return placement

    def _is_wanted(
        self, now: float, observed: steering.ObservedTarget
    ) -> bool:
        """Return whether a target wants a request now."""
        return not self.notices or self.notices.may_send(now, observed.process)

    def _is_due(self, now: float, observed: steering.ObservedTarget) -> bool:
        """Return whether a target that returns should get a request now."""
        return bool(self.notices) and self.notices.is_due(
            now, observed.process
        )

    def _compute_cold_rate(self, pool_name: ids.PoolName) -> float:
        pool = self._mirror.pools.get(pool_name)
        if pool is None or pool.cold_per_s <= 0.0:
            return float('inf')
        return self._cold_rate_limit.compute_sender_rate(
            pool.cold_per_s, self.senders
        )

    def _rank_targets(
        self,
        now: float,
        route: wire.RouteItem,
        pool_name: ids.PoolName,
        affinity_key: str | None,
    ) -> list[steering.ObservedTarget]:
        """Return the targets for a request in the order of preference.

        All entries of a region prefer the same targets for an object.
        """
        targets = self.get_allowed_targets(route, pool_name)
        if affinity_key is None or not route.sticky:
            return sorted(
                targets,
                key=lambda observed: (
                    not self._is_due(now, observed),
                    _compute_load_cost(now, observed),
                ),
            )
        ranking_key = (
            pool_name,
            ','.join(route.allowed_regions),
            affinity_key,
        )
        ranking = self._rankings.get(ranking_key)
        if ranking is None:
            if len(self._rankings) >= MAX_RANKINGS:
                self._rankings.clear()
            ranking = self._rankings[ranking_key] = [
                self._targets[target]
                for target in steering.rank_targets(
                    affinity_key, self._compute_weights(targets)
                )
            ]
        return ranking

    def _compute_weights(
        self, targets: Sequence[steering.ObservedTarget]
    ) -> dict[ids.TargetId, float]:
        """Return the share of the objects that each target should serve."""
        slots: dict[ids.RegionName, int] = {}
        for observed in targets:
            region = observed.record.region
            slots[region] = slots.get(region, 0) + observed.record.slots
        options = self._options
        shares = steering.compute_region_shares(
            options.region, slots, len(set(options.domains.values()))
        )
        return {
            observed.target: shares[observed.record.region]
            * observed.record.slots
            / slots[observed.record.region]
            for observed in targets
        }

    def release(self, observed: steering.ObservedTarget) -> None:
        """Count the end of a request that `place` put on a target."""
        steering.note_end(observed)

    # Outcomes of attempts

    def record_load_report(
        self, now: float, observed: steering.ObservedTarget, report: bytes
    ) -> None:
        """Record a load report of the form `running,waiting,slots`.

        A fourth figure tells how long work takes there now, in percent of
        the usual time.
        """
        try:
            load = steering.parse_load_report(report)
        except ValueError as error:
            _log.debug(
                telemetry.format_event(
                    'load_report_unreadable',
                    target=observed.target,
                    found=repr(report[:MAX_SHOWN_REPORT_BYTES]),
                    reason=error,
                )
            )
            return
        steering.note_report(observed, now, load.running, load.waiting)
        observed.work_factor.note(now, load.work_percent)

    def record_answer(
        self, now: float, placement: steering.Placement, service_s: float
    ) -> None:
        """Record an answer that a target returned after `service_s`."""
        observed = _get_target(placement)
        cold_s = min(self._get_cold_s(observed), RECOVERY_COLD_S)
        steering.note_answer(observed, now, service_s, cold_s)
        if placement.availability is steering.SlotAvailability.FREE:
            observed.statistics.note_run(
                placement.run_kind, service_s / observed.work_factor.get(now)
            )

    def record_failure(self, observed: steering.ObservedTarget) -> None:
        """Record a request that a target refused or failed."""
        steering.note_failure(observed)

    def is_pool_failing(self, now: float, pool_name: ids.PoolName) -> bool:
        """Return whether a whole pool refuses or fails many requests."""
        rate = self._get_or_create_pool(pool_name).get_failure_rate(now)
        return rate >= steering.DOUBTFUL_FAILURE_RATE

    def _are_most_ejected(self, now: float, pool: _pools.Pool) -> bool:
        ejected_count = sum(
            steering.is_ejected(observed, now) for observed in pool.targets
        )
        return 2 * ejected_count > len(pool.targets)

    def record_timeout(
        self, now: float, placement: steering.Placement, elapsed_s: float
    ) -> None:
        """Record a request that got no answer within `elapsed_s`."""
        observed = _get_target(placement)
        statistics = observed.statistics
        is_free = placement.availability is steering.SlotAvailability.FREE
        usual_s = elapsed_s / observed.work_factor.get(now)
        if is_free and usual_s > statistics.estimate_run(placement.run_kind):
            # The run would have taken even longer.
            statistics.note_run(placement.run_kind, usual_s)
        if steering.is_silent(observed, now):
            self.eject(now, observed)
        else:
            steering.note_failure(observed)

    def eject(
        self,
        now: float,
        observed: steering.ObservedTarget,
        is_reachable: bool = False,
    ) -> None:
        """Send no requests to an unreachable or silent target for a while.

        `is_reachable` is set if another target answered at its address.
        """
        steering.eject(observed, now)
        pool = self._get_or_create_pool(observed.record.pool)
        if not is_reachable:
            self.paths.note_unreachable(now, observed)
        if self._are_most_ejected(now, pool):
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


def _apply_shared_ejections(
    now: float,
    targets: list[steering.ObservedTarget],
    loads: dict[ids.TargetId, int],
) -> None:
    """Avoid the targets of a pool that several other entries ejected."""
    failing = [
        observed
        for observed in targets
        if loads[observed.target] == wire.FAILING_TARGET
    ]
    if len(failing) > MAX_SHARED_EJECTIONS * len(targets):
        return
    for observed in failing:
        observed.avoided_until = now + SHARED_EJECTION_S


def _get_target(placement: steering.Placement) -> steering.ObservedTarget:
    assert placement.target is not None
    return placement.target


def _filter_by_region(
    targets: list[steering.ObservedTarget], regions: list[ids.RegionName]
) -> list[steering.ObservedTarget]:
    if not regions:
        return targets
    return [
        observed for observed in targets if observed.record.region in regions
    ]


def _compute_load_cost(now: float, observed: steering.ObservedTarget) -> float:
    """Return the load of a target per slot, with any remote penalty.

    A target whose work takes twice as long counts like one at the usual pace
    whose slots are in use.
    """
    load = steering.estimate_load(observed, now) / observed.record.slots
    cost = (1.0 + load) * observed.work_factor.get(now) - 1.0
    return cost + REMOTE_LOAD_PENALTY if observed.is_remote else cost
