"""Tests of region shares that follow the measured demand."""

import itertools
import math
import random
import unittest

from fulmarseam import catalog
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import wire
from tests import catalog_fixtures as fixtures
from tests import object_scenarios

OST, WEST, SUED = (fixtures.region(name) for name in ('ost', 'west', 'sued'))
SLOTS = {OST: 24, WEST: 108, SUED: 108}


def compare(
    before: dict[ids.RegionName, float], after: dict[ids.RegionName, float]
) -> float:
    """Return the share of the requests that change their region."""
    return sum(abs(after[region] - before[region]) for region in SLOTS) / 2


class WaveTest(unittest.TestCase):
    """Scenario: the load of each region is a wave of 55%, a third apart.

    Each poll tells the requests in flight with the noise of few requests.
    Guards against shares that follow the waves or the noise, and against more
    than 0.15 of a region's requests changing their region within 2 s.
    """

    def play(
        self, own: ids.RegionName, means: dict[ids.RegionName, float]
    ) -> list[dict[ids.RegionName, float]]:
        """Return the shares of a region at the end of each window of 2 s."""
        rng = random.Random(3)
        demand = steering.RegionDemand()
        shares = steering.DemandShares(own, 3)
        shares.set_slots(0.0, SLOTS, {})
        found = []
        for number in range(600):
            now = number / 5
            loads = {}
            for phase, (region, mean) in enumerate(means.items()):
                angle = 2 * math.pi * (now / 36.0 + phase / 3)
                level = mean * (1 + 0.55 * math.sin(angle))
                loads[region] = max(0, round(rng.gauss(level, level**0.5)))
            demand.note(now, loads)
            shares.step(now, demand.compute_shares())
            if number % 10 == 0:
                found.append({region: shares.get(region) for region in SLOTS})
        return found

    def test_few_requests_change_their_region(self) -> None:
        for own in SLOTS:
            found = self.play(own, {OST: 60.0, WEST: 60.0, SUED: 60.0})
            for before, after in itertools.pairwise(found):
                self.assertLessEqual(compare(before, after), 0.05 + 1e-9)

    def test_shares_stay_in_most_windows(self) -> None:
        """Guards against objects that move with each wave."""
        for own in SLOTS:
            found = self.play(own, {OST: 60.0, WEST: 60.0, SUED: 60.0})
            changes = [
                compare(before, after) > 0.0
                for before, after in itertools.pairwise(found)
            ]
            self.assertLess(sum(changes), len(changes) / 3)

    def test_a_lasting_difference_counts(self) -> None:
        """A region with a tenth of the slots sends most of the load."""
        last = self.play(OST, {OST: 160.0, WEST: 20.0, SUED: 20.0})[-1]
        self.assertAlmostEqual(0.1 / 0.8, last[OST], delta=0.08)
        self.assertAlmostEqual(1.0, sum(last.values()))
        equal = steering.compute_region_shares(OST, SLOTS, 3)
        self.assertGreater(equal[OST], 0.29)


class SlotsTest(unittest.TestCase):
    """Guards against shares that ignore lost targets or missing reports."""

    def setUp(self) -> None:
        self.shares = steering.DemandShares(WEST, 3)
        self.shares.set_slots(0.0, SLOTS, {})

    def test_equal_loads_are_assumed_at_first(self) -> None:
        equal = steering.compute_region_shares(WEST, SLOTS, 3)
        for region in SLOTS:
            self.assertAlmostEqual(equal[region], self.shares.get(region))

    def test_lost_slots_count_at_once(self) -> None:
        before = self.shares.get(WEST)
        self.shares.set_slots(1.0, {**SLOTS, WEST: 54}, {})
        self.assertAlmostEqual(
            before / 2 / (1.0 - before / 2), self.shares.get(WEST)
        )

    def test_a_lost_region_gets_nothing(self) -> None:
        self.shares.set_slots(1.0, {OST: 24, SUED: 108}, {})
        self.assertAlmostEqual(
            1.0, self.shares.get(OST) + self.shares.get(SUED)
        )

    def test_without_reports_the_shares_stay(self) -> None:
        """As under a leader of the release before, or without a leader."""
        self.assertFalse(self.shares.step(10.0, {}))

    def test_no_step_within_a_window(self) -> None:
        demand = {OST: 0.1, WEST: 0.8, SUED: 0.1}
        self.assertTrue(self.shares.step(2.0, demand))
        self.assertFalse(self.shares.step(3.9, demand))
        self.assertTrue(self.shares.step(4.0, demand))

    def test_a_region_without_requests_keeps_a_share(self) -> None:
        demand = steering.RegionDemand()
        demand.note(1.0, {OST: 0, WEST: 50, SUED: 50})
        self.assertGreater(demand.compute_shares()[OST], 0.0)

    def test_no_requests_at_all_are_no_demand(self) -> None:
        demand = steering.RegionDemand()
        demand.note(1.0, {OST: 0})
        self.assertEqual({}, demand.compute_shares())


class RegionLoadsTest(unittest.TestCase):
    """Guards against demand that counts dead entries or absurd reports."""

    def test_requests_in_flight_are_added_up_by_region(self) -> None:
        loads = catalog.SharedLoads()
        for now, entry, region, in_flight in (
            (0.0, 'e1', OST, 5),
            (2.0, 'e2', OST, 2),
            (2.0, 'e3', WEST, 3),
            (2.0, 'e4', WEST, -9),
        ):
            loads.record(
                now,
                wire.EntryPoll(
                    entry=ids.EntryId(entry),
                    address='',
                    region=region,
                    failure_domain=fixtures.domain('d'),
                    incarnation=1,
                    state=wire.EntryState.READY,
                    observations=[
                        wire.TargetObservation(
                            fixtures.target_id('a'), in_flight
                        )
                    ],
                ),
            )
        self.assertEqual({OST: 2, WEST: 3}, loads.sum_by_region(2.0))


class UnequalDemandTest(unittest.TestCase):
    """Scenario: one region sends 0.8 of the load, with objects of its own.

    Guards against shares by equal loads, with which the slots of that region
    are overloaded for good.
    """

    def play(self, has_region_loads: bool) -> float:
        parts = dict(
            zip(('ost', 'west', 'sued'), (0.1, 0.8, 0.1), strict=True)
        )
        total = 1.6 * 240 / object_scenarios.UNKNOWN_RUN_S
        outcomes = object_scenarios.make_simulation(
            'own objects',
            'regional',
            rate=lambda region, now: total * parts[region],
            has_region_loads=has_region_loads,
            duration_s=36.0,
        ).run(object_scenarios.WARM_UP_S)
        return outcomes.share_in_time(object_scenarios.OBJECTIVE_S)

    def test_more_in_time_with_measured_demand(self) -> None:
        self.assertGreater(self.play(True), self.play(False))


if __name__ == '__main__':
    unittest.main()
