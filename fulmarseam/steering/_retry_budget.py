"""Retry budget as a token bucket."""

# Allows for a few retries after a time without requests.
MAX_TOKENS = 10.0


class RetryBudget:
    """Limits the retries of a pool to a share of its requests."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = 1.0

    def count_request(self) -> None:
        """Count a request that is not a retry."""
        self._tokens = min(MAX_TOKENS, self._tokens + self.ratio)

    def try_acquire(self) -> bool:
        """Use the budget of one retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
