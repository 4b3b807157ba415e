"""Order of targets for the requests that concern one object."""

from collections.abc import Mapping
import hashlib
import math

from fulmarseam import ids

DIGEST_BYTES = 8
_DIGEST_RANGE = 2.0 ** (8 * DIGEST_BYTES)
# Largest part of a region's objects that its own targets serve. The rest
# evens out waves of requests that reach the regions one after the other.
MAX_LOCAL_SHARE = 0.8


def rank_targets(
    key: str, weights: Mapping[ids.TargetId, float]
) -> list[ids.TargetId]:
    """Return the targets in the order of preference for a key.

    A target comes first for a part of the keys that is in proportion to
    its weight. Entries with the same weights get the same order, and a
    target that joins or leaves changes only the keys that prefer it
    (weighted rendezvous hashing)::

        rank_targets('17', {'a': 1.0, 'b': 2.0})
    """
    return sorted(
        weights, key=lambda target: _distance(key, target, weights[target])
    )


def _distance(key: str, target: str, weight: float) -> float:
    if weight <= 0.0:
        return math.inf
    digest = hashlib.blake2b(
        f'{key}\0{target}'.encode(), digest_size=DIGEST_BYTES
    ).digest()
    # Strictly between 0 and 1, so that the logarithm exists.
    part = (int.from_bytes(digest) + 0.5) / _DIGEST_RANGE
    return -math.log(part) / weight


def compute_region_shares(
    own: ids.RegionName,
    slots: Mapping[ids.RegionName, int],
    callers: int,
) -> dict[ids.RegionName, float]:
    """Return the part of an entry's objects that each region serves.

    `slots` are those of a pool by region, and `callers` the regions that
    callers come from, which are taken to ask equally much. A region serves
    its own callers up to its part of all slots; the others take what is
    left, in proportion to the slots that their own callers leave free. So
    all targets are used alike and few bytes cross the links.
    """
    total = sum(slots.values())
    if not total:
        return {}
    local = {
        region: min(MAX_LOCAL_SHARE, callers * count / total)
        for region, count in slots.items()
    }
    free = {
        region: max(0.0, count / total - local[region] / callers)
        for region, count in slots.items()
        if region != own
    }
    if not sum(free.values()):
        free = {
            region: float(count)
            for region, count in slots.items()
            if region != own
        }
    shares = {own: local.get(own, 0.0)}
    if not free:
        return {own: 1.0}
    rest = 1.0 - shares[own]
    for region, room in free.items():
        shares[region] = rest * room / sum(free.values())
    return shares
