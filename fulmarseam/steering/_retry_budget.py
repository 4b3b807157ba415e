"""A bound on retries."""

# A few retries are possible after a quiet time.
MAX_TOKENS = 10.0


class RetryBudget:
    """Bounds the retries of a pool to a share of its requests."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = 1.0

    def count_request(self) -> None:
        """Count a request that is no retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + self.ratio)

    def try_acquire(self) -> bool:
        """Take the budget of one retry; False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
