"""Tests of bounds that all entries keep together by even parts.

The scenarios are played in virtual time, without a network.
"""

import random
import unittest

from fulmarseam import steering
from tests import arrivals
from tests import catalog_fixtures as fixtures

SIZES = (1, 7, 79)
STEP_S = 0.005


class ColdTargetTest(unittest.TestCase):
    """Scenario: all entries want a cold target at once.

    Guards against a sum over all entries above what the target bears.
    """

    COLD_PER_S = 17.0
    FACTOR = 1.5
    SLACK = 5.0
    COLD_S = 3.0

    def play(self, entries: int, known: int) -> list[float]:
        """Return when requests are sent; entries know of `known` entries."""
        limit = steering.ColdRateLimit(self.FACTOR, self.SLACK)
        targets = []
        for number in range(entries):
            target = steering.ObservedTarget(
                fixtures.make_record('t'),
                is_remote=False,
                token_offset=number / entries,
            )
            steering.mark_cold(target, 0.0, self.COLD_S)
            targets.append(target)
        rate = limit.compute_sender_rate(self.COLD_PER_S, known)
        sent = []
        for step in range(int(self.COLD_S / STEP_S)):
            now = step * STEP_S
            for target in targets:
                if steering.may_send(target, now, rate):
                    target.tokens -= 1.0
                    sent.append(now)
        return sent

    def test_the_sum_stays_within_the_rate(self) -> None:
        bound = self.COLD_PER_S * self.FACTOR + self.SLACK
        for entries in SIZES:
            with self.subTest(entries=entries):
                sent = self.play(entries, entries)
                self.assertLessEqual(
                    arrivals.find_peak(sent, window_s=1.0), bound
                )

    def test_an_entry_that_the_others_do_not_know_yet_fits(self) -> None:
        bound = self.COLD_PER_S * self.FACTOR + self.SLACK
        for entries in SIZES[1:]:
            with self.subTest(entries=entries):
                sent = self.play(entries, entries - 1)
                self.assertLessEqual(
                    arrivals.find_peak(sent, window_s=1.0), bound
                )


class RetryBudgetTest(unittest.TestCase):
    """Scenario: each request of all entries would be sent once more.

    Guards against retries of all entries together above the budget, also
    when callers move from one entry to another, and when entries start anew.
    """

    RATIO = 0.2
    SLACK = 56.0
    WINDOW_S = 10.0
    # The share of ratio and slack that a load balancer uses.
    USED = 0.8

    def test_the_sum_stays_within_the_budget(self) -> None:
        for entries in SIZES:
            with self.subTest(entries=entries):
                self.check(entries, 0.0)

    # Each process had its part of the slack anew.
    def test_the_sum_stays_within_the_budget_over_restarts(self) -> None:
        for entries in SIZES:
            with self.subTest(entries=entries):
                self.check(entries, 0.5)

    def make_budget(
        self, entries: int, slack_from: float
    ) -> steering.WindowedRetryBudget:
        """Return the budget of one of several entries."""
        return steering.WindowedRetryBudget(
            self.RATIO * self.USED,
            self.SLACK * self.USED / entries,
            self.WINDOW_S,
            slack_from,
        )

    def check(self, entries: int, restarts_per_s: float) -> None:
        """Check all windows; each entry starts anew `restarts_per_s` times."""
        rng = random.Random(entries)
        budgets = [self.make_budget(entries, 0.0) for _ in range(entries)]
        requests = []
        retries = []
        for step in range(6_000):
            now = step * STEP_S
            # Callers use another third of the entries each 5 s.
            first = int(now / 5.0) * entries // 3
            for number in range(entries):
                if rng.random() < restarts_per_s * STEP_S:
                    budgets[number] = self.make_budget(
                        entries, now + self.WINDOW_S
                    )
            budget = budgets[
                (first + rng.randrange(max(1, entries // 3))) % entries
            ]
            budget.count_request(now)
            requests.append(now)
            if budget.try_acquire(now):
                retries.append(now)
        for start in retries:
            end = start + self.WINDOW_S
            count = arrivals.count(retries, start, end)
            sent = arrivals.count(requests, start, end)
            self.assertLessEqual(count, self.RATIO * sent + self.SLACK)
