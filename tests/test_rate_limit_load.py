"""Tests of the load on targets that limit their rate.

All scenarios are played in virtual time, without a network.
"""

import unittest

from fulmarseam import steering
from fulmarseam import wire
from tests import arrivals
from tests import catalog_fixtures as fixtures
from tests import permit_simulation

NAMED_AT_S = 1.0
SETTLED_AT_S = NAMED_AT_S + arrivals.SETTLE_S
DURATION_S = 30.0
# Share of the limit that must be used while callers ask for more.
MIN_USED = 0.8
LIMITS = (0.5, 4.2, 7.0, 50.0, 500.0)
SIZES = (7, 79)


def spread(total_per_s: float, entries: int) -> permit_simulation.Rate:
    """Return a load that reaches all entries evenly."""
    return lambda number, now: total_per_s / entries


def focus(total_per_s: float, entries: int) -> permit_simulation.Rate:
    """Return a load that reaches one entry only."""
    return lambda number, now: total_per_s if number == 0 else 0.0


def move(total_per_s: float, entries: int) -> permit_simulation.Rate:
    """Return a load that moves to another entry each 3 s."""
    return lambda number, now: (
        total_per_s if int(now / 3.0) % entries == number else 0.0
    )


def play(
    rate_per_s: float,
    entries: int,
    make_demand=spread,
    factor: float = 4.0,
    faults=lambda simulation: None,
    seed: int = 1,
) -> permit_simulation.Simulation:
    """Play callers that want `factor` times what the target takes."""
    simulation = permit_simulation.Simulation(
        rate_per_s,
        entries,
        make_demand(factor * rate_per_s, entries),
        DURATION_S,
        seed=seed,
    )
    faults(simulation)
    simulation.run()
    return simulation


class LimitCase(unittest.TestCase):
    """Checks what a target with a limit got."""

    def check_bound(
        self,
        simulation: permit_simulation.Simulation,
        rate_per_s: float,
        since: float = SETTLED_AT_S,
        until: float = float('inf'),
    ) -> None:
        self.assertLessEqual(
            arrivals.find_peak(simulation.target.arrivals, since, until),
            arrivals.compute_bound(rate_per_s),
        )

    def compute_used(
        self,
        simulation: permit_simulation.Simulation,
        rate_per_s: float,
        since: float = SETTLED_AT_S,
        until: float = DURATION_S,
    ) -> float:
        """Return the share of the limit that was used."""
        count = arrivals.count(simulation.target.arrivals, since, until)
        return count / (rate_per_s * (until - since))


class DemandTest(LimitCase):
    """Scenario: callers ask for four times what a target takes.

    They come through all entries, through one, or move between them. Guards
    against a sum over all entries above the limit, and against a limit that
    is shared out where nobody asks.
    """

    def test_no_more_than_the_limit_arrives(self) -> None:
        for entries in SIZES:
            for rate_per_s in LIMITS:
                for make_demand in (spread, focus, move):
                    with self.subTest(
                        entries=entries,
                        rate_per_s=rate_per_s,
                        load=make_demand.__name__,
                    ):
                        simulation = play(rate_per_s, entries, make_demand)
                        self.check_bound(simulation, rate_per_s)
                        self.assertGreaterEqual(
                            self.compute_used(simulation, rate_per_s),
                            MIN_USED,
                        )


