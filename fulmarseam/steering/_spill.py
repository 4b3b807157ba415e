"""The share of a pool's requests that runs in other regions.

The share follows the room in the entry's own region, but slowly: a share
that swings would move a surge from region to region. When own targets have
failed, the share may jump.
"""

import dataclasses

WINDOW_S = 2.0
# Part of the allowed change between two windows that is used. The rest
# covers the random order of the requests.
SHARE_USED = 0.5
# The share starts to fall when fewer requests than this found no room.
LOW_PRESSURE = 0.02


@dataclasses.dataclass(slots=True)
class Spill:
    """The state for one pool; `share` is between 0 and 1."""

    share: float = 0.0
    credit: float = 0.0
    arrivals: int = 0
    crowded: int = 0


def note_arrival(spill: Spill, has_local_room: bool) -> None:
    """Count a request and whether a target of the region had room."""
    spill.arrivals += 1
    if not has_local_room:
        spill.crowded += 1


def adjust_share(
    spill: Spill, elapsed_s: float, allowed_change: float, failed: float
) -> None:
    """Move the share towards what the last requests needed.

    `allowed_change` is the largest change between two windows of 2 s, and
    `failed` the part of the region's slots on failed targets.
    """
    step = allowed_change * SHARE_USED * elapsed_s / WINDOW_S
    if spill.arrivals:
        pressure = spill.crowded / spill.arrivals
        wanted = spill.share + pressure * (1.0 - spill.share)
        if pressure < LOW_PRESSURE:
            wanted = 0.0
        change = min(max(wanted - spill.share, -step), step)
        spill.share += change
    if failed >= 1.0:
        spill.share = 1.0
    spill.arrivals = 0
    spill.crowded = 0


def take_remote(spill: Spill) -> bool:
    """Return whether the next request goes to another region."""
    spill.credit = min(spill.credit + spill.share, 2.0)
    if spill.credit < 1.0:
        return False
    spill.credit -= 1.0
    return True
