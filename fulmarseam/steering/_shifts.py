"""Limits on the traffic that shifts move to another region."""

from collections.abc import Iterable

from fulmarseam import ids
from fulmarseam import wire

# Limits the burst after a time without a usable target in the destination.
MAX_CREDIT = 10.0


class ShiftCredit:
    """Credit of one entry for one shift.

    Each arriving request adds percent/100, and each placement in the other
    region costs 1. The credit starts at zero, so the placements of an entry
    never exceed the capped share of its arrivals, nor does the sum over all
    entries.
    """

    def __init__(self) -> None:
        self.credit = 0.0

    def count_arrival(self, percent: float) -> None:
        """Count an arriving request while `percent` of them may be moved."""
        self.credit = min(MAX_CREDIT, self.credit + percent / 100.0)

    def has_credit(self) -> bool:
        """Return whether a request may be placed in the other region."""
        return self.credit >= 1.0

    def try_acquire(self) -> bool:
        """Use the credit of one placement; return False if there is none."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def refund(self) -> None:
        """Give back the credit of a placement that sent nothing."""
        self.credit = min(MAX_CREDIT, self.credit + 1.0)


class ShiftLimiter:
    """Limits the placements of an entry in other regions by shift credits.

    It applies the shifts that start in the region of the entry::

        limiter.update(shifts)
        limiter.count_arrival(pool)
        choice = choose_target(
            view, ...,
            preferred_region=limiter.get_preferred_region(pool),
            blocked_regions=limiter.list_blocked_regions(pool))
        limiter.try_acquire(pool, choice.region)
    """

    def __init__(self, region: ids.RegionName) -> None:
        self._region = region
        self._credits: dict[str, ShiftCredit] = {}
        self._shifts: dict[ids.PoolName, dict[ids.RegionName, wire.Shift]] = {}

    def update(self, shifts: Iterable[wire.Shift]) -> None:
        """Set the shifts of the configuration in force.

        Only active and held shifts apply; a held shift keeps its percentage.
        """
        self._shifts = {}
        for shift in shifts:
            if shift.from_region == self._region and _is_in_force(shift):
                pool = self._shifts.setdefault(shift.pool, {})
                pool[shift.to_region] = shift
        names = {
            shift.name
            for pool in self._shifts.values()
            for shift in pool.values()
        }
        self._credits = {
            name: self._credits.get(name, ShiftCredit()) for name in names
        }

    def count_arrival(self, pool: ids.PoolName) -> None:
        """Count the arrival of a request for the pool."""
        for shift in self._shifts.get(pool, {}).values():
            percent = min(shift.percent, shift.cap_percent)
            self._credits[shift.name].count_arrival(percent)

    def get_preferred_region(
        self, pool: ids.PoolName
    ) -> ids.RegionName | None:
        """Return the region that the next request should be moved to."""
        shifts = self._shifts.get(pool)
        if not shifts:
            return None
        region, shift = max(
            shifts.items(),
            key=lambda item: self._credits[item[1].name].credit,
        )
        return region if self._credits[shift.name].has_credit() else None

    def list_blocked_regions(
        self, pool: ids.PoolName
    ) -> frozenset[ids.RegionName]:
        """Return the regions that no request of the pool may be moved to."""
        return frozenset(
            region
            for region, shift in self._shifts.get(pool, {}).items()
            if not self._credits[shift.name].has_credit()
        )

    def try_acquire(self, pool: ids.PoolName, region: ids.RegionName) -> bool:
        """Use credit for a placement; return False if it is not allowed."""
        shift = self._shifts.get(pool, {}).get(region)
        return shift is None or self._credits[shift.name].try_acquire()

    def refund(self, pool: ids.PoolName, region: ids.RegionName) -> None:
        """Give back the credit of a placement that sent nothing."""
        shift = self._shifts.get(pool, {}).get(region)
        if shift is not None:
            self._credits[shift.name].refund()


def _is_in_force(shift: wire.Shift) -> bool:
    return shift.state in (wire.ShiftState.ACTIVE, wire.ShiftState.HELD)
