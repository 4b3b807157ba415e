"""Distribution of the slots of one pool over entries.

A `Claimant` row stands for an entry and a `TargetCapacity` row for a target.
The plan states the slots that each entry should have; the ledger limits what
may be granted now.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from fulmarseam import ids
from fulmarseam.steering import _ledger

# Share of the spare slots (those that no entry asks for) that is granted in
# advance. The leader keeps the rest for entries whose demand grows.
SPARE_SHARE = 0.75
# Slots that an entry keeps in excess of its part of the spare slots, so that
# small changes of demand move no slots.
SPARE_SLACK_SLOTS = 1


@dataclasses.dataclass(slots=True, eq=False)
class TargetCapacity:
    """A target; `free_slots` counts the slots not planned yet."""

    target: ids.TargetId
    region: ids.RegionName
    domain: ids.DomainName
    free_slots: int


@dataclasses.dataclass(slots=True, eq=False)
class Claimant:
    """An entry that claims slots of the pool.

    `wanted` counts the slots that it wants now and `recent_wanted` those
    that it wanted recently. `held` and `in_flight` count, by target, the
    slots that it may use and its running requests. `avoided` lists targets
    that fail its requests. `shift_shares` lists the regions that shifts
    move its requests to, each with the share that moves. `quota` is its
    share of all slots and `placed_slots` counts those placed in `plan`.
    """

    key: _ledger.HolderKey
    region: ids.RegionName
    domain: ids.DomainName
    wanted: int
    recent_wanted: int
    draining: bool
    held: Mapping[ids.TargetId, int]
    in_flight: Mapping[ids.TargetId, int]
    avoided: frozenset[ids.TargetId] = frozenset()
    shift_shares: tuple[tuple[ids.RegionName, float], ...] = ()
    quota: int = 0
    placed_slots: int = 0
    plan: dict[ids.TargetId, int] = dataclasses.field(default_factory=dict)


LinkCheck = Callable[[ids.RegionName, ids.RegionName], bool]


def plan_pool(
    claimants: Sequence[Claimant],
    capacities: Sequence[TargetCapacity],
    has_link: LinkCheck,
) -> None:
    """Fill the plans of the claimants.

    Slots in use stay on their targets. Remaining demand is placed in the
    claimant's own failure domain, then its own region, then other regions.
    Part of the spare slots goes to the entries in the region of the targets.
    """
    _set_quotas(claimants, sum(capacity.free_slots for capacity in capacities))
    by_region = _group_by_region(capacities)
    _keep_in_flight(
        claimants, {capacity.target: capacity for capacity in capacities}
    )
    _place_shifted(claimants, by_region)
    _place_in_own_region(
        claimants, by_region, {c.key: c.quota for c in claimants}
    )
    _place_in_other_regions(claimants, by_region, has_link)
    # Avoided targets are used only when an entry gets no other slots.
    for claimant in claimants:
        if _count_unplaced(claimant):
            claimant.avoided = frozenset()
    _place_in_own_region(
        claimants, by_region, {c.key: c.quota for c in claimants}
    )
    _place_spare(claimants, by_region)


def compute_max_min_shares(
    wanted: Sequence[int], held: Sequence[int], total: int
) -> list[int]:
    """Return max-min fair integer shares of `total`.

    An indivisible remainder goes to those that hold most in excess of their
    share, so that no slots move.
    """
    shares = [0] * len(wanted)
    order = sorted(range(len(wanted)), key=wanted.__getitem__)
    remaining = total
    for position, index in enumerate(order):
        share = min(wanted[index], remaining // (len(order) - position))
        shares[index] = share
        remaining -= share
    unmet = [index for index in order if shares[index] < wanted[index]]
    unmet.sort(key=lambda index: held[index] - shares[index], reverse=True)
    for index in unmet[:remaining]:
        shares[index] += 1
    return shares


def _set_quotas(claimants: Sequence[Claimant], total: int) -> None:
    """Set the quotas by current demand, then by recent demand.

    Recent demand comes second because slots kept for it would starve an
    entry that has queued requests.
    """
    held = [sum(claimant.held.values()) for claimant in claimants]
    shares = compute_max_min_shares(
        [claimant.wanted for claimant in claimants], held, total
    )
    recent_excess = [
        max(0, claimant.recent_wanted - share)
        for claimant, share in zip(claimants, shares, strict=True)
    ]
    extra_shares = compute_max_min_shares(
        recent_excess, held, total - sum(shares)
    )
    for claimant, share, extra_share in zip(
        claimants, shares, extra_shares, strict=True
    ):
        claimant.quota = share + extra_share


def _group_by_region(
    capacities: Iterable[TargetCapacity],
) -> dict[ids.RegionName, list[TargetCapacity]]:
    by_region: dict[ids.RegionName, list[TargetCapacity]] = {}
    for capacity in capacities:
        by_region.setdefault(capacity.region, []).append(capacity)
    return by_region


def _keep_in_flight(
    claimants: Sequence[Claimant],
    capacities: Mapping[ids.TargetId, TargetCapacity],
) -> None:
    for claimant in claimants:
        for target, count in claimant.in_flight.items():
            capacity = capacities.get(target)
            if capacity is not None:
                kept_slots = min(count, claimant.held.get(target, 0))
                _place_slots(
                    claimant,
                    capacity,
                    min(kept_slots, _count_unplaced(claimant)),
                )


def _place_shifted(
    claimants: Sequence[Claimant],
    by_region: Mapping[ids.RegionName, list[TargetCapacity]],
) -> None:
    """Place the part of the demand that shifts move to other regions."""
    for claimant in claimants:
        for region, share in claimant.shift_shares:
            capacities = by_region.get(region, [])
            planned_in_region = sum(
                claimant.plan.get(capacity.target, 0)
                for capacity in capacities
            )
            wanted = math.ceil(share * claimant.quota) - planned_in_region
            limit = claimant.placed_slots + min(
                wanted, _count_unplaced(claimant)
            )
            _keep_held(claimant, capacities, limit)
            _spread_evenly(claimant, capacities, limit)


def _place_in_own_region(
    claimants: Sequence[Claimant],
    by_region: Mapping[ids.RegionName, list[TargetCapacity]],
    limits: Mapping[_ledger.HolderKey, int],
) -> None:
    """Place demand in the own failure domain, then in the own region."""
    domains = {
        claimant.key: [
            capacity
            for capacity in by_region.get(claimant.region, ())
            if capacity.domain == claimant.domain
        ]
        for claimant in claimants
    }
    regions = {
        claimant.key: by_region.get(claimant.region, [])
        for claimant in claimants
    }
    for capacities in (domains, regions):
        for place_demand in (_keep_held, _spread_evenly):
            for claimant in claimants:
                limit = limits[claimant.key]
                if claimant.placed_slots < limit:
                    place_demand(claimant, capacities[claimant.key], limit)


def _place_in_other_regions(
    claimants: Sequence[Claimant],
    by_region: Mapping[ids.RegionName, list[TargetCapacity]],
    has_link: LinkCheck,
) -> None:
    """Place the demand for which the own region has no free slots."""
    for place_demand in (_keep_held, _spread_evenly):
        for claimant in claimants:
            if not _count_unplaced(claimant):
                continue
            capacities = [
                capacity
                for region, group in by_region.items()
                if region != claimant.region
                and has_link(claimant.region, region)
                for capacity in group
            ]
            place_demand(claimant, capacities, claimant.quota)


def _place_spare(
    claimants: Sequence[Claimant],
    by_region: Mapping[ids.RegionName, list[TargetCapacity]],
) -> None:
    """Plan part of the slots that no entry asks for."""
    for region, capacities in by_region.items():
        local_claimants = [
            claimant
            for claimant in claimants
            if claimant.region == region and not claimant.draining
        ]
        spare = int(
            SPARE_SHARE * sum(capacity.free_slots for capacity in capacities)
        )
        if not local_claimants or not spare:
            continue
        parts = _divide_by_weight(
            spare, [claimant.quota + 1 for claimant in local_claimants]
        )
        limits = {
            claimant.key: claimant.placed_slots + part
            for claimant, part in zip(local_claimants, parts, strict=True)
        }
        for claimant in local_claimants:
            _keep_held(
                claimant, capacities, limits[claimant.key] + SPARE_SLACK_SLOTS
            )
        _place_in_own_region(local_claimants, {region: capacities}, limits)


def _divide_by_weight(total: int, weights: Sequence[int]) -> list[int]:
    """Divide `total` into integer parts in proportion to the weights."""
    total_weight = sum(weights)
    parts = [total * weight // total_weight for weight in weights]
    remainders = [total * weight % total_weight for weight in weights]
    order = sorted(
        range(len(weights)), key=remainders.__getitem__, reverse=True
    )
    for index in order[: total - sum(parts)]:
        parts[index] += 1
    return parts


def _count_unplaced(claimant: Claimant) -> int:
    return claimant.quota - claimant.placed_slots


def _place_slots(
    claimant: Claimant, capacity: TargetCapacity, count: int
) -> None:
    count = min(count, capacity.free_slots)
    if count <= 0:
        return
    capacity.free_slots -= count
    claimant.placed_slots += count
    planned = claimant.plan.get(capacity.target, 0)
    claimant.plan[capacity.target] = planned + count


def _keep_held(
    claimant: Claimant, capacities: Sequence[TargetCapacity], limit: int
) -> None:
    """Place demand on targets where the claimant already holds slots."""
    held = claimant.held
    for capacity in capacities:
        unplaced = limit - claimant.placed_slots
        if unplaced <= 0:
            return
        if capacity.target in held and capacity.target not in claimant.avoided:
            kept_slots = held[capacity.target] - claimant.plan.get(
                capacity.target, 0
            )
            _place_slots(claimant, capacity, min(kept_slots, unplaced))


def _spread_evenly(
    claimant: Claimant, capacities: Sequence[TargetCapacity], limit: int
) -> None:
    """Place slots one by one on the targets with most free slots."""
    while claimant.placed_slots < limit:
        open_capacities = [
            capacity
            for capacity in capacities
            if capacity.free_slots > 0
            and capacity.target not in claimant.avoided
        ]
        if not open_capacities:
            return
        open_capacities.sort(
            key=lambda capacity: capacity.free_slots, reverse=True
        )
        for capacity in open_capacities[: limit - claimant.placed_slots]:
            _place_slots(claimant, capacity, 1)
