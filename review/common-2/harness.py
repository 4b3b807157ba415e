"""Starts a small deployment on loopback addresses, for the cases of review 2.

Each machine has a loopback address of its own and the same ports as all
others. The programs are started with the commands of the deploy file.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2
BOUNDS = {
    'contact': 3.0,
    'ack': 4.0,
    'catchUp': 4.0,
    'drain': 2.0,
    'configApply': 2.0,
    'evacuate': 5.0,
    'recovery': 15.0,
}
DOMAINS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'c2': 'c'}


def wants_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: str) -> None:
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        elapsed_s = time.monotonic() - self._started_at
        self._file.write(f'{elapsed_s:8.3f} {text}\n')
        self._file.flush()


class Process:
    """One program of the system on a machine of its own."""

    def __init__(self, fleet: 'Fleet', name: str, role: str, ip: str) -> None:
        self.name = name
        self.ip = ip
        self._role = role
        self._fleet = fleet
        self.folder = fleet.folder / name
        self.data = self.folder / 'data'
        self.data.mkdir(parents=True)
        self.settings: dict[str, object] = {}
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program with the settings in effect."""
        path = self.folder / 'settings.yaml'
        lines = [f'{k}: {json.dumps(v)}' for k, v in self.settings.items()]
        path.write_text('\n'.join(lines) + '\n')
        log = open(self.folder / 'log.txt', 'ab')
        self._popen = subprocess.Popen(
            ['python3', '-m', 'fulmarseam.platform', self._role],
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'FULMARSEAM_BOOT': str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self._fleet.record.write(f'start {self.name}')

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        assert self._popen is not None
        self._fleet.record.write(f'{number.name} {self.name}')
        self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the program and wait for its end."""
        self.send(signal.SIGKILL)
        self.wait()

    def wipe(self) -> None:
        """Empty the disk of the machine; the program must not run."""
        self._fleet.record.write(f'wipe {self.name}')
        shutil.rmtree(self.data)
        self.data.mkdir()

    def wait(self) -> None:
        """Wait for the end of the program."""
        assert self._popen is not None
        self._popen.wait()

    def poll(self) -> int | None:
        """Return the exit code, or None while the program runs."""
        assert self._popen is not None
        return self._popen.poll()

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        assert self._popen is not None
        return self._popen.pid

    def read_log(self) -> str:
        """Return what the program has written."""
        path = self.folder / 'log.txt'
        return path.read_text(errors='replace') if path.exists() else ''

    def stop(self) -> None:
        """End the program if it runs."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()


class Fleet:
    """The machines of a small deployment; a context manager."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
        self.rng = random.Random()
        prefix = f'127.{self.rng.randrange(20, 200)}'
        self._prefix = f'{prefix}.{self.rng.randrange(1, 250)}'
        self._used = 0
        self.port = self._find_ports()
        self.processes: list[Process] = []
        self.cores: list[Process] = []
        self.entries: list[Process] = []

    def _find_ports(self) -> int:
        """Return the first of eight ports that are free."""
        while True:
            first = self.rng.randrange(10_000, 28_000)
            try:
                for port in range(first, first + 8):
                    with socket.socket() as probe:
                        probe.bind((f'{self._prefix}.1', port))
            except OSError:
                continue
            return first

    def take_ip(self) -> str:
        """Return an unused loopback address."""
        self._used += 1
        return f'{self._prefix}.{self._used}'

    def _add(self, name: str, role: str, zone: str) -> Process:
        process = Process(self, name, role, self.take_ip())
        process.settings = {
            'host': name,
            'region': DOMAINS[zone],
            'failure_domain': zone,
            'domains': DOMAINS,
            'peer_port': self.port,
        }
        self.processes.append(process)
        return process

    def add_core(self, zone: str) -> Process:
        """Add a machine with a disk; `set_seeds` completes its settings."""
        name = f'core-{zone}-{len(self.cores) + 1}'
        core = self._add(name, 'control', zone)
        core.settings |= {
            'data_dir': str(core.data),
            'listen': f'{core.ip}:{self.port}',
            'api': f'{core.ip}:{self.port + 1}',
            'lookups': f'{core.ip}:{self.port + 2}',
            'first_start': True,
            'tolerated_hosts': 2,
            'heartbeat': '1500ms',
            'lookup_lifetime_limit': '5s',
            'host_limits': {'memoryMb': 296, 'maxFds': 4096},
        }
        self.cores.append(core)
        return core

    def add_entry(self, zone: str, **extra: object) -> Process:
        """Add a machine for callers; `set_seeds` completes its settings."""
        name = f'edge-{zone}-{len(self.entries) + 1}'
        entry = self._add(name, 'entry', zone)
        entry.settings |= {
            'listen': f'{entry.ip}:{self.port + 3}',
            'readiness': f'{entry.ip}:{self.port + 4}',
            'grace': '6s',
            'retry_ratio': 0.2,
            'retry_slack': 64,
            'retry_window': '10s',
            'cold_factor': 1.5,
            'cold_slack': 5,
            'host_limits': {'memoryMb': 300, 'maxFds': 4100},
        } | extra
        self.entries.append(entry)
        return entry

    def set_seeds(self) -> None:
        """Name the first three control members as seeds everywhere."""
        seeds = [f'{core.ip}:{self.port + 1}' for core in self.cores[:3]]
        for process in self.processes:
            process.settings['seeds'] = seeds

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *exc_info: object) -> None:
        for process in self.processes:
            process.stop()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def api(self, core: Process) -> tuple[str, int]:
        """Return the address for operators and upstreams."""
        return core.ip, self.port + 1

    def front(self, entry: Process) -> tuple[str, int]:
        """Return the address for clients."""
        return entry.ip, self.port + 3


def are_running(processes: list[Process]) -> bool:
    """Return whether all programs have started and none has ended."""
    return all(
        process.poll() is None and 'event=started' in process.read_log()
        for process in processes
    )


class Answer:
    """An answer to a request."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; raises `EOFError` if it is not complete."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    status = int(lines[0].split(' ')[1])
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding') == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    else:
        body = await reader.read()
    return Answer(status, headers, body)


def make_request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {host}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method not in ('GET', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
    host: str = 'system',
) -> Answer | None:
    """Send one request on a new connection; None without an answer."""
    if body is None:
        data = b''
    elif isinstance(body, bytes):
        data = body
    else:
        data = json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(make_request(method, path, host, headers or {}, data))
            return await read_answer(reader)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def order(
    fleet: Fleet,
    cores: list[Process],
    method: str,
    path: str,
    body: object = None,
    limit_s: float = 20.0,
) -> bool:
    """Send an order like an operator until it is acknowledged."""
    ends_at = time.monotonic() + limit_s
    attempt = 0
    while time.monotonic() < ends_at:
        core = cores[attempt % len(cores)]
        attempt += 1
        answer = await call(fleet.api(core), method, path, body)
        status = answer.status if answer else None
        fleet.record.write(f'{method} {path} at {core.name}: {status}')
        if answer and 200 <= answer.status < 300:
            return True
        await asyncio.sleep(0.2)
    return False


async def read_back(
    fleet: Fleet, cores: list[Process], limit_s: float = 15.0
) -> dict[str, object] | None:
    """Return the configuration as the operator reads it, or None."""
    ends_at = time.monotonic() + limit_s
    attempt = 0
    while time.monotonic() < ends_at:
        core = cores[attempt % len(cores)]
        attempt += 1
        answer = await call(fleet.api(core), 'GET', '/api/config')
        status = answer.status if answer else None
        fleet.record.write(f'GET /api/config at {core.name}: {status}')
        if answer and answer.status == 200:
            found = json.loads(answer.body)
            assert isinstance(found, dict)
            return found
        await asyncio.sleep(0.3)
    return None


def make_service(
    name: str, version: int, **extra: object
) -> dict[str, object]:
    """Return the item of a service."""
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': 390,
        'protocol': 'h1',
        'tls': False,
        'warmup': '3s',
        'warmupPerS': 17.0,
        'version': version,
    } | extra


