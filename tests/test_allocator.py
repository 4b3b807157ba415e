"""Tests of the allocator and the slot tracker."""

import unittest

from fulmarseam import membership
from fulmarseam import steering
from fulmarseam import wire
from tests import allocator_fixtures


class LeaderChangeTest(unittest.TestCase):
    """Guards against a new leader that grants slots still in use."""

    def start_new_term_with_held_slots(self) -> allocator_fixtures.Cluster:
        cluster = allocator_fixtures.build_pair()
        cluster.wanted['e0'] = 3
        cluster.run_takeover()
        self.assertEqual(3, cluster.sum_allowances('e0'))
        cluster.now += 0.001
        cluster.start_leader(2)
        cluster.wanted['e1'] = 3
        return cluster

    def test_slots_of_an_entry_that_does_not_report_are_reserved(self) -> None:
        cluster = self.start_new_term_with_held_slots()
        for seconds in (
            0.1,
            allocator_fixtures.GRANT_LIFETIME_S - 0.2,
            0.2,
            4.04 - 0.2,
        ):
            cluster.now += seconds
            cluster.sync('e1')
            self.assertEqual(0, cluster.sum_allowances('e1'))
        cluster.now += 0.2
        cluster.sync('e1')
        self.assertEqual(3, cluster.sum_allowances('e1'))

    def test_confirmed_slots_move_after_the_window(self) -> None:
        cluster = self.start_new_term_with_held_slots()
        cluster.sync()
        cluster.wanted['e0'] = 0
        cluster.run(2.4)
        self.assertEqual(0, cluster.sum_allowances('e1'))
        cluster.run(2.0)
        self.assertEqual(3, cluster.sum_allowances('e1'))

    def test_a_late_first_report_confirms_nothing(self) -> None:
        # The former leader had moved the slots from e0 to an entry that no
        # longer reports. Only the delayed request of e0 claims them.
        cluster = self.start_new_term_with_held_slots()
        late = cluster.request('e0')
        cluster.trackers['e0'] = steering.SlotTracker()
        cluster.leader.report(cluster.now, late)
        cluster.now += allocator_fixtures.GRANT_LIFETIME_S + 0.01
        cluster.trackers['e0'].apply(
            cluster.now,
            cluster.now,
            allocator_fixtures.make_response(1, 10**6, []),
        )
        cluster.sync('e0', 'e1')
        self.assertEqual(
            0, cluster.sum_allowances('e0') + cluster.sum_allowances('e1')
        )

    def test_unknown_target_is_renewed_but_not_extended(self) -> None:
        cluster = self.start_new_term_with_held_slots()
        reports, cluster.reports = cluster.reports, []
        cluster.table = membership.TargetTable()
        cluster.now += 1.0
        cluster.sync('e0')
        self.assertEqual(3, cluster.sum_allowances('e0'))
        cluster.now += 1.8
        self.assertEqual(0, cluster.sum_allowances('e0'))
        cluster.reports = reports

    def test_new_term_is_refused_when_grants_changed_after_the_request(
        self,
    ) -> None:
        tracker = steering.SlotTracker()
        grant = wire.SlotGrant(
            target='t', slots=3, connections=3, lease_ms=3_000
        )
        smaller_grant = wire.SlotGrant(
            target='t', slots=1, connections=3, lease_ms=3_000
        )
        self.assertTrue(
            tracker.apply(
                1.0, 1.0, allocator_fixtures.make_response(1, 1, [grant])
            )
        )
        self.assertTrue(
            tracker.apply(
                1.2,
                1.1,
                allocator_fixtures.make_response(1, 2, [smaller_grant]),
            )
        )
        for sent_at in (1.1, 1.2):
            late = allocator_fixtures.make_response(2, 1, [grant])
            self.assertFalse(tracker.apply(1.3, sent_at, late))
        self.assertEqual(1, tracker.allowance(1.3, 't'))
        self.assertTrue(
            tracker.apply(
                1.5,
                1.4,
                allocator_fixtures.make_response(2, 2, [smaller_grant]),
            )
        )


