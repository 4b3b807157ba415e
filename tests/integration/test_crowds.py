"""Crowds of misbehaving callers at an entry and at a control member.

Each test guards against a process that ends, that takes more memory or
descriptors than its limits allow, or that no longer answers ordinary
requests. The callers of a crowd are still connected during the checks.
"""

import asyncio
from collections.abc import Callable
from typing import Any
import unittest

from tests.integration import _crowds


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Sends a crowd to a program of a fresh system."""

    async def asyncSetUp(self) -> None:
        # The debug mode slows the crowds down.
        asyncio.get_running_loop().set_debug(False)

    async def check(
        self,
        program: _crowds.Program,
        stream: Callable[[_crowds.Place], _crowds.Stream],
        crowd_places: list[tuple[_crowds.Place, int]],
        ordinary_places: list[_crowds.Place],
    ) -> None:
        """Check the bounds and that each ordinary request is answered."""
        with _crowds.Crowd() as crowd:
            await crowd.send(stream, crowd_places)
            for place in ordinary_places:
                await _crowds.call_until_served(place)
            self.assertTrue(program.is_running, 'the process has ended')
            self.assertLessEqual(
                program.count_descriptors(),
                _crowds.MAX_CONNECTIONS + _crowds.OTHER_DESCRIPTORS,
            )
            self.assertLess(program.read_peak_mib(), _crowds.MEMORY_LIMIT_MIB)

    async def start_system(self) -> _crowds.System:
        """Start a system."""
        return await self.enterAsyncContext(_crowds.System())


class EntryTest(CrowdCase):
    """Crowds at a route, at a path without one, and at the readiness."""

    async def check_entry(
        self, stream: Callable[[_crowds.Place], _crowds.Stream], scale: int = 1
    ) -> None:
        """Send a crowd of 240 callers, or of a multiple of it."""
        system = await self.start_system()
        await self.check(
            system.entry,
            stream,
            [
                (system.route, 160 * scale),
                (system.no_route, 40 * scale),
                (system.readiness, 40 * scale),
            ],
            [system.route, system.readiness],
        )


class MemberTest(CrowdCase):
    """Crowds at the ports of a control member."""

    async def check_member(
        self, stream: Callable[[_crowds.Place], _crowds.Stream], scale: int = 1
    ) -> None:
        """Send a crowd of 240 callers, or of a multiple of it."""
        system = await self.start_system()
        await self.check(
            system.member,
            stream,
            [(system.api, 120 * scale), (system.lookups, 120 * scale)],
            [system.api, system.lookups],
        )


# Stream of a caller, and how many times larger than usual its crowd is: slow
# callers of these are more than the connections that are allowed.
CROWDS: list[tuple[Callable[[_crowds.Place], _crowds.Stream], int]] = [
    (_crowds.send_body_in_one_piece, 1),
    (_crowds.send_body_in_small_pieces, 1),
    (_crowds.send_unended_chunks, 1),
    (_crowds.send_chunks_of_one_byte, 1),
    (_crowds.send_far_over_declared, 1),
    (_crowds.send_far_over_chunked, 1),
    (_crowds.send_many_fields, 1),
    (_crowds.send_many_requests, 1),
    (_crowds.send_head_slowly, 3),
    (_crowds.send_body_slowly, 3),
    (_crowds.leave_answers_unread, 1),
    (_crowds.stop_in_the_head, 3),
    (_crowds.stop_in_the_body, 3),
]


def _add_tests() -> None:
    """Add a test of each crowd to both classes."""

    def add(
        case: type[CrowdCase],
        method: str,
        stream: Callable[[_crowds.Place], _crowds.Stream],
        scale: int,
    ) -> None:
        async def test(self: Any) -> None:
            await getattr(self, method)(stream, scale)

        test.__doc__ = stream.__doc__
        name = f'test_{stream.__name__}'
        test.__name__ = name
        setattr(case, name, test)

    for stream, scale in CROWDS:
        add(EntryTest, 'check_entry', stream, scale)
        add(MemberTest, 'check_member', stream, scale)


_add_tests()
