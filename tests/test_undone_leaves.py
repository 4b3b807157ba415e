"""Tests of leaves that a member has acknowledged."""

import asyncio
from collections.abc import Callable
import unittest
from unittest import mock

import logbook

from fulmarseam import catalog
from fulmarseam import consensus
from fulmarseam import errors
from fulmarseam import wire
from tests import catalog_fixtures as fixtures
from tests import rate_limit_case

# The last request may reach a target this long after its leave.
DRAIN_S = 2.5
HEARTBEAT_S = 0.2
# Time after which a silent target is dropped.
LEASE_S = 3 * HEARTBEAT_S + 1.0
# An announcement may arrive this long after it was sent.
MAX_DELAY_S = 2 * LEASE_S
CALLS_PER_S = 40.0
CALLS_S = 30.0
WAIT_S = 10.0
TARGETS = 4
LEAVING = 't0'
# When the targets started; announcements need not name it.
BORN_MS = 5_000
UNNAMED = 0
EARLIER_BORN_MS = 4_000
LATER_BORN_MS = 6_000
LATEST_BORN_MS = 7_000


class UndoneLeaveCase(rate_limit_case.RateLimitCase):
    """Runs a member, entries, and targets of which the first one leaves."""

    heartbeat_s = HEARTBEAT_S
    born_ms = BORN_MS

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.put_items(idempotent=True, max_attempts=2)
        self.servers = [
            rate_limit_case.LimitedTarget() for _ in range(TARGETS)
        ]
        for server in self.servers:
            await server.server.start()
            self.targets.append(server.server)
        self.sequence = 0
        self.left_at = 0.0
        # Targets that announce themselves.
        self.announced = [f't{number}' for number in range(TARGETS)]
        self._announcing = asyncio.create_task(self._announce_all())
        await self.start_entries(2)
        self._callers = self.make_callers()
        self._calling = [
            asyncio.create_task(caller.run(CALLS_PER_S, CALLS_S))
            for caller in self._callers
        ]

    async def asyncTearDown(self) -> None:
        tasks = [self._announcing, *self._calling]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for caller in self._callers:
            await caller.finish()
        await super().asyncTearDown()

    async def _announce_all(self) -> None:
        while True:
            self.sequence += 1
            for name in list(self.announced):
                await self.announce(self.sequence, name)
            await asyncio.sleep(HEARTBEAT_S)

    async def announce(
        self,
        sequence: int,
        name: str = LEAVING,
    ) -> None:
        """Announce a target as ready."""
        await self.member.announce(self.make_record(sequence, name))

    def make_record(
        self,
        sequence: int,
        name: str = LEAVING,
        phase: wire.TargetPhase = wire.TargetPhase.READY,
    ) -> wire.TargetRecord:
        """Return an announcement of a target."""
        return fixtures.make_record(
            name,
            address=self.servers[int(name[1:])].server.address,
            slots=20,
            born_ms=self.born_ms,
            sequence=sequence,
            phase=phase,
        )

    def make_drain(self) -> wire.TargetRecord:
        """Return the next announcement of the target, that it drains."""
        self.sequence += 1
        return self.make_record(self.sequence, phase=wire.TargetPhase.DRAINING)

    async def _wait_until(self, is_met: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while True:
                if is_met():
                    return
                await asyncio.sleep(0.02)

    async def silence(self) -> None:
        """Let the target be silent after its next announcement."""
        await self._wait_until(lambda: bool(self.servers[0].arrivals))
        self.announced.remove(LEAVING)
        await asyncio.sleep(HEARTBEAT_S)

    async def drain(self) -> None:
        """Announce the drain of the target, and nothing more."""
        await self.silence()
        await self.member.announce(self.make_drain())
        self.left_at = asyncio.get_running_loop().time()

    async def leave(self, born_ms: int) -> None:
        """Let the target leave without a drain."""
        await self.member.leave(fixtures.target_id(LEAVING), born_ms)
        self.left_at = asyncio.get_running_loop().time()

    async def announce_late(self) -> None:
        """Let two late announcements arrive, an interval apart.

        A single one would be refused whatever is known of its start.
        """
        await self.announce(1)
        await asyncio.sleep(HEARTBEAT_S)
        await self.announce(2)

    async def wait_until_dropped(self) -> None:
        """Wait until the catalog has no record of the target."""
        targets = self.member.catalog.targets
        target = fixtures.target_id(LEAVING)
        await self._wait_until(lambda: targets.get(target) is None)

    async def check_leave(self) -> None:
        """Check that the leave stands.

        No request comes later than the drain time, and entries are not told
        that the target is ready, which would send requests sooner or later.
        """
        record = self.member.catalog.targets.get(fixtures.target_id(LEAVING))
        if record is not None:
            self.assertIs(wire.TargetPhase.DRAINING, record.phase)
        due_at = self.left_at + DRAIN_S
        remaining_s = due_at - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, remaining_s) + 1.0)
        late = [at for at in self.servers[0].arrivals if at > due_at]
        self.assertEqual([], late)
        others = [at for item in self.servers[1:] for at in item.arrivals]
        self.assertGreater(max(others), due_at)


