"""What the leader charges entries for slots, connections and links."""

import collections
from collections.abc import Mapping
import dataclasses
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire

# Used until the pools are known.
DEFAULT_DEADLINE_S = 10.0
# Wanted slots fall by half in this time. It keeps shares steady between
# requests and still lets an unused share move within a second.
DEMAND_HALF_LIFE_S = 0.25

HolderKey = tuple[ids.EntryId, int]


class Amount(NamedTuple):
    """Slots and connections on a target."""

    slots: int
    connections: int


NOTHING = Amount(0, 0)


@dataclasses.dataclass(slots=True, eq=False)
class Issue:
    """Grants given to an entry under sequence numbers up to `last`.

    `expires_at` is when they have ended by every clock in bounds.
    `waits_since` is when the entry began to owe an acknowledgement.
    """

    last: int
    amounts: dict[ids.TargetId, Amount]
    links: dict[str, int]
    expires_at: float = 0.0
    waits_since: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Holder:
    """One incarnation of an entry: its last report and its charges.

    `wanted` counts the slots wanted at the last report and `recent` is its
    fading maximum.
    `order` is the (term, sequence) of the last acknowledged grants.
    `issues` are those issued after, of which it may hold any. `expires_at`
    is when everything it may hold has expired.
    """

    info: wire.EntryInfo
    heard_at: float
    expires_at: float
    draining: bool = False
    doubtful: frozenset[ids.TargetId] = frozenset()
    confirmed: bool = False
    order: tuple[int, int] = (0, 0)
    uses: dict[ids.TargetId, wire.SlotUse] = dataclasses.field(
        default_factory=dict
    )
    wanted: dict[ids.PoolName, int] = dataclasses.field(default_factory=dict)
    recent: dict[ids.PoolName, float] = dataclasses.field(default_factory=dict)
    links_held: dict[str, int] = dataclasses.field(default_factory=dict)
    links_wanted: dict[str, int] = dataclasses.field(default_factory=dict)
    issues: list[Issue] = dataclasses.field(default_factory=list)
    issued: Issue | None = None
    charges: dict[ids.TargetId, Amount] = dataclasses.field(
        default_factory=dict
    )
    link_charges: dict[str, int] = dataclasses.field(default_factory=dict)
    planned: dict[ids.TargetId, int] = dataclasses.field(default_factory=dict)
    links_planned: dict[str, int] = dataclasses.field(default_factory=dict)


