"""Choice of the target for each request."""

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from fulmarseam import catalog
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.gateway import _paths
from fulmarseam.gateway import _pools
from fulmarseam.gateway import _target_table

# Targets that share the requests for one object. With more, an overload would
# spread each object over all targets; these would then keep no object cached,
# stay slow and prolong the overload.
TARGETS_PER_OBJECT = 2
# Load per slot that is added for targets in other regions when targets are
# ranked for a request without affinity.
REMOTE_LOAD_PENALTY = 0.4
# Loads of regions are asked for this often; they would take 170 bytes/s of the
# 6,000 that an entry may use if each poll of the leader returned them.
REGION_LOADS_INTERVAL_S = 2.0
# Cached rankings of targets, one per object. The busiest deployments have at
# least some hundred objects per route.
MAX_RANKINGS = 20_000

# A policy, a pool and the regions that a route allows.
_SharesKey = tuple[settings.ObjectPlacement, str, str]


class Placer:
    """Ranks the targets of a pool for a request and takes the best one."""

    def __init__(
        self,
        options: settings.GatewaySettings,
        mirror: catalog.CatalogMirror,
        table: _target_table.TargetTable,
        paths: _paths.Paths,
    ) -> None:
        self._options = options
        self._mirror = mirror
        self._table = table
        self._paths = paths
        self._cold_rate_limit = steering.ColdRateLimit(
            options.cold_factor, options.cold_slack
        )
        self._policy = settings.ObjectPlacement(options.object_placement)
        self._region_demand = steering.RegionDemand()
        self._region_loads_at = float('-inf')
        self._demand_shares: dict[_SharesKey, steering.DemandShares] = {}
        # Runs placed, by what their target probably knows of the object.
        self.run_counts: collections.Counter[steering.RunKind] = (
            collections.Counter()
        )
        # Requests for objects, and the sum of their numbers of targets.
        self.object_requests = 0
        self.object_targets = 0
        self._rankings: dict[
            tuple[settings.ObjectPlacement, str, str, str],
            list[steering.ObservedTarget],
        ] = {}
        # The version of the table that the rankings are of.
        self._ranked_version = 0

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
                self._paths.may_send(observed)
                and self._is_wanted(now, observed)
                and steering.may_send(observed, now, cold_rate)
                and self._table.limited_targets.may_send(
                    now, observed.target, may_ask
                )
            )

        pool = self._table.get_or_create_pool(pool_name)
        ranking = (
            observed
            for observed in self._rank_targets(
                now, route, pool_name, affinity_key
            )
            if observed.target not in avoided
        )
        object_key = affinity_key if route.sticky else None
        policy = self._choose_policy(pool_name)
        if (
            object_key is not None
            and policy is not settings.ObjectPlacement.FIXED
        ):
            placement = steering.place_object(
                now,
                ranking,
                may_send,
                route.priority,
                time_left_s,
                self._count_homes(now, pool, object_key, not avoided),
                pool.get_failure_rate(now),
            )
        else:
            placement = steering.place_request(
                now,
                ranking,
                may_send,
                route.priority,
                time_left_s,
                TARGETS_PER_OBJECT if object_key is not None else None,
                pool.get_failure_rate(now),
            )
        if placement.target is not None:
            self.run_counts[placement.run_kind] += 1
            steering.note_start(placement.target, now)
            if self._table.notices:
                self._table.notices.note_sent(now, placement.target.process)
            if steering.is_cold(placement.target, now):
                placement.target.tokens -= 1.0
        return placement

    def _choose_policy(
        self, pool_name: ids.PoolName
    ) -> settings.ObjectPlacement:
        """Return how the targets of a pool's objects are chosen."""
        if self._policy is not settings.ObjectPlacement.AUTOMATIC:
            return self._policy
        if self._table.get_or_create_pool(pool_name).reports_pace:
            return settings.ObjectPlacement.REGIONAL
        return settings.ObjectPlacement.FIXED

    def wants_region_loads(self, now: float) -> bool:
        """Return whether the loads of regions are used and due."""
        return (
            any(
                self._choose_policy(pool_name)
                is settings.ObjectPlacement.REGIONAL
                for pool_name in self._table.pools
            )
            and now - self._region_loads_at >= REGION_LOADS_INTERVAL_S
        )

    def apply_region_loads(
        self, now: float, loads: Mapping[ids.RegionName, int]
    ) -> None:
        """Use the requests in flight of the entries of each region."""
        self._region_loads_at = now
        self._region_demand.note(now, loads)
        demand = self._region_demand.compute_shares()
        has_changed = [
            shares.step(now, demand) for shares in self._demand_shares.values()
        ]
        if any(has_changed):
            self._rankings.clear()

    def _count_homes(
        self,
        now: float,
        pool: _pools.Pool,
        affinity_key: str,
        is_first_attempt: bool,
    ) -> int:
        """Return the number of targets that should know an object."""
        if is_first_attempt:
            pool.object_demand.note(now, affinity_key)
        if not pool.targets:
            return 1
        home_count = steering.count_homes(
            pool.object_demand.estimate_rate(now, affinity_key)
            * self._table.senders,
            pool.statistics.estimate_run(steering.RunKind.FIRST_CHOICE),
            pool.targets[0].record.slots,
        )
        self.object_requests += 1
        self.object_targets += home_count
        return home_count

    def _is_wanted(
        self, now: float, observed: steering.ObservedTarget
    ) -> bool:
        """Return whether a target wants a request now."""
        return not self._table.notices or self._table.notices.may_send(
            now, observed.process
        )

    def _is_due(self, now: float, observed: steering.ObservedTarget) -> bool:
        """Return whether a target that returns should get a request now."""
        return bool(self._table.notices) and self._table.notices.is_due(
            now, observed.process
        )

    def _compute_cold_rate(self, pool_name: ids.PoolName) -> float:
        pool = self._mirror.pools.get(pool_name)
        if pool is None or pool.cold_per_s <= 0.0:
            return float('inf')
        return self._cold_rate_limit.compute_sender_rate(
            pool.cold_per_s, self._table.senders
        )

    def _rank_targets(
        self,
        now: float,
        route: wire.RouteItem,
        pool_name: ids.PoolName,
        affinity_key: str | None,
    ) -> list[steering.ObservedTarget]:
        """Return the targets for a request in the order of preference.

        All entries of a region, or all with adaptive placement, prefer the
        same targets for an object.
        """
        targets = self._table.get_allowed_targets(route, pool_name)
        if affinity_key is None or not route.sticky:
            return sorted(
                targets,
                key=lambda observed: (
                    not self._is_due(now, observed),
                    _compute_load_cost(now, observed),
                ),
            )
        if self._ranked_version != self._table.version:
            self._ranked_version = self._table.version
            self._rankings.clear()
        ranking_key = (
            self._choose_policy(pool_name),
            pool_name,
            ','.join(route.allowed_regions),
            affinity_key,
        )
        ranking = self._rankings.get(ranking_key)
        if ranking is None:
            if len(self._rankings) >= MAX_RANKINGS:
                self._rankings.clear()
            ranking = self._rankings[ranking_key] = [
                self._table.targets[target]
                for target in steering.rank_targets(
                    affinity_key,
                    self._compute_weights(now, ranking_key[:3], targets),
                )
            ]
        return ranking

    def _compute_weights(
        self,
        now: float,
        shares_key: _SharesKey,
        targets: Sequence[steering.ObservedTarget],
    ) -> dict[ids.TargetId, float]:
        """Return the share of the objects that each target should serve.

        `shares_key` names the policy, the pool and the regions that the route
        allows.
        """
        slots: dict[ids.RegionName, int] = {}
        for observed in targets:
            region = observed.record.region
            slots[region] = slots.get(region, 0) + observed.record.slots
        if shares_key[0] is settings.ObjectPlacement.ADAPTIVE:
            return {
                observed.target: float(observed.record.slots)
                for observed in targets
            }
        shares = self._compute_region_shares(now, shares_key, slots)
        return {
            observed.target: shares[observed.record.region]
            * observed.record.slots
            / slots[observed.record.region]
            for observed in targets
        }

    def _compute_region_shares(
        self,
        now: float,
        shares_key: _SharesKey,
        slots: Mapping[ids.RegionName, int],
    ) -> Mapping[ids.RegionName, float]:
        """Return the share of this region's objects that each serves."""
        options = self._options
        region_count = len(set(options.domains.values()))
        if shares_key[0] is settings.ObjectPlacement.FIXED:
            return steering.compute_region_shares(
                options.region, slots, region_count
            )
        shares = self._demand_shares.get(shares_key)
        if shares is None:
            shares = self._demand_shares[shares_key] = steering.DemandShares(
                options.region, region_count
            )
        shares.set_slots(now, slots, self._region_demand.compute_shares())
        return {region: shares.get(region) for region in slots}


def _compute_load_cost(now: float, observed: steering.ObservedTarget) -> float:
    """Return the load of a target per slot, with any remote penalty.

    A target whose work takes twice as long counts like one at the usual pace
    whose slots are in use.
    """
    load = steering.estimate_load(observed, now) / observed.record.slots
    cost = (1.0 + load) * observed.work_factor.get(now) - 1.0
    return cost + REMOTE_LOAD_PENALTY if observed.is_remote else cost
