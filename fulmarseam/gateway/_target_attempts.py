"""Attempts to get a request answered by the target that was chosen."""

import asyncio
import re

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam.gateway import _admission
from fulmarseam.gateway import _attempts
from fulmarseam.gateway import _dependencies
from fulmarseam.gateway import _requests
from fulmarseam.gateway import _retries
from fulmarseam.gateway import _sending
from fulmarseam.gateway import _summaries

# Share of the connections that a target accepts which all entries together
# keep idle. The others are for requests in flight, wherever these arrive.
IDLE_CONNECTION_SHARE = 0.5

# Visible text that does not begin or end with a space.
_HEADER_VALUE = re.compile(rb'[!-~\x80-\xff]([ -~\x80-\xff]*[!-~\x80-\xff])?')


def compute_connection_limits(
    mirror: catalog.CatalogMirror, pool: ids.PoolName, senders: int
) -> tuple[int, int]:
    """Return the limits of an entry's connections to a target of a pool.

    These are the limit of all connections and that of idle ones. `senders`
    is the number of entries that share the connections of a target.
    """
    pool_item = mirror.pools.get(pool)
    limit = pool_item.max_connections if pool_item else 1
    max_idle = int(limit * IDLE_CONNECTION_SHARE)
    return limit, max(1, max_idle // senders)


def encode_target_id(target: ids.TargetId) -> bytes | None:
    """Return the header value that names a target, or None if none can.

    Requests carry headers that h11 has checked before, so nothing behind
    this would refuse a line end in the id.
    """
    try:
        value = target.encode('latin-1')
    except UnicodeEncodeError:
        return None
    return value if _HEADER_VALUE.fullmatch(value) else None


class TargetAttempts:
    """Runs attempts and records what they show of their targets."""

    def __init__(self, dependencies: _dependencies.Dependencies) -> None:
        self._dependencies = dependencies
        self._retry_policy = _retries.RetryPolicy(dependencies.load_balancer)
        self._loop = asyncio.get_running_loop()

    async def run(
        self,
        context: _requests.RequestContext,
        placement: steering.Placement,
        summary: _summaries.RequestSummary,
    ) -> _retries.FailedAttempt | None:
        """Try one target; return None if the caller got its answer."""
        target = placement.target
        assert target is not None
        dependencies = self._dependencies
        started_at = self._loop.time()
        header_value = encode_target_id(target.target)
        if header_value is None:
            dependencies.load_balancer.eject(
                started_at, target, is_reachable=True
            )
            return _retries.FailedAttempt(
                errors.FulmarseamError(
                    errors.ErrorKind.NO_TARGET,
                    f'{target.target!r} cannot be sent in a header',
                ),
                context.body.can_start(),
            )
        limit, idle_limit = compute_connection_limits(
            dependencies.mirror,
            target.record.pool,
            dependencies.load_balancer.senders,
        )
        attempt = _attempts.Attempt(
            context,
            _attempts.Recipient(
                target.target,
                (dependencies.http_names.expected_target, header_value),
            ),
            dependencies.target_pools.get(
                target.record.address,
                limit,
                idle_limit,
            ),
            dependencies.http_names,
            self._compute_first_byte_deadline(context, target, started_at),
            may_reuse=not dependencies.crash_guard.needs_new_connection(
                context.fingerprint()
            ),
            may_open=dependencies.load_balancer.paths.may_open(target),
        )
        if context.is_trial:
            dependencies.crash_guard.start_trial(
                context.fingerprint(), target.target
            )
        try:
            answer = await attempt.run()
            # Before the answer is passed on, which may take long.
            self._note_statements(target, attempt)
            self._record_answer(placement, attempt, answer, started_at)
            if self._retry_policy.may_retry_error_answer(
                context, target, answer
            ):
                return _retries.FailedAttempt(
                    errors.FulmarseamError(
                        errors.ErrorKind.TARGET_FAILED,
                        'the target answered 500',
                    ),
                    True,
                )
            summary.status = answer.response.status
            summary.outcome = _summaries.ANSWERED
            if context.is_relayed:
                answer.response.headers.append(attempt.recipient_header)
            if answer.body is None:
                await _sending.send_answer(context, attempt, answer)
            dependencies.crash_guard.note_answered(context.fingerprint())
            if answer.body is not None:
                await _sending.send_answer(context, attempt, answer)
            return None
        except _attempts.NotRunError as error:
            return self._retry_policy.handle_not_run(
                context, target, attempt, error
            )
        except http.TargetError as error:
            is_broken = error.reason is http.Reason.BROKEN
            if is_broken and attempt.progress is not http.Progress.NOT_SENT:
                dependencies.metrics.add('broken_attempts_total')
                await _admission.note_broken(
                    context, target, attempt, dependencies.crash_guard
                )
            return self._retry_policy.handle_failure(
                context, placement, attempt, error, started_at, summary
            )
        except errors.FulmarseamError as error:
            if attempt.progress is http.Progress.NOT_SENT:
                raise
            raise errors.FulmarseamError(
                errors.ErrorKind.TARGET_FAILED,
                f'the request body broke off: {error.detail}',
            ) from error
        finally:
            if attempt.progress is not http.Progress.NOT_SENT:
                context.arrivals += 1
            self._note_statements(target, attempt)
            self._note_connection(target, attempt)
            attempt.close()

    def _note_connection(
        self, target: steering.ObservedTarget, attempt: _attempts.Attempt
    ) -> None:
        """Record what the connection of an attempt tells about the paths."""
        paths = self._dependencies.load_balancer.paths
        if attempt.has_opened:
            paths.note_opened(target)
        elif attempt.has_used_kept and attempt.has_answered:
            paths.note_kept(self._loop.time(), target, True)

    def _note_statements(
        self, target: steering.ObservedTarget, attempt: _attempts.Attempt
    ) -> None:
        """Record what an answer says about its target, once."""
        notice = attempt.take_notice()
        if notice is not None:
            self._dependencies.load_balancer.record_notice(
                self._loop.time(), target.process, notice
            )
        reading = attempt.take_limit_reading()
        if reading is not None:
            self._dependencies.rate_limits.note_reading(
                self._loop.time(), target, reading, attempt.is_served
            )

    def _compute_first_byte_deadline(
        self,
        context: _requests.RequestContext,
        target: steering.ObservedTarget,
        now: float,
    ) -> float:
        """Return when to give up on a target that has not answered yet."""
        target_count = len(context.attempted | {target.target})
        if (
            not context.route.idempotent
            or target_count >= context.max_attempts
        ):
            return context.deadline
        return now + steering.compute_attempt_timeout(
            target, context.deadline - now, now
        )

    def _record_answer(
        self,
        placement: steering.Placement,
        attempt: _attempts.Attempt,
        answer: _attempts.Answer,
        started_at: float,
    ) -> None:
        target = placement.target
        assert target is not None
        now = self._loop.time()
        load_balancer = self._dependencies.load_balancer
        if attempt.load_report:
            load_balancer.record_load_report(now, target, attempt.load_report)
        if answer.response.status >= 500:
            if not attempt.names_pause:
                load_balancer.record_failure(target)
        else:
            load_balancer.record_answer(now, placement, now - started_at)
