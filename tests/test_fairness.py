"""Tests of the fairness between organisations, without a network."""

import random
import unittest

from fulmarseam import ids
from fulmarseam import steering

# Longest queues by priority, in seconds of work, as in the placement.
MAX_QUEUES_S = (2.0, 1.5, 1.0)
SERVICE_S = 0.02


def play(
    rates: dict[str, float],
    priorities: dict[str, int],
    is_fair: bool = True,
    duration_s: float = 60.0,
) -> dict[str, float]:
    """Return the share of the requests of each organisation that was served.

    One queue serves 50 requests/s. A request that finds it longer than its
    priority allows is refused.
    """
    rng = random.Random(5)
    fair = steering.FairPriorities()
    ended = dict.fromkeys(rates, 0)
    served = dict.fromkeys(rates, 0)
    now = 0.0
    free_at = 0.0
    total = sum(rates.values())
    while now < duration_s:
        now += rng.expovariate(total)
        name = rng.choices(list(rates), list(rates.values()))[0]
        organisation = ids.OrganisationName(name)
        priority = priorities[name]
        if is_fair:
            priority = fair.choose(now, organisation, priority)
        queue_s = max(0.0, free_at - now)
        is_served = queue_s <= MAX_QUEUES_S[priority]
        if is_served:
            free_at = max(free_at, now) + SERVICE_S
        fair.note_end(now, organisation, is_served)
        ended[name] += 1
        served[name] += is_served
    return {name: served[name] / ended[name] for name in rates}


class FairnessTest(unittest.TestCase):
    """Guards against organisations that get hardly any answer."""

    RATES = {'high': 70.0, 'middle': 30.0, 'low': 10.0}
    PRIORITIES = {'high': 0, 'middle': 1, 'low': 2}

    def find_mean(self, shares: dict[str, float]) -> float:
        """Return the share of all requests that was served."""
        return sum(
            shares[name] * rate for name, rate in self.RATES.items()
        ) / sum(self.RATES.values())

    def test_a_lasting_overload_starves_no_organisation(self) -> None:
        unfair = play(self.RATES, self.PRIORITIES, is_fair=False)
        self.assertLess(unfair['low'], 0.25 * self.find_mean(unfair))
        shares = play(self.RATES, self.PRIORITIES)
        mean = self.find_mean(shares)
        for name, share in shares.items():
            with self.subTest(name):
                self.assertGreaterEqual(share, 0.25 * mean)
        self.assertGreater(shares['high'], shares['low'])

    def test_without_an_overload_priorities_stay(self) -> None:
        fair = steering.FairPriorities()
        name = ids.OrganisationName('a')
        for number in range(20):
            fair.note_end(number * 0.1, name, True)
        self.assertEqual(fair.choose(2.0, name, 2), 2)

    def test_a_preferred_organisation_falls_back_once_it_has_caught_up(
        self,
    ) -> None:
        fair = steering.FairPriorities()
        low = ids.OrganisationName('low')
        high = ids.OrganisationName('high')
        for number in range(20):
            fair.note_end(number * 0.1, low, False)
            fair.note_end(number * 0.1, high, True)
        self.assertEqual(fair.choose(2.0, low, 2), 0)
        self.assertEqual(fair.choose(2.0, high, 1), 1)
        for number in range(40):
            fair.note_end(2.0 + number * 0.1, low, True)
        self.assertEqual(fair.choose(6.0, low, 2), 2)

    def test_organisations_that_are_removed_are_forgotten(self) -> None:
        fair = steering.FairPriorities()
        name = ids.OrganisationName('a')
        for _ in range(9):
            fair.note_end(0.0, name, False)
            fair.note_end(0.0, ids.OrganisationName('b'), True)
        fair.retain(frozenset())
        self.assertEqual(fair.choose(0.0, name, 2), 2)
