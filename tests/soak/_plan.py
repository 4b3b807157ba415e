"""The faults of one soak, drawn from a seed."""

from collections.abc import Iterator
import enum
import random
from typing import NamedTuple

# The sizes of the users' deployments, with fewer entries and targets, so
# that several soaks run side by side on one machine.
MEMBERS = 5
ENTRIES = 4
TARGETS = 9
TOLERATED_MEMBERS = 2
# A returned member counts as available after this time; see the design of
# the repair of the group.
CATCH_UP_S = 4.0
# Faults last 0.2 to 4 s, so about two of them overlap.
MEAN_GAP_S = 0.8
# Time that a target names a rate limit, and between two of them. A limit has
# to be kept after 3 s, and requests are counted over 4 s.
LIMIT_S = 9.0
MEAN_LIMIT_GAP_S = 4.0
# Time between two notices of targets, which they give for some seconds.
MEAN_NOTICE_GAP_S = 4.0
NOTICE_S = (2.0, 4.0)
# Time between two targets that start again under their ids.
MEAN_RESTART_GAP_S = 4.0
# Time between two leaves after which a late announcement arrives.
MEAN_LATE_GAP_S = 5.0
# By then callers have made their first lookups and connections.
FIRST_AT_S = 1.0


class FaultKind(enum.Enum):
    """What happens to a process, target or link."""

    PAUSE = 'pause'
    KILL = 'kill'
    STOP = 'stop'
    WIPE = 'wipe'
    TEAR = 'tear'
    KILL_ALL = 'kill-all'
    HOLD = 'hold'
    HOLD_THERE = 'hold-there'
    HOLD_BACK = 'hold-back'
    RESET = 'reset'
    DELAY = 'delay'
    LEAVE = 'leave'
    REPLACE = 'replace'
    RESTART = 'restart'
    SLOW = 'slow'
    SHED = 'shed'
    LIMIT = 'limit'
    SAY_LEAVING = 'say-leaving'
    SAY_PAUSE = 'say-pause'
    LEAVE_SILENTLY = 'leave-silently'
    LEAVE_UNHEARD = 'leave-unheard'


class Fault(NamedTuple):
    """One fault; times in seconds from the start of the traffic."""

    at_s: float
    kind: FaultKind
    subject: str
    for_s: float


LINK_KINDS = (
    FaultKind.HOLD,
    FaultKind.HOLD_THERE,
    FaultKind.HOLD_BACK,
    FaultKind.RESET,
    FaultKind.DELAY,
)
_MEMBER_KINDS = (
    FaultKind.PAUSE,
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.WIPE,
    FaultKind.TEAR,
    *LINK_KINDS,
)
_ENTRY_KINDS = (FaultKind.PAUSE, FaultKind.KILL, FaultKind.STOP)
_TARGET_KINDS = (
    FaultKind.KILL,
    FaultKind.LEAVE,
    FaultKind.REPLACE,
    FaultKind.SLOW,
    FaultKind.SHED,
    *LINK_KINDS,
)


def draw_plan(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a seed; they may overlap.

    No more members are lost at a time than the group tolerates, except that
    all of them may be killed and restarted together.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    lost_until: dict[str, float] = {}
    at_s = FIRST_AT_S
    while at_s < length_s:
        fault = _draw_fault(rng, at_s)
        at_s += rng.expovariate(1.0 / MEAN_GAP_S)
        if fault.subject.startswith('core'):
            if not _admit_fault(fault, lost_until):
                continue
        faults.append(fault)
    faults.extend(_draw_limits(seed, length_s))
    faults.extend(_draw_notices(seed, length_s))
    faults.extend(_draw_restarts(seed, length_s))
    faults.extend(_draw_late_announcements(seed, length_s))
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_times(
    rng: random.Random, length_s: float, mean_gap_s: float
) -> Iterator[float]:
    """Yield the times of one kind of fault; `rng` is shared with its caller.

    Each gap is drawn after what the caller draws for the fault before it.
    """
    at_s = FIRST_AT_S
    while at_s < length_s:
        yield at_s
        at_s += rng.expovariate(1.0 / mean_gap_s)


def _draw_limits(seed: int, length_s: float) -> list[Fault]:
    """Return the rate limits of targets, drawn apart from other faults."""
    rng = random.Random(f'limits-{seed}')
    limits = []
    for at_s in _draw_times(rng, length_s, MEAN_LIMIT_GAP_S):
        name = f'target-{rng.randint(1, TARGETS)}'
        limits.append(Fault(at_s, FaultKind.LIMIT, name, LIMIT_S))
    return limits


def _draw_notices(seed: int, length_s: float) -> list[Fault]:
    """Return the notices of targets, drawn apart from other faults."""
    rng = random.Random(f'notices-{seed}')
    notices = []
    for at_s in _draw_times(rng, length_s, MEAN_NOTICE_GAP_S):
        name = f'target-{rng.randint(1, TARGETS)}'
        kind = rng.choice((FaultKind.SAY_LEAVING, FaultKind.SAY_PAUSE))
        notices.append(Fault(at_s, kind, name, rng.choice(NOTICE_S)))
    return notices


def _draw_restarts(seed: int, length_s: float) -> list[Fault]:
    """Return the restarts of targets, drawn apart from other faults."""
    rng = random.Random(f'restarts-{seed}')
    restarts = []
    for at_s in _draw_times(rng, length_s, MEAN_RESTART_GAP_S):
        name = f'target-{rng.randint(1, TARGETS)}'
        restarts.append(Fault(at_s, FaultKind.RESTART, name, 0.0))
    return restarts


def _draw_late_announcements(seed: int, length_s: float) -> list[Fault]:
    """Return leaves with a late announcement, drawn apart from others."""
    rng = random.Random(f'late-announcements-{seed}')
    leaves = []
    for at_s in _draw_times(rng, length_s, MEAN_LATE_GAP_S):
        name = f'target-{rng.randint(1, TARGETS)}'
        kind = rng.choice((FaultKind.LEAVE_SILENTLY, FaultKind.LEAVE_UNHEARD))
        leaves.append(Fault(at_s, kind, name, 0.0))
    return leaves


def _draw_fault(rng: random.Random, at_s: float) -> Fault:
    for_s = rng.choice((0.2, 0.8, 2.0, 4.0))
    group = rng.random()
    if group < 0.03:
        return Fault(at_s, FaultKind.KILL_ALL, 'core', for_s=0.3)
    if group < 0.4:
        number = rng.randint(1, MEMBERS)
        kind = rng.choice(_MEMBER_KINDS)
        return Fault(at_s, kind, f'core-{number}', for_s)
    if group < 0.6:
        number = rng.randint(1, ENTRIES)
        return Fault(at_s, rng.choice(_ENTRY_KINDS), f'edge-{number}', for_s)
    number = rng.randint(1, TARGETS)
    return Fault(at_s, rng.choice(_TARGET_KINDS), f'target-{number}', for_s)


def _admit_fault(fault: Fault, lost_until: dict[str, float]) -> bool:
    """Return whether the group tolerates a fault now; record it if so."""
    lost = {name for name, until in lost_until.items() if until > fault.at_s}
    if fault.kind is FaultKind.KILL_ALL:
        if lost:
            return False
        names = [f'core-{number}' for number in range(1, MEMBERS + 1)]
    else:
        # One fault at a time for each member: each ends before the next.
        if fault.subject in lost or len(lost) >= TOLERATED_MEMBERS:
            return False
        names = [fault.subject]
    for name in names:
        lost_until[name] = fault.at_s + fault.for_s + CATCH_UP_S + 1.0
    return True
