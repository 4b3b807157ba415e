"""The processes of one soak and the proxies in front of them."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import shutil
import signal
import sys
import time
from typing import Any
from typing import Self

import msgspec
import yaml

from fulmarseam import settings
from fulmarseam import standin
from fulmarseam.standin import _proxy
from tests import fakes
from tests.soak import _calls
from tests.soak import _plan
from tests.soak import _record

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DOMAINS = {'z1': 'north', 'z2': 'north', 'z3': 'south'}
# The domain that the operator evacuates.
EVACUATED = 'z2'
# Settings of the deployment that the soak models.
GRACE_S = 6.0
HEARTBEAT_S = 1.0
# The users' platform restarts a process after a short delay.
RESTART_DELAY_S = 0.2
# The log of a member; a torn write leaves part of a frame at its end.
LOG_NAME = 'log'
TORN_BYTES = 11
# Index of the flags in /proc/PID/stat, counted from the state field, and the
# kernel's flag of a process that has called exit.
STAT_FLAGS = 6
PF_EXITING = 0x4
# Includes the start of the interpreters while other soaks run.
START_S = 8.0


# The log line of a request with another entry among its recipients.
_RELAYED_REQUEST = re.compile(r'event=request_ended id=(\w+) .*\bentry 127\.')


def find_domain(number: int) -> str:
    """Return the failure domain of a process or target by its number."""
    return list(DOMAINS)[number % len(DOMAINS)]


def _format_seconds(value: float) -> str:
    return f'{value}s'


def _read_stat(directory: pathlib.Path) -> list[str]:
    """Return the fields of a stat file, starting with the state.

    Raises `OSError` when the process or thread is gone.
    """
    text = (directory / 'stat').read_text(encoding='utf-8')
    return text.rpartition(')')[2].split()


def is_exiting(process: int) -> bool:
    """Return whether a process has called exit, or is gone."""
    try:
        fields = _read_stat(pathlib.Path(f'/proc/{process}'))
    except OSError:
        return True
    return bool(int(fields[STAT_FLAGS]) & PF_EXITING)


class Process:
    """One program of the system, which can be restarted."""

    def __init__(
        self, name: str, role: str, directory: pathlib.Path, options: Any
    ) -> None:
        self.name = name
        self.options = options
        # Directory of the build that the next start runs.
        self.build = ROOT
        self._role = role
        self._path = directory / f'{name}.yaml'
        self._log = directory / f'{name}.log'
        self._log_start = 0
        self._process: asyncio.subprocess.Process | None = None
        self.is_paused = False
        # Held while a fault keeps the process down.
        self.control = asyncio.Lock()

    async def start(self) -> None:
        """Start the program with its current settings."""
        self._path.write_text(yaml.safe_dump(self.options), encoding='utf-8')
        with self._log.open('ab') as log:
            self._log_start = log.tell()
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'fulmarseam.platform',
                self._role,
                cwd=self.build,
                env={**os.environ, 'FULMARSEAM_BOOT': str(self._path)},
                stdout=log,
                stderr=log,
            )
        # Only the first start of the system may found the group.
        self.options.pop('first_start', None)

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def has_started(self) -> bool:
        """Return whether the program has logged its last start as complete."""
        with self._log.open('rb') as log:
            log.seek(self._log_start)
            return b'event=started' in log.read()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def stop(self, timeout_s: float) -> int | str:
        """Send SIGTERM and return the exit code.

        A process that does not end in time is killed, and the state of its
        threads is returned instead. A process that has called exit counts
        as ended: with hundreds of processes the kernel took seconds to
        unmap the libraries that they share.
        """
        assert self._process is not None
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        except TimeoutError:
            if is_exiting(self._process.pid):
                return await self._process.wait()
            threads = self._describe_threads()
            await self.kill()
            return threads

    def _describe_threads(self) -> str:
        """Return the state of each thread and where it waits."""
        assert self._process is not None
        tasks = pathlib.Path(f'/proc/{self._process.pid}/task')
        states = []
        for task in sorted(tasks.glob('*')):
            with contextlib.suppress(OSError):
                state = _read_stat(task)[0]
                channel = (task / 'wchan').read_text(encoding='utf-8')
                states.append(f'{state} {channel}')
        return ', '.join(states) or 'no threads left'


class System:
    """Members, entries and proxies; a context manager."""

    def __init__(
        self, directory: pathlib.Path, record: _record.Record
    ) -> None:
        self._directory = directory
        self._record = record
        ports = [
            int(fakes.find_free_address().rpartition(':')[2]) for _ in range(5)
        ]
        self.peer_port, self.api_port, self.lookup_port = ports[:3]
        self._entry_port, self._ready_port = ports[3:]
        self.proxy_control = fakes.find_free_address()
        self.processes: dict[str, Process] = {}
        self._forwards: list[settings.Forward] = []
        self._stack = contextlib.AsyncExitStack()
        for number in range(1, _plan.MEMBERS + 1):
            self._add_member(number)
        for number in range(1, _plan.ENTRIES + 1):
            self._add_entry(number)

    def _seeds(self) -> list[str]:
        return [f'127.0.20.{number}:{self.api_port}' for number in (1, 2, 3)]

    def _add_member(self, number: int) -> None:
        name = f'core-{number}'
        real = f'127.0.21.{number}'
        seen = f'127.0.20.{number}'
        self.add_link(
            name, f'{seen}:{self.peer_port}', f'{real}:{self.peer_port}'
        )
        self._add_process(
            name,
            'control',
            number,
            listen=f'{real}:{self.peer_port}',
            advertise=f'{seen}:{self.peer_port}',
            api=f'{real}:{self.api_port}',
            lookups=f'{real}:{self.lookup_port}',
            data_dir=str(self._directory / f'{name}.data'),
            first_start=True,
            heartbeat=_format_seconds(HEARTBEAT_S),
            tolerated_hosts=_plan.TOLERATED_MEMBERS,
        )

    def _add_entry(self, number: int) -> None:
        host = f'127.0.22.{number}'
        self._add_process(
            f'edge-{number}',
            'entry',
            number,
            listen=f'{host}:{self._entry_port}',
            readiness=f'{host}:{self._ready_port}',
            grace=_format_seconds(GRACE_S),
            retry_slack=40.0,
        )

    def _add_process(
        self, name: str, role: str, number: int, **options: Any
    ) -> None:
        domain = find_domain(number)
        self.processes[name] = Process(
            name,
            role,
            self._directory,
            {
                'host': name,
                'region': DOMAINS[domain],
                'failure_domain': domain,
                'domains': DOMAINS,
                'seeds': self._seeds(),
                'peer_port': self.peer_port,
                **options,
            },
        )

    def add_link(self, name: str, listen: str, to: str) -> None:
        """Put a proxy in front of an address; call before the start."""
        self._forwards.append(
            settings.Forward(name=name, listen=listen, to=to)
        )

    def list_apis(self) -> list[str]:
        """Return the addresses for operators and targets."""
        return [
            f'127.0.21.{number}:{self.api_port}'
            for number in range(1, _plan.MEMBERS + 1)
        ]

    def choose_apis(self) -> list[str]:
        """Return the addresses for operators and targets in random order.

        Half of the time those of paused members come first, so that commands
        wait there until the members go on.
        """
        apis = self.list_apis()
        random.shuffle(apis)
        if random.random() < 0.5:
            paused = {
                api
                for number, api in enumerate(self.list_apis(), 1)
                if self.processes[f'core-{number}'].is_paused
            }
            apis.sort(key=lambda api: api not in paused)
        return apis

    def list_lookups(self) -> list[str]:
        """Return the addresses for callers."""
        return [
            f'127.0.21.{number}:{self.lookup_port}'
            for number in range(1, _plan.MEMBERS + 1)
        ]

    def list_entries(self) -> list[str]:
        """Return the addresses of the entries."""
        return [
            f'127.0.22.{number}:{self._entry_port}'
            for number in range(1, _plan.ENTRIES + 1)
        ]

    def list_relayed_requests(self) -> set[str]:
        """Return the requests that entries relayed, as their logs tell."""
        found = set()
        for path in self._directory.glob('edge-*.log'):
            for line in path.read_text(encoding='utf-8').splitlines():
                match = _RELAYED_REQUEST.search(line)
                if match is not None:
                    found.add(match[1])
        return found

    def find_entry(self, address: str) -> str:
        """Return the name of the entry that listens on an address."""
        return f'edge-{address.partition(":")[0].rpartition(".")[2]}'

    # Life

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(
            _proxy.FaultProxy(
                settings.FaultProxySettings(
                    control=self.proxy_control, forwards=self._forwards
                )
            )
        )
        self._stack.push_async_callback(self._kill_all)
        for process in self.processes.values():
            await process.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def _kill_all(self) -> None:
        for process in self.processes.values():
            await process.kill()

    async def watch(self) -> None:
        """Record and restart processes that end without a fault."""
        while True:
            await asyncio.sleep(0.1)
            for process in self.processes.values():
                if process.control.locked() or process.is_running:
                    continue
                self._record.add_finding(f'{process.name} ended by itself')
                await process.start()

    # Faults

    async def shape_link(self, name: str, **fields: Any) -> None:
        """Change a link; see `standin.ProxyCommand`."""
        command = standin.ProxyCommand(links=[name], **fields)
        await _calls.call(
            self.proxy_control, 'POST', '/', msgspec.json.encode(command), 5.0
        )

    async def apply(self, fault: _plan.Fault) -> None:
        """Apply a fault to a process or its link until the fault ends."""
        if fault.kind is _plan.FaultKind.KILL_ALL:
            names = [name for name in self.processes if 'core' in name]
            await asyncio.gather(
                *(
                    self.apply(
                        fault._replace(kind=_plan.FaultKind.KILL, subject=name)
                    )
                    for name in names
                )
            )
            return
        process = self.processes[fault.subject]
        async with process.control:
            started = time.monotonic()
            await self._inject(process, fault)
            self._record.disturbances.append(
                _record.Disturbance(
                    fault.subject,
                    fault.kind.value,
                    started,
                    time.monotonic(),
                    is_planned=fault.kind is _plan.FaultKind.STOP,
                )
            )

    async def replace(
        self, name: str, build: pathlib.Path, is_kill: bool
    ) -> None:
        """Start a process again with a build; its disk is kept."""
        process = self.processes[name]
        process.build = build
        kind = _plan.FaultKind.KILL if is_kill else _plan.FaultKind.STOP
        await self.apply(_plan.Fault(0.0, kind, name, RESTART_DELAY_S))

    async def _inject(self, process: Process, fault: _plan.Fault) -> None:
        match fault.kind:
            case _plan.FaultKind.PAUSE:
                process.send(signal.SIGSTOP)
                process.is_paused = True
                await asyncio.sleep(fault.for_s)
                process.send(signal.SIGCONT)
                process.is_paused = False
            case _plan.FaultKind.STOP:
                # A starting program is ended by the signal itself.
                expected = 0 if process.has_started() else -signal.SIGTERM
                code = await process.stop(GRACE_S)
                if code not in (0, expected):
                    self._record.add_finding(
                        f'{process.name} ended with {code} after SIGTERM, '
                        f'expected 0 within {GRACE_S} s'
                    )
                await asyncio.sleep(RESTART_DELAY_S)
                await process.start()
            case (
                _plan.FaultKind.KILL
                | _plan.FaultKind.WIPE
                | _plan.FaultKind.TEAR
            ):
                await process.kill()
                self._damage_disk(process, fault.kind)
                await asyncio.sleep(fault.for_s)
                await process.start()
            case _:
                await self.disturb_link(fault)

    def _damage_disk(self, process: Process, kind: _plan.FaultKind) -> None:
        directory = pathlib.Path(process.options.get('data_dir', ''))
        if kind is _plan.FaultKind.WIPE:
            shutil.rmtree(directory, ignore_errors=True)
        log = directory / LOG_NAME
        if kind is _plan.FaultKind.TEAR and log.exists():
            with open(log, 'ab') as file:
                file.write(os.urandom(TORN_BYTES))

    async def disturb_link(self, fault: _plan.Fault) -> None:
        """Hold, reset or delay the link of a subject, then heal it."""
        name = fault.subject
        directions = {
            _plan.FaultKind.HOLD: standin.Direction.BOTH,
            _plan.FaultKind.HOLD_THERE: standin.Direction.UPSTREAM,
            _plan.FaultKind.HOLD_BACK: standin.Direction.DOWNSTREAM,
        }
        if fault.kind is _plan.FaultKind.RESET:
            await self.shape_link(name, action=standin.Action.CUT)
            await asyncio.sleep(fault.for_s)
            await self.shape_link(name, action=standin.Action.HEAL_RESET)
        elif fault.kind is _plan.FaultKind.DELAY:
            shape = standin.Action.SHAPE
            await self.shape_link(name, action=shape, delay_ms=150.0)
            await asyncio.sleep(fault.for_s)
            await self.shape_link(name, action=shape, delay_ms=0.0)
        else:
            direction = directions[fault.kind]
            await self.shape_link(
                name, action=standin.Action.HOLD, direction=direction
            )
            await asyncio.sleep(fault.for_s)
            # Bytes held during the partition are delivered late.
            await self.shape_link(name, action=standin.Action.HEAL_LATE)

    async def wait_until_ready(self) -> None:
        """Wait until every entry reports that it is ready."""
        async with asyncio.timeout(START_S):
            for number in range(1, _plan.ENTRIES + 1):
                address = f'127.0.22.{number}:{self._ready_port}'
                while True:
                    reply = await _calls.call(address, 'GET', '/api/ready')
                    if reply is not None and reply.status == 200:
                        break
                    await asyncio.sleep(0.1)
