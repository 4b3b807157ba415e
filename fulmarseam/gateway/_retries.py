"""Decisions on another attempt after one that failed."""

import asyncio
import dataclasses
from typing import NamedTuple

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam.gateway import _attempts
from fulmarseam.gateway import _load_balancer
from fulmarseam.gateway import _requests
from fulmarseam.gateway import _summaries


class FailedAttempt(NamedTuple):
    """Why an attempt failed, and whether another one may follow.

    If `same_target` is set, that one may use the same target.
    """

    error: errors.FulmarseamError
    may_repeat: bool
    same_target: bool = False


@dataclasses.dataclass(slots=True)
class Retries:
    """What the attempts of one request have shown so far.

    With `may_ask` the next one may wait for a permit of the leader.
    """

    pool_name: ids.PoolName
    affinity_key: str | None
    avoided: set[ids.TargetId] = dataclasses.field(default_factory=set)
    possible_run_error: errors.FulmarseamError | None = None
    may_ask: bool = True


class RetryPolicy:
    """Records how attempts fail and decides whether another one follows."""

    def __init__(self, load_balancer: _load_balancer.LoadBalancer) -> None:
        self._load_balancer = load_balancer
        self._loop = asyncio.get_running_loop()

    def may_retry_error_answer(
        self,
        context: _requests.RequestContext,
        target: steering.ObservedTarget,
        answer: _attempts.Answer,
    ) -> bool:
        """Return whether to retry, on another target, after a status 500."""
        if answer.response.status != 500 or answer.body is None:
            return False
        context.attempted.add(target.target)
        return self._try_acquire_retry(context, target)

    def _try_acquire_retry(
        self,
        context: _requests.RequestContext,
        target: steering.ObservedTarget,
    ) -> bool:
        """Count a retry of a request that may have run, if allowed."""
        now = self._loop.time()
        return (
            now < context.deadline
            and context.route.idempotent
            and context.body.can_start()
            and len(context.attempted) < context.max_attempts
            and self._load_balancer.try_acquire_retry(now, target.record.pool)
        )

    def handle_not_run(
        self,
        context: _requests.RequestContext,
        target: steering.ObservedTarget,
        attempt: _attempts.Attempt,
        error: _attempts.NotRunError,
    ) -> FailedAttempt:
        """Record that a target did not run a request; decide on a retry."""
        load_balancer = self._load_balancer
        now = self._loop.time()
        if error.is_misdirected:
            load_balancer.eject(now, target, is_reachable=True)
        elif not attempt.names_pause:
            load_balancer.record_failure(target)
        if attempt.load_report:
            load_balancer.record_load_report(now, target, attempt.load_report)
        pool_name = target.record.pool
        return FailedAttempt(
            errors.FulmarseamError(errors.ErrorKind.TARGET_SHED, str(error)),
            context.body.can_start()
            and load_balancer.try_acquire_retry(now, pool_name),
            same_target=not error.is_misdirected
            and not attempt.names_pause
            and load_balancer.is_pool_failing(now, pool_name),
        )

    def handle_failure(
        self,
        context: _requests.RequestContext,
        placement: steering.Placement,
        attempt: _attempts.Attempt,
        error: http.TargetError,
        started_at: float,
        summary: _summaries.RequestSummary,
    ) -> FailedAttempt:
        """Record an attempt without a usable answer; decide on a retry."""
        target = placement.target
        assert target is not None
        if context.caller.response_started:
            raise errors.FulmarseamError(
                errors.ErrorKind.TARGET_FAILED, error.detail
            ) from error
        load_balancer = self._load_balancer
        now = self._loop.time()
        summary.outcome = ''
        is_late = now >= context.deadline
        if attempt.progress is http.Progress.NOT_SENT:
            if load_balancer.paths.may_open(target):
                load_balancer.eject(now, target)
            kind = errors.ErrorKind.NO_CAPACITY
            return FailedAttempt(
                errors.FulmarseamError(kind, error.detail),
                context.body.can_start() and not is_late,
            )
        context.attempted.add(target.target)
        if attempt.lost_kept_connection():
            load_balancer.paths.note_kept(now, target, False)
        kind = errors.ErrorKind.TARGET_FAILED
        lost_idle_connection = False
        if error.reason is http.Reason.TIMED_OUT:
            load_balancer.record_timeout(now, placement, now - started_at)
            kind = errors.ErrorKind.TARGET_TIMEOUT
        elif error.reason is http.Reason.BROKEN and attempt.record_lost_idle():
            lost_idle_connection = True
        elif error.reason is http.Reason.MALFORMED:
            load_balancer.record_malformed(now, target)
        else:
            load_balancer.eject(now, target)
        return FailedAttempt(
            errors.FulmarseamError(kind, error.detail),
            self._try_acquire_retry(context, target),
            same_target=lost_idle_connection,
        )
