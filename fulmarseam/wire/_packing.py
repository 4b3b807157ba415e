"""Compression of what entries get with the answers to their polls."""

from collections.abc import Iterable
import zlib

import msgspec

from fulmarseam import errors
from fulmarseam.wire import _catalog
from fulmarseam.wire import _codec

# The fastest level; higher ones save 8% of the bytes in four times the time.
_LEVEL = 1
# Limit of the unpacked size, against a damaged or malicious message.
MAX_UNPACKED_BYTES = 16 * 1024 * 1024

# Highest load that `pack_loads` tells, and its mark of a failing target.
MAX_PACKED_LOAD = 254
FAILING_TARGET = 255

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_catalog.CatalogChanges)


def pack_changes(changes: _catalog.CatalogChanges) -> bytes:
    """Return catalog changes in about a quarter of their encoded size."""
    return zlib.compress(_encoder.encode(changes), _LEVEL)


def unpack_changes(data: bytes) -> _catalog.CatalogChanges:
    """Return the changes that `pack_changes` packed.

    Raises `errors.WireError` if `data` is damaged, or larger than
    `MAX_UNPACKED_BYTES` when unpacked.
    """
    return _codec.decode_with(_decoder, _decompress(data))


def pack_loads(loads: bytes) -> bytes:
    """Return the loads of targets, one byte each, in fewer bytes.

    The targets are in the order of their ids. A byte is the number of
    requests that all entries have in flight there, up to `MAX_PACKED_LOAD`,
    or `FAILING_TARGET`.
    """
    return zlib.compress(loads, _LEVEL)


def unpack_loads(data: bytes) -> bytes:
    """Return the loads that `pack_loads` packed.

    Raises `errors.WireError` like `unpack_changes`.
    """
    return _decompress(data)


def compute_group_checksum(addresses: Iterable[str]) -> int:
    """Return a number that tells groups of members apart."""
    return zlib.crc32(','.join(sorted(addresses)).encode())


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise errors.WireError(f'packed bytes: {error}') from error
    if not decompressor.eof:
        raise errors.WireError(
            'packed bytes: found a truncated message or more than '
            f'{MAX_UNPACKED_BYTES} bytes'
        )
    return unpacked
