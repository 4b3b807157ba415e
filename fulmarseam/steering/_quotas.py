"""Quotas of organisations over all entries, as permits of the leader.

The leader has a bucket for each organisation and issues permits from it for
the requests that entries expect or have waiting. Each entry also has a small
free part that needs no permit: an organisation far below its quota costs no
messages, and an entry without a leader goes on with its even part. What
entries use of their free parts they report, and the leader takes it from the
bucket.

In any window, at most what `compute_issue_rate` leaves room for is sent: the
permits issued in the window and in their lifetime before it, a full bucket,
all free parts, and what has been used of these but not yet been reported.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire

# How long an entry may use a permit, from the time at which it asked. Shorter
# ones cost more messages, longer ones count twice at the ends of a window.
QUOTA_PERMIT_LIFETIME_S = 0.35
# By this much the times differ that requests take to the targets.
TRANSIT_S = 0.1
# Longest time between two asks of an entry that gets too few permits: the
# bucket must not run over meanwhile.
ASK_GAP_S = 0.15
# Pause of an entry after an ask without enough permits; a round trip follows.
DENIED_PAUSE_S = 0.1
# An ask covers the requests expected in this time.
PREFETCH_S = 0.25
# Time over which the demand for an organisation is counted.
DEMAND_WINDOW_S = 1.0
# Time over which the rate of the permits received is computed.
RECEIPT_WINDOW_S = 2.0
# Parts of the slack that the bucket and the free parts of all entries may
# use. The rest is for the rounding of counts.
BUCKET_SHARE = 0.4
FREE_SHARE = 0.3
# Part of the slack by which a full bucket may run over, so that the use that
# is reported late does not cost what has flowed in since.
LATE_SHARE = 0.2
# Part of the burst that is divided evenly among the entries. It serves the
# first requests at an entry without a round trip to the leader.
FREE_BURST_SHARE = 0.3
# An entry with contact to the leader refills its free part more slowly than
# its even part of the quota, as the leader issues permits for all of that.
ONLINE_FREE_SHARE = 0.5
# Time after which the use of a free part is reported: a poll interval of
# 0.2 s and the way to the leader.
REPORT_DELAY_S = 0.25
# An entry that has not heard the leader for this long uses its even part. The
# leader counts it among these after 0.8 s of silence.
OFFLINE_AFTER_S = 1.0
FAILED_ASK_PAUSE_S = 0.3
# The longest wait that a refused caller is told, and the longest queue of
# returns, after which they are spread over the same time again.
MAX_WAIT_S = 60.0
MAX_RETURN_QUEUE_S = 2.0
MAX_ASK = 1_000


class QuotaBounds(NamedTuple):
    """How far organisations may exceed their quotas.

    In any `window_s` at most (rate x window + burst) x (1 + `overage`) +
    `slack` requests of an organisation run.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


def compute_bucket(
    organisation: wire.OrganisationItem, bounds: QuotaBounds
) -> float:
    """Return the permits that the leader may issue at once."""
    return (1.0 - FREE_BURST_SHARE) * organisation.burst + max(
        BUCKET_SHARE * bounds.slack, ASK_GAP_S * organisation.rate_per_s
    )


def _compute_free_parts(
    organisation: wire.OrganisationItem, bounds: QuotaBounds
) -> float:
    """Return the requests that all entries may send at once together."""
    return (
        organisation.burst * (bounds.overage + FREE_BURST_SHARE)
        + FREE_SHARE * bounds.slack
    )


def compute_free_part(
    organisation: wire.OrganisationItem, bounds: QuotaBounds, senders: int
) -> float:
    """Return the requests that each entry may send at once without permit.

    With so many entries that a request of each would exceed the bound, none.
    """
    part = _compute_free_parts(organisation, bounds) / max(1, senders)
    return part if part >= 1.0 else 0.0


def compute_issue_rate(
    organisation: wire.OrganisationItem, bounds: QuotaBounds
) -> float:
    """Return the permits/s that the leader issues, at most the quota."""
    rate_per_s = organisation.rate_per_s
    allowed = (rate_per_s * bounds.window_s + organisation.burst) * (
        1.0 + bounds.overage
    ) + bounds.slack
    at_once = (
        compute_bucket(organisation, bounds)
        + _compute_free_parts(organisation, bounds)
        + LATE_SHARE * bounds.slack
        + rate_per_s * ONLINE_FREE_SHARE * REPORT_DELAY_S
    )
    window_s = bounds.window_s + QUOTA_PERMIT_LIFETIME_S + TRANSIT_S
    return min(rate_per_s, max(0.0, allowed - at_once) / window_s)


