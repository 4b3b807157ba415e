"""Tests of quotas with a control member, entries and targets on loopback."""

import asyncio
import bisect

from fulmarseam import catalog
from fulmarseam import wire
from tests import catalog_fixtures as fixtures
from tests import cut_off_case
from tests import rate_limit_case

WINDOW_S = 5.0
RATE_PER_S = 30.0
BURST = 20.0
BOUND = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20.0
KEY_LINE = 'authorization: Bearer k1\r\n'


def find_peak(arrivals: list[float]) -> int:
    """Return the most arrivals in any window."""
    times = sorted(arrivals)
    return max(
        (
            bisect.bisect_left(times, start + WINDOW_S) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )


class QuotaCase(rate_limit_case.RateLimitCase):
    """Runs three entries, two targets and an organisation with a quota."""

    async def start(self, **fields: object) -> None:
        """Start all, with the fields of the organisation."""
        await self.put_items()
        await self.put(fixtures.make_organisation('acme', 1, 'k1', **fields))
        self.servers = [
            rate_limit_case.LimitedTarget(service_s=0.01) for _ in range(2)
        ]
        for number, server in enumerate(self.servers):
            await self.add_target(f't{number}', server)
        await self.start_entries(3)
        # A new leader issues no permits at first.
        await asyncio.sleep(1.0)

    async def put(self, *items: wire.Item) -> None:
        """Put items of an operator."""
        result = await self.member.submit(
            catalog.PutItems(items=list(items), digest=repr(items).encode()),
            rate_limit_case.START_TIMEOUT_S,
        )
        self.assertEqual(result.problems, [])

    def make_callers(self) -> list[rate_limit_case.Caller]:
        """Return a caller of each entry with a key."""
        callers = super().make_callers()
        for number, caller in enumerate(callers):
            caller.headers = KEY_LINE
            caller.name = f'e{number}'
        return callers

    def list_arrivals(self) -> list[float]:
        """Return when the targets got requests."""
        return [
            arrival for server in self.servers for arrival in server.arrivals
        ]


class QuotaTest(QuotaCase):
    """Guards against organisations that exceed or cannot use their quota."""

    async def test_a_quota_holds_over_all_entries(self) -> None:
        await self.start(rate_per_s=RATE_PER_S, burst=BURST)
        callers = self.make_callers()
        await asyncio.gather(*(caller.run(50.0, 8.0) for caller in callers))
        self.assertLessEqual(find_peak(self.list_arrivals()), BOUND)
        served = sum(caller.statuses.count(200) for caller in callers)
        self.assertGreaterEqual(served, 0.95 * RATE_PER_S * 8.0)
        refused = sum(caller.statuses.count(429) for caller in callers)
        self.assertEqual(
            served + refused, sum(len(caller.statuses) for caller in callers)
        )
        self.assertEqual(
            refused, sum(len(caller.retry_after_s) for caller in callers)
        )

    async def test_one_entry_may_use_the_whole_rate(self) -> None:
        await self.start(rate_per_s=RATE_PER_S, burst=BURST)
        caller = self.make_callers()[0]
        await caller.run(0.95 * RATE_PER_S, 8.0)
        self.assertEqual(set(caller.statuses), {200})
        caller = self.make_callers()[0]
        await caller.run(2.0 * RATE_PER_S, 8.0)
        self.assertLessEqual(find_peak(self.list_arrivals()), BOUND)
        self.assertGreaterEqual(
            caller.statuses.count(200), 0.95 * RATE_PER_S * 8.0
        )

    async def test_refused_requests_give_their_tokens_back(self) -> None:
        await self.start(rate_per_s=RATE_PER_S)
        self.servers[0].is_refusing = True
        callers = self.make_callers()
        await asyncio.gather(*(caller.run(9.0, 6.0) for caller in callers))
        for caller in callers:
            self.assertNotIn(429, caller.statuses)

    async def test_entries_go_on_without_a_leader(self) -> None:
        await self.start(rate_per_s=RATE_PER_S, burst=60.0)
        await self.stop_member()
        await asyncio.sleep(2.0)
        callers = self.make_callers()
        await asyncio.gather(*(caller.run(30.0, 6.0) for caller in callers))
        self.assertLessEqual(
            find_peak(self.list_arrivals()),
            (RATE_PER_S * WINDOW_S + 60.0) * 1.1 + 20.0,
        )
        served = sum(caller.statuses.count(200) for caller in callers)
        self.assertGreaterEqual(served, 0.9 * RATE_PER_S * 6.0)

    async def test_a_removed_quota_ends(self) -> None:
        await self.start(rate_per_s=2.0)
        await self.put(fixtures.make_organisation('acme', 2, 'k1'))
        await asyncio.sleep(2.0)
        caller = self.make_callers()[0]
        await caller.run(60.0, 2.0)
        self.assertEqual(set(caller.statuses), {200})


class RelayedKeyTest(cut_off_case.CutOffCase):
    """Guards against relayed requests without identity or counted twice."""

    async def test_a_relayed_request_keeps_its_organisation(self) -> None:
        await self.member.submit(
            catalog.PutItems(
                items=[
                    fixtures.make_organisation(
                        'acme', 1, 'k1', rate_per_s=20.0
                    )
                ],
                digest=b'organisation',
            ),
            rate_limit_case.START_TIMEOUT_S,
        )
        await asyncio.sleep(1.0)
        caller = self.make_callers()[0]
        caller.headers = KEY_LINE
        await caller.run(10.0, 0.5)
        self.cut(0, cut_off_case.CutKind.REFUSED)
        await caller.run(10.0, 3.0)
        self.assertTrue(self.entries[0].poller.is_cut_off)
        for target in self.targets:
            target.headers.clear()
        caller = self.make_callers()[0]
        caller.headers = KEY_LINE
        await caller.run(17.0, 4.0)
        self.assertEqual(set(caller.statuses), {200})
        seen = [
            headers for target in self.targets for headers in target.headers
        ]
        self.assertEqual(len(seen), len(caller.statuses))
        for headers in seen:
            self.assertEqual(headers['fulmarseam-organisation'], 'acme')
            self.assertNotIn('authorization', headers)