class Ledger:
    """Charges of all holders and their sums.

    A holder is charged with the highest of what it reported to hold or to
    have in flight and of every issue that it has not acknowledged. The
    charge of a silent holder ends when its grants have expired and the
    pool's longest deadline has passed after that. `lifetime_s` is the time
    after which a grant has ended by every clock in bounds.
    """

    def __init__(self, term: int, ttl_s: float, clock_drift: float) -> None:
        self.holders: dict[HolderKey, Holder] = {}
        self.slots: collections.Counter[ids.TargetId] = collections.Counter()
        self.connections: collections.Counter[ids.TargetId] = (
            collections.Counter()
        )
        self.links: collections.Counter[str] = collections.Counter()
        # Held by entries that have acknowledged grants of this term.
        self.confirmed: dict[ids.TargetId, Amount] = {}
        self.confirmed_links: collections.Counter[str] = collections.Counter()
        self._term = term
        self.lifetime_s = ttl_s * (1.0 + clock_drift)
        self._clock_drift = clock_drift
        self._newest: dict[ids.EntryId, int] = {}
        self._deadlines: dict[ids.PoolName, float] = {}
        self._pools: dict[ids.TargetId, ids.PoolName] = {}

    def set_pools(
        self,
        pools: Mapping[ids.PoolName, wire.Pool],
        targets: Mapping[ids.TargetId, ids.PoolName],
    ) -> None:
        """Take the pools and which target belongs to which.

        A deadline that is edited down keeps its highest value during the
        term, since requests under the old one may still run.
        """
        for pool in pools.values():
            deadline = pool.max_deadline_ms / 1_000
            self._deadlines[pool.name] = max(
                deadline, self._deadlines.get(pool.name, 0.0)
            )
        self._pools.update(targets)

    def deadline_of(self, target: ids.TargetId) -> float:
        """Return how long a request may run on a target, in seconds."""
        pool = self._pools.get(target)
        if pool is None or pool not in self._deadlines:
            return self.longest_deadline()
        return self._deadlines[pool] * (1.0 + self._clock_drift)

    def longest_deadline(self) -> float:
        """Return how long any request may run, in seconds."""
        longest = max(self._deadlines.values(), default=DEFAULT_DEADLINE_S)
        return longest * (1.0 + self._clock_drift)

    def report(self, now: float, request: wire.SyncRequest) -> Holder | None:
        """Take a report; None when a newer incarnation is known."""
        info = request.info
        if info.incarnation < self._newest.get(info.entry, 0):
            return None
        self._newest[info.entry] = info.incarnation
        key = info.entry, info.incarnation
        holder = self.holders.get(key)
        if holder is None:
            holder = Holder(info, now, now + self.lifetime_s)
            self.holders[key] = holder
        order = request.ack_term, request.ack_sequence
        if order < holder.order or request.ack_term > self._term:
            return holder
        self._take_demand(now, holder, request)
        holder.info = info
        holder.heard_at = now
        holder.expires_at = max(holder.expires_at, now + self.lifetime_s)
        holder.draining = request.draining
        holder.doubtful = frozenset(request.doubtful)
        advanced = order > holder.order
        holder.order = order
        holder.uses = {use.target: use for use in request.uses}
        holder.links_held = {link.name: link.held for link in request.links}
        if request.ack_term == self._term:
            self._acknowledge(holder, request.ack_sequence)
            if advanced and holder.issues:
                holder.issues[0].waits_since = now
            self._confirm(holder)
        self._update_charges(holder)
        return holder

    def issue(self, now: float, holder: Holder, issue: Issue) -> None:
        """Charge a holder for grants that are sent now."""
        issue.waits_since = now
        issue.expires_at = now + self.lifetime_s
        holder.expires_at = max(holder.expires_at, issue.expires_at)
        holder.issued = issue
        last = holder.issues[-1] if holder.issues else None
        if (
            last is not None
            and last.amounts == issue.amounts
            and last.links == issue.links
        ):
            last.last = issue.last
            last.expires_at = issue.expires_at
            holder.issued = last
            return
        holder.issues.append(issue)
        self._update_charges(holder)

    def expire(self, now: float) -> None:
        """End the charges of silent holders and of old issues."""
        for key, holder in list(self.holders.items()):
            if holder.expires_at <= now:
                self._lapse(now, holder)
            elif holder.issues and self._is_over(now, holder.issues[0]):
                holder.issues = [
                    issue
                    for issue in holder.issues
                    if not self._is_over(now, issue)
                ]
                self._update_charges(holder)
            if (
                holder.expires_at <= now
                and not holder.charges
                and not holder.link_charges
            ):
                del self.holders[key]

    def live(self, now: float) -> list[Holder]:
        """Return the newest incarnations that can use grants.

        A holder that has acknowledged nothing for the lifetime of a grant
        gets none of our answers, though its requests arrive.
        """
        return [
            holder
            for (entry, incarnation), holder in self.holders.items()
            if incarnation == self._newest[entry]
            and holder.heard_at + self.lifetime_s > now
            and not self._is_deaf(now, holder)
        ]

    def _is_deaf(self, now: float, holder: Holder) -> bool:
        if not holder.issues:
            return False
        return holder.issues[0].waits_since + self.lifetime_s <= now

    def _acknowledge(self, holder: Holder, sequence: int) -> None:
        holder.issues = [
            issue for issue in holder.issues if issue.last > sequence
        ]

    def _take_demand(
        self, now: float, holder: Holder, request: wire.SyncRequest
    ) -> None:
        fade = 0.5 ** ((now - holder.heard_at) / DEMAND_HALF_LIFE_S)
        recent = {
            pool: value * fade
            for pool, value in holder.recent.items()
            if value * fade > 0.5
        }
        holder.wanted = {
            demand.pool: demand.wanted for demand in request.demand
        }
        for pool, wanted in holder.wanted.items():
            recent[pool] = max(float(wanted), recent.get(pool, 0.0))
        holder.recent = recent
        holder.links_wanted = {
            link.name: link.wanted for link in request.links
        }

    def _confirm(self, holder: Holder) -> None:
        """Add what a holder has on its first acknowledgement."""
        if holder.confirmed:
            return
        holder.confirmed = True
        for use in holder.uses.values():
            known = self.confirmed.get(use.target, NOTHING)
            held = amount_of(use)
            self.confirmed[use.target] = Amount(
                known.slots + held.slots,
                known.connections + held.connections,
            )
        self.confirmed_links.update(holder.links_held)

    def _lapse(self, now: float, holder: Holder) -> None:
        """Drop the charges whose last request must have ended."""
        for target in list(holder.charges):
            if holder.expires_at + self.deadline_of(target) <= now:
                holder.uses.pop(target, None)
                for issue in holder.issues:
                    issue.amounts.pop(target, None)
        if holder.expires_at + self.longest_deadline() <= now:
            holder.links_held = {}
            holder.issues = []
        self._update_charges(holder)

    def _is_over(self, now: float, issue: Issue) -> bool:
        return issue.expires_at + self.longest_deadline() <= now

    def _update_charges(self, holder: Holder) -> None:
        charges = {
            target: amount_of(use) for target, use in holder.uses.items()
        }
        links = dict(holder.links_held)
        for issue in holder.issues:
            for target, amount in issue.amounts.items():
                charged = charges.get(target, NOTHING)
                charges[target] = Amount(
                    max(charged.slots, amount.slots),
                    max(charged.connections, amount.connections),
                )
            for name, rate in issue.links.items():
                links[name] = max(links.get(name, 0), rate)
        for target, amount in holder.charges.items():
            self.slots[target] -= amount.slots
            self.connections[target] -= amount.connections
        for target, amount in charges.items():
            self.slots[target] += amount.slots
            self.connections[target] += amount.connections
        self.links.subtract(holder.link_charges)
        self.links.update(links)
        holder.charges = charges
        holder.link_charges = links


def amount_of(use: wire.SlotUse) -> Amount:
    """Return the charge for what an entry reports to have."""
    return Amount(
        max(use.allowance, use.in_flight),
        max(use.connections, use.in_flight),
    )
