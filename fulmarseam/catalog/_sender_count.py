"""How many entries share bounds, as the control members count them."""

import collections

# A member that has not answered for this long may have missed entries that
# started since, or still count some that have ended.
COUNT_AGE_S = 10.0


class SenderCount:
    """The largest recent count of any member; times in seconds.

    A member that is cut off from some entries counts too few, and with too
    few each entry takes more than its share. Entries that have ended count
    for `window_s`, in which what they took of a bound over that time still
    counts against it.
    """

    def __init__(self, window_s: float = COUNT_AGE_S) -> None:
        self.senders = 1
        self._age_s = max(window_s, COUNT_AGE_S)
        # Time and count, each count smaller than the one before it.
        self._counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record(self, now: float, count: int, is_partial: bool) -> None:
        """Record the count of a member.

        One that has just started has not heard of all entries; its partial
        count may raise the number but not lower it.
        """
        if is_partial and count < self.senders:
            return
        counts = self._counts
        while counts and counts[-1][1] <= count:
            counts.pop()
        counts.append((now, count))
        while now - counts[0][0] > self._age_s:
            counts.popleft()
        self.senders = max(1, counts[0][1])
