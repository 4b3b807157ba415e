"""Choice of a target for one request, within slot grants."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import statistics
from typing import NamedTuple
from typing import Protocol

from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import wire
from fulmarseam.steering import _outcomes
from fulmarseam.steering import _slots

# Number of own outcomes on a target at which its measured latency weighs as
# much as the default, which is the pool's median.
HALF_CONFIDENCE_COUNT = 3.0
# Largest latency that counts, as a multiple of the pool's median latency.
MAX_LATENCY_RATIO = 4.0
# Load assumed when no target of the pool reports any, as a share of its slots.
DEFAULT_LOAD = 0.5
FAILURE_WEIGHT = 2.0
# Reports may be wrong, so the largest difference between two reported loads
# weighs less than the difference between free slots and full use of them.
REPORTED_LOAD_WEIGHT = 0.3
MIN_USE_WEIGHT = 0.25
# Upper bound of a random cost. Without it, all entries would choose the same
# one of several equal targets.
MAX_RANDOM_COST = 0.05


class Random(Protocol):
    """Random source, such as `random.Random`."""

    def random(self) -> float:
        """Return a number from 0.0 up to but not including 1.0."""
        ...


class Locality(NamedTuple):
    """Region and failure domain of an entry or a target."""

    region: ids.RegionName
    domain: ids.DomainName


class Choice(NamedTuple):
    """The target chosen for a request.

    The caller must still acquire the slot with `SlotTracker.try_acquire`.
    If `is_remote` is set, the request also needs `ShiftLimiter.try_acquire`
    and tokens of the links.
    """

    target: ids.TargetId
    address: str
    region: ids.RegionName
    is_remote: bool


@dataclasses.dataclass(slots=True, eq=False)
class _Candidate:
    target: ids.TargetId
    address: str
    region: ids.RegionName
    domain: ids.DomainName
    cost: float
    is_ejected: bool
    is_doubtful: bool


class PoolView:
    """The targets of a pool as seen from an entry's locality.

    `refresh` reads the inputs that change slowly (rows, reported load,
    outcomes). Call it when the mirror changes and about every 100 ms::

        view = PoolView(pool, Locality(region, domain))
        view.refresh(now, mirror.ready(), outcomes)
        choice = choose_target(view, now, slots, rng)
    """

    def __init__(self, pool: wire.Pool, locality: Locality) -> None:
        self.pool = pool
        self.locality = locality
        self.use_weight = max(MIN_USE_WEIGHT, 1.0 - pool.latency_weight)
        self.doubtful: frozenset[ids.TargetId] = frozenset()
        self._same_domain: list[_Candidate] = []
        self._same_region: list[_Candidate] = []
        self._other_regions: dict[ids.RegionName, list[_Candidate]] = {}

    def refresh(
        self,
        now: float,
        targets: Iterable[membership.MirroredTarget],
        outcomes: _outcomes.OutcomeTable,
    ) -> None:
        """Update the view from the ready targets; ignores other pools."""
        rows = [row for row in targets if row.report.pool == self.pool.name]
        target_ids = [row.report.target for row in rows]
        outliers = outcomes.detect_outliers(now, target_ids)
        self.doubtful = outliers.ejected | outliers.doubtful
        if outliers.is_inconclusive:
            costs = dict.fromkeys(target_ids, 0.0)
        else:
            costs = _estimate_costs(now, self.pool, rows, outcomes)
        self._same_domain = []
        self._same_region = []
        self._other_regions = {}
        for row in rows:
            name = row.report.target
            candidate = _Candidate(
                target=name,
                address=row.report.address,
                region=row.report.region,
                domain=row.report.failure_domain,
                cost=costs[name],
                is_ejected=name in outliers.ejected,
                is_doubtful=name in outliers.doubtful,
            )
            self._get_group(candidate).append(candidate)

    def iterate_tiers(
        self,
        preferred_region: ids.RegionName | None,
        blocked_regions: Collection[ids.RegionName],
    ) -> Iterator[list[_Candidate]]:
        """Yield the groups of candidates in order of preference."""
        if (
            preferred_region is not None
            and preferred_region not in blocked_regions
        ):
            yield self._other_regions.get(preferred_region, [])
        yield self._same_domain
        yield self._same_region
        if not self.pool.local_only:
            yield [
                candidate
                for region, group in self._other_regions.items()
                if region not in blocked_regions
                for candidate in group
            ]

    def _get_group(self, candidate: _Candidate) -> list[_Candidate]:
        if candidate.region != self.locality.region:
            return self._other_regions.setdefault(candidate.region, [])
        if candidate.domain == self.locality.domain:
            return self._same_domain
        return self._same_region


def choose_target(
    view: PoolView,
    now: float,
    slots: _slots.SlotTracker,
    rng: Random,
    preferred_region: ids.RegionName | None = None,
    blocked_regions: Collection[ids.RegionName] = (),
    avoided_targets: Collection[ids.TargetId] = (),
) -> Choice | None:
    """Return the target for a request, or None when no slot is free.

    Targets are searched in this order: `preferred_region` (the destination
    of a shift with credit), the own failure domain, the own region, other
    regions except `blocked_regions` (no link tokens or no shift credit).
    `avoided_targets` lists targets that this request has tried or that run a
    suspect. A doubtful target is chosen only if no healthy target of any
    group has a free slot, and an ejected one only if no other target has.
    """
    doubtful: _Candidate | None = None
    last_resort: _Candidate | None = None
    for tier in view.iterate_tiers(preferred_region, blocked_regions):
        best: _Candidate | None = None
        best_cost = float('inf')
        for candidate in tier:
            target = candidate.target
            allowance, in_flight = slots.get_use(now, target)
            if in_flight >= allowance or target in avoided_targets:
                continue
            if candidate.is_ejected:
                last_resort = last_resort or candidate
                continue
            if candidate.is_doubtful:
                doubtful = doubtful or candidate
                continue
            use = (in_flight + 1) / allowance
            cost = candidate.cost + view.use_weight * use
            cost += MAX_RANDOM_COST * rng.random()
            if cost < best_cost:
                best = candidate
                best_cost = cost
        if best is not None:
            return _make_choice(view, best)
    last_resort = doubtful or last_resort
    return None if last_resort is None else _make_choice(view, last_resort)


def _make_choice(view: PoolView, candidate: _Candidate) -> Choice:
    return Choice(
        candidate.target,
        candidate.address,
        candidate.region,
        candidate.region != view.locality.region,
    )


def _estimate_costs(
    now: float,
    pool: wire.Pool,
    rows: Collection[membership.MirroredTarget],
    outcomes: _outcomes.OutcomeTable,
) -> dict[ids.TargetId, float]:
    """Return the part of the cost that does not depend on slots in use."""
    loads = _estimate_loads(now, rows)
    outcomes_by_target = {
        row.report.target: outcomes.get(now, row.report.target) for row in rows
    }
    latencies = [
        row.latency_s
        for row in outcomes_by_target.values()
        if row.latency_s > 0
    ]
    median = statistics.median(latencies) if latencies else 0.0
    costs: dict[ids.TargetId, float] = {}
    for target, target_outcomes in outcomes_by_target.items():
        confidence = target_outcomes.count / (
            target_outcomes.count + HALF_CONFIDENCE_COUNT
        )
        ratio = 1.0
        if median > 0.0 and target_outcomes.latency_s > 0.0:
            ratio = min(MAX_LATENCY_RATIO, target_outcomes.latency_s / median)
        latency_cost = confidence * ratio + (1.0 - confidence)
        report_cost = (
            REPORTED_LOAD_WEIGHT * (1.0 - confidence / 2.0) * loads[target]
        )
        failure_cost = FAILURE_WEIGHT * target_outcomes.failure_share
        costs[target] = (
            pool.latency_weight * latency_cost + report_cost + failure_cost
        )
    return costs


def _estimate_loads(
    now: float, rows: Collection[membership.MirroredTarget]
) -> dict[ids.TargetId, float]:
    """Return the load of targets as a share of their slots, at most 1.

    The weight of a report halves with each second of its age; the pool's
    mean gets the remaining weight. A target without a report is assumed to
    have the mean load, not to be idle.
    """
    reported: dict[ids.TargetId, tuple[float, float]] = {}
    for row in rows:
        load = row.report.load
        if load is None or row.load_at is None:
            continue
        report_weight = 0.5 ** max(0.0, now - row.load_at)
        busy = max(0, load.busy_slots) + max(0, load.queued)
        share = min(1.0, busy / max(1, row.report.slots))
        reported[row.report.target] = report_weight, share
    total_weight = sum(report_weight for report_weight, _ in reported.values())
    mean_load = DEFAULT_LOAD
    if total_weight > 0.0:
        mean_load = (
            sum(
                report_weight * share
                for report_weight, share in reported.values()
            )
            / total_weight
        )
    loads = {}
    for row in rows:
        report_weight, share = reported.get(row.report.target, (0.0, 0.0))
        loads[row.report.target] = (
            report_weight * share + (1.0 - report_weight) * mean_load
        )
    return loads