class LogTest(UndoneLeaveCase):
    """Guards against logs that do not show how a target came back."""

    async def test_the_way_of_a_leave_is_logged(self) -> None:
        log = logbook.TestHandler()
        with log.applicationbound():
            await self.drain()
            await self.announce(1)
            await self.wait_until_dropped()
            await self.leave(BORN_MS)
            await self.announce(2)
            await asyncio.sleep(2 * HEARTBEAT_S)
        lines = '\n'.join(record.message for record in log.records)
        for expected in (
            'event=target_state target=t0 .*phase=draining .*previous=ready',
            'event=target_phase target=t0 phase=draining',
            'event=announcement_ignored target=t0 .*sequence=1 reason=older',
            'event=target_phase target=t0 phase=gone',
            'event=target_state target=t0 phase=gone .*previous=none',
            'event=announcement_ignored target=t0 .*sequence=2 reason=ended',
        ):
            self.assertRegex(lines, expected)
        self.assertIn(
            'announcements_ignored_total{reason="ended"}',
            self.member.metrics.render(),
        )


class UndoneDrainTest(UndoneLeaveCase):
    """Guards against requests to a target whose drain was acknowledged."""

    # The drain was forgotten with the record of a silent target.
    async def test_a_late_announcement_after_a_silent_drain(self) -> None:
        await self.drain()
        await self.wait_until_dropped()
        await self.announce_late()
        await self.check_leave()

    # The drain was kept out of the log, as its start was not confirmed yet.
    async def test_a_drain_right_after_a_start_that_follows_a_leave(
        self,
    ) -> None:
        target = fixtures.target_id(LEAVING)
        await self.silence()
        await self.leave(UNNAMED)
        self.born_ms = LATER_BORN_MS
        self.sequence = 0
        await self.announce(1)
        self.sequence = 2
        await self.member.announce(self.make_drain())
        self.left_at = asyncio.get_running_loop().time()
        record = self.member.catalog.targets.get(target)
        assert record is not None
        self.assertIs(wire.TargetPhase.DRAINING, record.phase)
        await self.wait_until_dropped()
        await self.announce_late()
        await self.check_leave()

    # The drain was ignored while a younger target had the address.
    async def test_a_drain_at_an_address_that_another_target_has(self) -> None:
        await self.member.announce(
            fixtures.make_record('t9', address='a:1', born_ms=LATER_BORN_MS)
        )
        drain = fixtures.make_record(
            't8',
            address='a:1',
            born_ms=BORN_MS,
            sequence=5,
            phase=wire.TargetPhase.DRAINING,
        )
        await self.member.announce(drain)
        await self.member.leave(fixtures.target_id('t9'), LATER_BORN_MS)
        for sequence in (3, 4):
            await self.member.announce(
                fixtures.make_record(
                    't8', address='a:1', born_ms=BORN_MS, sequence=sequence
                )
            )
        record = self.member.catalog.targets.get(drain.target)
        self.assertIsNone(record)

    # With a slow disk a drain is in the log for a while before it is applied.
    async def test_a_drain_that_is_not_applied_when_the_lease_ends(
        self,
    ) -> None:
        release = asyncio.Event()
        propose = consensus.Member.propose

        async def propose_slowly(
            member: consensus.Member, data: bytes
        ) -> bytes:
            command = catalog.decode_command(data)
            if isinstance(command, catalog.AnnounceTargets):
                if command.records[0].phase is wire.TargetPhase.DRAINING:
                    await release.wait()
            return await propose(member, data)

        await self.silence()
        with mock.patch.object(consensus.Member, 'propose', propose_slowly):
            drain = asyncio.create_task(
                self.member.submit(
                    catalog.AnnounceTargets(records=[self.make_drain()]),
                    timeout_s=WAIT_S,
                )
            )
            await asyncio.sleep(2 * LEASE_S)
            targets = self.member.catalog.targets
            self.assertIsNotNone(targets.get(fixtures.target_id(LEAVING)))
            release.set()
            await drain


class UnnamedDrainTest(UndoneDrainTest):
    """The same where announcements do not name the start of a target."""

    born_ms = UNNAMED


