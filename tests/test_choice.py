"""Tests of the choice of a target and of own outcomes."""

import collections
import random
import unittest

from fulmarseam import membership
from fulmarseam import steering
from fulmarseam import wire
from tests import allocator_fixtures

PLACES = {
    't0': ('a', 'a1'),
    't1': ('a', 'a1'),
    't2': ('a', 'a2'),
    't3': ('b', 'b1'),
    't4': ('c', 'c1'),
}


class Chooser:
    """A pool view of an entry in domain a1 with grants on all targets."""

    def __init__(
        self,
        places: dict[str, tuple[str, str]],
        slots: int = 4,
        **pool: object,
    ) -> None:
        self.now = 10.0
        self.rng = random.Random(5)
        self.outcomes = steering.OutcomeTable()
        self.book = steering.SlotTracker()
        self.loads: dict[str, tuple[int, float]] = {}
        self.places = places
        self.view = steering.PoolView(
            wire.Pool(name='p', **pool), steering.Locality('a', 'a1')
        )
        grants = [
            wire.SlotGrant(
                target=name, slots=slots, connections=slots, lease_ms=3_000
            )
            for name in places
        ]
        response = allocator_fixtures.make_response(1, 1, grants)
        self.book.apply(self.now, self.now, response)

    def refresh(self) -> None:
        rows = []
        for name, (region, domain) in self.places.items():
            load = None
            load_at = None
            if name in self.loads:
                busy, age = self.loads[name]
                load = wire.TargetLoad(busy_slots=busy)
                load_at = self.now - age
            report = allocator_fixtures.make_target(
                name, region, slots=4, failure_domain=domain, load=load
            )
            rows.append(membership.MirroredTarget(report, 0.0, load_at))
        self.view.refresh(self.now, rows, self.outcomes)

    def choose(self, **options: object) -> str | None:
        choice = steering.choose_target(
            self.view, self.now, self.book, self.rng, **options
        )
        return None if choice is None else choice.target

    def count(self, tries: int = 200) -> collections.Counter[str | None]:
        self.refresh()
        return collections.Counter(self.choose() for _ in range(tries))

    def fill(self, *targets: str) -> None:
        for target in targets:
            while self.book.try_acquire(self.now, target):
                pass


class OrderTest(unittest.TestCase):
    """Guards against requests that travel without need or leave."""

    def setUp(self) -> None:
        self.chooser = Chooser(PLACES)
        self.chooser.refresh()

    def test_order_is_domain_region_remote(self) -> None:
        chooser = self.chooser
        self.assertEqual({'t0', 't1'}, set(chooser.count()))
        chooser.fill('t0', 't1')
        self.assertEqual({'t2'}, set(chooser.count()))
        chooser.fill('t2')
        self.assertEqual({'t3', 't4'}, set(chooser.count()))
        self.assertEqual('t4', chooser.choose(blocked_regions={'b'}))
        self.assertIsNone(chooser.choose(blocked_regions={'b', 'c'}))

    def test_remote_is_marked(self) -> None:
        chooser = self.chooser
        chooser.fill('t0', 't1', 't2')
        choice = steering.choose_target(
            chooser.view, chooser.now, chooser.book, chooser.rng
        )
        assert choice is not None
        self.assertTrue(choice.is_remote)

    def test_local_only_pool_never_leaves_its_region(self) -> None:
        chooser = Chooser(PLACES, local_only=True)
        chooser.refresh()
        chooser.fill('t0', 't1', 't2')
        self.assertIsNone(chooser.choose())

    def test_shift_goes_first_unless_blocked(self) -> None:
        chooser = self.chooser
        self.assertEqual('t3', chooser.choose(preferred_region='b'))
        blocked = chooser.choose(preferred_region='b', blocked_regions={'b'})
        self.assertIn(blocked, {'t0', 't1'})
        chooser.fill('t3')
        self.assertIn(chooser.choose(preferred_region='b'), {'t0', 't1'})

    def test_avoided_targets_are_left_out(self) -> None:
        self.assertEqual('t1', self.chooser.choose(avoided_targets={'t0'}))
        self.assertEqual(
            't2', self.chooser.choose(avoided_targets={'t0', 't1'})
        )

    def test_ejected_target_comes_after_those_of_the_region(self) -> None:
        chooser = self.chooser
        for _ in range(8):
            chooser.outcomes.record_failure(chooser.now, 't0')
        chooser.fill('t1')
        self.assertEqual({'t2'}, set(chooser.count()))

    def test_doubtful_target_of_a_small_pool_comes_last(self) -> None:
        chooser = Chooser({'t0': ('a', 'a1'), 't1': ('a', 'a2')})
        for _ in range(8):
            chooser.outcomes.record_failure(chooser.now, 't0')
        # A third of two targets is none, so nothing may be ejected.
        judged = chooser.outcomes.judge(chooser.now, list(chooser.places))
        self.assertEqual((frozenset(), frozenset({'t0'}), False), judged)
        self.assertEqual({'t1'}, set(chooser.count()))
        chooser.fill('t1')
        self.assertEqual({'t0'}, set(chooser.count()))

    def test_expired_grants_are_not_used(self) -> None:
        self.chooser.now += 2.8
        self.assertIsNone(self.chooser.choose())


