"""A group of real processes on loopback, with faults on demand."""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import tempfile
from typing import Any
from typing import Self

import msgspec

from fulmarseam import client
from fulmarseam import errors
from fulmarseam import standin
from fulmarseam import wire
from fulmarseam.bench import _links
from fulmarseam.bench import _operator
from fulmarseam.bench import _plan
from fulmarseam.bench import _processes
from fulmarseam.bench import _waiting

START_TIMEOUT_S = 15.0
# Set to keep settings, logs and journals of a run.
KEEP_VARIABLE = 'FULMARSEAM_KEEP_RUNS'


class Addresses:
    """The addresses that a node listens on."""

    def __init__(self) -> None:
        self.listen = _processes.find_free_address()
        self.api = _processes.find_free_address()
        self.rpc = _processes.find_free_address()


class Cluster:
    """Runs a planned group until the context ends.

    `processes` holds all processes by the names of the plan, and "proxy".
    All of them are ended on exit, also after a failure::

        async with Cluster(make_plan()) as cluster:
            cluster.processes['c0'].kill()
    """

    def __init__(self, plan: _plan.Plan) -> None:
        self.plan = plan
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='fulmarseam-'))
        self.links = _links.Links(plan.faulty, plan.proxy_requests)
        self.addresses = {node.name: Addresses() for node in plan.nodes}
        self.regions = {node.name: node.region for node in plan.nodes}
        self.processes: dict[str, _processes.Process] = {}
        self.operator = _operator.Operator(
            {
                node.name: self.addresses[node.name].listen
                for node in plan.controls
            }
        )

    async def __aenter__(self) -> Self:
        try:
            self._write_settings()
            await self.operator.__aenter__()
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        _processes.end_processes(self.processes.values())
        await self.operator.__aexit__()
        if KEEP_VARIABLE not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _write_settings(self) -> None:
        for control in self.plan.controls:
            self.add_process(
                'control', control.name, self._make_control_settings(control)
            )
        for entry in self.plan.entries:
            self.add_process(
                'entry', entry.name, self._make_entry_settings(entry)
            )
        for target in self.plan.targets:
            self.add_process(
                'target', target.name, self.make_target_settings(target)
            )
        if self.plan.faulty:
            options = self.links.make_proxy_settings(self._find_delay_ms)
            self.add_process('faultproxy', 'proxy', options)

    def add_process(self, program: str, name: str, options: Any) -> None:
        """Write the settings of a further process."""
        self.processes[name] = _processes.Process(
            program, name, options, self.folder
        )

    def _find_delay_ms(self, source: str, destination: str) -> float:
        near = self.regions.get(source)
        far = self.regions.get(destination)
        if near is None or far is None or near == far:
            return 0.0
        return self.plan.delay_ms

    def _make_control_settings(
        self, node: _plan.ControlPlan
    ) -> dict[str, Any]:
        own = self.addresses[node.name]
        members = {
            other.name: {
                'address': own.listen
                if other is node
                else self.links.dial(
                    node.name, other.name, self.addresses[other.name].listen
                ),
                'region': other.region,
            }
            for other in self.plan.controls
        }
        return {
            'member_id': node.name,
            'region': node.region,
            'failure_domain': f'{node.region}-0',
            'data_dir': str(self.folder / f'{node.name}-data'),
            'listen': own.listen,
            'api': own.api,
            'members': members,
            **self.plan.control_options,
        }

    def add_control(self, name: str, region: str) -> None:
        """Write the settings of a further member that joins the group."""
        node = _plan.ControlPlan(name, region)
        self.addresses[name] = Addresses()
        self.regions[name] = region
        options = self._make_control_settings(node)
        self.add_process('control', name, {**options, 'join': True})
        self.operator.add_member(name, self.addresses[name].listen)

    def _make_entry_settings(self, node: _plan.EntryPlan) -> dict[str, Any]:
        own = self.addresses[node.name]
        options: dict[str, Any] = {
            'entry_id': node.name,
            'region': node.region,
            'failure_domain': node.domain,
            'listen': own.listen,
            'api': own.api,
            'rpc': own.rpc,
            'advertise_listen': self.find_entry_address(node.name),
            'control': {
                control.name: self.links.dial(
                    node.name,
                    control.name,
                    self.addresses[control.name].listen,
                )
                for control in self.plan.controls
            },
            'peer_overrides': {
                other.name: self.links.dial(
                    node.name, other.name, self.addresses[other.name].rpc
                )
                for other in self.plan.entries
                if other is not node
            },
            **self.plan.entry_options,
        }
        if node.has_disk:
            options['data_dir'] = str(self.folder / f'{node.name}-data')
        return options

    def make_target_settings(self, node: _plan.TargetPlan) -> dict[str, Any]:
        """Return the settings of a target."""
        own = self.addresses[node.name]
        return {
            'target_id': node.name,
            'pool': node.pool,
            'region': node.region,
            'failure_domain': node.domain,
            'slots': node.slots,
            'listen': own.listen,
            'advertise': self.links.dial(
                _links.ENTRIES, node.name, own.listen, _links.REQUEST_PORT
            ),
            'entries': [
                self.links.dial(
                    node.name,
                    entry.name,
                    self.addresses[entry.name].api,
                    'api',
                )
                for entry in self._order_entries(node)
            ],
            'journal': str(self.find_journal(node.name)),
            **node.options,
        }

    def _order_entries(
        self, target: _plan.TargetPlan
    ) -> list[_plan.EntryPlan]:
        """Return the entries in the order in which a target tries them.

        Those of its region come first, and the targets of a region start
        with different ones, so that no entry takes most announcements.
        """
        position = list(self.plan.targets).index(target)
        entries = list(self.plan.entries)
        start = position % len(entries) if entries else 0
        rotated = entries[start:] + entries[:start]
        return sorted(rotated, key=lambda entry: entry.region != target.region)

    def find_journal(self, name: str) -> pathlib.Path:
        """Return the journal file of a target or a load."""
        return self.folder / f'{name}.journal'

    def find_entry_address(self, name: str) -> str:
        """Return the address at which callers reach an entry."""
        return self.links.dial(
            _links.CALLERS,
            name,
            self.addresses[name].listen,
            _links.REQUEST_PORT,
        )

    def list_apis(self, region: str | None = None) -> list[str]:
        """Return the api addresses of the entries, or those of a region."""
        return [
            self.addresses[entry.name].api
            for entry in self.plan.entries
            if region in (None, entry.region)
        ]

    async def _start(self) -> None:
        if self.plan.faulty:
            self.processes['proxy'].start()
        for control in self.plan.controls:
            self.processes[control.name].start()
        await self.wait_leader(START_TIMEOUT_S)
        result = await self.operator.put_rows(self.plan.rows)
        if result.kind is not None:
            raise errors.FulmarseamError(
                errors.ErrorKind(result.kind), '; '.join(result.problems)
            )
        for node in self.plan.nodes[len(self.plan.controls) :]:
            self.processes[node.name].start()
        await self.wait_ready(START_TIMEOUT_S)

    async def wait_leader(self, timeout_s: float) -> str:
        """Wait for a control leader and return its name."""
        await _waiting.wait_until(
            self.operator.find_leader, timeout_s, 'a control leader'
        )
        leader = await self.operator.find_leader()
        return leader or await self.wait_leader(timeout_s)

    async def wait_ready(self, timeout_s: float) -> float:
        """Wait until all running entries and targets are known and current.

        Returns the seconds that took.
        """

        async def is_ready() -> bool:
            entries, targets = await self._read_ready()
            return entries >= self._list_running(
                self.plan.entries
            ) and targets >= self._list_running(self.plan.targets)

        return await _waiting.wait_until(
            is_ready, timeout_s, 'entries and targets ready', 0.05
        )

    def _list_running(self, nodes: Any) -> set[str]:
        return {node.name for node in nodes if self.processes[node.name].pid}

    async def _read_ready(self) -> tuple[set[str], set[str]]:
        fleet = await self.operator.read_fleet()
        entries = {
            str(entry.row.info.entry)
            for entry in fleet.entries
            if entry.row.alive and entry.revision >= fleet.revision
        }
        targets = {
            str(target.row.report.target)
            for target in fleet.targets
            if target.row.report.state is wire.TargetState.READY
        }
        return entries, targets

    async def wait_in_force(self, revision: int, timeout_s: float) -> float:
        """Wait until all running entries have a revision in force.

        The leader's view lags by up to one sync. Returns the seconds.
        """
        running = self._list_running(self.plan.entries)

        async def is_in_force() -> bool:
            fleet = await self.operator.read_fleet()
            have = {
                str(entry.row.info.entry)
                for entry in fleet.entries
                if entry.revision >= revision
            }
            return have >= running

        return await _waiting.wait_until(
            is_in_force, timeout_s, f'revision {revision} in force'
        )

    async def command_target(
        self, name: str, command: standin.TargetCommand
    ) -> None:
        """Change the behaviour of a target."""
        http_client = client.HttpClient()
        with contextlib.closing(http_client):
            request = client.Request(
                'POST',
                name,
                '/standin/control',
                {},
                msgspec.json.encode(command),
            )
            address = self.addresses[name].listen
            reply = await http_client.send(address, request, 5.0)
            assert reply.status == 200, reply

    async def read_metrics(self, name: str) -> dict[str, float]:
        """Return the metrics page of a daemon as a mapping."""
        http_client = client.HttpClient()
        with contextlib.closing(http_client):
            request = client.Request('GET', name, '/metrics')
            address = self.addresses[name].api
            reply = await http_client.send(address, request, 5.0)
        lines = reply.body.decode().splitlines()
        pairs = [line.rpartition(' ') for line in lines if line[:1] != '#']
        return {name: float(value) for name, _, value in pairs}

    async def stop(self, name: str, timeout_s: float = 30.0) -> float:
        """Stop a process gracefully; return the seconds until its end."""
        process = self.processes[name]
        process.signal(signal.SIGTERM)
        return await _waiting.wait_until(
            lambda: process.exit_code is not None, timeout_s, f'{name} ended'
        )

    def wipe_data_dir(self, name: str) -> None:
        """Remove the data directory of a process that does not run."""
        assert self.processes[name].pid is None
        shutil.rmtree(self.folder / f'{name}-data')

    async def isolate(
        self,
        names: set[str],
        incoming: bool = True,
        outgoing: bool = True,
        callers: bool = False,
        cut: bool = False,
    ) -> None:
        """Separate nodes from all others, silently unless `cut`.

        Callers still reach entries unless `callers`.
        """
        outside = {*self.addresses} - names
        if callers:
            outside.add(_links.CALLERS)
        sides = self.links.find_sides(
            names.__contains__, outside.__contains__, incoming, outgoing
        )
        action = standin.Action.CUT if cut else standin.Action.HOLD
        await self.links.command(action, sides)

    async def partition(self, names: set[str], others: set[str]) -> None:
        """Hold all bytes between two sets of nodes."""
        sides = self.links.find_sides(names.__contains__, others.__contains__)
        await self.links.command(standin.Action.HOLD, sides)

    def list_region(self, region: str) -> set[str]:
        """Return the names of all nodes of a region."""
        return {name for name, home in self.regions.items() if home == region}

    def read_runs(self) -> list[standin.RunRecord]:
        """Return the journals of all targets."""
        runs: list[standin.RunRecord] = []
        for target in self.plan.targets:
            path = self.find_journal(target.name)
            if path.exists():
                runs.extend(standin.read_journal(str(path), standin.RunRecord))
        return runs

    def read_calls(self, name: str) -> list[standin.CallRecord]:
        """Return the journal of a load."""
        path = self.find_journal(name)
        return list(standin.read_journal(str(path), standin.CallRecord))

    def save(self, name: str, value: object) -> None:
        """Write a note of the run beside its logs."""
        path = self.folder / name
        path.write_text(json.dumps(value, indent=1), encoding='utf-8')
