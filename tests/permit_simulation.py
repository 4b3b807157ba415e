"""Entries that share the limit of a target, in virtual time.

Each entry has the state of its own that a gateway has, and a leader issues
permits. Messages take time and may be lost; entries may be cut off or paused
and the leader may change.
"""

import bisect
from collections.abc import Callable
import dataclasses
import heapq
import random
from typing import Any

from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import wire
from tests import catalog_fixtures as fixtures

TARGET = fixtures.target_id('t')
POLL_INTERVAL_S = 0.2
ASK_TIMEOUT_S = 0.3

# Requests/s that arrive at an entry at a time.
Rate = Callable[[int, float], float]


@dataclasses.dataclass
class Target:
    """The target: its limit over time, and what arrived there."""

    rate_per_s: float | None
    born_ms: int = 1
    arrivals: list[float] = dataclasses.field(default_factory=list)


class Entry:
    """An entry; `is_cut` is set while it reaches no leader."""

    def __init__(self, number: int, senders: int) -> None:
        self.number = number
        self.entry_id = ids.EntryId(f'e{number}')
        self.limited = steering.LimitedTargets()
        self.limited.senders = senders
        self.is_cut = False
        self.is_paused = False
        self.is_dead = False
        self.waiting = 0
        self.is_asking = False
        self.refused = 0
        self.observed = steering.ObservedTarget(
            fixtures.make_record('t', born_ms=1), is_remote=False
        )


