"""What entries tell each other about targets, by way of the leader."""

import logbook

from fulmarseam import catalog
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.gateway import _paths
from fulmarseam.gateway import _target_table

# The loads that all entries observe together replace a report of the target
# that is older than this.
MIN_REPLACED_REPORT_AGE_S = 0.1
# How long other entries' ejections count without a newer answer to a poll.
SHARED_EJECTION_S = 1.2
# Share of a pool's targets up to which the ejections of other entries count.
# If they cover more, they are more likely about a network than the targets.
MAX_SHARED_EJECTIONS = 1 / 3

_log = logbook.Logger('gateway')


class SharedObservations:
    """Lists the observations of this entry and applies those of all."""

    def __init__(
        self,
        table: _target_table.TargetTable,
        mirror: catalog.CatalogMirror,
        paths: _paths.Paths,
    ) -> None:
        self._table = table
        self._mirror = mirror
        self._paths = paths
        # Requests in flight by target as of the last observations.
        self._reported: dict[ids.TargetId, int] = {}

    def list_observations(self, now: float) -> list[wire.TargetObservation]:
        """Return what other entries should know of the targets."""
        observations = []
        self._reported.clear()
        for observed in self._table.targets.values():
            # Without paths this entry knows nothing of its targets.
            is_ejected = steering.is_reported_ejected(
                observed, now
            ) and not self._paths.is_cut(observed)
            if observed.in_flight or is_ejected:
                self._reported[observed.target] = observed.in_flight
                observations.append(
                    wire.TargetObservation(
                        observed.target, observed.in_flight, is_ejected
                    )
                )
        return observations

    def apply_loads(self, now: float, loads: bytes, revision: int) -> None:
        """Use the loads that all entries observe together.

        They are ignored if they list the targets of another revision.
        """
        if revision != self._mirror.revision:
            return
        if len(loads) != len(self._table.targets):
            _log.warning(
                telemetry.format_event(
                    'shared_loads_ignored',
                    found=len(loads),
                    expected=len(self._table.targets),
                    revision=revision,
                )
            )
            return
        loads_by_target = dict(
            zip(sorted(self._table.targets), loads, strict=True)
        )
        for pool in self._table.pools.values():
            _apply_shared_ejections(now, pool.targets, loads_by_target)
        for target, load in loads_by_target.items():
            observed = self._table.targets[target]
            age_s = now - observed.other_load_at
            if (
                load != wire.FAILING_TARGET
                and age_s > MIN_REPLACED_REPORT_AGE_S
            ):
                others = load - self._reported.get(target, 0)
                steering.note_shared_load(observed, now, others)


def _apply_shared_ejections(
    now: float,
    targets: list[steering.ObservedTarget],
    loads: dict[ids.TargetId, int],
) -> None:
    """Avoid the targets of a pool that several other entries ejected."""
    failing = [
        observed
        for observed in targets
        if loads[observed.target] == wire.FAILING_TARGET
    ]
    if len(failing) > MAX_SHARED_EJECTIONS * len(targets):
        return
    for observed in failing:
        observed.avoided_until = now + SHARED_EJECTION_S
