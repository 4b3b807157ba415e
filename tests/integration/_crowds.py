"""A small system of the platform and crowds of misbehaving callers.

Each caller of a crowd sends a stream of pieces to one address and reads
nothing. Its socket stays open until the test ends.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple
from typing import Self

import yaml

from fulmarseam import settings
from tests import fakes

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = 'shop.example'
MIB = 1024 * 1024
# Guards against a hang; no test expects a time below it.
HANG_S = 60.0
START_S = 30.0
BEAT_S = 1.0
# How long a crowd sends before the checks; a caller whose stream is not
# taken stays blocked.
SEND_S = 4.0
MAX_BODY_BYTES = 4 * MIB
LARGE_ANSWER_BYTES = 4 * MIB
MEMORY_LIMIT_MIB = 80
MAX_CONNECTIONS = 320
# The listeners, the links to members and targets, the log and the loop.
OTHER_DESCRIPTORS = 64

Stream = Iterable[bytes | float]
# Returns what a faulty target sends for a request with this id.
Flood = Callable[[bytes], Stream]

SOUND_POOL = 'pool'
FAULTY_POOL = 'faulty'
FAULTY_TARGETS = 12


class Place(NamedTuple):
    """Where a crowd sends its requests."""

    address: str
    path: str


def make_head(place: Place, *fields: str, method: str = 'POST') -> bytes:
    """Return the head of a request."""
    lines = (
        f'{method} {place.path} HTTP/1.1',
        f'Host: {HOST}',
        'X-Request-Id: crowd',
        *fields,
    )
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def send_body_in_one_piece(place: Place) -> Stream:
    """Send a body that stops one byte short."""
    size = 2 * MIB
    yield make_head(place, f'Content-Length: {size}') + bytes(size - 1)


def send_body_in_small_pieces(place: Place) -> Stream:
    """Send a body in pieces of 512 bytes that stops one byte short."""
    size = 256 * 1024
    yield make_head(place, f'Content-Length: {size}')
    for _ in range(size // 512 - 1):
        yield bytes(512)
        yield 0.0
    yield bytes(511)


def send_unended_chunks(place: Place) -> Stream:
    """Send a chunked body of 2 MiB without its end."""
    yield make_head(place, 'Transfer-Encoding: chunked')
    for _ in range(32):
        yield b'10000\r\n' + bytes(0x10000) + b'\r\n'


def send_chunks_of_one_byte(place: Place) -> Stream:
    """Send a body of 128 KiB in chunks of one byte, without its end."""
    yield make_head(place, 'Transfer-Encoding: chunked')
    for _ in range(16):
        yield b'1\r\nx\r\n' * 8192


def send_far_over_declared(place: Place) -> Stream:
    """Declare a body of 1 GiB and send a part of it."""
    yield make_head(place, f'Content-Length: {1024 * MIB}')
    for _ in range(32):
        yield bytes(MIB // 4)


def send_far_over_chunked(place: Place) -> Stream:
    """Send a chunked body of twice the limit."""
    yield make_head(place, 'Transfer-Encoding: chunked')
    for _ in range(2 * MAX_BODY_BYTES // 0x40000):
        yield b'40000\r\n' + bytes(0x40000) + b'\r\n'


def send_many_fields(place: Place) -> Stream:
    """Send 20 requests with 1,800 short header fields each."""
    fields = [f'a{number % 1000}:b' for number in range(1_800)]
    for _ in range(20):
        yield make_head(place, *fields, method='GET')


def send_many_requests(place: Place) -> Stream:
    """Send 10,000 requests at once."""
    for _ in range(100):
        yield make_head(place, method='GET') * 100


def send_head_slowly(place: Place) -> Stream:
    """Send a head a byte at a time."""
    for byte in make_head(place, 'X-Filler: ' + 'x' * 200):
        yield bytes((byte,))
        yield 0.25


def send_body_slowly(place: Place) -> Stream:
    """Send a body a byte at a time."""
    yield make_head(place, 'Content-Length: 200000')
    while True:
        yield b'x'
        yield 0.25


def leave_answers_unread(place: Place) -> Stream:
    """Ask for a large answer three times."""
    large = place._replace(path=f'{place.path}large')
    yield make_head(large, method='GET') * 3


def stop_in_the_head(place: Place) -> Stream:
    """Stop in the middle of a head of 8 KiB."""
    yield make_head(place, 'X-Filler: ' + 'x' * 16_000)[:8_192]


def stop_in_the_body(place: Place) -> Stream:
    """Stop in the middle of a body."""
    yield make_head(place, f'Content-Length: {MIB}') + bytes(MIB // 2)


class Crowd:
    """Callers that stay connected until the context ends."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for caller in self._sockets:
            caller.close()

    async def send(
        self,
        streams: Callable[[Place], Stream],
        places: Iterable[tuple[Place, int]],
    ) -> None:
        """Let callers send at places until all are done or blocked."""
        callers = [
            self._send_one(place.address, streams(place))
            for place, count in places
            for _ in range(count)
        ]
        tasks = [asyncio.create_task(caller) for caller in callers]
        _, blocked = await asyncio.wait(tasks, timeout=SEND_S)
        for task in blocked:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_one(self, address: str, stream: Stream) -> None:
        caller = socket.socket()
        self._sockets.append(caller)
        caller.setblocking(False)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(':')
        with contextlib.suppress(OSError):
            await loop.sock_connect(caller, (host, int(port)))
            for step in stream:
                if isinstance(step, float):
                    await asyncio.sleep(step)
                else:
                    await loop.sock_sendall(caller, step)


