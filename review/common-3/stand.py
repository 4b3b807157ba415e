"""Stand-ins and process control for the scripts of the third review.

One script runs one event loop. The programs of the project are separate
processes, started with the commands of the deploy file; clients, servers,
the operator and proxies are coroutines of the script.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, NOT_RUN = 1, 0, 2
_PLACEHOLDER = re.compile(r'\{\{([^}|]+)(\|json)?\}\}')
_next_host = random.randrange(1, 200)
_net = random.randrange(1, 250)


class CannotRun(Exception):
    """The case could not be set up."""


def take_address() -> str:
    """Return a loopback address that no other part of the script uses."""
    global _next_host
    _next_host += 1
    return f'127.{_net}.{_next_host // 250}.{_next_host % 250 + 2}'


def find_ports(count: int) -> list[int]:
    """Return ports that are free on all addresses."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        if port in found:
            continue
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind(('0.0.0.0', port))
            except OSError:
                continue
        found.append(port)
    return found


def _look_up(fields, name):
    value = fields
    for part in name.split('.'):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
        if value is None:
            return None
    return value


def render(template: str, fields) -> str:
    """Fill a template of the deploy folder with the platform's fields."""

    def fill(match):
        value = _look_up(fields, match[1].strip())
        if match[2]:
            return json.dumps(value)
        if value is None:
            return ''
        if isinstance(value, list):
            return ','.join(map(str, value))
        return json.dumps(value) if isinstance(value, dict) else str(value)

    return _PLACEHOLDER.sub(fill, template)


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        self._file.write(f'{self.now():8.3f} {text}\n')

    def close(self) -> None:
        self._file.close()


class Process:
    """One program of the project on a machine of its own address."""

    def __init__(self, role, fields, folder, record) -> None:
        self.role = role
        self.fields = fields
        self.address = fields['ip']
        self.record = record
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        entry = deploy['roles'][role]
        self._command = entry['run'].split()
        self._template = (ROOT / entry['template']).read_text()
        self._settings = folder / f'{fields["node"]}.yaml'
        self._log_path = folder / f'{fields["node"]}.log'
        self.process = None
        self.ended = []
        self._watch = None
        self.write_settings()

    @property
    def name(self) -> str:
        return self.fields['node']

    @property
    def pid(self) -> int:
        return self.process.pid

    def write_settings(self) -> None:
        temporary = self._settings.with_suffix('.new')
        temporary.write_text(render(self._template, self.fields))
        os.replace(temporary, self._settings)

    def write_disk(self) -> None:
        """Give the machine an empty disk."""
        pathlib.Path(self.fields['dataDir']).mkdir(exist_ok=True)

    async def start(self) -> None:
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['FULMARSEAM_BOOT'] = str(self._settings)
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(f'start {self.name} pid={self.pid}')

    def signal(self, number: int) -> None:
        self.record.write(f'{signal.Signals(number).name} {self.name}')
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def read_log(self) -> str:
        return self._log_path.read_text(errors='replace')

    def read_memory_kib(self, field: str = 'VmRSS') -> int:
        try:
            text = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        except OSError:
            return 0
        match = re.search(rf'{field}:\s+(\d+) kB', text)
        return int(match[1]) if match else 0


