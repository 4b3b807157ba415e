"""The plan of slots of one pool over entries.

Entities are `Claimant` rows (entries) and `TargetCapacity` rows (targets).
The plan says who should have what; the ledger decides what may be given
now.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from fulmarseam import ids
from fulmarseam.steering import _ledger

# Share of the slots that nobody asks for which is handed out at once. The
# rest stays with the leader for entries whose demand grows.
SPARE_SHARE = 0.75
# An entry keeps this many slots more than its part of the spare ones, so
# that small changes of demand move nothing.
SPARE_SLACK = 1


@dataclasses.dataclass(slots=True, eq=False)
class TargetCapacity:
    """A target; `room` is what the plan has not given away."""

    target: ids.TargetId
    region: ids.RegionName
    domain: ids.DomainName
    room: int


@dataclasses.dataclass(slots=True, eq=False)
class Claimant:
    """An entry that claims slots of the pool.

    `wanted` counts the slots that it wants now and `recent` those that it
    wanted lately. `busy` counts its requests in flight and `held` the slots
    it may use. `quota` is its part of the demand and `placed` what the plan
    gives it. `avoided` lists targets that fail its requests. `moves` lists
    the regions that shifts send part of its requests to.
    """

    key: _ledger.HolderKey
    region: ids.RegionName
    domain: ids.DomainName
    wanted: int
    recent: int
    draining: bool
    held: Mapping[ids.TargetId, int]
    busy: Mapping[ids.TargetId, int]
    avoided: frozenset[ids.TargetId] = frozenset()
    moves: tuple[tuple[ids.RegionName, float], ...] = ()
    quota: int = 0
    placed: int = 0
    plan: dict[ids.TargetId, int] = dataclasses.field(default_factory=dict)


LinkCheck = Callable[[ids.RegionName, ids.RegionName], bool]


def plan_pool(
    claimants: Sequence[Claimant],
    capacities: Sequence[TargetCapacity],
    has_link: LinkCheck,
) -> None:
    """Fill the plans of the claimants.

    Slots in use stay where they are, then demand is placed in the own
    failure domain, the own region and other regions. Part of what is left
    over goes to the entries of the region.
    """
    _set_quotas(claimants, sum(capacity.room for capacity in capacities))
    by_region = _group_by_region(capacities)
    _keep_busy(
        claimants, {capacity.target: capacity for capacity in capacities}
    )
    _place_moves(claimants, by_region)
    _place_near(claimants, by_region, {c.key: c.quota for c in claimants})
    _place_far(claimants, by_region, has_link)
    # An entry that finds no other slots gets those on avoided targets.
    for claimant in claimants:
        if _need(claimant):
            claimant.avoided = frozenset()
    _place_near(claimants, by_region, {c.key: c.quota for c in claimants})
    _place_spare(claimants, by_region)


def share_fairly(
    wanted: Sequence[int], held: Sequence[int], total: int
) -> list[int]:
    """Return max-min fair whole shares of `total`.

    What cannot be divided goes to those that hold most, to move nothing.
    """
    shares = [0] * len(wanted)
    order = sorted(range(len(wanted)), key=wanted.__getitem__)
    left = total
    for position, index in enumerate(order):
        share = min(wanted[index], left // (len(order) - position))
        shares[index] = share
        left -= share
    unmet = [index for index in order if shares[index] < wanted[index]]
    unmet.sort(key=lambda index: held[index] - shares[index], reverse=True)
    for index in unmet[:left]:
        shares[index] += 1
    return shares


def _set_quotas(claimants: Sequence[Claimant], total: int) -> None:
    """Share out by what is wanted now, then by what was wanted lately.

    Slots kept for recent demand would starve an entry with a queue.
    """
    held = [sum(claimant.held.values()) for claimant in claimants]
    shares = share_fairly(
        [claimant.wanted for claimant in claimants], held, total
    )
    lately = [
        max(0, claimant.recent - share)
        for claimant, share in zip(claimants, shares, strict=True)
    ]
    more = share_fairly(lately, held, total - sum(shares))
    for claimant, share, extra in zip(claimants, shares, more, strict=True):
        claimant.quota = share + extra


def _group_by_region(
    capacities: Iterable[TargetCapacity],
) -> dict[ids.RegionName, list[TargetCapacity]]:
    grouped: dict[ids.RegionName, list[TargetCapacity]] = {}
    for capacity in capacities:
        grouped.setdefault(capacity.region, []).append(capacity)
    return grouped


def _keep_busy(
    claimants: Sequence[Claimant],
    capacities: Mapping[ids.TargetId, TargetCapacity],
) -> None:
    for claimant in claimants:
        for target, count in claimant.busy.items():
            capacity = capacities.get(target)
            if capacity is not None:
                kept = min(count, claimant.held.get(target, 0))
                _place(claimant, capacity, min(kept, _need(claimant)))


def _place_moves(
    claimants: Sequence[Claimant],
    by_region: Mapping[ids.RegionName, list[TargetCapacity]],
) -> None:
    """Place the part of the demand that shifts send elsewhere."""
    for claimant in claimants:
        for region, share in claimant.moves:
            capacities = by_region.get(region, [])
            there = sum(
                claimant.plan.get(capacity.target, 0)
                for capacity in capacities
            )
            wanted = math.ceil(share * claimant.quota) - there
            limit = claimant.placed + min(wanted, _need(claimant))
            _keep(claimant, capacities, limit)
            _spread(claimant, capacities, limit)


def _place_near(
    claimants: Sequence[Claimant],
    by_region: Mapping[ids.RegionName, list[TargetCapacity]],
    limits: Mapping[_ledger.HolderKey, int],
) -> None:
    """Place in the own failure domain, then in the own region."""
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
        for place in (_keep, _spread):
            for claimant in claimants:
                limit = limits[claimant.key]
                if claimant.placed < limit:
                    place(claimant, capacities[claimant.key], limit)


def _place_far(
    claimants: Sequence[Claimant],
    by_region: Mapping[ids.RegionName, list[TargetCapacity]],
    has_link: LinkCheck,
) -> None:
    """Place the demand that the own region has no room for."""
    for place in (_keep, _spread):
        for claimant in claimants:
            if not _need(claimant):
                continue
            capacities = [
                capacity
                for region, group in by_region.items()
                if region != claimant.region
                and has_link(claimant.region, region)
                for capacity in group
            ]
            place(claimant, capacities, claimant.quota)


def _place_spare(
    claimants: Sequence[Claimant],
    by_region: Mapping[ids.RegionName, list[TargetCapacity]],
) -> None:
    """Hand out part of the slots that nobody asks for."""
    for region, capacities in by_region.items():
        near = [
            claimant
            for claimant in claimants
            if claimant.region == region and not claimant.draining
        ]
        spare = int(
            SPARE_SHARE * sum(capacity.room for capacity in capacities)
        )
        if not near or not spare:
            continue
        parts = _divide(spare, [claimant.quota + 1 for claimant in near])
        limits = {
            claimant.key: claimant.placed + part
            for claimant, part in zip(near, parts, strict=True)
        }
        for claimant in near:
            _keep(claimant, capacities, limits[claimant.key] + SPARE_SLACK)
        _place_near(near, {region: capacities}, limits)


def _divide(total: int, weights: Sequence[int]) -> list[int]:
    """Return whole parts of `total` in proportion to the weights."""
    whole = sum(weights)
    parts = [total * weight // whole for weight in weights]
    rests = [total * weight % whole for weight in weights]
    order = sorted(range(len(weights)), key=rests.__getitem__, reverse=True)
    for index in order[: total - sum(parts)]:
        parts[index] += 1
    return parts


def _need(claimant: Claimant) -> int:
    return claimant.quota - claimant.placed


def _place(claimant: Claimant, capacity: TargetCapacity, count: int) -> None:
    count = min(count, capacity.room)
    if count <= 0:
        return
    capacity.room -= count
    claimant.placed += count
    planned = claimant.plan.get(capacity.target, 0)
    claimant.plan[capacity.target] = planned + count


def _keep(
    claimant: Claimant, capacities: Sequence[TargetCapacity], limit: int
) -> None:
    """Place where the claimant holds slots already."""
    held = claimant.held
    for capacity in capacities:
        need = limit - claimant.placed
        if need <= 0:
            return
        if capacity.target in held and capacity.target not in claimant.avoided:
            kept = held[capacity.target] - claimant.plan.get(
                capacity.target, 0
            )
            _place(claimant, capacity, min(kept, need))


def _spread(
    claimant: Claimant, capacities: Sequence[TargetCapacity], limit: int
) -> None:
    """Place one slot a turn on the targets with most room."""
    while claimant.placed < limit:
        available = [
            capacity
            for capacity in capacities
            if capacity.room > 0 and capacity.target not in claimant.avoided
        ]
        if not available:
            return
        available.sort(key=lambda capacity: capacity.room, reverse=True)
        for capacity in available[: limit - claimant.placed]:
            _place(claimant, capacity, 1)