async def call(
    place: Place, method: str = 'GET', body: bytes = b''
) -> tuple[int, bytes]:
    """Send one request on a new connection; return status and body.

    Raises `OSError` and `EOFError` without a complete answer.
    """
    host, _, port = place.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.closing(writer):
        writer.write(
            make_head(place, f'Content-Length: {len(body)}', method=method)
            + body
        )
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').lower().split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines[1:] if line)
        size = int(fields.get('content-length', 0))
        return int(lines[0].split()[1]), await reader.readexactly(size)


async def call_until_served(
    place: Place, method: str = 'GET', body: bytes = b''
) -> bytes:
    """Repeat a request while it is refused; return the body of its answer.

    Raises `TimeoutError` after the hang guard.
    """
    found: object = None
    try:
        async with asyncio.timeout(HANG_S):
            while True:
                try:
                    found = status, content = await call(place, method, body)
                    if status == 200:
                        return content
                except (OSError, EOFError) as error:
                    found = error
                await asyncio.sleep(0.2)
    except TimeoutError:
        raise TimeoutError(f'{place}: last found {found!r}') from None


def choose_known(schema: type[Any], options: dict[str, Any]) -> dict[str, Any]:
    """Return the options that the schema knows."""
    known = {field.name for field in dataclasses.fields(schema)}
    return {name: value for name, value in options.items() if name in known}


