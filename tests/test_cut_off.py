"""Tests of entries that have lost their paths to targets."""

import asyncio
from typing import ClassVar
import unittest
from unittest import mock

import logbook

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import relay
from fulmarseam import steering
from fulmarseam import wire
from tests import cut_off_case
from tests import entry_case
from tests import fakes

CutKind = cut_off_case.CutKind

RATE_PER_S = 10.0
# Entries have this long to find out that their paths are cut.
SETTLE_S = 3.0
MEASURE_S = 2.0
MIN_SERVED_SHARE = 2 / 3


class CutOffTest(cut_off_case.CutOffCase):
    """Guards against callers who pay for lost paths of their entry."""

    async def check_served(self, *cut_entries: int) -> None:
        """Check that the cut-off entries serve about as well as others."""
        shares = await self.measure(RATE_PER_S, MEASURE_S)
        others = [
            share.served / share.tries
            for entry, share in enumerate(shares)
            if entry not in cut_entries
        ]
        for entry in cut_entries:
            self.assertGreaterEqual(
                shares[entry].served / shares[entry].tries,
                MIN_SERVED_SHARE * min(others, default=1.0),
                f'entry {entry}: {[str(share) for share in shares]}',
            )

    async def check_cut(self, kind: CutKind) -> None:
        """Cut an entry off, and check that it serves its callers."""
        await self.measure(RATE_PER_S, 0.5)
        self.cut(0, kind)
        await self.measure(RATE_PER_S, SETTLE_S)
        await self.check_served(0)

    # An entry whose targets were all ejected refused what others could serve.
    async def test_an_entry_without_paths_serves_its_callers(self) -> None:
        await self.check_cut(CutKind.HANGING)

    async def test_an_entry_whose_connections_are_refused_serves_them(
        self,
    ) -> None:
        await self.check_cut(CutKind.REFUSED)

    async def test_entries_of_a_zone_without_paths_serve_their_callers(
        self,
    ) -> None:
        await self.measure(RATE_PER_S, 0.5)
        for entry in (0, 1):
            self.cut(entry, CutKind.HANGING)
        await self.measure(RATE_PER_S, SETTLE_S)
        await self.check_served(0, 1)

    async def test_a_request_does_not_travel_in_circles(self) -> None:
        await self.measure(RATE_PER_S, 0.5)
        for entry in range(self.entry_count):
            self.cut(entry, CutKind.REFUSED)
        await self.measure(RATE_PER_S, SETTLE_S)
        shares = await self.measure(RATE_PER_S, 1.0)
        self.assertEqual([0, 0, 0], [share.served for share in shares])
        for entry in self.entries:
            self.assertEqual(0, entry.relays.count_in_flight())

    async def test_an_entry_with_some_paths_uses_them(self) -> None:
        await self.measure(RATE_PER_S, 0.5)
        self.cut(0, CutKind.HANGING, targets=3)
        await self.measure(RATE_PER_S, SETTLE_S)
        await self.check_served(0)
        self.assertFalse(self.entries[0].poller.is_cut_off)

    async def test_paths_that_are_back_are_used_again(self) -> None:
        await self.measure(RATE_PER_S, 0.5)
        self.cut(0, CutKind.HANGING)
        await self.measure(RATE_PER_S, SETTLE_S)
        self.assertTrue(self.entries[0].poller.is_cut_off)
        self.paths[0].heal()
        await self.measure(RATE_PER_S, SETTLE_S)
        self.assertFalse(self.entries[0].poller.is_cut_off)
        for entry in self.entries[1:]:
            entry.caller_server.close_listener()
        reply = await self.measure_one(RATE_PER_S, 1.0)
        self.assertEqual(reply.served, reply.tries)

    # Beyond 20 a second their lines were omitted, like those of requests that
    # went to a target directly.
    async def test_each_relayed_request_has_a_log_line(self) -> None:
        await self.measure(RATE_PER_S, 0.5)
        self.cut(0, CutKind.REFUSED)
        await self.measure(RATE_PER_S, SETTLE_S)
        log = logbook.TestHandler()
        with log.applicationbound():
            shares = await self.measure(6 * RATE_PER_S, MEASURE_S)
        lines = [
            record.message
            for record in log.records
            if 'event=request_ended' in record.message
            and 'entry 127.' in record.message
        ]
        self.assertGreater(shares[0].served, 2 * RATE_PER_S * MEASURE_S)
        self.assertGreaterEqual(len(lines), shares[0].served)

    async def test_targets_that_end_do_not_look_like_lost_paths(self) -> None:
        await self.measure(RATE_PER_S, 0.5)
        for target in self.targets[:3]:
            target.stop()
        await self.measure(RATE_PER_S, SETTLE_S)
        for entry in self.entries:
            self.assertFalse(entry.poller.is_cut_off)


