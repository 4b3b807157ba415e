"""Tests of quotas: the decisions, and simulations without a network."""

from collections.abc import Callable
import unittest

from fulmarseam import steering
from fulmarseam import wire
from tests import quota_simulation

NAME = quota_simulation.NAME
BOUNDS = quota_simulation.BOUNDS
# The shares are measured once the burst is used up.
SETTLE_S = 8.0
END_S = 20.0
MIN_USED_SHARE = 0.95


def make_row(
    rate_per_s: float, burst: float = 0.0, version: int = 1
) -> wire.OrganisationItem:
    """Return an organisation with a quota."""
    return wire.OrganisationItem(
        name=NAME, version=version, rate_per_s=rate_per_s, burst=burst
    )


def play(
    rate_per_s: float,
    burst: float,
    entries: int,
    demand: quota_simulation.Rate,
    way: type[quota_simulation.Simulation] = quota_simulation.Permits,
    **options: float,
) -> quota_simulation.Simulation:
    """Play a simulation to its end."""
    simulation = way(make_row(rate_per_s, burst), entries, demand, **options)
    simulation.run()
    return simulation


class QuotaSimulationTest(unittest.TestCase):
    """Guards against a quota that is exceeded, or that cannot be used."""

    QUOTAS = ((10.0, 0.0), (40.0, 80.0), (200.0, 0.0), (200.0, 400.0))

    def check_bound(self, simulation: quota_simulation.Simulation) -> None:
        """Check that no window has more requests than allowed."""
        self.assertLessEqual(simulation.count_excess(), 0.0)

    def check_used(
        self, simulation: quota_simulation.Simulation, rate_per_s: float
    ) -> None:
        """Check that the rate can be used."""
        wanted = simulation.count_wanted(SETTLE_S, END_S)
        self.assertGreaterEqual(
            simulation.count_rate(SETTLE_S, END_S),
            MIN_USED_SHARE * min(rate_per_s, wanted),
        )

    def test_a_rate_is_usable_at_one_entry_and_at_all(self) -> None:
        for entries in (7, 79):
            for rate, burst in self.QUOTAS:
                demands: dict[str, quota_simulation.Rate] = {
                    'one': lambda entry, _, rate=rate: (
                        1.2 * rate * (entry == 0)
                    ),
                    'all': lambda _, __, rate=rate, entries=entries: (
                        1.5 * rate / entries
                    ),
                    'below': lambda entry, _, rate=rate: (
                        0.9 * rate * (entry == 0)
                    ),
                }
                for name, demand in demands.items():
                    with self.subTest(name, entries=entries, rate=rate):
                        simulation = play(rate, burst, entries, demand)
                        self.check_bound(simulation)
                        self.check_used(simulation, rate)

    def test_seven_times_the_rate_stays_within_the_bound(self) -> None:
        for entries in (7, 79):
            for rate, burst in self.QUOTAS:
                for seed in (1, 2, 3):
                    with self.subTest(entries=entries, rate=rate, seed=seed):
                        simulation = play(
                            rate,
                            burst,
                            entries,
                            lambda _, now, rate=rate, entries=entries: (
                                7.0 * rate / entries * (now > 4.0)
                            ),
                            seed=seed,
                        )
                        self.check_bound(simulation)
                        self.check_used(simulation, rate)

    def test_bursts_that_move_stay_within_the_bound(self) -> None:
        for entries in (7, 79):
            simulation = play(
                40.0,
                80.0,
                entries,
                lambda entry, now, entries=entries: (
                    280.0 * (entry == int(now * 1.7) % entries)
                ),
            )
            self.check_bound(simulation)

    def test_load_waves_stay_within_the_bound(self) -> None:
        simulation = play(
            100.0,
            50.0,
            7,
            lambda entry, now: 40.0 * (int(now + entry) % 7 < 3),
        )
        self.check_bound(simulation)
        self.check_used(simulation, 100.0)

    def test_the_burst_is_available_once(self) -> None:
        """The bucket and the free part of the entry, which is the most."""
        simulation = play(
            10.0,
            100.0,
            7,
            lambda entry, now: 300.0 * (entry == 0),
        )
        self.assertGreaterEqual(simulation.count_rate(0.0, 1.0), 70.0)
        self.check_bound(simulation)

    def check_fault(
        self, work: Callable[[quota_simulation.Permits], None], entries: int
    ) -> quota_simulation.Permits:
        """Check the bound with faults that `work` adds."""
        simulation = quota_simulation.Permits(
            make_row(100.0, 100.0),
            entries,
            lambda _, now: 300.0 / entries,
        )
        work(simulation)
        simulation.run()
        self.check_bound(simulation)
        return simulation

    def test_a_change_of_the_leader_stays_within_the_bound(self) -> None:
        def change(simulation: quota_simulation.Permits) -> None:
            simulation.at(6.0, simulation.stop_leader)
            simulation.at(7.0, simulation.change_leader)
            simulation.at(11.0, simulation.change_leader)

        simulation = self.check_fault(change, 7)
        # The even parts serve without a leader.
        self.assertGreater(simulation.count_rate(6.5, 7.0), 40.0)
        self.assertGreater(simulation.count_rate(13.0, 20.0), 93.0)

    def test_entries_without_a_leader_keep_to_their_parts(self) -> None:
        def cut(simulation: quota_simulation.Permits) -> None:
            simulation.at(6.0, simulation.cut_off, range(4))
            simulation.at(14.0, simulation.cut_off, range(4), False)

        simulation = self.check_fault(cut, 7)
        self.assertGreater(simulation.count_rate(8.0, 14.0), 85.0)

    def test_a_lost_leader_stays_within_the_bound(self) -> None:
        for entries in (7, 79):
            self.check_fault(
                lambda simulation: simulation.at(6.0, simulation.stop_leader),
                entries,
            )

    def test_an_organisation_far_below_its_quota_costs_no_messages(
        self,
    ) -> None:
        simulation = play(200.0, 400.0, 7, lambda _, __: 2.0)
        assert isinstance(simulation, quota_simulation.Permits)
        self.assertLess(simulation.messages / 7 / END_S, 0.2)
        waited = sum(wait > 0.0 for wait in simulation.waits)
        self.assertLess(waited, 0.02 * len(simulation.waits))
        self.assertEqual(len(simulation.wanted), len(simulation.waits))

    def test_even_parts_and_gossip_waste_what_permits_use(self) -> None:
        """Documents the comparison in docs/design/organisations.md."""
        used = {}
        for way in (
            quota_simulation.Simulation,
            quota_simulation.Gossip,
            quota_simulation.Permits,
        ):
            simulation = play(
                200.0,
                400.0,
                79,
                lambda entry, now: 240.0 * (entry == int(now / 3.0)),
                way,
            )
            used[way.__name__] = simulation.count_rate(SETTLE_S, END_S)
        self.assertLess(used['Simulation'], 20.0)
        self.assertLess(used['Gossip'], used['Permits'])
        self.assertGreater(used['Permits'], MIN_USED_SHARE * 200.0)

    def test_thousands_of_entries_stay_within_the_bound(self) -> None:
        for way in (quota_simulation.Gossip, quota_simulation.Permits):
            simulation = play(
                200.0, 400.0, 3_300, lambda _, __: 0.3, way, duration_s=8.0
            )
            if way is quota_simulation.Permits:
                self.check_bound(simulation)