class ChargeTest(unittest.TestCase):
    """Guards against slots that are granted again while still in use."""

    def test_each_unacknowledged_grant_is_charged(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.run_takeover()
        cluster.sync('e0')
        self.assertEqual(1, cluster.sum_allowances('e0'))
        cluster.wanted['e0'] = 3
        lost_response = cluster.request_grants('e0')
        self.assertEqual(2, lost_response.grants[0].slots)
        # Only e0 has synced, so its sequence numbers are consecutive.
        cluster.wanted = {'e0': 0, 'e1': 3}
        cluster.leader.report(cluster.now, cluster.request('e0'))
        cluster.sync('e1')
        self.assertEqual(1, cluster.sum_allowances('e1'))

    def test_charge_of_a_silent_entry_covers_drift_and_deadline(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.wanted['e0'] = 3
        cluster.run_takeover()
        cluster.wanted['e1'] = 3
        start = cluster.now
        cluster.now = start + allocator_fixtures.GRANT_LIFETIME_S + 4.04 - 0.01
        cluster.sync('e1')
        self.assertEqual(0, cluster.sum_allowances('e1'))
        cluster.now = start + allocator_fixtures.GRANT_LIFETIME_S + 4.04 + 0.01
        cluster.sync('e1')
        self.assertEqual(3, cluster.sum_allowances('e1'))

    def test_connections_of_an_unacknowledged_grant_are_charged(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.reports = [
            allocator_fixtures.make_target('t0', slots=4, connections=4)
        ]
        cluster.wanted['e0'] = 4
        cluster.run_takeover()
        cluster.reports = [
            allocator_fixtures.make_target('t0', slots=8, connections=4)
        ]
        cluster.wanted['e1'] = 4
        response = cluster.request_grants('e1')
        self.assertEqual([], response.grants)
        self.assertLessEqual(cluster.leader.charged_connections('t0'), 4)

    def test_entry_that_gets_no_responses_loses_its_share(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.wanted = {'e0': 3, 'e1': 3}
        cluster.run_takeover()
        for _ in range(30):
            cluster.now += 0.4
            cluster.request_grants('e0')
            cluster.sync('e1')
        self.assertEqual(3, cluster.sum_allowances('e1'))


class GrantChangeTest(unittest.TestCase):
    """Guards against early responses although no grant has changed."""

    def test_grant_that_cannot_grow_is_no_change(self) -> None:
        cluster = allocator_fixtures.build_pair()
        cluster.reports = [
            allocator_fixtures.make_target('t0', slots=4, connections=4)
        ]
        cluster.wanted['e0'] = 4
        cluster.run_takeover()
        cluster.reports = [
            allocator_fixtures.make_target('t0', slots=8, connections=4)
        ]
        cluster.wanted['e1'] = 4
        cluster.sync('e1')
        cluster.plan()
        self.assertEqual(0, cluster.sum_allowances('e1'))
        self.assertFalse(
            cluster.leader.has_grant_changes(cluster.now, 'e1', 1)
        )
        cluster.sync('e0')
        cluster.sync('e0')
        self.assertTrue(cluster.leader.has_grant_changes(cluster.now, 'e1', 1))

    def test_no_grant_changes_right_after_a_response(self) -> None:
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
                has_changes = cluster.leader.has_grant_changes(
                    cluster.now, name, 1
                )
                self.assertFalse(has_changes, (wanted, name))


class RequestAgeTest(unittest.TestCase):
    """Guards against delayed requests that extend leases of targets."""

    def setUp(self) -> None:
        self.cluster = allocator_fixtures.build_pair()
        self.cluster.sync('e0')

    def compute_max_age(
        self, seconds: float, request: wire.SyncRequest
    ) -> float:
        now = self.cluster.now + seconds
        return self.cluster.leader.compute_max_request_age(now, request)

    def test_delay_in_transit_counts(self) -> None:
        self.cluster.now += 0.4
        request = self.cluster.request('e0')
        self.assertAlmostEqual(0.004, self.compute_max_age(0.0, request), 3)
        self.assertAlmostEqual(5.004, self.compute_max_age(5.0, request), 3)

    def test_unknown_response_counts_as_half_a_lease(self) -> None:
        request = self.cluster.request('e0')
        self.assertEqual(
            1.5, self.compute_max_age(0.0, self.cluster.request('e1'))
        )
        self.cluster.start_leader(2)
        self.assertEqual(1.5, self.compute_max_age(0.0, request))

    def test_old_responses_are_forgotten(self) -> None:
        request = self.cluster.request('e0')
        self.cluster.now += 10.1
        self.cluster.sync('e1')
        self.assertEqual(1.5, self.compute_max_age(0.0, request))


class SlotTrackerTest(unittest.TestCase):
    """Guards against the use of expired or withdrawn grants."""

    def make_tracker(self, lease_ms: int) -> steering.SlotTracker:
        tracker = steering.SlotTracker()
        grant = wire.SlotGrant(
            target='t', slots=2, connections=2, lease_ms=lease_ms
        )
        self.assertTrue(
            tracker.apply(
                10.4, 10.0, allocator_fixtures.make_response(1, 1, [grant])
            )
        )
        return tracker

    def test_grant_expires_its_lifetime_after_the_request(self) -> None:
        tracker = self.make_tracker(3_000)
        self.assertTrue(tracker.try_acquire(12.77, 't'))
        self.assertFalse(tracker.try_acquire(12.78, 't'))
        uses = tracker.uses(12.78)
        self.assertEqual([(0, 1)], [(u.allowance, u.in_flight) for u in uses])
        self.assertEqual(1, tracker.connection_share(12.78, 't'))

    def test_grant_expires_with_the_lease_of_its_target(self) -> None:
        tracker = self.make_tracker(500)
        self.assertTrue(tracker.try_acquire(10.49, 't'))
        self.assertFalse(tracker.try_acquire(10.5, 't'))

    def test_withdrawn_grant_keeps_requests_in_flight(self) -> None:
        tracker = self.make_tracker(3_000)
        self.assertTrue(tracker.try_acquire(11.0, 't'))
        self.assertTrue(
            tracker.apply(
                11.1, 11.0, allocator_fixtures.make_response(1, 2, [])
            )
        )
        self.assertFalse(tracker.try_acquire(11.1, 't'))
        self.assertEqual(1, tracker.in_flight('t'))
        tracker.release('t')
        self.assertEqual([], tracker.uses(11.1))

    def test_late_response_changes_nothing(self) -> None:
        tracker = self.make_tracker(3_000)
        self.assertTrue(
            tracker.apply(
                10.6, 10.5, allocator_fixtures.make_response(1, 3, [])
            )
        )
        grant = wire.SlotGrant(
            target='t', slots=2, connections=2, lease_ms=3_000
        )
        self.assertFalse(
            tracker.apply(
                10.7, 10.0, allocator_fixtures.make_response(1, 2, [grant])
            )
        )
        self.assertEqual(0, tracker.count_free(10.7, 't'))
