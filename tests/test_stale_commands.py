"""Tests of commands that reach a control member late."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time
import unittest
from unittest import mock

from fulmarseam import catalog
from fulmarseam import control
from fulmarseam import errors
from fulmarseam import gateway
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.catalog import _commands
from fulmarseam.control import _pending_calls
from fulmarseam.platform import _control_api
from tests import catalog_fixtures as fixtures
from tests import catalog_member_case
from tests import fakes

DOMAIN = 'ost-wien'
EVACUATION = f'/api/evacuate/{DOMAIN}'
# Longer than a sender waits for an answer.
LATE_S = 1.3
# Time in which a late command would be carried out.
SETTLE_S = 1.5


class StaleCase(catalog_member_case.CatalogMemberCase):
    """Serves the API of each member of a group of three."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.stack = contextlib.AsyncExitStack()
        self.apis: dict[control.CatalogMember, str] = {}
        for host, member in zip(self.hosts, self.members(), strict=True):
            address = fakes.find_free_address()
            api = _control_api.ControlApi(host.options, member)
            server = http.Server(
                address, api.handle_api_request, gateway.make_answer
            )
            await self.stack.enter_async_context(server)
            self.apis[member] = address

    async def asyncTearDown(self) -> None:
        await self.stack.aclose()
        await super().asyncTearDown()

    def find_leader(self) -> control.CatalogMember:
        """Return the member that leads."""
        return next(item for item in self.members() if item.is_leader())

    def find_follower(self) -> control.CatalogMember:
        """Return a member that does not lead."""
        return next(item for item in self.members() if not item.is_leader())

    @contextlib.asynccontextmanager
    async def connect(
        self, member: control.CatalogMember
    ) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        """Open a connection to the API of a member."""
        host, port = http.split_address(self.apis[member])
        reader, writer = await asyncio.open_connection(host, port)
        try:
            yield reader, writer
        finally:
            writer.transport.abort()

    async def call(
        self, member: control.CatalogMember, method: str, path: str
    ) -> int:
        """Send a call as a sound sender does; return the status."""
        async with self.connect(member) as (reader, writer):
            writer.write(make_head(method, path))
            line = await asyncio.wait_for(reader.readline(), 5.0)
            return int(line.split()[1])

    async def evacuate(self) -> None:
        """Evacuate the domain, as acknowledged by the leader."""
        status = await self.call(self.find_leader(), 'POST', EVACUATION)
        self.assertEqual(200, status)

    async def check_evacuated(self) -> None:
        """Check that the evacuation stands after a while."""
        await asyncio.sleep(SETTLE_S)
        await self.wait_for_voters(3)
        leader = self.find_leader()
        async with asyncio.timeout(catalog_member_case.WAIT_S):
            await leader.wait_until_current()
        self.assertEqual({DOMAIN}, leader.catalog.evacuated)


def stall(duration_s: float) -> None:
    """Let the loop of all members stand still, as in a stopped process."""
    time.sleep(duration_s)


def make_head(method: str, path: str) -> bytes:
    """Return the head of a call without a body."""
    return f'{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()


class SenderTest(StaleCase):
    """Guards against commands of senders that have gone."""

    async def test_a_command_behind_which_the_sender_has_closed(self) -> None:
        for member in (self.find_leader(), self.find_follower()):
            await self.evacuate()
            async with self.connect(member) as (_, writer):
                writer.write(make_head('DELETE', EVACUATION))
                writer.write_eof()
                await self.check_evacuated()

    async def test_a_fin_that_comes_a_round_trip_later(self) -> None:
        # As after a retransmission: the member acknowledges the request,
        # and only then the kernel of the sender sends the FIN.
        await self.evacuate()
        async with self.connect(self.find_leader()) as (_, writer):
            writer.write(make_head('DELETE', EVACUATION))
            await asyncio.sleep(0.05)
            writer.write_eof()
            await self.check_evacuated()

    async def test_a_sender_that_goes_while_there_is_no_leader(self) -> None:
        await self.evacuate()
        member = self.find_follower()
        with (
            mock.patch.object(
                control.CatalogMember, 'is_leader', return_value=False
            ),
            mock.patch.object(
                control.CatalogMember,
                '_find_leader_address',
                return_value=None,
            ),
        ):
            async with self.connect(member) as (_, writer):
                writer.write(make_head('DELETE', EVACUATION))
                await asyncio.sleep(0.4)
        await self.check_evacuated()