# The leader


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The permits left for an organisation; times in seconds."""

    organisation: wire.OrganisationItem
    tokens: float
    refilled_at: float


class QuotaIssuer:
    """The buckets of all organisations with a quota; at the leader.

    A leader of a new term issues no permits as long as those of its
    predecessor may be used, and starts with empty buckets.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._buckets: dict[ids.OrganisationName, _Bucket] = {}
        self._term = -1
        self._issues_from = float('inf')

    def update(
        self,
        now: float,
        term: int,
        organisations: Iterable[wire.OrganisationItem],
    ) -> None:
        """Apply the organisations of the catalog.

        One that is removed keeps its bucket, as it may come back at once.
        """
        if term != self._term:
            self._term = term
            self._buckets.clear()
            self._issues_from = now + QUOTA_PERMIT_LIFETIME_S
        is_new_term = now < self._issues_from
        for row in organisations:
            bucket = self._buckets.get(row.name)
            if bucket is None:
                tokens = 0.0
                if not is_new_term:
                    tokens = compute_bucket(row, self._bounds)
                self._buckets[row.name] = _Bucket(row, tokens, now)
            elif bucket.organisation is not row:
                bucket.organisation = row

    def record(
        self,
        now: float,
        asks: Iterable[wire.QuotaAsk],
        senders: int,
        offline: int,
    ) -> None:
        """Record what an entry has used without permits or not used."""
        for ask in asks:
            bucket = self._buckets.get(ask.organisation)
            if bucket is None:
                continue
            self._refill(bucket, now, senders, offline)
            row = bucket.organisation
            limit = compute_bucket(row, self._bounds)
            tokens = bucket.tokens - max(0, ask.used) + max(0, ask.returned)
            # A debt of more than a second would stop an organisation for
            # long after an entry was out of contact.
            bucket.tokens = max(tokens, -row.rate_per_s - limit)
            bucket.tokens = min(
                bucket.tokens, limit + LATE_SHARE * self._bounds.slack
            )

    def issue(
        self,
        now: float,
        asks: Sequence[wire.QuotaAsk],
        senders: int,
        offline: int,
    ) -> list[int]:
        """Return the number of permits issued for each ask of an entry.

        `offline` of all the `senders` hear no leader or have fallen silent;
        they may use their even parts.
        """
        self.record(now, asks, senders, offline)
        if now < self._issues_from:
            return [0] * len(asks)
        counts = []
        for ask in asks:
            bucket = self._buckets.get(ask.organisation)
            issued = 0
            if bucket is not None and bucket.tokens >= 1.0:
                limit = compute_bucket(bucket.organisation, self._bounds)
                available = int(min(bucket.tokens, limit))
                issued = max(0, min(ask.count, available))
                bucket.tokens -= issued
            counts.append(issued)
        return counts

    def list_waits_ms(
        self, asks: Sequence[wire.QuotaAsk], counts: Sequence[int]
    ) -> list[int]:
        """Return when permits for each ask are expected, in milliseconds.

        The list is empty if all that was asked for has been issued.
        """
        if all(
            count >= ask.count for ask, count in zip(asks, counts, strict=True)
        ):
            return []
        waits = []
        for ask in asks:
            bucket = self._buckets.get(ask.organisation)
            wait_s = 0.0
            if bucket is not None:
                rate_per_s = compute_issue_rate(
                    bucket.organisation, self._bounds
                )
                missing = max(0.0, 1.0 - bucket.tokens)
                wait_s = min(missing / max(rate_per_s, 1e-9), MAX_WAIT_S)
            waits.append(math.ceil(wait_s * 1_000))
        return waits

    def _refill(
        self, bucket: _Bucket, now: float, senders: int, offline: int
    ) -> None:
        row = bucket.organisation
        rate_per_s = compute_issue_rate(row, self._bounds)
        if compute_free_part(row, self._bounds, senders):
            rate_per_s *= max(0.0, 1.0 - offline / max(1, senders))
        bucket.tokens = min(
            compute_bucket(row, self._bounds)
            + LATE_SHARE * self._bounds.slack,
            bucket.tokens + (now - bucket.refilled_at) * rate_per_s,
        )
        bucket.refilled_at = now


# An entry


class QuotaToken(NamedTuple):
    """The right to send one request; None expires for the free part."""

    organisation: ids.OrganisationName
    expires_at: float | None


