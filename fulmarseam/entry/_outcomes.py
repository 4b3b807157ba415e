"""What the end of an attempt means for target, suspect and caller."""

import asyncio
from typing import NamedTuple

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.entry import _attempts
from fulmarseam.entry import _claims
from fulmarseam.entry import _peers
from fulmarseam.entry import _pools
from fulmarseam.entry import _requests
from fulmarseam.entry import _suspects


class FailedAttempt(NamedTuple):
    """Why an attempt failed and whether another one is allowed."""

    error: errors.FulmarseamError
    may_repeat: bool


class OutcomeHandler:
    """Counts the outcomes of attempts and decides on what callers learn."""

    def __init__(
        self,
        pools: _pools.Pools,
        suspects: _suspects.Suspects,
        peers: _peers.Peers,
    ) -> None:
        self._pools = pools
        self._suspects = suspects
        self._peers = peers
        self._loop = asyncio.get_running_loop()

    def record_response(
        self,
        context: _requests.RequestContext,
        placement: _pools.Placement,
        status: int,
        started: float,
    ) -> None:
        now = self._loop.time()
        target = placement.choice.target
        outcomes = self._pools.outcomes
        if status >= 500:
            outcomes.record_failure(now, target)
        else:
            outcomes.record_success(now, target, now - started)
        self._pools.get(placement.pool).record_service(now - started)
        suspects = self._suspects
        if suspects.may_exist() and suspects.table.clear(
            context.fingerprint()
        ):
            self._peers.announce(
                wire.StrikeNotice(
                    fingerprint=context.fingerprint(),
                    target=target,
                    cleared=True,
                )
            )

    async def handle_failure(
        self,
        context: _requests.RequestContext,
        placement: _pools.Placement,
        attempt: _attempts.Attempt,
        error: http.TargetError | _attempts.TargetShedError,
    ) -> FailedAttempt:
        """Count a failed attempt and decide on what the caller learns."""
        target = placement.choice.target
        if isinstance(error, http.TargetError) and (
            error.reason is http.Reason.NO_CONNECTION_LEFT
        ):
            return self._fail(
                context, errors.ErrorKind.NO_CAPACITY, error, True
            )
        self._pools.outcomes.record_failure(self._loop.time(), target)
        if isinstance(error, _attempts.TargetShedError):
            return self._fail(
                context, errors.ErrorKind.TARGET_SHED, error, True
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
        state = steering.SuspectState.CLEAR
        if error.reason is http.Reason.BROKEN:
            state = await self._strike(context, target)
        if state is steering.SuspectState.QUARANTINED:
            return FailedAttempt(make_quarantine_error(), False)
        return self._fail(
            context,
            errors.ErrorKind.TARGET_FAILED,
            error,
            context.route.idempotent,
        )

    async def _strike(
        self, context: _requests.RequestContext, target: ids.TargetId
    ) -> steering.SuspectState:
        fingerprint = context.fingerprint()
        state = self._suspects.strike(fingerprint, target)
        await self._peers.announce_strike(
            wire.StrikeNotice(fingerprint=fingerprint, target=target)
        )
        return state

    def _fail(
        self,
        context: _requests.RequestContext,
        kind: errors.ErrorKind,
        error: Exception,
        may_repeat: bool,
    ) -> FailedAttempt:
        repeatable = (
            may_repeat
            and context.replayable
            and not context.caller.response_started
            and not context.caller.gone
            and self._loop.time() < context.deadline
        )
        return FailedAttempt(
            errors.FulmarseamError(kind, str(error)), repeatable
        )


def settle_claim(
    claim: _claims.Claim | None,
    attempt: _attempts.Attempt,
    error: BaseException,
) -> None:
    """End the claim of a failed attempt by what is known about it."""
    if claim is None:
        return
    if isinstance(error, _attempts.TargetShedError):
        return
    if attempt.progress is http.Progress.NOT_SENT:
        return
    claim.finish(None)


def make_quarantine_error() -> errors.FulmarseamError:
    """Return the error for a request that made two targets fail."""
    return errors.FulmarseamError(
        errors.ErrorKind.QUARANTINED,
        'two targets failed while they ran this request',
    )
