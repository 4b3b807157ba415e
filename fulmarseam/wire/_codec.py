"""The codec of messages between processes."""

from typing import TypeVar

import msgspec

from fulmarseam import errors
from fulmarseam.wire import _admin
from fulmarseam.wire import _catalog
from fulmarseam.wire import _common
from fulmarseam.wire import _consensus
from fulmarseam.wire import _peers
from fulmarseam.wire import _records
from fulmarseam.wire import _relays
from fulmarseam.wire import _suspects
from fulmarseam.wire import _sync

Message = (
    _common.Ok
    | _common.Failure
    | _sync.SyncRequest
    | _sync.SyncResponse
    | _admin.AdminMessage
    | _catalog.CatalogMessage
    | _peers.PeerMessage
    | _records.RecordMessage
    | _relays.RelayMessage
    | _suspects.SuspectMessage
    | _consensus.MemberRequest
    | _consensus.MemberResponse
    | _consensus.IdentityRequest
    | _consensus.IdentityResponse
)

T = TypeVar('T')

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message from MessagePack.

    Raises `errors.WireError` if `data` is not a known message.
    """
    return decode_with(_decoder, data)


def decode_with(decoder: msgspec.msgpack.Decoder[T], data: bytes) -> T:
    """Decode `data` with a decoder for another type.

    Raises `errors.WireError` if `data` does not have that type.
    """
    try:
        return decoder.decode(data)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise errors.WireError(str(error)) from error
