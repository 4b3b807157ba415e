"""The path of a caller's request through an entry."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import logbook

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam import relay
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.entry import _answers
from fulmarseam.entry import _attempts
from fulmarseam.entry import _claims
from fulmarseam.entry import _outcomes
from fulmarseam.entry import _pacing
from fulmarseam.entry import _placement
from fulmarseam.entry import _pools
from fulmarseam.entry import _relaying
from fulmarseam.entry import _requests
from fulmarseam.entry import _state

MAX_ATTEMPTS = 3
# Number of callers of retired routes that have a metric label of their own;
# further ones are counted as "other".
MAX_RETIRED_CALLERS = 1_000

_log = logbook.Logger('entry')


class Dependencies(NamedTuple):
    """Objects that the proxy uses."""

    state: _state.SharedState
    pools: _pools.Pools
    target_pools: http.TargetPools
    crash_guard: quarantine.CrashGuard
    relayer: _relaying.Relayer
    count_active: Callable[[], int]
    claims: _claims.Claims
    metrics: telemetry.Metrics
    tracer: telemetry.Tracer
    region: ids.RegionName


class Proxy:
    """Runs callers' requests on targets."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._state = dependencies.state
        self._pools = dependencies.pools
        self._outcome_handler = _outcomes.OutcomeHandler(
            dependencies.pools, dependencies.crash_guard
        )
        self._scheduler = _placement.Scheduler(
            dependencies.pools, dependencies.crash_guard
        )
        self._loop = asyncio.get_running_loop()
        self.relayed_requests = relay.RelayedRequests()
        self._request_counts: dict[tuple[str, str], int] = {}
        self._retired_callers: set[tuple[str, str]] = set()

    async def handle(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        """Handle one request of the callers' listener."""
        started = self._loop.time()
        route = ''
        kind = ''
        try:
            context = self._admit(request, caller, started)
            route = context.route.name
            if context.is_relayed:
                await self._run_relayed(context)
            else:
                await self._run(context)
        except errors.FulmarseamError as error:
            kind = error.kind.value
            raise
        except http.CallerGoneError:
            kind = errors.ErrorKind.CALLER_GONE.value
            raise
        finally:
            count_key = (route, kind)
            self._request_counts[count_key] = (
                self._request_counts.get(count_key, 0) + 1
            )
            if not kind:
                elapsed = self._loop.time() - started
                self._dependencies.metrics.record(
                    'request_seconds', elapsed, route=route
                )

    def flush_counts(self) -> None:
        """Add the request counts to the metrics; called periodically."""
        for (route, kind), count in self._request_counts.items():
            self._dependencies.metrics.add(
                'requests_total', count, route=route, kind=kind
            )
        self._request_counts.clear()

    def _admit(
        self, request: http.Request, caller: http.CallerConnection, now: float
    ) -> _requests.RequestContext:
        """Return the context of a request, or refuse the request."""
        if not self._state.is_current(now):
            raise errors.FulmarseamError(
                errors.ErrorKind.CONFIG_STALE,
                'the configuration is not confirmed by the control leader',
            )
        context = _requests.RequestContext(request, caller, now)
        context.route = self._match_route(context)
        context.request_id = _requests.read_request_id(request)
        self._dependencies.claims.check_request_id(context)
        pool = self._pools.get(context.route.pool)
        context.deadline = (
            now + self._find_deadline_ms(context, pool.pool) / 1_000
        )
        pool.arrivals += 1
        pool.retry_budget.count_request()
        self._state.shifts.count_arrival(context.route.pool)
        return context

    def _match_route(self, context: _requests.RequestContext) -> wire.Route:
        match = steering.match_route(
            self._state.routes, context.host, context.path, context.method
        )
        if match.route is None:
            if match.methods:
                raise _answers.AllowError(match.methods)
            raise errors.FulmarseamError(
                match.kind or errors.ErrorKind.NO_ROUTE,
                f'no route for {context.host} {context.path}',
            )
        if match.route.retired:
            self._count_retired(match.route, context.caller.remote_address)
            raise errors.FulmarseamError(
                errors.ErrorKind.ROUTE_RETIRED,
                f'route {match.route.name} is retired',
            )
        return match.route

    def _count_retired(self, route: wire.Route, address: str) -> None:
        metrics = self._dependencies.metrics
        metrics.add('retired_requests_total', route=route.name)
        caller_key = (route.name, address)
        if caller_key not in self._retired_callers:
            if len(self._retired_callers) >= MAX_RETIRED_CALLERS:
                address = 'other'
            else:
                self._retired_callers.add(caller_key)
        metrics.add(
            'retired_caller_requests_total', route=route.name, caller=address
        )

    def _find_deadline_ms(
        self, context: _requests.RequestContext, pool: wire.Pool
    ) -> int:
        limit_ms = min(context.route.deadline_ms, pool.max_deadline_ms)
        requested_ms = _requests.read_deadline_ms(context.request)
        if requested_ms == 0:
            raise errors.FulmarseamError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                'Fulmarseam-Deadline-Ms: found 0, expected 1 or more',
            )
        return (
            limit_ms if requested_ms is None else min(limit_ms, requested_ms)
        )

    async def _run_relayed(self, context: _requests.RequestContext) -> None:
        """Run a request that another entry relays."""
        self.relayed_requests.start(self._dependencies.count_active())
        try:
            await self._run(context)
        except errors.FulmarseamError as error:
            error.arrivals = context.arrivals
            raise
        finally:
            self.relayed_requests.finish()

    async def _run(self, context: _requests.RequestContext) -> None:
        """Run a request with its deadline timer, trace span and claim."""
        signal = context.caller.signal
        assert signal is not None
        timer = self._loop.call_at(context.deadline, signal.notify)
        parent = context.request.fields.get(_attempts.TRACEPARENT_HEADER)
        span = self._dependencies.tracer.start_span(
            'request',
            None if parent is None else parent.decode('latin-1'),
            {'route': context.route.name, 'method': context.method},
        )
        try:
            with span:
                context.traceparent = span.traceparent()
                if not context.caller.body_done:
                    await context.read_prefix()
                if self._is_out_of_reach(context):
                    await self._dependencies.relayer.relay_request(context)
                    return
                claim = self._dependencies.claims.create_claim(context)
                try:
                    await self._run_claimed(context, claim)
                finally:
                    if claim is not None:
                        claim.close()
        finally:
            timer.cancel()

    def _is_out_of_reach(self, context: _requests.RequestContext) -> bool:
        """Return whether another entry has to run a request.

        Raises `errors.FulmarseamError` if another one relays it already.
        """
        pool_name = context.route.pool
        unreachable = self._pools.find_unreachable(pool_name)
        if not unreachable or len(unreachable) < len(
            self._pools.list_targets(pool_name)
        ):
            return False
        if context.is_relayed:
            raise errors.FulmarseamError(
                errors.ErrorKind.NO_TARGET,
                'this entry has lost its paths to the targets',
            )
        return True

    async def _run_claimed(
        self, context: _requests.RequestContext, claim: _claims.Claim | None
    ) -> None:
        """Make attempts until one succeeds or no retry is allowed.

        Once an attempt may have run the request, its error is what the
        caller gets, whatever error ends a later attempt.
        """
        if claim is not None and not await claim.acquire():
            return
        avoided = self._pools.find_unreachable(context.route.pool)
        pool = self._pools.get(context.route.pool)
        # Without a claim nothing keeps a request that is not idempotent from
        # running twice.
        is_retryable = context.route.idempotent or claim is not None
        attempts = MAX_ATTEMPTS if is_retryable else 1
        may_have_run: errors.FulmarseamError | None = None
        for attempts_left in range(attempts - 1, -1, -1):
            try:
                placement = await self._scheduler.wait_for_slot(
                    context, pool, avoided
                )
                failed = await self._run_attempt(context, placement, claim)
            except errors.FulmarseamError as error:
                if may_have_run is None:
                    raise
                raise may_have_run from error
            if failed is None:
                return
            if failed.error.answer.outcome is not errors.Outcome.NOT_RUN:
                may_have_run = failed.error
            avoided |= {placement.choice.target}
            if not attempts_left or not failed.may_repeat:
                raise may_have_run or failed.error
            if (
                not self._has_untried_target(pool, avoided)
                or not pool.retry_budget.try_acquire()
            ):
                raise may_have_run or failed.error
            self._dependencies.metrics.add(
                'retries_total', pool=pool.pool.name
            )

    def _has_untried_target(
        self, pool: _pools.PoolState, avoided: frozenset[ids.TargetId]
    ) -> bool:
        """Return whether the pool has a ready target not tried yet."""
        return any(
            row.report.pool == pool.pool.name
            and row.report.target not in avoided
            for row in self._state.targets.ready()
        )

    async def _run_attempt(
        self,
        context: _requests.RequestContext,
        placement: _pools.Placement,
        claim: _claims.Claim | None,
    ) -> _outcomes.FailedAttempt | None:
        """Run an attempt and release its slot; None on success."""
        attempt = None
        process = self._pools.find_process(placement.choice.target)
        try:
            attempt = self._make_attempt(context, placement)
            return await self._forward(context, placement, attempt, claim)
        finally:
            if attempt is not None and attempt.notice is not None:
                self._pools.record_notice(
                    self._loop.time(), process, attempt.notice
                )
            if attempt is not None and attempt.has_opened:
                reachability = self._pools.get(placement.pool).reachability
                reachability.note_reached(placement.choice.target)
            sent = attempt is not None and (
                attempt.progress is not http.Progress.NOT_SENT
            )
            context.arrivals += sent
            self._scheduler.release(context, placement, sent)

    async def _forward(
        self,
        context: _requests.RequestContext,
        placement: _pools.Placement,
        attempt: _attempts.Attempt,
        claim: _claims.Claim | None,
    ) -> _outcomes.FailedAttempt | None:
        """Run an attempt and record its outcome in the claim."""
        attempt.store_answer = claim is not None
        started = self._loop.time()
        try:
            status = await attempt.run()
        except (http.TargetError, _attempts.TargetShedError) as error:
            failed = await self._outcome_handler.handle_failure(
                context, placement, attempt, error
            )
            _outcomes.settle_claim(claim, attempt, error)
            return failed
        except errors.FulmarseamError as error:
            _outcomes.settle_claim(claim, attempt, error)
            if attempt.progress is http.Progress.NOT_SENT:
                raise
            raise errors.FulmarseamError(
                errors.ErrorKind.TARGET_FAILED,
                f'the request body ended early: {error.detail}',
            ) from error
        except BaseException as error:
            _outcomes.settle_claim(claim, attempt, error)
            raise
        self._outcome_handler.record_response(
            context, placement, attempt, status, started
        )
        if claim is not None:
            claim.finish(attempt.stored_answer)
        return None

    def _make_attempt(
        self, context: _requests.RequestContext, placement: _pools.Placement
    ) -> _attempts.Attempt:
        dependencies = self._dependencies
        choice = placement.choice
        now = self._loop.time()
        share = self._state.slots.connection_share(now, choice.target)
        pool = dependencies.target_pools.get(choice.address, share)
        pacers = None
        if choice.is_remote:
            pacers = self._make_pacers(context, choice.region)
        return _attempts.Attempt(
            context,
            choice,
            pool,
            pacers,
            not dependencies.crash_guard.needs_new_connection(
                context.fingerprint()
            ),
        )

    def _make_pacers(
        self, context: _requests.RequestContext, region: ids.RegionName
    ) -> tuple[_pacing.Pacer, _pacing.Pacer]:
        own_region = self._dependencies.region
        signal = context.caller.signal
        assert signal is not None
        links = self._state.links
        return (
            _pacing.Pacer(links, f'{own_region}>{region}', signal.notify),
            _pacing.Pacer(links, f'{region}>{own_region}', signal.notify),
        )
