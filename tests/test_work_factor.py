"""Tests of load reports that tell how long work takes at a target now."""

import random
import unittest

from fulmarseam import steering
from tests import catalog_fixtures as fixtures
from tests import load_simulation


def make_target(name: str) -> steering.ObservedTarget:
    """Return a target with two slots that usually takes 0.2 s."""
    observed = steering.ObservedTarget(fixtures.make_record(name), False)
    for number in range(50):
        steering.note_answer(observed, number / 100, 0.2, 0.0)
    observed.statistics.note_run(steering.RunKind.FIRST_CHOICE, 0.2)
    return observed


class ParsingTest(unittest.TestCase):
    """Guards against reports that are lost or believed by their form."""

    def test_three_or_four_figures(self) -> None:
        self.assertEqual(
            steering.LoadReport(3, 1, 6, 100),
            steering.parse_load_report(b'3,1,6'),
        )
        self.assertEqual(
            steering.LoadReport(3, 1, 6, 140),
            steering.parse_load_report(b'3, 1,6,\t140 '),
        )

    def test_malformed_figures_are_refused(self) -> None:
        for report in (
            b'',
            b'1,2',
            b'1,2,3,4,5',
            b'1,2,3,',
            b'1,2,3,-100',
            b'-1,2,3',
            b'1,2,3,nan',
            b'1,2,3,inf',
            b'1,2,3,1e2',
            b'1,2,3,1_0',
            b'1,2,3,+100',
            b'1,2,3,99999999999999999999',
            b'1,2,3,\xb2',
            b'1,2,3\n,4',
        ):
            with (
                self.subTest(report=report),
                self.assertRaises(ValueError),
            ):
                steering.parse_load_report(report)


class WorkFactorTest(unittest.TestCase):
    """Guards against a factor that follows each report or a false one."""

    def test_usual_without_reports(self) -> None:
        self.assertEqual(1.0, steering.WorkFactor().get(5.0))

    def test_single_reports_are_smoothed(self) -> None:
        rng = random.Random(1)
        factor = steering.WorkFactor()
        found = []
        for number in range(400):
            factor.note(number / 20, rng.choice((100, 200)))
            found.append(factor.get(number / 20))
        settled = found[100:]
        self.assertAlmostEqual(1.5, sum(settled) / len(settled), delta=0.1)
        self.assertLess(max(settled) - min(settled), 0.95)

    def test_false_values_are_bounded(self) -> None:
        for percent, bound in ((0, 0.5), (999_999, 4.0)):
            factor = steering.WorkFactor()
            for number in range(100):
                factor.note(number / 100, percent)
            self.assertAlmostEqual(bound, factor.get(1.0), delta=0.05)

    def test_an_old_factor_counts_less(self) -> None:
        factor = steering.WorkFactor()
        for number in range(100):
            factor.note(number / 100, 300)
        self.assertGreater(factor.get(1.0), 2.8)
        self.assertLess(factor.get(3.0), 2.1)
        self.assertLess(factor.get(11.0), 1.1)

    def test_a_report_without_the_figure_means_usual(self) -> None:
        factor = steering.WorkFactor()
        for number in range(50):
            factor.note(number / 100, 300)
        for number in range(50):
            report = steering.parse_load_report(b'1,0,6')
            factor.note(0.5 + number / 100, report.work_percent)
        self.assertAlmostEqual(1.0, factor.get(1.0), delta=0.01)


