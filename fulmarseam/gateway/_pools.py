"""The targets of one pool, as a gateway observes them."""

from fulmarseam import steering

# The failure rate of a pool is computed again after this time.
FAILURE_RATE_INTERVAL_S = 0.2


class Pool:
    """The targets of one pool that may get new requests."""

    def __init__(self, retry_budget: steering.WindowedRetryBudget) -> None:
        self.retry_budget = retry_budget
        # The refused retries that log lines have counted.
        self.refused_logged = 0
        self.targets: list[steering.ObservedTarget] = []
        self.statistics = steering.PoolStatistics()
        self.object_demand = steering.ObjectDemand()
        self.reachability = steering.Reachability()
        # Whether a target has reported how long work takes on its host.
        self.reports_pace = False
        self._failure_rate = 0.0
        self._failure_rate_at = float('-inf')

    def get_failure_rate(self, now: float) -> float:
        """Return the mean failure rate of the targets."""
        if now - self._failure_rate_at >= FAILURE_RATE_INTERVAL_S:
            self._failure_rate_at = now
            self._failure_rate = steering.compute_mean_failure_rate(
                self.targets
            )
        return self._failure_rate
