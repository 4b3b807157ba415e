"""Permits for requests to targets that limit their rate.

Such a target names the requests/s that it takes from all entries together.
The leader issues that many permits a second, to whichever entry asks, and
each request to the target uses one. Permits expire, so what was issued bounds
what the target gets, whatever happens to the entries or to the leader:
in any 4 s, with all delays, at most 5.25 x the limit + 2 requests.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from fulmarseam import ids
from fulmarseam import wire

# How long an entry may use a permit, from the time at which it asked.
PERMIT_LIFETIME_S = 0.6
# Permits that may be issued at once after a time without asks.
BURST_REQUESTS = 2.0
BURST_S = 0.25
# Requests/s at a target that takes fewer or none. Without any request nobody
# would learn of the end of its limit.
MIN_RATE_PER_S = 0.1
# After the end of a limit, the rate doubles in this time, and is unlimited
# after some of them. The callers that were refused return meanwhile.
RECOVERY_DOUBLING_S = 0.5
RECOVERY_S = 3.0
# How long an ask counts when the permits are shared between entries.
ASK_LIFETIME_S = 0.5
# Smaller relative changes of a limit are not published to the entries, which
# keep to it by their permits anyway.
MIN_PUBLISHED_CHANGE = 0.05
# Share of the limit that entries may use which hear no leader, and the number
# of such entries that the tolerance for bursts covers, for each request/s of
# the limit and on top.
OFFLINE_SHARE = 0.5
OFFLINE_ENTRIES_PER_RATE = 0.75
OFFLINE_ENTRIES = 3.0
# Bits of a version that count the changes within a term.
CHANGE_BITS = 20

# A target that is not in the catalog keeps its limit for this long: one that
# only the members cannot hear still serves, and returns with its limit.
ABSENCE_S = 300.0

# Returns when the current incarnation of a target started, or None if the
# catalog does not have the target.
FindIncarnation = Callable[[ids.TargetId], int | None]


def compute_offline_rate(rate_per_s: float, senders: int) -> float:
    """Return the requests/s of an entry that hears no leader.

    `senders` is the number of all entries. With so many that a request of
    each would exceed the limit, the rate is 0.
    """
    if senders > OFFLINE_ENTRIES + OFFLINE_ENTRIES_PER_RATE * rate_per_s:
        return 0.0
    return rate_per_s * OFFLINE_SHARE / max(1, senders)


@dataclasses.dataclass(slots=True)
class LimitedIncarnation:
    """One incarnation of a target with a limit; times in seconds.

    `absent_since` is when the catalog was first seen without it.
    """

    born_ms: int
    rate_per_s: float
    absent_since: float | None = dataclasses.field(default=None, kw_only=True)

    def is_kept(self, now: float, current_born_ms: int | None) -> bool:
        """Return whether the limit still counts.

        `current_born_ms` tells the incarnation in the catalog, if any.
        """
        if current_born_ms is not None:
            self.absent_since = None
            return current_born_ms == self.born_ms
        if self.absent_since is None:
            self.absent_since = now
        return now - self.absent_since <= ABSENCE_S


@dataclasses.dataclass(slots=True)
class _Budget(LimitedIncarnation):
    """The permits for one incarnation of a target; times in seconds.

    `evidence_at` is when an answer named the limit, or when one no longer
    did, from `ended_at` on.
    """

    published_per_s: float
    evidence_at: float
    refilled_at: float
    ended_at: float | None = None
    tokens: float = 0.0
    asks: dict[ids.EntryId, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )

    def refill(self, now: float, senders: int, offline: int) -> None:
        """Add the permits since the last call.

        `offline` of all the `senders` may use their own part of the limit.
        """
        rate_per_s = max(self.rate_per_s, MIN_RATE_PER_S)
        if self.ended_at is not None:
            rate_per_s *= 2 ** ((now - self.ended_at) / RECOVERY_DOUBLING_S)
        rate_per_s -= offline * compute_offline_rate(rate_per_s, senders)
        capacity = BURST_REQUESTS + BURST_S * rate_per_s
        elapsed_s = now - self.refilled_at
        self.tokens = min(capacity, self.tokens + elapsed_s * rate_per_s)
        self.refilled_at = now

    def issue(self, now: float, entry: ids.EntryId, count: int) -> int:
        """Issue up to `count` permits, in proportion to what others ask."""
        for asking, (asked_at, _) in list(self.asks.items()):
            if now - asked_at > ASK_LIFETIME_S:
                del self.asks[asking]
        self.asks[entry] = (now, count)
        total = sum(asked for _, asked in self.asks.values())
        if self.tokens < 1.0 or not total:
            return 0
        issued = min(count, max(1, int(self.tokens * count / total)))
        self.tokens -= issued
        return issued


class PermitIssuer:
    """The limits of all targets, and the permits for them; at the leader.

    A leader of a new term knows no limits: entries report them. It issues no
    permits as long as those of its predecessor may be used.
    """

    def __init__(self) -> None:
        self._budgets: dict[ids.TargetId, _Budget] = {}
        self._term = -1
        self._change_count = 0
        self._issues_from = float('inf')

    @property
    def version(self) -> int:
        """Return the version of the limits; 0 before the first limit."""
        if not self._change_count:
            return 0
        return (self._term << CHANGE_BITS) + self._change_count

    def start_term(self, now: float, term: int) -> None:
        """Forget the limits if the leader's term is a new one."""
        if term == self._term:
            return
        self._term = term
        self._budgets.clear()
        self._change_count = 0
        self._issues_from = now + PERMIT_LIFETIME_S

    def update(self, now: float, find_incarnation: FindIncarnation) -> None:
        """Drop limits that have ended, and those of targets that have."""
        for target, budget in list(self._budgets.items()):
            has_recovered = (
                budget.ended_at is not None
                and now - budget.ended_at > RECOVERY_S
            )
            is_kept = budget.is_kept(now, find_incarnation(target))
            if has_recovered or not is_kept:
                del self._budgets[target]
                self._change_count += 1

    def record(
        self, now: float, limits: Iterable[wire.TargetRateLimit]
    ) -> None:
        """Record what an entry has seen; the latest evidence counts."""
        for limit in limits:
            evidence_at = now - max(0.0, limit.age_s)
            budget = self._budgets.get(limit.target)
            if budget is None or budget.born_ms < limit.born_ms:
                self._add(now, limit, evidence_at)
            elif (
                budget.born_ms == limit.born_ms
                and evidence_at >= budget.evidence_at
            ):
                self._change(budget, limit, evidence_at, now)

    def _add(
        self, now: float, limit: wire.TargetRateLimit, evidence_at: float
    ) -> None:
        if limit.rate_per_s is None:
            return
        self._budgets[limit.target] = _Budget(
            born_ms=limit.born_ms,
            rate_per_s=limit.rate_per_s,
            published_per_s=limit.rate_per_s,
            evidence_at=evidence_at,
            refilled_at=now,
        )
        self._change_count += 1

    def _change(
        self,
        budget: _Budget,
        limit: wire.TargetRateLimit,
        evidence_at: float,
        now: float,
    ) -> None:
        budget.evidence_at = evidence_at
        if limit.rate_per_s is None:
            if budget.ended_at is None:
                budget.ended_at = now
                self._change_count += 1
            return
        has_ended = budget.ended_at is not None
        budget.ended_at = None
        budget.rate_per_s = limit.rate_per_s
        difference = abs(budget.published_per_s - limit.rate_per_s)
        if has_ended or difference > MIN_PUBLISHED_CHANGE * limit.rate_per_s:
            budget.published_per_s = limit.rate_per_s
            self._change_count += 1

    def list_limits(self) -> list[wire.TargetRateLimit]:
        """Return the limits of this version."""
        return [
            wire.TargetRateLimit(
                target=target,
                born_ms=budget.born_ms,
                rate_per_s=budget.published_per_s,
                is_ending=budget.ended_at is not None,
            )
            for target, budget in self._budgets.items()
        ]

    def issue(
        self,
        now: float,
        entry: ids.EntryId,
        asks: Sequence[wire.PermitAsk],
        senders: int,
        offline: int,
    ) -> list[int]:
        """Return the number of permits issued for each ask of an entry.

        `offline` of all the `senders` hear no leader or have fallen silent.
        """
        if now < self._issues_from:
            return [0] * len(asks)
        return [self._issue(now, entry, ask, senders, offline) for ask in asks]

    def _issue(
        self,
        now: float,
        entry: ids.EntryId,
        ask: wire.PermitAsk,
        senders: int,
        offline: int,
    ) -> int:
        budget = self._budgets.get(ask.target)
        if budget is None:
            return 0
        budget.refill(now, senders, offline)
        return budget.issue(now, entry, max(0, ask.count))
