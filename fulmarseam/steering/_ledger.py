"""Slots, connections and link rates that the leader charges to entries."""

import collections
from collections.abc import Mapping
import dataclasses
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire

# Longest request deadline assumed until the pools are known.
DEFAULT_DEADLINE_S = 10.0
# Half-life of the recent demand of an entry. It keeps shares stable between
# requests and still lets an unused share move within a second.
DEMAND_HALF_LIFE_S = 0.25

HolderKey = tuple[ids.EntryId, int]


class Amount(NamedTuple):
    """Slots and connections on a target."""

    slots: int
    connections: int


NO_AMOUNT = Amount(0, 0)


@dataclasses.dataclass(slots=True, eq=False)
class IssuedGrants:
    """Grants issued to an entry with sequence numbers up to `last_sequence`.

    `expires_at` is when they have expired on every clock within the allowed
    drift. `unacknowledged_since` is when the wait for their acknowledgement
    began.
    """

    last_sequence: int
    amounts: dict[ids.TargetId, Amount]
    links: dict[str, int]
    expires_at: float = 0.0
    unacknowledged_since: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Holder:
    """One incarnation of an entry: its last report and its charges.

    `wanted` counts the slots wanted at the last report and `recent_wanted`
    is its recent maximum, which decays. `last_ack` is the (term,
    sequence) of the last acknowledged grants. `unacknowledged` lists the
    grants issued after those; the entry may hold any of them. `expires_at`
    is when all grants that it may hold have expired.
    """

    info: wire.EntryInfo
    reported_at: float
    expires_at: float
    draining: bool = False
    doubtful: frozenset[ids.TargetId] = frozenset()
    confirmed: bool = False
    last_ack: tuple[int, int] = (0, 0)
    uses: dict[ids.TargetId, wire.SlotUse] = dataclasses.field(
        default_factory=dict
    )
    wanted: dict[ids.PoolName, int] = dataclasses.field(default_factory=dict)
    recent_wanted: dict[ids.PoolName, float] = dataclasses.field(
        default_factory=dict
    )
    links_held: dict[str, int] = dataclasses.field(default_factory=dict)
    links_wanted: dict[str, int] = dataclasses.field(default_factory=dict)
    unacknowledged: list[IssuedGrants] = dataclasses.field(
        default_factory=list
    )
    last_issued: IssuedGrants | None = None
    charges: dict[ids.TargetId, Amount] = dataclasses.field(
        default_factory=dict
    )
    link_charges: dict[str, int] = dataclasses.field(default_factory=dict)
    planned: dict[ids.TargetId, int] = dataclasses.field(default_factory=dict)
    links_planned: dict[str, int] = dataclasses.field(default_factory=dict)


