"""Tests of the decisions about what callers may occupy."""

import random
import unittest

from fulmarseam import intake

MIB = intake.MIB


class BudgetCase(unittest.TestCase):
    """Has a budget of 10 MiB and a clock that the test moves."""

    def setUp(self) -> None:
        self.budget = intake.Budget(
            intake.Rules(
                memory_bytes=10 * MIB,
                max_connections=3,
                min_progress=100.0,
                progress_timeout_s=10.0,
            )
        )
        self.now = 0.0

    def open(
        self,
        phase: intake.Phase,
        held: int,
        progress: int = 0,
        address: str = '10.0.0.1',
    ) -> intake.Account:
        """Open an account that holds bytes of a body."""
        account = self.budget.open(address, self.now)
        account.phase = phase
        self.hold(account, held)
        if progress:
            account.add_progress(self.now, progress)
        return account

    def hold(self, account: intake.Account, held: int) -> None:
        self.budget.set_held(account, intake.Kind.BODY, held, self.now)


class PressureTest(BudgetCase):
    """Guards against a process that holds more than its budget."""

    def test_large_requests_wait_and_small_ones_are_read(self) -> None:
        large = self.open(intake.Phase.COLLECTING, 7 * MIB)
        small = self.open(intake.Phase.COLLECTING, 16 * 1024)
        self.assertTrue(self.budget.may_read(large))
        self.hold(large, 8 * MIB)
        self.assertFalse(self.budget.may_read(large))
        self.assertTrue(self.budget.may_read(small))
        self.hold(large, 6 * MIB)
        self.assertFalse(self.budget.may_read(large))
        self.hold(large, 4 * MIB)
        self.assertTrue(self.budget.may_read(large))

    def test_much_more_is_held_in_calm_only(self) -> None:
        account = self.open(intake.Phase.COLLECTING, 1024)
        self.assertTrue(self.budget.may_hold(account, MIB))
        self.open(intake.Phase.COLLECTING, 8 * MIB)
        self.assertFalse(self.budget.may_hold(account, MIB))
        self.assertTrue(self.budget.may_hold(account, 8 * 1024))

    def test_nothing_is_closed_in_calm(self) -> None:
        self.open(intake.Phase.COLLECTING, 7 * MIB)
        self.now = 100.0
        self.assertEqual([], self.budget.choose_closed(self.now))

    def test_stopped_callers_are_closed_before_moving_ones(self) -> None:
        stopped = self.open(intake.Phase.COLLECTING, 3 * MIB)
        self.now = 5.0
        moving = self.open(intake.Phase.COLLECTING, 5 * MIB, MIB)
        self.assertEqual([], self.budget.choose_closed(self.now))
        self.now += 1.0
        moving.add_progress(self.now, MIB)
        self.assertEqual([stopped], self.budget.choose_closed(self.now)[:1])

    def test_more_than_the_budget_is_not_waited_for(self) -> None:
        account = self.open(intake.Phase.COLLECTING, 11 * MIB, MIB)
        self.assertEqual([account], self.budget.choose_closed(self.now))

    def test_requests_that_may_run_are_never_closed(self) -> None:
        running = self.open(intake.Phase.RUNNING, 11 * MIB)
        streaming = self.open(intake.Phase.STREAMING, 11 * MIB)
        sending = self.open(intake.Phase.SENDING, 11 * MIB)
        self.now = 20.0
        for account in (streaming, sending):
            account.add_progress(self.now, 1)
        self.assertEqual([], self.budget.choose_closed(self.now))
        # Callers that have stopped sending or reading lose the protection.
        self.now += intake.STOPPED_S
        self.assertEqual(
            {streaming, sending}, set(self.budget.choose_closed(self.now))
        )
        self.assertNotIn(running, self.budget.list_evictable(self.now))

    def test_a_caller_that_waits_unread_has_not_stopped(self) -> None:
        account = self.open(intake.Phase.STREAMING, 11 * MIB, MIB)
        account.waiting_since = self.now
        self.now = 60.0
        self.assertEqual([], self.budget.choose_closed(self.now))
        self.assertEqual([], self.budget.list_too_slow(self.now))

    def test_the_address_that_holds_most_is_closed_first(self) -> None:
        self.open(intake.Phase.COLLECTING, 4 * MIB, address='10.0.0.2')
        for _ in range(2):
            self.open(intake.Phase.COLLECTING, 3 * MIB, address='10.0.0.3')
        self.now = 5.0
        first = self.budget.choose_closed(self.now)[0]
        self.assertEqual('10.0.0.3', first.address)

    def test_sums_match_the_accounts_after_any_changes(self) -> None:
        rng = random.Random(7)
        accounts = []
        for step in range(2_000):
            self.now = step / 100
            if not accounts or rng.random() < 0.1:
                accounts.append(self.budget.open('a', self.now))
            account = rng.choice(accounts)
            if rng.random() < 0.1:
                self.budget.close(account, self.now)
                accounts.remove(account)
            self.budget.set_held(
                account,
                rng.choice(list(intake.Kind)),
                rng.randrange(MIB),
                self.now,
            )
            held = sum(account.held for account in self.budget.accounts)
            self.assertEqual(held, sum(self.budget.parts.values()))
            fixed = self.budget.parts[intake.Kind.CONNECTION]
            self.assertEqual(held - fixed, self.budget.held)

    def test_idle_connections_are_no_pressure(self) -> None:
        accounts = [self.open(intake.Phase.IDLE, 0) for _ in range(4_000)]
        self.now = 60.0
        self.assertTrue(self.budget.may_read(accounts[0]))
        self.assertEqual([], self.budget.choose_closed(self.now))


