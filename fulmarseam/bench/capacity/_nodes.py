"""Stand-in nodes that keep a sync request open at the control leader."""

import asyncio
import contextlib
import dataclasses
from typing import Self

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import transport
from fulmarseam import wire

SYNC_WAIT_MS = 400
CALL_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.05
# The request protocol adds 8 bytes of length and 4 bytes of request id.
FRAME_OVERHEAD_BYTES = 12


@dataclasses.dataclass
class NodeCounts:
    """Counters of a node and the latest revision that it received."""

    calls: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    revision: int = 0


class SyncNode:
    """A node that syncs with the leader until the context exits."""

    def __init__(
        self, number: int, address: str, region: str, domain: str
    ) -> None:
        self.counts = NodeCounts()
        self._info = wire.EntryInfo(
            entry=ids.EntryId(f'node-{number}'),
            incarnation=1,
            region=ids.RegionName(region),
            failure_domain=ids.DomainName(domain),
            listen='127.0.0.1:1',
            api='127.0.0.1:1',
            rpc='127.0.0.1:1',
        )
        self._client = transport.RpcClient(address)
        self._task: asyncio.Task[None] | None = None
        self._targets_term = 0
        self._targets_version = 0
        self._entries_version = 0
        self._ack_sequence = 0

    async def __aenter__(self) -> Self:
        self._client.open()
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        self._client.close()

    async def _run(self) -> None:
        while True:
            try:
                await self._sync()
            except errors.FulmarseamError:
                self.counts.failures += 1
                await asyncio.sleep(RETRY_DELAY_S)

    async def _sync(self) -> None:
        request = wire.SyncRequest(
            info=self._info,
            draining=False,
            revision=self.counts.revision,
            targets_term=self._targets_term,
            targets_version=self._targets_version,
            entries_version=self._entries_version,
            ack_term=self._targets_term,
            ack_sequence=self._ack_sequence,
            uses=[],
            demand=[],
            links=[],
            announcements=[],
            announcement_ages_ms=[],
            wait_ms=SYNC_WAIT_MS,
        )
        answer = await self._client.call(request, CALL_TIMEOUT_S)
        if not isinstance(answer, wire.SyncResponse):
            raise errors.TransportError(
                f'found answer {answer!r}, expected SyncResponse'
            )
        counts = self.counts
        counts.calls += 1
        counts.bytes_sent += len(wire.encode(request)) + FRAME_OVERHEAD_BYTES
        counts.bytes_received += (
            len(wire.encode(answer)) + FRAME_OVERHEAD_BYTES
        )
        counts.revision = answer.revision
        self._targets_term = answer.term
        self._targets_version = answer.targets_version
        self._entries_version = answer.entries_version
        self._ack_sequence = answer.grant_sequence