class ScoreTest(unittest.TestCase):
    """Guards against reports that mislead and targets that fail."""

    def make_chooser(self, count: int, **pool: object) -> Chooser:
        places = {f't{number}': ('a', 'a1') for number in range(count)}
        return Chooser(places, **pool)

    def test_equal_targets_share_the_load(self) -> None:
        counts = self.make_chooser(4).count(400)
        self.assertEqual(4, len(counts))
        self.assertGreater(min(counts.values()), 60)

    def test_least_used_share_is_chosen(self) -> None:
        chooser = self.make_chooser(2, latency_weight=0.0)
        chooser.book.try_acquire(chooser.now, 't0')
        self.assertEqual({'t1'}, set(chooser.count()))

    def test_fresh_report_counts(self) -> None:
        chooser = self.make_chooser(2)
        chooser.loads = {'t0': (4, 0.0), 't1': (0, 0.0)}
        self.assertEqual({'t1'}, set(chooser.count()))

    def test_old_report_is_hardly_trusted(self) -> None:
        chooser = self.make_chooser(2)
        chooser.loads = {'t0': (4, 8.0), 't1': (0, 8.0)}
        counts = chooser.count()
        self.assertGreater(counts['t0'], 50)

    def test_missing_report_is_the_mean_and_not_idle(self) -> None:
        chooser = self.make_chooser(3)
        chooser.loads = {'t0': (4, 0.0), 't1': (2, 0.0)}
        self.assertEqual({'t1'}, set(chooser.count()))
        chooser.loads = {'t0': (4, 0.0), 't1': (4, 0.0)}
        counts = chooser.count(300)
        self.assertGreater(min(counts[f't{n}'] for n in range(3)), 50)

    def test_own_outcomes_come_before_reports(self) -> None:
        chooser = self.make_chooser(3, latency_weight=1.0)
        for _ in range(30):
            chooser.outcomes.record_success(10.0, 't0', 0.4)
            chooser.outcomes.record_success(10.0, 't1', 0.1)
            chooser.outcomes.record_success(10.0, 't2', 0.1)
        chooser.loads = {'t0': (0, 0.0), 't1': (4, 0.0), 't2': (4, 0.0)}
        self.assertNotIn('t0', chooser.count())

    def test_latency_weight_decides_on_slow_targets(self) -> None:
        shares = {}
        for weight in (0.0, 1.0):
            chooser = self.make_chooser(3, latency_weight=weight)
            for _ in range(30):
                chooser.outcomes.record_success(10.0, 't0', 0.2)
                chooser.outcomes.record_success(10.0, 't1', 0.1)
                chooser.outcomes.record_success(10.0, 't2', 0.1)
            shares[weight] = chooser.count()['t0']
        self.assertEqual(0, shares[1.0])
        self.assertGreater(shares[0.0], 30)

    def test_failing_target_is_ejected_and_comes_back(self) -> None:
        chooser = self.make_chooser(4)
        for _ in range(8):
            chooser.outcomes.record_failure(10.0, 't0')
        self.assertNotIn('t0', chooser.count())
        chooser.fill('t1', 't2', 't3')
        self.assertEqual('t0', chooser.choose())
        chooser.now = 10.0
        names = list(chooser.places)
        judged = chooser.outcomes.judge(15.1, names)
        self.assertEqual(frozenset(), judged.ejected)
        chooser.outcomes.record_failure(15.2, 't0')
        judged = chooser.outcomes.judge(15.3, names)
        self.assertEqual({'t0'}, judged.ejected)

    def test_at_most_a_third_is_ejected(self) -> None:
        table = steering.OutcomeTable()
        names = [f't{number}' for number in range(9)]
        for number, name in enumerate(names[:4]):
            for _ in range(8 + number):
                table.record_failure(1.0, name)
            table.record_success(1.0, name, 0.1)
        judged = table.judge(1.0, names)
        self.assertFalse(judged.is_suspect)
        self.assertEqual(3, len(judged.ejected))

    def test_many_bad_targets_make_the_measurement_suspect(self) -> None:
        chooser = self.make_chooser(4)
        for name in ('t0', 't1', 't2'):
            for _ in range(8):
                chooser.outcomes.record_failure(10.0, name)
        judged = chooser.outcomes.judge(10.0, list(chooser.places))
        self.assertEqual((frozenset(), frozenset(), True), judged)
        counts = chooser.count(400)
        self.assertGreater(min(counts[f't{n}'] for n in range(4)), 60)

    def test_few_failures_eject_nothing(self) -> None:
        table = steering.OutcomeTable()
        table.record_failure(1.0, 't0')
        table.record_failure(1.0, 't0')
        names = ['t0', 't1', 't2']
        self.assertEqual(frozenset(), table.judge(1.0, names).ejected)

    def test_forgotten_outcomes_are_gone(self) -> None:
        table = steering.OutcomeTable()
        table.record_success(1.0, 't0', 0.5)
        self.assertEqual(0.5, table.get(1.0, 't0').latency_s)
        table.forget('t0')
        self.assertEqual(0.0, table.get(1.0, 't0').latency_s)
