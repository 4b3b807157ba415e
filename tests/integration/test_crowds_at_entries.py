"""Crowds of misbehaving callers at the programs of a group with grants.

Guards against an entry that holds more than its memory, or that no longer
answers ordinary requests. The platform's programs have more of these tests
in `test_crowds`.
"""

from collections.abc import Callable
import os
import pathlib

from fulmarseam import settings
from fulmarseam.bench import _processes
from tests.integration import _case
from tests.integration import _crowds

MEMORY_LIMIT_MIB = 80
MAX_CONNECTIONS = 320


class CrowdTest(_case.ClusterCase):
    """Crowds at a route, at a path without one, and at the other port."""

    async def check(
        self, stream: Callable[[_crowds.Place], _crowds.Stream], scale: int = 1
    ) -> None:
        """Check the bounds and that ordinary requests are answered."""
        limits = {
            'memory_limit': MEMORY_LIMIT_MIB,
            'max_caller_connections': MAX_CONNECTIONS,
        }
        route = _case.make_route('r', host=_crowds.HOST, path_prefix='/a/')
        cluster = await self.start_cluster(
            _case.make_plan(
                controls=1,
                regions=('ost',),
                entries_per_region=1,
                targets_per_region=1,
                slots=20,
                more_rows=[route],
                entry_options=_crowds.choose_known(
                    settings.EntrySettings, limits
                ),
            )
        )
        entry = cluster.plan.entries[0].name
        listen = cluster.find_entry_address(entry)
        ordinary = _crowds.Place(listen, '/a/')
        api = _crowds.Place(cluster.addresses[entry].api, '/metrics')
        await _crowds.call_until_served(ordinary)
        with _crowds.Crowd() as crowd:
            await crowd.send(
                stream,
                [
                    (ordinary, 160 * scale),
                    (_crowds.Place(listen, '/none/'), 40 * scale),
                    (api, 40 * scale),
                ],
            )
            for place in (ordinary, api):
                await _crowds.call_until_served(place)
            self.check_process(cluster.processes[entry])

    def check_process(self, process: _processes.Process) -> None:
        """Check that the process lives within its bounds."""
        self.assertIsNotNone(process.pid, 'the process has ended')
        directory = pathlib.Path(f'/proc/{process.pid}')
        status = (directory / 'status').read_text(encoding='ascii')
        peak_kib = int(status.partition('VmHWM:')[2].split()[0])
        self.assertLess(peak_kib / 1024, MEMORY_LIMIT_MIB)
        self.assertLessEqual(
            len(os.listdir(directory / 'fd')),
            MAX_CONNECTIONS + _crowds.OTHER_DESCRIPTORS,
        )

    async def test_stop_in_the_body(self) -> None:
        await self.check(_crowds.stop_in_the_body, 3)

    async def test_send_unended_chunks(self) -> None:
        await self.check(_crowds.send_unended_chunks)

    async def test_send_chunks_of_one_byte(self) -> None:
        await self.check(_crowds.send_chunks_of_one_byte)

    async def test_send_many_requests(self) -> None:
        await self.check(_crowds.send_many_requests)