class FaultTest(LimitCase):
    """Scenario: entries or the leader fail while a target needs relief.

    Guards against more than the limit through permits that outlive what they
    were issued for, and against a target that is left unused.
    """

    def test_entries_die_and_start_again(self) -> None:
        def fail(simulation) -> None:
            simulation.at(8.0, simulation.set_flag, range(3), 'is_dead', True)
            simulation.at(
                14.0, simulation.set_flag, range(3), 'is_dead', False
            )

        for rate_per_s in LIMITS:
            with self.subTest(rate_per_s=rate_per_s):
                simulation = play(rate_per_s, 7, faults=fail)
                self.check_bound(simulation, rate_per_s)

    def test_one_dead_entry_of_seven_leaves_the_limit_used(self) -> None:
        def fail(simulation) -> None:
            simulation.at(8.0, simulation.set_flag, range(1), 'is_dead', True)

        simulation = play(7.0, 7, faults=fail)
        self.check_bound(simulation, 7.0)
        self.assertGreaterEqual(
            self.compute_used(simulation, 7.0, since=10.0), MIN_USED
        )

    def test_entries_are_paused_and_go_on(self) -> None:
        def fail(simulation) -> None:
            for start in (8.0, 14.0):
                simulation.at(
                    start, simulation.set_flag, range(4), 'is_paused', True
                )
                simulation.at(
                    start + 3.0,
                    simulation.set_flag,
                    range(4),
                    'is_paused',
                    False,
                )

        for rate_per_s in LIMITS:
            with self.subTest(rate_per_s=rate_per_s):
                simulation = play(rate_per_s, 7, faults=fail)
                self.check_bound(simulation, rate_per_s)

    def test_entries_are_cut_off_from_the_leader(self) -> None:
        """Any number of them, also all."""

        def fail(simulation, cut: int) -> None:
            simulation.at(8.0, simulation.set_flag, range(cut), 'is_cut', True)
            simulation.at(
                18.0, simulation.set_flag, range(cut), 'is_cut', False
            )

        for entries in SIZES:
            for rate_per_s in LIMITS:
                for cut in (1, entries // 2, entries):
                    with self.subTest(
                        entries=entries, rate_per_s=rate_per_s, cut=cut
                    ):
                        simulation = play(
                            rate_per_s,
                            entries,
                            faults=lambda simulation, cut=cut: fail(
                                simulation, cut
                            ),
                        )
                        self.check_bound(simulation, rate_per_s)

    def test_seven_entries_without_a_leader_go_on_serving(self) -> None:
        simulation = play(
            7.0,
            7,
            faults=lambda simulation: simulation.at(
                8.0, simulation.stop_leader
            ),
        )
        self.check_bound(simulation, 7.0)
        self.assertGreater(self.compute_used(simulation, 7.0, 12.0), 0.3)

    def test_the_leader_changes(self) -> None:
        def fail(simulation) -> None:
            for start in (8.0, 15.0, 18.0):
                simulation.at(start, simulation.stop_leader)
                simulation.at(start + 0.8, simulation.change_leader)
            simulation.at(22.0, simulation.change_leader)

        for entries in SIZES:
            for rate_per_s in LIMITS:
                with self.subTest(entries=entries, rate_per_s=rate_per_s):
                    simulation = play(rate_per_s, entries, faults=fail)
                    self.check_bound(simulation, rate_per_s)
                    used = self.compute_used(simulation, rate_per_s, 24.0)
                    self.assertGreaterEqual(used, MIN_USED)

    def test_random_faults(self) -> None:
        for seed in range(100):
            with self.subTest(seed=seed):
                rate_per_s = LIMITS[seed % len(LIMITS[:4])]
                simulation = play(
                    rate_per_s, 7, faults=add_random_faults, seed=seed
                )
                self.check_bound(simulation, rate_per_s)


def add_random_faults(simulation: permit_simulation.Simulation) -> None:
    """Cut off, pause and kill entries and replace the leader at random."""
    rng = simulation.rng
    for _ in range(8):
        start = rng.uniform(4.0, 24.0)
        end = start + rng.uniform(0.2, 5.0)
        first = rng.randrange(7)
        numbers = range(first, min(7, first + rng.randrange(1, 5)))
        name = rng.choice(('is_cut', 'is_paused', 'is_dead'))
        simulation.at(start, simulation.set_flag, numbers, name, True)
        simulation.at(end, simulation.set_flag, numbers, name, False)
    for _ in range(2):
        start = rng.uniform(4.0, 24.0)
        simulation.at(start, simulation.stop_leader)
        simulation.at(start + rng.uniform(0.5, 3.0), simulation.change_leader)


def name_limit_later(rate_per_s: float | None):
    """Return a change of the limit 10 s after the start."""
    return lambda simulation: simulation.at(
        10.0, simulation.name_limit, rate_per_s
    )


class ChangedLimitTest(LimitCase):
    """Scenario: a target changes its mind, or another one takes its place.

    Guards against a limit that lags behind, that stays for ever, or whose end
    sends all callers to the target at once.
    """

    def test_a_lowered_limit(self) -> None:
        for entries in SIZES:
            with self.subTest(entries=entries):
                simulation = play(
                    20.0,
                    entries,
                    faults=name_limit_later(4.0),
                )
                self.check_bound(simulation, 20.0, until=9.0)
                self.check_bound(simulation, 4.0, 10.0 + arrivals.SETTLE_S)
                used = self.compute_used(
                    simulation, 4.0, 10.0 + arrivals.SETTLE_S
                )
                self.assertGreaterEqual(used, MIN_USED)

    def test_a_raised_limit(self) -> None:
        simulation = play(
            7.0,
            7,
            faults=name_limit_later(20.0),
        )
        self.check_bound(simulation, 20.0)
        self.assertGreaterEqual(
            self.compute_used(simulation, 20.0, 12.0), MIN_USED
        )

    def test_the_end_of_a_limit(self) -> None:
        for entries in SIZES:
            with self.subTest(entries=entries):
                simulation = play(
                    7.0,
                    entries,
                    faults=name_limit_later(None),
                )
                times = simulation.target.arrivals
                self.assertLess(arrivals.count(times, 10.5, 11.0), 14)
                demand = 4.0 * 7.0
                self.assertGreater(
                    arrivals.count(times, 15.0, 20.0), 0.9 * 5.0 * demand
                )
                self.assertEqual(simulation.entries[0].limited.count(), 0)

    def test_a_limit_that_is_named_again_while_it_ends(self) -> None:
        def change(simulation) -> None:
            simulation.at(10.0, simulation.name_limit, None)
            simulation.at(11.0, simulation.name_limit, 7.0)

        simulation = play(7.0, 7, faults=change)
        self.check_bound(simulation, 7.0, 11.0 + arrivals.SETTLE_S)

    def test_a_replaced_target_has_no_limit(self) -> None:
        simulation = play(
            7.0,
            7,
            faults=lambda simulation: simulation.at(
                10.0, simulation.replace_target, None
            ),
        )
        times = simulation.target.arrivals
        self.assertGreater(arrivals.count(times, 11.0, 15.0), 0.9 * 4 * 28.0)

    def test_a_replaced_target_names_a_limit_of_its_own(self) -> None:
        simulation = play(
            20.0,
            7,
            faults=lambda simulation: simulation.at(
                10.0, simulation.replace_target, 5.0
            ),
        )
        self.check_bound(simulation, 5.0, 10.0 + arrivals.SETTLE_S)

    def test_a_target_that_takes_nothing_is_tried_now_and_then(self) -> None:
        def change(simulation) -> None:
            simulation.at(10.0, simulation.name_limit, 0.0)
            simulation.at(20.0, simulation.name_limit, None)

        simulation = play(7.0, 7, faults=change)
        self.check_bound(simulation, 0.0, 10.0 + arrivals.SETTLE_S, 16.0)
        self.assertEqual(simulation.entries[0].limited.count(), 0)


class ReturnTest(unittest.TestCase):
    """Scenario: more callers are refused than the limit will ever serve.

    Guards against callers that are all told to come back at the same time.
    """

    def test_callers_return_at_the_rate_at_which_they_are_served(self) -> None:
        times = steering.ReturnTimes()
        returns = [times.schedule(0.0, 0, 10.0) for _ in range(15)]
        self.assertEqual(returns[0], 0.1)
        self.assertAlmostEqual(returns[14], 1.5)
        self.assertEqual(len(set(returns)), 15)

    def test_an_excess_is_spread_within_the_longest_time(self) -> None:
        times = steering.ReturnTimes()
        returns = [times.schedule(0.0, 0, 10.0) for _ in range(200)]
        self.assertLessEqual(max(returns), 2.0)
        soon = sum(seconds <= 1.0 for seconds in returns)
        self.assertTrue(80 <= soon <= 120, soon)

    def test_a_higher_priority_does_not_wait_for_a_lower_one(self) -> None:
        times = steering.ReturnTimes()
        for _ in range(10):
            times.schedule(0.0, 2, 10.0)
        self.assertEqual(times.schedule(0.0, 0, 10.0), 0.1)
        self.assertGreater(times.schedule(0.0, 2, 10.0), 1.0)


class AbsentTargetTest(unittest.TestCase):
    """Guards against limits that end with a few lost announcements."""

    BORN_MS = 5
    RATE_PER_S = 2.0

    def setUp(self) -> None:
        self.target = fixtures.target_id('t')
        observed = steering.ObservedTarget(
            fixtures.make_record('t', born_ms=self.BORN_MS), is_remote=False
        )
        self.limited = steering.LimitedTargets()
        self.limited.note_answer(0.0, observed, self.RATE_PER_S)
        self.issuer = steering.PermitIssuer()
        self.issuer.start_term(0.0, 1)
        self.issuer.record(0.0, self.limited.list_unreported(0.0)[0])

    def play(self, now: float, born_ms: int | None) -> list[float | None]:
        """Apply the catalog; return what the entry and the leader know."""
        incarnations = {} if born_ms is None else {self.target: born_ms}
        self.limited.retain(now, incarnations)
        self.issuer.update(now, incarnations.get)
        rates = {
            row.target: row.rate_per_s for row in self.issuer.list_limits()
        }
        return [self.limited.get_rate(self.target), rates.get(self.target)]

    # A target that was back after a cut got more than its limit.
    def test_a_target_that_is_heard_again_keeps_its_limit(self) -> None:
        kept = [self.RATE_PER_S] * 2
        for now, born_ms in ((1.0, self.BORN_MS), (2.0, None), (60.0, None)):
            self.assertEqual(kept, self.play(now, born_ms))
        self.assertEqual(kept, self.play(61.0, self.BORN_MS))

    def test_a_leader_tells_entries_of_absent_targets(self) -> None:
        self.play(1.0, None)
        other = steering.LimitedTargets()
        other.apply(1.0, self.issuer.version, self.issuer.list_limits(), {})
        self.assertEqual(self.RATE_PER_S, other.get_rate(self.target))

    def test_another_incarnation_has_no_limit(self) -> None:
        self.play(1.0, None)
        self.assertEqual([None, None], self.play(2.0, self.BORN_MS + 1))

    def test_a_target_that_stays_away_is_forgotten(self) -> None:
        self.play(1.0, None)
        self.assertEqual([None, None], self.play(400.0, None))


class MemoryTest(unittest.TestCase):
    """Guards against an entry that grows while a target names a limit."""

    # What was received used to be forgotten only when a caller was refused.
    def test_permits_received_are_forgotten(self) -> None:
        limited = steering.LimitedTargets()
        target = steering.ObservedTarget(
            fixtures.make_record('t', born_ms=1), is_remote=False
        )
        limited.note_answer(0.0, target, 7.0)
        asks = [wire.PermitAsk(target.target, 1)]
        for step in range(1_000):
            now = step * 0.25
            limited.add_permits(now, now, asks, [1])
        [limit] = limited._limits.values()
        self.assertLess(len(limit.receipts), 20)
        self.assertLess(len(limit.permits), 20)
