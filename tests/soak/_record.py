"""What callers, targets and operators saw; times in seconds."""

import dataclasses
import time
from typing import NamedTuple


class Call(NamedTuple):
    """One request of a caller; `status` is 0 when no answer came.

    `pool` and `target` are what the answer named. `was_cut` is set when the
    connection ended before the answer, and not when the caller gave up.
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
    """A target began to work on a request."""

    request: str
    target: str
    pool: str
    failure_domain: str
    started_at: float


class Move(NamedTuple):
    """A version of the route that moves between pools."""

    version: int
    pool: str
    sent_at: float


class Disturbance(NamedTuple):
    """A time in which a fault touched a process or a target."""

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
    moves: list[Move] = dataclasses.field(default_factory=list)
    # When each version, leave and evacuation was acknowledged.
    acknowledged: dict[int, float] = dataclasses.field(default_factory=dict)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    evacuations: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    findings: list[str] = dataclasses.field(default_factory=list)
    # Route and pool of the newest read-back, or None when none came.
    read_back: dict[str, object] | None = None
    faults_ended_at: float = 0.0

    def find(self, text: str) -> None:
        """Record that a promise was broken."""
        self.findings.append(f'{time.monotonic():.3f} {text}')
