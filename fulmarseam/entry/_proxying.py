"""The path of a caller's request through an entry."""

import asyncio
from typing import NamedTuple

import logbook

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.entry import _answers
from fulmarseam.entry import _attempts
from fulmarseam.entry import _claims
from fulmarseam.entry import _outcomes
from fulmarseam.entry import _pacing
from fulmarseam.entry import _peers
from fulmarseam.entry import _placement
from fulmarseam.entry import _pools
from fulmarseam.entry import _requests
from fulmarseam.entry import _state
from fulmarseam.entry import _suspects

MAX_ATTEMPTS = 3
# Callers of retired routes are counted one by one up to this number.
MAX_RETIRED_CALLERS = 1_000

_log = logbook.Logger('entry')


class Dependencies(NamedTuple):
    """What the proxy path uses."""

    state: _state.SharedState
    pools: _pools.Pools
    connections: http.TargetPools
    suspects: _suspects.Suspects
    peers: _peers.Peers
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
            dependencies.pools, dependencies.suspects, dependencies.peers
        )
        self._scheduler = _placement.Scheduler(
            dependencies.pools, dependencies.suspects
        )
        self._loop = asyncio.get_running_loop()
        self._counts: dict[tuple[str, str], int] = {}
        self._retired_callers: set[tuple[str, str]] = set()

    async def handle(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        """Handle one request; the handler of the callers' server."""
        started = self._loop.time()
        route = ''
        kind = ''
        try:
            context = self._admit(request, caller, started)
            route = context.route.name
            await self._run(context)
        except errors.FulmarseamError as error:
            kind = error.kind.value
            raise
        except http.CallerGoneError:
            kind = errors.ErrorKind.CALLER_GONE.value
            raise
        finally:
            counted = (route, kind)
            self._counts[counted] = self._counts.get(counted, 0) + 1
            if not kind:
                elapsed = self._loop.time() - started
                self._dependencies.metrics.record(
                    'request_seconds', elapsed, route=route
                )

    def flush_counts(self) -> None:
        """Pass the counts of requests on to the metrics; on a tick."""
        for (route, kind), count in self._counts.items():
            self._dependencies.metrics.add(
                'requests_total', count, route=route, kind=kind
            )
        self._counts.clear()

    def _admit(
        self, request: http.Request, caller: http.CallerConnection, now: float
    ) -> _requests.RequestContext:
        """Return the context of a request that may run, or refuse it."""
        if not self._state.is_current(now):
            raise errors.FulmarseamError(
                errors.ErrorKind.CONFIG_STALE,
                'the configuration is not confirmed by the control leader',
            )
        context = _requests.RequestContext(request, caller, now)
        context.route = self._match(context)
        context.request_id = _requests.read_request_id(request)
        self._dependencies.claims.check_key(context)
        pool = self._pools.get(context.route.pool)
        context.deadline = now + self._find_time_ms(context, pool.pool) / 1_000
        pool.arrivals += 1
        pool.budget.count_request()
        self._state.shifts.count_arrival(context.route.pool)
        return context

    def _match(self, context: _requests.RequestContext) -> wire.Route:
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
                f'route {match.route.name} was retired',
            )
        return match.route

    def _count_retired(self, route: wire.Route, address: str) -> None:
        metrics = self._dependencies.metrics
        metrics.add('retired_requests_total', route=route.name)
        known = (route.name, address)
        if known not in self._retired_callers:
            if len(self._retired_callers) >= MAX_RETIRED_CALLERS:
                address = 'other'
            else:
                self._retired_callers.add(known)
        metrics.add(
            'retired_caller_requests_total', route=route.name, caller=address
        )

    def _find_time_ms(
        self, context: _requests.RequestContext, pool: wire.Pool
    ) -> int:
        allowed = min(context.route.deadline_ms, pool.max_deadline_ms)
        stated = _requests.read_deadline_ms(context.request)
        if stated == 0:
            raise errors.FulmarseamError(
                errors.ErrorKind.DEADLINE_UNREACHABLE, 'no time left'
            )
        return allowed if stated is None else min(allowed, stated)

    async def _run(self, context: _requests.RequestContext) -> None:
        """Run a context with its deadline, its claim and its span."""
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
                claim = self._dependencies.claims.prepare(context)
                try:
                    await self._run_claimed(context, claim)
                finally:
                    if claim is not None:
                        claim.close()
        finally:
            timer.cancel()

    async def _run_claimed(
        self, context: _requests.RequestContext, claim: _claims.Claim | None
    ) -> None:
        """Attempt a context until it is answered or may not be repeated.

        Once an attempt may have run, that is what the caller learns,
        whatever ends a later attempt.
        """
        if claim is not None and not await claim.acquire():
            return
        avoided: frozenset[ids.TargetId] = frozenset()
        pool = self._pools.get(context.route.pool)
        # Without a claim nothing bounds how often the request may run.
        is_guarded = context.route.idempotent or claim is not None
        attempts = MAX_ATTEMPTS if is_guarded else 1
        may_have_run: errors.FulmarseamError | None = None
        for left in range(attempts - 1, -1, -1):
            try:
                placement = await self._scheduler.wait_for_slot(
                    context, pool, avoided
                )
                failed = await self._attempt(context, placement, claim)
            except errors.FulmarseamError as error:
                if may_have_run is None:
                    raise
                raise may_have_run from error
            if failed is None:
                return
            if failed.error.answer.outcome is not errors.Outcome.NOT_RUN:
                may_have_run = failed.error
            avoided |= {placement.choice.target}
            if not left or not failed.may_repeat:
                raise may_have_run or failed.error
            if (
                not self._has_other(pool, avoided)
                or not pool.budget.try_acquire()
            ):
                raise may_have_run or failed.error
            self._dependencies.metrics.add(
                'retries_total', pool=pool.pool.name
            )

    def _has_other(
        self, pool: _pools.PoolState, avoided: frozenset[ids.TargetId]
    ) -> bool:
        """Return whether the pool has a target that was not tried."""
        return any(
            row.report.pool == pool.pool.name
            and row.report.target not in avoided
            for row in self._state.targets.ready()
        )

    async def _attempt(
        self,
        context: _requests.RequestContext,
        placement: _pools.Placement,
        claim: _claims.Claim | None,
    ) -> _outcomes.FailedAttempt | None:
        """Use a placement; None when the caller has its answer."""
        attempt = None
        try:
            attempt = self._make_attempt(context, placement)
            return await self._forward(context, placement, attempt, claim)
        finally:
            sent = attempt is not None and (
                attempt.progress is not http.Progress.NOT_SENT
            )
            self._scheduler.release(context, placement, sent)

    async def _forward(
        self,
        context: _requests.RequestContext,
        placement: _pools.Placement,
        attempt: _attempts.Attempt,
        claim: _claims.Claim | None,
    ) -> _outcomes.FailedAttempt | None:
        """Run one attempt and settle_claim its claim."""
        attempt.keep_answer = claim is not None
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
                f'the request body broke off: {error.detail}',
            ) from error
        except BaseException as error:
            _outcomes.settle_claim(claim, attempt, error)
            raise
        self._outcome_handler.record_response(
            context, placement, status, started
        )
        if claim is not None:
            claim.finish(attempt.kept_answer)
        return None

    def _make_attempt(
        self, context: _requests.RequestContext, placement: _pools.Placement
    ) -> _attempts.Attempt:
        dependencies = self._dependencies
        choice = placement.choice
        now = self._loop.time()
        share = self._state.slots.connection_share(now, choice.target)
        pool = dependencies.connections.get(choice.address, share)
        pacers = None
        if choice.is_remote:
            pacers = self._make_pacers(context, choice.region)
        return _attempts.Attempt(context, choice, pool, pacers)

    def _make_pacers(
        self, context: _requests.RequestContext, region: ids.RegionName
    ) -> tuple[_pacing.Pacer, _pacing.Pacer]:
        own = self._dependencies.region
        signal = context.caller.signal
        assert signal is not None
        links = self._state.links
        return (
            _pacing.Pacer(links, f'{own}>{region}', signal.notify),
            _pacing.Pacer(links, f'{region}>{own}', signal.notify),
        )