class RegionTest(cut_off_case.CutOffCase):
    """Guards against requests in regions that their route forbids."""

    route: ClassVar[dict[str, object]] = {'allowed_regions': ['ost']}
    entry_regions: ClassVar[dict[str, str]] = {'e1': 'west', 'e2': 'sued'}

    async def test_a_request_is_relayed_in_its_regions_only(self) -> None:
        await self.measure(RATE_PER_S, 0.5)
        self.cut(0, CutKind.REFUSED)
        await self.measure(RATE_PER_S, SETTLE_S)
        shares = await self.measure(RATE_PER_S, 1.0)
        self.assertTrue(self.entries[0].poller.is_cut_off)
        self.assertEqual(0, shares[0].served)
        # The targets are in the region of the route.
        self.assertEqual(shares[1].tries, shares[1].served)


class GrantsTest(entry_case.EntryCase):
    """Guards against an entry with grants that refuses its callers."""

    rows: ClassVar[list[wire.Row]] = [
        wire.Pool(name=fakes.POOL),
        entry_case.make_route(request_id_required=False, idempotent=False),
    ]

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.other = self.start_entry(
            fakes.make_options(self.leader, entry_id='e2')
        )
        for number in range(4):
            await self.start_target(
                fakes.answer_always(entry_case.OK), f't{number}'
            )
        await self.wait_until(lambda: self.entry._relayer.relays._entries)

    def cut(self, made, kind: CutKind) -> None:
        paths = cut_off_case.CutPools()
        made.target_pools = paths
        made.proxy._dependencies = made.proxy._dependencies._replace(
            target_pools=paths
        )
        made.prober.is_listening = paths.is_listening
        paths.cut_paths(
            [target.report.address for target in made.state.targets.ready()],
            kind,
        )

    async def call_until_cut_off(self) -> None:
        pool = self.entry.pools.get(fakes.POOL)
        async with asyncio.timeout(SETTLE_S):
            while pool.reachability.state is not steering.PathState.CUT_OFF:
                await self.call('/x')

    async def test_an_entry_without_paths_serves_its_callers(self) -> None:
        self.cut(self.entry, CutKind.REFUSED)
        await self.call_until_cut_off()
        for number in range(5):
            answer = await self.call(f'/{number}')
            self.assertEqual((200, '', 'answered'), answer.describe())

    # Another entry was asked whatever the targets of the first one had got.
    async def test_a_repeat_through_another_entry_needs_a_retry(self) -> None:
        sent = []

        async def send(
            context: object, entry: wire.EntryAddress
        ) -> relay.RelayFailure:
            sent.append(entry.address)
            return relay.RelayFailure(
                errors.FulmarseamError(
                    errors.ErrorKind.TARGET_SHED, 'no room'
                ),
                has_reached_target=True,
            )

        relayer = self.entry._relayer
        relayer._send = send
        relayer.relays._entries = [
            wire.EntryAddress(f'127.0.0.1:{port}', ids.RegionName('ost'))
            for port in range(1, 5)
        ]
        self.entry.proxy._is_out_of_reach = lambda context: True
        # The budget begins with one retry.
        for expected in (2, 3):
            answer = await self.call('/x')
            self.assertEqual((503, 'not-run'), (answer.status, answer.outcome))
            self.assertEqual(expected, len(sent))

    async def test_a_request_does_not_travel_in_circles(self) -> None:
        self.cut(self.entry, CutKind.REFUSED)
        self.cut(self.other, CutKind.REFUSED)
        await self.call_until_cut_off()
        self.other.pools.get(
            fakes.POOL
        ).reachability.state = steering.PathState.CUT_OFF
        answer = await self.call('/x')
        self.assertEqual((503, 'not-run'), (answer.status, answer.outcome))


