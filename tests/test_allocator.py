"""Tests of the allocator and the slot book."""

import unittest

from fulmarseam import membership
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.steering import _plan
from tests import test_allocator_model as model

POOL = wire.Pool(name='p', max_deadline_ms=4_000, slow_start_s=0.0)
LIFETIME_S = 2.8 * 1.01


def make_target(
    name: str,
    region: str = 'a',
    slots: int = 3,
    connections: int = 30,
    sequence: int = 1,
    **fields: object,
) -> wire.TargetReport:
    """Return a report of a target that is ready."""
    values = {
        'target': name,
        'pool': 'p',
        'address': '127.0.0.1:1',
        'region': region,
        'failure_domain': region + '1',
        'slots': slots,
        'connections': connections,
        'incarnation': 1,
        'sequence': sequence,
        'state': wire.TargetState.READY,
    }
    return wire.TargetReport(**{**values, **fields})


def make_response(
    term: int,
    sequence: int,
    slots: list[wire.SlotGrant],
    links: list[wire.LinkRate] | None = None,
) -> wire.SyncResponse:
    """Return an answer that carries only grants."""
    return wire.SyncResponse(
        term=term,
        leadership_age_ms=0,
        revision=0,
        full=False,
        changes=[],
        targets_version=0,
        targets_full=False,
        targets=[],
        targets_removed=[],
        entries=[],
        grant_sequence=sequence,
        grant_ttl_ms=2_800,
        grants=slots,
        links=links or [],
    )


class Cluster:
    """A leader and entries that exchange messages without loss."""

    def __init__(self, places: dict[str, tuple[str, str]]) -> None:
        self.now = 100.0
        self.places = places
        self.books = {name: steering.SlotBook() for name in places}
        self.wanted = dict.fromkeys(places, 0)
        self.draining: set[str] = set()
        self.doubtful: dict[str, list[str]] = {}
        self.table = membership.TargetTable()
        self.reports: list[wire.TargetReport] = []
        self.links: list[wire.Link] = []
        self.drains: list[wire.Drain] = []
        self.shifts: list[wire.Shift] = []
        self.pool = POOL
        self.start_leader(1)

    def start_leader(self, term: int) -> None:
        self.term = term
        self.leader = steering.Allocator(self.now, term)

    def request(self, name: str) -> wire.SyncRequest:
        region, domain = self.places[name]
        book = self.books[name]
        return wire.SyncRequest(
            info=wire.EntryInfo(
                entry=name,
                incarnation=1,
                region=region,
                failure_domain=domain,
                listen='',
                api='',
                rpc='',
            ),
            draining=name in self.draining,
            revision=0,
            targets_term=0,
            targets_version=0,
            ack_term=book.ack_term,
            ack_sequence=book.ack_sequence,
            ack_age_ms=book.ack_age_ms(self.now),
            uses=book.uses(self.now),
            demand=[wire.PoolDemand(pool='p', wanted=self.wanted[name])],
            links=[],
            announcements=[],
            announcement_ages_ms=[],
            wait_ms=0,
            doubtful=self.doubtful.get(name, []),
        )

    def plan(self) -> None:
        for report in self.reports:
            old = self.table.get(report.target)
            sequence = old.report.sequence + 1 if old else 1
            fields = {
                name: getattr(report, name)
                for name in report.__struct_fields__
            }
            fields['sequence'] = sequence
            self.table.record(self.now, wire.TargetReport(**fields), 0)
        self.leader.allocate(
            self.now,
            self.table.all(),
            [self.pool],
            self.links,
            self.drains,
            self.shifts,
        )

    def ask(self, name: str) -> wire.SyncResponse:
        """Report, plan and issue; the answer is not applied."""
        self.leader.report(self.now, self.request(name))
        self.plan()
        grants = self.leader.grants_for(self.now, name, 1)
        return make_response(
            self.term, grants.sequence, grants.slots, grants.links
        )

    def sync(self, *names: str) -> None:
        for name in names or self.places:
            answer = self.ask(name)
            self.books[name].apply(self.now, self.now, answer)

    def run(self, seconds: float) -> None:
        """Let all entries sync every 0.4 s."""
        for _ in range(round(seconds / 0.4)):
            self.now += 0.4
            self.sync()

    def settle(self) -> None:
        """Pass the time in which a new leader is careful."""
        self.run(8.0)

    def held(self, name: str) -> dict[str, int]:
        return {
            use.target: use.allowance
            for use in self.books[name].uses(self.now)
            if use.allowance
        }

    def total(self, name: str) -> int:
        return sum(self.held(name).values())


