"""Notices sent between entries."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Self

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam import settings
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.entry import _state

NOTICE_TIMEOUT_S = 1.0
NOTICE_ATTEMPTS = 3

_log = logbook.Logger('entry')


class Peers:
    """Sends notices to the other entries; a context manager."""

    def __init__(
        self, options: settings.EntrySettings, state: _state.SharedState
    ) -> None:
        self._options = options
        self._state = state
        self._clients: dict[ids.EntryId, transport.RpcClient] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._clients.values():
            client.close()

    def get_client(self, entry: ids.EntryId) -> transport.RpcClient | None:
        """Return the RPC client of a peer, or None for an unknown entry."""
        row = self._state.entries.get(entry)
        if row is None:
            return None
        address = self._options.peer_overrides.get(entry, row.info.rpc)
        existing = self._clients.get(entry)
        if existing is not None and existing.address == address:
            return existing
        if existing is not None:
            existing.close()
        client = self._clients[entry] = transport.RpcClient(address)
        client.open()
        return client

    def _list_live_clients(self) -> list[transport.RpcClient]:
        clients = [
            self.get_client(entry)
            for entry, row in self._state.entries.items()
            if row.alive and entry != self._options.entry_id
        ]
        return [client for client in clients if client is not None]

    def broadcast(self, message: wire.Message) -> None:
        """Send a notice to all peers in the background, with retries."""
        for client in self._list_live_clients():
            self._spawn(_send_notice(client, message, NOTICE_ATTEMPTS))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _send_notice(
    client: transport.RpcClient, message: wire.Message, attempts: int
) -> None:
    for _ in range(attempts):
        try:
            await client.call(message, NOTICE_TIMEOUT_S)
        except errors.FulmarseamError as error:
            _log.debug(
                telemetry.format_event(
                    'notice_unanswered',
                    peer=client.address,
                    error=error.detail,
                )
            )
        else:
            return


RecordHandler = Callable[[wire.Message], Awaitable[wire.Message | None]]


class PeerHandler:
    """Handles the RPC calls of peers.

    `handle_record` gets the messages that are not handled here and returns
    None for a message of an unexpected type.
    """

    def __init__(
        self,
        state: _state.SharedState,
        crash_guard: quarantine.CrashGuard,
        on_change: Callable[[], None],
        handle_record: RecordHandler | None = None,
    ) -> None:
        self._state = state
        self._crash_guard = crash_guard
        self._on_change = on_change
        self._handle_record = handle_record
        self._loop = asyncio.get_running_loop()

    async def handle(self, message: wire.Message) -> wire.Message:
        """Handle one call and return the response."""
        if isinstance(message, wire.LeaveNotice):
            self._state.targets.record_leave(self._loop.time(), message.report)
            self._on_change()
            return wire.Ok()
        if isinstance(message, wire.DrainNotice):
            self._state.record_entry_drain(message.entry, message.incarnation)
            return wire.Ok()
        if isinstance(message, wire.QuarantineRequest):
            return wire.QuarantineResponse(rows=self._crash_guard.list_rows())
        response = None
        if self._handle_record is not None:
            response = await self._handle_record(message)
        if response is None:
            raise errors.WireError(
                f'found {type(message).__name__}, expected a message of a peer'
            )
        return response
