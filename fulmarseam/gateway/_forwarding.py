"""Forwarding of callers' requests to targets, with retries."""

import asyncio
from collections.abc import Callable
from collections.abc import Set
import dataclasses
from typing import NamedTuple

import logbook

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam import relay
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam.gateway import _admission
from fulmarseam.gateway import _attempts
from fulmarseam.gateway import _http_names
from fulmarseam.gateway import _load_balancer
from fulmarseam.gateway import _pauses
from fulmarseam.gateway import _permits
from fulmarseam.gateway import _rate_limits
from fulmarseam.gateway import _refusals
from fulmarseam.gateway import _relaying
from fulmarseam.gateway import _requests
from fulmarseam.gateway import _routes
from fulmarseam.gateway import _sending
from fulmarseam.gateway import _summaries

# Time reserved so that the answer reaches the caller before its deadline.
ANSWER_MARGIN_S = 0.02
# Share of the connections that a target accepts which all entries together
# keep idle. The others are for requests in flight, wherever these arrive.
IDLE_CONNECTION_SHARE = 0.5

_log = logbook.Logger('gateway')


class Dependencies(NamedTuple):
    """The objects that a forwarder uses."""

    mirror: catalog.CatalogMirror
    routes: _routes.RouteTable
    load_balancer: _load_balancer.LoadBalancer
    rate_limits: _rate_limits.RateLimits
    permits: _permits.PermitClient
    target_pools: http.TargetPools
    http_names: _http_names.HttpNames
    metrics: telemetry.Metrics
    request_log: telemetry.RequestLog
    pause_guard: _pauses.PauseGuard
    crash_guard: quarantine.CrashGuard
    relayer: _relaying.Relayer
    count_active: Callable[[], int]


class _FailedAttempt(NamedTuple):
    """Why an attempt failed, and whether another one may follow.

    If `same_target` is set, that one may use the same target.
    """

    error: errors.FulmarseamError
    may_repeat: bool
    same_target: bool = False


@dataclasses.dataclass(slots=True)
class _Retries:
    """What the attempts of one request have shown so far.

    With `may_ask` the next one may wait for a permit of the leader.
    """

    pool_name: ids.PoolName
    affinity_key: str | None
    avoided: set[ids.TargetId] = dataclasses.field(default_factory=set)
    possible_run_error: errors.FulmarseamError | None = None
    may_ask: bool = True


