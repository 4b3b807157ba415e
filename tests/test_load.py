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
    """Return settings of a short load."""
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
        early = [item for item in arrivals if item.offset_s < 10]
        self.assertAlmostEqual(10_000, len(early), delta=400)
        self.assertAlmostEqual(1_000, len(arrivals) - len(early), delta=130)
        counts = collections.Counter(item.route.name for item in arrivals)
        self.assertAlmostEqual(3, counts['list'] / counts['edit'], delta=0.2)
        offsets = [item.offset_s for item in arrivals]
        self.assertEqual(sorted(offsets), offsets)


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a load that waits for answers or loses calls."""

    async def test_slow_answers_do_not_slow_arrivals(self) -> None:
        present, most = 0, 0

        async def handle(
            request: _server.ServerRequest,
        ) -> _server.ServerResponse:
            nonlocal present, most
            present += 1
            most = max(most, present)
            await asyncio.sleep(0.4)
            present -= 1
            return _server.ServerResponse(200, {})

        with tempfile.TemporaryDirectory() as folder:
            journal = str(pathlib.Path(folder) / 'calls')
            options = make_options(journal=journal)
            async with _server.Server(options.direct[0], handle):
                summaries = await standin.run_load(options)
            calls = list(standin.read_journal(journal, standin.CallRecord))
        self.assertGreater(most, 40)
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


class ChoiceTest(unittest.TestCase):
    """Guards against baselines that are not what they are called."""

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

    def test_least_outstanding_spreads_over_the_idle(self) -> None:
        outstanding = _direct.OutstandingCounter()
        outstanding.add('a', 1)
        counts = self.choose('least-outstanding', outstanding)
        self.assertEqual(0, counts['a'])
        self.assertAlmostEqual(1_500, counts['b'], delta=150)