def make_route(
    name: str, prefix: str, service: str, version: int, **extra: object
) -> dict[str, object]:
    """Return the item of a route."""
    return {
        'name': name,
        'pathPrefix': prefix,
        'type': 'idempotent',
        'timeout': '2000ms',
        'targetLatency': '250ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'sessionAffinity': False,
        'allowedRegions': [],
        'version': version,
    } | extra


def make_patch(
    services: list[dict[str, object]],
    routes: list[dict[str, object]],
    version: int = 0,
    host: str = 'shop.example',
) -> dict[str, object]:
    """Return the body of a configuration call."""
    upsert: dict[str, object] = {
        'services': services,
        'hosts': [{'host': host, 'paths': routes}],
    }
    if version:
        upsert['limits'] = {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
            'version': version,
        }
    return {'upsert': upsert, 'remove': {'routes': []}}


def find_route(
    config: dict[str, object], name: str
) -> dict[str, object] | None:
    """Return a route of a configuration that was read back, or None."""
    hosts = config.get('hosts', [])
    assert isinstance(hosts, list)
    for host in hosts:
        for route in host['paths']:
            if route['name'] == name:
                return dict(route)
    return None


def run_case(main: object) -> None:
    """Run the coroutine function of a case and exit with its result."""
    folder = os.environ.get('CASE', '.')
    record = Record(folder)
    try:
        with Fleet(record) as fleet:
            result = asyncio.run(main(fleet))  # type: ignore[operator]
    except Exception as error:  # noqa: BLE001
        record.write(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        result = NOT_RUN
    record.write(f'exit {result}')
    sys.exit(result)
