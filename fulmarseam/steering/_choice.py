"""The choice of a target for one request."""

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

# Own outcomes count as much as no knowledge once there are this many.
HALF_CONFIDENCE_COUNT = 3.0
# A slow target costs at most this multiple of the pool's median latency.
MAX_LATENCY_RATIO = 4.0
# Load that is assumed when no target of the pool reports any.
DEFAULT_LOAD = 0.5
FAILURE_WEIGHT = 2.0
# Reports may be wrong, so the widest gap between two of them weighs less
# than the gap between a free and a full share of slots.
REPORT_WEIGHT = 0.3
MIN_USE_WEIGHT = 0.25
# Equal targets are chosen at random, or all entries would choose alike.
NOISE = 0.05


class Random(Protocol):
    """The part of `random.Random` that the choice uses."""

    def random(self) -> float:
        """Return a number from 0.0 up to but not including 1.0."""
        ...


class Locality(NamedTuple):
    """Where an entry or a target runs."""

    region: ids.RegionName
    domain: ids.DomainName


class Choice(NamedTuple):
    """A target for a request.

    The slot is not taken yet; `SlotTracker.try_acquire` follows. With
    `is_remote` the request also needs `ShiftLimiter.try_acquire` and tokens
    of the links.
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
    """The targets of a pool as seen from an entry's place.

    `refresh` takes what changes slowly (rows, reported load, outcomes) and
    is called when the mirror changes and about every 100 ms::

        view = PoolView(pool, Place(region, domain))
        view.refresh(now, mirror.ready(), outcomes)
        choice = choose_target(view, now, book, rng)
    """

    def __init__(self, pool: wire.Pool, locality: Locality) -> None:
        self.pool = pool
        self.locality = locality
        self.use_weight = max(MIN_USE_WEIGHT, 1.0 - pool.latency_weight)
        self.doubtful: frozenset[ids.TargetId] = frozenset()
        self._domain: list[_Candidate] = []
        self._region: list[_Candidate] = []
        self._remote: dict[ids.RegionName, list[_Candidate]] = {}

    def refresh(
        self,
        now: float,
        targets: Iterable[membership.MirroredTarget],
        outcomes: _outcomes.OutcomeTable,
    ) -> None:
        """Take the ready targets; those of other pools are left out."""
        rows = [row for row in targets if row.report.pool == self.pool.name]
        names = [row.report.target for row in rows]
        judgement = outcomes.judge(now, names)
        self.doubtful = judgement.ejected | judgement.doubtful
        if judgement.is_suspect:
            costs = dict.fromkeys(names, 0.0)
        else:
            costs = _estimate_costs(now, self.pool, rows, outcomes)
        self._domain = []
        self._region = []
        self._remote = {}
        for row in rows:
            name = row.report.target
            candidate = _Candidate(
                target=name,
                address=row.report.address,
                region=row.report.region,
                domain=row.report.failure_domain,
                cost=costs[name],
                is_ejected=name in judgement.ejected,
                is_doubtful=name in judgement.doubtful,
            )
            self._group_of(candidate).append(candidate)

    def tiers(
        self,
        preferred_region: ids.RegionName | None,
        blocked_regions: Collection[ids.RegionName],
    ) -> Iterator[list[_Candidate]]:
        """Yield the groups of candidates in the order of choice."""
        if (
            preferred_region is not None
            and preferred_region not in blocked_regions
        ):
            yield self._remote.get(preferred_region, [])
        yield self._domain
        yield self._region
        if not self.pool.local_only:
            yield [
                candidate
                for region, group in self._remote.items()
                if region not in blocked_regions
                for candidate in group
            ]

    def _group_of(self, candidate: _Candidate) -> list[_Candidate]:
        if candidate.region != self.locality.region:
            return self._remote.setdefault(candidate.region, [])
        if candidate.domain == self.locality.domain:
            return self._domain
        return self._region


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

    The order is: `preferred_region` (the destination of a shift with
    credit), the own failure domain, the own region, other regions that are
    not among `blocked_regions` (no link tokens or no shift credit).
    `avoided_targets` lists targets that this request has tried or that run a
    suspect. A doubtful target is chosen only when no good one has a free
    slot, in any group, and an ejected one only when no other has.
    """
    doubtful: _Candidate | None = None
    last_resort: _Candidate | None = None
    for tier in view.tiers(preferred_region, blocked_regions):
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
            cost += NOISE * rng.random()
            if cost < best_cost:
                best = candidate
                best_cost = cost
        if best is not None:
            return _to_choice(view, best)
    last_resort = doubtful or last_resort
    return None if last_resort is None else _to_choice(view, last_resort)


def _to_choice(view: PoolView, candidate: _Candidate) -> Choice:
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
    seen = {
        row.report.target: outcomes.get(now, row.report.target) for row in rows
    }
    latencies = [row.latency_s for row in seen.values() if row.latency_s > 0]
    median = statistics.median(latencies) if latencies else 0.0
    costs: dict[ids.TargetId, float] = {}
    for target, own in seen.items():
        confidence = own.weight / (own.weight + HALF_CONFIDENCE_COUNT)
        ratio = 1.0
        if median > 0.0 and own.latency_s > 0.0:
            ratio = min(MAX_LATENCY_RATIO, own.latency_s / median)
        latency = confidence * ratio + (1.0 - confidence)
        report = REPORT_WEIGHT * (1.0 - confidence / 2.0) * loads[target]
        failure = FAILURE_WEIGHT * own.failure
        costs[target] = pool.latency_weight * latency + report + failure
    return costs


def _estimate_loads(
    now: float, rows: Collection[membership.MirroredTarget]
) -> dict[ids.TargetId, float]:
    """Return the load of targets as a share of their slots, at most 1.

    Trust in a report halves with each second of its age, in favour of the
    pool's mean. A target without a report counts as the mean, never idle.
    """
    reported: dict[ids.TargetId, tuple[float, float]] = {}
    for row in rows:
        load = row.report.load
        if load is None or row.load_at is None:
            continue
        trust = 0.5 ** max(0.0, now - row.load_at)
        busy = max(0, load.busy_slots) + max(0, load.queued)
        share = min(1.0, busy / max(1, row.report.slots))
        reported[row.report.target] = trust, share
    weight = sum(trust for trust, _ in reported.values())
    mean = DEFAULT_LOAD
    if weight > 0.0:
        mean = sum(t * share for t, share in reported.values()) / weight
    loads = {}
    for row in rows:
        trust, share = reported.get(row.report.target, (0.0, 0.0))
        loads[row.report.target] = trust * share + (1.0 - trust) * mean
    return loads
