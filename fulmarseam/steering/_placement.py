"""Choice of a target by an entry that only observes the targets."""

from collections.abc import Callable
from collections.abc import Sequence
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


NO_ROOM = Placement(None, Room.NONE)

MayTake = Callable[[_observed.ObservedTarget], bool]


def place_request(
    now: float,
    local: Sequence[_observed.ObservedTarget],
    remote: Sequence[_observed.ObservedTarget],
    may_take: MayTake,
    prefers_remote: bool,
    priority: int,
    time_left_s: float,
) -> Placement:
    """Return the target of an attempt.

    `local` and `remote` are in the order of preference. The first free
    target of the preferred side is taken, then the shortest queue there
    that still leads to an answer in time. The other side is used only by
    free targets when the preferred side has none at all.
    """
    first, second = (remote, local) if prefers_remote else (local, remote)
    placement = _place_within(now, first, may_take, priority, time_left_s)
    if placement.target is not None:
        return placement
    usable = any(not _observed.is_ejected(item, now) for item in first)
    if usable and not prefers_remote:
        return placement
    return _place_within(now, second, may_take, priority, time_left_s)


def has_room(
    now: float, targets: Sequence[_observed.ObservedTarget]
) -> bool:
    """Return whether a target has a free slot."""
    return any(
        not _observed.is_ejected(item, now)
        and _observed.estimate_load(item, now) + 1.0 <= item.record.slots
        for item in targets
    )


def _place_within(
    now: float,
    targets: Sequence[_observed.ObservedTarget],
    may_take: MayTake,
    priority: int,
    time_left_s: float,
) -> Placement:
    doubtful: _observed.ObservedTarget | None = None
    shortest: _observed.ObservedTarget | None = None
    shortest_wait = 0.0
    for item in targets:
        if _observed.is_ejected(item, now) or not may_take(item):
            continue
        load = _observed.estimate_load(item, now)
        if load + 1.0 <= item.record.slots:
            if not _observed.is_doubtful(item):
                return Placement(item, Room.FREE)
            doubtful = doubtful or item
            continue
        wait = (load + 1.0 - item.record.slots) / item.record.slots
        if _observed.is_doubtful(item):
            continue
        if shortest is None or wait < shortest_wait:
            shortest, shortest_wait = item, wait
    if doubtful is not None:
        return Placement(doubtful, Room.FREE)
    rounds = QUEUE_ROUNDS[min(priority, len(QUEUE_ROUNDS) - 1)]
    if shortest is None or shortest_wait > rounds:
        return NO_ROOM
    expected_s = (shortest_wait + 1.0) * shortest.service_s
    if expected_s > time_left_s * TIME_USED:
        return NO_ROOM
    return Placement(shortest, Room.QUEUE)