def build_pair() -> Cluster:
    """Return two entries and one target with 3 slots."""
    cluster = Cluster({'e0': ('a', 'a1'), 'e1': ('a', 'a2')})
    cluster.reports = [make_target('t0')]
    return cluster


class LeaderChangeTest(unittest.TestCase):
    """Guards against a new leader that gives away slots in use."""

    def start_with_holder(self) -> Cluster:
        cluster = build_pair()
        cluster.wanted['e0'] = 3
        cluster.settle()
        self.assertEqual(3, cluster.total('e0'))
        cluster.now += 0.001
        cluster.start_leader(2)
        cluster.wanted['e1'] = 3
        return cluster

    def test_slots_of_an_unheard_entry_are_kept_back(self) -> None:
        cluster = self.start_with_holder()
        for seconds in (0.1, LIFETIME_S - 0.2, 0.2, 4.04 - 0.2):
            cluster.now += seconds
            cluster.sync('e1')
            self.assertEqual(0, cluster.total('e1'))
        cluster.now += 0.2
        cluster.sync('e1')
        self.assertEqual(3, cluster.total('e1'))

    def test_confirmed_slots_move_after_the_window(self) -> None:
        cluster = self.start_with_holder()
        cluster.sync()
        cluster.wanted['e0'] = 0
        cluster.run(2.4)
        self.assertEqual(0, cluster.total('e1'))
        cluster.run(2.0)
        self.assertEqual(3, cluster.total('e1'))

    def test_a_late_first_report_confirms_nothing(self) -> None:
        # The former leader had moved the slots from e0 to an entry that is
        # not heard any more; only the late request of e0 claims them.
        cluster = self.start_with_holder()
        late = cluster.request('e0')
        cluster.books['e0'] = steering.SlotBook()
        cluster.leader.report(cluster.now, late)
        cluster.now += LIFETIME_S + 0.01
        cluster.books['e0'].apply(
            cluster.now, cluster.now, make_response(1, 10**6, [])
        )
        cluster.sync('e0', 'e1')
        self.assertEqual(0, cluster.total('e0') + cluster.total('e1'))

    def test_unknown_target_is_renewed_but_not_extended(self) -> None:
        cluster = self.start_with_holder()
        reports, cluster.reports = cluster.reports, []
        cluster.table = membership.TargetTable()
        cluster.now += 1.0
        cluster.sync('e0')
        self.assertEqual(3, cluster.total('e0'))
        cluster.now += 1.8
        self.assertEqual(0, cluster.total('e0'))
        cluster.reports = reports

    def test_book_refuses_a_new_term_asked_before_a_change(self) -> None:
        book = steering.SlotBook()
        grant = wire.SlotGrant(
            target='t', slots=3, connections=3, lease_ms=3_000
        )
        less = wire.SlotGrant(
            target='t', slots=1, connections=3, lease_ms=3_000
        )
        self.assertTrue(book.apply(1.0, 1.0, make_response(1, 1, [grant])))
        self.assertTrue(book.apply(1.2, 1.1, make_response(1, 2, [less])))
        for sent_at in (1.1, 1.2):
            late = make_response(2, 1, [grant])
            self.assertFalse(book.apply(1.3, sent_at, late))
        self.assertEqual(1, book.allowance(1.3, 't'))
        self.assertTrue(book.apply(1.5, 1.4, make_response(2, 2, [less])))


