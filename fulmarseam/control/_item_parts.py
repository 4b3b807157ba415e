"""Commands for a call with more items than one command may have.

An entry of the log is sent in one message. A large one would keep the leader
from sending heartbeats, and would time out on a thin link.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import hashlib

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import wire

# Calls up to this size are one command, which takes effect as a whole.
MAX_WHOLE_BYTES = 1024 * 1024
# A link of 2.4 Mbit/s transfers a part in less than a second.
MAX_PART_BYTES = 256 * 1024
PART_DIGEST_BYTES = 16


def split_call(
    items: Sequence[wire.Item], digest: bytes
) -> list[catalog.PutItems]:
    """Return the commands that put all items of a call, in order.

    Each of them is valid once those before it have been applied: pools come
    before the routes that name them, and are dropped after those. The last
    one has the digest of the call, so that a resend is recognized only when
    all have been applied. Raises `errors.FulmarseamError` with
    `BODY_TOO_LARGE` if a single item is larger than a command may be.
    """
    sizes = {id(item): _measure(item) for item in items}
    if sum(sizes.values()) <= MAX_WHOLE_BYTES:
        return [catalog.PutItems(items=list(items), digest=digest)]
    parts: list[list[wire.Item]] = []
    part_bytes = 0
    for item in sorted(items, key=_get_rank):
        size = sizes[id(item)]
        if not parts or part_bytes + size > MAX_PART_BYTES:
            parts.append([])
            part_bytes = 0
        parts[-1].append(item)
        part_bytes += size
    digests = [*_derive_digests(digest, len(parts) - 1), digest]
    return [
        catalog.PutItems(items=part, digest=part_digest)
        for part, part_digest in zip(parts, digests, strict=True)
    ]


def _measure(item: wire.Item) -> int:
    """Return the bytes of an item in a command."""
    size = len(
        catalog.encode_command(catalog.PutItems(items=[item], digest=b''))
    )
    if size > MAX_WHOLE_BYTES:
        raise errors.FulmarseamError(
            errors.ErrorKind.BODY_TOO_LARGE,
            f'item: found {size} bytes, expected at most {MAX_WHOLE_BYTES}',
        )
    return size


def _get_rank(item: wire.Item) -> int:
    is_route = item.kind is wire.ItemKind.ROUTE
    if item.row is not None:
        return 1 if is_route else 0
    return 2 if is_route else 3


def _derive_digests(digest: bytes, count: int) -> Iterator[bytes]:
    for number in range(count):
        yield hashlib.blake2b(
            digest + number.to_bytes(4), digest_size=PART_DIGEST_BYTES
        ).digest()
