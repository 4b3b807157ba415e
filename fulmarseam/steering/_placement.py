"""Choice of a target by an entry that only observes the targets."""

from collections.abc import Callable
from collections.abc import Iterable
import enum
from typing import NamedTuple

from fulmarseam.steering import _observed

# The queue that a target may have, in rounds of its slots, by priority:
# what matters most may wait longest, so it is refused last.
QUEUE_ROUNDS = (2.0, 1.5, 1.0)
# Queue, in rounds of the slots, that a request for an object accepts at the
# target that remembers the object rather than be run unprepared by another
# one, which takes three to four times as long and so adds to an overload.
UNPREPARED_ROUNDS = 1.0
# An attempt is not started when the expected time is above this part of
# the time left.
TIME_USED = 0.9


class SlotAvailability(enum.Enum):
    """How much room the chosen target has."""

    FREE = 'free'
    QUEUE = 'queue'
    NONE = 'none'


class Placement(NamedTuple):
    """The target for an attempt, or None when no one has room."""

    target: _observed.ObservedTarget | None
    availability: SlotAvailability


MaySend = Callable[[_observed.ObservedTarget], bool]


def place_request(
    now: float,
    targets: Iterable[_observed.ObservedTarget],
    may_send: MaySend,
    priority: int,
    time_left_s: float,
    max_choices: int | None = None,
    pool_failure_rate: float = 0.0,
) -> Placement:
    """Return the target of an attempt.

    `targets` are in the order of preference. Without `max_choices` the first
    free one is taken. With them a request concerns an object, of the
    targets that can be used only the first `max_choices` count, and one that
    is less preferred, and so does not remember the object, counts as if
    its queue were longer by `UNPREPARED_ROUNDS`. A free target that fails
    far more requests than its pool comes after sound ones that are free, or
    for an object after those with a queue of up to as many rounds.
    """
    sound = 0
    doubtful: _observed.ObservedTarget | None = None
    best: _observed.ObservedTarget | None = None
    best_wait = best_cost = 0.0
    for item in targets:
        if _observed.is_ejected(item, now) or not may_send(item):
            continue
        if sound == max_choices:
            break
        wait = _estimate_wait(item, now)
        if _observed.is_doubtful(item, pool_failure_rate):
            if not wait and doubtful is None:
                doubtful = item
            continue
        cost = wait
        if max_choices is not None:
            cost += sound * UNPREPARED_ROUNDS
        sound += 1
        if not cost:
            return Placement(item, SlotAvailability.FREE)
        if best is None or cost < best_cost:
            best, best_wait, best_cost = item, wait, cost
    patience = UNPREPARED_ROUNDS if max_choices is not None else 0.0
    if doubtful is not None and (best is None or best_wait > patience):
        return Placement(doubtful, SlotAvailability.FREE)
    if best is None:
        return Placement(None, SlotAvailability.NONE)
    if not best_wait:
        return Placement(best, SlotAvailability.FREE)
    rounds = QUEUE_ROUNDS[min(priority, len(QUEUE_ROUNDS) - 1)]
    expected_s = (best_wait + 1.0) * best.service_s
    if best_wait > rounds or expected_s > time_left_s * TIME_USED:
        return Placement(None, SlotAvailability.NONE)
    return Placement(best, SlotAvailability.QUEUE)


def _estimate_wait(item: _observed.ObservedTarget, now: float) -> float:
    """Return the queue before one more request, in rounds of all slots."""
    slots = item.record.slots
    load = _observed.estimate_load(item, now)
    return max(0.0, (load + 1.0 - slots) / slots)
