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
# After a silent partition TCP sends again only as late as the partition was
# long, so a connection without answers is replaced.
RECONNECT_AFTER_S = 2.0

_log = logbook.Logger('consensus')

Deliver = Callable[[ids.MemberId, wire.ReplicaResponse], None]


@dataclasses.dataclass
class _Peer:
    address: str
    store: str
    client: transport.RpcClient
    answered_at: float
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    reachable: bool = True


class Peers:
    """One client for each other member; answers go to `deliver`.

    Requests beyond `MAX_PENDING_REQUESTS` for a peer are dropped, as a
    network may drop them; the replica sends again.
    """

    def __init__(
        self, me: ids.MemberId, timeout_s: float, deliver: Deliver
    ) -> None:
        self._me = me
        self._timeout_s = timeout_s
        self._deliver = deliver
        self._peers: dict[ids.MemberId, _Peer] = {}
        self._ending: set[asyncio.Task[None]] = set()

    def update(self, places: dict[ids.MemberId, tuple[str, str]]) -> None:
        """Keep a client for each member of `places`: (address, store)."""
        for member, peer in list(self._peers.items()):
            if places.get(member) != (peer.address, peer.store):
                del self._peers[member]
                self._end_later(peer)
        for member, (address, store) in places.items():
            if member not in self._peers:
                self._peers[member] = _open_peer(address, store)

    def _end_later(self, peer: _Peer) -> None:
        task = asyncio.create_task(_end_peer(peer))
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    def send(
        self, group: str, to: ids.MemberId, body: wire.ReplicaRequest
    ) -> None:
        """Start a request to a member."""
        peer = self._peers.get(to)
        if peer is None or len(peer.tasks) >= MAX_PENDING_REQUESTS:
            return
        request = wire.MemberRequest(
            group=group, sender=self._me, store=peer.store, body=body
        )
        task = asyncio.create_task(self._call(to, peer, request))
        peer.tasks.add(task)
        task.add_done_callback(peer.tasks.discard)

    async def _call(
        self, to: ids.MemberId, peer: _Peer, request: wire.MemberRequest
    ) -> None:
        try:
            answer = await peer.client.call(request, self._timeout_s)
        except errors.FulmarseamError as error:
            self._note_reachable(to, peer, error.detail)
            self._reconnect_if_silent(to, peer)
            return
        peer.answered_at = asyncio.get_running_loop().time()
        if isinstance(answer, wire.MemberResponse) and answer.sender == to:
            self._note_reachable(to, peer, None)
            self._deliver(to, answer.body)
        else:
            detail = getattr(answer, 'detail', type(answer).__name__)
            self._note_reachable(to, peer, detail)

    def _reconnect_if_silent(self, to: ids.MemberId, peer: _Peer) -> None:
        silence = asyncio.get_running_loop().time() - peer.answered_at
        if silence < RECONNECT_AFTER_S or self._peers.get(to) is not peer:
            return
        self._peers[to] = _open_peer(peer.address, peer.store)
        self._peers[to].reachable = False
        self._end_later(peer)

    def _note_reachable(
        self, member: ids.MemberId, peer: _Peer, problem: str | None
    ) -> None:
        """Log when a peer stops or starts to answer."""
        reachable = problem is None
        if reachable == peer.reachable:
            return
        peer.reachable = reachable
        event = 'peer_reachable' if reachable else 'peer_unreachable'
        _log.info(
            telemetry.format_event(event, member=member, reason=problem or '')
        )

    async def close(self) -> None:
        """Close all clients and end the pending requests."""
        for peer in self._peers.values():
            await _end_peer(peer)
        self._peers.clear()
        await asyncio.gather(*self._ending)


def _open_peer(address: str, store: str) -> _Peer:
    client = transport.RpcClient(address)
    client.open()
    return _Peer(address, store, client, asyncio.get_running_loop().time())


async def _end_peer(peer: _Peer) -> None:
    """End the pending requests first: each holds a part of the client."""
    tasks = [*peer.tasks]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    peer.client.close()
