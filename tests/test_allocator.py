"""Tests of the allocator and the slot book."""

import unittest

from fulmarseam import membership
from fulmarseam import steering
from fulmarseam import wire
from tests import allocator_fixtures


class LeaderChangeTest(unittest.TestCase):
    """Guards against a new leader that gives away slots in use."""

    def start_with_holder(self) -> allocator_fixtures.Cluster:
        cluster = allocator_fixtures.build_pair()
        cluster.wanted['e0'] = 3
        cluster.settle()
        self.assertEqual(3, cluster.total('e0'))
        cluster.now += 0.001
        cluster.start_leader(2)
        cluster.wanted['e1'] = 3
        return cluster

    def test_slots_of_an_unheard_entry_are_kept_back(self) -> None:
        cluster = self.start_with_holder()
        for seconds in (
            0.1,
            allocator_fixtures.LIFETIME_S - 0.2,
            0.2,
            4.04 - 0.2,
        ):
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
        cluster.books['e0'] = steering.SlotTracker()
        cluster.leader.report(cluster.now, late)
        cluster.now += allocator_fixtures.LIFETIME_S + 0.01
        cluster.books['e0'].apply(
            cluster.now,
            cluster.now,
            allocator_fixtures.make_response(1, 10**6, []),
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
        book = steering.SlotTracker()
        grant = wire.SlotGrant(
            target='t', slots=3, connections=3, lease_ms=3_000
        )
        less = wire.SlotGrant(
            target='t', slots=1, connections=3, lease_ms=3_000
        )
        self.assertTrue(
            book.apply(
                1.0, 1.0, allocator_fixtures.make_response(1, 1, [grant])
            )
        )
        self.assertTrue(
            book.apply(
                1.2, 1.1, allocator_fixtures.make_response(1, 2, [less])
            )
        )
        for sent_at in (1.1, 1.2):
            late = allocator_fixtures.make_response(2, 1, [grant])
            self.assertFalse(book.apply(1.3, sent_at, late))
        self.assertEqual(1, book.allowance(1.3, 't'))
        self.assertTrue(
            book.apply(
                1.5, 1.4, allocator_fixtures.make_response(2, 2, [less])
            )
        )


class ChargeTest(unittest.TestCase):
    """Guards against slots that are given away too early."""

    def test_each_unacknowledged_grant_is_charged(self) -> None:
        cluster = allocator_fixtures.build_pair()
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
        cluster = allocator_fixtures.build_pair()
        cluster.wanted['e0'] = 3
        cluster.settle()
        cluster.wanted['e1'] = 3
        start = cluster.now
        cluster.now = start + allocator_fixtures.LIFETIME_S + 4.04 - 0.01
        cluster.sync('e1')
        self.assertEqual(0, cluster.total('e1'))
        cluster.now = start + allocator_fixtures.LIFETIME_S + 4.04 + 0.01
        cluster.sync('e1')
        self.assertEqual(3, cluster.total('e1'))

    def test_connections_of_an_unacknowledged_grant_are_charged(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.reports = [
            allocator_fixtures.make_target('t0', slots=4, connections=4)
        ]
        cluster.wanted['e0'] = 4
        cluster.settle()
        cluster.reports = [
            allocator_fixtures.make_target('t0', slots=8, connections=4)
        ]
        cluster.wanted['e1'] = 4
        answer = cluster.ask('e1')
        self.assertEqual([], answer.grants)
        self.assertLessEqual(cluster.leader.charged_connections('t0'), 4)

    def test_entry_that_gets_no_answers_loses_its_share(self) -> None:
        cluster = allocator_fixtures.build_pair()
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
        cluster = allocator_fixtures.build_pair()
        cluster.reports = [
            allocator_fixtures.make_target('t0', slots=4, connections=4)
        ]
        cluster.wanted['e0'] = 4
        cluster.settle()
        cluster.reports = [
            allocator_fixtures.make_target('t0', slots=8, connections=4)
        ]
        cluster.wanted['e1'] = 4
        cluster.sync('e1')
        cluster.plan()
        self.assertEqual(0, cluster.total('e1'))
        self.assertFalse(
            cluster.leader.has_grant_changes(cluster.now, 'e1', 1)
        )
        cluster.sync('e0')
        cluster.sync('e0')
        self.assertTrue(cluster.leader.has_grant_changes(cluster.now, 'e1', 1))

    def test_no_entry_has_news_right_after_its_answer(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.reports = [
            allocator_fixtures.make_target('t0'),
            allocator_fixtures.make_target('t1', 'a'),
        ]
        for wanted in (0, 1, 3, 9, 2):
            cluster.wanted = {'e0': wanted, 'e1': 3}
            for name in ('e0', 'e1', 'e0', 'e1'):
                cluster.now += 0.05
                cluster.sync(name)
                news = cluster.leader.has_grant_changes(cluster.now, name, 1)
                self.assertFalse(news, (wanted, name))


class RequestAgeTest(unittest.TestCase):
    """Guards against late requests that extend the leases of targets."""

    def setUp(self) -> None:
        self.cluster = allocator_fixtures.build_pair()
        self.cluster.sync('e0')

    def find_age(self, seconds: float, request: wire.SyncRequest) -> float:
        now = self.cluster.now + seconds
        return self.cluster.leader.compute_max_request_age(now, request)

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

    def make_book(self, lease_ms: int) -> steering.SlotTracker:
        book = steering.SlotTracker()
        grant = wire.SlotGrant(
            target='t', slots=2, connections=2, lease_ms=lease_ms
        )
        self.assertTrue(
            book.apply(
                10.4, 10.0, allocator_fixtures.make_response(1, 1, [grant])
            )
        )
        return book

    def test_grant_ends_after_its_time_from_the_request(self) -> None:
        book = self.make_book(3_000)
        self.assertTrue(book.try_acquire(12.77, 't'))
        self.assertFalse(book.try_acquire(12.78, 't'))
        uses = book.uses(12.78)
        self.assertEqual([(0, 1)], [(u.allowance, u.in_flight) for u in uses])
        self.assertEqual(1, book.connection_share(12.78, 't'))

    def test_grant_ends_with_the_lease_of_its_target(self) -> None:
        book = self.make_book(500)
        self.assertTrue(book.try_acquire(10.49, 't'))
        self.assertFalse(book.try_acquire(10.5, 't'))

    def test_grant_that_is_withdrawn_keeps_what_is_in_flight(self) -> None:
        book = self.make_book(3_000)
        self.assertTrue(book.try_acquire(11.0, 't'))
        self.assertTrue(
            book.apply(11.1, 11.0, allocator_fixtures.make_response(1, 2, []))
        )
        self.assertFalse(book.try_acquire(11.1, 't'))
        self.assertEqual(1, book.in_flight('t'))
        book.release('t')
        self.assertEqual([], book.uses(11.1))

    def test_late_answer_changes_nothing(self) -> None:
        book = self.make_book(3_000)
        self.assertTrue(
            book.apply(10.6, 10.5, allocator_fixtures.make_response(1, 3, []))
        )
        grant = wire.SlotGrant(
            target='t', slots=2, connections=2, lease_ms=3_000
        )
        self.assertFalse(
            book.apply(
                10.7, 10.0, allocator_fixtures.make_response(1, 2, [grant])
            )
        )
        self.assertEqual(0, book.count_free(10.7, 't'))