class System:
    """A small deployment: control machines and front machines."""

    def __init__(self, name, zones, controls, entries, bounds=None, **extra):
        """`zones` maps zones to regions; the others list zones."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-3-'))
        self.case = pathlib.Path(sys.argv[0]).resolve().parent
        self.record = Record(self.case)
        self.zones = zones
        ports = find_ports(5)
        self.ports = dict(
            zip(
                ('peer', 'control', 'directory', 'front', 'ready'),
                ports,
                strict=True,
            )
        )
        self.bounds = {
            'ttl_max': '5s',
            'grace': '6s',
            'retryBudgetRatio': 0.2,
            'retrySlack': 56,
            'retryWindow': '10s',
            'warmupFactor': 1.5,
            'warmupSlack': 5,
        } | (bounds or {})
        self.extra = extra
        control_ips = [take_address() for _ in controls]
        self.seeds = [f'{ip}:{self.ports["control"]}' for ip in control_ips]
        self.controls = [
            self._make('control', f'core-{zone}-{n}', ip, zone, 296)
            for n, (ip, zone) in enumerate(
                zip(control_ips, controls, strict=True)
            )
        ]
        self.entries = [
            self._make('entry', f'edge-{zone}-{n}', take_address(), zone, 300)
            for n, zone in enumerate(entries)
        ]
        self.parts = []
        # Machines that were taken away for good.
        self.removed = []

    def add_control(self, zone):
        """Return a further core machine at an address of its own."""
        machine = self._make(
            'control',
            f'core-{zone}-{len(self.controls)}',
            take_address(),
            zone,
            296,
        )
        machine.fields['bootstrap'] = False
        machine.write_settings()
        self.controls.append(machine)
        return machine

    def _make(self, role, node, ip, zone, memory):
        ports = self.ports
        data_dir = self.folder / f'data-{node}'
        is_control = role == 'control'
        if is_control:
            data_dir.mkdir()
        fields = {
            'node': node,
            'ip': ip,
            'zone': zone,
            'region': self.zones[zone],
            'zones': self.zones,
            'dataDir': str(data_dir),
            'internalPorts': [ports['peer'], ports['peer'] + 15],
            'listen': {
                'control': f'{ip}:{ports["control"]}',
                'directory': f'{ip}:{ports["directory"]}',
                'front': f'{ip}:{ports["front"]}',
                'readiness': f'{ip}:{ports["ready"]}',
            },
            'seeds': self.seeds[:3],
            'bootstrap': True,
            'faultTolerance': {'machines': 2, 'zones': 1, 'regions': 1},
            'heartbeat': '1500ms',
            'bounds': self.bounds,
            'limits': {
                'cpuShare': 0.86,
                'cores': 1,
                'memoryMb': memory,
                'maxFds': 4100,
                'linkMbps': 1000.0,
            },
        }
        fields |= self.extra
        return Process(role, fields, self.folder, self.record)

    async def start(self) -> None:
        for process in (*self.controls, *self.entries):
            await process.start()

    def write(self, text: str) -> None:
        self.record.write(text)

    async def order(self, method, path, body=None, tries=20, machines=None):
        """Send an order as the operator does; return the clear status."""
        data = b'' if body is None else json.dumps(body).encode()
        machines = machines or self.controls
        for attempt in range(tries):
            machine = machines[attempt % len(machines)]
            address = machine.fields['listen']['control']
            try:
                async with asyncio.timeout(1.0):
                    answer = await exchange(address, method, path, data)
            except (OSError, TimeoutError, EOFError, ValueError):
                await asyncio.sleep(0.2)
                continue
            if answer.status < 500 and answer.status not in (408, 429):
                self.write(f'order {method} {path} -> {answer.status}')
                return answer
            await asyncio.sleep(0.2)
        raise CannotRun(f'{method} {path}: no clear answer')

    async def configure(self, upsert, remove=None):
        body = {'upsert': upsert, 'remove': remove or {}}
        return await self.order('PATCH', '/api/config', body)

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all front machines say that they are ready."""
        end = time.monotonic() + timeout_s
        for entry in self.entries:
            address = entry.fields['listen']['readiness']
            while True:
                with contextlib.suppress(OSError, EOFError, ValueError):
                    answer = await exchange(address, 'GET', '/api/ready')
                    if answer.status == 200:
                        break
                if time.monotonic() > end:
                    raise CannotRun(f'{entry.name} is not ready')
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        for part in self.parts:
            part.close()
        for process in (*self.controls, *self.entries, *self.removed):
            with contextlib.suppress(ProcessLookupError):
                if process.is_running:
                    process.process.send_signal(signal.SIGCONT)
                    process.process.kill()
                    await process.process.wait()
        self.record.close()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder, file=sys.stderr)