class ReachabilityTest(unittest.TestCase):
    """Tests when an entry takes its paths for lost."""

    def setUp(self) -> None:
        self.reachability = steering.Reachability()
        self.targets = [ids.TargetId(f't{number}') for number in range(10)]

    def fail_targets(self, count: int, now: float = 0.0) -> None:
        for target in self.targets[:count]:
            self.reachability.note_unreachable(now, target, 10)

    def probe(self, is_reached: bool, rounds: int = 1) -> list[ids.TargetId]:
        chosen = []
        for _ in range(rounds):
            for target in self.reachability.choose_probes(self.targets):
                chosen.append(target)
                self.reachability.note_probe(target, is_reached, 10)
        return chosen

    def test_probes_of_other_targets_decide(self) -> None:
        self.fail_targets(4)
        self.assertIs(steering.PathState.SUSPECTED, self.reachability.state)
        self.assertTrue(self.reachability.may_open(self.targets[0]))
        chosen = self.probe(False)
        self.assertFalse(set(chosen) & set(self.targets[:4]))
        self.assertIs(steering.PathState.CUT_OFF, self.reachability.state)
        self.assertFalse(self.reachability.may_open(self.targets[9]))

    def test_targets_that_end_are_no_lost_paths(self) -> None:
        self.fail_targets(4)
        self.probe(True)
        self.assertIs(steering.PathState.OPEN, self.reachability.state)

    def test_failures_long_ago_do_not_count(self) -> None:
        self.fail_targets(3)
        self.reachability.note_unreachable(6.0, self.targets[3], 10)
        self.assertIs(steering.PathState.OPEN, self.reachability.state)

    def test_a_reached_target_ends_the_suspicion(self) -> None:
        self.fail_targets(3)
        self.reachability.note_reached(self.targets[5])
        self.fail_targets(3)
        self.assertIs(steering.PathState.OPEN, self.reachability.state)

    def test_reached_targets_are_used_while_others_are_not(self) -> None:
        self.fail_targets(4)
        self.probe(False)
        self.reachability.note_probe(self.targets[2], True, 10)
        self.assertTrue(self.reachability.may_open(self.targets[2]))
        self.assertFalse(self.reachability.may_open(self.targets[3]))
        self.reachability.note_probe(self.targets[3], False, 10)
        self.assertIs(steering.PathState.CUT_OFF, self.reachability.state)

    def test_several_reached_targets_in_a_row_end_it(self) -> None:
        self.fail_targets(4)
        self.probe(False)
        self.probe(True)
        self.assertIs(steering.PathState.OPEN, self.reachability.state)

    def test_a_pool_of_one_target_can_be_cut_off(self) -> None:
        target = self.targets[0]
        self.reachability.note_unreachable(0.0, target, 1)
        [chosen] = self.reachability.choose_probes([target])
        self.reachability.note_probe(chosen, False, 1)
        self.assertIs(steering.PathState.CUT_OFF, self.reachability.state)


class RelayedRequestsTest(unittest.TestCase):
    """Guards against an entry that drowns in the requests of others."""

    def test_relayed_requests_are_bounded_by_the_own_ones(self) -> None:
        relayed = relay.RelayedRequests()
        for number in range(1, 65):
            relayed.start(number)
        with self.assertRaises(errors.FulmarseamError):
            relayed.start(65)
        for number in range(66, 69):
            relayed.start(number)
        with self.assertRaises(errors.FulmarseamError):
            relayed.start(69)
        relayed.finish()
        self.assertEqual(66, relayed.count())


