"""Times at which refused callers should come back."""

# The soonest and the latest return. Callers whose turn would come later are
# spread over the same time again.
MIN_RETURN_S = 0.1
MAX_RETURN_S = 2.0


class ReturnTimes:
    """Spreads the returns of callers over the time that serving them takes.

    Callers that were refused together would otherwise return together, and
    most of them would be refused again. Those of a higher priority, which is
    a lower number, do not wait for those of a lower one.
    """

    def __init__(self) -> None:
        self._next_at: dict[int, float] = {}

    def schedule(self, now: float, priority: int, rate_per_s: float) -> float:
        """Return the seconds after which a caller should come back.

        `rate_per_s` is the number of callers that can be served each second.
        """
        start = max(
            next_at
            for other, next_at in [(priority, now), *self._next_at.items()]
            if other <= priority
        )
        if start - now > MAX_RETURN_S - MIN_RETURN_S:
            start = now
        self._next_at[priority] = start + 1.0 / rate_per_s
        return min(start - now + MIN_RETURN_S, MAX_RETURN_S)
