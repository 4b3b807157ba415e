"""Commands of the replicated log and their codec."""

import hashlib

import msgspec

from fulmarseam import wire


class RowStep(msgspec.Struct, frozen=True):
    """A row that replaces the one that the leader expects."""

    expected: wire.Row | None
    row: wire.Row


class Step(msgspec.Struct, tag='step', frozen=True, kw_only=True):
    """Row changes that the control leader proposes by itself.

    A step is refused if any current row differs from the expected one, so
    that a former leader cannot undo changes of its successor.
    """

    rows: list[RowStep]


Command = wire.Edit | wire.Restore | Step

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return a command encoded for the log."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command encoded in `data`.

    Raises `errors.WireError` when `data` cannot be decoded.
    """
    return wire.decode_with(_decoder, data)


def digest_content(command: wire.Edit | wire.Restore) -> bytes:
    """Return a digest of an edit's content, to recognize a resent edit."""
    if isinstance(command, wire.Restore):
        content = _encoder.encode(command.export)
    elif command.content:
        content = command.content.encode('utf-8', 'surrogatepass')
    else:
        base = sorted(
            (table.value, version) for table, version in command.base.items()
        )
        content = _encoder.encode([base, command.changes, command.blocks])
    return hashlib.blake2b(content, digest_size=16).digest()
