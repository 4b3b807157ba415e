"""The path of a caller's request through a gateway."""

import asyncio
from typing import NamedTuple

import logbook

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam.gateway import _exchange
from fulmarseam.gateway import _fleet
from fulmarseam.gateway import _http_names
from fulmarseam.gateway import _requests
from fulmarseam.gateway import _routes
from fulmarseam.gateway import _summaries

# Time kept back so that the answer reaches the caller before its deadline.
ANSWER_MARGIN_S = 0.02

_log = logbook.Logger('gateway')


class Services(NamedTuple):
    """What the path of a request uses."""

    mirror: catalog.CatalogMirror
    routes: _routes.RouteBook
    fleet: _fleet.Fleet
    connections: http.TargetPools
    http_names: _http_names.HttpNames
    metrics: telemetry.Metrics
    request_log: telemetry.RequestLog


class _Failure(NamedTuple):
    """An attempt that failed, and whether another one may follow.

    `same_target` is set when the target is as good as any other for it.
    """

    error: errors.FulmarseamError
    may_repeat: bool
    same_target: bool = False


class Forwarder:
    """Forwards callers' requests to targets."""

    def __init__(self, services: Services) -> None:
        self._services = services
        self._splitter = steering.Splitter()
        self._loop = asyncio.get_running_loop()

    async def handle(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        """Handle one request; the handler of the callers' server."""
        now = self._loop.time()
        job = _requests.Job(request, caller, now, self._services.http_names)
        summary = _summaries.RequestSummary()
        try:
            await self._serve(job, summary)
        except errors.FulmarseamError as error:
            summary.outcome = error.kind.value
            summary.detail = error.detail
            raise
        except http.CallerGoneError:
            summary.outcome = errors.ErrorKind.CALLER_GONE.value
            raise
        finally:
            self._record(job, summary)

    def _record(
        self, job: _requests.Job, summary: _summaries.RequestSummary
    ) -> None:
        """Count the request and write its line."""
        now = self._loop.time()
        services = self._services
        services.metrics.add(
            'requests_total', route=summary.route, outcome=summary.outcome
        )
        services.metrics.record(
            'request_seconds', now - job.arrived_at, outcome=summary.outcome
        )
        summary.write(services.request_log, job, now, services.mirror.revision)

    async def _serve(
        self, job: _requests.Job, summary: _summaries.RequestSummary
    ) -> None:
        """Answer a request, or raise why it cannot be."""
        services = self._services
        if not services.mirror.is_complete:
            raise errors.FulmarseamError(
                errors.ErrorKind.CONFIG_STALE,
                'the configuration is not known yet',
            )
        job.route = services.routes.match(job.host, job.path)
        summary.route = job.route.name
        self._set_deadline(job)
        pool_name = self._splitter.choose_pool(job.route)
        summary.pool = pool_name
        services.fleet.count_request(self._loop.time(), pool_name)
        await job.hold_body()
        await self._attempt_all(job, pool_name, summary)

    def _set_deadline(self, job: _requests.Job) -> None:
        stated_ms = _requests.read_deadline_ms(
            job.request, self._services.http_names
        )
        time_ms = job.route.timeout_ms
        if stated_ms is not None:
            time_ms = min(time_ms, stated_ms)
        job.deadline = job.arrived_at + time_ms / 1_000 - ANSWER_MARGIN_S

    async def _attempt_all(
        self,
        job: _requests.Job,
        pool_name: ids.PoolName,
        summary: _summaries.RequestSummary,
    ) -> None:
        """Attempt a job until it is answered or may not be repeated.

        Once an attempt may have run, that is what the caller learns,
        whatever ends a later attempt.
        """
        key = _requests.read_affinity(job.request, self._services.http_names)
        summary.key = key or ''
        avoided: set[ids.TargetId] = set()
        may_have_run: errors.FulmarseamError | None = None
        while True:
            now = self._loop.time()
            placed = self._services.fleet.place(
                now, job.route, pool_name, key, avoided, job.deadline - now
            )
            if placed.target is None:
                raise may_have_run or self._refuse(pool_name, avoided)
            summary.targets.append(placed.target.target)
            failure = await self._attempt(job, placed.target, summary)
            if failure is None:
                return
            summary.targets[-1] += f':{failure.error.kind.value}'
            if failure.error.answer.outcome is not errors.Outcome.NOT_RUN:
                may_have_run = failure.error
            if not failure.same_target:
                avoided.add(placed.target.target)
            if not failure.may_repeat:
                raise may_have_run or failure.error

    def _refuse(
        self, pool_name: ids.PoolName, avoided: set[ids.TargetId]
    ) -> errors.FulmarseamError:
        inputs = self._services.fleet.describe_pool(
            self._loop.time(), pool_name
        )
        if avoided:
            return errors.FulmarseamError(
                errors.ErrorKind.TARGET_SHED,
                f'{len(avoided)} targets did not run it, no other has room: '
                + inputs,
            )
        return errors.FulmarseamError(
            errors.ErrorKind.NO_CAPACITY, f'no target has room: {inputs}'
        )

    async def _attempt(
        self,
        job: _requests.Job,
        target: steering.ObservedTarget,
        summary: _summaries.RequestSummary,
    ) -> _Failure | None:
        """Use a target; None when the caller has its answer."""
        services = self._services
        started = self._loop.time()
        pool_item = services.mirror.pools.get(target.record.pool)
        limit = pool_item.max_connections if pool_item else 1
        exchange = _exchange.Exchange(
            job,
            target,
            services.connections.get(target.record.address, limit),
            services.http_names,
            self._find_patience(job, target, started),
        )
        try:
            answer = await exchange.run()
            self._note_answer(target, exchange, answer, started)
            if self._may_replace(job, target, answer):
                return _Failure(
                    errors.FulmarseamError(
                        errors.ErrorKind.TARGET_FAILED, 'answered 500'
                    ),
                    True,
                )
            summary.status = answer.response.status
            summary.outcome = _summaries.ANSWERED
            await self._pass_on(job, exchange, answer)
            return None
        except _exchange.NotRunError as error:
            return self._judge_not_run(job, target, exchange, error)
        except http.TargetError as error:
            return self._judge_failure(job, target, exchange, error, summary)
        except errors.FulmarseamError as error:
            if exchange.progress is http.Progress.NOT_SENT:
                raise
            raise errors.FulmarseamError(
                errors.ErrorKind.TARGET_FAILED,
                f'the request body broke off: {error.detail}',
            ) from error
        finally:
            exchange.close()
            services.fleet.release(target)

    def _find_patience(
        self,
        job: _requests.Job,
        target: steering.ObservedTarget,
        now: float,
    ) -> float:
        """Return until when an attempt may go without an answer."""
        tried = len(job.attempted | {target.target})
        if not job.route.idempotent or tried >= job.route.max_attempts:
            return job.deadline
        return now + steering.compute_attempt_timeout(
            target, job.deadline - now
        )

    def _note_answer(
        self,
        target: steering.ObservedTarget,
        exchange: _exchange.Exchange,
        answer: _exchange.Answer,
        started: float,
    ) -> None:
        now = self._loop.time()
        fleet = self._services.fleet
        if exchange.load_report:
            fleet.note_load(now, target, exchange.load_report)
        if answer.response.status >= 500:
            fleet.note_failure(target)
        else:
            fleet.note_answer(now, target, now - started)

    def _may_replace(
        self,
        job: _requests.Job,
        target: steering.ObservedTarget,
        answer: _exchange.Answer,
    ) -> bool:
        """Return whether a failure of a target is tried on another one."""
        if answer.response.status != 500 or answer.body is None:
            return False
        job.attempted.add(target.target)
        return self._may_repeat(job, target)

    def _may_repeat(
        self, job: _requests.Job, target: steering.ObservedTarget
    ) -> bool:
        """Count a repeat of a request that may have run, if allowed."""
        now = self._loop.time()
        return (
            now < job.deadline
            and job.route.idempotent
            and job.is_replayable
            and len(job.attempted) < job.route.max_attempts
            and self._services.fleet.take_repeat(now, target.record.pool)
        )

    async def _pass_on(
        self,
        job: _requests.Job,
        exchange: _exchange.Exchange,
        answer: _exchange.Answer,
    ) -> None:
        """Pass the answer of a target to the caller."""
        response = answer.response
        dropped = http.HOP_BY_HOP
        if answer.body is not None and job.request.method != b'HEAD':
            dropped |= {b'content-length'}
        headers = http.drop_headers(response.headers, response.fields, dropped)
        if answer.body is not None:
            if job.request.method != b'HEAD' and response.status not in (
                204,
                304,
            ):
                length = b'%d' % len(answer.body)
                headers.append((b'content-length', length))
            job.caller.start_response(
                response.status, headers, response.reason, are_checked=True
            )
            if answer.body:
                job.caller.send_data(answer.body)
            job.caller.end_response()
            return
        job.caller.start_response(
            response.status, headers, response.reason, are_checked=True
        )
        try:
            await exchange.pass_body()
        except http.TargetError as error:
            raise errors.FulmarseamError(
                errors.ErrorKind.TARGET_FAILED, error.detail
            ) from error

    def _judge_not_run(
        self,
        job: _requests.Job,
        target: steering.ObservedTarget,
        exchange: _exchange.Exchange,
        error: _exchange.NotRunError,
    ) -> _Failure:
        """Decide what follows a target's word that it ran nothing."""
        fleet = self._services.fleet
        now = self._loop.time()
        if error.is_misdirected:
            fleet.eject(now, target)
        else:
            fleet.note_failure(target)
        if exchange.load_report:
            fleet.note_load(now, target, exchange.load_report)
        pool_name = target.record.pool
        return _Failure(
            errors.FulmarseamError(errors.ErrorKind.TARGET_SHED, str(error)),
            job.is_replayable and fleet.take_repeat(now, pool_name),
            same_target=not error.is_misdirected
            and fleet.fails_evenly(now, pool_name),
        )

    def _judge_failure(
        self,
        job: _requests.Job,
        target: steering.ObservedTarget,
        exchange: _exchange.Exchange,
        error: http.TargetError,
        summary: _summaries.RequestSummary,
    ) -> _Failure:
        """Decide what follows an attempt without a usable answer."""
        if job.caller.response_started:
            raise errors.FulmarseamError(
                errors.ErrorKind.TARGET_FAILED, error.detail
            ) from error
        fleet = self._services.fleet
        now = self._loop.time()
        summary.outcome = ''
        is_late = now >= job.deadline
        if exchange.progress is http.Progress.NOT_SENT:
            fleet.eject(now, target)
            kind = errors.ErrorKind.NO_CAPACITY
            return _Failure(
                errors.FulmarseamError(kind, error.detail), not is_late
            )
        job.attempted.add(target.target)
        kind = errors.ErrorKind.TARGET_FAILED
        was_idle = False
        if error.reason is http.Reason.TIMED_OUT:
            fleet.note_time_out(now, target)
            kind = errors.ErrorKind.TARGET_TIMEOUT
        elif error.reason is http.Reason.BROKEN and exchange.note_lost_idle():
            was_idle = True
        else:
            fleet.eject(now, target)
        return _Failure(
            errors.FulmarseamError(kind, error.detail),
            self._may_repeat(job, target),
            same_target=was_idle,
        )
