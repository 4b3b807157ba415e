"""What an entry has seen of targets by itself."""

from collections.abc import Sequence
import dataclasses
import math
from typing import NamedTuple

from fulmarseam import ids

# An outcome counts half after this time without newer ones.
HALF_LIFE_S = 10.0
# Weight of one new outcome among the recent ones.
STEP = 0.1
BAD_FAILURE_SHARE = 0.5
BAD_MIN_COUNT = 3.0
# An ejected target gets new requests again after this time.
EJECTION_S = 5.0
MAX_EJECTED_SHARE = 1.0 / 3.0


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Recent outcomes on a target.

    `latency_s` and `failure` are exponentially weighted; `weight` is the
    number of recent outcomes, halved each half-life. `seen_at` is the time
    of the last outcome and `decayed_at` that of the last decay.
    """

    latency_s: float = 0.0
    failure: float = 0.0
    weight: float = 0.0
    seen_at: float = 0.0
    decayed_at: float = 0.0
    ejected_until: float = 0.0


class Judgement(NamedTuple):
    """What own outcomes say about the targets of a pool.

    `doubtful` are those that look bad but exceed the part of the pool that
    may be ejected; they are used when no good target has a free slot.
    With `is_suspect`, so many targets look bad that the fault is more
    likely in the measurement or the path; load is then spread evenly.
    """

    ejected: frozenset[ids.TargetId]
    doubtful: frozenset[ids.TargetId]
    is_suspect: bool


class OutcomeTable:
    """Exponentially weighted latency and failures of targets."""

    def __init__(self) -> None:
        self._outcomes: dict[ids.TargetId, Outcomes] = {}

    def record_success(
        self, now: float, target: ids.TargetId, latency_s: float
    ) -> None:
        """Count an answer that took `latency_s` seconds."""
        seen = self._advance(now, target)
        fresh = seen.latency_s == 0.0
        step = 1.0 if fresh else STEP
        seen.latency_s += step * (latency_s - seen.latency_s)
        seen.failure -= STEP * seen.failure

    def record_failure(self, now: float, target: ids.TargetId) -> None:
        """Count a broken connection, a timeout or a shed request."""
        seen = self._advance(now, target)
        seen.failure += max(STEP, 1.0 / seen.weight) * (1.0 - seen.failure)

    def get(self, now: float, target: ids.TargetId) -> Outcomes:
        """Return the outcomes with their weight decayed to `now`."""
        seen = self._outcomes.get(target)
        if seen is None:
            return Outcomes()
        _decay(now, seen)
        return seen

    def forget(self, target: ids.TargetId) -> None:
        """Drop what was seen, after the target left or restarted."""
        self._outcomes.pop(target, None)

    def judge(self, now: float, targets: Sequence[ids.TargetId]) -> Judgement:
        """Return which targets of a pool to leave out for a while.

        At most a third of the pool is left out, the worst first. When more
        than half look bad, nothing is.
        """
        bad = [target for target in targets if self._is_bad(now, target)]
        if 2 * len(bad) > len(targets):
            return Judgement(frozenset(), frozenset(), True)
        limit = math.floor(len(targets) * MAX_EJECTED_SHARE)
        bad.sort(
            key=lambda target: self._outcomes[target].failure, reverse=True
        )
        return Judgement(frozenset(bad[:limit]), frozenset(bad[limit:]), False)

    def _is_bad(self, now: float, target: ids.TargetId) -> bool:
        seen = self._outcomes.get(target)
        if seen is None:
            return False
        if seen.ejected_until > now:
            return True
        _decay(now, seen)
        if (
            seen.weight < BAD_MIN_COUNT
            or seen.failure < BAD_FAILURE_SHARE
            or seen.seen_at <= seen.ejected_until
        ):
            return False
        seen.ejected_until = now + EJECTION_S
        return True

    def _advance(self, now: float, target: ids.TargetId) -> Outcomes:
        seen = self._outcomes.get(target)
        if seen is None:
            seen = self._outcomes[target] = Outcomes(decayed_at=now)
        _decay(now, seen)
        seen.weight += 1.0
        seen.seen_at = now
        return seen


def _decay(now: float, seen: Outcomes) -> None:
    elapsed = now - seen.decayed_at
    if elapsed <= 0.0:
        return
    factor = 0.5 ** (elapsed / HALF_LIFE_S)
    seen.weight *= factor
    seen.failure *= factor
    seen.decayed_at = now
