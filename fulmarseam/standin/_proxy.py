"""TCP proxy that injects network faults on command."""

import asyncio
import contextlib
import enum
import fnmatch
import signal
import socket
import struct
from typing import Self

import logbook
import msgspec

from fulmarseam import settings
from fulmarseam.standin import _pipe
from fulmarseam.standin import _server

CONNECT_RETRY_S = 0.05

_log = logbook.Logger('faultproxy')


class Action(enum.Enum):
    """What a command does to links.

    HOLD holds back all bytes and keeps connections open. HEAL_LATE delivers
    the held bytes, HEAL_RESET drops them and resets their connections. CUT
    resets all connections and refuses new ones until a heal. SHAPE sets
    the delay and the rate limit. SHOW only returns the status.
    """

    HOLD = 'hold'
    HEAL_LATE = 'heal-late'
    HEAL_RESET = 'heal-reset'
    CUT = 'cut'
    SHAPE = 'shape'
    SHOW = 'show'


class Direction(enum.Enum):
    """Direction of a link; UPSTREAM is towards the accepting side."""

    UPSTREAM = 'there'
    DOWNSTREAM = 'back'
    BOTH = 'both'


class ProxyCommand(msgspec.Struct, frozen=True, kw_only=True):
    """A command to all links whose names match a pattern of `links`."""

    action: Action
    links: list[str]
    direction: Direction = Direction.BOTH
    delay_ms: float = 0.0
    bytes_per_s: int = 0


class LinkStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a link; "there" is upstream, "back" is downstream."""

    name: str
    connections: int
    held_there: bool
    held_back: bool
    cut: bool
    bytes_there: int
    bytes_back: int


class _Link:
    """A forwarded address with its open connections."""

    def __init__(self, forward: settings.Forward) -> None:
        delay_s = forward.delay_ms / 1_000
        self.forward = forward
        self.upstream = _pipe.DirectionState(delay_s, forward.bytes_per_s)
        self.downstream = _pipe.DirectionState(delay_s, forward.bytes_per_s)
        self.cut = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        host, _, port = self.forward.listen.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve_connection, host.strip('[]'), int(port), backlog=1_024
        )

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        await self.reset()

    async def reset(self) -> None:
        """Reset all connections and drop their queued bytes."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def select_states(
        self, direction: Direction
    ) -> list[_pipe.DirectionState]:
        if direction is Direction.UPSTREAM:
            return [self.upstream]
        if direction is Direction.DOWNSTREAM:
            return [self.downstream]
        return [self.upstream, self.downstream]

    def make_status(self) -> LinkStatus:
        return LinkStatus(
            name=self.forward.name,
            connections=len(self._tasks),
            held_there=self.upstream.held,
            held_back=self.downstream.held,
            cut=self.cut,
            bytes_there=self.upstream.forwarded_bytes,
            bytes_back=self.downstream.forwarded_bytes,
        )

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        writers = [writer]
        try:
            if self.cut:
                return
            await self.upstream.wait_released()
            upstream_reader, upstream_writer = await self._connect()
            writers.append(upstream_writer)
            async with asyncio.TaskGroup() as group:
                upstream = _pipe.Pipe(self.upstream, reader, upstream_writer)
                downstream = _pipe.Pipe(
                    self.downstream, upstream_reader, writer
                )
                group.create_task(upstream.run())
                group.create_task(downstream.run())
            for side in writers:
                side.close()
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            # A failure of either side, or a reset by a command, ends both.
            pass
        finally:
            self._tasks.discard(task)
            for side in writers:
                _reset_connection(side)

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.forward.to.rpartition(':')
        return await asyncio.open_connection(host.strip('[]'), int(port))


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset unless it is already closed."""
    if writer.is_closing():
        return
    zero_linger = struct.pack('ii', 1, 0)
    with contextlib.suppress(OSError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, zero_linger
        )
    writer.transport.abort()


class FaultProxy:
    """Forwards TCP connections and takes commands, until the context ends."""

    def __init__(self, options: settings.FaultProxySettings) -> None:
        self._links = [_Link(forward) for forward in options.forwards]
        self._control = _server.Server(options.control, self._handle_command)

    async def __aenter__(self) -> Self:
        for link in self._links:
            await link.listen()
        await self._control.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._control.__aexit__(*exc_info)
        for link in self._links:
            await link.close()

    async def _handle_command(
        self, request: _server.ServerRequest
    ) -> _server.ServerResponse:
        try:
            command = msgspec.json.decode(request.body, type=ProxyCommand)
        except msgspec.MsgspecError as error:
            return _server.ServerResponse(400, {}, str(error).encode())
        links = self._find_links(command.links)
        for link in links:
            await _apply_command(link, command)
        _log.info(
            'event=command action={} direction={} links={}',
            command.action.value,
            command.direction.value,
            len(links),
        )
        body = msgspec.json.encode([link.make_status() for link in links])
        return _server.ServerResponse(200, {}, body)

    def _find_links(self, patterns: list[str]) -> list[_Link]:
        return [
            link
            for link in self._links
            if any(
                fnmatch.fnmatchcase(link.forward.name, pattern)
                for pattern in patterns
            )
        ]


async def _apply_command(link: _Link, command: ProxyCommand) -> None:
    states = link.select_states(command.direction)
    if command.action is Action.HOLD:
        for state in states:
            state.hold()
    elif command.action is Action.CUT:
        link.cut = True
        await link.reset()
    elif command.action is Action.HEAL_LATE:
        link.cut = False
        for state in states:
            state.release()
    elif command.action is Action.HEAL_RESET:
        link.cut = False
        if any(state.held for state in states):
            await link.reset()
        for state in states:
            state.release()
    elif command.action is Action.SHAPE:
        for state in states:
            state.delay_s = command.delay_ms / 1_000
            state.bytes_per_s = command.bytes_per_s


async def run_faultproxy(options: settings.FaultProxySettings) -> None:
    """Run the fault proxy until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with FaultProxy(options):
        _log.info('event=listening control={}', options.control)
        await stop.wait()
