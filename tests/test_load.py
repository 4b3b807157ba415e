"""Tests of the load generator."""

import asyncio
import collections
import pathlib
import random
import tempfile
import unittest

from fulmarseam import errors
from fulmarseam import settings
from fulmarseam import standin
from fulmarseam.standin import _direct
from fulmarseam.standin import _server
from tests import _loopback


def make_options(**changes: object) -> settings.LoadSettings:
    """Return settings of a load of 0.5 s."""
    values: dict[str, object] = {
        'direct': [_loopback.find_free_address()],
        'region': 'ost',
        'routes': [
            settings.LoadRoute('list', 'shop.example', weight=3.0),
            settings.LoadRoute('edit', 'shop.example', '/edit', 'POST'),
        ],
        'phases': [settings.LoadPhase(200.0, 0.5)],
        'seed': 1,
        **changes,
    }
    return settings.LoadSettings(**values)  # type: ignore[arg-type]


class ScheduleTest(unittest.TestCase):
    """Guards against load that does not follow its rates and weights."""

    def test_rates_and_weights(self) -> None:
        phases = [
            settings.LoadPhase(1_000.0, 10.0),
            settings.LoadPhase(100.0, 10.0),
        ]
        options = make_options(phases=phases)
        arrivals = list(standin.schedule_arrivals(options, random.Random(1)))
        first_phase = [
            arrival for arrival in arrivals if arrival.offset_s < 10
        ]
        self.assertAlmostEqual(10_000, len(first_phase), delta=400)
        self.assertAlmostEqual(
            1_000, len(arrivals) - len(first_phase), delta=130
        )
        counts = collections.Counter(
            arrival.route.name for arrival in arrivals
        )
        self.assertAlmostEqual(3, counts['list'] / counts['edit'], delta=0.2)
        offsets = [arrival.offset_s for arrival in arrivals]
        self.assertEqual(sorted(offsets), offsets)


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against arrivals that wait for responses, and lost records."""

    async def test_slow_responses_do_not_delay_arrivals(self) -> None:
        in_flight, peak = 0, 0

        async def handle(
            request: _server.ServerRequest,
        ) -> _server.ServerResponse:
            nonlocal in_flight, peak
            in_flight += 1
            peak = max(peak, in_flight)
            await asyncio.sleep(0.4)
            in_flight -= 1
            return _server.ServerResponse(200, {})

        with tempfile.TemporaryDirectory() as directory:
            journal = str(pathlib.Path(directory) / 'calls')
            options = make_options(journal=journal)
            async with _server.Server(options.direct[0], handle):
                summaries = await standin.run_load(options)
            calls = list(standin.read_journal(journal, standin.CallRecord))
        self.assertGreater(peak, 40)
        good = sum(summary.good for summary in summaries)
        self.assertEqual(len(calls), good)
        self.assertGreater(good, 70)
        self.assertEqual(len(calls), len({call.mark for call in calls}))
        for summary in summaries:
            self.assertGreaterEqual(summary.get_percentile_ms(50), 400)

    async def test_refused_connection_is_recorded_as_not_run(self) -> None:
        options = make_options()
        summaries = await standin.run_load(options)
        not_run = sum(
            summary.outcomes[errors.Outcome.NOT_RUN] for summary in summaries
        )
        self.assertGreater(not_run, 70)
        self.assertEqual(0, sum(summary.good for summary in summaries))


class PolicyTest(unittest.TestCase):
    """Guards against baselines that do not follow their named policy."""

    ADDRESSES = ('a', 'b', 'c')

    def choose(
        self, policy: str, outstanding: _direct.OutstandingCounter
    ) -> collections.Counter[str]:
        choose = _direct.make_chooser(policy, random.Random(1), outstanding)
        return collections.Counter(
            choose(self.ADDRESSES) for _ in range(3_000)
        )

    def test_random_ignores_requests_in_flight(self) -> None:
        outstanding = _direct.OutstandingCounter()
        outstanding.add('a', 5)
        counts = self.choose('random', outstanding)
        for address in self.ADDRESSES:
            self.assertAlmostEqual(1_000, counts[address], delta=100)

    def test_least_outstanding_chooses_idle_addresses_evenly(self) -> None:
        outstanding = _direct.OutstandingCounter()
        outstanding.add('a', 1)
        counts = self.choose('least-outstanding', outstanding)
        self.assertEqual(0, counts['a'])
        self.assertAlmostEqual(1_500, counts['b'], delta=150)