class Forwarder:
    """Forwards callers' requests to targets."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._splitter = steering.Splitter()
        self._refusals = _refusals.Refusals(dependencies.load_balancer)
        self.relayed_requests = relay.RelayedRequests()
        # Requests whose deadline is later are refused, as the process ends.
        self.last_deadline = float('inf')
        self._loop = asyncio.get_running_loop()

    async def handle(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        """Handle one request of the server for callers."""
        now = self._loop.time()
        context = _requests.RequestContext(
            request, caller, now, self._dependencies.http_names
        )
        summary = _summaries.RequestSummary()
        try:
            if context.is_relayed:
                await self._process_relayed(context, summary)
            else:
                await self._process(context, summary)
        except errors.FulmarseamError as error:
            summary.outcome = error.kind.value
            summary.detail = error.detail
            if not context.is_relayed or caller.response_started:
                raise
            _relaying.send_error(context, error, self._dependencies.http_names)
        except http.CallerGoneError:
            summary.outcome = errors.ErrorKind.CALLER_GONE.value
            raise
        finally:
            self._record(context, summary)

    def _record(
        self,
        context: _requests.RequestContext,
        summary: _summaries.RequestSummary,
    ) -> None:
        """Update the metrics and write the log line of a request."""
        now = self._loop.time()
        dependencies = self._dependencies
        dependencies.metrics.add(
            'requests_total', route=summary.route, outcome=summary.outcome
        )
        dependencies.metrics.record(
            'request_seconds',
            now - context.arrived_at,
            outcome=summary.outcome,
        )
        summary.write(
            dependencies.request_log,
            context,
            now,
            dependencies.mirror.revision,
        )

    async def _process_relayed(
        self,
        context: _requests.RequestContext,
        summary: _summaries.RequestSummary,
    ) -> None:
        """Answer a request that another entry relays."""
        self.relayed_requests.start(self._dependencies.count_active())
        try:
            await self._process(context, summary)
        finally:
            self.relayed_requests.finish()

    async def _process(
        self,
        context: _requests.RequestContext,
        summary: _summaries.RequestSummary,
    ) -> None:
        """Answer a request, or raise the error that the caller gets."""
        dependencies = self._dependencies
        if not dependencies.mirror.is_complete:
            raise errors.FulmarseamError(
                errors.ErrorKind.CONFIG_STALE,
                'the configuration is not known yet',
            )
        await dependencies.pause_guard.wait_until_fresh()
        context.route = dependencies.routes.match(context.host, context.path)
        context.max_attempts = context.route.max_attempts
        attempts_left = _requests.read_attempts_left(
            context.request, dependencies.http_names
        )
        if attempts_left is not None:
            context.max_attempts = min(context.max_attempts, attempts_left)
        summary.route = context.route.name
        self._set_deadline(context)
        if context.deadline > self.last_deadline:
            raise errors.FulmarseamError(
                errors.ErrorKind.ENTRY_DRAINING,
                'the entry stops before the deadline of the request',
            )
        pool_name = self._splitter.choose_pool(context.route)
        summary.pool = pool_name
        if not context.is_relayed:
            # The entry that relays a request has counted it.
            dependencies.load_balancer.count_request(
                self._loop.time(), pool_name
            )
        await context.buffer_body()
        await self._attempt_until_done(context, pool_name, summary)

    def _set_deadline(self, context: _requests.RequestContext) -> None:
        caller_timeout_ms = _requests.read_deadline_ms(
            context.request, self._dependencies.http_names
        )
        timeout_ms = context.route.timeout_ms
        if caller_timeout_ms is not None:
            timeout_ms = min(timeout_ms, caller_timeout_ms)
        context.deadline = (
            context.arrived_at + timeout_ms / 1_000 - ANSWER_MARGIN_S
        )

    async def _attempt_until_done(
        self,
        context: _requests.RequestContext,
        pool_name: ids.PoolName,
        summary: _summaries.RequestSummary,
    ) -> None:
        """Make attempts until one is answered or no retry is allowed.

        Once a target may have run the request, the caller gets the error of
        that attempt, however later attempts fail.
        """
        affinity_key = _requests.read_affinity(
            context.request, self._dependencies.http_names
        )
        summary.affinity_key = affinity_key or ''
        retries = _Retries(pool_name, affinity_key)
        while True:
            await self._dependencies.pause_guard.wait_until_fresh()
            try:
                context.is_trial = await _admission.admit(
                    context, self._dependencies.crash_guard
                )
            except errors.FulmarseamError as error:
                raise retries.possible_run_error or error from None
            try:
                if await self._attempt_once(context, retries, summary):
                    return
            finally:
                if context.is_trial:
                    self._dependencies.crash_guard.end_trial(
                        context.fingerprint()
                    )

    async def _attempt_once(
        self,
        context: _requests.RequestContext,
        retries: _Retries,
        summary: _summaries.RequestSummary,
    ) -> bool:
        """Place a request and try it; return whether it was answered.

        Raises `errors.FulmarseamError` if no further attempt is allowed.
        """
        now = self._loop.time()
        avoided: Set[ids.TargetId] = retries.avoided
        if context.is_trial:
            avoided = (
                avoided | self._dependencies.crash_guard.list_trial_targets()
            )
        placement = self._dependencies.load_balancer.place(
            now,
            context.route,
            retries.pool_name,
            retries.affinity_key,
            avoided,
            context.deadline - now,
            retries.may_ask,
        )
        if placement.target is None:
            return await self._relay_or_refuse(context, retries, summary)
        if not await self._acquire_permit(context, placement.target):
            # Other targets are tried without asking the leader again.
            retries.may_ask = False
            return False
        self._note_placement(placement, now, summary)
        failure = await self._attempt(context, placement, summary)
        if failure is None:
            return True
        summary.targets[-1] += f':{failure.error.kind.value}'
        if failure.error.answer.outcome is not errors.Outcome.NOT_RUN:
            retries.possible_run_error = failure.error
        if not failure.same_target:
            retries.avoided.add(placement.target.target)
        if not failure.may_repeat:
            raise retries.possible_run_error or failure.error
        return False

    async def _relay_or_refuse(
        self,
        context: _requests.RequestContext,
        retries: _Retries,
        summary: _summaries.RequestSummary,
    ) -> bool:
        """Relay a request that no target of this entry can take.

        Raises `errors.FulmarseamError` if it must not be relayed, or if no
        other entry answers it.
        """
        dependencies = self._dependencies
        now = self._loop.time()
        failure = relay.RelayFailure()
        if (
            not context.is_relayed
            and context.is_replayable
            and len(context.attempted) < context.max_attempts
            and dependencies.load_balancer.is_out_of_reach(
                now, context.route, retries.pool_name
            )
        ):
            if context.is_trial:
                # The other entry asks for a trial by itself.
                context.is_trial = False
                dependencies.crash_guard.end_trial(context.fingerprint())
            relayed = await dependencies.relayer.relay(
                context, retries.pool_name, summary
            )
            if relayed is None:
                return True
            failure = relayed
        raise (
            retries.possible_run_error
            or failure.error
            or self._refusals.make_error(
                now, context.route, retries.pool_name, len(retries.avoided)
            )
        )

    async def _acquire_permit(
        self,
        context: _requests.RequestContext,
        target: steering.ObservedTarget,
    ) -> bool:
        """Return whether the target may get the request now.

        Gives the target back otherwise. Raises `http.CallerGoneError` if the
        caller has left while the request waited for the leader.
        """
        is_permitted = False
        try:
            is_permitted = await self._dependencies.permits.acquire(
                target.target
            )
            if context.caller.gone:
                is_permitted = False
                raise http.CallerGoneError('the caller has left')
        finally:
            if not is_permitted:
                self._dependencies.load_balancer.release(target)
        return is_permitted

    def _note_placement(
        self,
        placement: steering.Placement,
        now: float,
        summary: _summaries.RequestSummary,
    ) -> None:
        target = placement.target
        assert target is not None
        rate_per_s = self._dependencies.load_balancer.limited_targets.get_rate(
            target.target
        )
        if rate_per_s is not None:
            self._dependencies.metrics.add('limited_attempts_total')
        summary.add_placement(placement, now, rate_per_s)

    async def _attempt(
        self,
        context: _requests.RequestContext,
        placement: steering.Placement,
        summary: _summaries.RequestSummary,
    ) -> _FailedAttempt | None:
        """Try one target; return None if the caller got its answer."""
        target = placement.target
        assert target is not None
        dependencies = self._dependencies
        started_at = self._loop.time()
        pool_item = dependencies.mirror.pools.get(target.record.pool)
        max_connections = pool_item.max_connections if pool_item else 1
        max_idle = int(max_connections * IDLE_CONNECTION_SHARE)
        attempt = _attempts.Attempt(
            context,
            _attempts.Recipient(
                target.target,
                (
                    dependencies.http_names.expected_target,
                    target.target.encode('latin-1'),
                ),
            ),
            dependencies.target_pools.get(
                target.record.address,
                max_connections,
                max(1, max_idle // dependencies.load_balancer.senders),
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
            if self._may_retry_error_answer(context, target, answer):
                return _FailedAttempt(
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
            return self._handle_not_run(context, target, attempt, error)
        except http.TargetError as error:
            is_broken = error.reason is http.Reason.BROKEN
            if is_broken and attempt.progress is not http.Progress.NOT_SENT:
                dependencies.metrics.add('broken_attempts_total')
                await _admission.note_broken(
                    context, target, attempt, dependencies.crash_guard
                )
            return self._handle_failure(
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
            self._note_statements(target, attempt)
            self._note_connection(target, attempt)
            attempt.close()
            dependencies.load_balancer.release(target)

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
            target, context.deadline - now
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

    def _may_retry_error_answer(
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
            and context.is_replayable
            and len(context.attempted) < context.max_attempts
            and self._dependencies.load_balancer.try_acquire_retry(
                now, target.record.pool
            )
        )

    def _handle_not_run(
        self,
        context: _requests.RequestContext,
        target: steering.ObservedTarget,
        attempt: _attempts.Attempt,
        error: _attempts.NotRunError,
    ) -> _FailedAttempt:
        """Record that a target did not run a request; decide on a retry."""
        load_balancer = self._dependencies.load_balancer
        now = self._loop.time()
        if error.is_misdirected:
            load_balancer.eject(now, target, is_reachable=True)
        elif not attempt.names_pause:
            load_balancer.record_failure(target)
        if attempt.load_report:
            load_balancer.record_load_report(now, target, attempt.load_report)
        pool_name = target.record.pool
        return _FailedAttempt(
            errors.FulmarseamError(errors.ErrorKind.TARGET_SHED, str(error)),
            context.is_replayable
            and load_balancer.try_acquire_retry(now, pool_name),
            same_target=not error.is_misdirected
            and not attempt.names_pause
            and load_balancer.is_pool_failing(now, pool_name),
        )

    def _handle_failure(
        self,
        context: _requests.RequestContext,
        placement: steering.Placement,
        attempt: _attempts.Attempt,
        error: http.TargetError,
        started_at: float,
        summary: _summaries.RequestSummary,
    ) -> _FailedAttempt:
        """Record an attempt without a usable answer; decide on a retry."""
        target = placement.target
        assert target is not None
        if context.caller.response_started:
            raise errors.FulmarseamError(
                errors.ErrorKind.TARGET_FAILED, error.detail
            ) from error
        load_balancer = self._dependencies.load_balancer
        now = self._loop.time()
        summary.outcome = ''
        is_late = now >= context.deadline
        if attempt.progress is http.Progress.NOT_SENT:
            if load_balancer.paths.may_open(target):
                load_balancer.eject(now, target)
            kind = errors.ErrorKind.NO_CAPACITY
            return _FailedAttempt(
                errors.FulmarseamError(kind, error.detail), not is_late
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
        else:
            load_balancer.eject(now, target)
        return _FailedAttempt(
            errors.FulmarseamError(kind, error.detail),
            self._try_acquire_retry(context, target),
            same_target=lost_idle_connection,
        )
