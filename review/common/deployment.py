"""A small deployment on loopback for the scripts of the review.

Starts the programs with the commands of the deploy file and fills the
templates that it names. Clients, servers and the operator are stand-ins
that speak what the platform's pages say. Only the standard library is used.
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
ZONES = {
    'a1': 'north',
    'a2': 'north',
    'b1': 'east',
    'b2': 'east',
    'c1': 'south',
    'c2': 'south',
}
CORE_ZONES = ['a1', 'b1', 'c1', 'a2', 'b2']
GRACE_S = 6.0
HEARTBEAT_S = 1.5
BOUNDS = {
    'ttl_max': '5s',
    'grace': '6s',
    'retryBudgetRatio': '0.2',
    'retrySlack': '56',
    'retryWindow': '10s',
    'warmupFactor': '1.5',
    'warmupSlack': '5',
}
HOST = 'shop.example'
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 67108864,
    'headerTimeout': '3000ms',
    'idleTimeout': '15000ms',
}
READ_BYTES = 65536
# An operator or a server waits this long for an answer.
CALL_TIMEOUT_S = 1.0


class CannotRunError(Exception):
    """The case could not run."""


class Reply:
    """An answer: status, headers by name in lower case, and body."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self.started_at = time.monotonic()

    def add(self, event, **fields):
        """Write one line, with the seconds since the start."""
        words = ' '.join(f'{name}={value}' for name, value in fields.items())
        now = time.monotonic() - self.started_at
        self._file.write(f'{now:9.3f} {event} {words}\n')
        self._file.flush()


def find_port(host='127.0.0.1'):
    """Return a port that is free now."""
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


def render(template, fields):
    """Fill a template of the deploy file."""

    def look_up(match):
        value = fields
        for name in match[1].split('.'):
            if isinstance(value, list):
                value = value[int(name)]
            else:
                value = value.get(name)
        if match[2]:
            return json.dumps(value)
        if isinstance(value, list):
            return ','.join(str(item) for item in value)
        return '' if value is None else str(value)

    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', look_up, template)


