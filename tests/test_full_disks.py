"""Tests of members whose disks are full one after another."""

import asyncio
import contextlib
import itertools
import os
from unittest import mock

from fulmarseam import catalog
from fulmarseam import errors
from tests import catalog_fixtures as fixtures
from tests import catalog_member_case

# How long a disk is full, and the pause until the next one is.
FULL_S = 1.5
PAUSE_S = 0.5
ROUNDS = 2
CHANGE_INTERVAL_S = 0.1
# Operators wait this long for the acknowledgement of a change.
ACK_S = 4.0

_real_write = os.write


class FullDisks:
    """Refuses writes to files below some directories."""

    def __init__(self) -> None:
        self.directory = ''
        self.refused_writes = 0

    def write(self, file: int, data: bytes) -> int:
        """Write data, or raise the error of a full disk."""
        path = os.readlink(f'/proc/self/fd/{file}')
        if self.directory and path.startswith(self.directory):
            self.refused_writes += 1
            raise OSError(28, 'No space left on device')
        return _real_write(file, data)


class FullDisksTest(catalog_member_case.CatalogMemberCase):
    """Guards against changes that are refused after disks were full."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.disks = FullDisks()
        self.numbers = itertools.count(1)
        self.enterContext(mock.patch('os.write', self.disks.write))

    async def change_until_cancelled(self) -> None:
        """Send changes to all members in turn, as operators in a storm."""
        while True:
            number = next(self.numbers)
            members = self.members()
            command = catalog.PutItems(
                items=[fixtures.make_pool(f'p{number % 5}', number)],
                digest=b'%d' % number,
            )
            with contextlib.suppress(errors.FulmarseamError):
                await members[number % len(members)].submit(command)
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def check_changes(self) -> None:
        """Check that a change through any member is acknowledged in time."""
        for member in self.members():
            name = f'checked-{next(self.numbers)}'
            async with asyncio.timeout(ACK_S):
                await self.put(member, fixtures.make_pool(name, 1))
                await self.wait_for_item(name)

    # Other systems refused changes for good after their last full disk.
    async def test_changes_are_accepted_after_disks_were_full_in_turn(
        self,
    ) -> None:
        storm = asyncio.create_task(self.change_until_cancelled())
        try:
            for host in self.hosts * ROUNDS:
                refused_writes = self.disks.refused_writes
                self.disks.directory = host.options.data_dir
                await asyncio.sleep(FULL_S)
                self.disks.directory = ''
                self.assertGreater(self.disks.refused_writes, refused_writes)
                await asyncio.sleep(PAUSE_S)
        finally:
            storm.cancel()
            await asyncio.gather(storm, return_exceptions=True)
        await self.check_changes()
        await asyncio.sleep(2 * ACK_S)
        await self.check_changes()
        await self.wait_for_voters(3)

    async def test_changes_are_accepted_after_leaders_had_full_disks(
        self,
    ) -> None:
        storm = asyncio.create_task(self.change_until_cancelled())
        try:
            for _ in range(4):
                leader = await self.wait_for_leader()
                self.disks.directory = leader.options.data_dir
                await asyncio.sleep(FULL_S)
                self.disks.directory = ''
                await asyncio.sleep(PAUSE_S)
        finally:
            storm.cancel()
            await asyncio.gather(storm, return_exceptions=True)
        await self.check_changes()
        await self.wait_for_voters(3)

    async def wait_for_leader(self) -> catalog_member_case.Host:
        """Return the host of the leader."""
        async with asyncio.timeout(catalog_member_case.WAIT_S):
            while True:
                for host in self.hosts:
                    if host.member and host.member.is_leader():
                        return host
                await asyncio.sleep(0.02)
