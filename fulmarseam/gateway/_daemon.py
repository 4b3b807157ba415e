"""The gateway process: its servers, periodic work and graceful stop."""

import asyncio
import contextlib

import logbook

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam import relay
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.gateway import _answers
from fulmarseam.gateway import _dependencies
from fulmarseam.gateway import _forwarding
from fulmarseam.gateway import _http_names
from fulmarseam.gateway import _load_balancer
from fulmarseam.gateway import _organisations
from fulmarseam.gateway import _permits
from fulmarseam.gateway import _poller
from fulmarseam.gateway import _quotas
from fulmarseam.gateway import _rate_limits
from fulmarseam.gateway import _relaying
from fulmarseam.gateway import _routes
from fulmarseam.gateway import _target_attempts

TICK_S = 1.0
# Fraction of the grace period for which a stopping gateway keeps listening,
# because callers use a look-up answer for three times its TTL.
LISTEN_GRACE_FRACTION = 0.75
# Fraction of the grace period after which requests in flight are cut off.
# Requests that may last longer are refused from the start of the stop on.
FINISH_GRACE_FRACTION = 0.95
# Idle connections are kept for longer than callers reuse them, which is four
# fifths of the idle timeout that they are told.
IDLE_TIMEOUT_FACTOR = 1.5
METRICS_PATH = '/metrics'

_log = logbook.Logger('gateway')


