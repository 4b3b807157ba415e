"""Tests of the registration of entries by the control leader."""

import msgspec

from fulmarseam import ids
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.control import _leadership
from fulmarseam.control import _registrations
from tests import control_fixtures as fixtures
from tests import test_control_steps

SLOTS = 4
# Grants expire after 2.8 s, and the last request must have ended 10 s later,
# both with a clock drift of 1%.
LAPSED_S = 13.0


class RegistrationTest(test_control_steps.LeaderCase):
    """Guards against granting slots that a silent entry still uses.

    That happens when a new leader does not know of an entry, because the
    entry was not registered before its first grant or was removed too early.
    """

    def setUp(self) -> None:
        super().setUp()
        self.edit(wire.Pool(name=ids.PoolName('katalog'), slow_start_s=0.0))
        self.sequence = 0
        self.e1 = fixtures.make_info('e1')
        self.e2 = fixtures.make_info('e2')

    def plan(self, now: float) -> None:
        steps = list(
            _registrations.plan_registrations(
                now, self.leadership, self.tables
            )
        )
        for row in steps:
            self.apply(store.Step(rows=[row]))

    def request(self, info: wire.EntryInfo) -> wire.SyncRequest:
        self.sequence += 1
        target = fixtures.make_target(slots=SLOTS, sequence=self.sequence)
        return fixtures.make_request(
            info,
            announcements=[target],
            wanted=SLOTS,
        )

    def grant(self, now: float, info: wire.EntryInfo) -> int:
        self.sync(now, self.request(info))
        self.leadership.allocate(now)
        grants = self.leadership.issue_grants(now, info)
        return sum(grant.slots for grant in grants.slots)

    def change_leader(self, now: float) -> None:
        [content] = fixtures.make_group_settings('/nowhere', 1)
        self.leadership = _leadership.Leadership(
            now,
            ids.Term(2),
            fixtures.parse_control_settings(content),
            self.tables,
        )

    def test_no_grant_before_the_registration_is_in_the_log(self) -> None:
        self.assertEqual(0, self.grant(0.0, self.e1))
        self.plan(0.0)
        self.assertEqual(SLOTS, self.grant(0.1, self.e1))

    def test_new_leader_waits_for_a_silent_entry(self) -> None:
        self.grant(0.0, self.e1)
        self.plan(0.0)
        self.assertEqual(SLOTS, self.grant(0.1, self.e1))
        self.change_leader(1.0)
        for name, now, slots in (
            ('e2', 1.1, 0),
            ('e3', 1.0 + LAPSED_S - 0.2, 0),
            ('e4', 1.0 + LAPSED_S, SLOTS // 2),
        ):
            info = fixtures.make_info(name)
            self.sync(now, self.request(info))
            self.plan(now)
            self.assertEqual(slots, self.grant(now, info), name)

    def test_new_leader_grants_once_all_entries_have_synced(self) -> None:
        self.sync(0.0, self.request(self.e1))
        self.plan(0.0)
        self.change_leader(1.0)
        self.sync(1.0, fixtures.make_request(self.e1))
        self.sync(1.0, self.request(self.e2))
        self.plan(1.0)
        self.assertEqual(0, self.grant(1.1, self.e2))
        grants = self.leadership.issue_grants(1.1, self.e1)
        self.sync(
            1.2,
            msgspec.structs.replace(
                fixtures.make_request(self.e1),
                ack_term=2,
                ack_sequence=grants.sequence,
            ),
        )
        self.assertEqual(SLOTS, self.grant(1.3, self.e2))

    def test_old_incarnation_is_removed_only_after_its_requests(
        self,
    ) -> None:
        self.sync(0.0, self.request(self.e1))
        self.plan(0.0)
        restarted = fixtures.make_info('e1', incarnation=2)
        self.sync(1.0, self.request(restarted))
        self.plan(1.0)
        row = self.tables.get(wire.Registration, 'e1')
        assert row is not None
        self.assertEqual([1, 2], row.incarnations)
        self.leadership.allocate(1.0 + LAPSED_S)
        self.sync(1.0 + LAPSED_S, self.request(restarted))
        self.plan(1.0 + LAPSED_S)
        row = self.tables.get(wire.Registration, 'e1')
        assert row is not None
        self.assertEqual([2], row.incarnations)
