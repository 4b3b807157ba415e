"""Fairness between organisations while capacity is short.

Requests of a low priority are refused first. Under a lasting overload that
would leave an organisation with hardly any answer, so one whose requests are
served much less often than the mean of all gets the highest priority until it
has caught up.
"""

import dataclasses
import math

from fulmarseam import ids

# Requests of before this time count for a third. A load wave lasts tens of
# seconds, and a request up to two.
MEMORY_S = 3.0
# An organisation that is served less often than this share of the mean is
# preferred. None may fall below a quarter of the mean; what is preferred now
# is served a moment later.
FLOOR_SHARE = 0.5
# With fewer requests, weighted by age, the share tells nothing.
MIN_REQUESTS = 4.0
HIGHEST_PRIORITY = 0


@dataclasses.dataclass(slots=True)
class _Tally:
    """Ended requests and those served, with a weight that fades."""

    at: float
    ended: float = 0.0
    served: float = 0.0

    def fade(self, now: float) -> None:
        """Lower the weight of what has been counted before."""
        weight = math.exp(-max(0.0, now - self.at) / MEMORY_S)
        self.at = max(now, self.at)
        self.ended *= weight
        self.served *= weight

    def add(self, now: float, was_served: bool) -> None:
        """Count a request that has ended."""
        self.fade(now)
        self.ended += 1.0
        self.served += was_served


class FairPriorities:
    """The priorities of organisations at one entry."""

    def __init__(self) -> None:
        self._tallies: dict[ids.OrganisationName, _Tally] = {}
        self._all = _Tally(0.0)

    def note_end(
        self, now: float, name: ids.OrganisationName, was_served: bool
    ) -> None:
        """Count a request that was served, or refused for want of capacity.

        Refusals for other reasons, such as the quota, do not count.
        """
        tally = self._tallies.get(name)
        if tally is None:
            tally = self._tallies[name] = _Tally(now)
        tally.add(now, was_served)
        self._all.add(now, was_served)

    def retain(self, names: frozenset[ids.OrganisationName]) -> None:
        """Forget the other organisations."""
        for name in self._tallies.keys() - names:
            del self._tallies[name]

    def choose(
        self, now: float, name: ids.OrganisationName, priority: int
    ) -> int:
        """Return the priority of a request of an organisation."""
        tally = self._tallies.get(name)
        if tally is None or tally.ended == tally.served:
            return priority
        tally.fade(now)
        self._all.fade(now)
        if tally.ended < MIN_REQUESTS:
            return priority
        mean = self._all.served / self._all.ended
        if tally.served / tally.ended < FLOOR_SHARE * mean:
            return HIGHEST_PRIORITY
        return priority