class IgnoredLeaveTest(UndoneLeaveCase):
    """Guards against leaves that are acknowledged but not recorded."""

    # A leave that names no start was ignored without a record of the target.
    async def test_the_leave_of_a_target_that_was_dropped(self) -> None:
        await self.silence()
        await self.wait_until_dropped()
        await self.leave(UNNAMED)
        await self.announce_late()
        await self.check_leave()

    # It lowered the mark up to which incarnations have ended.
    async def test_a_late_leave_of_an_earlier_incarnation(self) -> None:
        await self.silence()
        await self.leave(self.born_ms)
        left_at = self.left_at
        await self.leave(EARLIER_BORN_MS)
        self.left_at = left_at
        await self.announce_late()
        await self.check_leave()

    async def test_a_leave_from_a_member_of_the_release_before(self) -> None:
        target = fixtures.target_id('t9')
        await self.member.leave(target, EARLIER_BORN_MS)
        await asyncio.sleep(MAX_DELAY_S)
        for sequence in (1, 2):
            await self.member.announce(
                fixtures.make_record('t9', born_ms=BORN_MS, sequence=sequence)
            )
            await asyncio.sleep(HEARTBEAT_S)
        self.assertIsNotNone(self.member.catalog.targets.get(target))
        await self.member.submit(catalog.LeaveTarget(target=target))
        self.assertIsNone(self.member.catalog.targets.get(target))


class LateStartTest(UndoneLeaveCase):
    """Guards against a leave that a start not heard before undoes.

    Leaves need not name the start of a target, so members cannot know which
    one they end.
    """

    async def play(self, target: str) -> None:
        """Let a target leave; then its first announcement arrives."""
        await self.member.leave(fixtures.target_id(target), UNNAMED)
        for sequence in (1, 2):
            await self.member.announce(
                fixtures.make_record(
                    target, born_ms=LATER_BORN_MS, sequence=sequence
                )
            )
        self.assertIsNone(
            self.member.catalog.targets.get(fixtures.target_id(target))
        )

    async def test_the_leave_of_a_target_that_was_never_heard(self) -> None:
        await self.play('t9')

    # A target crashed and started again while it could reach no member.
    async def test_the_leave_of_a_start_that_was_never_heard(self) -> None:
        await self.silence()
        await self.play(LEAVING)

    # Announcements that come one by one, as they were sent, confirmed each
    # other.
    async def test_late_announcements_that_keep_their_intervals(self) -> None:
        target = fixtures.target_id('t9')
        await self.member.leave(target, UNNAMED)
        for sequence in range(1, int(MAX_DELAY_S / HEARTBEAT_S) - 1):
            await asyncio.sleep(HEARTBEAT_S)
            await self.member.announce(
                fixtures.make_record(
                    't9', born_ms=LATER_BORN_MS, sequence=sequence
                )
            )
        self.assertIsNone(self.member.catalog.targets.get(target))

    async def start_again(self, pause_s: float) -> None:
        """Let the target leave, and announce another start after a pause."""
        await self.silence()
        await self.leave(UNNAMED)
        await asyncio.sleep(pause_s)
        self.born_ms = LATER_BORN_MS
        self.sequence = 0
        self.announced.append(LEAVING)

    # A leader that no majority has confirmed yet checked nothing that members
    # of the release before forward.
    async def test_an_unconfirmed_leader_takes_no_forwarded_command(
        self,
    ) -> None:
        target = fixtures.target_id('t9')
        await self.member.leave(target, UNNAMED)
        command = catalog.AnnounceTargets(
            records=[fixtures.make_record('t9', born_ms=LATER_BORN_MS)]
        )
        with mock.patch.object(
            consensus.Member, 'leadership_age', return_value=None
        ):
            with self.assertRaises(errors.NotLeaderError):
                await self.member.handle(
                    wire.CatalogCommand(
                        command=catalog.encode_command(command)
                    )
                )
        self.assertIsNone(self.member.catalog.targets.get(target))

    # The wait after a leave must not exceed the time that is needed.
    async def test_a_target_that_starts_again_at_once_is_used(self) -> None:
        target = fixtures.target_id(LEAVING)
        await self.start_again(0.0)
        await asyncio.sleep(MAX_DELAY_S + 2 * HEARTBEAT_S)
        self.assertIsNotNone(self.member.catalog.targets.get(target))

    # A leave long ago held up targets that had only crashed.
    async def test_a_crash_after_an_earlier_leave_needs_no_wait(self) -> None:
        target = fixtures.target_id(LEAVING)
        await self.start_again(MAX_DELAY_S)
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.silence()
        await self.wait_until_dropped()
        self.born_ms = LATEST_BORN_MS
        await self.announce(1)
        self.assertIsNotNone(self.member.catalog.targets.get(target))

    async def test_a_target_that_has_started_again_is_used(self) -> None:
        target = fixtures.target_id(LEAVING)
        await self.start_again(MAX_DELAY_S)
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.assertIsNotNone(self.member.catalog.targets.get(target))


class UnnamedLeaveTest(IgnoredLeaveTest):
    """The same where announcements do not name the start of a target."""

    born_ms = UNNAMED

    async def test_the_leave_of_a_target_that_was_never_heard(self) -> None:
        target = fixtures.target_id('t9')
        await self.member.leave(target, UNNAMED)
        record = fixtures.make_record('t9', born_ms=UNNAMED)
        await self.member.announce(record)
        self.assertIsNone(self.member.catalog.targets.get(target))


if __name__ == '__main__':
    unittest.main()
