"""The targets of the catalog, as an entry observes them, by pool."""

from collections.abc import Sequence
import zlib

import logbook

from fulmarseam import catalog
from fulmarseam import ids
from fulmarseam import notices
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.gateway import _pools

# Fraction of the retry bound that is used. Requests and retries of one time
# window may reach the targets in a different one because of delays.
RETRY_SHARE_USED = 0.8
# Number of different token offsets between 0 and 1.
TOKEN_OFFSET_STEPS = 1_000

_log = logbook.Logger('gateway')


class TargetTable:
    """The targets that may get requests, kept up to date with the catalog.

    `version` changes with the targets of any pool. `limited_targets` and
    `notices` hold what the targets say about the requests that they want.
    `senders` entries share the bounds. Before `retry_slack_from` no retry
    uses the slack.
    """

    def __init__(
        self,
        options: settings.GatewaySettings,
        mirror: catalog.CatalogMirror,
        retry_slack_from: float = float('-inf'),
    ) -> None:
        self._options = options
        self._retry_slack_from = retry_slack_from
        self._mirror = mirror
        self.targets: dict[ids.TargetId, steering.ObservedTarget] = {}
        self.pools: dict[ids.PoolName, _pools.Pool] = {}
        self.version = 0
        # Targets whose record is odd; no request is sent there.
        self._unusable: set[ids.TargetId] = set()
        self._evacuated: frozenset[ids.DomainName] = frozenset()
        self.limited_targets = steering.LimitedTargets()
        self.notices = steering.NoticeTable()
        self._notice_recorder = notices.NoticeRecorder(self.notices)
        # Set once the whole catalog has been applied, so that its targets
        # are not logged one by one at the start.
        self._logs_phases = False
        self._retries_logged_at = 0.0
        self.senders = 1

    def update(self, now: float) -> None:
        """Apply the targets and evacuations of the mirror."""
        records = self._mirror.targets
        self.limited_targets.retain(now, self._mirror.list_incarnations())
        for target in self.targets.keys() - records.keys():
            self._log_phase(self.targets.pop(target).record, 'gone')
            self._unusable.discard(target)
        for target, record in records.items():
            self._update_target(now, target, record)
        self._logs_phases = self._mirror.is_complete
        restored_domains = self._evacuated - self._mirror.evacuated
        self._evacuated = self._mirror.evacuated
        for observed in self.targets.values():
            if observed.record.failure_domain in restored_domains:
                # The targets may have lost their caches in the meantime.
                steering.mark_cold(observed, now, self.get_cold_s(observed))
        self._group_targets()

    def _update_target(
        self, now: float, target: ids.TargetId, record: wire.TargetRecord
    ) -> None:
        observed = self.targets.get(target)
        if observed is not None and observed.record == record:
            return
        if observed is None or observed.record.phase is not record.phase:
            self._log_phase(record, record.phase.value)
        is_new_instance = observed is None or (
            observed.record.born_ms != record.born_ms
            or observed.record.address != record.address
        )
        if observed is None or is_new_instance:
            observed = steering.ObservedTarget(
                record,
                record.region != self._options.region,
                token_offset=self._compute_token_offset(target),
                tokens_at=now,
                in_flight=observed.in_flight if observed else 0,
            )
            self.targets[target] = observed
        observed.record = record
        observed.statistics = self.get_or_create_pool(record.pool).statistics
        if not self._check_record(record):
            return
        if record.cold_ms > 0.0:
            steering.mark_cold(observed, now, record.cold_ms / 1_000)

    def _log_phase(self, record: wire.TargetRecord, phase: str) -> None:
        """Log that a target is new, or that its phase has changed."""
        if not self._logs_phases:
            return
        _log.info(
            telemetry.format_event(
                'target_phase',
                target=record.target,
                phase=phase,
                born=record.born_ms,
                sequence=record.sequence,
            )
        )

    def _check_record(self, record: wire.TargetRecord) -> bool:
        """Return whether requests can be sent to a target; log why not."""
        problem = catalog.find_problem(record)
        if problem is None:
            self._unusable.discard(record.target)
            return True
        self._unusable.add(record.target)
        _log.warning(
            telemetry.format_event(
                'target_unusable', target=record.target, reason=problem
            )
        )
        return False

    def _compute_token_offset(self, target: ids.TargetId) -> float:
        name = f'{self._options.host} {target}'.encode()
        return (zlib.crc32(name) % TOKEN_OFFSET_STEPS) / TOKEN_OFFSET_STEPS

    def get_cold_s(self, observed: steering.ObservedTarget) -> float:
        """Return for how long a new process of a target is cold."""
        pool = self._mirror.pools.get(observed.record.pool)
        return pool.cold_s if pool is not None else 0.0

    def _group_targets(self) -> None:
        self.version += 1
        for pool in self.pools.values():
            pool.targets = []
        for observed in self.targets.values():
            record = observed.record
            if record.phase is not wire.TargetPhase.READY:
                continue
            if record.target in self._unusable:
                continue
            if record.failure_domain in self._evacuated:
                continue
            if self.notices.is_leaving(observed.process):
                continue
            self.get_or_create_pool(record.pool).targets.append(observed)

    def record_notice(
        self,
        now: float,
        process: steering.TargetProcess,
        notice: notices.Notice,
        source: str = 'answer',
    ) -> None:
        """Record what a target says about the requests that it wants."""
        if self._notice_recorder.record(now, process, notice, source):
            self._group_targets()

    def record_relayed_leave(self, now: float, target: ids.TargetId) -> None:
        """Record that a target leaves, as an answer says to another entry."""
        observed = self.targets.get(target)
        if observed is not None:
            self.record_notice(
                now, observed.process, notices.Notice(is_leaving=True), 'relay'
            )

    def get_or_create_pool(self, name: ids.PoolName) -> _pools.Pool:
        """Return what the entry knows of a pool."""
        pool = self.pools.get(name)
        if pool is None:
            options = self._options
            pool = self.pools[name] = _pools.Pool(
                steering.WindowedRetryBudget(
                    options.retry_ratio * RETRY_SHARE_USED,
                    self._compute_slack(),
                    options.retry_window,
                    self._retry_slack_from,
                )
            )
        return pool

    def log_retries(self, now: float) -> None:
        """Log once in each window what the pools use of their budgets."""
        if now < self._retries_logged_at + self._options.retry_window:
            return
        self._retries_logged_at = now
        for name, pool in self.pools.items():
            usage = pool.retry_budget.get_usage(now)
            refused = pool.retry_budget.refused
            if not usage.retries and refused == pool.refused_logged:
                continue
            _log.info(
                telemetry.format_event(
                    'retries',
                    pool=name,
                    requests=usage.requests,
                    retries=usage.retries,
                    refused=refused - pool.refused_logged,
                    slack=usage.slack,
                    senders=self.senders,
                )
            )
            pool.refused_logged = refused

    def count_retries(self) -> int:
        """Return the number of retries since the start."""
        return sum(pool.retry_budget.granted for pool in self.pools.values())

    def count_refused_retries(self) -> int:
        """Return how many retries the budgets refused since the start."""
        return sum(pool.retry_budget.refused for pool in self.pools.values())

    def count_ready(self) -> int:
        """Return the number of targets that may get requests."""
        return sum(len(pool.targets) for pool in self.pools.values())

    def get_targets(
        self, pool_name: ids.PoolName
    ) -> Sequence[steering.ObservedTarget]:
        """Return the targets of a pool that may get requests."""
        return self.get_or_create_pool(pool_name).targets

    def get_allowed_targets(
        self, route: wire.RouteItem, pool_name: ids.PoolName
    ) -> Sequence[steering.ObservedTarget]:
        """Return the targets of a pool that a route may use."""
        return _filter_by_region(
            self.get_or_create_pool(pool_name).targets, route.allowed_regions
        )

    def count_in_flight(self) -> int:
        """Return the number of requests in flight on all targets."""
        return sum(observed.in_flight for observed in self.targets.values())

    def set_senders(self, senders: int) -> None:
        """Set the number of entries that share the bounds."""
        self.senders = senders
        self.limited_targets.senders = senders
        for pool in self.pools.values():
            pool.retry_budget.slack = self._compute_slack()

    def _compute_slack(self) -> float:
        """Return this entry's part of the retry slack."""
        return self._options.retry_slack * RETRY_SHARE_USED / self.senders


def _filter_by_region(
    targets: list[steering.ObservedTarget], regions: list[ids.RegionName]
) -> list[steering.ObservedTarget]:
    if not regions:
        return targets
    return [
        observed for observed in targets if observed.record.region in regions
    ]
