"""Choice of a target by an entry that only observes the targets."""

from collections.abc import Callable
from collections.abc import Iterable
import enum
from typing import NamedTuple

from fulmarseam.steering import _observed

# The queue that a target may have, in rounds of its slots, by priority:
# what matters most may wait longest, so it is refused last.
QUEUE_ROUNDS = (2.0, 1.5, 1.0)
# An attempt is not started when the expected time is above this part of
# the time left.
TIME_USED = 0.9


class Room(enum.Enum):
    """How much room the chosen target has."""

    FREE = 'free'
    QUEUE = 'queue'
    NONE = 'none'


class Placement(NamedTuple):
    """The target for an attempt, or None when no one has room."""

    target: _observed.ObservedTarget | None
    room: Room


MayTake = Callable[[_observed.ObservedTarget], bool]


def place_request(
    now: float,
    targets: Iterable[_observed.ObservedTarget],
    may_take: MayTake,
    priority: int,
    time_left_s: float,
    choices: int | None = None,
    pool_failure_rate: float = 0.0,
) -> Placement:
    """Return the target of an attempt.

    `targets` are in the order of preference, and of those that can be used
    only the first `choices` count. The first free one is taken, then a
    free one that fails far more requests than its pool, then the shortest
    queue that still leads to an answer in time.
    """
    sound = 0
    doubtful: _observed.ObservedTarget | None = None
    shortest: _observed.ObservedTarget | None = None
    shortest_wait = 0.0
    for item in targets:
        if _observed.is_ejected(item, now) or not may_take(item):
            continue
        if sound == choices:
            break
        is_doubtful = _observed.is_doubtful(item, pool_failure_rate)
        sound += not is_doubtful
        load = _observed.estimate_load(item, now)
        if load + 1.0 <= item.record.slots:
            if not is_doubtful:
                return Placement(item, Room.FREE)
            doubtful = doubtful or item
            continue
        wait = (load + 1.0 - item.record.slots) / item.record.slots
        if not is_doubtful and (shortest is None or wait < shortest_wait):
            shortest, shortest_wait = item, wait
    if doubtful is not None:
        return Placement(doubtful, Room.FREE)
    if shortest is None:
        return Placement(None, Room.NONE)
    rounds = QUEUE_ROUNDS[min(priority, len(QUEUE_ROUNDS) - 1)]
    expected_s = (shortest_wait + 1.0) * shortest.service_s
    if shortest_wait > rounds or expected_s > time_left_s * TIME_USED:
        return Placement(None, Room.NONE)
    return Placement(shortest, Room.QUEUE)
