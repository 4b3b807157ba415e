"""What callers, targets and operators observed; times in seconds."""

import dataclasses
import time
from typing import NamedTuple


class Call(NamedTuple):
    """One request of a caller; `status` is 0 without a response.

    `target` is the one that the response names. `was_cut` is set if the
    connection ended before the response, not if the caller gave up.
    """

    request: str
    entry: str
    route: str
    is_idempotent: bool
    sent_at: float
    ended_at: float
    status: int
    target: str = ''
    was_cut: bool = False


class Run(NamedTuple):
    """The start of a request on a target."""

    request: str
    target: str
    pool: str
    failure_domain: str
    started_at: float


class Arrival(NamedTuple):
    """A request that reached a target, also if it was refused there."""

    target: str
    at: float
    request: str = ''


class Notice(NamedTuple):
    """An answer in which a target says what requests it wants.

    `pause_s` is the time for which it wants none, or 0 if it leaves.
    """

    request: str
    target: str
    host: str
    at: float
    pause_s: float = 0.0


class Limit(NamedTuple):
    """A time in which a target named a limit of its requests a second."""

    target: str
    host: str
    rate_per_s: float
    named_at: float
    ended_at: float


class Restart(NamedTuple):
    """A target that has started again under its id."""

    failure_domain: str
    at: float


class Move(NamedTuple):
    """A version of the route that moves between pools."""

    version: int
    pool: str
    sent_at: float


class Disturbance(NamedTuple):
    """An interval in which a fault hit a process or a target."""

    subject: str
    kind: str
    started_at: float
    ended_at: float
    is_planned: bool = False


@dataclasses.dataclass
class Record:
    """Everything that one soak recorded."""

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    limits: list[Limit] = dataclasses.field(default_factory=list)
    relayed: set[str] = dataclasses.field(default_factory=set)
    notices: list[Notice] = dataclasses.field(default_factory=list)
    # When lethal requests reached targets, and when targets ended of them.
    lethal_arrivals: list[float] = dataclasses.field(default_factory=list)
    lethal_ends: list[float] = dataclasses.field(default_factory=list)
    moves: list[Move] = dataclasses.field(default_factory=list)
    # When each version, leave and evacuation was acknowledged.
    acknowledged: dict[int, float] = dataclasses.field(default_factory=dict)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    # Targets that run under the id of an earlier incarnation.
    restarted: dict[str, Restart] = dataclasses.field(default_factory=dict)
    evacuations: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    findings: list[str] = dataclasses.field(default_factory=list)
    # The routes in force at the end, by name; None if they were not read.
    read_back: dict[str, object] | None = None
    faults_ended_at: float = 0.0

    def add_finding(self, text: str) -> None:
        """Record that a guarantee was violated."""
        self.findings.append(f'{time.monotonic():.3f} {text}')
