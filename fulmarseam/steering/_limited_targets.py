"""Targets that limit their rate, as one entry knows them.

A request to such a target needs a permit of the leader, see `PermitIssuer`.
An entry that hears no leader uses a fixed part of the limit instead.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.steering import _observed
from fulmarseam.steering import _permit_issuer

# An entry that has not heard the leader for this long uses its offline part.
# Its last permits have expired before.
OFFLINE_AFTER_S = 1.0
# After an ask without enough permits, the next one for that target follows in
# the next interval; asks for several targets then go out together.
ASK_INTERVAL_S = 0.25
# Pause after an ask that no leader answered.
FAILED_ASK_PAUSE_S = 0.3
# An ask covers the requests expected in this time, to save messages.
PREFETCH_S = 0.3
# Time over which the demand for a target is counted.
DEMAND_WINDOW_S = 1.0
MAX_ASK = 1_000
# Time over which the rate of the permits received is computed.
RECEIPT_WINDOW_S = 2.0


@dataclasses.dataclass(slots=True)
class _Limit(_permit_issuer.LimitedIncarnation):
    """What is known of one target; times in seconds.

    `change` counts the changes that answers to this entry brought, and
    `reported_change` is the last one that the leader knows. `permits` are
    the times of expiry with the number of permits. `wanted_at` lists when
    requests were to be sent, and `receipts` when permits came, and how many.
    """

    noted_at: float
    has_ended: bool = False
    change: int = 0
    reported_change: int = 0
    permits: collections.deque[list[float]] = dataclasses.field(
        default_factory=collections.deque
    )
    wanted_at: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ASK)
    )
    receipts: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    denied_until: float = 0.0
    offline_tokens: float = 0.0
    offline_at: float | None = None

    def count_permits(self, now: float) -> int:
        """Return the number of permits that have not expired."""
        while self.permits and self.permits[0][0] <= now:
            self.permits.popleft()
        return int(sum(count for _, count in self.permits))

    def receive(self, now: float, expires_at: float, count: int) -> None:
        """Add permits that the leader issued."""
        self.count_permits(now)
        self.permits.append([expires_at, count])
        self.count_received(now)
        self.receipts.append((now, count))

    def count_received(self, now: float) -> int:
        """Return the permits that came within `RECEIPT_WINDOW_S`."""
        while self.receipts and now - self.receipts[0][0] > RECEIPT_WINDOW_S:
            self.receipts.popleft()
        return sum(count for _, count in self.receipts)

    def take_permit(self, now: float) -> bool:
        """Use up the permit that expires first, if there is one."""
        if not self.count_permits(now):
            return False
        self.permits[0][1] -= 1
        if not self.permits[0][1]:
            self.permits.popleft()
        return True

    def estimate_need(self, now: float) -> int:
        """Return the number of permits that the near future needs."""
        while self.wanted_at and now - self.wanted_at[0] > DEMAND_WINDOW_S:
            self.wanted_at.popleft()
        return math.floor(len(self.wanted_at) * PREFETCH_S / DEMAND_WINDOW_S)

    def refill_offline(self, now: float, rate_per_s: float) -> None:
        """Add to the requests that may be sent without a leader."""
        if self.offline_at is not None:
            added = (now - self.offline_at) * rate_per_s
            self.offline_tokens = min(1.0, self.offline_tokens + added)
        self.offline_at = now


class LimitedTargets:
    """The targets that limit their rate, and the permits of this entry."""

    def __init__(self) -> None:
        self._limits: dict[ids.TargetId, _Limit] = {}
        self._heard_at = float('-inf')
        self._ask_pause_until = float('-inf')
        self.version = 0
        self.senders = 1

    # Knowledge of the limits

    def get_rate(self, target: ids.TargetId) -> float | None:
        """Return the limit of a target in requests/s, or None."""
        limit = self._limits.get(target)
        return None if limit is None else limit.rate_per_s

    def count(self) -> int:
        """Return the number of targets with a limit."""
        return len(self._limits)

    def note_answer(
        self,
        now: float,
        observed: _observed.ObservedTarget,
        rate_per_s: float | None,
    ) -> bool:
        """Record that an answer named a limit, or none any more.

        Returns whether that is a change.
        """
        limit = self._limits.get(observed.target)
        if limit is None:
            if rate_per_s is None:
                return False
            self._limits[observed.target] = _Limit(
                born_ms=observed.record.born_ms,
                rate_per_s=rate_per_s,
                noted_at=now,
                change=1,
            )
            return True
        limit.noted_at = now
        known = None if limit.has_ended else limit.rate_per_s
        if rate_per_s == known:
            return False
        limit.change += 1
        limit.has_ended = rate_per_s is None
        if rate_per_s is not None:
            limit.rate_per_s = rate_per_s
        return True

    def apply(
        self,
        now: float,
        version: int,
        limits: Iterable[wire.TargetRateLimit],
        born_ms: Mapping[ids.TargetId, int],
    ) -> None:
        """Apply the limits that the leader knows at `version`.

        What this entry has seen and not yet reported counts more, and after
        a change of the leader all of it is reported again. `born_ms` tells
        the current incarnations of the targets.
        """
        bits = _permit_issuer.CHANGE_BITS
        if version >> bits != self.version >> bits:
            for limit in self._limits.values():
                limit.change += 1
        self.version = version
        listed = set()
        for row in limits:
            if row.rate_per_s is None or (
                born_ms.get(row.target, row.born_ms) != row.born_ms
            ):
                continue
            listed.add(row.target)
            self._apply_row(now, row, row.rate_per_s)
        for target, limit in list(self._limits.items()):
            is_reported = limit.change == limit.reported_change
            if is_reported and target not in listed:
                del self._limits[target]

    def _apply_row(
        self, now: float, row: wire.TargetRateLimit, rate_per_s: float
    ) -> None:
        limit = self._limits.get(row.target)
        if limit is None:
            limit = self._limits[row.target] = _Limit(
                born_ms=row.born_ms, rate_per_s=rate_per_s, noted_at=now
            )
        if limit.change == limit.reported_change:
            limit.rate_per_s = rate_per_s
            limit.has_ended = row.is_ending

    def retain(self, now: float, born_ms: Mapping[ids.TargetId, int]) -> None:
        """Forget targets that have been replaced, or absent for long."""
        for target, limit in list(self._limits.items()):
            if not limit.is_kept(now, born_ms.get(target)):
                del self._limits[target]

    def list_unreported(
        self, now: float
    ) -> tuple[list[wire.TargetRateLimit], dict[ids.TargetId, int]]:
        """Return what the leader does not know, and its changes.

        The changes are for `mark_reported`, once the leader has answered.
        """
        rows = []
        changes = {}
        for target, limit in self._limits.items():
            if limit.change == limit.reported_change:
                continue
            changes[target] = limit.change
            rows.append(
                wire.TargetRateLimit(
                    target=target,
                    born_ms=limit.born_ms,
                    rate_per_s=(None if limit.has_ended else limit.rate_per_s),
                    age_s=round(now - limit.noted_at, 3),
                )
            )
        return rows, changes

    def mark_reported(self, changes: Mapping[ids.TargetId, int]) -> None:
        """Record that the leader has got these changes."""
        for target, change in changes.items():
            limit = self._limits.get(target)
            if limit is not None:
                limit.reported_change = change

    # Contact to the leader

    def note_leader(self, sent_at: float) -> None:
        """Record that the leader answered a message sent at `sent_at`."""
        if self.is_offline(sent_at):
            for limit in self._limits.values():
                limit.offline_at = None
        self._heard_at = max(self._heard_at, sent_at)

    def is_offline(self, now: float) -> bool:
        """Return whether this entry has lost contact to the leader."""
        return now - self._heard_at > OFFLINE_AFTER_S

    # Permits

    def may_send(
        self, now: float, target: ids.TargetId, may_ask: bool = True
    ) -> bool:
        """Return whether a request may be sent to a target.

        Without a permit it may if the leader can be asked for one, and
        `may_ask` is set.
        """
        limit = self._limits.get(target)
        if limit is None or limit.count_permits(now):
            return True
        if self.is_offline(now):
            return self._may_send_offline(now, limit)
        if may_ask and self._may_ask(now, limit):
            return True
        limit.wanted_at.append(now)
        return False

    def _may_ask(self, now: float, limit: _Limit) -> bool:
        return now >= limit.denied_until and now >= self._ask_pause_until

    def _may_send_offline(self, now: float, limit: _Limit) -> bool:
        if limit.has_ended:
            return True
        limit.refill_offline(
            now,
            _permit_issuer.compute_offline_rate(
                limit.rate_per_s, self.senders
            ),
        )
        return limit.offline_tokens >= 1.0

    def note_wanted(self, now: float, target: ids.TargetId) -> None:
        """Count a request that is to be sent to a target."""
        limit = self._limits.get(target)
        if limit is not None:
            limit.wanted_at.append(now)

    def try_take(self, now: float, target: ids.TargetId) -> bool:
        """Use up a permit for a target, if one is needed; False without."""
        limit = self._limits.get(target)
        if limit is None:
            return True
        if limit.take_permit(now):
            return True
        if not self.is_offline(now) or not self._may_send_offline(now, limit):
            return False
        limit.offline_tokens = max(0.0, limit.offline_tokens - 1.0)
        return True

    def needs_permits(self, now: float, target: ids.TargetId) -> bool:
        """Return whether to ask for more permits before they run out."""
        limit = self._limits.get(target)
        return (
            limit is not None
            and self._may_ask(now, limit)
            and not self.is_offline(now)
            and 2 * limit.count_permits(now) < limit.estimate_need(now)
        )

    def list_asks(
        self, now: float, waiting: Mapping[ids.TargetId, int]
    ) -> list[wire.PermitAsk]:
        """Return what to ask the leader for.

        `waiting` counts the requests that wait for a permit. Targets that
        will need permits soon are asked for with them.
        """
        asks = []
        for target, limit in self._limits.items():
            count = waiting.get(target, 0)
            if now >= limit.denied_until:
                need = limit.estimate_need(now) - limit.count_permits(now)
                count = max(count, need)
            if count > 0:
                asks.append(wire.PermitAsk(target, min(count, MAX_ASK)))
        return asks

    def add_permits(
        self,
        now: float,
        sent_at: float,
        asks: Sequence[wire.PermitAsk],
        counts: Sequence[int],
    ) -> None:
        """Add the permits that the leader issued for asks at `sent_at`."""
        expires_at = sent_at + _permit_issuer.PERMIT_LIFETIME_S
        for ask, count in zip(asks, counts, strict=False):
            limit = self._limits.get(ask.target)
            if limit is None:
                continue
            if count < ask.count:
                limit.denied_until = _find_next_interval(now)
            if count > 0:
                limit.receive(now, expires_at, count)

    def note_failed_ask(self, now: float) -> None:
        """Record that no leader answered an ask."""
        self._ask_pause_until = now + FAILED_ASK_PAUSE_S

    def drop_permits(self) -> None:
        """Drop all permits, after a pause of the process."""
        for limit in self._limits.values():
            limit.permits.clear()

    def compute_supply(
        self, now: float, targets: Collection[ids.TargetId]
    ) -> float | None:
        """Return the requests/s that these targets lately took from here.

        That is at least this entry's even part of the limits. None if none of
        the targets has a limit.
        """
        limits = [
            self._limits[target]
            for target in targets
            if target in self._limits
        ]
        if not limits:
            return None
        received = sum(limit.count_received(now) for limit in limits)
        even_part = sum(
            max(limit.rate_per_s, _permit_issuer.MIN_RATE_PER_S)
            for limit in limits
        ) / max(1, self.senders)
        return max(received / RECEIPT_WINDOW_S, even_part)


def _find_next_interval(now: float) -> float:
    return (math.floor(now / ASK_INTERVAL_S) + 1) * ASK_INTERVAL_S
