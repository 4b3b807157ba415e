"""Tests of the placement of requests for objects, in virtual time."""

import unittest

from fulmarseam import steering
from tests import catalog_fixtures as fixtures
from tests import object_scenarios

KNOWN_S = 0.3
UNKNOWN_S = 0.9


def make_targets(
    count: int, unknown_s: float = UNKNOWN_S
) -> list[steering.ObservedTarget]:
    """Return targets of two slots with measured run times."""
    statistics = steering.PoolStatistics()
    for _ in range(50):
        statistics.note_run(steering.RunKind.FIRST_CHOICE, KNOWN_S)
        statistics.note_run(steering.RunKind.OTHER, unknown_s)
    return [
        steering.ObservedTarget(
            fixtures.make_record(f't{number}'),
            False,
            statistics,
            service_s=KNOWN_S,
        )
        for number in range(count)
    ]


def place(
    targets: list[steering.ObservedTarget],
    home_count: int = 1,
    time_left_s: float = 3.0,
    now: float = 0.0,
) -> steering.Placement:
    """Place a request of the highest priority for an object."""
    return steering.place_object(
        now, targets, lambda item: True, 0, time_left_s, home_count
    )


class WaitTest(unittest.TestCase):
    """Guards against runs without knowledge of the object without need."""

    def test_the_home_is_used_while_waiting_costs_less(self) -> None:
        targets = make_targets(3)
        for in_flight in (0, 2, 4):
            targets[0].in_flight = in_flight
            self.assertIs(targets[0], place(targets).target)

    def test_the_next_target_learns_when_waiting_costs_more(self) -> None:
        targets = make_targets(3)
        targets[0].in_flight = 7
        placement = place(targets)
        self.assertIs(targets[1], placement.target)
        self.assertIs(steering.RunKind.OTHER, placement.run_kind)

    def test_a_next_target_that_mostly_knows_is_used_earlier(self) -> None:
        """The run time of others tells how often they know the object."""
        targets = make_targets(3, unknown_s=0.36)
        targets[0].in_flight = 3
        self.assertIs(targets[1], place(targets).target)

    def test_no_third_target_learns(self) -> None:
        targets = make_targets(3)
        targets[0].in_flight = targets[1].in_flight = 6
        self.assertIsNot(targets[2], place(targets).target)

    def test_a_slow_host_counts_by_its_run_time(self) -> None:
        targets = make_targets(2)
        for number in range(50):
            targets[0].work_factor.note(number / 100, 400)
        self.assertIs(targets[1], place(targets, now=0.5).target)

    def test_a_home_in_another_region_beats_a_run_without_knowledge(
        self,
    ) -> None:
        targets = make_targets(2)
        targets[0].is_remote = True
        self.assertIs(targets[0], place(targets).target)

    def test_refused_if_no_run_ends_before_the_deadline(self) -> None:
        targets = make_targets(2)
        for observed in targets:
            observed.in_flight = 5
        self.assertIsNone(place(targets, time_left_s=0.7).target)

    def test_a_short_queue_at_a_start_teaches_no_other_target(self) -> None:
        """Until runs are measured, all seem to take alike."""
        targets = [
            steering.ObservedTarget(fixtures.make_record(name, slots=6), False)
            for name in 'ab'
        ]
        targets[0].in_flight = 6
        self.assertIs(targets[0], place(targets).target)


class DemandTest(unittest.TestCase):
    """Guards against targets of an object that do not follow its demand."""

    SENDERS = 15

    def count(self, demand: steering.ObjectDemand, now: float) -> int:
        rate = demand.estimate_rate(now, 'a') * self.SENDERS
        return steering.count_homes(rate, KNOWN_S, 6)

    def test_a_popular_object_gets_more_targets_within_seconds(self) -> None:
        demand = steering.ObjectDemand()
        counts = []
        for number in range(60):
            demand.note(number / 5, 'a')
            counts.append(self.count(demand, number / 5))
        self.assertEqual(1, counts[4])
        self.assertGreater(counts[20], 1)
        self.assertGreater(counts[-1], 2)

    def test_it_keeps_them_for_a_while(self) -> None:
        demand = steering.ObjectDemand()
        for number in range(300):
            demand.note(number / 5, 'a')
        before = self.count(demand, 60.0)
        self.assertGreaterEqual(self.count(demand, 65.0), before - 1)
        self.assertGreater(self.count(demand, 65.0), 1)
        self.assertEqual(1, self.count(demand, 120.0))

    def test_single_requests_are_no_demand(self) -> None:
        """An entry among many sees few requests for an object."""
        demand = steering.ObjectDemand()
        demand.note(0.0, 'a')
        demand.note(0.1, 'a')
        self.assertEqual(0.0, demand.estimate_rate(0.1, 'a'))

    def test_number_of_targets_is_bounded(self) -> None:
        self.assertEqual(8, steering.count_homes(1e9, KNOWN_S, 6))
        self.assertEqual(1, steering.count_homes(0.0, KNOWN_S, 6))

    def test_memory_is_bounded(self) -> None:
        demand = steering.ObjectDemand()
        for number in range(10_000):
            demand.note(0.0, str(number))
        self.assertLessEqual(demand.count_objects(), 4_096)

    def test_homes_share_the_load(self) -> None:
        targets = make_targets(4)
        used = set()
        for _ in range(6):
            target = place(targets, home_count=3).target
            assert target is not None
            target.in_flight += 1
            used.add(target.target)
        self.assertEqual({'t0', 't1', 't2'}, used)


class SharedObjectsTest(unittest.TestCase):
    """Scenario: callers of all regions ask for the same 300 objects.

    Slots suffice only if most runs are at targets that know the object.
    Guards against regions that each teach targets of their own, and against
    an overload by runs without knowledge of the object.
    """

    def play(self, name: str, placement: str) -> tuple[float, float]:
        """Return the shares of known runs and of answers in time."""
        outcomes = object_scenarios.make_simulation(
            name, placement, duration_s=36.0
        ).run(object_scenarios.WARM_UP_S)
        return (
            outcomes.share_known(),
            outcomes.share_in_time(object_scenarios.OBJECTIVE_S),
        )

    def test_most_runs_are_known_in_each_scenario(self) -> None:
        for name, min_in_time in (
            ('popular object', 0.8),
            ('lost targets', 0.75),
            ('wave', 0.85),
        ):
            with self.subTest(scenario=name):
                known, in_time = self.play(name, 'adaptive')
                self.assertGreater(known, 0.9)
                self.assertGreater(in_time, min_in_time)

    def test_more_in_time_than_with_two_targets_for_each_region(self) -> None:
        _, fixed = self.play('wave', 'fixed')
        _, adaptive = self.play('wave', 'adaptive')
        self.assertGreater(adaptive, fixed + 0.1)


if __name__ == '__main__':
    unittest.main()
