"""A bound on repeats in any window of time."""

import collections


class WindowedRetryBudget:
    """Repeats of one entry for one pool; times in seconds.

    In any window the repeats stay within `ratio` x the requests of that
    window plus `slack`. Each entry has a part of the slack, so the sum over
    all entries stays within the whole bound.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.slack = slack
        self._ratio = ratio
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._forget(now)

    def try_acquire(self, now: float) -> bool:
        """Count a repeat if it is within the bound."""
        self._forget(now)
        bound = self._ratio * len(self._requests) + self.slack
        if len(self._repeats) + 1 > bound:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        before = now - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < before:
                times.popleft()
