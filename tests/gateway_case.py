"""A gateway with a stand-in control member and scripted targets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any
from typing import NamedTuple
import unittest

from fulmarseam import catalog
from fulmarseam import gateway
from fulmarseam import settings
from fulmarseam import transport
from fulmarseam import wire
from tests import catalog_fixtures as fixtures
from tests import fakes


class Reply(NamedTuple):
    """A response as a caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes


Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, dict[str, str]],
    Awaitable[None],
]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, if one comes."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def write_response(
    writer: asyncio.StreamWriter,
    headers: dict[str, str],
    status: int = 200,
    body: bytes = b'hello',
    **extra: str,
) -> None:
    """Write a complete response that echoes the request id."""
    fields = {
        'fulmarseam-request-id': headers['fulmarseam-request-id'],
        'content-length': str(len(body)),
        **{name.replace('_', '-'): value for name, value in extra.items()},
    }
    lines = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    writer.write(f'HTTP/1.1 {status} X\r\n{lines}\r\n'.encode() + body)
    await writer.drain()


class Target:
    """A target that runs a script for each request."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.heads: list[str] = []
        self.headers: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.request_received = asyncio.Event()
        self.connection_closed = asyncio.Event()
        self.address = ''
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while (found := await read_head(reader)) is not None:
                line, headers = found
                length = int(headers.get('content-length', 0))
                self.heads.append(line)
                self.request_received.set()
                self.headers.append(headers)
                self.bodies.append(await reader.readexactly(length))
                await self.script(reader, writer, headers)
        self.connection_closed.set()
        writer.close()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """Starts a gateway whose catalog the test fills."""

    async def asyncSetUp(self) -> None:
        self.machine = catalog.Catalog()
        self.member_address = fakes.find_free_address()
        self.polls: list[wire.EntryPoll] = []
        # Address of the leader that answers to polls name, if any.
        self.leader = ''
        # What the member answers to a poll that asks for it.
        self.is_current: bool | None = True
        self.poll_delay_s = 0.0
        self.entry_count = 1
        # Addresses of the members that answers list.
        self.members: list[str] = []
        self.targets: dict[str, Target] = {}
        self.stack = contextlib.AsyncExitStack()
        await self.stack.enter_async_context(
            transport.RpcServer(self.member_address, self._handle)
        )
        self.options = self.make_options()
        self.gateway = gateway.Gateway(self.options, gateway.HttpNames())
        self.running = asyncio.create_task(self.gateway.run())
        await asyncio.sleep(0.05)

    def make_options(self) -> settings.GatewaySettings:
        """Return the settings of the gateway."""
        host, _, port = self.member_address.rpartition(':')
        return settings.GatewaySettings(
            host='e1',
            region='ost',
            failure_domain='ost-wien',
            domains={'ost-wien': 'ost'},
            listen=fakes.find_free_address(),
            readiness=fakes.find_free_address(),
            seeds=[f'{host}:1'],
            peer_port=int(port),
            grace=2.0,
            retry_slack=40.0,
            first_start=True,
        )

    async def asyncTearDown(self) -> None:
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        for target in self.targets.values():
            target.stop()
        await self.stack.aclose()

    async def _handle(self, message: wire.Message) -> wire.Message:
        assert isinstance(message, wire.EntryPoll)
        self.polls.append(message)
        await asyncio.sleep(self.poll_delay_s)
        changes = None
        if message.wants_changes:
            changes = self.machine.list_changes(
                message.revision,
                message.removals_revision,
                has_organisations=message.reads_organisations,
            )
        members = self.members
        if message.group == wire.compute_group_checksum(members):
            members = []
        return wire.EntryPollResponse(
            revision=self.machine.revision,
            members=members,
            changes=changes,
            entry_count=self.entry_count,
            leader=self.leader,
            is_current=self.is_current if message.asks_current else None,
        )

    async def add_target(
        self, name: str, script: Script, **fields: Any
    ) -> Target:
        """Start a target and announce it."""
        target = Target(script)
        await target.start()
        self.targets[name] = target
        fields.setdefault('address', target.address)
        fixtures.announce(self.machine, name, **fields)
        return target

    async def put_route(self, **fields: Any) -> None:
        """Set up one pool and one route at `/a/`, and wait for them."""
        fixtures.put(
            self.machine,
            fixtures.make_pool('katalog', 1),
            fixtures.make_route('r', 1, path_prefix='/a/', **fields),
        )
        await self.wait_for_catalog()

    async def wait_for_catalog(self) -> None:
        """Wait until the gateway has the newest revision."""
        async with asyncio.timeout(5.0):
            while True:
                if self.gateway.mirror.revision >= self.machine.revision:
                    return
                await asyncio.sleep(0.02)

    async def call(
        self,
        path: str = '/a/b',
        body: bytes = b'',
        method: str = 'GET',
        **headers: str,
    ) -> Reply:
        """Send one request on a new connection and return the answer."""
        reader, writer = await self.open_call(path, body, method, **headers)
        try:
            async with asyncio.timeout(10.0):
                return await self.read_reply(reader)
        finally:
            writer.close()

    async def open_call(
        self,
        path: str = '/a/b',
        body: bytes = b'',
        method: str = 'GET',
        **headers: str,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send one request on a new connection."""
        host, _, port = self.options.listen.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        fields = {
            'host': 'shop.example',
            'fulmarseam-request-id': 'q1',
            'content-length': str(len(body)),
            **{key.replace('_', '-'): text for key, text in headers.items()},
        }
        lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
        writer.write(
            f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body
        )
        return reader, writer

    async def read_reply(self, reader: asyncio.StreamReader) -> Reply:
        """Read one response with a content length."""
        found = await read_head(reader)
        assert found is not None, 'the connection ended without an answer'
        line, headers = found
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
        return Reply(int(line.split()[1]), headers, body)