class ConnectionTest(BudgetCase):
    """Guards against new callers kept out by idle or slow ones."""

    def test_slow_callers_make_room_before_kept_connections(self) -> None:
        kept = self.open(intake.Phase.IDLE, 0)
        kept.has_served = True
        slow = self.open(intake.Phase.COLLECTING, 0, 1)
        self.open(intake.Phase.RUNNING, 0)
        self.assertTrue(self.budget.is_full)
        self.assertEqual([slow, kept], self.budget.list_evictable(self.now))


class ProgressTest(BudgetCase):
    """Guards against callers that hold on with a byte now and then."""

    def check(self, bytes_per_s: int, expected: bool) -> None:
        account = self.open(intake.Phase.COLLECTING, 0)
        found = []
        for _ in range(11):
            self.now += 1.0
            account.add_progress(self.now, bytes_per_s)
            found += self.budget.list_too_slow(self.now)
        self.assertEqual(expected, account in found)

    def test_slow_bodies_are_found(self) -> None:
        self.check(99, True)

    def test_bodies_with_the_minimum_are_kept(self) -> None:
        self.check(101, False)

    def find_with_defaults(self, phase: intake.Phase) -> bool:
        """Return whether a byte every 14 s is too slow for the defaults."""
        self.budget = intake.Budget(intake.Rules())
        account = self.open(phase, 0)
        found = []
        for second in range(300):
            self.now += 1.0
            if second % 14 == 0:
                account.add_progress(self.now, 1)
            found += self.budget.list_too_slow(self.now)
        return account in found

    def test_bodies_have_no_minimum_by_default(self) -> None:
        for phase in (intake.Phase.COLLECTING, intake.Phase.STREAMING):
            self.assertFalse(self.find_with_defaults(phase))

    def test_unread_answers_have_a_minimum_by_default(self) -> None:
        self.assertTrue(self.find_with_defaults(intake.Phase.SENDING))

    def test_an_answer_is_measured_from_its_start(self) -> None:
        self.budget = intake.Budget(intake.Rules())
        account = self.open(intake.Phase.STREAMING, 0)
        found = []
        for second in range(59):
            self.now += 1.0
            if second == 29:
                account.phase = intake.Phase.SENDING
            found += self.budget.list_too_slow(self.now)
        self.assertEqual([], found)
        for _ in range(2):
            self.now += 1.0
            found += self.budget.list_too_slow(self.now)
        self.assertEqual([account], found)

    def test_idle_and_running_ones_are_not_measured(self) -> None:
        self.open(intake.Phase.IDLE, 0)
        self.open(intake.Phase.RUNNING, 0)
        for _ in range(30):
            self.now += 1.0
            self.assertEqual([], self.budget.list_too_slow(self.now))


class RulesTest(unittest.TestCase):
    """Guards against a budget without room for ordinary requests."""

    def test_the_budget_is_a_part_of_the_free_memory(self) -> None:
        self.assertEqual(
            60 * MIB, intake.compute_memory_bytes(200 * MIB, 50 * MIB)
        )

    def test_the_budget_has_a_minimum(self) -> None:
        self.assertEqual(
            4 * MIB, intake.compute_memory_bytes(40 * MIB, 50 * MIB)
        )