class Program:
    """One program of the system."""

    def __init__(
        self, role: str, folder: pathlib.Path, options: dict[str, Any]
    ) -> None:
        self._role = role
        self._folder = folder
        self._options = options
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the program."""
        path = self._folder / f'{self._role}.yaml'
        path.write_text(yaml.safe_dump(self._options), encoding='utf-8')
        log_path = self._folder / f'{self._role}.log'
        with log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'fulmarseam.platform',
                self._role,
                cwd=ROOT,
                env={**os.environ, 'FULMARSEAM_BOOT': str(path)},
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def read_peak_mib(self) -> float:
        """Return the peak of the resident memory."""
        assert self._process is not None
        path = pathlib.Path(f'/proc/{self._process.pid}/status')
        for line in path.read_text(encoding='ascii').splitlines():
            name, _, value = line.partition(':')
            if name == 'VmHWM':
                return int(value.split()[0]) / 1024
        raise AssertionError(f'{path} has no VmHWM')

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        assert self._process is not None
        return len(os.listdir(f'/proc/{self._process.pid}/fd'))

    async def kill(self) -> None:
        """Kill the process."""
        if self._process is not None and self.is_running:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


class System:
    """A control member, an entry and a target; an async context manager.

    With `flood` a second pool has targets that send it for each request.
    """

    def __init__(
        self,
        memory_limit: int = MEMORY_LIMIT_MIB,
        max_body_bytes: int = MAX_BODY_BYTES,
        flood: Flood | None = None,
    ) -> None:
        self._memory_limit = memory_limit
        self._flood = flood
        self._max_body_bytes = max_body_bytes
        self._stack = contextlib.AsyncExitStack()
        self._peer = fakes.find_free_address()
        self._beats = itertools.count(1)
        self._born = int(time.time() * 1_000)
        self.api = Place(fakes.find_free_address(), '/api/config')
        self.lookups = Place(
            fakes.find_free_address(), '/api/resolve?region=r1&zone=z1'
        )
        listen = fakes.find_free_address()
        self.route = Place(listen, '/a/')
        self.faulty_route = Place(listen, f'/{FAULTY_POOL}/')
        self.no_route = Place(listen, '/none/')
        self.readiness = Place(fakes.find_free_address(), '/api/ready')

    async def __aenter__(self) -> Self:
        folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        common = {
            'region': 'r1',
            'failure_domain': 'z1',
            'domains': {'z1': 'r1'},
            'seeds': [self.api.address],
            'peer_port': int(self._peer.rpartition(':')[2]),
        }
        limits = {
            'memory_limit': self._memory_limit,
            'max_connections': MAX_CONNECTIONS,
        }
        self.member = Program(
            'control',
            folder,
            {
                **common,
                **choose_known(settings.CatalogSettings, limits),
                'host': 'core-1',
                'data_dir': str(folder / 'data'),
                'listen': self._peer,
                'api': self.api.address,
                'lookups': self.lookups.address,
                'first_start': True,
                'tolerated_hosts': 0,
                'heartbeat': f'{BEAT_S}s',
            },
        )
        self.entry = Program(
            'entry',
            folder,
            {
                **common,
                **choose_known(settings.GatewaySettings, limits),
                'host': 'edge-1',
                'listen': self.route.address,
                'readiness': self.readiness.address,
                'grace': '1s',
            },
        )
        for program in (self.member, self.entry):
            self._stack.push_async_callback(program.kill)
            await program.start()
        await self._start_target('t1', SOUND_POOL, self._serve)
        if self._flood is not None:
            for number in range(FAULTY_TARGETS):
                await self._start_target(
                    f'f{number}', FAULTY_POOL, self._send_flood
                )
        async with asyncio.timeout(START_S):
            await call_until_served(
                self.api, 'PATCH', make_config(self._max_body_bytes)
            )
            await call_until_served(self.readiness)
            await call_until_served(self.route)
            await call_until_served(self.lookups)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def _start_target(
        self, name: str, pool: str, serve: Callable[..., Awaitable[None]]
    ) -> None:
        server = await asyncio.start_server(
            serve, '127.0.0.1', 0, limit=2 * MAX_BODY_BYTES
        )
        self._stack.callback(server.close)
        host, port = server.sockets[0].getsockname()
        beats = asyncio.create_task(
            self._announce_periodically(name, pool, f'{host}:{port}')
        )
        self._stack.callback(beats.cancel)

    async def _announce_periodically(
        self, name: str, pool: str, address: str
    ) -> None:
        place = self.api._replace(path=f'/api/instances/{name}')
        while True:
            beat = {
                'address': address,
                'born': self._born,
                'info': {
                    'service': pool,
                    'version': 'v1',
                    'zone': 'z1',
                    'slots': 50,
                },
                'status': {
                    'state': 'ready',
                    'sequence': next(self._beats),
                    'warmupLeft': '0ms',
                },
            }
            with contextlib.suppress(OSError, EOFError):
                async with asyncio.timeout(BEAT_S):
                    await call(place, 'PUT', json.dumps(beat).encode())
            await asyncio.sleep(BEAT_S / 2)

    async def _send_flood(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send the flood for each request until the entry closes."""
        assert self._flood is not None
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, EOFError),
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                request_id = find_request_id(head)
                for step in self._flood(request_id):
                    if isinstance(step, float):
                        await asyncio.sleep(step)
                    else:
                        writer.write(step)
                        await writer.drain()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer), contextlib.suppress(OSError):
            while True:
                try:
                    await self._answer(reader, writer)
                except (EOFError, asyncio.LimitOverrunError):
                    return

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        fields = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines[1:])
        }
        if 'transfer-encoding' in fields:
            await reader.readuntil(b'0\r\n\r\n')
        await reader.readexactly(int(fields.get('content-length', 0)))
        is_large = lines[0].split()[1].endswith('large')
        body = bytes(LARGE_ANSWER_BYTES if is_large else 100)
        answer = (
            'HTTP/1.1 200 OK\r\n'
            f'X-Request-Id: {fields["x-request-id"]}\r\n'
            f'X-Server-Stamp: s\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        writer.write(answer.encode() + body)
        await writer.drain()


def find_request_id(head: bytes) -> bytes:
    """Return the id of a request, or empty bytes."""
    for line in head.split(b'\r\n')[1:]:
        name, _, value = line.partition(b':')
        if name.lower() == b'x-request-id':
            return value.strip()
    return b''


def make_config(max_body_bytes: int) -> bytes:
    """Return a first configuration with two pools and a route to each."""
    limits = {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': max_body_bytes,
        'headerTimeout': '3s',
        'idleTimeout': '15s',
        'version': 1,
    }
    routes = [
        make_route('r', '/a/', SOUND_POOL),
        make_route('f', f'/{FAULTY_POOL}/', FAULTY_POOL),
    ]
    config = {
        'upsert': {
            'services': [make_pool(SOUND_POOL), make_pool(FAULTY_POOL)],
            'limits': limits,
            'hosts': [{'host': HOST, 'paths': routes}],
        },
        'remove': {'routes': []},
    }
    return json.dumps(config).encode()


def make_route(name: str, prefix: str, pool: str) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'name': name,
        'pathPrefix': prefix,
        'type': 'idempotent',
        'timeout': '10s',
        'targetLatency': '1s',
        'priority': 1,
        'service': pool,
        'maxAttempts': 1,
        'sessionAffinity': False,
        'allowedRegions': [],
        'version': 1,
    }


def make_pool(name: str) -> dict[str, Any]:
    """Return a pool of the configuration."""
    return {
        'name': name,
        'healthPath': '/health',
        'maxConns': 100,
        'protocol': 'h1',
        'tls': False,
        'warmup': '1s',
        'warmupPerS': 100.0,
        'version': 1,
    }