@dataclasses.dataclass(slots=True)
class _Stock:
    """What an entry may send for one organisation; times in seconds.

    `permits` are the times of expiry with the number of permits. `used` of
    the free part and `returned` permits are not reported yet.
    """

    organisation: wire.OrganisationItem
    free_at: float
    free_tokens: float = 0.0
    used: int = 0
    returned: int = 0
    denied_until: float = 0.0
    # When the leader expects further permits, and the last return that a
    # refused caller was told.
    expected_at: float = 0.0
    last_return_at: float = 0.0
    permits: collections.deque[list[float]] = dataclasses.field(
        default_factory=collections.deque
    )
    wanted_at: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ASK)
    )
    receipts: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    def count_permits(self, now: float) -> int:
        """Return the permits left; those that have expired are returned."""
        while self.permits and self.permits[0][0] <= now:
            self.returned += int(self.permits.popleft()[1])
        return int(sum(count for _, count in self.permits))

    def count_wanted(self, now: float) -> int:
        """Return the requests within `DEMAND_WINDOW_S`."""
        while self.wanted_at and now - self.wanted_at[0] > DEMAND_WINDOW_S:
            self.wanted_at.popleft()
        return len(self.wanted_at)

    def count_received(self, now: float) -> int:
        """Return the permits that came within `RECEIPT_WINDOW_S`."""
        while self.receipts and now - self.receipts[0][0] > RECEIPT_WINDOW_S:
            self.receipts.popleft()
        return sum(count for _, count in self.receipts)


