"""Effects of a finished attempt on target, crash suspect and caller."""

import asyncio
from typing import NamedTuple

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import quarantine
from fulmarseam.entry import _attempts
from fulmarseam.entry import _claims
from fulmarseam.entry import _pools
from fulmarseam.entry import _requests


class FailedAttempt(NamedTuple):
    """Why an attempt failed and whether another one is allowed."""

    error: errors.FulmarseamError
    may_repeat: bool


class OutcomeHandler:
    """Counts outcomes of attempts and selects the errors for callers."""

    def __init__(
        self,
        pools: _pools.Pools,
        crash_guard: quarantine.CrashGuard,
    ) -> None:
        self._pools = pools
        self._crash_guard = crash_guard
        self._loop = asyncio.get_running_loop()

    def record_response(
        self,
        context: _requests.RequestContext,
        placement: _pools.Placement,
        attempt: _attempts.Attempt,
        status: int,
        started: float,
    ) -> None:
        now = self._loop.time()
        target = placement.choice.target
        outcomes = self._pools.outcomes
        if status >= 500:
            if not attempt.names_pause():
                outcomes.record_failure(now, target)
        else:
            outcomes.record_success(now, target, now - started)
        self._pools.get(placement.pool).record_service_time(now - started)
        self._crash_guard.note_answered(context.fingerprint())

    async def handle_failure(
        self,
        context: _requests.RequestContext,
        placement: _pools.Placement,
        attempt: _attempts.Attempt,
        error: http.TargetError | _attempts.TargetShedError,
    ) -> FailedAttempt:
        """Count a failed attempt and select the error for the caller."""
        target = placement.choice.target
        if isinstance(error, http.TargetError) and (
            error.reason is http.Reason.NO_CONNECTION_LEFT
        ):
            return self._fail(
                context, errors.ErrorKind.NO_CAPACITY, error, True
            )
        if not attempt.names_pause():
            self._pools.outcomes.record_failure(self._loop.time(), target)
        if isinstance(error, _attempts.TargetShedError):
            return self._fail(
                context, errors.ErrorKind.TARGET_SHED, error, True
            )
        if attempt.progress is http.Progress.NOT_SENT or (
            error.reason is http.Reason.BROKEN
        ):
            self._pools.note_unreachable(
                self._loop.time(), placement.pool, target
            )
        if attempt.progress is http.Progress.NOT_SENT:
            kind = errors.ErrorKind.NO_TARGET
            if error.reason is http.Reason.TIMED_OUT:
                kind = errors.ErrorKind.DEADLINE_UNREACHABLE
            return self._fail(context, kind, error, True)
        if error.reason is http.Reason.TIMED_OUT:
            return self._fail(
                context, errors.ErrorKind.TARGET_TIMEOUT, error, False
            )
        if error.reason is http.Reason.BROKEN:
            is_strike = await self._crash_guard.note_broken(
                context.fingerprint(),
                target,
                self._pools.find_incarnation(target),
                context.is_trial,
                attempt.get_listening_check(),
            )
            if is_strike and context.is_trial:
                return FailedAttempt(make_quarantine_error(), False)
        return self._fail(
            context,
            errors.ErrorKind.TARGET_FAILED,
            error,
            context.route.idempotent,
        )

    def _fail(
        self,
        context: _requests.RequestContext,
        kind: errors.ErrorKind,
        error: Exception,
        may_repeat: bool,
    ) -> FailedAttempt:
        retryable = (
            may_repeat
            and context.body.can_start()
            and not context.caller.response_started
            and not context.caller.gone
            and self._loop.time() < context.deadline
        )
        return FailedAttempt(
            errors.FulmarseamError(kind, str(error)), retryable
        )


def settle_claim(
    claim: _claims.Claim | None,
    attempt: _attempts.Attempt,
    error: BaseException,
) -> None:
    """Finish the claim of a failed attempt that may have run the request.

    The claim of a request that has not run is kept, for a retry or release.
    """
    if claim is None:
        return
    if isinstance(error, _attempts.TargetShedError):
        return
    if attempt.progress is http.Progress.NOT_SENT:
        return
    claim.finish(None)


def make_quarantine_error() -> errors.FulmarseamError:
    """Return the error for a request that broke two targets."""
    return errors.FulmarseamError(
        errors.ErrorKind.QUARANTINED,
        'two targets failed while running this request',
    )