class Machine:
    """A machine of the deployment with the one program of its role."""

    def __init__(self, deployment, name, role, zone, ip):
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = ip
        self._deployment = deployment
        self._is_first = True
        self.process = None

    def address(self, port):
        """Return an address of this machine."""
        return f'{self.ip}:{self._deployment.ports[port]}'

    async def start(self):
        """Start the program as the deploy file says."""
        deployment = self._deployment
        role = deployment.roles[self.role]
        folder = deployment.folder / self.name
        (folder / 'data').mkdir(parents=True, exist_ok=True)
        fields = deployment.make_fields(self, folder / 'data')
        fields['bootstrap'] = self._is_first
        self._is_first = False
        template = (ROOT / role['template']).read_text(encoding='utf-8')
        boot = folder / 'settings.conf'
        boot.write_text(render(template, fields), encoding='utf-8')
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'FULMARSEAM_BOOT': str(boot),
        }
        log = os.open(
            folder / 'log.txt', os.O_WRONLY | os.O_CREAT | os.O_APPEND
        )
        try:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        finally:
            os.close(log)

    def send(self, number):
        """Send a signal to the program."""
        self.process.send_signal(number)

    async def kill(self):
        """Kill the program."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()

    def read_log(self):
        """Return what the program has written."""
        path = self._deployment.folder / self.name / 'log.txt'
        return path.read_text(encoding='utf-8', errors='replace')


class Deployment:
    """Core and edge machines; an async context manager."""

    def __init__(self, record, entry_zones=('a1', 'b1', 'c1'), cores=5):
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRunError('target/deps is missing: build first')
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        self.roles = deploy['roles']
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        names = ('peer', 'control', 'directory', 'front', 'readiness')
        self.ports = {}
        while len(set(self.ports.values())) < len(names):
            self.ports = {name: find_port() for name in names}
        base = random.randrange(30, 200)
        self.cores = [
            Machine(
                self,
                f'core-{zone}',
                self._find_role('core'),
                zone,
                f'127.{base}.1.{number}',
            )
            for number, zone in enumerate(CORE_ZONES[:cores], 1)
        ]
        self.entries = [
            Machine(
                self,
                f'edge-{zone}-{number}',
                self._find_role('edge'),
                zone,
                f'127.{base}.2.{number}',
            )
            for number, zone in enumerate(entry_zones, 1)
        ]
        self.base = base

    def _find_role(self, machine_class):
        for name, role in self.roles.items():
            if role['on'] == machine_class:
                return name
        raise CannotRunError(f'no role on {machine_class}')

    def make_fields(self, machine, data_dir):
        """Return the fields that the platform gives to a machine."""
        return {
            'node': machine.name,
            'ip': machine.ip,
            'zone': machine.zone,
            'region': ZONES[machine.zone],
            'zones': ZONES,
            'dataDir': str(data_dir),
            'listen': {
                name: machine.address(name)
                for name in ('control', 'directory', 'front', 'readiness')
            },
            'internalPorts': [self.ports['peer'], self.ports['peer']],
            'seeds': [core.address('control') for core in self.cores[:3]],
            'faultTolerance': {'machines': len(self.cores) // 2},
            'heartbeat': f'{HEARTBEAT_S}s',
            'bounds': BOUNDS,
        }

    async def __aenter__(self):
        for machine in (*self.cores, *self.entries):
            await machine.start()
        return self

    async def __aexit__(self, *exc_info):
        for machine in (*self.entries, *self.cores):
            await machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def configure(self, config, timeout_s=15.0):
        """Send the first configuration until it is acknowledged."""
        body = json.dumps(config).encode()
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            for core in self.cores:
                reply = await call(
                    core.address('control'), 'PATCH', '/api/config', body
                )
                if reply is not None and reply.status == 200:
                    return
            await asyncio.sleep(0.2)
        raise CannotRunError('the first configuration was not accepted')

    async def wait_ready(self, timeout_s=15.0):
        """Wait until every entry says that it is ready."""
        until = time.monotonic() + timeout_s
        for entry in self.entries:
            while True:
                reply = await call(
                    entry.address('readiness'), 'GET', '/api/ready'
                )
                if reply is not None and reply.status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRunError(f'{entry.name} is not ready')
                await asyncio.sleep(0.1)


def make_route(name, prefix, service, **fields):
    """Return a route item."""
    return {
        'name': name,
        'pathPrefix': prefix,
        'type': 'non_idempotent',
        'timeout': '2000ms',
        'targetLatency': '250ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'sessionAffinity': False,
        'allowedRegions': [],
        'version': 1,
        **fields,
    }


def make_service(name, **fields):
    """Return a service item."""
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': 330,
        'protocol': 'h1',
        'tls': False,
        'warmup': '3s',
        'warmupPerS': 17.0,
        'version': 1,
        **fields,
    }


def make_config(services, routes):
    """Return a first configuration."""
    return {
        'upsert': {
            'services': services,
            'limits': {**LIMITS, 'version': 1},
            'hosts': [{'host': HOST, 'paths': routes}],
        },
        'remove': {'routes': []},
    }


# HTTP, for clients, the operator and servers


async def read_head(reader):
    """Return the first line and the headers of a message, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(':')
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message that states how it is framed."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return b''.join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readline()
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Connection:
    """A connection of a client, which may send several requests."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address, timeout_s=CALL_TIMEOUT_S):
        """Connect; raises `OSError`, which includes a time-out."""
        host, _, port = address.rpartition(':')
        async with asyncio.timeout(timeout_s):
            return cls(*await asyncio.open_connection(host, int(port)))

    async def exchange(self, method, path, headers, body=b''):
        """Send a request; return the reply, or None without one."""
        fields = {'Host': HOST, **headers}
        if body or method not in ('GET', 'DELETE'):
            fields['Content-Length'] = str(len(body))
        lines = ''.join(f'{key}: {text}\r\n' for key, text in fields.items())
        self.writer.write(
            f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body
        )
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self.writer.drain()
            found = await read_head(self.reader)
            if found is None:
                return None
            line, answered = found
            content = await read_body(self.reader, answered)
            return Reply(int(line.split()[1]), answered, content)
        return None

    def close(self):
        """Close the connection."""
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.close()


async def call(
    address, method, path, body=b'', headers=None, timeout_s=CALL_TIMEOUT_S
):
    """Send one request on a new connection; return None without a reply."""
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await Connection.open(address, timeout_s)
            return await connection.exchange(method, path, headers or {}, body)
    except OSError:
        return None
    finally:
        if connection is not None:
            connection.close()


class Operator:
    """Sends orders to the nodes that serve control, one after another."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._record = deployment.record

    async def order(self, method, path, nodes, body=b''):
        """Send an order to the nodes in turn until one acknowledges it.

        Returns the time of the acknowledgement.
        """
        for node in nodes:
            self._record.add(
                'order_sent', node=node.name, method=method, path=path
            )
            reply = await call(node.address('control'), method, path, body)
            status = reply.status if reply is not None else 'none'
            self._record.add(
                'order_answered',
                node=node.name,
                method=method,
                path=path,
                status=status,
            )
            if reply is not None and reply.status < 300:
                return time.monotonic()
            await asyncio.sleep(0.1)
        raise CannotRunError(f'{method} {path} was not acknowledged')


