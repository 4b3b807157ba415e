"""Bodies within the limits at processes with little memory.

Guards against limits for misbehaving callers that refuse sound ones.
"""

import asyncio
import unittest

from tests.integration import _crowds

BODY_BYTES = 64 * _crowds.MIB
# The smallest memory of the machines that deployments have.
ENTRY_MIB = 200
MEMBER_MIB = 296
UPLOADS = 4


class LargeBodyTest(unittest.IsolatedAsyncioTestCase):
    """Sends bodies of the largest size in calm."""

    async def start_system(self, memory_limit: int) -> _crowds.System:
        asyncio.get_running_loop().set_debug(False)
        return await self.enterAsyncContext(
            _crowds.System(memory_limit, BODY_BYTES)
        )

    async def test_an_entry_forwards_several_at_once(self) -> None:
        system = await self.start_system(ENTRY_MIB)
        body = bytes(BODY_BYTES)
        async with asyncio.timeout(_crowds.HANG_S):
            answers = await asyncio.gather(
                *(
                    _crowds.call(system.route, 'POST', body)
                    for _ in range(UPLOADS)
                )
            )
        self.assertEqual([200] * UPLOADS, [status for status, _ in answers])
        self.assertLess(system.entry.read_peak_mib(), ENTRY_MIB)

    async def test_a_member_reads_one(self) -> None:
        system = await self.start_system(MEMBER_MIB)
        async with asyncio.timeout(_crowds.HANG_S):
            status, answer = await _crowds.call(
                system.api, 'PATCH', bytes(BODY_BYTES)
            )
        # The body is no JSON, which shows that it was read whole.
        self.assertEqual(400, status, answer)
        self.assertLess(system.member.read_peak_mib(), MEMBER_MIB)
