"""Allocation of slots, connections and link rates by the leader."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import wire
from fulmarseam.steering import _demand
from fulmarseam.steering import _ledger
from fulmarseam.steering import _limits
from fulmarseam.steering import _plan
from fulmarseam.steering import _send_times


@dataclasses.dataclass(frozen=True)
class AllocatorOptions:
    """Settings of an allocator.

    `grant_ttl_s` is the lifetime of a grant. `clock_drift` bounds the
    relative difference between the rates of two monotonic clocks.
    `link_share` is the share of a link's rate that is allocated.
    """

    grant_ttl_s: float = 2.8
    clock_drift: float = 0.01
    link_share: float = 0.8


class Grants(NamedTuple):
    """Grants for one entry, numbered within the term.

    `sequence` goes into `SyncResponse.grant_sequence`, `slots` into `grants`
    and `links` into `links`. They replace all grants that the entry held.
    """

    sequence: int
    slots: list[wire.SlotGrant]
    links: list[wire.LinkRate]


class Allocator:
    """Allocates slots of targets and rates of links during one term.

    A new allocator is made at the start of each term as leader, when the
    leader lease of every former leader has ended. The caller must hold a
    valid leader lease when it calls `issue_grants`. It must pass each
    sync request to `report` before it sends the response::

        allocator = steering.Allocator(now, term)
        allocator.report(now, request)
        allocator.allocate(now, targets, pools, links, drains, shifts)
        grants = allocator.issue_grants(now, entry, incarnation)

    `former_holders` names the incarnations of entries that may hold grants
    of a former leader. Until all of them have acknowledged grants of this
    term or the grants of the former leader have expired, an entry only gets
    the amounts that it reports to hold. After that, amounts that no entry
    has confirmed are reserved until the requests of entries that never
    reported must have ended. Without `former_holders`, any number of unknown
    entries is assumed.
    """

    def __init__(
        self,
        now: float,
        term: int,
        options: AllocatorOptions | None = None,
        former_holders: Collection[_ledger.HolderKey] | None = None,
    ) -> None:
        self.term = term
        self._options = options or AllocatorOptions()
        self._sequence = 0
        self._ledger = _ledger.Ledger(
            term, self._options.grant_ttl_s, self._options.clock_drift
        )
        self._limits = _limits.GrantLimits(
            self._ledger, now + self._ledger.grant_lifetime_s, former_holders
        )
        self._send_times = _send_times.SendTimes(
            term, self._options.clock_drift
        )
        self._targets: dict[ids.TargetId, membership.Target] = {}
        self._unusable_targets: set[ids.TargetId] = set()
        self._links: dict[str, int] = {}
        self._contested_targets: set[ids.TargetId] = set()

    def report(self, now: float, request: wire.SyncRequest) -> None:
        """Record what an entry holds, uses and wants.

        Reports that are older than the last acknowledgement of the entry
        or come from an older incarnation are ignored.
        """
        holder = self._ledger.record_report(now, request)
        if holder is not None and holder.confirmed:
            self._limits.confirm(_make_holder_key(holder))

    def allocate(
        self,
        now: float,
        targets: Collection[membership.Target],
        pools: Iterable[wire.Pool],
        links: Iterable[wire.Link],
        drains: Iterable[wire.Drain],
        shifts: Iterable[wire.Shift] = (),
    ) -> None:
        """Plan the shares of all entries.

        `targets` is `TargetTable.all()`; the rows of the tables are those
        in force. Call this periodically and after a report of an entry that
        wants more than it has.
        """
        pools_by_name = {pool.name: pool for pool in pools}
        drains_in_force = _demand.list_drains_in_force(drains)
        self._targets = {row.report.target: row for row in targets}
        self._links = {
            link.name: int(link.bytes_per_s * self._options.link_share)
            for link in links
        }
        self._ledger.set_pools(
            pools_by_name,
            {name: row.report.pool for name, row in self._targets.items()},
        )
        self._ledger.expire(now)
        live_holders = self._ledger.list_live(now)
        drained_keys = {
            key
            for key, holder in self._ledger.holders.items()
            if _demand.is_entry_drained(holder, drains_in_force)
        }
        usable_targets = [
            row
            for row in self._targets.values()
            if _demand.is_usable(now, row, drains_in_force)
        ]
        self._unusable_targets = self._targets.keys() - {
            row.report.target for row in usable_targets
        }
        for holder in self._ledger.holders.values():
            holder.planned = {}
        for pool in pools_by_name.values():
            self._plan_pool(
                now,
                pool,
                usable_targets,
                live_holders,
                drained_keys,
                list(shifts),
            )
        _demand.plan_links(live_holders, self._links)
        self._contested_targets = self._find_contested_targets(live_holders)

    def issue_grants(
        self, now: float, entry: ids.EntryId, incarnation: int
    ) -> Grants:
        """Issue the grants for a response that is sent now.

        The entry is charged for them until it acknowledges newer grants or
        they have expired on every clock. An entry that has not reported
        gets no grants.
        """
        self._sequence += 1
        self._send_times.record_response(now, self._sequence)
        holder = self._ledger.holders.get((entry, incarnation))
        if holder is None:
            return Grants(self._sequence, [], [])
        slots = self._list_grants(now, holder)
        links = {
            name: min(
                rate,
                self._limits.limit_link_rate(
                    now, holder, name, self._links[name]
                ),
            )
            for name, rate in holder.links_planned.items()
        }
        amounts = {
            grant.target: _ledger.Amount(grant.slots, grant.connections)
            for grant in slots
        }
        issued = _ledger.IssuedGrants(self._sequence, amounts, links)
        self._ledger.record_issue(now, holder, issued)
        link_rates = [
            wire.LinkRate(name=name, bytes_per_s=rate)
            for name, rate in sorted(links.items())
        ]
        return Grants(self._sequence, slots, link_rates)

    def has_grant_changes(
        self, now: float, entry: ids.EntryId, incarnation: int
    ) -> bool:
        """Return whether a held sync request needs a response at once.

        This is so when the entry wants slots that it can get, holds slots
        that another entry wants, or holds slots on a target that is drained
        or leaving.
        """
        holder = self._ledger.holders.get((entry, incarnation))
        if holder is None or holder.last_issued is None:
            return holder is not None
        issued = holder.last_issued.amounts
        for target, amount in issued.items():
            planned = holder.planned.get(target, 0)
            if amount.slots and target in self._unusable_targets:
                return True
            if planned < amount.slots and target in self._contested_targets:
                return True
        starved_pools = self._find_starved_pools(holder)
        return bool(starved_pools) and any(
            self._find_pool(target) in starved_pools
            and self._make_grant(now, holder, target, planned).slots
            > _get_slots(issued, target)
            for target, planned in holder.planned.items()
            if planned > _get_slots(issued, target)
        )

    def compute_max_request_age(
        self, now: float, request: wire.SyncRequest
    ) -> float:
        """Return the longest time that a request can have been in transit.

        The leases of the targets that it announces start that much earlier,
        as a request delayed by the network must not extend them.
        """
        return self._send_times.compute_max_age(now, request)

    def may_hold_grants(
        self, now: float, entry: ids.EntryId, incarnation: int
    ) -> bool:
        """Return whether an incarnation may hold grants or run requests."""
        if (entry, incarnation) in self._ledger.holders:
            return True
        return self._limits.may_unconfirmed_run_requests(now)

    def charged_slots(self, target: ids.TargetId) -> int:
        """Return the sum of the slots charged on a target."""
        return self._ledger.charged_slots[target]

    def charged_connections(self, target: ids.TargetId) -> int:
        """Return the sum of the connections charged on a target."""
        return self._ledger.charged_connections[target]

    def _plan_pool(
        self,
        now: float,
        pool: wire.Pool,
        targets: Iterable[membership.Target],
        live_holders: Iterable[_ledger.Holder],
        drained_keys: Collection[_ledger.HolderKey],
        shifts: list[wire.Shift],
    ) -> None:
        capacities = [
            _demand.make_capacity(now, pool, row)
            for row in targets
            if row.report.pool == pool.name
        ]
        pool_targets = {capacity.target for capacity in capacities}
        claimants = [
            _demand.make_claimant(
                holder,
                pool,
                pool_targets,
                _make_holder_key(holder) in drained_keys,
                shifts,
            )
            for holder in live_holders
        ]
        for group, group_capacities in _demand.split_pool(
            pool, claimants, capacities
        ):
            _plan.plan_pool(group, group_capacities, self._has_link)
        for claimant in claimants:
            planned = self._ledger.holders[claimant.key].planned
            planned.update(claimant.plan)

    def _has_link(
        self, own_region: ids.RegionName, other_region: ids.RegionName
    ) -> bool:
        return (
            self._links.get(f'{own_region}>{other_region}', 0) > 0
            and self._links.get(f'{other_region}>{own_region}', 0) > 0
        )

    def _list_grants(
        self, now: float, holder: _ledger.Holder
    ) -> list[wire.SlotGrant]:
        grants = [
            self._make_grant(now, holder, target, planned)
            for target, planned in holder.planned.items()
        ]
        if self._limits.is_renewal_only(now):
            grants += [
                wire.SlotGrant(
                    target=use.target,
                    slots=use.allowance,
                    connections=use.connections,
                    lease_ms=0,
                )
                for use in holder.uses.values()
                if use.target not in self._targets
            ]
        return [grant for grant in grants if grant.slots]

    def _make_grant(
        self,
        now: float,
        holder: _ledger.Holder,
        target: ids.TargetId,
        planned: int,
    ) -> wire.SlotGrant:
        row = self._targets[target]
        slots = min(planned, self._limit_slots(now, holder, target))
        connections = min(
            _demand.compute_connections(row.report, slots),
            self._limits.limit_connections(now, holder, row.report),
        )
        slots = max(0, min(slots, connections))
        lease_ms = int((row.lease_until - now) * 1_000)
        if lease_ms <= 0:
            slots = 0
        return wire.SlotGrant(
            target=target,
            slots=slots,
            connections=max(0, connections),
            lease_ms=max(0, lease_ms),
        )

    def _limit_slots(
        self, now: float, holder: _ledger.Holder, target: ids.TargetId
    ) -> int:
        report = self._targets[target].report
        return self._limits.limit_slots(now, holder, report)

    def _find_contested_targets(
        self, live_holders: Iterable[_ledger.Holder]
    ) -> set[ids.TargetId]:
        """Return the targets on which starved entries wait for slots."""
        contested_targets = set()
        for holder in live_holders:
            starved_pools = self._find_starved_pools(holder)
            if not starved_pools:
                continue
            for target, planned in holder.planned.items():
                charged = holder.charges.get(target, _ledger.NO_AMOUNT).slots
                free = (
                    self._targets[target].report.slots
                    - self._ledger.charged_slots[target]
                )
                if (
                    planned > charged + free
                    and self._find_pool(target) in starved_pools
                ):
                    contested_targets.add(target)
        return contested_targets

    def _find_starved_pools(self, holder: _ledger.Holder) -> set[ids.PoolName]:
        """Return the pools in which an entry wants more slots than it has."""
        issued = (
            {} if holder.last_issued is None else holder.last_issued.amounts
        )
        issued_slots: dict[ids.PoolName, int] = {}
        for target, amount in issued.items():
            pool = self._find_pool(target)
            if pool is not None:
                issued_slots[pool] = issued_slots.get(pool, 0) + amount.slots
        return {
            pool
            for pool, wanted in holder.wanted.items()
            if wanted > issued_slots.get(pool, 0)
        }

    def _find_pool(self, target: ids.TargetId) -> ids.PoolName | None:
        row = self._targets.get(target)
        return None if row is None else row.report.pool


def _make_holder_key(holder: _ledger.Holder) -> _ledger.HolderKey:
    return holder.info.entry, holder.info.incarnation


def _get_slots(
    amounts: dict[ids.TargetId, _ledger.Amount], target: ids.TargetId
) -> int:
    return amounts.get(target, _ledger.NO_AMOUNT).slots
