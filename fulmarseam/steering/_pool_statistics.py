"""What an entry has seen of all targets of a pool together.

With hundreds of targets an entry gets a response of each only now and then.
The means over the pool stand in for what it does not know of a single one.
"""

import enum

# Run time assumed before the first response, in seconds.
INITIAL_RUN_S = 0.5
# Weight of the newest run in a mean, after the first runs.
RUN_WEIGHT = 0.02


class RunKind(enum.Enum):
    """What a target probably has of the object of a request.

    The first choice of an object has mostly cached it; others have not, and
    a cold target runs every request more slowly.
    """

    FIRST_CHOICE = 'first_choice'
    OTHER = 'other'
    COLD = 'cold'


class _Mean:
    """A moving mean that starts as the plain mean of the first values."""

    __slots__ = ('count', 'value')

    def __init__(self) -> None:
        self.count = 0
        self.value = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(RUN_WEIGHT, 1.0 / self.count)
        self.value += weight * (value - self.value)


class PoolStatistics:
    """Mean run times of a pool, in seconds."""

    def __init__(self) -> None:
        self._runs = {kind: _Mean() for kind in RunKind}

    def note_run(self, kind: RunKind, run_s: float) -> None:
        """Record a complete response of a target without a queue."""
        self._runs[kind].add(run_s)

    def estimate_run(self, kind: RunKind) -> float:
        """Return the expected run time of a request.

        Without runs of this kind it is that of the next faster kind.
        """
        if self._runs[kind].count:
            return self._runs[kind].value
        if kind is RunKind.COLD:
            return self.estimate_run(RunKind.OTHER)
        if kind is RunKind.OTHER:
            return self.estimate_run(RunKind.FIRST_CHOICE)
        return INITIAL_RUN_S
