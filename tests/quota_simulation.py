"""Entries that share the quota of an organisation, in virtual time.

Requests arrive at entries; a way to share the quota decides which are sent.
Messages take time, entries may be cut off and the leader may change.
"""

import bisect
import collections
from collections.abc import Callable
import heapq
import itertools
import math
import random
from typing import Any

from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import wire

NAME = ids.OrganisationName('acme')
POLL_INTERVAL_S = 0.2
ASK_TIMEOUT_S = 0.3
SILENCE_S = 0.8
BOUNDS = steering.QuotaBounds()

# Requests/s that arrive at an entry at a time.
Rate = Callable[[int, float], float]


class Simulation:
    """Plays the requests of an organisation; `at` adds events.

    `sent` lists when targets got requests, and `waits` how long requests
    waited for a permit. The base class lets each entry use its even part.
    """

    def __init__(
        self,
        organisation: wire.OrganisationItem,
        entries: int,
        demand: Rate,
        duration_s: float = 20.0,
        one_way_s: float = 0.02,
        seed: int = 1,
    ) -> None:
        self.organisation = organisation
        self.entries = entries
        self.rng = random.Random(seed)
        self.now = 0.0
        self.sent: list[float] = []
        self.wanted: list[float] = []
        self.waits: list[float] = []
        self.messages = 0
        self.one_way_s = one_way_s
        self._demand = demand
        self._duration_s = duration_s
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = itertools.count()
        self.start()
        for entry in range(entries):
            self.at(0.0, self._schedule, entry)

    def start(self) -> None:
        """Prepare the entries."""
        self.part = steering.compute_free_part(
            self.organisation, BOUNDS, self.entries
        )
        self.tokens = [0.0] * self.entries
        self.refilled_at = [0.0] * self.entries

    def at(self, time_s: float, work: Callable[..., None], *args: Any) -> None:
        """Call `work` at a time."""
        event = (time_s, next(self._numbers), work, args)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Play to the end."""
        while self._events:
            self.now, _, work, args = heapq.heappop(self._events)
            if self.now > self._duration_s:
                break
            work(*args)
        self.sent.sort()

    def _schedule(self, entry: int) -> None:
        rate = self._demand(entry, self.now)
        pause_s = self.rng.expovariate(rate) if rate > 0.0 else 1.0
        if pause_s > 0.2:
            self.at(self.now + 0.2, self._schedule, entry)
            return
        self.at(self.now + pause_s, self._schedule, entry)
        self.at(self.now + pause_s, self._request, entry)

    def _request(self, entry: int) -> None:
        self.wanted.append(self.now)
        self.request(entry)

    def request(self, entry: int) -> None:
        """Send or refuse a request."""
        rate_per_s = self.organisation.rate_per_s / self.entries
        capacity = max(1.0, self.part)
        elapsed_s = self.now - self.refilled_at[entry]
        self.tokens[entry] = min(
            capacity, self.tokens[entry] + elapsed_s * rate_per_s
        )
        self.refilled_at[entry] = self.now
        if self.tokens[entry] >= 1.0:
            self.tokens[entry] -= 1.0
            self.send()

    def send(self) -> None:
        """Send a request to a target."""
        self.sent.append(
            self.now + self.rng.uniform(0.0, steering_transit_s())
        )

    def count_excess(self, window_s: float = BOUNDS.window_s) -> float:
        """Return by how much the worst window exceeds the bound."""
        row = self.organisation
        bound = (row.rate_per_s * window_s + row.burst) * (
            1.0 + BOUNDS.overage
        ) + BOUNDS.slack
        most = max(
            (
                bisect.bisect_left(self.sent, start + window_s) - index
                for index, start in enumerate(self.sent)
            ),
            default=0,
        )
        return most - bound

    def count_rate(self, start_s: float, end_s: float) -> float:
        """Return the requests/s that were sent in a time."""
        count = bisect.bisect(self.sent, end_s) - bisect.bisect(
            self.sent, start_s
        )
        return count / (end_s - start_s)

    def count_wanted(self, start_s: float, end_s: float) -> float:
        """Return the requests/s that arrived in a time."""
        count = sum(start_s <= wanted < end_s for wanted in self.wanted)
        return count / (end_s - start_s)


def steering_transit_s() -> float:
    """Return by how much the ways to targets differ."""
    return 0.05


class Gossip(Simulation):
    """Entries tell each other their counts, each to three others.

    After some rounds of 0.2 s each entry knows all counts as they were, and
    takes the part of the rate that its share of the demand is.
    """

    def start(self) -> None:
        super().start()
        rounds = math.ceil(math.log(max(2, self.entries), 3)) + 1
        self._delay_s = rounds * POLL_INTERVAL_S
        self._arrivals: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._known: collections.Counter[int] = collections.Counter()
        self._total = 0
        self.at(0.0, self._exchange)

    def _exchange(self) -> None:
        self.messages += 3 * self.entries
        self.at(self.now + POLL_INTERVAL_S, self._exchange)
        counts: collections.Counter[int] = collections.Counter()
        newest = self.now - self._delay_s
        while self._arrivals and self._arrivals[0][0] < newest - 1.0:
            self._arrivals.popleft()
        for arrived_at, entry in self._arrivals:
            if arrived_at <= newest:
                counts[entry] += 1
        self._known = counts
        self._total = counts.total()

    def request(self, entry: int) -> None:
        self._arrivals.append((self.now, entry))
        share = 1.0 / self.entries
        if self._total:
            share = max(share, self._known[entry] / self._total)
        elapsed_s = self.now - self.refilled_at[entry]
        self.tokens[entry] = min(
            max(1.0, self.part),
            self.tokens[entry]
            + elapsed_s * share * self.organisation.rate_per_s,
        )
        self.refilled_at[entry] = self.now
        if self.tokens[entry] >= 1.0:
            self.tokens[entry] -= 1.0
            self.send()


class Permits(Simulation):
    """The leader issues permits, as in the product."""

    def start(self) -> None:
        self.issuer = steering.QuotaIssuer(BOUNDS)
        self.term = 1
        self.has_leader = True
        self.cut: set[int] = set()
        self.heard_at: dict[int, float] = {}
        self.offline_reported: dict[int, bool] = {}
        self._offline = (0.0, 0)
        self.stocks = []
        # The requests that wait at each entry, and whether it is asking.
        self.waiting: list[list[float]] = [[] for _ in range(self.entries)]
        self.is_asking = [False] * self.entries
        # Other organisations were configured before, as this one is.
        self.issuer.update(-10.0, self.term, [])
        for entry in range(self.entries):
            stocks = steering.QuotaStocks(BOUNDS)
            stocks.senders = self.entries
            stocks.update(0.0, [self.organisation])
            self.stocks.append(stocks)
            self.at(entry / self.entries * POLL_INTERVAL_S, self._poll, entry)

    def change_leader(self) -> None:
        """Let another member lead."""
        self.issuer = steering.QuotaIssuer(BOUNDS)
        self.term += 1
        self.has_leader = True

    def stop_leader(self) -> None:
        """Let no member lead."""
        self.has_leader = False

    def cut_off(self, entries: range, is_cut: bool = True) -> None:
        """Cut entries off from the leader, or end that."""
        if is_cut:
            self.cut.update(entries)
        else:
            self.cut.difference_update(entries)

    def _reaches_leader(self, entry: int) -> bool:
        return self.has_leader and entry not in self.cut

    def _note_contact(self, entry: int) -> None:
        self.heard_at[entry] = self.now
        self.issuer.update(self.now, self.term, [self.organisation])

    def _count_offline(self) -> int:
        if self.now - self._offline[0] > 0.1:
            count = sum(
                self.now - self.heard_at.get(entry, self.now) > SILENCE_S
                or self.offline_reported.get(entry, False)
                for entry in range(self.entries)
            )
            self._offline = (self.now, count)
        return self._offline[1]

    def _poll(self, entry: int) -> None:
        self.at(self.now + POLL_INTERVAL_S, self._poll, entry)
        if not self._reaches_leader(entry):
            return
        stocks = self.stocks[entry]
        reports = stocks.list_reports(self.now)
        self.offline_reported[entry] = stocks.is_offline(self.now)
        self.at(self.now + self.one_way_s, self._end_poll, entry, reports)

    def _end_poll(self, entry: int, reports: list[wire.QuotaAsk]) -> None:
        if not self._reaches_leader(entry):
            self.stocks[entry].note_lost(reports)
            return
        self._note_contact(entry)
        self.issuer.record(
            self.now, reports, self.entries, self._count_offline()
        )
        self.stocks[entry].note_leader(self.now - self.one_way_s)

    def _ask(self, entry: int) -> None:
        stocks = self.stocks[entry]
        waiting, self.waiting[entry] = self.waiting[entry], []
        asks = stocks.list_asks(self.now, {NAME: len(waiting)})
        if not asks:
            self._end_ask(entry, waiting)
            return
        self.messages += 1
        self.is_asking[entry] = True
        args = (entry, self.now, waiting, asks)
        if self._reaches_leader(entry):
            self.at(self.now + self.one_way_s, self._answer, *args)
        else:
            self.at(self.now + ASK_TIMEOUT_S, self._fail, *args)

    def _fail(
        self,
        entry: int,
        sent_at: float,
        waiting: list[float],
        asks: list[wire.QuotaAsk],
    ) -> None:
        self.stocks[entry].note_lost(asks)
        self.stocks[entry].note_failed_ask(self.now)
        self._end_ask(entry, waiting)

    def _answer(
        self,
        entry: int,
        sent_at: float,
        waiting: list[float],
        asks: list[wire.QuotaAsk],
    ) -> None:
        self._note_contact(entry)
        counts = self.issuer.issue(
            self.now, asks, self.entries, self._count_offline()
        )
        self.at(
            self.now + self.one_way_s,
            self._take,
            entry,
            sent_at,
            waiting,
            asks,
            counts,
        )

    def _take(
        self,
        entry: int,
        sent_at: float,
        waiting: list[float],
        asks: list[wire.QuotaAsk],
        counts: list[int],
    ) -> None:
        stocks = self.stocks[entry]
        if self._reaches_leader(entry):
            stocks.note_leader(sent_at)
            stocks.add_permits(self.now, sent_at, asks, counts)
        self._end_ask(entry, waiting)

    def _end_ask(self, entry: int, waiting: list[float]) -> None:
        self.is_asking[entry] = False
        for since in waiting:
            if self.stocks[entry].take(self.now, NAME) is not None:
                self.waits.append(self.now - since)
                self.send()
        if self.waiting[entry]:
            self._ask(entry)

    def request(self, entry: int) -> None:
        stocks = self.stocks[entry]
        stocks.note_wanted(self.now, NAME)
        if stocks.take(self.now, NAME) is not None:
            self.send()
            self.waits.append(0.0)
            if (
                stocks.needs_permits(self.now, NAME)
                and not (self.is_asking[entry])
            ):
                self._ask(entry)
        elif stocks.may_ask(self.now, NAME):
            self.waiting[entry].append(self.now)
            if not self.is_asking[entry]:
                self._ask(entry)
