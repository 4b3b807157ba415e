"""Commands of the catalog and their codec."""

import msgspec

from fulmarseam import ids
from fulmarseam import wire


class PutItems(msgspec.Struct, tag='put_items', frozen=True, kw_only=True):
    """A call of an operator: versions of items, all or none of them.

    `digest` identifies the call, so that a resend is acknowledged again
    whatever has changed since.
    """

    items: list[wire.Item]
    digest: bytes


class AnnounceTargets(
    msgspec.Struct, tag='announce_targets', frozen=True, kw_only=True
):
    """Announcements of targets."""

    records: list[wire.TargetRecord]


class LeaveTarget(
    msgspec.Struct, tag='leave_target', frozen=True, kw_only=True
):
    """A target that leaves for good.

    `born_ms` 0 means the incarnation that the catalog knows.
    """

    target: ids.TargetId
    born_ms: int = 0


class DropTargets(
    msgspec.Struct, tag='drop_targets', frozen=True, kw_only=True
):
    """Targets that have been silent, with the incarnations meant."""

    targets: list[tuple[ids.TargetId, int]]


class EvacuateDomain(
    msgspec.Struct, tag='evacuate_domain', frozen=True, kw_only=True
):
    """Start or end to send nothing to the targets of a failure domain."""

    failure_domain: ids.DomainName
    active: bool


class ReadRevision(msgspec.Struct, tag='read_revision', frozen=True):
    """Changes nothing; its result is the revision that was agreed on."""


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


def encode_command(command: Command) -> bytes:
    """Return the form of a command in the log."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command held in `data`.

    Raises `errors.WireError` when the data is no known command.
    """
    return wire.decode_with(_decoder, data)


def decode_result(data: bytes) -> wire.CatalogResult:
    """Return the result that `Catalog.apply` encoded."""
    return _result_decoder.decode(data)