class Ledger:
    """Charges of all holders and their sums.

    A holder is charged the maximum of the amounts that it reported to hold
    or to have in flight and of all grants that it has not acknowledged. The
    charge of a silent holder ends once its grants have expired and then the
    pool's longest deadline has passed. `grant_lifetime_s` is the time after
    which a grant has expired on every clock within the allowed drift.
    """

    def __init__(self, term: int, ttl_s: float, clock_drift: float) -> None:
        self.holders: dict[HolderKey, Holder] = {}
        self.charged_slots: collections.Counter[ids.TargetId] = (
            collections.Counter()
        )
        self.charged_connections: collections.Counter[ids.TargetId] = (
            collections.Counter()
        )
        self.charged_links: collections.Counter[str] = collections.Counter()
        # Held by entries that have acknowledged grants of this term.
        self.confirmed: dict[ids.TargetId, Amount] = {}
        self.confirmed_links: collections.Counter[str] = collections.Counter()
        self._term = term
        self.grant_lifetime_s = ttl_s * (1.0 + clock_drift)
        self._clock_drift = clock_drift
        self._newest_incarnations: dict[ids.EntryId, int] = {}
        self._max_deadlines_s: dict[ids.PoolName, float] = {}
        self._target_pools: dict[ids.TargetId, ids.PoolName] = {}

    def set_pools(
        self,
        pools: Mapping[ids.PoolName, wire.Pool],
        targets: Mapping[ids.TargetId, ids.PoolName],
    ) -> None:
        """Set the pools in force and the pool of each target.

        A deadline that is lowered keeps its highest value for the rest of
        the term, since requests with the old deadline may still run.
        """
        for pool in pools.values():
            deadline_s = pool.max_deadline_ms / 1_000
            self._max_deadlines_s[pool.name] = max(
                deadline_s, self._max_deadlines_s.get(pool.name, 0.0)
            )
        self._target_pools.update(targets)

    def get_deadline_s(self, target: ids.TargetId) -> float:
        """Return the maximum time that a request may run on a target."""
        pool = self._target_pools.get(target)
        if pool is None or pool not in self._max_deadlines_s:
            return self.get_longest_deadline_s()
        return self._max_deadlines_s[pool] * (1.0 + self._clock_drift)

    def get_longest_deadline_s(self) -> float:
        """Return the maximum time that a request of any pool may run."""
        longest_s = max(
            self._max_deadlines_s.values(), default=DEFAULT_DEADLINE_S
        )
        return longest_s * (1.0 + self._clock_drift)

    def record_report(
        self, now: float, request: wire.SyncRequest
    ) -> Holder | None:
        """Record a report; return None if a newer incarnation is known."""
        info = request.info
        if info.incarnation < self._newest_incarnations.get(info.entry, 0):
            return None
        self._newest_incarnations[info.entry] = info.incarnation
        key = info.entry, info.incarnation
        holder = self.holders.get(key)
        if holder is None:
            holder = Holder(info, now, now + self.grant_lifetime_s)
            self.holders[key] = holder
        ack = request.ack_term, request.ack_sequence
        if ack < holder.last_ack or request.ack_term > self._term:
            return holder
        self._update_demand(now, holder, request)
        holder.info = info
        holder.reported_at = now
        holder.expires_at = max(holder.expires_at, now + self.grant_lifetime_s)
        holder.draining = request.draining
        holder.doubtful = frozenset(request.doubtful)
        has_new_ack = ack > holder.last_ack
        holder.last_ack = ack
        holder.uses = {use.target: use for use in request.uses}
        holder.links_held = {link.name: link.held for link in request.links}
        if request.ack_term == self._term:
            self._acknowledge(holder, request.ack_sequence)
            if has_new_ack and holder.unacknowledged:
                holder.unacknowledged[0].unacknowledged_since = now
            self._confirm(holder)
        self._update_charges(holder)
        return holder

    def record_issue(
        self, now: float, holder: Holder, grants: IssuedGrants
    ) -> None:
        """Charge a holder for grants that are sent now."""
        grants.unacknowledged_since = now
        grants.expires_at = now + self.grant_lifetime_s
        holder.expires_at = max(holder.expires_at, grants.expires_at)
        holder.last_issued = grants
        last = holder.unacknowledged[-1] if holder.unacknowledged else None
        if (
            last is not None
            and last.amounts == grants.amounts
            and last.links == grants.links
        ):
            last.last_sequence = grants.last_sequence
            last.expires_at = grants.expires_at
            holder.last_issued = last
            return
        holder.unacknowledged.append(grants)
        self._update_charges(holder)

    def expire(self, now: float) -> None:
        """End the charges of silent holders and of expired grants."""
        for key, holder in list(self.holders.items()):
            if holder.expires_at <= now:
                self._drop_ended_charges(now, holder)
            elif holder.unacknowledged and self._has_ended(
                now, holder.unacknowledged[0]
            ):
                holder.unacknowledged = [
                    grants
                    for grants in holder.unacknowledged
                    if not self._has_ended(now, grants)
                ]
                self._update_charges(holder)
            if (
                holder.expires_at <= now
                and not holder.charges
                and not holder.link_charges
            ):
                del self.holders[key]

    def list_live(self, now: float) -> list[Holder]:
        """Return the newest incarnations that can use grants.

        A holder that has acknowledged nothing for the lifetime of a grant
        is left out: its requests arrive, but no response reaches it.
        """
        return [
            holder
            for (entry, incarnation), holder in self.holders.items()
            if incarnation == self._newest_incarnations[entry]
            and holder.reported_at + self.grant_lifetime_s > now
            and not self._misses_responses(now, holder)
        ]

    def _misses_responses(self, now: float, holder: Holder) -> bool:
        if not holder.unacknowledged:
            return False
        return (
            holder.unacknowledged[0].unacknowledged_since
            + self.grant_lifetime_s
            <= now
        )

    def _acknowledge(self, holder: Holder, sequence: int) -> None:
        holder.unacknowledged = [
            grants
            for grants in holder.unacknowledged
            if grants.last_sequence > sequence
        ]

    def _update_demand(
        self, now: float, holder: Holder, request: wire.SyncRequest
    ) -> None:
        decay = 0.5 ** ((now - holder.reported_at) / DEMAND_HALF_LIFE_S)
        recent_wanted = {
            pool: value * decay
            for pool, value in holder.recent_wanted.items()
            if value * decay > 0.5
        }
        holder.wanted = {
            demand.pool: demand.wanted for demand in request.demand
        }
        for pool, wanted in holder.wanted.items():
            recent_wanted[pool] = max(
                float(wanted), recent_wanted.get(pool, 0.0)
            )
        holder.recent_wanted = recent_wanted
        holder.links_wanted = {
            link.name: link.wanted for link in request.links
        }

    def _confirm(self, holder: Holder) -> None:
        """Add the amounts of a holder at its first acknowledgement."""
        if holder.confirmed:
            return
        holder.confirmed = True
        for use in holder.uses.values():
            previous = self.confirmed.get(use.target, NO_AMOUNT)
            held = compute_charge(use)
            self.confirmed[use.target] = Amount(
                previous.slots + held.slots,
                previous.connections + held.connections,
            )
        self.confirmed_links.update(holder.links_held)

    def _drop_ended_charges(self, now: float, holder: Holder) -> None:
        """Drop the charges of a holder whose requests must have ended."""
        for target in list(holder.charges):
            if holder.expires_at + self.get_deadline_s(target) <= now:
                holder.uses.pop(target, None)
                for grants in holder.unacknowledged:
                    grants.amounts.pop(target, None)
        if holder.expires_at + self.get_longest_deadline_s() <= now:
            holder.links_held = {}
            holder.unacknowledged = []
        self._update_charges(holder)

    def _has_ended(self, now: float, grants: IssuedGrants) -> bool:
        return grants.expires_at + self.get_longest_deadline_s() <= now

    def _update_charges(self, holder: Holder) -> None:
        charges = {
            target: compute_charge(use) for target, use in holder.uses.items()
        }
        links = dict(holder.links_held)
        for grants in holder.unacknowledged:
            for target, amount in grants.amounts.items():
                charged = charges.get(target, NO_AMOUNT)
                charges[target] = Amount(
                    max(charged.slots, amount.slots),
                    max(charged.connections, amount.connections),
                )
            for name, rate in grants.links.items():
                links[name] = max(links.get(name, 0), rate)
        for target, amount in holder.charges.items():
            self.charged_slots[target] -= amount.slots
            self.charged_connections[target] -= amount.connections
        for target, amount in charges.items():
            self.charged_slots[target] += amount.slots
            self.charged_connections[target] += amount.connections
        self.charged_links.subtract(holder.link_charges)
        self.charged_links.update(links)
        holder.charges = charges
        holder.link_charges = links


def compute_charge(use: wire.SlotUse) -> Amount:
    """Return the amount to charge for a reported use."""
    return Amount(
        max(use.allowance, use.in_flight),
        max(use.connections, use.in_flight),
    )