class QuotaStocksTest(unittest.TestCase):
    """Guards against tokens that are lost or counted twice."""

    def setUp(self) -> None:
        self.stocks = steering.QuotaStocks(BOUNDS)
        self.stocks.update(0.0, [make_row(10.0)])
        self.stocks.note_leader(0.0)
        self.issuer = steering.QuotaIssuer(BOUNDS)
        self.issuer.update(-10.0, 1, [])
        self.issuer.update(0.0, 1, [make_row(10.0)])

    def ask(self, now: float, count: int) -> list[wire.QuotaAsk]:
        """Ask for permits and add them."""
        asks = self.stocks.list_asks(now, {NAME: count})
        counts = self.issuer.issue(now, asks, 1, 0)
        self.stocks.add_permits(now, now, asks, counts)
        return asks

    def test_a_request_that_did_not_run_gives_its_permit_back(self) -> None:
        self.ask(0.0, 1)
        token = self.stocks.take(0.1, NAME)
        assert token is not None
        self.stocks.give_back(token)
        self.assertEqual(self.stocks.take(0.1, NAME), token)

    def test_permits_that_expire_are_returned_once(self) -> None:
        self.ask(0.0, 3)
        (report,) = self.stocks.list_reports(1.0)
        self.assertEqual((report.returned, report.used), (3, 0))
        self.assertEqual(self.stocks.list_reports(1.0), [])
        self.stocks.note_lost([report])
        self.assertEqual(self.stocks.list_reports(1.0), [])

    def test_use_of_the_free_part_is_reported_until_it_arrives(self) -> None:
        token = self.stocks.take(1.0, NAME)
        assert token is not None
        (report,) = self.stocks.list_reports(1.0)
        self.assertEqual(report.used, 1)
        self.stocks.note_lost([report])
        self.assertEqual(self.stocks.list_reports(1.0), [report])

    def test_a_new_leader_issues_nothing_at_first(self) -> None:
        issuer = steering.QuotaIssuer(BOUNDS)
        issuer.update(0.0, 4, [make_row(10.0, 50.0)])
        ask = wire.QuotaAsk(NAME, 5)
        self.assertEqual(issuer.issue(0.1, [ask], 1, 0), [0])
        self.assertLess(issuer.issue(0.5, [ask], 1, 0)[0], 6)

    def test_an_organisation_that_comes_back_gets_no_new_burst(self) -> None:
        ask = wire.QuotaAsk(NAME, 100)
        self.assertGreater(self.issuer.issue(0.0, [ask], 1, 0)[0], 0)
        self.issuer.update(0.0, 1, [])
        self.issuer.update(0.0, 1, [make_row(10.0, version=3)])
        self.assertEqual(self.issuer.issue(0.0, [ask], 1, 0), [0])

    def test_permits_of_before_a_pause_are_dropped(self) -> None:
        self.ask(0.0, 3)
        self.stocks.drop_permits()
        self.assertIsNone(self.stocks.take(0.0, NAME))

    def test_organisations_without_a_rate_are_not_counted(self) -> None:
        self.stocks.update(0.0, [make_row(0.0)])
        self.assertFalse(self.stocks.has_quota(NAME))

    def test_refused_callers_return_when_tokens_come(self) -> None:
        self.stocks.senders = 100
        self.ask(0.0, 100)
        while self.stocks.take(0.0, NAME):
            pass
        asks = self.stocks.list_asks(0.05, {NAME: 1})
        counts = self.issuer.issue(0.05, asks, 100, 0)
        waits_ms = self.issuer.list_waits_ms(asks, counts)
        # The bucket has half a token.
        self.assertTrue(40 < waits_ms[0] < 70, waits_ms)
        self.stocks.add_permits(0.05, 0.05, asks, counts, waits_ms)
        first = self.stocks.schedule_return(0.05, NAME)
        second = self.stocks.schedule_return(0.05, NAME)
        self.assertGreaterEqual(first, waits_ms[0] / 1_000 - 1e-6)
        self.assertLess(first, 0.3)
        self.assertGreater(second, first)
        # The token is there when the caller returns.
        (ask,) = self.stocks.list_asks(0.05 + first, {NAME: 1})
        self.assertEqual(self.issuer.issue(0.05 + first, [ask], 100, 0), [1])

    def test_a_caller_of_a_slow_quota_is_told_the_whole_wait(self) -> None:
        issuer = steering.QuotaIssuer(BOUNDS)
        row = make_row(0.1)
        issuer.update(-10.0, 1, [])
        issuer.update(0.0, 1, [row])
        stocks = steering.QuotaStocks(BOUNDS)
        stocks.senders = 100
        stocks.update(0.0, [row])
        stocks.note_leader(0.0)
        for _ in range(2):
            asks = stocks.list_asks(0.2, {NAME: 20})
            counts = issuer.issue(0.2, asks, 100, 0)
            waits_ms = issuer.list_waits_ms(asks, counts)
            stocks.add_permits(0.2, 0.2, asks, counts, waits_ms)
            stocks.note_leader(0.2)
            while stocks.take(0.2, NAME):
                pass
        self.assertGreater(stocks.schedule_return(0.4, NAME), 5.0)