class ChargeTest(unittest.TestCase):
    """Guards against slots that are given away too early."""

    def test_each_unacknowledged_grant_is_charged(self) -> None:
        cluster = build_pair()
        cluster.settle()
        cluster.sync('e0')
        self.assertEqual(1, cluster.total('e0'))
        cluster.wanted['e0'] = 3
        lost = cluster.ask('e0')
        self.assertEqual(2, lost.grants[0].slots)
        # Only e0 has talked, so its sequence numbers follow each other.
        cluster.wanted = {'e0': 0, 'e1': 3}
        cluster.leader.report(cluster.now, cluster.request('e0'))
        cluster.sync('e1')
        self.assertEqual(1, cluster.total('e1'))

    def test_charge_of_a_silent_entry_covers_drift_and_deadline(self) -> None:
        cluster = build_pair()
        cluster.wanted['e0'] = 3
        cluster.settle()
        cluster.wanted['e1'] = 3
        start = cluster.now
        cluster.now = start + LIFETIME_S + 4.04 - 0.01
        cluster.sync('e1')
        self.assertEqual(0, cluster.total('e1'))
        cluster.now = start + LIFETIME_S + 4.04 + 0.01
        cluster.sync('e1')
        self.assertEqual(3, cluster.total('e1'))

    def test_connections_of_an_unacknowledged_grant_are_charged(self) -> None:
        cluster = build_pair()
        cluster.reports = [make_target('t0', slots=4, connections=4)]
        cluster.wanted['e0'] = 4
        cluster.settle()
        cluster.reports = [make_target('t0', slots=8, connections=4)]
        cluster.wanted['e1'] = 4
        answer = cluster.ask('e1')
        self.assertEqual([], answer.grants)
        self.assertLessEqual(cluster.leader.charged_connections('t0'), 4)

    def test_entry_that_gets_no_answers_loses_its_share(self) -> None:
        cluster = build_pair()
        cluster.wanted = {'e0': 3, 'e1': 3}
        cluster.settle()
        for _ in range(30):
            cluster.now += 0.4
            cluster.ask('e0')
            cluster.sync('e1')
        self.assertEqual(3, cluster.total('e1'))


class NewsTest(unittest.TestCase):
    """Guards against answers that are sent without any news."""

    def test_grant_that_cannot_grow_is_no_news(self) -> None:
        cluster = build_pair()
        cluster.reports = [make_target('t0', slots=4, connections=4)]
        cluster.wanted['e0'] = 4
        cluster.settle()
        cluster.reports = [make_target('t0', slots=8, connections=4)]
        cluster.wanted['e1'] = 4
        cluster.sync('e1')
        cluster.plan()
        self.assertEqual(0, cluster.total('e1'))
        self.assertFalse(cluster.leader.has_news(cluster.now, 'e1', 1))
        cluster.sync('e0')
        cluster.sync('e0')
        self.assertTrue(cluster.leader.has_news(cluster.now, 'e1', 1))

    def test_no_entry_has_news_right_after_its_answer(self) -> None:
        cluster = build_pair()
        cluster.reports = [make_target('t0'), make_target('t1', 'a')]
        for wanted in (0, 1, 3, 9, 2):
            cluster.wanted = {'e0': wanted, 'e1': 3}
            for name in ('e0', 'e1', 'e0', 'e1'):
                cluster.now += 0.05
                cluster.sync(name)
                news = cluster.leader.has_news(cluster.now, name, 1)
                self.assertFalse(news, (wanted, name))


class RequestAgeTest(unittest.TestCase):
    """Guards against late requests that extend the leases of targets."""

    def setUp(self) -> None:
        self.cluster = build_pair()
        self.cluster.sync('e0')

    def find_age(self, seconds: float, request: wire.SyncRequest) -> float:
        now = self.cluster.now + seconds
        return self.cluster.leader.find_request_age(now, request)

    def test_delay_on_the_way_counts(self) -> None:
        self.cluster.now += 0.4
        request = self.cluster.request('e0')
        self.assertAlmostEqual(0.004, self.find_age(0.0, request), 3)
        self.assertAlmostEqual(5.004, self.find_age(5.0, request), 3)

    def test_unknown_answer_counts_as_half_a_lease(self) -> None:
        request = self.cluster.request('e0')
        self.assertEqual(1.5, self.find_age(0.0, self.cluster.request('e1')))
        self.cluster.start_leader(2)
        self.assertEqual(1.5, self.find_age(0.0, request))

    def test_old_answers_are_forgotten(self) -> None:
        request = self.cluster.request('e0')
        self.cluster.now += 10.1
        self.cluster.sync('e1')
        self.assertEqual(1.5, self.find_age(0.0, request))


