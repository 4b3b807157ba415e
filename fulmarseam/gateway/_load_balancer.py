"""Load balancing of requests over the targets that an entry observes."""

from collections.abc import Callable
import functools

from fulmarseam import catalog
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.gateway import _outcomes
from fulmarseam.gateway import _paths
from fulmarseam.gateway import _placement
from fulmarseam.gateway import _shared_observations
from fulmarseam.gateway import _target_table


def _has_none(address: str) -> bool:
    """Return that there is no idle connection."""
    return False


class LoadBalancer:
    """Observes all targets of the catalog and places requests on them.

    Each job has a module: `_target_table` follows the catalog,
    `_shared_observations` exchanges observations with other entries,
    `_placement` chooses targets and `_outcomes` records what came of it. The
    attributes below are their methods. Times are in seconds of a monotonic
    clock. Every target that `place` returns must be given back with
    `release`.
    """

    def __init__(
        self,
        options: settings.GatewaySettings,
        mirror: catalog.CatalogMirror,
        has_kept_connection: Callable[[str], bool] = _has_none,
        retry_slack_from: float = float('-inf'),
    ) -> None:
        table = self._table = _target_table.TargetTable(
            options, mirror, retry_slack_from
        )
        self._targets = table.targets
        self.limited_targets = table.limited_targets
        self.notices = table.notices
        self.update = table.update
        self.record_notice = table.record_notice
        self.record_relayed_leave = table.record_relayed_leave
        self.count_ready = table.count_ready
        self.count_in_flight = table.count_in_flight
        self.get_targets = table.get_targets
        self.get_allowed_targets = table.get_allowed_targets
        self.set_senders = table.set_senders
        self.log_retries = table.log_retries
        self.paths = _paths.Paths(table.pools, has_kept_connection)
        observations = _shared_observations.SharedObservations(
            table, mirror, self.paths
        )
        self.list_observations = observations.list_observations
        self.apply_shared_loads = observations.apply_loads
        self._placer = _placement.Placer(options, mirror, table, self.paths)
        self.place = self._placer.place
        self.apply_region_loads = self._placer.apply_region_loads
        self.wants_region_loads = self._placer.wants_region_loads
        recorder = _outcomes.OutcomeRecorder(table, self.paths)
        self.record_load_report = recorder.record_load_report
        self.record_answer = recorder.record_answer
        self.record_failure = recorder.record_failure
        self.record_timeout = recorder.record_timeout
        self.is_pool_failing = recorder.is_pool_failing
        self.eject = recorder.eject
        self.record_malformed = recorder.record_malformed

    @property
    def senders(self) -> int:
        """Return the number of entries that share the bounds."""
        return self._table.senders

    def register_metrics(self, metrics: telemetry.Metrics) -> None:
        """Register the figures on placement on the metrics page."""
        placer = self._placer
        for kind in steering.RunKind:
            metrics.register_gauge(
                'runs_placed',
                functools.partial(placer.run_counts.__getitem__, kind),
                kind=kind.value,
            )
        metrics.register_gauge('retries', self._table.count_retries)
        metrics.register_gauge(
            'retries_refused', self._table.count_refused_retries
        )
        metrics.register_gauge(
            'object_requests', lambda: placer.object_requests
        )
        metrics.register_gauge('object_targets', lambda: placer.object_targets)

    def is_out_of_reach(
        self, now: float, route: wire.RouteItem, pool_name: ids.PoolName
    ) -> bool:
        """Return whether this entry reaches few targets of a request."""
        targets = self.get_allowed_targets(route, pool_name)
        lost_count = sum(
            steering.is_ejected_here(observed, now)
            or not self.paths.may_send(observed)
            for observed in targets
        )
        return lost_count > 0 and 2 * lost_count >= len(targets)

    def count_request(self, now: float, pool_name: ids.PoolName) -> None:
        """Count a request of a caller for a pool."""
        self._table.get_or_create_pool(pool_name).retry_budget.count_request(
            now
        )

    def try_acquire_retry(self, now: float, pool_name: ids.PoolName) -> bool:
        """Count a retry if the budget of the pool allows it."""
        return self._table.get_or_create_pool(
            pool_name
        ).retry_budget.try_acquire(now)

    def release(self, observed: steering.ObservedTarget) -> None:
        """Count the end of a request that `place` put on a target."""
        steering.note_end(observed)
