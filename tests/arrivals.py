"""Counts of what reaches a target, against the limit that it names."""

import bisect

# Time over which the requests that reach a target are counted.
WINDOW_S = 4.0
# A target that names a limit gets no more than this many times what the
# limit allows, and some requests on top.
MAX_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5
# How long after a limit was named it must be kept.
SETTLE_S = 3.0


def compute_bound(rate_per_s: float) -> float:
    """Return the most requests that a target may get in one window."""
    return MAX_FACTOR * rate_per_s * WINDOW_S + MAX_EXTRA_REQUESTS


def count(times: list[float], since: float, until: float) -> int:
    """Return the number of ascending times in an interval."""
    return bisect.bisect_left(times, until) - bisect.bisect_left(times, since)


def find_peak(
    times: list[float],
    since: float = float('-inf'),
    until: float = float('inf'),
    window_s: float = WINDOW_S,
) -> int:
    """Return the most times in a window that starts in an interval.

    `times` are in ascending order.
    """
    return max(
        (
            count(times, start, start + window_s)
            for start in times
            if since <= start < until
        ),
        default=0,
    )
