"""Retry budget over a sliding time window."""

import collections
from typing import NamedTuple


class BudgetUsage(NamedTuple):
    """The requests and retries of the last window, and the slack."""

    requests: int
    retries: int
    slack: float


class WindowedRetryBudget:
    """Limits the retries of one entry for one pool; times in seconds.

    In any window, the number of retries is at most `ratio` x the requests
    of that window + `slack`. Each entry has a share of the total slack, so
    that all entries together stay within the total limit. Before
    `slack_from` there is no slack: the process before this one may have used
    it within the same window.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        slack_from: float = float('-inf'),
    ) -> None:
        self.slack = slack
        self._slack_from = slack_from
        self._ratio = ratio
        self._window_s = window_s
        self._request_times: collections.deque[float] = collections.deque()
        self._retry_times: collections.deque[float] = collections.deque()
        # Retries since the start, for logs and metrics.
        self.granted = 0
        self.refused = 0

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._request_times.append(now)
        self._drop_expired(now)

    def try_acquire(self, now: float) -> bool:
        """Count a retry if it is within the limit."""
        self._drop_expired(now)
        limit = self._ratio * len(self._request_times) + self._get_slack(now)
        if len(self._retry_times) + 1 > limit:
            self.refused += 1
            return False
        self.granted += 1
        self._retry_times.append(now)
        return True

    def get_usage(self, now: float) -> BudgetUsage:
        """Return what the last window has used of the budget."""
        self._drop_expired(now)
        return BudgetUsage(
            len(self._request_times),
            len(self._retry_times),
            self._get_slack(now),
        )

    def _get_slack(self, now: float) -> float:
        return self.slack if now >= self._slack_from else 0.0

    def _drop_expired(self, now: float) -> None:
        window_start = now - self._window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < window_start:
                times.popleft()
