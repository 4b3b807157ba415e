"""Input rows of a plan, made from reports and configuration tables."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import math

from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import wire
from fulmarseam.steering import _ledger
from fulmarseam.steering import _plan

# Idle connections that an entry may keep in addition to its slots on a
# target, so that a connection closed after a timeout does not cost a slot.
IDLE_CONNECTIONS = 4

DrainSet = frozenset[tuple[wire.DrainScope, str]]


def list_drains_in_force(drains: Iterable[wire.Drain]) -> DrainSet:
    """Return scope and subject of each drain that is in force."""
    return frozenset(
        (drain.scope, drain.subject)
        for drain in drains
        if drain.state in (wire.DrainState.ACTIVE, wire.DrainState.DONE)
    )


def is_entry_drained(holder: _ledger.Holder, drains: DrainSet) -> bool:
    """Return whether an entry drains, so that it gets no spare slots."""
    info = holder.info
    return (
        holder.draining
        or (wire.DrainScope.ENTRY, info.entry) in drains
        or (wire.DrainScope.DOMAIN, info.failure_domain) in drains
        or (wire.DrainScope.REGION, info.region) in drains
    )


def is_usable(now: float, target: membership.Target, drains: DrainSet) -> bool:
    """Return whether a target may get new requests."""
    report = target.report
    return (
        report.state is wire.TargetState.READY
        and target.lease_until > now
        and (wire.DrainScope.TARGET, report.target) not in drains
        and (wire.DrainScope.DOMAIN, report.failure_domain) not in drains
        and (wire.DrainScope.REGION, report.region) not in drains
    )


def compute_usable_slots(
    pool: wire.Pool, slots: int, ready_for_s: float
) -> int:
    """Return the usable slots of a target during its slow start.

    A cold target starts with a share of `cold_factor` of its slots, at
    least one. The share grows linearly to 1 over `slow_start_s`.
    """
    if ready_for_s >= pool.slow_start_s or slots <= 1:
        return slots
    warm_up_progress = max(0.0, ready_for_s) / pool.slow_start_s
    share = pool.cold_factor + (1.0 - pool.cold_factor) * warm_up_progress
    return min(slots, max(1, int(slots * share)))


def compute_connections(report: wire.TargetReport, slots: int) -> int:
    """Return the connections granted with a number of slots of a target.

    Every slot has the same share of the connections, so an entry cannot use
    up those that the slots of another entry need.
    """
    if slots <= 0:
        return 0
    connections_per_slot = report.connections // max(1, report.slots)
    return max(
        slots, min(slots * connections_per_slot, slots + IDLE_CONNECTIONS)
    )


def make_capacity(
    now: float, pool: wire.Pool, target: membership.Target
) -> _plan.TargetCapacity:
    """Return the row of a usable target."""
    report = target.report
    ready_for_s = 0.0
    if target.ready_since is not None:
        ready_for_s = now - target.ready_since
    slots = min(report.slots, report.connections)
    return _plan.TargetCapacity(
        report.target,
        report.region,
        report.failure_domain,
        compute_usable_slots(pool, slots, ready_for_s),
    )


def make_claimant(
    holder: _ledger.Holder,
    pool: wire.Pool,
    pool_targets: Collection[ids.TargetId],
    draining: bool,
    shifts: Sequence[wire.Shift],
) -> _plan.Claimant:
    """Return the row of an entry for one pool.

    `pool_targets` lists the usable targets of the pool.
    """
    info = holder.info
    held: dict[ids.TargetId, int] = {}
    in_flight: dict[ids.TargetId, int] = {}
    for target, use in holder.uses.items():
        if target not in pool_targets:
            continue
        if use.in_flight:
            in_flight[target] = use.in_flight
        if holder.last_issued is None:
            held[target] = use.allowance
    if holder.last_issued is not None:
        for target, amount in holder.last_issued.amounts.items():
            if target in pool_targets:
                held[target] = amount.slots
    return _plan.Claimant(
        key=(info.entry, info.incarnation),
        region=info.region,
        domain=info.failure_domain,
        wanted=max(holder.wanted.get(pool.name, 0), sum(in_flight.values())),
        recent_wanted=math.ceil(holder.recent_wanted.get(pool.name, 0.0)),
        draining=draining,
        avoided=holder.doubtful,
        held=held,
        in_flight=in_flight,
        shift_shares=_list_shift_shares(info, pool, shifts),
    )


def split_pool(
    pool: wire.Pool,
    claimants: Sequence[_plan.Claimant],
    capacities: Sequence[_plan.TargetCapacity],
) -> Iterator[tuple[list[_plan.Claimant], list[_plan.TargetCapacity]]]:
    """Yield the parts of a pool that are planned separately.

    A `local_only` pool has one part for each region, any other pool only
    one.
    """
    if not pool.local_only:
        yield list(claimants), list(capacities)
        return
    for region in sorted({claimant.region for claimant in claimants}):
        yield (
            [row for row in claimants if row.region == region],
            [capacity for capacity in capacities if capacity.region == region],
        )


def plan_links(
    holders: Iterable[_ledger.Holder], links: Mapping[str, int]
) -> None:
    """Plan the bytes/s of every link for the entries at its two ends.

    The demand gets max-min fair shares; the remainder is divided evenly.
    """
    live_holders = list(holders)
    for holder in live_holders:
        holder.links_planned = {}
    for name, total in links.items():
        end_regions = name.split('>')
        link_holders = [
            row for row in live_holders if row.info.region in end_regions
        ]
        if not link_holders:
            continue
        wanted = [row.links_wanted.get(name, 0) for row in link_holders]
        shares = _plan.compute_max_min_shares(wanted, wanted, total)
        spare = (total - sum(shares)) // len(link_holders)
        for row, share in zip(link_holders, shares, strict=True):
            row.links_planned[name] = share + spare


def _list_shift_shares(
    info: wire.EntryInfo, pool: wire.Pool, shifts: Sequence[wire.Shift]
) -> tuple[tuple[ids.RegionName, float], ...]:
    return tuple(
        (shift.to_region, shift.percent / 100.0)
        for shift in shifts
        if shift.pool == pool.name
        and shift.from_region == info.region
        and shift.state in (wire.ShiftState.ACTIVE, wire.ShiftState.HELD)
    )
