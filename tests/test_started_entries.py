"""Tests of entries that start while no member can prove that it is current."""

import asyncio
from collections.abc import Iterable
import pathlib
import signal
import tempfile
import time
import unittest
import uuid

from tests.soak import _callers
from tests.soak import _calls
from tests.soak import _operator
from tests.soak import _plan
from tests.soak import _record
from tests.soak import _system
from tests.soak import _targets

# Requests reach an evacuated domain for this long at most.
EVACUATE_S = 5.0
ELECTION_S = 1.5
# All targets have announced themselves by then, and are no longer cold.
ANNOUNCED_S = 3.0
CALL_GAP_S = 0.025
# From the acknowledgement until the current members stand still, and how long
# they do.
CURRENT_S = 3.0
STILL_S = 5.0
# Entries serve again this long after the current members go on, the
# `catchUp` of the deployments.
CATCH_UP_S = 4.0
SAMPLE_S = 2.0
MIN_SERVED_SHARE = 0.95
# One of the members that entries know at their start.
MISSED = 'core-1'
CURRENT = [f'core-{number}' for number in range(2, _plan.MEMBERS + 1)]
ENTRIES = [f'edge-{number}' for number in range(1, _plan.ENTRIES + 1)]


class WokenMemberTest(unittest.IsolatedAsyncioTestCase):
    """Guards against entries that adopt the state of an outdated member."""

    async def asyncSetUp(self) -> None:
        # The links of all processes run in this loop.
        asyncio.get_running_loop().set_debug(False)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.record = _record.Record()
        self.system = _system.System(pathlib.Path(directory.name), self.record)
        self.hosts = _targets.make_hosts(self.system, self.record)
        await self.enterAsyncContext(self.system)
        for host in self.hosts:
            await host.start()
        self.operator = _operator.Operator(self.system, self.record)
        await self.operator.set_up()
        await self.system.wait_until_ready()
        self.statuses: list[tuple[float, int]] = []
        await asyncio.sleep(ANNOUNCED_S)
        self._calling = asyncio.create_task(self._call_repeatedly())

    async def asyncTearDown(self) -> None:
        self._calling.cancel()
        await asyncio.gather(self._calling, return_exceptions=True)
        for host in self.hosts:
            await host.crash()

    async def _call_repeatedly(self) -> None:
        """Send requests to all entries in turn, however they answer."""
        async with asyncio.TaskGroup() as group:
            while True:
                for entry in self.system.list_entries():
                    group.create_task(self._call(entry))
                    await asyncio.sleep(CALL_GAP_S)

    async def _call(self, entry: str) -> None:
        request = uuid.uuid4().hex
        reply = await _calls.call(
            entry,
            'GET',
            f'{_callers.READ_PATH}{request}',
            headers={'host': _callers.HOST, 'x-request-id': request},
        )
        status = reply.status if reply is not None else 0
        self.statuses.append((time.monotonic(), status))

    def send(self, names: Iterable[str], number: signal.Signals) -> None:
        """Send a signal to processes."""
        for name in names:
            self.system.processes[name].send(number)
            self.system.processes[name].is_paused = number is signal.SIGSTOP

    # They sent requests to a domain that had been evacuated.
    async def test_entries_that_start_beside_a_member_that_woke(self) -> None:
        self.send([MISSED], signal.SIGSTOP)
        await asyncio.sleep(ELECTION_S)
        self.assertTrue(await self.operator.evacuate())
        acknowledged = time.monotonic()
        await asyncio.sleep(CURRENT_S)
        self.send(CURRENT, signal.SIGSTOP)
        self.send([MISSED], signal.SIGCONT)
        for name in ENTRIES:
            await self.system.processes[name].kill()
        for name in ENTRIES:
            await self.system.processes[name].start()
        await asyncio.sleep(STILL_S)
        self.send(CURRENT, signal.SIGCONT)
        awake_at = time.monotonic()
        await asyncio.sleep(CATCH_UP_S + SAMPLE_S)
        late = [
            run.started_at - acknowledged
            for run in self.record.runs
            if run.failure_domain == _system.EVACUATED
            and run.started_at > acknowledged + EVACUATE_S
        ]
        self.assertEqual([], late)
        served = [
            status == 200
            for ended_at, status in self.statuses
            if ended_at > awake_at + CATCH_UP_S
        ]
        self.assertGreater(sum(served), MIN_SERVED_SHARE * len(served))