class RelaysTest(unittest.IsolatedAsyncioTestCase):
    """Guards against relays that fill the links while a pool is down."""

    async def asyncSetUp(self) -> None:
        self.sent: list[str] = []
        self.error: errors.FulmarseamError | None = None
        # Whether a target gets the requests that fail.
        self.has_reached_target = False
        # How many retries were asked for, and how many are allowed.
        self.retries = 0
        self.max_retries = 0
        self.body = http.CallerBody(mock.Mock(), 0)
        self.relays = await self.enterAsyncContext(
            relay.Relays(ids.RegionName('ost'), self.list_entries)
        )
        await asyncio.sleep(0.05)

    async def list_entries(self) -> list[wire.EntryAddress]:
        return [
            wire.EntryAddress(f'e{number}', ids.RegionName('ost'))
            for number in range(4)
        ]

    async def send(
        self, entry: wire.EntryAddress
    ) -> relay.RelayFailure | None:
        self.sent.append(entry.address)
        if self.error is None:
            return None
        return relay.RelayFailure(self.error, self.has_reached_target)

    def try_acquire_retry(self) -> bool:
        self.retries += 1
        return self.retries <= self.max_retries

    async def relay(self, pool: str, count: int) -> None:
        deadline = asyncio.get_running_loop().time() + 60.0
        for _ in range(count):
            await self.relays.relay(
                ids.PoolName(pool),
                (),
                deadline,
                self.body,
                self.send,
                self.try_acquire_retry,
            )
            await asyncio.sleep(0.01)

    async def test_entries_that_refuse_a_pool_are_asked_seldom(self) -> None:
        self.error = errors.FulmarseamError(
            errors.ErrorKind.TARGET_SHED, 'no room'
        )
        await self.relay('down', 100)
        # Each entry after 0, 0.2, 0.6 and 1.4 s, at most.
        self.assertLessEqual(len(self.sent), 4 * 4)
        self.error = None
        self.sent.clear()
        await self.relay('other', 3)
        self.assertEqual(3, len(self.sent))

    async def test_an_answer_ends_the_pauses_of_an_entry(self) -> None:
        self.error = errors.FulmarseamError(
            errors.ErrorKind.TARGET_SHED, 'no room'
        )
        await self.relay('p', 2)
        await asyncio.sleep(0.25)
        self.error = None
        self.sent.clear()
        await self.relay('p', 8)
        self.assertEqual(8, len(self.sent))

    # Targets got requests through one entry after another beyond the budget.
    async def test_a_repeat_through_another_entry_needs_a_retry(self) -> None:
        self.error = errors.FulmarseamError(
            errors.ErrorKind.TARGET_SHED, 'no room'
        )
        self.has_reached_target = True
        self.max_retries = 1
        await self.relay('p', 1)
        self.assertEqual((2, 2), (len(self.sent), self.retries))

    async def test_what_no_target_got_is_no_repeat(self) -> None:
        self.error = errors.FulmarseamError(
            errors.ErrorKind.NO_CAPACITY, 'no room'
        )
        await self.relay('p', 1)
        self.assertEqual((3, 0), (len(self.sent), self.retries))

    async def test_a_request_that_may_have_run_is_relayed_once(self) -> None:
        self.error = errors.FulmarseamError(
            errors.ErrorKind.TARGET_FAILED, 'broken'
        )
        await self.relay('p', 1)
        self.assertEqual(1, len(self.sent))


class RelayRegionsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that pass regions which they must avoid."""

    async def test_entries_are_in_allowed_regions_or_that_of_the_caller(
        self,
    ) -> None:
        regions = ('ost', 'west', 'sued')
        sent = []

        async def list_entries() -> list[wire.EntryAddress]:
            return [
                wire.EntryAddress(name, ids.RegionName(name))
                for name in regions
            ]

        async def send(entry: wire.EntryAddress) -> relay.RelayFailure:
            sent.append(entry.region)
            return relay.RelayFailure(
                errors.FulmarseamError(errors.ErrorKind.TARGET_SHED, 'no room')
            )

        relays = await self.enterAsyncContext(
            relay.Relays(ids.RegionName('ost'), list_entries)
        )
        await asyncio.sleep(0.05)
        deadline = asyncio.get_running_loop().time() + 60.0
        allowed = [ids.RegionName('sued')]
        body = mock.Mock(spec=http.CallerBody)
        body.can_start.return_value = True
        await relays.relay(
            ids.PoolName('p'), allowed, deadline, body, send, lambda: True
        )
        self.assertEqual(set(sent), {'ost', 'sued'})


class LookUpTest(unittest.TestCase):
    """Guards against look-ups that send callers to cut-off entries."""

    def setUp(self) -> None:
        self.registry = catalog.EntryRegistry()

    def poll(self, name: str, is_cut_off: bool, region: str = 'ost') -> None:
        self.registry.record_poll(
            0.0,
            wire.EntryPoll(
                entry=ids.EntryId(name),
                address=name,
                region=ids.RegionName(region),
                failure_domain=ids.DomainName('ost-wien'),
                incarnation=1,
                state=wire.EntryState.READY,
                is_cut_off=is_cut_off,
            ),
        )

    def find(self) -> list[str]:
        return self.registry.find_entries(
            1.0, ids.RegionName('ost'), ids.DomainName('ost-wien'), 64
        )

    def test_a_cut_off_entry_is_left_out(self) -> None:
        self.poll('e1', True)
        self.poll('e2', False)
        self.assertEqual(['e2'], self.find())

    def test_few_entries_are_not_overloaded(self) -> None:
        for name, is_cut_off in (('e1', True), ('e2', True), ('e3', False)):
            self.poll(name, is_cut_off)
        self.assertEqual(['e1', 'e2', 'e3'], self.find())

    def test_relays_are_other_entries_that_reach_targets(self) -> None:
        self.poll('e1', True)
        self.poll('e2', True)
        self.poll('e3', False)
        self.poll('w1', False, 'west')
        relays = self.registry.find_relays(
            1.0, ids.EntryId('e1'), ids.RegionName('ost')
        )
        self.assertEqual(['e3', 'w1'], [entry.address for entry in relays])
