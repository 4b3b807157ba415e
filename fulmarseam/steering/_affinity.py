"""Order of targets for the requests that concern one object."""

from collections.abc import Iterable
import hashlib

from fulmarseam import ids

DIGEST_BYTES = 8


def rank_targets(
    key: str, targets: Iterable[ids.TargetId]
) -> list[ids.TargetId]:
    """Return the targets in the order of preference for a key.

    Every entry gets the same order from the same targets, and a target
    that joins or leaves changes only the keys that prefer it (rendezvous
    hashing)::

        rank_targets('17', ['a', 'b'])
    """
    return sorted(targets, key=lambda target: _weigh(key, target))


def _weigh(key: str, target: str) -> bytes:
    return hashlib.blake2b(
        f'{key}\0{target}'.encode(), digest_size=DIGEST_BYTES
    ).digest()
