"""Tests of the distribution of slots and of link rates."""

import unittest

from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.steering import _plan
from tests import allocator_fixtures
from tests import test_allocator_model as model


class PlanTest(unittest.TestCase):
    """Guards against slots that stay unused or go to the wrong targets."""

    def test_unused_share_moves_within_a_second(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.wanted['e0'] = 3
        cluster.run_takeover()
        cluster.wanted = {'e0': 0, 'e1': 3}
        cluster.run(1.2)
        self.assertEqual(3, cluster.sum_allowances('e1'))

    def test_recent_demand_does_not_starve_a_queue(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.wanted['e0'] = 3
        cluster.run_takeover()
        cluster.wanted = {'e0': 0, 'e1': 3}
        for name in ('e0', 'e1', 'e0', 'e0', 'e1'):
            cluster.now += 0.01
            cluster.sync(name)
        self.assertEqual(3, cluster.sum_allowances('e1'))

    def test_demand_decides_when_slots_are_few(self) -> None:
        places = {
            f'e{n}': (f'r{n % 3}', f'r{n % 3}{n // 3 % 2}') for n in range(7)
        }
        cluster = allocator_fixtures.Cluster(places)
        cluster.links = make_links(['r0', 'r1', 'r2'])
        cluster.reports = [
            allocator_fixtures.make_target(
                f't{n}',
                f'r{n % 3}',
                failure_domain=f'r{n % 3}{n // 3 % 2}',
            )
            for n in range(12)
        ]
        cluster.wanted.update({'e0': 30, 'e1': 3, 'e2': 3})
        cluster.run_takeover()
        self.assertEqual(30, cluster.sum_allowances('e0'))
        self.assertEqual(3, cluster.sum_allowances('e1'))
        cluster.wanted = dict.fromkeys(places, 9)
        cluster.run_takeover()
        totals = sorted(cluster.sum_allowances(name) for name in places)
        self.assertEqual([5, 5, 5, 5, 5, 5, 6], totals)

    def test_own_domain_and_region_come_first(self) -> None:
        cluster = allocator_fixtures.Cluster(
            {'e0': ('a', 'a1'), 'e1': ('b', 'b1')}
        )
        cluster.links = make_links(['a', 'b'])
        cluster.reports = [
            allocator_fixtures.make_target('t0', 'a', failure_domain='a1'),
            allocator_fixtures.make_target('t1', 'a', failure_domain='a2'),
            allocator_fixtures.make_target('t2', 'b', failure_domain='b1'),
        ]
        cluster.wanted['e0'] = 2
        cluster.wanted['e1'] = 2
        cluster.run_takeover()
        self.assertGreaterEqual(cluster.list_allowances('e0').get('t0', 0), 2)
        self.assertNotIn('t2', cluster.list_allowances('e0'))
        cluster.wanted['e0'] = 7
        cluster.run_takeover()
        self.assertEqual(
            {'t0': 3, 't1': 3, 't2': 1}, cluster.list_allowances('e0')
        )

    def plan_one(
        self, wanted: int, held: dict[str, int], in_flight: dict[str, int]
    ) -> dict[str, int]:
        """Return the plan of a draining entry, which gets no spare slots."""
        capacities = [
            _plan.TargetCapacity('t0', 'a', 'a2', 3),
            _plan.TargetCapacity('t1', 'a', 'a1', 3),
        ]
        claimant = _plan.Claimant(
            ('e0', 1), 'a', 'a1', wanted, wanted, True, held, in_flight
        )
        _plan.plan_pool([claimant], capacities, lambda near, far: False)
        return claimant.plan

    def test_demand_goes_to_the_own_domain_first(self) -> None:
        self.assertEqual({'t1': 2}, self.plan_one(2, {}, {}))
        self.assertEqual({'t1': 3, 't0': 1}, self.plan_one(4, {}, {}))

    def test_failing_target_is_granted_only_when_no_other_is_left(
        self,
    ) -> None:
        cluster = allocator_fixtures.Cluster({'e': ('a', 'a1')})
        cluster.reports = [
            allocator_fixtures.make_target('bad'),
            allocator_fixtures.make_target('good', slots=3),
        ]
        cluster.doubtful['e'] = ['bad']
        cluster.wanted['e'] = 2
        cluster.run(15.0)
        held = cluster.list_allowances('e')
        self.assertEqual(0, held.get('bad', 0))
        self.assertGreaterEqual(held['good'], 2)
        cluster.wanted['e'] = 5
        cluster.run(2.0)
        self.assertEqual(3, cluster.list_allowances('e')['good'])
        self.assertGreaterEqual(cluster.list_allowances('e')['bad'], 2)

    def test_slots_in_use_stay_on_their_targets(self) -> None:
        held = {'t0': 2, 't1': 2}
        self.assertEqual({'t0': 1}, self.plan_one(1, held, {'t0': 1}))

    def test_steady_demand_moves_nothing(self) -> None:
        cluster = allocator_fixtures.Cluster(
            {f'e{n}': ('a', f'a{n % 2}') for n in range(4)}
        )
        cluster.reports = [
            allocator_fixtures.make_target(f't{n}', slots=4) for n in range(4)
        ]
        cluster.wanted = {'e0': 2, 'e1': 3, 'e2': 1, 'e3': 2}
        cluster.run_takeover()
        held_by_round = []
        for wanted in (2, 1, 2, 1):
            cluster.wanted['e2'] = wanted
            cluster.run(2.0)
            held_by_round.append(
                {
                    name: cluster.list_allowances(name)
                    for name in cluster.locations
                }
            )
        self.assertEqual([held_by_round[0]] * 3, held_by_round[1:])

    def test_draining_entry_keeps_what_it_uses(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.wanted = {'e0': 2, 'e1': 0}
        cluster.run_takeover()
        self.assertTrue(cluster.trackers['e0'].try_acquire(cluster.now, 't0'))
        cluster.draining.add('e0')
        cluster.wanted['e0'] = 1
        cluster.run(2.0)
        self.assertEqual({'t0': 1}, cluster.list_allowances('e0'))

    def test_drained_and_leaving_targets_get_no_slots(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.wanted['e0'] = 3
        cluster.run_takeover()
        cluster.drains = [
            wire.Drain(
                name='d',
                scope=wire.DrainScope.DOMAIN,
                subject='a1',
                start=0.0,
                state=wire.DrainState.ACTIVE,
            )
        ]
        cluster.plan()
        self.assertTrue(cluster.leader.has_grant_changes(cluster.now, 'e0', 1))
        cluster.sync('e0')
        self.assertEqual({}, cluster.list_allowances('e0'))
        cluster.drains = []
        cluster.sync('e0')
        self.assertEqual({'t0': 3}, cluster.list_allowances('e0'))
        cluster.reports = [
            allocator_fixtures.make_target(
                't0', state=wire.TargetState.LEAVING
            )
        ]
        cluster.sync('e0')
        self.assertEqual({}, cluster.list_allowances('e0'))

    def test_cold_target_starts_with_a_share_of_its_slots(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.pool = wire.Pool(
            name='p', max_deadline_ms=4_000, slow_start_s=10.0, cold_factor=0.5
        )
        cluster.wanted['e0'] = 8
        cluster.run_takeover()
        cluster.reports = [allocator_fixtures.make_target('cold', slots=8)]
        cluster.sync('e0')
        self.assertEqual(4, cluster.list_allowances('e0')['cold'])
        cluster.run(6.0)
        self.assertEqual(6, cluster.list_allowances('e0')['cold'])
        cluster.run(4.4)
        self.assertEqual(8, cluster.list_allowances('e0')['cold'])

    def test_shift_moves_its_part_of_the_slots(self) -> None:
        cluster = allocator_fixtures.Cluster({'e0': ('a', 'a1')})
        cluster.links = make_links(['a', 'b'])
        cluster.reports = [
            allocator_fixtures.make_target('t0', 'a', slots=10),
            allocator_fixtures.make_target('t1', 'b', slots=10),
        ]
        cluster.shifts = [
            wire.Shift(
                name='s',
                pool='p',
                from_region='a',
                to_region='b',
                cap_percent=50.0,
                start=0.0,
                end=1.0,
                state=wire.ShiftState.ACTIVE,
                percent=25.0,
            )
        ]
        cluster.wanted['e0'] = 8
        cluster.run_takeover()
        self.assertEqual(2, cluster.list_allowances('e0')['t1'])

    def test_starved_entry_changes_the_grants_of_the_holder(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.wanted['e0'] = 3
        cluster.run_takeover()
        self.assertFalse(
            cluster.leader.has_grant_changes(cluster.now, 'e0', 1)
        )
        cluster.wanted['e0'] = 0
        cluster.run(0.8)
        holder = 'e0' if cluster.sum_allowances('e0') else 'e1'
        other = 'e1' if holder == 'e0' else 'e0'
        cluster.wanted[other] = 3
        cluster.sync(other)
        self.assertTrue(
            cluster.leader.has_grant_changes(cluster.now, holder, 1)
        )
        cluster.sync(holder)
        cluster.sync(holder)
        self.assertTrue(
            cluster.leader.has_grant_changes(cluster.now, other, 1)
        )
        cluster.sync(other)
        self.assertEqual(3, cluster.sum_allowances(other))


def make_links(regions: list[str]) -> list[wire.Link]:
    """Return a link for each ordered pair of regions."""
    return [
        wire.Link(
            name=f'{from_region}>{to_region}',
            from_region=from_region,
            to_region=to_region,
            bytes_per_s=1_000,
        )
        for from_region in regions
        for to_region in regions
        if from_region != to_region
    ]


class LinkTest(unittest.TestCase):
    """Guards against more traffic on a link than its allocated rate."""

    def test_rates_stay_within_the_shared_part(self) -> None:
        simulated = model.SimulatedCluster()
        for _ in range(30):
            simulated.advance(0.4)
            for target in model.TARGETS:
                simulated.announce(target)
            for name in model.REGIONS:
                simulated.entries[name].wanted = 5
                simulated.exchange(name)
            simulated.check_limits()
        rates = [
            entry.tokens.rate(entry.local_time(simulated.now), 'a>b')
            for entry in simulated.entries.values()
        ]
        self.assertGreater(sum(rates), 0.9 * model.ALLOCATED_LINK_RATE)

    def test_tokens_saved_while_idle_are_bounded(self) -> None:
        tokens = steering.LinkTokens()
        rate = wire.LinkRate(name='a>b', bytes_per_s=1_000)
        tokens.apply(
            0.0, 0.0, allocator_fixtures.make_response(1, 1, [], [rate])
        )
        self.assertEqual(50, tokens.consume(2.0, 'a>b', 10_000))

    def test_new_term_is_refused_when_rates_changed_after_the_request(
        self,
    ) -> None:
        tokens = steering.LinkTokens()
        rates = [
            wire.LinkRate(name='a>b', bytes_per_s=bytes_per_s)
            for bytes_per_s in (500, 100)
        ]
        tokens.apply(
            0.0, 0.0, allocator_fixtures.make_response(1, 1, [], [rates[1]])
        )
        late_response = allocator_fixtures.make_response(2, 1, [], [rates[0]])
        self.assertFalse(tokens.apply(0.2, -0.1, late_response))
        self.assertEqual(100, tokens.rate(0.2, 'a>b'))

    def test_tokens_allow_the_granted_rate_only(self) -> None:
        tokens = steering.LinkTokens(linger_s=1.0)
        rate = wire.LinkRate(name='a>b', bytes_per_s=1_000)
        tokens.apply(
            0.0, 0.0, allocator_fixtures.make_response(1, 1, [], [rate])
        )
        consumed = 0
        for step in range(1, 2_001):
            consumed += tokens.consume(step / 1_000, 'a>b', 10_000)
        self.assertLessEqual(consumed, 2_000)
        self.assertGreater(consumed, 1_900)
        self.assertFalse(tokens.has_tokens(2.78, 'a>b'))
        self.assertGreater(tokens.consume(3.5, 'a>b', 10_000), 0)
        tokens.consume(9.0, 'a>b', 10_000)
        self.assertEqual(0, tokens.consume(10.0, 'a>b', 10_000))
        self.assertIsNone(tokens.wait_s(10.0, 'a>b', 1))
