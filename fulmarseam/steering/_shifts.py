"""Caps on traffic moved from one region to another."""

from collections.abc import Iterable

from fulmarseam import ids
from fulmarseam import wire

# Bounds the burst after a time without a usable target in the region.
MAX_CREDIT = 10.0


class ShiftCredit:
    """Credit of one entry for one shift.

    Every arrival adds percent/100 and every placement in the other region
    takes one. Credit starts at zero, so the placements of an entry never
    exceed the cap of its arrivals, and the sum over entries cannot either.
    """

    def __init__(self) -> None:
        self.credit = 0.0

    def count_arrival(self, percent: float) -> None:
        """Count an arrival while `percent` of them may move."""
        self.credit = min(MAX_CREDIT, self.credit + percent / 100.0)

    def has_credit(self) -> bool:
        """Return whether a request may be placed in the other region."""
        return self.credit >= 1.0

    def try_acquire(self) -> bool:
        """Take the credit for one placement; False when there is none."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def refund(self) -> None:
        """Return the credit of a placement that sent nothing."""
        self.credit = min(MAX_CREDIT, self.credit + 1.0)


class ShiftLimiter:
    """Credits of an entry for the shifts that start in its region.

    Example::

        book.update(shifts)
        book.count_arrival(pool)
        choice = choose_target(
            view, ..., preferred=book.get_preferred_region(pool),
            blocked=book.list_blocked_regions(pool))
        book.try_acquire(pool, choice.region)
    """

    def __init__(self, region: ids.RegionName) -> None:
        self._region = region
        self._credits: dict[str, ShiftCredit] = {}
        self._shifts: dict[ids.PoolName, dict[ids.RegionName, wire.Shift]] = {}

    def update(self, shifts: Iterable[wire.Shift]) -> None:
        """Take the shifts of the configuration in force.

        Shifts that are active or held bind; a held one keeps its percent.
        """
        self._shifts = {}
        for shift in shifts:
            if shift.from_region == self._region and _binds(shift):
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
        """Return the region to which the next request should move."""
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
        """Return the regions where no request of the pool may go now."""
        return frozenset(
            region
            for region, shift in self._shifts.get(pool, {}).items()
            if not self._credits[shift.name].has_credit()
        )

    def try_acquire(self, pool: ids.PoolName, region: ids.RegionName) -> bool:
        """Account for a placement; False when it must not be made."""
        shift = self._shifts.get(pool, {}).get(region)
        return shift is None or self._credits[shift.name].try_acquire()

    def refund(self, pool: ids.PoolName, region: ids.RegionName) -> None:
        """Return the credit of a placement that sent nothing."""
        shift = self._shifts.get(pool, {}).get(region)
        if shift is not None:
            self._credits[shift.name].refund()


def _binds(shift: wire.Shift) -> bool:
    return shift.state in (wire.ShiftState.ACTIVE, wire.ShiftState.HELD)
