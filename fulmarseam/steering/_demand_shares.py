"""Shares of a region's objects by the measured demand of all regions.

The shares follow the demand in steps, so that few requests at a time change
the region in which they run, and stay while the demand changes little.
"""

from collections.abc import Mapping

from fulmarseam import ids
from fulmarseam.steering import _affinity

# Requests may change their region only by a share of 0.15 from one window of
# 2 s to the next. Most of that is left to requests that leave a full target.
STEP_INTERVAL_S = 2.0
MAX_STEP = 0.05
# Shares that differ by less stay as they are, as each change moves objects.
MIN_CHANGE = 0.08
# Weight of what was measured before halves in this time. Shares that follow
# waves of half a minute move objects to and fro: with 2 s fewer requests were
# answered in time than with equal shares (docs/design/objects.md).
DEMAND_HALF_LIFE_S = 20.0
# Lowest share of the whole demand that a region is taken to have. A region
# without requests has more soon enough.
MIN_DEMAND_SHARE = 0.02

Shares = dict[ids.RegionName, float]


class RegionDemand:
    """Smoothed requests in flight by the region of their entries."""

    def __init__(self) -> None:
        self._loads: Shares = {}
        self._noted_at = 0.0
        self._count = 0

    def note(self, now: float, loads: Mapping[ids.RegionName, int]) -> None:
        """Record the requests in flight of the entries of each region."""
        self._count += 1
        age_s = max(0.0, now - self._noted_at)
        # The plain mean at first, so that a single report counts little.
        weight = max(
            1.0 - 0.5 ** (age_s / DEMAND_HALF_LIFE_S), 1.0 / self._count
        )
        self._noted_at = now
        self._loads = {
            region: (1.0 - weight) * self._loads.get(region, 0.0)
            + weight * max(0, loads.get(region, 0))
            for region in self._loads.keys() | loads.keys()
        }

    def compute_shares(self) -> Shares:
        """Return the share of the demand of each region, or nothing."""
        total = sum(self._loads.values())
        if total <= 0.0:
            return {}
        bounded = {
            region: max(load / total, MIN_DEMAND_SHARE)
            for region, load in self._loads.items()
        }
        bounded_total = sum(bounded.values())
        return {
            region: share / bounded_total for region, share in bounded.items()
        }


class DemandShares:
    """The share of the own region's objects that each region serves."""

    def __init__(
        self, own_region: ids.RegionName, caller_region_count: int
    ) -> None:
        self._own_region = own_region
        self._caller_region_count = caller_region_count
        self._slots: dict[ids.RegionName, int] = {}
        self._shares: Shares = {}
        self._stepped_at = 0.0

    def set_slots(
        self,
        now: float,
        slots: Mapping[ids.RegionName, int],
        demand: Mapping[ids.RegionName, float],
    ) -> None:
        """Use the slots of a pool by region; they count at once.

        The shares for each slot are kept, unless the regions differ. The
        first shares assume that all regions send the same load.
        """
        if slots == self._slots:
            return
        scaled = {
            region: self._shares[region] * count / self._slots[region]
            for region, count in slots.items()
            if region in self._shares and self._slots.get(region)
        }
        total = sum(scaled.values())
        if scaled.keys() == slots.keys() and total > 0.0:
            self._shares = {
                region: share / total for region, share in scaled.items()
            }
        elif demand and self._shares:
            self._shares = _affinity.compute_demand_shares(
                self._own_region, slots, demand
            )
        else:
            self._shares = _affinity.compute_region_shares(
                self._own_region, slots, self._caller_region_count
            )
        self._slots = dict(slots)
        self._stepped_at = now

    def step(self, now: float, demand: Mapping[ids.RegionName, float]) -> bool:
        """Approach the shares by demand; return whether any changed."""
        if now - self._stepped_at < STEP_INTERVAL_S or not demand:
            return False
        wanted = _affinity.compute_demand_shares(
            self._own_region, self._slots, demand
        )
        change = _compare(self._shares, wanted)
        if change < MIN_CHANGE:
            return False
        self._stepped_at = now
        part = min(1.0, MAX_STEP / change)
        self._shares = {
            region: self._shares.get(region, 0.0) * (1.0 - part)
            + wanted.get(region, 0.0) * part
            for region in self._shares.keys() | wanted.keys()
        }
        return True

    def get(self, region: ids.RegionName) -> float:
        """Return the share of a region."""
        return self._shares.get(region, 0.0)


def _compare(before: Shares, after: Shares) -> float:
    """Return the share of the requests that change their region."""
    return 0.5 * sum(
        abs(after.get(region, 0.0) - before.get(region, 0.0))
        for region in before.keys() | after.keys()
    )
