"""Log compaction, and transfer of snapshots in chunks."""

import zlib

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core_follower
from fulmarseam.consensus import _core_state
from fulmarseam.consensus import _core_types


def compact(
    state: _core_state.State, data: bytes, effects: _core_types.Effects
) -> None:
    """Store a snapshot of everything committed, and compact the log."""
    index = state.commit_index
    snapshot_index = state.snapshot.meta.index if state.snapshot else 0
    if index <= snapshot_index:
        return
    state.snapshot = _core_types.make_snapshot(
        index,
        state.log.term_at(index) or 0,
        state.member_history.members_at(index),
        data,
    )
    state.member_history.compact(index)
    config = state.config
    state.log.compact(
        state.log.find_kept_base(index, config.keep_entries, config.keep_bytes)
    )
    _record_snapshot(state, effects)


def _record_snapshot(
    state: _core_state.State, effects: _core_types.Effects
) -> None:
    if state.snapshot is None:
        raise AssertionError('found no snapshot, expected one to record')
    effects.records.append(
        _core_types.SnapshotRecord(
            snapshot=state.snapshot,
            base_index=state.log.base_index,
            base_term=state.log.base_term,
            entries=state.log.all_entries(),
            term=state.term,
            vote=state.vote,
        )
    )


def start_transfer(state: _core_state.State, peer: _core_state.Peer) -> None:
    """Start a snapshot transfer to a peer that is behind the log."""
    peer.mode = _core_state.PeerMode.SNAPSHOT
    peer.in_flight.clear()
    peer.awaiting_response = False
    peer.snapshot = state.snapshot
    peer.snapshot_offset = 0


def send_chunk(
    state: _core_state.State,
    now: float,
    member: ids.MemberId,
    peer: _core_state.Peer,
    effects: _core_types.Effects,
) -> None:
    """Send the next chunk of a snapshot."""
    if peer.snapshot is None:
        raise AssertionError(
            f'found no snapshot, expected one to send to {member}'
        )
    meta, data = peer.snapshot
    end = peer.snapshot_offset + state.config.chunk_bytes
    request = wire.SnapshotChunk(
        term=state.term,
        round=state.rounds.current,
        meta=meta,
        offset=peer.snapshot_offset,
        data=data[peer.snapshot_offset : end],
    )
    effects.messages.append(_core_types.OutgoingRequest(member, request))
    peer.awaiting_response = True
    peer.last_activity_at = now


def advance_transfer(
    now: float, peer: _core_state.Peer, response: wire.SnapshotResponse
) -> None:
    """Select the next chunk, or end the transfer when it is done."""
    if peer.mode is not _core_state.PeerMode.SNAPSHOT or not peer.snapshot:
        return
    if response.index != peer.snapshot.meta.index:
        return
    peer.awaiting_response = False
    peer.last_activity_at = now
    peer.snapshot_offset = response.next_offset
    if response.done:
        peer.match_index = max(peer.match_index, response.index)
        peer.next_index = peer.match_index + 1
        peer.mode = _core_state.PeerMode.PROBE
        peer.snapshot = None


def handle_chunk(
    state: _core_state.State,
    now: float,
    sender: ids.MemberId,
    chunk: wire.SnapshotChunk,
    effects: _core_types.Effects,
) -> None:
    """Store a received chunk; install the snapshot once it is complete."""
    accepted = _core_follower.accept_leader(
        state, now, sender, chunk.term, effects
    )
    done = accepted and _collect_chunk(state, chunk, effects)
    incoming = state.incoming_snapshot
    effects.reply = wire.SnapshotResponse(
        term=state.term,
        # A refusal carries another term than the chunk, so it must not
        # confirm a round of the sender.
        round=chunk.round if accepted else 0,
        index=chunk.meta.index,
        next_offset=len(incoming.data) if incoming else 0,
        done=done,
    )


def _collect_chunk(
    state: _core_state.State,
    chunk: wire.SnapshotChunk,
    effects: _core_types.Effects,
) -> bool:
    if chunk.meta.index <= state.commit_index:
        state.incoming_snapshot = None
        return True
    if (
        state.incoming_snapshot is None
        or state.incoming_snapshot.meta != chunk.meta
    ):
        state.incoming_snapshot = _core_state.IncomingSnapshot(chunk.meta)
    data = state.incoming_snapshot.data
    if chunk.offset == len(data):
        data.extend(chunk.data)
    if len(data) < chunk.meta.size:
        return False
    complete = bytes(data)
    state.incoming_snapshot = None
    is_whole = len(complete) == chunk.meta.size
    if not is_whole or zlib.crc32(complete) != chunk.meta.checksum:
        return False
    _install_snapshot(
        state, _core_types.Snapshot(chunk.meta, complete), effects
    )
    return True


def _install_snapshot(
    state: _core_state.State,
    snapshot: _core_types.Snapshot,
    effects: _core_types.Effects,
) -> None:
    """Replace the state by a snapshot; keep log entries that follow it."""
    meta = snapshot.meta
    state.snapshot = snapshot
    if state.log.term_at(meta.index) == meta.term:
        state.log.compact(meta.index)
    else:
        state.log.reset(meta.index, meta.term)
        state.member_history.truncate(0)
    state.member_history.replace_base(meta.index, meta.members)
    state.commit_index = meta.index
    _record_snapshot(state, effects)
    effects.committed.append(snapshot)