class Gateway:
    """One gateway process; `run` returns after a graceful stop."""

    def __init__(
        self,
        options: settings.GatewaySettings,
        http_names: _http_names.HttpNames,
    ) -> None:
        self.options = options
        self._http_names = http_names
        self._loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        self.metrics = telemetry.Metrics()
        self.caller_intake = http.Intake(
            http.make_rules(
                options.memory_limit,
                options.max_connections,
                options.min_progress,
                options.min_answer_progress,
                options.progress_timeout,
            ),
            lambda reason: self.metrics.add(
                'callers_closed_total', reason=reason
            ),
        )
        self.mirror = catalog.CatalogMirror()
        self._target_pools = http.TargetPools(self.caller_intake.answer_budget)
        retry_slack_from = float('-inf')
        if not options.first_start:
            retry_slack_from = self._loop.time() + options.retry_window
        self.load_balancer = _load_balancer.LoadBalancer(
            options,
            self.mirror,
            self._target_pools.has_idle,
            retry_slack_from,
        )
        self.routes = _routes.RouteTable()
        self.organisations = catalog.OrganisationTable()
        self.crash_guard = quarantine.CrashGuard(self._report_suspects)
        self.quota_stocks = steering.QuotaStocks(
            steering.QuotaBounds(
                options.quota_window,
                options.quota_overage,
                options.quota_slack,
            )
        )
        self.poller = _poller.Poller(
            options,
            self.mirror,
            self._apply_catalog,
            _poller.LoadExchange(
                self._list_observations,
                self._apply_loads,
                lambda loads: self.load_balancer.apply_region_loads(
                    self._loop.time(), loads
                ),
                lambda: self.load_balancer.wants_region_loads(
                    self._loop.time()
                ),
            ),
            self.load_balancer.limited_targets,
            self.crash_guard,
            self.quota_stocks,
        )
        self.rate_limits = _rate_limits.RateLimits(
            self.load_balancer.limited_targets
        )
        entry_id = ids.EntryId(options.host)
        self._permits = _permits.PermitClient(
            _permits.TargetExchange(
                entry_id,
                self.load_balancer.limited_targets,
                self.poller.request_permits,
            )
        )
        labels = _organisations.Labels()
        self._quota_gate = _quotas.QuotaGate(
            self.quota_stocks,
            _permits.PermitClient(
                _permits.QuotaExchange(
                    entry_id, self.quota_stocks, self.poller.request_permits
                )
            ),
            self.metrics,
            labels,
        )
        self._organisation_guard = _organisations.OrganisationGuard(
            self.organisations,
            http_names,
            self.poller.pause_guard,
            options.revoke if options.revoke_strict else None,
            self.metrics,
            labels,
        )
        self._request_log = telemetry.RequestLog()
        self._entry_pools = http.TargetPools(self.caller_intake.answer_budget)
        self.relays = relay.Relays(
            ids.RegionName(options.region), self.poller.fetch_relays
        )
        self.prober = relay.Prober(
            relay.Paths(
                self.load_balancer.paths.choose_probes,
                self.load_balancer.paths.is_cut_off,
                self._set_cut_off,
            ),
            self._target_pools.is_listening,
        )
        self._forwarder = _forwarding.Forwarder(
            _dependencies.Dependencies(
                mirror=self.mirror,
                routes=self.routes,
                organisations=self._organisation_guard,
                load_balancer=self.load_balancer,
                rate_limits=self.rate_limits,
                permits=self._permits,
                quotas=self._quota_gate,
                target_pools=self._target_pools,
                http_names=http_names,
                metrics=self.metrics,
                request_log=self._request_log,
                pause_guard=self.poller.pause_guard,
                crash_guard=self.crash_guard,
                relayer=_relaying.Relayer(
                    self.relays,
                    http_names,
                    self._entry_pools,
                    self.load_balancer,
                    self._organisation_guard,
                ),
                count_active=lambda: self.caller_server.active_requests,
            )
        )
        self.caller_server = http.Server(
            options.listen,
            self._forwarder.handle,
            _answers.make_answer,
            http.Limits(
                max_header_fields=options.max_header_fields,
                max_connections=options.max_connections,
            ),
            self.caller_intake,
        )
        self._check_server = http.Server(
            options.readiness,
            self._handle_check,
            _answers.make_answer,
            http.Limits(max_header_fields=options.max_header_fields),
            self.caller_intake,
        )
        self._register_gauges()

    def _register_gauges(self) -> None:
        """Register the gauges of the metrics page."""
        register_gauge = self.metrics.register_gauge
        register_gauge(
            'requests_running', lambda: self.caller_server.active_requests
        )
        register_gauge(
            'caller_connections', lambda: self.caller_server.connections
        )
        register_gauge('revision', lambda: self.mirror.revision)
        register_gauge('targets_ready', self.load_balancer.count_ready)
        register_gauge('organisations', lambda: len(self.organisations))
        register_gauge('organisations_limited', self.quota_stocks.count)
        register_gauge(
            'targets_limited', self.load_balancer.limited_targets.count
        )
        register_gauge(
            'requests_in_flight', self.load_balancer.count_in_flight
        )
        register_gauge('suspected_requests', self.crash_guard.count)
        register_gauge('cut_off', lambda: self.poller.is_cut_off)
        register_gauge('requests_relayed', self.relays.count_in_flight)
        register_gauge(
            'requests_of_entries', self._forwarder.relayed_requests.count
        )
        self.caller_intake.register_gauges(register_gauge)
        register_gauge('senders', lambda: self.poller.senders)
        self.load_balancer.register_metrics(self.metrics)

    def _set_cut_off(self, is_cut_off: bool) -> None:
        """Tell the members at once, as look-ups then leave this entry out."""
        self.poller.is_cut_off = is_cut_off
        self.poller.poll_now()
        _log.warning(
            telemetry.format_event(
                'cut_off' if is_cut_off else 'paths_restored',
                targets=self.load_balancer.count_ready(),
            )
        )

    async def _report_suspects(
        self, report: wire.SuspectReport, timeout_s: float
    ) -> wire.TrialResponse:
        return await self.poller.report_suspects(report, timeout_s)

    def _apply_catalog(self) -> None:
        """Apply a changed catalog to routes, targets and limits."""
        self.routes.update(self.mirror.routes.values())
        organisations = self.mirror.organisations.values()
        self.organisations.update(organisations)
        self._organisation_guard.update()
        self.quota_stocks.update(self._loop.time(), organisations)
        self._set_senders()
        self.load_balancer.update(self._loop.time())
        self.rate_limits.retain(self.mirror.targets.keys())
        self._limit_connections()
        limits = self.mirror.limits
        if limits is not None:
            self.caller_server.set_limits(
                http.Limits(
                    max_header_bytes=limits.max_header_bytes,
                    max_header_fields=self.options.max_header_fields,
                    max_body_bytes=limits.max_body_bytes,
                    max_connections=self.options.max_connections,
                    header_timeout_s=limits.header_timeout_ms / 1_000,
                    idle_timeout_s=(
                        limits.idle_timeout_ms / 1_000 * IDLE_TIMEOUT_FACTOR
                    ),
                )
            )

    def _set_senders(self) -> None:
        self.load_balancer.set_senders(self.poller.senders)
        self.quota_stocks.senders = self.poller.senders

    def _limit_connections(self) -> None:
        """Close idle connections to targets that left or take fewer now."""
        limits = {
            record.address: _target_attempts.compute_connection_limits(
                self.mirror, record.pool, self.load_balancer.senders
            )
            for record in self.mirror.targets.values()
        }
        self._target_pools.set_limits(
            {address: limit for address, (limit, _) in limits.items()},
            {address: idle for address, (_, idle) in limits.items()},
        )

    def _list_observations(self) -> list[wire.TargetObservation]:
        return self.load_balancer.list_observations(self._loop.time())

    def _apply_loads(self, loads: bytes, revision: int) -> None:
        self.load_balancer.apply_shared_loads(
            self._loop.time(), loads, revision
        )

    # Readiness checks and metrics

    def is_ready(self) -> bool:
        """Return whether new callers may be sent to this gateway."""
        return self.mirror.is_complete and not self.stopping.is_set()

    async def _handle_check(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        path = request.target.partition(b'?')[0].decode('latin-1')
        if path == self._http_names.readiness_path:
            status = 200 if self.is_ready() else 503
            caller.send_response(status, [], b'')
        elif path == METRICS_PATH:
            page = self.metrics.render().encode()
            caller.send_response(200, [(b'content-type', b'text/plain')], page)
        else:
            raise errors.FulmarseamError(errors.ErrorKind.NOT_FOUND, path)

    # Lifecycle

    async def run(self) -> None:
        """Serve until `stopping` is set, then stop gracefully."""
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._target_pools)
            await stack.enter_async_context(self._entry_pools)
            await stack.enter_async_context(self._check_server)
            await stack.enter_async_context(self.caller_server)
            await stack.enter_async_context(self.poller)
            await stack.enter_async_context(self.relays)
            await stack.enter_async_context(self.prober)
            stack.callback(self._permits.close)
            stack.callback(self._quota_gate.close)
            stack.callback(self.crash_guard.close)
            tick_task = asyncio.create_task(self._tick())
            stack.callback(tick_task.cancel)
            _log.info(
                telemetry.format_event(
                    'started',
                    host=self.options.host,
                    listen=self.options.listen,
                )
            )
            await self.stopping.wait()
            await self._drain()
        _log.info(telemetry.format_event('stopped'))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.poller.pause_guard.check()
            self._set_senders()
            self._request_log.tick()
            self.load_balancer.log_retries(self._loop.time())
            self.crash_guard.expire()

    async def _drain(self) -> None:
        """Leave the look-ups, let cached answers expire, finish requests."""
        started_at = self._loop.time()
        grace = self.options.grace
        finish_at = started_at + grace * FINISH_GRACE_FRACTION
        self._forwarder.last_deadline = finish_at
        self.poller.is_draining = True
        self.poller.poll_now()
        self.caller_server.announce_close()
        _log.info(
            telemetry.format_event(
                'drain_started', busy=self.caller_server.active_requests
            )
        )
        await asyncio.sleep(grace * LISTEN_GRACE_FRACTION)
        self.caller_server.close_listener()
        self.caller_server.start_draining()
        try:
            async with asyncio.timeout_at(finish_at):
                await self.caller_server.wait_closed()
        except TimeoutError:
            _log.warning(
                telemetry.format_event(
                    'drain_cut_short', busy=self.caller_server.active_requests
                )
            )
        _log.info(
            telemetry.format_event(
                'drained', drain_s=self._loop.time() - started_at
            )
        )