class PauseTest(StaleCase):
    """Guards against commands that waited while the process was stopped."""

    async def test_a_command_that_waited_in_a_socket(self) -> None:
        await self.evacuate()
        async with self.connect(self.find_leader()) as (reader, writer):
            await asyncio.sleep(0.2)
            writer.write(make_head('DELETE', EVACUATION))
            stall(LATE_S)
            line = await asyncio.wait_for(reader.readline(), 5.0)
            self.assertEqual(b'503', line.split()[1])
            await self.check_evacuated()

    async def test_a_head_whose_rest_comes_late(self) -> None:
        await self.evacuate()
        body = b'{}'
        head = (
            f'DELETE {EVACUATION} HTTP/1.1\r\nHost: x\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        async with self.connect(self.find_leader()) as (reader, writer):
            writer.write(head)
            await asyncio.sleep(LATE_S)
            writer.write(body)
            line = await asyncio.wait_for(reader.readline(), 5.0)
            self.assertEqual(b'503', line.split()[1])
            await self.check_evacuated()

    async def test_a_suspend_in_which_the_monotonic_clock_stops(self) -> None:
        # Only CLOCK_BOOTTIME moves on.
        await self.evacuate()
        real = time.clock_gettime
        suspended_s = 0.0

        def read(clock: int) -> float:
            is_boottime = clock == time.CLOCK_BOOTTIME
            return real(clock) + (suspended_s if is_boottime else 0.0)

        with mock.patch.object(time, 'clock_gettime', read):
            async with self.connect(self.find_leader()) as (reader, writer):
                await asyncio.sleep(0.3)
                writer.write(make_head('DELETE', EVACUATION))
                suspended_s = 60.0
                line = await asyncio.wait_for(reader.readline(), 5.0)
                self.assertEqual(b'503', line.split()[1])
                await self.check_evacuated()


class ForwardTest(StaleCase):
    """Guards against commands that a member forwards too late."""

    async def test_a_forwarded_command_that_is_delivered_late(self) -> None:
        # As by a retransmission after a partition, or to a frozen leader.
        await self.evacuate()
        follower, leader = self.find_follower(), self.find_leader()
        late: list[wire.CatalogCommand] = []
        real_call = follower._clients.call

        async def call(
            address: str, message: wire.Message, timeout_s: float
        ) -> wire.Message:
            is_evacuation = isinstance(
                message, wire.CatalogCommand
            ) and isinstance(
                _commands.decode_command(message.command),
                catalog.EvacuateDomain,
            )
            if not is_evacuation:
                return await real_call(address, message, timeout_s)
            assert isinstance(message, wire.CatalogCommand)
            late.append(message)
            await asyncio.sleep(timeout_s)
            raise errors.TransportError(f'{address}: no answer')

        with mock.patch.object(follower._clients, 'call', call):
            status = await self.call(follower, 'DELETE', EVACUATION)
        self.assertEqual(503, status)
        self.assertTrue(late)
        await asyncio.sleep(0.3)
        for message in late:
            with self.assertRaises(errors.FulmarseamError):
                await leader.handle(message)
        await self.check_evacuated()

    async def test_a_forwarded_command_of_an_earlier_term(self) -> None:
        # A leader that restarts counts its time anew.
        await self.evacuate()
        leader = self.find_leader()
        command = wire.CatalogCommand(
            command=catalog.encode_command(
                catalog.EvacuateDomain(
                    failure_domain=ids.DomainName(DOMAIN), active=False
                )
            ),
            term=leader.status().term - 1,
            expires_ms=2**60,
        )
        with self.assertRaises(errors.FulmarseamError):
            await leader.handle(command)
        await self.check_evacuated()


class LeaveTest(StaleCase):
    """Guards against a leave that ends a later incarnation."""

    async def test_the_log_entry_names_the_incarnation(self) -> None:
        # However late it is committed, it cannot end a later one.
        await self.find_leader().announce(fixtures.make_record('a', born_ms=7))
        proposed: list[catalog.Command] = []
        real_propose = control.CatalogMember._propose

        async def propose(
            member: control.CatalogMember, data: bytes
        ) -> wire.CatalogResult:
            proposed.append(_commands.decode_command(data))
            return await real_propose(member, data)

        with mock.patch.object(control.CatalogMember, '_propose', propose):
            status = await self.call(
                self.find_follower(), 'DELETE', '/api/instances/a'
            )
        self.assertEqual(200, status)
        leaves = [
            item for item in proposed if isinstance(item, catalog.LeaveTarget)
        ]
        self.assertEqual([7], [item.born_ms for item in leaves])

    async def test_a_leave_that_waited_in_a_socket(self) -> None:
        leader = self.find_leader()
        await leader.announce(fixtures.make_record('a', born_ms=7))
        async with self.connect(leader) as (reader, writer):
            await asyncio.sleep(0.2)
            writer.write(make_head('DELETE', '/api/instances/a'))
            stall(LATE_S)
            line = await asyncio.wait_for(reader.readline(), 5.0)
            self.assertEqual(b'503', line.split()[1])
        await asyncio.sleep(SETTLE_S)
        self.assertIsNotNone(leader.catalog.targets.get(ids.TargetId('a')))


class CalmTest(StaleCase):
    """Guards against valid commands that are refused or lost in calm."""

    async def test_orders_at_changing_members_are_all_carried_out(
        self,
    ) -> None:
        members = self.members()
        for number in range(24):
            method = 'DELETE' if number % 2 else 'POST'
            member = members[number % 3]
            self.assertEqual(
                200, await self.call(member, method, EVACUATION), number
            )
            await member.wait_until_current()
            self.assertEqual(
                method == 'POST', DOMAIN in member.catalog.evacuated
            )

    async def test_orders_at_once_are_all_carried_out(self) -> None:
        members = self.members()
        statuses = await asyncio.gather(
            *(
                self.call(
                    members[number % 3],
                    'DELETE' if number % 2 else 'POST',
                    f'/api/evacuate/zone-{number // 2}',
                )
                for number in range(60)
            )
        )
        self.assertEqual({200}, set(statuses))

    async def test_a_leave_at_any_member_ends_the_announced_one(self) -> None:
        # Also at a member that has not yet applied the announcement.
        members = self.members()
        for number in range(12):
            name = f't{number}'
            record = fixtures.make_record(name, born_ms=number + 1)
            await members[number % 3].announce(record)
            other = members[(number + 1) % 3]
            path = f'/api/instances/{name}'
            self.assertEqual(200, await self.call(other, 'DELETE', path))
            await other.wait_until_current()
            self.assertIsNone(other.catalog.targets.get(ids.TargetId(name)))

    async def test_a_short_stall_refuses_nothing(self) -> None:
        for member in self.members():
            async with self.connect(member) as (reader, writer):
                await asyncio.sleep(0.2)
                writer.write(make_head('POST', EVACUATION))
                # Shorter than the shortest election time-out.
                stall(0.35)
                line = await asyncio.wait_for(reader.readline(), 5.0)
                self.assertEqual(b'200', line.split()[1])


class RenewalTest(StaleCase):
    """Guards against leases that a late renewal extends."""

    async def test_a_renewal_that_waited_during_a_pause(self) -> None:
        leader = self.find_leader()
        message = wire.TargetRenewal(targets=[ids.TargetId('a')])
        self.assertIsInstance(await leader.handle(message), wire.Ok)
        stall(LATE_S)
        with self.assertRaises(errors.FulmarseamError):
            await leader.handle(message)
        await asyncio.sleep(1.0)
        self.assertIsInstance(await leader.handle(message), wire.Ok)


class ArrivalClockTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a clock that misses a pause or never forgets it."""

    def setUp(self) -> None:
        self.now = 100.0

    async def test_a_pause_counts_until_waiting_bytes_are_read(self) -> None:
        clock = _pending_calls.ArrivalClock(lambda: self.now)
        self.now = 107.0
        for _ in range(4):
            self.assertEqual(100.0, clock.get_earliest())
            await asyncio.sleep(0)
        for _ in range(_pending_calls.PAUSE_TURNS):
            await asyncio.sleep(0)
        self.assertEqual(107.0, clock.get_earliest())

    async def test_many_short_stalls_do_not_add_up(self) -> None:
        # A busy host stalls again and again; commands still have time.
        clock = _pending_calls.ArrivalClock(lambda: self.now)
        for _ in range(100):
            self.now += 0.15
            clock.get_earliest()
            for _ in range(4):
                await asyncio.sleep(0)
            self.assertLess(self.now - clock.get_earliest(), 0.6)

    async def test_a_pause_after_a_pause_hides_nothing(self) -> None:
        clock = _pending_calls.ArrivalClock(lambda: self.now)
        self.now = 107.0
        clock.get_earliest()
        self.now = 107.3
        self.assertEqual(100.0, clock.get_earliest())
