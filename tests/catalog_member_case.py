"""A group of catalog members that discover each other by seeds."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
import shutil
import tempfile
import unittest

from fulmarseam import catalog
from fulmarseam import control
from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import wire
from tests import catalog_fixtures as fixtures
from tests import fakes

WAIT_S = 12.0
HEARTBEAT_S = 0.3
# An announcement may arrive this long, two leases, after it was sent.
MAX_DELAY_S = 2 * (3 * HEARTBEAT_S + 1.0)
# Each member listens on its own address and the same port, like a host.
HOSTS = tuple(f'127.0.7.{number}' for number in range(1, 11))


class Host:
    """A host with its settings, data directory and running member."""

    def __init__(self, options: settings.CatalogSettings) -> None:
        self.options = options
        self.member: control.CatalogMember | None = None
        self._stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Start the member."""
        self._stack = contextlib.AsyncExitStack()
        self.member = await self._stack.enter_async_context(
            control.CatalogMember(self.options)
        )

    def get_member(self) -> control.CatalogMember:
        """Return the running member."""
        assert self.member is not None
        return self.member

    async def terminate(self) -> None:
        """End the member like the signal to stop."""
        assert self.member is not None
        await self.member.leave_group()
        await self.stop()

    async def stop(self) -> None:
        """Stop the member without telling the group."""
        self.member = None
        await self._stack.aclose()

    async def wipe(self) -> None:
        """Lose the disk, after which the platform unsets `first_start`."""
        await self.stop()
        shutil.rmtree(self.options.data_dir)
        self.options = dataclasses.replace(self.options, first_start=False)


class CatalogMemberCase(unittest.IsolatedAsyncioTestCase):
    """Runs a group that tolerates the loss of one member of three."""

    tolerated_hosts = 1

    @property
    def founders(self) -> int:
        """Return the number of members that found the group."""
        return 2 * self.tolerated_hosts + 1

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.port = int(fakes.find_free_address().rpartition(':')[2])
        self.hosts = [self.make_host(n) for n in range(self.founders)]
        # The founder starts last, since none may depend on it to listen.
        for host in reversed(self.hosts):
            await host.start()
        await self.wait_for_voters(self.founders)

    async def asyncTearDown(self) -> None:
        for host in self.hosts:
            await host.stop()

    def make_host(self, number: int) -> Host:
        """Return a host that knows the first two as seeds."""
        return Host(
            settings.CatalogSettings(
                host=ids.HostId(f'core-{number}'),
                region=fixtures.region('ost'),
                failure_domain=fixtures.domain(f'domain-{number % 5}'),
                domains={},
                data_dir=str(self.directory / str(number)),
                listen=f'{HOSTS[number]}:{self.port}',
                api=f'{HOSTS[number]}:1',
                lookups=f'{HOSTS[number]}:2',
                seeds=[f'{HOSTS[0]}:1', f'{HOSTS[1]}:1'],
                peer_port=self.port,
                first_start=number < self.founders,
                tolerated_hosts=self.tolerated_hosts,
                heartbeat=HEARTBEAT_S,
            )
        )

    def members(self) -> list[control.CatalogMember]:
        """Return the members that run."""
        return [host.member for host in self.hosts if host.member]

    def find_voters(self) -> set[str]:
        """Return the hosts of the voters, when all members list the same.

        A change that only the leader has may still be lost with it, so the
        new voter counts only once all members list it.
        """
        return self._find_agreed(lambda info: info.voter)

    def _find_agreed(
        self, is_wanted: Callable[[wire.MemberInfo], bool]
    ) -> set[str]:
        lists = []
        for member in self.members():
            try:
                members = member.status().members
            except errors.FulmarseamError:
                return set()
            lists.append(
                {str(info.host) for info in members if is_wanted(info)}
            )
        has_leader = any(member.is_leader() for member in self.members())
        is_agreed = all(hosts == lists[0] for hosts in lists)
        return lists[0] if has_leader and is_agreed else set()

    async def wait_for_voters(self, count: int, *hosts: str) -> None:
        """Wait for that many voters, including those of `hosts`."""
        async with asyncio.timeout(WAIT_S):
            while True:
                voters = self.find_voters()
                if len(voters) == count and voters.issuperset(hosts):
                    return
                await asyncio.sleep(0.05)

    async def wait_for_members(
        self, *hosts: str, replaced: tuple[str, ...] = ()
    ) -> None:
        """Wait until all list these hosts, and some of them as replaced."""
        async with asyncio.timeout(WAIT_S):
            while True:
                found = self._find_agreed(lambda _: True)
                marked = self._find_agreed(lambda info: info.is_replaced)
                if found == set(hosts) and marked == set(replaced):
                    return
                await asyncio.sleep(0.05)

    async def put(
        self, member: control.CatalogMember, *items: wire.Item
    ) -> wire.CatalogResult:
        """Submit items, and retry as an operator does."""
        command = catalog.PutItems(
            items=list(items), digest=repr(items).encode()
        )
        async with asyncio.timeout(WAIT_S):
            while True:
                with contextlib.suppress(errors.FulmarseamError):
                    return await member.submit(command)

    async def wait_for_item(self, name: str) -> None:
        """Wait until all running members hold an item."""
        async with asyncio.timeout(WAIT_S):
            while True:
                names = [
                    {item.name for item in member.catalog.items.list_live()}
                    for member in self.members()
                ]
                if all(name in found for found in names):
                    return
                await asyncio.sleep(0.05)