class Answer:
    """A whole answer on the wire."""

    def __init__(self, status, headers, body) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head[:-4].split(b'\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b':')
        headers[name.strip().lower().decode()] = value.strip().decode()
    return lines[0].decode(), headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding') == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_answer(reader) -> Answer:
    line, headers = await read_head(reader)
    body = await read_body(reader, headers)
    return Answer(int(line.split()[1]), headers, body)


def make_head(method, path, headers, body=b'') -> bytes:
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method not in ('GET', 'DELETE'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def split(address: str):
    host, _, port = address.rpartition(':')
    return host, int(port)


async def exchange(address, method, path, body=b'', headers=None) -> Answer:
    """Send one request on a connection of its own."""
    reader, writer = await asyncio.open_connection(*split(address))
    try:
        fields = {'Host': address, 'Content-Type': 'application/json'}
        fields |= headers or {}
        writer.write(make_head(method, path, fields, body) + body)
        return await read_answer(reader)
    finally:
        writer.close()


class Upstream:
    """A sound upstream: slots, a queue, heartbeats, and a count of runs.

    `limit` is the Server-Limit that it names, if any.
    """

    def __init__(self, system, service, zone, work_s, slots=6, queue=18):
        self.system = system
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.id = f'i-{random.randrange(16**8):08x}'
        self.born = int(time.time() * 1_000)
        self.ip = take_address()
        self.port = system.ports['front']
        self.address = f'{self.ip}:{self.port}'
        self.limit = None
        self.state = 'ready'
        self.sequence = 0
        self.controls = list(system.seeds)
        self.beats_held = False
        self.arrivals = []
        self.runs = []
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._beat_task = None
        self._writers = set()

    async def start(self, beats: bool = True) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512
        )
        self.system.parts.append(self)
        if beats:
            self._beat_task = asyncio.create_task(self._beat())

    def close(self) -> None:
        if self._beat_task is not None:
            self._beat_task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def describe(self) -> dict:
        self.sequence += 1
        return {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'warmupLeft': '0ms',
            },
        }

    async def send_beat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        body = json.dumps(self.describe()).encode()
        for address in list(self.controls):
            try:
                async with asyncio.timeout(1.0):
                    answer = await exchange(
                        address, 'PUT', f'/api/instances/{self.id}', body
                    )
                if answer.status < 300:
                    return True
            except (OSError, TimeoutError, EOFError, ValueError):
                pass
            self.controls.append(self.controls.pop(0))
        return False

    async def _beat(self) -> None:
        while True:
            started = time.monotonic()
            await self.send_beat()
            await asyncio.sleep(max(0.0, started + 1.5 - time.monotonic()))

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def make_fields(self, request_id):
        fields = {
            'X-Server-Load': f'{self.running},{self.waiting},{self.slots}',
            'Keep-Alive': 'timeout=10',
        }
        if request_id:
            fields['X-Request-Id'] = request_id
        if self.limit is not None:
            fields['Server-Limit'] = f'{self.limit:g}'
        if self.state == 'draining':
            fields['Server-Leaving'] = '1'
        return fields

    async def answer(self, writer, status, fields, body=b'') -> None:
        lines = [f'HTTP/1.1 {status} X']
        lines += [f'{name}: {value}' for name, value in fields.items()]
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()

    async def _serve_one(self, reader, writer) -> bool:
        line, headers = await read_head(reader)
        method, path, _ = line.split()
        request_id = headers.get('x-request-id')
        body = await read_body(reader, headers)
        if path == '/health':
            fields = self.make_fields(None) | {'X-Instance-Id': self.id}
            await self.answer(writer, 200, fields)
            return True
        expected = headers.get('x-expect-instance')
        if expected not in (None, self.id):
            fields = self.make_fields(request_id) | {'X-Not-Executed': '1'}
            await self.answer(writer, 421, fields)
            return True
        now = time.monotonic()
        self.arrivals.append((now, request_id))
        self.system.write(f'arrival {self.id} {request_id}')
        if self.waiting >= self.queue:
            fields = self.make_fields(request_id) | {'X-Not-Executed': '1'}
            await self.answer(writer, 503, fields)
            return True
        watch = asyncio.create_task(_wait_closed(reader))
        try:
            self.waiting += 1
            try:
                await self._or_gone(self._free.acquire(), watch)
            finally:
                self.waiting -= 1
            self.running += 1
            self.runs.append((time.monotonic(), request_id))
            self.system.write(f'run {self.id} {request_id}')
            try:
                await self._or_gone(asyncio.sleep(self.work_s), watch)
            finally:
                self.running -= 1
                self._free.release()
        except _Gone:
            self.system.write(f'dropped {self.id} {request_id}')
            return False
        finally:
            watch.cancel()
        fields = self.make_fields(request_id)
        fields['X-Server-Stamp'] = f'{self.id}.{request_id}'
        await self.answer(writer, 200, fields, b'ok ' * 20)
        return True

    async def _or_gone(self, work, watch) -> None:
        task = asyncio.ensure_future(work)
        await asyncio.wait((task, watch), return_when='FIRST_COMPLETED')
        if not task.done():
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            raise _Gone
        task.result()


