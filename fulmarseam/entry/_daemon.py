"""The entry daemon: its components, periodic work and graceful stop."""

import asyncio
import contextlib
import random
import signal

import logbook

from fulmarseam import http
from fulmarseam import quarantine
from fulmarseam import records
from fulmarseam import relay
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.entry import _announcements
from fulmarseam.entry import _answers
from fulmarseam.entry import _api
from fulmarseam.entry import _claims
from fulmarseam.entry import _lookups
from fulmarseam.entry import _peers
from fulmarseam.entry import _pools
from fulmarseam.entry import _proxying
from fulmarseam.entry import _relaying
from fulmarseam.entry import _reports
from fulmarseam.entry import _state
from fulmarseam.entry import _syncing

REFRESH_INTERVAL_S = 0.1
# Added to the TTL of lookup answers before an entry closes its listener.
LOOKUP_MARGIN_S = 1.0
# Callers are asked to close their connections for this last part of the
# wait before the listener is closed.
CLOSE_NOTICE_S = 1.0
# While a region has no backup for its records, results cannot be stored and
# are retried for 10 s. A stop does not wait for these retries.
FLUSH_TIMEOUT_S = 1.0

_log = logbook.Logger('entry')


class Entry:
    """One entry process; `run` returns after a graceful stop."""

    def __init__(
        self, options: settings.EntrySettings, tracer: telemetry.Tracer
    ) -> None:
        self._options = options
        self._loop = asyncio.get_running_loop()
        self._exit_stack = contextlib.AsyncExitStack()
        self.stop_requested = asyncio.Event()
        self.metrics = telemetry.Metrics()
        self.caller_intake = http.Intake(
            http.make_rules(
                options.memory_limit,
                options.max_caller_connections,
                options.min_progress_bytes,
                options.min_answer_progress_bytes,
                options.progress_timeout_ms / 1_000,
            ),
            lambda reason: self.metrics.add(
                'callers_closed_total', reason=reason
            ),
        )
        self.state = _state.SharedState(options)
        self.announcements = _announcements.PendingAnnouncements()
        self.crash_guard = quarantine.CrashGuard(self._report_suspects)
        self.target_pools = http.TargetPools(self.caller_intake.answer_budget)
        self.pools = _pools.Pools(
            self.state,
            steering.Locality(options.region, options.failure_domain),
            random.Random(),
            self._request_sync,
        )
        self.reporter = _reports.Reporter(
            options,
            self.state,
            self.pools,
            self.announcements,
            self._list_record_copies,
            self.crash_guard,
        )
        self.synchronizer = _syncing.Synchronizer(
            options.control,
            self.state,
            self.announcements,
            self.reporter.make_request,
            self._raise_incarnation,
            self.crash_guard,
        )
        self.metrics.register_gauge(
            'control_bytes_total',
            lambda: float(self.synchronizer.count_bytes()),
        )
        self.peers = _peers.Peers(options, self.state)
        self.record_server = records.RecordServer(
            options.entry_id,
            self.reporter.incarnation,
            self.state.find_record_group,
            lambda: self.state.is_current(self._loop.time()),
            self.peers.get_client,
            options.data_dir,
        )
        self.claims = _claims.Claims(
            records.RecordClient(
                options.entry_id,
                self.state.find_record_group,
                self.peers.get_client,
                self.record_server.handle,
            ),
            f'{options.entry_id}.{self.reporter.incarnation}',
        )
        self.lookups = _lookups.Lookups(options, self.state)
        self._entry_pools = http.TargetPools(self.caller_intake.answer_budget)
        self._relayer = _relaying.Relayer(
            options, self.state, self._entry_pools, self.pools
        )
        self.prober = relay.Prober(
            relay.Paths(
                self.pools.choose_probes,
                self.pools.is_cut_off,
                self._note_cut_off,
            ),
            self.target_pools.is_listening,
        )
        self.state.on_change = self._apply_change
        self._register_gauges()
        self.caller_server = self._make_caller_server(tracer)
        self.api_server = self._make_api_server()
        self.rpc_server = transport.RpcServer(
            options.rpc,
            _peers.PeerHandler(
                self.state,
                self.crash_guard,
                self._apply_change,
                self.record_server.handle,
            ).handle,
        )

    def _make_caller_server(self, tracer: telemetry.Tracer) -> http.Server:
        dependencies = _proxying.Dependencies(
            state=self.state,
            pools=self.pools,
            target_pools=self.target_pools,
            crash_guard=self.crash_guard,
            relayer=self._relayer,
            count_active=lambda: self.caller_server.active_requests,
            claims=self.claims,
            metrics=self.metrics,
            tracer=tracer,
            region=self._options.region,
        )
        self.proxy = _proxying.Proxy(dependencies)
        return http.Server(
            self._options.listen,
            self.proxy.handle,
            _answers.make_error_response,
            make_limits(self._options),
            self.caller_intake,
        )

    def _make_api_server(self) -> http.Server:
        api = _api.Api(
            self.lookups,
            self.metrics,
            self._accept_announcement,
            self.reporter.make_status,
        )
        return http.Server(
            self._options.api,
            api.handle,
            _answers.make_error_response,
            make_limits(self._options),
            self.caller_intake,
        )

    # Callbacks

    def _request_sync(self) -> None:
        self.synchronizer.request_now()

    def _note_cut_off(self, is_cut_off: bool) -> None:
        self._log_event('cut_off' if is_cut_off else 'paths_restored')

    async def _report_suspects(
        self, report: wire.SuspectReport, timeout_s: float
    ) -> wire.TrialResponse:
        return transport.expect(
            await self.synchronizer.call_leader(report, timeout_s),
            wire.TrialResponse,
        )

    def _list_record_copies(self) -> list[wire.RecordCopy]:
        return self.record_server.list_copies()

    def _raise_incarnation(self) -> None:
        self.reporter.raise_incarnation()
        self.record_server.set_incarnation(self.reporter.incarnation)

    def _apply_change(self) -> None:
        self.lookups.clear_cache()
        self.record_server.update_groups(
            self.state.tables.rows(wire.RecordGroup)
        )
        self.pools.update(self._loop.time())

    def _accept_announcement(self, report: wire.TargetReport) -> asyncio.Event:
        event = self.announcements.add(self._loop.time(), report)
        mirrored = self.state.targets.get(report.target)
        if report.state is wire.TargetState.LEAVING:
            self.state.targets.record_leave(self._loop.time(), report)
            self._apply_change()
            self.peers.broadcast(wire.LeaveNotice(report=report))
        if mirrored is None or mirrored.report.state is not report.state:
            # An unchanged renewal is sent with the next poll, to save
            # requests.
            self.synchronizer.request_now()
        return event

    async def _refresh_periodically(self) -> None:
        previous = self._loop.time()
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            now = self._loop.time()
            self._refresh(now, now - previous)
            previous = now

    def _refresh(self, now: float, elapsed_s: float) -> None:
        self.state.targets.expire(now)
        self.announcements.drop_expired(now)
        self.crash_guard.expire()
        self.proxy.flush_counts()
        for pool in self.pools.list_pools():
            pool.refresh(elapsed_s)
        self.pools.refresh_views(now)
        self.pools.serve_queues(now)
        self._limit_connections(now)

    def _limit_connections(self, now: float) -> None:
        self.target_pools.set_limits(
            {
                row.report.address: self.state.slots.connection_share(
                    now, row.report.target
                )
                for row in self.state.targets.ready()
            }
        )

    def _register_gauges(self) -> None:
        """Register the gauges of the metrics page."""
        register_gauge = self.metrics.register_gauge
        register_gauge(
            'requests_running', lambda: self.caller_server.active_requests
        )
        register_gauge(
            'caller_connections', lambda: self.caller_server.connections
        )
        register_gauge(
            'targets_ready', lambda: len(self.state.targets.ready())
        )
        register_gauge('suspected_requests', self.crash_guard.count)
        register_gauge('cut_off', self.pools.is_cut_off)
        register_gauge(
            'requests_relayed', self._relayer.relays.count_in_flight
        )
        register_gauge('requests_in_flight', self.state.slots.total_in_flight)
        self.caller_intake.register_gauges(register_gauge)
        register_gauge('revision', lambda: self.state.tables.revision)
        register_gauge(
            'takes_work', lambda: self.state.is_current(self._loop.time())
        )

    # Lifecycle

    async def run(self) -> None:
        """Serve until `stop_requested` is set, then stop gracefully."""
        async with self._exit_stack as stack:
            await stack.enter_async_context(self.target_pools)
            await stack.enter_async_context(self._entry_pools)
            await stack.enter_async_context(self._relayer.relays)
            await stack.enter_async_context(self.prober)
            await stack.enter_async_context(self.peers)
            await stack.enter_async_context(self.record_server)
            await stack.enter_async_context(self.rpc_server)
            await stack.enter_async_context(self.synchronizer)
            await stack.enter_async_context(self.api_server)
            await stack.enter_async_context(self.caller_server)
            stack.callback(self.crash_guard.close)
            refresh_task = asyncio.create_task(self._refresh_periodically())
            stack.callback(refresh_task.cancel)
            self._log_event(
                'started',
                entry=self._options.entry_id,
                listen=self._options.listen,
                api=self._options.api,
                rpc=self._options.rpc,
                incarnation=self.reporter.incarnation,
            )
            await self._wait_for_stop()
            await self._drain()

    async def _wait_for_stop(self) -> None:
        """Wait for the request to stop.

        Raises `records.JournalFailedError` when a sync of the journal has
        failed, because the content of the journal is then unknown.
        """
        waiting_for_stop = asyncio.ensure_future(self.stop_requested.wait())
        try:
            await asyncio.wait(
                (waiting_for_stop, self.record_server.failed),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            waiting_for_stop.cancel()
        if self.record_server.failed.done():
            raise self.record_server.failed.result()

    async def _drain(self) -> None:
        """Leave lookups, wait until cached answers expire, end requests."""
        started = self._loop.time()
        self._announce_drain()
        lookup_expiry_s = self._options.lookup_ttl_ms / 1_000 + LOOKUP_MARGIN_S
        await asyncio.sleep(lookup_expiry_s - CLOSE_NOTICE_S)
        self.caller_server.announce_close()
        await asyncio.sleep(CLOSE_NOTICE_S)
        self.caller_server.close_listener()
        self._log_event(
            'drain_listener_closed', busy=self.caller_server.active_requests
        )
        self.caller_server.start_draining()
        await self.caller_server.wait_closed()
        unstored = await self.claims.flush(FLUSH_TIMEOUT_S)
        drain_s = self._loop.time() - started
        self._log_event('drained', drain_s=drain_s, unstored=unstored)
        print(f'drain time: {drain_s:.3f} s', flush=True)

    def _announce_drain(self) -> None:
        self.reporter.draining = True
        self.state.record_entry_drain(
            self._options.entry_id, self.reporter.incarnation
        )
        self.lookups.clear_cache()
        self.synchronizer.request_now()
        self.peers.broadcast(
            wire.DrainNotice(
                entry=self._options.entry_id,
                incarnation=self.reporter.incarnation,
            )
        )
        self._log_event(
            'drain_started', busy=self.caller_server.active_requests
        )

    def _log_event(self, event: str, **fields: object) -> None:
        _log.info(telemetry.format_event(event, **fields))


def make_limits(options: settings.EntrySettings) -> http.Limits:
    """Return the limits for connections to a listener."""
    return http.Limits(
        max_header_bytes=options.max_header_bytes,
        max_header_fields=options.max_header_fields,
        max_body_bytes=options.max_body_bytes,
        max_connections=options.max_caller_connections,
        header_timeout_s=options.header_timeout_ms / 1_000,
        idle_timeout_s=options.idle_timeout_ms / 1_000,
    )


async def run_entry(
    options: settings.EntrySettings, tracer: telemetry.Tracer
) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    entry = Entry(options, tracer)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, entry.stop_requested.set)
    await entry.run()
