"""Admission of requests that may end the targets that run them."""

import asyncio
import functools

import logbook

from fulmarseam import errors
from fulmarseam import quarantine
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam.gateway import _attempts
from fulmarseam.gateway import _requests

# A copy of a request that runs as a trial waits for its outcome this long.
MAX_TRIAL_WAIT_S = 1.0
# A target that has ended refuses a connection within a round trip of 40 ms.
PROBE_TIMEOUT_S = 0.2

_log = logbook.Logger('gateway')


async def admit(
    context: _requests.RequestContext, crash_guard: quarantine.CrashGuard
) -> bool:
    """Return whether a request runs as a trial, once it may run.

    Raises `errors.FulmarseamError` if it must not run, and
    `http.CallerGoneError` if the caller has left while it waited.
    """
    loop = asyncio.get_running_loop()
    wait_until = min(loop.time() + MAX_TRIAL_WAIT_S, context.deadline)
    while True:
        now = loop.time()
        admission = await crash_guard.admit(
            context.fingerprint(), context.deadline - now
        )
        verdict = admission.verdict
        if verdict in (quarantine.Verdict.FREE, quarantine.Verdict.TRIAL):
            return verdict is quarantine.Verdict.TRIAL
        if verdict is quarantine.Verdict.REFUSE or now >= wait_until:
            raise crash_guard.make_refusal(
                admission, errors.ErrorKind.SUSPECTED
            )
        timer = loop.call_later(admission.wait_s, context.signal.notify)
        try:
            await context.signal.wait()
        finally:
            timer.cancel()
        context.caller.require_present()


async def note_broken(
    context: _requests.RequestContext,
    target: steering.ObservedTarget,
    attempt: _attempts.Attempt,
    crash_guard: quarantine.CrashGuard,
) -> None:
    """Record a connection that broke while a target may have run a request.

    The fingerprint in the log links the copies of a request.
    """
    _log.info(
        telemetry.format_event(
            'attempt_broken',
            id=(context.request_id or b'').decode('latin-1'),
            fingerprint=context.fingerprint().full.hex(),
            target=target.target,
            address=target.record.address,
        )
    )
    is_listening = None
    if attempt.lost_kept_connection():
        is_listening = functools.partial(
            attempt.pool.is_listening, PROBE_TIMEOUT_S
        )
    await crash_guard.note_broken(
        context.fingerprint(),
        target.target,
        target.record.born_ms,
        context.is_trial,
        is_listening,
    )
