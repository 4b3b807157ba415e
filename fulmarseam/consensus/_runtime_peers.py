"""Requests to the other members."""

import asyncio
from collections.abc import Callable
import dataclasses

import logbook

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire

# Enough for a full window of appends and the heartbeats of one timeout.
MAX_PENDING_REQUESTS = 64
# After a partition that drops packets, TCP may wait about as long as the
# partition lasted before it retransmits. A connection without answers is
# therefore replaced.
RECONNECT_AFTER_S = 2.0

_log = logbook.Logger('consensus')

ResponseHandler = Callable[[ids.MemberId, wire.ReplicaResponse], None]


@dataclasses.dataclass
class _PeerClient:
    address: str
    store_id: str
    client: transport.RpcClient
    last_response_at: float
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    reachable: bool = True


class PeerClients:
    """One client for each other member; responses go to `on_response`.

    Requests to a peer beyond `MAX_PENDING_REQUESTS` are dropped like packets
    lost in the network; the replica sends again.
    """

    def __init__(
        self,
        member_id: ids.MemberId,
        timeout_s: float,
        on_response: ResponseHandler,
    ) -> None:
        self._member_id = member_id
        self._timeout_s = timeout_s
        self._on_response = on_response
        self._peers: dict[ids.MemberId, _PeerClient] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()

    def update(self, endpoints: dict[ids.MemberId, tuple[str, str]]) -> None:
        """Keep one client for each member in `endpoints`.

        An endpoint is the address and the store id of a member.
        """
        for member, peer in list(self._peers.items()):
            if endpoints.get(member) != (peer.address, peer.store_id):
                del self._peers[member]
                self._close_later(peer)
        for member, (address, store_id) in endpoints.items():
            if member not in self._peers:
                self._peers[member] = _open_peer(address, store_id)

    def _close_later(self, peer: _PeerClient) -> None:
        task = asyncio.create_task(_close_peer(peer))
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)

    def send(
        self, group: str, to: ids.MemberId, body: wire.ReplicaRequest
    ) -> None:
        """Send a request to a member in the background."""
        peer = self._peers.get(to)
        if peer is None or len(peer.tasks) >= MAX_PENDING_REQUESTS:
            return
        request = wire.MemberRequest(
            group=group, sender=self._member_id, store=peer.store_id, body=body
        )
        task = asyncio.create_task(self._call(to, peer, request))
        peer.tasks.add(task)
        task.add_done_callback(peer.tasks.discard)

    async def _call(
        self, to: ids.MemberId, peer: _PeerClient, request: wire.MemberRequest
    ) -> None:
        try:
            answer = await peer.client.call(request, self._timeout_s)
        except errors.FulmarseamError as error:
            self._update_reachability(to, peer, error.detail)
            self._reconnect_if_silent(to, peer)
            return
        peer.last_response_at = asyncio.get_running_loop().time()
        if isinstance(answer, wire.MemberResponse) and answer.sender == to:
            self._update_reachability(to, peer, None)
            self._on_response(to, answer.body)
        else:
            detail = getattr(answer, 'detail', type(answer).__name__)
            self._update_reachability(to, peer, detail)

    def _reconnect_if_silent(
        self, to: ids.MemberId, peer: _PeerClient
    ) -> None:
        silent_s = asyncio.get_running_loop().time() - peer.last_response_at
        if silent_s < RECONNECT_AFTER_S or self._peers.get(to) is not peer:
            return
        self._peers[to] = _open_peer(peer.address, peer.store_id)
        self._peers[to].reachable = False
        self._close_later(peer)

    def _update_reachability(
        self, member: ids.MemberId, peer: _PeerClient, failure: str | None
    ) -> None:
        """Log when a peer becomes reachable or unreachable."""
        reachable = failure is None
        if reachable == peer.reachable:
            return
        peer.reachable = reachable
        event = 'peer_reachable' if reachable else 'peer_unreachable'
        _log.info(
            telemetry.format_event(event, member=member, reason=failure or '')
        )

    async def close(self) -> None:
        """Close all clients and cancel the pending requests."""
        for peer in self._peers.values():
            await _close_peer(peer)
        self._peers.clear()
        await asyncio.gather(*self._closing_tasks)


def _open_peer(address: str, store_id: str) -> _PeerClient:
    client = transport.RpcClient(address)
    client.open()
    return _PeerClient(
        address, store_id, client, asyncio.get_running_loop().time()
    )


async def _close_peer(peer: _PeerClient) -> None:
    """Cancel the pending requests, then close the client that they use."""
    tasks = [*peer.tasks]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    peer.client.close()
