"""A cluster of real processes on loopback, with fault injection."""

from collections.abc import Awaitable
from collections.abc import Callable
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
# Lines of a process that an error about it shows.
SHOWN_LINES = 20
# Environment variable; if set, the settings, logs and journals of a run stay.
KEEP_RUNS_VARIABLE = 'FULMARSEAM_KEEP_RUNS'


class NodeAddresses:
    """The addresses that a node listens on."""

    def __init__(self) -> None:
        self.listen = _processes.find_free_address()
        self.api = _processes.find_free_address()
        self.rpc = _processes.find_free_address()


class Cluster:
    """Runs the processes of a plan until the context exits.

    `processes` maps the names of the plan, and "proxy", to the processes.
    All of them are killed on exit, also after a failure::

        async with Cluster(make_plan()) as cluster:
            cluster.processes['c0'].kill()
    """

    def __init__(self, plan: _plan.Plan) -> None:
        self.plan = plan
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='fulmarseam-'))
        self.links = _links.Links(plan.faulty, plan.proxy_requests)
        self.addresses = {node.name: NodeAddresses() for node in plan.nodes}
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
        if KEEP_RUNS_VARIABLE not in os.environ:
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
        """Write the settings of a process, without starting it."""
        self.processes[name] = _processes.Process(
            program, name, options, self.folder
        )

    def _find_delay_ms(self, source: str, destination: str) -> float:
        source_region = self.regions.get(source)
        destination_region = self.regions.get(destination)
        if (
            source_region is None
            or destination_region is None
            or source_region == destination_region
        ):
            return 0.0
        return self.plan.delay_ms

    def _make_control_settings(
        self, node: _plan.ControlPlan
    ) -> dict[str, Any]:
        addresses = self.addresses[node.name]
        members = {
            other.name: {
                'address': addresses.listen
                if other is node
                else self.links.resolve_address(
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
            'listen': addresses.listen,
            'api': addresses.api,
            'members': members,
            **self.plan.control_options,
        }

    def add_control(self, name: str, region: str) -> None:
        """Write the settings of a new member that joins the control group."""
        node = _plan.ControlPlan(name, region)
        self.addresses[name] = NodeAddresses()
        self.regions[name] = region
        options = self._make_control_settings(node)
        self.add_process('control', name, {**options, 'join': True})
        self.operator.add_member(name, self.addresses[name].listen)

    def _make_entry_settings(self, node: _plan.EntryPlan) -> dict[str, Any]:
        addresses = self.addresses[node.name]
        options: dict[str, Any] = {
            'entry_id': node.name,
            'region': node.region,
            'failure_domain': node.domain,
            'listen': addresses.listen,
            'api': addresses.api,
            'rpc': addresses.rpc,
            'advertise_listen': self.find_entry_address(node.name),
            'control': {
                control.name: self.links.resolve_address(
                    node.name,
                    control.name,
                    self.addresses[control.name].listen,
                )
                for control in self.plan.controls
            },
            'peer_overrides': {
                other.name: self.links.resolve_address(
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
        addresses = self.addresses[node.name]
        return {
            'target_id': node.name,
            'pool': node.pool,
            'region': node.region,
            'failure_domain': node.domain,
            'slots': node.slots,
            'listen': addresses.listen,
            'advertise': self.links.resolve_address(
                _links.ENTRIES,
                node.name,
                addresses.listen,
                _links.REQUEST_PORT,
            ),
            'entries': [
                self.links.resolve_address(
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

        Entries of its region come first. The targets of a region start at
        different entries, to spread the announcements.
        """
        position = list(self.plan.targets).index(target)
        entries = list(self.plan.entries)
        start = position % len(entries) if entries else 0
        rotated = entries[start:] + entries[:start]
        return sorted(rotated, key=lambda entry: entry.region != target.region)

    def find_journal(self, name: str) -> pathlib.Path:
        """Return the path of the journal of a target or a load process."""
        return self.folder / f'{name}.journal'

    def find_entry_address(self, name: str) -> str:
        """Return the address at which callers reach an entry."""
        return self.links.resolve_address(
            _links.CALLERS,
            name,
            self.addresses[name].listen,
            _links.REQUEST_PORT,
        )

    def list_apis(self, region: str | None = None) -> list[str]:
        """Return the api addresses of all entries or those of one region."""
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
        """Wait for a control leader and return its name.

        Raises `ConditionError` with the last lines of each member.
        """
        await self.wait_for_controls(
            self.operator.find_leader, timeout_s, 'a control leader'
        )
        leader = await self.operator.find_leader()
        return leader or await self.wait_leader(timeout_s)

    async def wait_for_controls(
        self,
        condition: Callable[[], Any | Awaitable[Any]],
        timeout_s: float,
        description: str,
    ) -> float:
        """Wait until a condition of the control members is true.

        Returns the seconds waited. Raises `ConditionError` with the status
        and the last lines of each member.
        """
        try:
            return await _waiting.wait_until(condition, timeout_s, description)
        except _waiting.ConditionError as error:
            raise _waiting.ConditionError(
                f'{error}\n{await self._describe_controls()}'
            ) from error

    async def _describe_controls(self) -> str:
        """Return the status and the last lines of each control member."""
        parts = []
        for control in self.plan.controls:
            process = self.processes[control.name]
            status = await self.operator.read_status(control.name)
            parts.append(f'{control.name}:')
            parts.append(f'  exit code {process.exit_code}, {status}')
            lines = process.read_output().splitlines()
            parts.extend(f'  {line}' for line in lines[-SHOWN_LINES:])
        return '\n'.join(parts)

    async def wait_ready(self, timeout_s: float) -> float:
        """Wait until all running entries are up to date and targets ready.

        Returns the seconds waited.
        """

        async def is_ready() -> bool:
            entries, targets = await self._read_ready_names()
            return entries >= self._list_running_names(
                self.plan.entries
            ) and targets >= self._list_running_names(self.plan.targets)

        return await _waiting.wait_until(
            is_ready, timeout_s, 'entries and targets ready', 0.05
        )

    def _list_running_names(self, nodes: Any) -> set[str]:
        return {node.name for node in nodes if self.processes[node.name].pid}

    async def _read_ready_names(self) -> tuple[set[str], set[str]]:
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
        """Wait until a revision is in force on all running entries.

        The leader learns of it with the next sync of an entry, so the result
        is late by up to one sync. Returns the seconds waited.
        """
        running = self._list_running_names(self.plan.entries)

        async def is_in_force() -> bool:
            fleet = await self.operator.read_fleet()
            up_to_date = {
                str(entry.row.info.entry)
                for entry in fleet.entries
                if entry.revision >= revision
            }
            return up_to_date >= running

        return await _waiting.wait_until(
            is_in_force, timeout_s, f'revision {revision} in force'
        )

    async def command_target(
        self, name: str, command: standin.TargetCommand
    ) -> None:
        """Send a command that changes how a target behaves."""
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
        """Stop a process gracefully; return the seconds until it exited."""
        process = self.processes[name]
        process.signal(signal.SIGTERM)
        return await _waiting.wait_until(
            lambda: process.exit_code is not None, timeout_s, f'{name} exited'
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
        """Partition nodes from all others.

        Bytes are held back without closing connections; with `cut`
        connections are reset. `incoming` and `outgoing` select the
        directions. Callers still reach entries unless `callers` is set.
        """
        outside = {*self.addresses} - names
        if callers:
            outside.add(_links.CALLERS)
        links = self.links.find_links_between(
            names.__contains__, outside.__contains__, incoming, outgoing
        )
        action = standin.Action.CUT if cut else standin.Action.HOLD
        await self.links.send_command(action, links)

    async def partition(self, names: set[str], others: set[str]) -> None:
        """Hold back all bytes between two sets of nodes."""
        links = self.links.find_links_between(
            names.__contains__, others.__contains__
        )
        await self.links.send_command(standin.Action.HOLD, links)

    def list_region(self, region: str) -> set[str]:
        """Return the names of all nodes of a region."""
        return {
            name
            for name, node_region in self.regions.items()
            if node_region == region
        }

    def read_runs(self) -> list[standin.RunRecord]:
        """Return the records in the journals of all targets."""
        runs: list[standin.RunRecord] = []
        for target in self.plan.targets:
            path = self.find_journal(target.name)
            if path.exists():
                runs.extend(standin.read_journal(str(path), standin.RunRecord))
        return runs

    def read_calls(self, name: str) -> list[standin.CallRecord]:
        """Return the records in the journal of a load process."""
        path = self.find_journal(name)
        return list(standin.read_journal(str(path), standin.CallRecord))

    def save(self, name: str, value: object) -> None:
        """Write a value as JSON into the folder of the run."""
        path = self.folder / name
        path.write_text(json.dumps(value, indent=1), encoding='utf-8')