class SlotBookTest(unittest.TestCase):
    """Guards against use of grants after their end."""

    def make_book(self, lease_ms: int) -> steering.SlotBook:
        book = steering.SlotBook()
        grant = wire.SlotGrant(
            target='t', slots=2, connections=2, lease_ms=lease_ms
        )
        self.assertTrue(book.apply(10.4, 10.0, make_response(1, 1, [grant])))
        return book

    def test_grant_ends_after_its_time_from_the_request(self) -> None:
        book = self.make_book(3_000)
        self.assertTrue(book.take(12.77, 't'))
        self.assertFalse(book.take(12.78, 't'))
        uses = book.uses(12.78)
        self.assertEqual([(0, 1)], [(u.allowance, u.in_flight) for u in uses])
        self.assertEqual(1, book.connection_share(12.78, 't'))

    def test_grant_ends_with_the_lease_of_its_target(self) -> None:
        book = self.make_book(500)
        self.assertTrue(book.take(10.49, 't'))
        self.assertFalse(book.take(10.5, 't'))

    def test_grant_that_is_withdrawn_keeps_what_is_in_flight(self) -> None:
        book = self.make_book(3_000)
        self.assertTrue(book.take(11.0, 't'))
        self.assertTrue(book.apply(11.1, 11.0, make_response(1, 2, [])))
        self.assertFalse(book.take(11.1, 't'))
        self.assertEqual(1, book.in_flight('t'))
        book.release('t')
        self.assertEqual([], book.uses(11.1))

    def test_late_answer_changes_nothing(self) -> None:
        book = self.make_book(3_000)
        self.assertTrue(book.apply(10.6, 10.5, make_response(1, 3, [])))
        grant = wire.SlotGrant(
            target='t', slots=2, connections=2, lease_ms=3_000
        )
        self.assertFalse(book.apply(10.7, 10.0, make_response(1, 2, [grant])))
        self.assertEqual(0, book.free(10.7, 't'))