class Upstream:
    """A sound server of a service, which announces itself."""

    def __init__(self, deployment, service, zone, number, **options):
        self.deployment = deployment
        self.record = deployment.record
        self.service = service
        self.zone = zone
        self.id = f'i-{service}-{zone}-{number}'
        self.ip = f'127.{deployment.base}.3.{number}'
        self.slots = options.get('slots', 6)
        self.run_s = options.get('run_s', 0.02)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.port = 0
        self.running = 0
        # Pairs of request id and time, of all requests that have begun.
        self.runs = []
        self.announcing = None
        self._server = None
        self._tasks = set()

    @property
    def address(self):
        """Return the address for requests."""
        return f'{self.ip}:{self.port}'

    async def start(self):
        """Listen, and announce this server periodically."""
        self._server = await asyncio.start_server(
            self._serve_guarded, self.ip, 0
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.announcing = asyncio.create_task(self._announce_periodically())
        self._keep(self.announcing)

    def _keep(self, task):
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self):
        """Stop announcing and serving."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def make_beat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
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
        ).encode()

    async def announce(self):
        """Send a heartbeat to one node after another; return if taken."""
        body = self.make_beat()
        cores = self.deployment.cores
        for core in random.sample(cores, len(cores)):
            reply = await call(
                core.address('control'),
                'PUT',
                f'/api/instances/{self.id}',
                body,
            )
            if reply is not None and reply.status < 300:
                return True
        return False

    async def _announce_periodically(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve_guarded(self, reader, writer):
        task = asyncio.current_task()
        self._keep(task)
        with contextlib.suppress(
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            await self.serve(reader, writer)
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()

    async def serve(self, reader, writer):
        """Serve the requests of a connection, one after another."""
        while (found := await read_head(reader)) is not None:
            line, headers = found
            method, path, _ = line.split(' ', 2)
            body = await read_body(reader, headers)
            await self.answer(writer, method, path, headers, body)
            await writer.drain()

    async def answer(self, writer, method, path, headers, body):
        """Run a request and write its answer."""
        name = headers.get('x-request-id', '')
        if headers.get('x-expect-instance', self.id) != self.id:
            self.write(writer, 421, {'X-Request-Id': name}, b'')
            return
        self.note_run(name, method, path)
        self.running += 1
        try:
            await asyncio.sleep(self.run_s)
        finally:
            self.running -= 1
        self.write(writer, 200, self.make_headers(name), self.make_body(name))

    def note_run(self, name, method, path):
        """Record that a request begins to run."""
        self.runs.append((name, time.monotonic()))
        self.record.add(
            'run', server=self.id, id=name, method=method, path=path
        )

    def make_headers(self, name):
        """Return the headers of a success."""
        return {
            'X-Request-Id': name,
            'X-Server-Stamp': f'stamp.{self.id}.{name}',
            'X-Server-Load': f'{self.running},0,{self.slots}',
        }

    def make_body(self, name):
        """Return the body of a success."""
        return f'{self.id}:{name}:'.encode() + b'x' * 200

    def write(self, writer, status, headers, body):
        """Write an answer with a length."""
        fields = {**headers, 'Content-Length': str(len(body))}
        lines = ''.join(f'{key}: {text}\r\n' for key, text in fields.items())
        writer.write(f'HTTP/1.1 {status} -\r\n{lines}\r\n'.encode() + body)


async def _run_until_told(case):
    """Run a case; SIGTERM ends it and all processes that it started."""
    task = asyncio.ensure_future(case)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        raise CannotRunError('told to stop') from None


def run_case(main):
    """Run `main(record)` and exit as the cases have to.

    `main` returns whether the rule held.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / 'record.txt')
    try:
        held = asyncio.run(_run_until_told(main(record)))
    except Exception as error:
        record.add('cannot_run', reason=repr(error))
        _exit(2, f'cannot run: {error!r}')
    record.add('result', held=held)
    if held:
        _exit(0, 'the rule held')
    _exit(1, 'the rule was broken')


def _exit(code, text):
    """End at once; connections that are still open need no farewell."""
    print(text, flush=True)
    os._exit(code)