class _Gone(Exception):
    pass


async def _wait_closed(reader) -> None:
    """Return once the peer has closed; no byte is taken."""
    while True:
        if reader.at_eof() or reader.exception() is not None:
            return
        await asyncio.sleep(0.01)


class Proxy:
    """Passes connections on. While it is held, it stands for a partition.

    Bytes of open connections then wait, and new connections hang for good.
    """

    def __init__(self, system, target: str) -> None:
        self.target = target
        self.address = f'{take_address()}:{split(target)[1]}'
        self.system = system
        self._open = asyncio.Event()
        self._open.set()
        self._writers = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, *split(self.address)
        )
        self.system.parts.append(self)

    def hold(self) -> None:
        self._open.clear()

    def go_on(self) -> None:
        self._open.set()

    def close(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            if not self._open.is_set():
                await reader.read()
                return
            far_reader, far_writer = await asyncio.open_connection(
                *split(self.target)
            )
            self._writers.add(far_writer)
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        except OSError:
            pass
        finally:
            writer.transport.abort()

    async def _pump(self, reader, writer) -> None:
        while True:
            data = await reader.read(65_536)
            await self._open.wait()
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


def make_services(names, version=1, **fields):
    return [
        {
            'name': name,
            'healthPath': '/health',
            'maxConns': 330,
            'protocol': 'h1',
            'tls': False,
            'warmup': '3s',
            'warmupPerS': 13.0,
            'version': version,
        }
        | fields
        for name in names
    ]


def make_limits(version=1):
    return {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 67_108_864,
        'headerTimeout': '3000ms',
        'idleTimeout': '15000ms',
        'version': version,
    }


def make_route(name, prefix, service, is_idempotent, version=1, **fields):
    kind = 'idempotent' if is_idempotent else 'non_idempotent'
    return {
        'name': name,
        'pathPrefix': prefix,
        'type': kind,
        'timeout': '2000ms',
        'targetLatency': '400ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'sessionAffinity': False,
        'allowedRegions': [],
        'version': version,
    } | fields


_ids = 0


def make_id() -> str:
    global _ids
    _ids += 1
    return f'{random.randrange(16**8):08x}{_ids:08x}'


class Client:
    """A sound client: one connection, one request at a time."""

    def __init__(self, system, address, host) -> None:
        self.system = system
        self.address = address
        self.host = host
        self._streams = None

    async def ask(
        self,
        method,
        path,
        body=b'',
        deadline_ms=2_000,
        headers=None,
        request_id=None,
    ):
        """Return the status of one attempt, or the name of a failure."""
        request_id = request_id or make_id()
        fields = {
            'Host': self.host,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': deadline_ms,
        } | (headers or {})
        self.system.write(f'send {request_id} {method} {path}')
        try:
            async with asyncio.timeout(deadline_ms / 1_000 + 0.5):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        *split(self.address)
                    )
                reader, writer = self._streams
                writer.write(make_head(method, path, fields, body) + body)
                answer = await read_answer(reader)
            if answer.headers.get('connection') == 'close':
                self.close()
            result = answer.status
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            self.close()
            answer = None
            result = type(error).__name__
        self.system.write(f'end {request_id} {result}')
        return request_id, result, answer

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


def main(case, limit_s: float = 110.0) -> None:
    """Run a case: a coroutine function that returns whether a rule broke."""

    async def run() -> int:
        try:
            async with asyncio.timeout(limit_s):
                return BROKEN if await case() else HELD
        except (CannotRun, TimeoutError) as error:
            print(f'could not run: {error!r}', file=sys.stderr)
            return NOT_RUN

    sys.exit(asyncio.run(run()))
