"""Whether an entry has lost its own paths to the targets of a pool."""

from collections.abc import Collection
import enum

from fulmarseam import ids

# This many targets in a row that cannot be reached raise the suspicion that
# the paths of the entry are at fault, and as many probes decide about it.
# A pool with fewer targets needs all of them.
SUSPICION_TARGETS = 4
# A failure does not count any more after this time.
FAILURE_LIFETIME_S = 5.0
# Probes that may be in progress at a time.
MAX_PROBES = 4


class PathState(enum.Enum):
    """What an entry knows of its paths to the targets of a pool."""

    OPEN = 'open'
    SUSPECTED = 'suspected'
    CUT_OFF = 'cut-off'


class Reachability:
    """The paths of an entry to the targets of one pool.

    Times are in seconds of a monotonic clock. New connections decide; kept
    ones may live on while new ones are refused, and are then used. While the
    state is not OPEN, the owner probes the targets that `choose_probes`
    names. Targets that fail by themselves do not lead to CUT_OFF, as other
    targets answer the probes.
    """

    def __init__(self) -> None:
        self.state = PathState.OPEN
        # Targets that failed since the last one that was reached.
        self._failed_at: dict[ids.TargetId, float] = {}
        # When the paths were first suspected, and when a kept connection last
        # brought an answer or broke.
        self._suspected_at = float('-inf')
        self._kept_answer_at = float('-inf')
        self._kept_break_at = float('-inf')
        # Targets that probes or requests reached since the state was OPEN.
        self._reached: set[ids.TargetId] = set()
        # Distinct targets of the probes since the last one with another
        # result.
        self._probed: set[ids.TargetId] = set()
        self._probing: set[ids.TargetId] = set()
        self._probe_order: list[ids.TargetId] = []

    def may_open(self, target: ids.TargetId) -> bool:
        """Return whether requests may open a connection to a target."""
        return self.state is not PathState.CUT_OFF or target in self._reached

    def may_use_kept(self) -> bool:
        """Return whether kept connections live on while the paths are cut."""
        return (
            self._kept_answer_at > self._suspected_at
            and self._kept_answer_at > self._kept_break_at
        )

    def note_kept_answer(self, now: float) -> None:
        """Record an answer on a kept connection."""
        self._kept_answer_at = now

    def note_kept_break(self, now: float) -> None:
        """Record a kept connection that broke or fell silent."""
        self._kept_break_at = now

    def note_unreachable(
        self, now: float, target: ids.TargetId, target_count: int
    ) -> None:
        """Record that a target could not be reached or fell silent.

        `target_count` is the number of targets in the pool.
        """
        self._reached.discard(target)
        self._failed_at[target] = now
        if self.state is not PathState.OPEN:
            return
        self._failed_at = {
            failed: failed_at
            for failed, failed_at in self._failed_at.items()
            if now - failed_at <= FAILURE_LIFETIME_S
        }
        if len(self._failed_at) >= min(SUSPICION_TARGETS, target_count):
            self._suspected_at = min(self._failed_at.values())
            self._change_state(PathState.SUSPECTED)

    def note_reached(self, target: ids.TargetId) -> None:
        """Record that a target accepted a new connection."""
        if self.state is PathState.CUT_OFF:
            self._reached.add(target)
            return
        self._failed_at.clear()
        if self.state is PathState.SUSPECTED:
            self._change_state(PathState.OPEN)

    def choose_probes(
        self, targets: Collection[ids.TargetId]
    ) -> list[ids.TargetId]:
        """Return the targets to probe now, in turn through all of them."""
        if self.state is PathState.OPEN:
            return []
        chosen: list[ids.TargetId] = []
        free = MAX_PROBES - len(self._probing)
        wanted = set(targets) - self._probing
        while wanted and len(chosen) < free:
            if not self._probe_order:
                # Those that did not fail lately tell most.
                self._probe_order = sorted(
                    targets,
                    key=lambda target: -self._failed_at.get(target, 0.0),
                )
            target = self._probe_order.pop()
            if target in wanted:
                wanted.remove(target)
                chosen.append(target)
        self._probing.update(chosen)
        return chosen

    def note_probe(
        self, target: ids.TargetId, is_reached: bool, target_count: int
    ) -> None:
        """Record the result of a probe; `target_count` is that of the pool."""
        self._probing.discard(target)
        if self.state is PathState.OPEN:
            return
        is_expected = is_reached == (self.state is PathState.CUT_OFF)
        if is_reached:
            self.note_reached(target)
        else:
            self._reached.discard(target)
        if not is_expected:
            self._probed.clear()
            return
        self._probed.add(target)
        if len(self._probed) < min(SUSPICION_TARGETS, target_count):
            return
        self._change_state(PathState.OPEN if is_reached else PathState.CUT_OFF)

    def _change_state(self, state: PathState) -> None:
        self.state = state
        self._reached.clear()
        self._probed.clear()
        self._probe_order.clear()
        if state is PathState.OPEN:
            self._failed_at.clear()