class Simulation:
    """Plays requests for one limited target; `at` adds events."""

    def __init__(
        self,
        rate_per_s: float,
        entries: int,
        demand: Rate,
        duration_s: float = 30.0,
        one_way_s: float = 0.02,
        service_s: float = 0.3,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.target = Target(None)
        self.entries = [Entry(number, entries) for number in range(entries)]
        self.issuer = steering.PermitIssuer()
        self.term = 1
        self.has_leader = True
        self.heard_at: dict[int, float] = {}
        self.offline_reported: dict[int, bool] = {}
        self._demand = demand
        self._duration_s = duration_s
        self._one_way_s = one_way_s
        self._service_s = service_s
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._event_count = 0
        self.at(1.0, self.name_limit, rate_per_s)
        for entry in self.entries:
            self.at(
                POLL_INTERVAL_S * entry.number / entries, self._poll, entry
            )
            self.at(0.0, self._schedule_request, entry)

    def at(self, time_s: float, work: Callable[..., None], *args: Any) -> None:
        """Call `work` at a time."""
        self._event_count += 1
        heapq.heappush(self._events, (time_s, self._event_count, work, args))

    def run(self) -> Target:
        """Play to the end and return the target."""
        while self._events:
            self.now, _, work, args = heapq.heappop(self._events)
            if self.now > self._duration_s:
                break
            work(*args)
        return self.target

    # Faults

    def name_limit(self, rate_per_s: float | None) -> None:
        """Let the target name another limit, or none any more."""
        self.target.rate_per_s = rate_per_s

    def replace_target(self, rate_per_s: float | None) -> None:
        """Start the target anew under its id, at the same address."""
        self.target.born_ms += 1
        self.target.rate_per_s = rate_per_s
        for entry in self.entries:
            entry.observed = steering.ObservedTarget(
                fixtures.make_record('t', born_ms=self.target.born_ms),
                is_remote=False,
            )
            entry.limited.retain(self.now, {TARGET: self.target.born_ms})

    def change_leader(self) -> None:
        """Let another member lead, which knows nothing of limits."""
        self.issuer = steering.PermitIssuer()
        self.term += 1
        self.has_leader = True

    def stop_leader(self) -> None:
        """Let no member lead."""
        self.has_leader = False

    def set_flag(self, numbers: range, name: str, value: bool) -> None:
        """Cut off, pause or kill entries, or end that."""
        for number in numbers:
            entry = self.entries[number]
            setattr(entry, name, value)
            if name == 'is_paused' and not value:
                entry.limited.drop_permits()
            if name == 'is_dead' and not value:
                entry.limited = steering.LimitedTargets()
                entry.limited.senders = len(self.entries)

    # Polls and asks

    def _reaches_leader(self, entry: Entry) -> bool:
        return self.has_leader and not (
            entry.is_cut or entry.is_paused or entry.is_dead
        )

    def _poll(self, entry: Entry) -> None:
        self.at(self.now + POLL_INTERVAL_S, self._poll, entry)
        if not self._reaches_leader(entry):
            return
        rows, changes = entry.limited.list_unreported(self.now)
        self._update_leader(entry, rows)
        self.offline_reported[entry.number] = (
            entry.limited.is_offline(self.now) and entry.limited.count() > 0
        )
        version = self.issuer.version
        limits = self.issuer.list_limits()
        self.at(
            self.now + 2 * self._one_way_s,
            self._end_poll,
            entry,
            self.now,
            changes,
            version,
            limits,
        )

    def _update_leader(
        self, entry: Entry, rows: list[wire.TargetRateLimit]
    ) -> None:
        self.heard_at[entry.number] = self.now
        self.issuer.start_term(self.now, self.term)
        self.issuer.record(self.now, rows)
        self.issuer.update(self.now, lambda target: self.target.born_ms)

    def _end_poll(
        self,
        entry: Entry,
        sent_at: float,
        changes: dict[ids.TargetId, int],
        version: int,
        limits: list[wire.TargetRateLimit],
    ) -> None:
        if not self._reaches_leader(entry):
            return
        entry.limited.mark_reported(changes)
        entry.limited.note_leader(sent_at)
        if version != entry.limited.version:
            entry.limited.apply(
                self.now, version, limits, {TARGET: self.target.born_ms}
            )

    def _ask(self, entry: Entry) -> None:
        waiting, entry.waiting = entry.waiting, 0
        asks = entry.limited.list_asks(self.now, {TARGET: waiting})
        rows, changes = entry.limited.list_unreported(self.now)
        entry.is_asking = True
        args = (entry, self.now, waiting, asks, rows, changes)
        if not self._reaches_leader(entry):
            self.at(self.now + ASK_TIMEOUT_S, self._fail_ask, entry, waiting)
            return
        self.at(self.now + self._one_way_s, self._answer_ask, *args)

    def _fail_ask(self, entry: Entry, waiting: int) -> None:
        entry.limited.note_failed_ask(self.now)
        self._end_ask(entry, waiting)

    def _answer_ask(
        self,
        entry: Entry,
        sent_at: float,
        waiting: int,
        asks: list[wire.PermitAsk],
        rows: list[wire.TargetRateLimit],
        changes: dict[ids.TargetId, int],
    ) -> None:
        self._update_leader(entry, rows)
        offline = sum(
            self.now - self.heard_at.get(other.number, -60.0) > 0.8
            or self.offline_reported.get(other.number, False)
            for other in self.entries
        )
        counts = self.issuer.issue(
            self.now, entry.entry_id, asks, len(self.entries), offline
        )
        self.at(
            self.now + self._one_way_s,
            self._take_permits,
            entry,
            sent_at,
            waiting,
            asks,
            counts,
            changes,
        )

    def _take_permits(
        self,
        entry: Entry,
        sent_at: float,
        waiting: int,
        asks: list[wire.PermitAsk],
        counts: list[int],
        changes: dict[ids.TargetId, int],
    ) -> None:
        if self._reaches_leader(entry):
            entry.limited.mark_reported(changes)
            entry.limited.note_leader(sent_at)
            entry.limited.add_permits(self.now, sent_at, asks, counts)
        self._end_ask(entry, waiting)

    def _end_ask(self, entry: Entry, waiting: int) -> None:
        entry.is_asking = False
        for _ in range(waiting):
            if entry.limited.try_take(self.now, TARGET):
                self._send(entry)
            else:
                entry.refused += 1
        if entry.waiting:
            self._ask(entry)

    # Requests

    def _schedule_request(self, entry: Entry) -> None:
        rate = self._demand(entry.number, self.now)
        if rate <= 0.0:
            self.at(self.now + 0.1, self._schedule_request, entry)
            return
        pause_s = self.rng.expovariate(rate)
        if pause_s > 1.0:
            # The rate may have changed by then.
            self.at(self.now + 1.0, self._schedule_request, entry)
            return
        self.at(self.now + pause_s, self._schedule_request, entry)
        self.at(self.now + pause_s, self._request, entry)

    def _request(self, entry: Entry) -> None:
        if entry.is_paused or entry.is_dead:
            return
        limited = entry.limited
        if not limited.may_send(self.now, TARGET):
            entry.refused += 1
            return
        limited.note_wanted(self.now, TARGET)
        if limited.try_take(self.now, TARGET):
            self._send(entry)
            if limited.needs_permits(self.now, TARGET) and not entry.is_asking:
                self._ask(entry)
            return
        if limited.is_offline(self.now):
            entry.refused += 1
            return
        entry.waiting += 1
        if not entry.is_asking:
            self._ask(entry)

    def _send(self, entry: Entry) -> None:
        self.at(self.now + self._one_way_s, self._reach, entry)

    def _reach(self, entry: Entry) -> None:
        bisect.insort(self.target.arrivals, self.now)
        self.at(
            self.now + self._service_s,
            self._answer,
            entry,
            entry.observed,
            self.target.born_ms,
        )

    def _answer(
        self,
        entry: Entry,
        observed: steering.ObservedTarget,
        born_ms: int,
    ) -> None:
        is_current = born_ms == self.target.born_ms
        if is_current and not (entry.is_paused or entry.is_dead):
            entry.limited.note_answer(
                self.now, observed, self.target.rate_per_s
            )
