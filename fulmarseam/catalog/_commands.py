"""Commands of the catalog and their encoding."""

from collections.abc import Sequence

import msgspec

from fulmarseam import ids
from fulmarseam import wire


class PutItems(msgspec.Struct, tag='put_items', frozen=True, kw_only=True):
    """Put all items of an operator's call, or none if one is invalid.

    `digest` identifies the call: a resend is acknowledged again, even if
    it would be invalid by now.
    """

    items: list[wire.Item]
    digest: bytes


class AnnounceTargets(
    msgspec.Struct, tag='announce_targets', frozen=True, kw_only=True
):
    """Add or update the records that targets announced."""

    records: list[wire.TargetRecord]


# Ends the incarnations of a target whose announcements do not name a start.
# Unlike 0, it is recorded also if the target is not in the catalog.
UNNAMED_BORN_MS = 1


class LeaveTarget(
    msgspec.Struct, tag='leave_target', frozen=True, kw_only=True
):
    """Remove a target and reject further announcements of its incarnation.

    `born_ms` is the incarnation; 0 means the one in the catalog, if any.
    """

    target: ids.TargetId
    born_ms: int = 0


class DropTargets(
    msgspec.Struct, tag='drop_targets', frozen=True, kw_only=True
):
    """Remove silent targets, given as pairs of id and incarnation."""

    targets: list[tuple[ids.TargetId, int]]


class EvacuateDomain(
    msgspec.Struct, tag='evacuate_domain', frozen=True, kw_only=True
):
    """Start or stop keeping requests away from a failure domain."""

    failure_domain: ids.DomainName
    active: bool


class ReadRevision(msgspec.Struct, tag='read_revision', frozen=True):
    """Change nothing; the result is the latest committed revision."""


Command = (
    PutItems
    | AnnounceTargets
    | LeaveTarget
    | DropTargets
    | EvacuateDomain
    | ReadRevision
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_result_decoder = msgspec.msgpack.Decoder(wire.CatalogResult)


def make_removals(records: Sequence[wire.TargetRecord]) -> list[Command]:
    """Return the commands that remove silent targets.

    Ready ones may come back when they are heard again. Draining ones were
    promised that they get no more requests, so their incarnations end.
    """
    removals: list[Command] = [
        LeaveTarget(
            target=record.target,
            born_ms=max(record.born_ms, UNNAMED_BORN_MS),
        )
        for record in records
        if record.phase is wire.TargetPhase.DRAINING
    ]
    dropped = [
        (record.target, record.born_ms)
        for record in records
        if record.phase is not wire.TargetPhase.DRAINING
    ]
    if dropped:
        removals.append(DropTargets(targets=dropped))
    return removals


def encode_command(command: Command) -> bytes:
    """Return a command as it is stored in the log."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command that `encode_command` encoded.

    Raises `errors.WireError` if the data is not a known command.
    """
    return wire.decode_with(_decoder, data)


def decode_result(data: bytes) -> wire.CatalogResult:
    """Return the result that `Catalog.apply` encoded."""
    return _result_decoder.decode(data)
