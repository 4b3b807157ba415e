"""The leader's allocation of slots, connections and link bytes."""

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
    """Times in seconds and shares of an allocator.

    `clock_drift` bounds the difference between the rates of two monotonic
    clocks. `link_share` is the part of a link that is shared out.
    """

    grant_ttl_s: float = 2.8
    clock_drift: float = 0.01
    link_share: float = 0.8


class Grants(NamedTuple):
    """Grants for one entry, numbered within the term.

    The number goes into `SyncResponse.grant_sequence`, the lists into
    `grants` and `links`. Both replace what the entry held.
    """

    sequence: int
    slots: list[wire.SlotGrant]
    links: list[wire.LinkRate]


class Allocator:
    """Shares targets and links out to entries during one term.

    A new allocator is made at the start of each term as leader, when the
    leader lease of every former leader has ended. The caller must hold a
    valid leader lease when it calls `issue_grants`, and reports each request
    before it answers it::

        allocator = steering.Allocator(now, term)
        allocator.report(now, request)
        allocator.allocate(now, targets, pools, links, drains, shifts)
        grants = allocator.issue_grants(now, entry, incarnation)

    `former_holders` names the incarnations of entries that may hold grants
    of a former leader. Until all of them have acknowledged grants of this
    term or the grants of the former leader have expired, entries only get
    renewed what they report to hold. After that, what no entry has
    confirmed to hold is kept back until the requests of entries that were
    never heard must have ended. Without `former_holders` any number of
    unknown entries is assumed.
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
        self._limits = _limits.Limits(
            self._ledger, now + self._ledger.lifetime_s, former_holders
        )
        self._send_times = _send_times.SendTimes(
            term, self._options.clock_drift
        )
        self._targets: dict[ids.TargetId, membership.Target] = {}
        self._closed: set[ids.TargetId] = set()
        self._links: dict[str, int] = {}
        self._contested: set[ids.TargetId] = set()

    def report(self, now: float, request: wire.SyncRequest) -> None:
        """Take what an entry holds, uses and wants.

        Reports that are older than the last acknowledgement of the entry
        or of an older incarnation change nothing.
        """
        holder = self._ledger.report(now, request)
        if holder is not None and holder.confirmed:
            self._limits.confirm(_key_of(holder))

    def allocate(
        self,
        now: float,
        targets: Collection[membership.Target],
        pools: Iterable[wire.Pool],
        links: Iterable[wire.Link],
        drains: Iterable[wire.Drain],
        shifts: Iterable[wire.Shift] = (),
    ) -> None:
        """Plan the shares of all entries; call it on a tick.

        `targets` is `TargetTable.all()`; the rows of the tables are those
        in force. Call it also after a report that wants more than it has.
        """
        pool_rows = {pool.name: pool for pool in pools}
        in_force = _demand.list_in_force(drains)
        self._targets = {row.report.target: row for row in targets}
        self._links = {
            link.name: int(link.bytes_per_s * self._options.link_share)
            for link in links
        }
        self._ledger.set_pools(
            pool_rows,
            {name: row.report.pool for name, row in self._targets.items()},
        )
        self._ledger.expire(now)
        live = self._ledger.live(now)
        drained = {
            key
            for key, holder in self._ledger.holders.items()
            if _demand.is_entry_drained(holder, in_force)
        }
        open_targets = [
            row
            for row in self._targets.values()
            if _demand.is_usable(now, row, in_force)
        ]
        self._closed = self._targets.keys() - {
            row.report.target for row in open_targets
        }
        for holder in self._ledger.holders.values():
            holder.planned = {}
        for pool in pool_rows.values():
            self._plan_pool(
                now, pool, open_targets, live, drained, list(shifts)
            )
        _demand.plan_links(live, self._links)
        self._contested = self._find_contested(live)

    def issue_grants(
        self, now: float, entry: ids.EntryId, incarnation: int
    ) -> Grants:
        """Issue the grants for an answer that is sent now.

        The entry is charged for them until it acknowledges newer ones or
        they have expired everywhere. An entry that has not reported gets
        nothing.
        """
        self._sequence += 1
        self._send_times.note_answer(now, self._sequence)
        holder = self._ledger.holders.get((entry, incarnation))
        if holder is None:
            return Grants(self._sequence, [], [])
        slots = self._list_grants(now, holder)
        links = {
            name: min(
                rate, self._limits.link(now, holder, name, self._links[name])
            )
            for name, rate in holder.links_planned.items()
        }
        amounts = {
            grant.target: _ledger.Amount(grant.slots, grant.connections)
            for grant in slots
        }
        issue = _ledger.Issue(self._sequence, amounts, links)
        self._ledger.issue(now, holder, issue)
        rates = [
            wire.LinkRate(name=name, bytes_per_s=rate)
            for name, rate in sorted(links.items())
        ]
        return Grants(self._sequence, slots, rates)

    def has_grant_changes(
        self, now: float, entry: ids.EntryId, incarnation: int
    ) -> bool:
        """Return whether a held sync request should be answered at once.

        True when the entry wants slots that it can get, holds slots that
        another entry wants, or holds slots on a target that is drained or
        leaving.
        """
        holder = self._ledger.holders.get((entry, incarnation))
        if holder is None or holder.issued is None:
            return holder is not None
        issued = holder.issued.amounts
        for target, amount in issued.items():
            planned = holder.planned.get(target, 0)
            if amount.slots and target in self._closed:
                return True
            if planned < amount.slots and target in self._contested:
                return True
        starved = self._find_starved(holder)
        return bool(starved) and any(
            self._pool_of(target) in starved
            and self._make_grant(now, holder, target, planned).slots
            > _slots_in(issued, target)
            for target, planned in holder.planned.items()
            if planned > _slots_in(issued, target)
        )

    def compute_max_request_age(
        self, now: float, request: wire.SyncRequest
    ) -> float:
        """Return the most seconds that a request can have been under way.

        Leases of the targets that it announces start that much earlier: a
        request held up in the network must not extend them.
        """
        return self._send_times.find_age(now, request)

    def may_hold_grants(
        self, now: float, entry: ids.EntryId, incarnation: int
    ) -> bool:
        """Return whether an incarnation may hold grants or run requests."""
        if (entry, incarnation) in self._ledger.holders:
            return True
        return self._limits.may_hold_unheard(now)

    def charged_slots(self, target: ids.TargetId) -> int:
        """Return the sum of the slots charged on a target."""
        return self._ledger.slots[target]

    def charged_connections(self, target: ids.TargetId) -> int:
        """Return the sum of the connections charged on a target."""
        return self._ledger.connections[target]

    def _plan_pool(
        self,
        now: float,
        pool: wire.Pool,
        targets: Iterable[membership.Target],
        live: Iterable[_ledger.Holder],
        drained: Collection[_ledger.HolderKey],
        shifts: list[wire.Shift],
    ) -> None:
        capacities = [
            _demand.make_capacity(now, pool, row)
            for row in targets
            if row.report.pool == pool.name
        ]
        members = {capacity.target for capacity in capacities}
        claimants = [
            _demand.make_claimant(
                holder, pool, members, _key_of(holder) in drained, shifts
            )
            for holder in live
        ]
        for group, places in _demand.split_pool(pool, claimants, capacities):
            _plan.plan_pool(group, places, self._has_link)
        for claimant in claimants:
            planned = self._ledger.holders[claimant.key].planned
            planned.update(claimant.plan)

    def _has_link(self, near: ids.RegionName, far: ids.RegionName) -> bool:
        return (
            self._links.get(f'{near}>{far}', 0) > 0
            and self._links.get(f'{far}>{near}', 0) > 0
        )

    def _list_grants(
        self, now: float, holder: _ledger.Holder
    ) -> list[wire.SlotGrant]:
        grants = [
            self._make_grant(now, holder, target, planned)
            for target, planned in holder.planned.items()
        ]
        if self._limits.is_renewing(now):
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
        slots = min(planned, self._slot_limit(now, holder, target))
        connections = min(
            _demand.wanted_connections(row.report, slots),
            self._limits.connections(now, holder, row.report),
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

    def _slot_limit(
        self, now: float, holder: _ledger.Holder, target: ids.TargetId
    ) -> int:
        report = self._targets[target].report
        return self._limits.slots(now, holder, report)

    def _find_contested(
        self, live: Iterable[_ledger.Holder]
    ) -> set[ids.TargetId]:
        """Return the targets on which a starved entry waits for slots."""
        contested = set()
        for holder in live:
            starved = self._find_starved(holder)
            if not starved:
                continue
            for target, planned in holder.planned.items():
                charged = holder.charges.get(target, _ledger.NOTHING).slots
                free = (
                    self._targets[target].report.slots
                    - self._ledger.slots[target]
                )
                if (
                    planned > charged + free
                    and self._pool_of(target) in starved
                ):
                    contested.add(target)
        return contested

    def _find_starved(self, holder: _ledger.Holder) -> set[ids.PoolName]:
        """Return the pools of which the entry wants more than it has."""
        issued = {} if holder.issued is None else holder.issued.amounts
        have: dict[ids.PoolName, int] = {}
        for target, amount in issued.items():
            pool = self._pool_of(target)
            if pool is not None:
                have[pool] = have.get(pool, 0) + amount.slots
        return {
            pool
            for pool, wanted in holder.wanted.items()
            if wanted > have.get(pool, 0)
        }

    def _pool_of(self, target: ids.TargetId) -> ids.PoolName | None:
        row = self._targets.get(target)
        return None if row is None else row.report.pool


def _key_of(holder: _ledger.Holder) -> _ledger.HolderKey:
    return holder.info.entry, holder.info.incarnation


def _slots_in(
    amounts: dict[ids.TargetId, _ledger.Amount], target: ids.TargetId
) -> int:
    return amounts.get(target, _ledger.NOTHING).slots
