"""Tests of the bound on the repeats that targets get from all entries."""

import asyncio
import collections
import itertools

from tests import arrivals
from tests import cut_off_case
from tests import rate_limit_case

RATE_PER_S = 40.0
RELAYED_PER_S = 20.0
# How long requests are sent before each start of an entry.
PERIOD_S = 2.0
STARTS = 5
# Entries have this long to find out that their paths are cut.
SETTLE_S = 3.0
MEASURE_S = 8.0
# The bounds of the settings.
RATIO = 0.2
SLACK = 10.0
WINDOW_S = 10.0


class RefusingTarget(rate_limit_case.LimitedTarget):
    """A target that refuses each second request, and notes all of them."""

    def __init__(self, received: list[tuple[float, str]]) -> None:
        super().__init__()
        self._received = received
        self._count = itertools.count()

    async def _serve(self, reader, writer, headers) -> None:
        now = asyncio.get_running_loop().time()
        self._received.append((now, headers['fulmarseam-request-id']))
        self.is_refusing = next(self._count) % 2 == 0
        await super()._serve(reader, writer, headers)


class RetryBudgetCase(cut_off_case.CutOffCase):
    """Runs entries and targets that refuse half of the requests."""

    async def asyncSetUp(self) -> None:
        # Arrivals at all targets, with the ids of the requests.
        self.received: list[tuple[float, str]] = []
        await super().asyncSetUp()

    def make_target(self) -> rate_limit_case.LimitedTarget:
        """Return a target that is not started yet."""
        return RefusingTarget(self.received)

    def check_budget(self, requests: int) -> None:
        """Check that no window had more repeats than allowed.

        `requests` are those that callers have sent in all.
        """
        seen: collections.Counter[str] = collections.Counter()
        repeats = []
        for at, request in self.received:
            seen[request] += 1
            if seen[request] > 1:
                repeats.append(at)
        peak = arrivals.find_peak(repeats, window_s=WINDOW_S)
        self.assertLessEqual(peak, RATIO * requests + SLACK)


class RestartedEntryTest(RetryBudgetCase):
    """Guards against entries that forget at a restart what they retried."""

    entry_count = 1

    async def test_an_entry_that_starts_anew_gets_no_second_slack(
        self,
    ) -> None:
        for start in range(STARTS):
            if start:
                await self.stop_entries()
                self.is_first_start = False
                await self.start_entries(1)
            caller = rate_limit_case.Caller(self.addresses[-1], f'e{start}')
            await caller.run(RATE_PER_S, PERIOD_S)
        self.check_budget(int(STARTS * RATE_PER_S * PERIOD_S))


class RelayedRepeatsTest(RetryBudgetCase):
    """Guards against repeats through other entries that nobody counts."""

    entry_count = 8

    async def test_requests_relayed_again_stay_within_the_budget(self) -> None:
        caller = self.make_callers()[0]
        self.cut(0, cut_off_case.CutKind.REFUSED)
        await caller.run(RELAYED_PER_S, SETTLE_S)
        self.received.clear()
        caller.name = 'again'
        await caller.run(RELAYED_PER_S, MEASURE_S)
        self.check_budget(int(RELAYED_PER_S * MEASURE_S))
        self.assertGreater(caller.statuses.count(200), 0)