class QuotaStocks:
    """The permits and free parts of one entry."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._stocks: dict[ids.OrganisationName, _Stock] = {}
        self._heard_at = float('-inf')
        self._ask_pause_until = float('-inf')
        self.senders = 1

    def update(
        self, now: float, organisations: Iterable[wire.OrganisationItem]
    ) -> None:
        """Apply the organisations of the catalog.

        A new one starts with an empty free part, so that restarts of an
        entry add nothing.
        """
        stocks = {}
        for row in organisations:
            if row.rate_per_s <= 0.0:
                continue
            stock = self._stocks.get(row.name)
            if stock is None:
                stock = _Stock(row, now)
            stock.organisation = row
            stocks[row.name] = stock
        self._stocks = stocks

    def has_quota(self, name: ids.OrganisationName) -> bool:
        """Return whether requests of an organisation are counted."""
        return name in self._stocks

    def count(self) -> int:
        """Return the number of organisations with a quota."""
        return len(self._stocks)

    # Requests

    def note_wanted(self, now: float, name: ids.OrganisationName) -> None:
        """Count a request that is to be sent."""
        stock = self._stocks.get(name)
        if stock is not None:
            stock.wanted_at.append(now)

    def take(
        self, now: float, name: ids.OrganisationName
    ) -> QuotaToken | None:
        """Return the right to send a request now, if there is one."""
        stock = self._stocks.get(name)
        if stock is None:
            return QuotaToken(name, None)
        if stock.count_permits(now):
            first = stock.permits[0]
            first[1] -= 1
            if not first[1]:
                stock.permits.popleft()
            return QuotaToken(name, first[0])
        self._refill(now, stock)
        if stock.free_tokens < 1.0:
            return None
        stock.free_tokens -= 1.0
        stock.used += 1
        return QuotaToken(name, None)

    def give_back(self, token: QuotaToken) -> None:
        """Take back the right of a request that no target ran."""
        stock = self._stocks.get(token.organisation)
        if stock is None:
            return
        if token.expires_at is not None:
            # The oldest are first, so that they are used first.
            stock.permits.appendleft([token.expires_at, 1])
        elif stock.used:
            stock.used -= 1
            stock.free_tokens += 1.0
        else:
            # The leader has taken it from its bucket already.
            stock.returned += 1

    def _refill(self, now: float, stock: _Stock) -> None:
        row = stock.organisation
        capacity = compute_free_part(row, self._bounds, self.senders)
        rate_per_s = self._compute_free_rate(now, stock)
        stock.free_tokens = min(
            capacity, stock.free_tokens + (now - stock.free_at) * rate_per_s
        )
        stock.free_at = now

    def _compute_free_rate(self, now: float, stock: _Stock) -> float:
        rate_per_s = compute_issue_rate(stock.organisation, self._bounds)
        if not self.is_offline(now):
            rate_per_s *= ONLINE_FREE_SHARE
        return rate_per_s / self.senders

    # Contact to the leader

    def note_leader(self, sent_at: float) -> None:
        """Record that the leader answered a message sent at `sent_at`.

        The leader has allowed for what was used while it was not heard.
        """
        if self.is_offline(sent_at):
            for stock in self._stocks.values():
                stock.used = 0
        self._heard_at = max(self._heard_at, sent_at)

    def is_offline(self, now: float) -> bool:
        """Return whether this entry has lost contact to the leader."""
        return now - self._heard_at > OFFLINE_AFTER_S

    def may_ask(self, now: float, name: ids.OrganisationName) -> bool:
        """Return whether it is of use to ask for a permit now."""
        stock = self._stocks.get(name)
        return (
            stock is not None
            and now >= max(stock.denied_until, self._ask_pause_until)
            and not self.is_offline(now)
        )

    def needs_permits(self, now: float, name: ids.OrganisationName) -> bool:
        """Return whether to ask for more permits before they run out."""
        stock = self._stocks.get(name)
        return (
            stock is not None
            and self.may_ask(now, name)
            and 2 * stock.count_permits(now) < self._estimate_need(now, stock)
        )

    def _estimate_need(self, now: float, stock: _Stock) -> int:
        """Return the permits for the near future beside the free part."""
        self._refill(now, stock)
        expected = stock.count_wanted(now) * PREFETCH_S / DEMAND_WINDOW_S
        return math.floor(expected - stock.free_tokens)

    def list_asks(
        self, now: float, waiting: Mapping[ids.OrganisationName, int]
    ) -> list[wire.QuotaAsk]:
        """Return what to ask the leader for, with what to report to it.

        `waiting` counts the requests that wait for a permit.
        """
        asks = []
        for name, stock in self._stocks.items():
            count = waiting.get(name, 0)
            if now >= stock.denied_until:
                need = self._estimate_need(now, stock)
                count += max(0, need - stock.count_permits(now))
            if count > 0:
                asks.append(self._take_report(name, stock, count))
        return asks

    def list_reports(self, now: float) -> list[wire.QuotaAsk]:
        """Return what to report to the leader with a poll."""
        return [
            self._take_report(name, stock, 0)
            for name, stock in self._stocks.items()
            if stock.count_permits(now) >= 0 and (stock.used or stock.returned)
        ]

    def _take_report(
        self, name: ids.OrganisationName, stock: _Stock, count: int
    ) -> wire.QuotaAsk:
        ask = wire.QuotaAsk(
            name, min(count, MAX_ASK), stock.used, stock.returned
        )
        stock.used = stock.returned = 0
        return ask

    def note_lost(self, asks: Iterable[wire.QuotaAsk]) -> None:
        """Record that asks or reports may not have reached the leader.

        What was used is reported again. What was not used is lost: twice
        returned, it would be issued twice.
        """
        for ask in asks:
            stock = self._stocks.get(ask.organisation)
            if stock is not None:
                stock.used += ask.used

    def add_permits(
        self,
        now: float,
        sent_at: float,
        asks: Sequence[wire.QuotaAsk],
        counts: Sequence[int],
        waits_ms: Sequence[int] = (),
    ) -> None:
        """Add the permits that the leader issued for asks at `sent_at`."""
        expires_at = sent_at + QUOTA_PERMIT_LIFETIME_S
        for ask, wait_ms in zip(asks, waits_ms, strict=False):
            stock = self._stocks.get(ask.organisation)
            if stock is not None:
                stock.expected_at = now + wait_ms / 1_000
        for ask, count in zip(asks, counts, strict=False):
            stock = self._stocks.get(ask.organisation)
            if stock is None:
                continue
            if count < ask.count:
                stock.denied_until = now + DENIED_PAUSE_S
            if count > 0:
                stock.permits.append([expires_at, count])
                stock.count_received(now)
                stock.receipts.append((now, count))

    def note_failed_ask(self, now: float) -> None:
        """Record that no leader answered an ask."""
        self._ask_pause_until = now + FAILED_ASK_PAUSE_S

    def drop_permits(self) -> None:
        """Drop all permits, after a pause of the process."""
        for stock in self._stocks.values():
            stock.permits.clear()

    def compute_supply(self, now: float, name: ids.OrganisationName) -> float:
        """Return the requests/s of an organisation that lately went out here.

        That is at least this entry's even part of the quota.
        """
        stock = self._stocks[name]
        rate_per_s = compute_issue_rate(stock.organisation, self._bounds)
        return max(
            stock.count_received(now) / RECEIPT_WINDOW_S,
            rate_per_s / self.senders,
        )

    def schedule_return(self, now: float, name: ids.OrganisationName) -> float:
        """Return the seconds after which a refused caller gets a token.

        The first one returns when the next token is expected, and the others
        one after another at the rate at which tokens lately came.
        """
        stock = self._stocks[name]
        self._refill(now, stock)
        free_wait_s = math.inf
        if compute_free_part(stock.organisation, self._bounds, self.senders):
            rate_per_s = self._compute_free_rate(now, stock)
            missing = max(0.0, 1.0 - stock.free_tokens)
            free_wait_s = missing / max(rate_per_s, 1e-9)
        wait_s = free_wait_s
        if not self.is_offline(now):
            # The next ask follows the pause and takes a round trip.
            asked_at = max(stock.denied_until, self._ask_pause_until, now)
            expected_at = max(stock.expected_at, asked_at)
            wait_s = min(wait_s, expected_at - now)
        first_at = now + min(wait_s, MAX_WAIT_S)
        return_at = max(
            first_at,
            stock.last_return_at + 1.0 / self.compute_supply(now, name),
        )
        if return_at - first_at > MAX_RETURN_QUEUE_S:
            return_at = first_at
        stock.last_return_at = return_at
        return return_at - now
