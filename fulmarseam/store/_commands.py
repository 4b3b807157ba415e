"""Commands of the replicated log and their codec."""

import hashlib

import msgspec

from fulmarseam import wire


class RowStep(msgspec.Struct, frozen=True):
    """A row that the leader moves forward from the row it has seen."""

    expected: wire.Row | None
    row: wire.Row


class Step(msgspec.Struct, tag='step', frozen=True, kw_only=True):
    """Changes of state that the control leader proposes.

    The step is refused when any row is no longer the expected one, so that
    a former leader cannot undo what its successor did.
    """

    rows: list[RowStep]


Command = wire.Edit | wire.Restore | Step

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return the form of a command in the log."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command held in `data`.

    Raises `errors.WireError` when the data is no known command.
    """
    return wire.decode_with(_decoder, data)


def digest_content(command: wire.Edit | wire.Restore) -> bytes:
    """Return a digest of what an edit asks for, to tell resends apart."""
    if isinstance(command, wire.Restore):
        content = _encoder.encode(command.export)
    elif command.content:
        content = command.content.encode('utf-8', 'surrogatepass')
    else:
        base = sorted((key.value, item) for key, item in command.base.items())
        content = _encoder.encode([base, command.changes, command.blocks])
    return hashlib.blake2b(content, digest_size=16).digest()