class SlowHostTest(unittest.TestCase):
    """Scenario: a target's host is slow and the target reports that.

    Guards against a target that counts as silent or fails attempts because
    of a slowness that its reports explain, and against requests that are
    admitted with the usual run time.
    """

    def setUp(self) -> None:
        self.slow = make_target('a')
        for number in range(50):
            self.slow.work_factor.note(0.5 + number / 100, 300)

    def test_it_is_not_silent_within_the_explained_time(self) -> None:
        usual = make_target('b')
        for observed in (self.slow, usual):
            steering.note_start(observed, 1.0)
        self.assertTrue(steering.is_silent(usual, 2.3))
        self.assertFalse(steering.is_silent(self.slow, 2.3))
        self.assertFalse(steering.is_silent(self.slow, 3.6))
        self.assertTrue(steering.is_silent(self.slow, 4.2))

    def test_attempts_wait_longer(self) -> None:
        usual = make_target('b')
        self.assertAlmostEqual(
            3 * steering.compute_attempt_timeout(usual, 30.0, 1.0),
            steering.compute_attempt_timeout(self.slow, 30.0, 1.0),
            delta=0.2,
        )

    def test_a_fast_host_does_not_shorten_timeouts(self) -> None:
        fast = make_target('b')
        before = steering.compute_attempt_timeout(fast, 30.0, 1.0)
        for number in range(50):
            fast.work_factor.note(0.5 + number / 100, 50)
        self.assertEqual(
            before, steering.compute_attempt_timeout(fast, 30.0, 1.0)
        )

    def test_the_expected_time_grows(self) -> None:
        placement = self.place([self.slow], 2.0)
        self.assertAlmostEqual(
            0.6, steering.estimate_time(placement), delta=0.05
        )

    def test_no_queue_that_ends_after_the_deadline(self) -> None:
        self.slow.in_flight = 3
        self.assertIsNone(self.place([self.slow], 0.9).target)
        usual = make_target('b')
        usual.in_flight = 3
        self.assertIs(usual, self.place([usual], 0.9).target)

    def test_the_usual_run_time_is_learned(self) -> None:
        """Guards against slowness that counts twice."""
        for number in range(50):
            now = 1.0 + number / 100
            self.slow.work_factor.note(now, 300)
            steering.note_answer(self.slow, now, 0.6, 0.0)
        self.assertAlmostEqual(0.2, self.slow.service_s, delta=0.02)

    def place(
        self, targets: list[steering.ObservedTarget], time_left_s: float
    ) -> steering.Placement:
        return steering.place_request(
            1.0, targets, lambda item: True, 2, time_left_s
        )


class LoadBalancerTest(unittest.TestCase):
    """Guards against reports of four figures that entries do not use."""

    def setUp(self) -> None:
        self.simulation = load_simulation.Simulation(
            load_simulation.Scenario(
                targets=(4, 0, 0), entries=3, objects=1, rate=lambda r, t: 1.0
            )
        )
        self.entry = self.simulation.entries[0]
        self.load_balancer = self.entry.load_balancer

    def report(self, name: str, report: bytes, count: int = 20) -> None:
        for observed in self.load_balancer.get_targets(load_simulation.POOL):
            if observed.target == name:
                for _ in range(count):
                    self.load_balancer.record_load_report(
                        1.0, observed, report
                    )

    def place(self) -> str:
        placement = self.load_balancer.place(
            1.0,
            self.entry.mirror.routes['r'],
            load_simulation.POOL,
            None,
            (),
            2.0,
        )
        assert placement.target is not None
        return str(placement.target.target)

    def test_hosts_that_are_fast_now_are_preferred(self) -> None:
        for name in ('ost-0', 'ost-1', 'ost-3'):
            self.report(name, b'0,0,6,250')
        for _ in range(6):
            self.assertEqual('ost-2', self.place())

    def test_a_slow_host_is_used_once_the_others_are_busy(self) -> None:
        self.report('ost-0', b'0,0,6,150')
        self.assertIn('ost-0', [self.place() for _ in range(23)])

    def test_load_of_four_figures_counts(self) -> None:
        for name in ('ost-0', 'ost-1', 'ost-3'):
            self.report(name, b'4,0,6,100', 1)
        self.assertEqual('ost-2', self.place())

    def test_an_unreadable_report_changes_nothing(self) -> None:
        self.report('ost-0', b'6,9,6,nan')
        self.assertEqual('ost-0', self.place())


if __name__ == '__main__':
    unittest.main()
