"""Forwarding of callers' requests to targets, with retries."""

import asyncio
from collections.abc import Iterator
from collections.abc import Set
import contextlib
import functools

import logbook

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import relay
from fulmarseam import steering
from fulmarseam.gateway import _admission
from fulmarseam.gateway import _dependencies
from fulmarseam.gateway import _quotas
from fulmarseam.gateway import _refusals
from fulmarseam.gateway import _relaying
from fulmarseam.gateway import _requests
from fulmarseam.gateway import _retries
from fulmarseam.gateway import _summaries
from fulmarseam.gateway import _target_attempts

# Time reserved so that the answer reaches the caller before its deadline.
ANSWER_MARGIN_S = 0.02

_log = logbook.Logger('gateway')


class Forwarder:
    """Forwards callers' requests to targets."""

    def __init__(self, dependencies: _dependencies.Dependencies) -> None:
        self._dependencies = dependencies
        self._target_attempts = _target_attempts.TargetAttempts(dependencies)
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
        dependencies.organisations.note_end(context, summary.outcome)
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
        context.matched_route = dependencies.routes.match(
            context.host, context.path
        )
        context.route = context.matched_route
        summary.route = context.route.name
        self._identify(context, summary)
        context.max_attempts = context.route.max_attempts
        attempts_left = _requests.read_attempts_left(
            context.request, dependencies.http_names
        )
        if attempts_left is not None:
            context.max_attempts = min(context.max_attempts, attempts_left)
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

    def _identify(
        self,
        context: _requests.RequestContext,
        summary: _summaries.RequestSummary,
    ) -> None:
        """Check the key of the caller, which may have been removed."""
        self._dependencies.organisations.check(context)
        if context.organisation is not None:
            summary.organisation = context.organisation.name

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
        retries = _retries.Retries(pool_name, affinity_key)
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
        retries: _retries.Retries,
        summary: _summaries.RequestSummary,
    ) -> bool:
        """Place a request and try it; return whether it was answered.

        Raises `errors.FulmarseamError` if no further attempt is allowed.
        """
        try:
            self._identify(context, summary)
            claim = await self._dependencies.quotas.claim(
                context.organisation,
                functools.partial(self._may_relay, context, retries.pool_name),
            )
        except errors.FulmarseamError as error:
            raise retries.possible_run_error or error from None
        with claim:
            context.caller.require_present()
            return await self._place_and_try(context, retries, summary, claim)

    async def _place_and_try(
        self,
        context: _requests.RequestContext,
        retries: _retries.Retries,
        summary: _summaries.RequestSummary,
        claim: _quotas.Claim,
    ) -> bool:
        """Place a request and try it, like `_attempt_once`."""
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
            # The entry that sends the request to a target counts it.
            claim.give_back()
            return await self._relay_or_refuse(context, retries, summary)
        with self._hold(placement.target):
            if claim.refusal is not None:
                raise retries.possible_run_error or claim.refusal
            if not await self._acquire_permit(context, placement.target):
                # Other targets are tried without asking the leader again.
                retries.may_ask = False
                return False
            try:
                # The wait for the permit may have been long.
                self._identify(context, summary)
            except errors.FulmarseamError as error:
                raise retries.possible_run_error or error from None
            self._note_placement(placement, now, summary)
            with claim.use():
                failure = await self._target_attempts.run(
                    context, placement, summary
                )
        if failure is None:
            return True
        summary.targets[-1] += f':{failure.error.kind.value}'
        if failure.error.answer.outcome is errors.Outcome.NOT_RUN:
            claim.is_used = False
        else:
            retries.possible_run_error = failure.error
        if not failure.same_target:
            retries.avoided.add(placement.target.target)
        if not failure.may_repeat:
            raise retries.possible_run_error or failure.error
        return False

    @contextlib.contextmanager
    def _hold(self, target: steering.ObservedTarget) -> Iterator[None]:
        """Count a placed request at its target until the context ends."""
        try:
            yield
        finally:
            self._dependencies.load_balancer.release(target)

    async def _relay_or_refuse(
        self,
        context: _requests.RequestContext,
        retries: _retries.Retries,
        summary: _summaries.RequestSummary,
    ) -> bool:
        """Relay a request that no target of this entry can take.

        Raises `errors.FulmarseamError` if it must not be relayed, or if no
        other entry answers it.
        """
        dependencies = self._dependencies
        now = self._loop.time()
        failure = relay.RelayFailure()
        if self._may_relay(context, retries.pool_name):
            if context.is_trial:
                # The other entry asks for a trial by itself.
                context.is_trial = False
                dependencies.crash_guard.end_trial(context.fingerprint())
            relayed = await dependencies.relayer.relay_request(
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

    def _may_relay(
        self, context: _requests.RequestContext, pool_name: ids.PoolName
    ) -> bool:
        """Return whether another entry may serve a request."""
        return (
            not context.is_relayed
            and context.body.can_start()
            and len(context.attempted) < context.max_attempts
            and self._dependencies.load_balancer.is_out_of_reach(
                self._loop.time(), context.route, pool_name
            )
        )

    async def _acquire_permit(
        self,
        context: _requests.RequestContext,
        target: steering.ObservedTarget,
    ) -> bool:
        """Return whether the target may get the request now.

        Raises `http.CallerGoneError` if the caller has left while the
        request waited for the leader.
        """
        is_permitted = await self._dependencies.permits.acquire(target.target)
        context.caller.require_present()
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
