"""How many entries share bounds, as the control members count them."""

# A member that has not answered for this long may have missed entries that
# started since, or still count some that have ended.
COUNT_AGE_S = 10.0


class SenderCount:
    """The largest recent count of any member; times in seconds.

    A member that is cut off from some entries counts too few, and with too
    few each entry takes more than its share.
    """

    def __init__(self) -> None:
        self.senders = 1
        self._counts: dict[str, tuple[float, int]] = {}

    def record(
        self, now: float, member: str, count: int, is_partial: bool
    ) -> None:
        """Record the count of a member.

        One that has just started has not heard of all entries; its partial
        count may raise the number but not lower it.
        """
        if is_partial and count < self.senders:
            return
        self._counts[member] = (now, count)
        recent = {
            name: (counted_at, found)
            for name, (counted_at, found) in self._counts.items()
            if now - counted_at <= COUNT_AGE_S
        }
        self._counts = recent
        self.senders = max(1, *(found for _, found in recent.values()))
