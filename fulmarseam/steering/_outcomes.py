"""Outcomes of an entry's own requests, by target."""

from collections.abc import Sequence
import dataclasses
import math
from typing import NamedTuple

from fulmarseam import ids

# Half-life of the count and the failure share of a target's outcomes.
OUTCOME_HALF_LIFE_S = 10.0
# Weight of a new outcome in the moving averages.
OUTCOME_WEIGHT = 0.1
OUTLIER_FAILURE_SHARE = 0.5
OUTLIER_MIN_COUNT = 3.0
# Time for which a target is ejected.
EJECTION_S = 5.0
MAX_EJECTED_SHARE = 1.0 / 3.0


@dataclasses.dataclass(slots=True)
class TargetOutcomes:
    """Recent outcomes of requests to a target.

    `latency_s` and `failure_share` are exponential moving averages. `count`
    is the number of recent outcomes, halved each half-life. `last_outcome_at`
    is the time of the last outcome and `decayed_at` that of the last decay.
    """

    latency_s: float = 0.0
    failure_share: float = 0.0
    count: float = 0.0
    last_outcome_at: float = 0.0
    decayed_at: float = 0.0
    ejected_until: float = 0.0


class Outliers(NamedTuple):
    """Targets of a pool that fail too many requests.

    `doubtful` lists those beyond the share of the pool that may be ejected;
    they are used if no healthy target has a free slot. `is_inconclusive` is
    set when so many targets fail that the fault is more likely in the
    measurement or the network path; load is then spread evenly.
    """

    ejected: frozenset[ids.TargetId]
    doubtful: frozenset[ids.TargetId]
    is_inconclusive: bool


class OutcomeTable:
    """Moving averages of the latency and failures of targets."""

    def __init__(self) -> None:
        self._outcomes: dict[ids.TargetId, TargetOutcomes] = {}

    def record_success(
        self, now: float, target: ids.TargetId, latency_s: float
    ) -> None:
        """Count a response that took `latency_s` seconds."""
        outcomes = self._count_outcome(now, target)
        is_first = outcomes.latency_s == 0.0
        weight = 1.0 if is_first else OUTCOME_WEIGHT
        outcomes.latency_s += weight * (latency_s - outcomes.latency_s)
        outcomes.failure_share -= OUTCOME_WEIGHT * outcomes.failure_share

    def record_failure(self, now: float, target: ids.TargetId) -> None:
        """Count a broken connection, a timeout or a shed request."""
        outcomes = self._count_outcome(now, target)
        outcomes.failure_share += max(OUTCOME_WEIGHT, 1.0 / outcomes.count) * (
            1.0 - outcomes.failure_share
        )

    def get(self, now: float, target: ids.TargetId) -> TargetOutcomes:
        """Return the outcomes on a target, decayed to `now`."""
        outcomes = self._outcomes.get(target)
        if outcomes is None:
            return TargetOutcomes()
        _decay(now, outcomes)
        return outcomes

    def forget(self, target: ids.TargetId) -> None:
        """Drop the outcomes of a target that left or restarted."""
        self._outcomes.pop(target, None)

    def detect_outliers(
        self, now: float, targets: Sequence[ids.TargetId]
    ) -> Outliers:
        """Return the targets of a pool to eject for a while.

        At most a third of the pool is ejected, in order of the failure
        share. If more than half of the targets fail, none is ejected.
        """
        outlying = [
            target for target in targets if self._is_outlier(now, target)
        ]
        if 2 * len(outlying) > len(targets):
            return Outliers(frozenset(), frozenset(), True)
        limit = math.floor(len(targets) * MAX_EJECTED_SHARE)
        outlying.sort(
            key=lambda target: self._outcomes[target].failure_share,
            reverse=True,
        )
        return Outliers(
            frozenset(outlying[:limit]), frozenset(outlying[limit:]), False
        )

    def _is_outlier(self, now: float, target: ids.TargetId) -> bool:
        outcomes = self._outcomes.get(target)
        if outcomes is None:
            return False
        if outcomes.ejected_until > now:
            return True
        _decay(now, outcomes)
        if (
            outcomes.count < OUTLIER_MIN_COUNT
            or outcomes.failure_share < OUTLIER_FAILURE_SHARE
            or outcomes.last_outcome_at <= outcomes.ejected_until
        ):
            return False
        outcomes.ejected_until = now + EJECTION_S
        return True

    def _count_outcome(
        self, now: float, target: ids.TargetId
    ) -> TargetOutcomes:
        outcomes = self._outcomes.get(target)
        if outcomes is None:
            outcomes = self._outcomes[target] = TargetOutcomes(decayed_at=now)
        _decay(now, outcomes)
        outcomes.count += 1.0
        outcomes.last_outcome_at = now
        return outcomes


def _decay(now: float, outcomes: TargetOutcomes) -> None:
    elapsed = now - outcomes.decayed_at
    if elapsed <= 0.0:
        return
    factor = 0.5 ** (elapsed / OUTCOME_HALF_LIFE_S)
    outcomes.count *= factor
    outcomes.failure_share *= factor
    outcomes.decayed_at = now
