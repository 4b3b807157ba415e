"""What the outcomes of attempts tell about their targets."""

import logbook

from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam.gateway import _paths
from fulmarseam.gateway import _pools
from fulmarseam.gateway import _target_table

# A target that is reachable again may have restarted, so it counts as cold
# until its announcement can arrive, within a heartbeat of 1.5 s and a poll.
RECOVERY_COLD_S = 2.0
# A load report that is unreadable is logged up to this length.
MAX_SHOWN_REPORT_BYTES = 40

_log = logbook.Logger('gateway')


class OutcomeRecorder:
    """Records reports, answers, failures and timeouts of attempts."""

    def __init__(
        self, table: _target_table.TargetTable, paths: _paths.Paths
    ) -> None:
        self._table = table
        self._paths = paths

    def record_load_report(
        self, now: float, observed: steering.ObservedTarget, report: bytes
    ) -> None:
        """Record a load report of the form `running,waiting,slots`.

        A fourth figure tells how long work takes there now, in percent of
        the usual time.
        """
        try:
            load = steering.parse_load_report(report)
        except ValueError as error:
            _log.debug(
                telemetry.format_event(
                    'load_report_unreadable',
                    target=observed.target,
                    found=repr(report[:MAX_SHOWN_REPORT_BYTES]),
                    reason=error,
                )
            )
            return
        steering.note_report(observed, now, load.running, load.waiting)
        observed.work_factor.note(now, load.work_percent)
        if steering.names_pace(report):
            pool = self._table.get_or_create_pool(observed.record.pool)
            pool.reports_pace = True

    def record_answer(
        self, now: float, placement: steering.Placement, service_s: float
    ) -> None:
        """Record an answer that a target returned after `service_s`."""
        observed = _get_target(placement)
        cold_s = min(self._table.get_cold_s(observed), RECOVERY_COLD_S)
        steering.note_answer(observed, now, service_s, cold_s)
        if placement.availability is steering.SlotAvailability.FREE:
            observed.statistics.note_run(
                placement.run_kind, service_s / observed.work_factor.get(now)
            )

    def record_failure(self, observed: steering.ObservedTarget) -> None:
        """Record a request that a target refused or failed."""
        steering.note_failure(observed)

    def is_pool_failing(self, now: float, pool_name: ids.PoolName) -> bool:
        """Return whether a whole pool refuses or fails many requests."""
        rate = self._table.get_or_create_pool(pool_name).get_failure_rate(now)
        return rate >= steering.DOUBTFUL_FAILURE_RATE

    def record_timeout(
        self, now: float, placement: steering.Placement, elapsed_s: float
    ) -> None:
        """Record a request that got no answer within `elapsed_s`."""
        observed = _get_target(placement)
        statistics = observed.statistics
        is_free = placement.availability is steering.SlotAvailability.FREE
        usual_s = elapsed_s / observed.work_factor.get(now)
        if is_free and usual_s > statistics.estimate_run(placement.run_kind):
            # The run would have taken even longer.
            statistics.note_run(placement.run_kind, usual_s)
        if steering.is_silent(observed, now):
            self.eject(now, observed)
        else:
            steering.note_failure(observed)

    def record_malformed(
        self, now: float, observed: steering.ObservedTarget
    ) -> None:
        """Record an answer that cannot be read.

        The target can be reached and has not restarted, so it stays warm.
        """
        pool = self._table.get_or_create_pool(observed.record.pool)
        if not steering.stands_out(
            observed, pool.targets, now, pool.get_failure_rate(now)
        ):
            steering.note_failure(observed)
            return
        was_recovering = observed.recovering
        self.eject(now, observed, is_reachable=True)
        observed.recovering = was_recovering

    def eject(
        self,
        now: float,
        observed: steering.ObservedTarget,
        is_reachable: bool = False,
    ) -> None:
        """Send no requests to an unreachable or silent target for a while.

        `is_reachable` is set if another target answered at its address.
        """
        steering.eject(observed, now)
        pool = self._table.get_or_create_pool(observed.record.pool)
        if not is_reachable:
            self._paths.note_unreachable(now, observed)
        if _are_most_ejected(now, pool):
            # The entry has lost its own links, so the targets stay warm.
            observed.recovering = False
        _log.info(
            telemetry.format_event(
                'target_ejected',
                target=observed.target,
                address=observed.record.address,
                failures=observed.failures,
                pause_s=observed.ejected_until - now,
            )
        )


def _are_most_ejected(now: float, pool: _pools.Pool) -> bool:
    ejected_count = sum(
        steering.is_ejected(observed, now) for observed in pool.targets
    )
    return 2 * ejected_count > len(pool.targets)


def _get_target(placement: steering.Placement) -> steering.ObservedTarget:
    assert placement.target is not None
    return placement.target