class PlanTest(unittest.TestCase):
    """Guards against slots that are unused or in the wrong place."""

    def test_unused_share_moves_within_a_second(self) -> None:
        cluster = build_pair()
        cluster.wanted['e0'] = 3
        cluster.settle()
        cluster.wanted = {'e0': 0, 'e1': 3}
        cluster.run(1.2)
        self.assertEqual(3, cluster.total('e1'))

    def test_recent_demand_does_not_starve_a_queue(self) -> None:
        cluster = build_pair()
        cluster.wanted['e0'] = 3
        cluster.settle()
        cluster.wanted = {'e0': 0, 'e1': 3}
        for name in ('e0', 'e1', 'e0', 'e0', 'e1'):
            cluster.now += 0.01
            cluster.sync(name)
        self.assertEqual(3, cluster.total('e1'))

    def test_demand_decides_when_slots_are_few(self) -> None:
        places = {
            f'e{n}': (f'r{n % 3}', f'r{n % 3}{n // 3 % 2}') for n in range(7)
        }
        cluster = Cluster(places)
        cluster.links = model_links(['r0', 'r1', 'r2'])
        cluster.reports = [
            make_target(
                f't{n}',
                f'r{n % 3}',
                failure_domain=f'r{n % 3}{n // 3 % 2}',
            )
            for n in range(12)
        ]
        cluster.wanted.update({'e0': 30, 'e1': 3, 'e2': 3})
        cluster.settle()
        self.assertEqual(30, cluster.total('e0'))
        self.assertEqual(3, cluster.total('e1'))
        cluster.wanted = dict.fromkeys(places, 9)
        cluster.settle()
        totals = sorted(cluster.total(name) for name in places)
        self.assertEqual([5, 5, 5, 5, 5, 5, 6], totals)

    def test_own_domain_and_region_come_first(self) -> None:
        cluster = Cluster({'e0': ('a', 'a1'), 'e1': ('b', 'b1')})
        cluster.links = model_links(['a', 'b'])
        cluster.reports = [
            make_target('t0', 'a', failure_domain='a1'),
            make_target('t1', 'a', failure_domain='a2'),
            make_target('t2', 'b', failure_domain='b1'),
        ]
        cluster.wanted['e0'] = 2
        cluster.wanted['e1'] = 2
        cluster.settle()
        self.assertGreaterEqual(cluster.held('e0').get('t0', 0), 2)
        self.assertNotIn('t2', cluster.held('e0'))
        cluster.wanted['e0'] = 7
        cluster.settle()
        self.assertEqual({'t0': 3, 't1': 3, 't2': 1}, cluster.held('e0'))

    def plan_one(
        self, wanted: int, held: dict[str, int], busy: dict[str, int]
    ) -> dict[str, int]:
        """Return the plan of a draining entry, which gets no spare."""
        capacities = [
            _plan.TargetCapacity('t0', 'a', 'a2', 3),
            _plan.TargetCapacity('t1', 'a', 'a1', 3),
        ]
        claimant = _plan.Claimant(
            ('e0', 1), 'a', 'a1', wanted, wanted, True, held, busy
        )
        _plan.plan_pool([claimant], capacities, lambda near, far: False)
        return claimant.plan

    def test_demand_goes_to_the_own_domain_first(self) -> None:
        self.assertEqual({'t1': 2}, self.plan_one(2, {}, {}))
        self.assertEqual({'t1': 3, 't0': 1}, self.plan_one(4, {}, {}))

    def test_failing_target_is_granted_only_when_no_other_is_left(
        self,
    ) -> None:
        cluster = Cluster({'e': ('a', 'a1')})
        cluster.reports = [make_target('bad'), make_target('good', slots=3)]
        cluster.doubtful['e'] = ['bad']
        cluster.wanted['e'] = 2
        cluster.run(15.0)
        held = cluster.held('e')
        self.assertEqual(0, held.get('bad', 0))
        self.assertGreaterEqual(held['good'], 2)
        cluster.wanted['e'] = 5
        cluster.run(2.0)
        self.assertEqual(3, cluster.held('e')['good'])
        self.assertGreaterEqual(cluster.held('e')['bad'], 2)

    def test_slots_in_use_stay_where_they_are(self) -> None:
        held = {'t0': 2, 't1': 2}
        self.assertEqual({'t0': 1}, self.plan_one(1, held, {'t0': 1}))

    def test_steady_demand_moves_nothing(self) -> None:
        cluster = Cluster({f'e{n}': ('a', f'a{n % 2}') for n in range(4)})
        cluster.reports = [make_target(f't{n}', slots=4) for n in range(4)]
        cluster.wanted = {'e0': 2, 'e1': 3, 'e2': 1, 'e3': 2}
        cluster.settle()
        seen = []
        for wanted in (2, 1, 2, 1):
            cluster.wanted['e2'] = wanted
            cluster.run(2.0)
            seen.append({name: cluster.held(name) for name in cluster.places})
        self.assertEqual([seen[0]] * 3, seen[1:])

    def test_draining_entry_keeps_what_it_uses(self) -> None:
        cluster = build_pair()
        cluster.wanted = {'e0': 2, 'e1': 0}
        cluster.settle()
        self.assertTrue(cluster.books['e0'].take(cluster.now, 't0'))
        cluster.draining.add('e0')
        cluster.wanted['e0'] = 1
        cluster.run(2.0)
        self.assertEqual({'t0': 1}, cluster.held('e0'))

    def test_drained_and_leaving_targets_get_nothing(self) -> None:
        cluster = build_pair()
        cluster.wanted['e0'] = 3
        cluster.settle()
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
        self.assertTrue(cluster.leader.has_news(cluster.now, 'e0', 1))
        cluster.sync('e0')
        self.assertEqual({}, cluster.held('e0'))
        cluster.drains = []
        cluster.sync('e0')
        self.assertEqual({'t0': 3}, cluster.held('e0'))
        cluster.reports = [make_target('t0', state=wire.TargetState.LEAVING)]
        cluster.sync('e0')
        self.assertEqual({}, cluster.held('e0'))

    def test_cold_target_starts_with_a_part_of_its_slots(self) -> None:
        cluster = build_pair()
        cluster.pool = wire.Pool(
            name='p', max_deadline_ms=4_000, slow_start_s=10.0, cold_factor=0.5
        )
        cluster.wanted['e0'] = 8
        cluster.settle()
        cluster.reports = [make_target('cold', slots=8)]
        cluster.sync('e0')
        self.assertEqual(4, cluster.held('e0')['cold'])
        cluster.run(6.0)
        self.assertEqual(6, cluster.held('e0')['cold'])
        cluster.run(4.4)
        self.assertEqual(8, cluster.held('e0')['cold'])

    def test_shift_moves_its_part_of_the_slots(self) -> None:
        cluster = Cluster({'e0': ('a', 'a1')})
        cluster.links = model_links(['a', 'b'])
        cluster.reports = [
            make_target('t0', 'a', slots=10),
            make_target('t1', 'b', slots=10),
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
        cluster.settle()
        self.assertEqual(2, cluster.held('e0')['t1'])

    def test_starved_entry_makes_news_for_the_holder(self) -> None:
        cluster = build_pair()
        cluster.wanted['e0'] = 3
        cluster.settle()
        self.assertFalse(cluster.leader.has_news(cluster.now, 'e0', 1))
        cluster.wanted['e0'] = 0
        cluster.run(0.8)
        holder = 'e0' if cluster.total('e0') else 'e1'
        other = 'e1' if holder == 'e0' else 'e0'
        cluster.wanted[other] = 3
        cluster.sync(other)
        self.assertTrue(cluster.leader.has_news(cluster.now, holder, 1))
        cluster.sync(holder)
        cluster.sync(holder)
        self.assertTrue(cluster.leader.has_news(cluster.now, other, 1))
        cluster.sync(other)
        self.assertEqual(3, cluster.total(other))


def model_links(regions: list[str]) -> list[wire.Link]:
    """Return a link for each ordered pair of regions."""
    return [
        wire.Link(
            name=f'{a}>{b}', from_region=a, to_region=b, bytes_per_s=1_000
        )
        for a in regions
        for b in regions
        if a != b
    ]


class LinkTest(unittest.TestCase):
    """Guards against more bytes on a link than its share."""

    def test_rates_stay_within_the_shared_part(self) -> None:
        world = model.World()
        for _ in range(30):
            world.advance(0.4)
            for target in model.TARGETS:
                world.announce(target)
            for name in model.REGIONS:
                world.entries[name].wanted = 5
                world.exchange(name)
            world.check()
        rates = [
            entry.tokens.rate(entry.clock(world.now), 'a>b')
            for entry in world.entries.values()
        ]
        self.assertGreater(sum(rates), 0.9 * model.LINK_LIMIT)

    def test_tokens_saved_while_idle_are_bounded(self) -> None:
        tokens = steering.LinkTokens()
        rate = wire.LinkRate(name='a>b', bytes_per_s=1_000)
        tokens.apply(0.0, 0.0, make_response(1, 1, [], [rate]))
        self.assertEqual(50, tokens.take(2.0, 'a>b', 10_000))

    def test_link_refuses_a_new_term_asked_before_a_change(self) -> None:
        tokens = steering.LinkTokens()
        rates = [
            wire.LinkRate(name='a>b', bytes_per_s=number)
            for number in (500, 100)
        ]
        tokens.apply(0.0, 0.0, make_response(1, 1, [], [rates[1]]))
        late = make_response(2, 1, [], [rates[0]])
        self.assertFalse(tokens.apply(0.2, -0.1, late))
        self.assertEqual(100, tokens.rate(0.2, 'a>b'))

    def test_tokens_pay_for_the_granted_rate_only(self) -> None:
        tokens = steering.LinkTokens(linger_s=1.0)
        rate = wire.LinkRate(name='a>b', bytes_per_s=1_000)
        tokens.apply(0.0, 0.0, make_response(1, 1, [], [rate]))
        taken = 0
        for step in range(1, 2_001):
            taken += tokens.take(step / 1_000, 'a>b', 10_000)
        self.assertLessEqual(taken, 2_000)
        self.assertGreater(taken, 1_900)
        self.assertFalse(tokens.has_tokens(2.78, 'a>b'))
        self.assertGreater(tokens.take(3.5, 'a>b', 10_000), 0)
        tokens.take(9.0, 'a>b', 10_000)
        self.assertEqual(0, tokens.take(10.0, 'a>b', 10_000))
        self.assertIsNone(tokens.wait_s(10.0, 'a>b', 1))
