"""Affinity of requests to targets by the object that they concern."""

from collections.abc import Mapping
import hashlib
import math

from fulmarseam import ids

DIGEST_BYTES = 8
_DIGEST_RANGE = 2.0 ** (8 * DIGEST_BYTES)
# Largest share of a region's objects that its own targets serve. The share
# served elsewhere evens out load peaks that reach the regions one after the
# other.
MAX_LOCAL_SHARE = 0.8


def rank_targets(
    key: str, weights: Mapping[ids.TargetId, float]
) -> list[ids.TargetId]:
    """Return the targets in order of preference for a key.

    The order is that of weighted rendezvous hashing: each target comes
    first for a share of the keys in proportion to its weight, entries with
    the same weights get the same order, and a target that joins or leaves
    changes only the keys that prefer it::

        rank_targets('17', {'a': 1.0, 'b': 2.0})
    """
    return sorted(
        weights,
        key=lambda target: _rendezvous_distance(key, target, weights[target]),
    )


def _rendezvous_distance(key: str, target: str, weight: float) -> float:
    if weight <= 0.0:
        return math.inf
    digest = hashlib.blake2b(
        f'{key}\0{target}'.encode(), digest_size=DIGEST_BYTES
    ).digest()
    # Strictly between 0 and 1, so that the logarithm is defined.
    fraction = (int.from_bytes(digest) + 0.5) / _DIGEST_RANGE
    return -math.log(fraction) / weight


def compute_region_shares(
    own_region: ids.RegionName,
    slots: Mapping[ids.RegionName, int],
    caller_region_count: int,
) -> dict[ids.RegionName, float]:
    """Return the share of an entry's objects that each region serves.

    `slots` holds the slots of a pool by region. `caller_region_count` is
    the number of regions that callers come from; each is assumed to send
    the same load.
    """
    demand = dict.fromkeys([own_region, *slots], 1.0 / caller_region_count)
    return compute_demand_shares(own_region, slots, demand)


def compute_demand_shares(
    own_region: ids.RegionName,
    slots: Mapping[ids.RegionName, int],
    demand: Mapping[ids.RegionName, float],
) -> dict[ids.RegionName, float]:
    """Return the share of an entry's objects that each region serves.

    `slots` holds the slots of a pool by region, and `demand` the share of the
    load that the callers of each region send. A region serves its own callers
    up to its share of all slots. The other regions serve the rest, in
    proportion to the slots that their own callers leave free. This loads all
    targets evenly and sends little traffic across the links.
    """
    total = sum(slots.values())
    if not total:
        return {}
    local_shares = {}
    for region, count in slots.items():
        region_demand = demand.get(region, 0.0)
        local_shares[region] = (
            min(MAX_LOCAL_SHARE, count / total / region_demand)
            if region_demand > 0.0
            else MAX_LOCAL_SHARE
        )
    free_shares = {
        region: max(
            0.0, count / total - local_shares[region] * demand.get(region, 0.0)
        )
        for region, count in slots.items()
        if region != own_region
    }
    if not sum(free_shares.values()):
        free_shares = {
            region: float(count)
            for region, count in slots.items()
            if region != own_region
        }
    shares = {own_region: local_shares.get(own_region, 0.0)}
    if not free_shares:
        return {own_region: 1.0}
    remote_share = 1.0 - shares[own_region]
    for region, free_share in free_shares.items():
        shares[region] = remote_share * free_share / sum(free_shares.values())
    return shares
