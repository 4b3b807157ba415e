"""The entry daemon: its parts, its tick and its graceful stop."""

import asyncio
import contextlib
import random
import signal

import logbook

from fulmarseam import http
from fulmarseam import records
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
from fulmarseam.entry import _reports
from fulmarseam.entry import _state
from fulmarseam.entry import _suspects
from fulmarseam.entry import _syncing

TICK_S = 0.1
# Added to the life of look-up answers before an entry closes its listener.
LOOKUP_MARGIN_S = 1.0
# Connections are told to close during this last part of the waiting time.
WIND_DOWN_S = 1.0
# While a region has no backup for its records, results cannot be stored and
# are repeated for 10 s. A stop does not wait for that.
FLUSH_TIMEOUT_S = 1.0

_log = logbook.Logger('entry')


class Entry:
    """One entry process; `run` returns after a graceful stop."""

    def __init__(
        self, options: settings.EntrySettings, tracer: telemetry.Tracer
    ) -> None:
        self._options = options
        self._loop = asyncio.get_running_loop()
        self._stack = contextlib.AsyncExitStack()
        self.stopping = asyncio.Event()
        self.metrics = telemetry.Metrics()
        self.state = _state.SharedState(options)
        self.announcements = _announcements.PendingAnnouncements()
        self.suspects = _suspects.Suspects()
        self.connections = http.TargetPools()
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
            self._list_copies,
        )
        self.synchronizer = _syncing.Synchronizer(
            options.control,
            self.state,
            self.announcements,
            self.reporter.make_request,
            self._raise_incarnation,
        )
        self.metrics.observe(
            'control_bytes_total',
            lambda: float(self.synchronizer.count_bytes()),
        )
        self.peers = _peers.Peers(options, self.state)
        self.holder = records.RecordServer(
            options.entry_id,
            self.reporter.incarnation,
            self.state.find_record_group,
            lambda: self.state.is_current(self._loop.time()),
            self.peers.client,
            options.data_dir,
        )
        self.claims = _claims.Claims(
            records.RecordClient(
                options.entry_id,
                self.state.find_record_group,
                self.peers.client,
                self.holder.handle,
            ),
            f'{options.entry_id}.{self.reporter.incarnation}',
        )
        self.lookups = _lookups.Lookups(options, self.state)
        self.state.on_change = self._take_change
        self._observe()
        self.callers = self._make_caller_server(tracer)
        self.api = self._make_api_server()
        self.rpc = transport.RpcServer(
            options.rpc,
            _peers.PeerHandler(
                self.state,
                self.suspects,
                self._take_change,
                self.holder.handle,
            ).handle,
        )

    def _make_caller_server(self, tracer: telemetry.Tracer) -> http.Server:
        dependencies = _proxying.Dependencies(
            state=self.state,
            pools=self.pools,
            connections=self.connections,
            suspects=self.suspects,
            peers=self.peers,
            claims=self.claims,
            metrics=self.metrics,
            tracer=tracer,
            region=self._options.region,
        )
        self.proxy = _proxying.Proxy(dependencies)
        return http.Server(
            self._options.listen,
            self.proxy.handle,
            _answers.make_answer,
            make_limits(self._options),
        )

    def _make_api_server(self) -> http.Server:
        api = _api.Api(
            self.lookups,
            self.metrics,
            self._take_announcement,
            self.reporter.describe,
        )
        return http.Server(
            self._options.api,
            api.handle,
            _answers.make_answer,
            make_limits(self._options),
        )

    # Events

    def _request_sync(self) -> None:
        self.synchronizer.request_now()

    def _list_copies(self) -> list[wire.RecordCopy]:
        return self.holder.list_copies()

    def _raise_incarnation(self) -> None:
        self.reporter.raise_incarnation()
        self.holder.set_incarnation(self.reporter.incarnation)

    def _take_change(self) -> None:
        self.lookups.forget()
        self.holder.update_groups(self.state.tables.rows(wire.RecordGroup))
        self.pools.update(self._loop.time())

    def _take_announcement(self, report: wire.TargetReport) -> asyncio.Event:
        event = self.announcements.add(self._loop.time(), report)
        known = self.state.targets.get(report.target)
        if report.state is wire.TargetState.LEAVING:
            self.state.targets.record_leave(self._loop.time(), report)
            self._take_change()
            self.peers.announce(wire.LeaveNotice(report=report))
        if known is None or known.report.state is not report.state:
            # A mere renewal goes with the next poll, to save requests.
            self.synchronizer.request_now()
        return event

    async def _tick(self) -> None:
        previous = self._loop.time()
        while True:
            await asyncio.sleep(TICK_S)
            now = self._loop.time()
            self._refresh(now, now - previous)
            previous = now

    def _refresh(self, now: float, elapsed_s: float) -> None:
        self.state.targets.expire(now)
        self.announcements.drop_old(now)
        self.suspects.table.expire(now)
        self.proxy.flush_counts()
        for pool in self.pools.all():
            pool.refresh(elapsed_s)
        self.pools.refresh_views(now)
        self.pools.serve_queues(now)
        self._limit_connections(now)

    def _limit_connections(self, now: float) -> None:
        self.connections.set_limits(
            {
                row.report.address: self.state.slots.connection_share(
                    now, row.report.target
                )
                for row in self.state.targets.ready()
            }
        )

    def _observe(self) -> None:
        """Register the gauges of the metrics page."""
        observe = self.metrics.observe
        observe('requests_running', lambda: self.callers.busy)
        observe('caller_connections', lambda: self.callers.connections)
        observe('targets_ready', lambda: len(self.state.targets.ready()))
        observe('requests_in_flight', self.state.slots.total_in_flight)
        observe('revision', lambda: self.state.tables.revision)
        observe('takes_work', lambda: self.state.is_current(self._loop.time()))

    # Life

    async def run(self) -> None:
        """Serve until `stopping` is set, then stop gracefully."""
        async with self._stack as stack:
            await stack.enter_async_context(self.connections)
            await stack.enter_async_context(self.peers)
            await stack.enter_async_context(self.holder)
            await stack.enter_async_context(self.rpc)
            await stack.enter_async_context(self.synchronizer)
            await stack.enter_async_context(self.api)
            await stack.enter_async_context(self.callers)
            tick = asyncio.create_task(self._tick())
            stack.callback(tick.cancel)
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
        """Wait for the signal to stop.

        Raises `records.JournalFailedError` when a sync of the journal has
        failed, because what it holds is then not known.
        """
        stopping = asyncio.ensure_future(self.stopping.wait())
        try:
            await asyncio.wait(
                (stopping, self.holder.failed),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            stopping.cancel()
        if self.holder.failed.done():
            raise self.holder.failed.result()

    async def _drain(self) -> None:
        """Leave the look-ups, let their answers lapse, finish requests."""
        started = self._loop.time()
        self._announce_drain()
        lapse_s = self._options.lookup_ttl_ms / 1_000 + LOOKUP_MARGIN_S
        await asyncio.sleep(lapse_s - WIND_DOWN_S)
        self.callers.announce_close()
        await asyncio.sleep(WIND_DOWN_S)
        self.callers.close_listener()
        self._log_event('drain_listener_closed', busy=self.callers.busy)
        self.callers.start_draining()
        await self.callers.wait_until_idle()
        unstored = await self.claims.flush(FLUSH_TIMEOUT_S)
        drain_s = self._loop.time() - started
        self._log_event('drained', drain_s=drain_s, unstored=unstored)
        print(f'drain time: {drain_s:.3f} s', flush=True)

    def _announce_drain(self) -> None:
        self.reporter.draining = True
        self.state.record_entry_drain(
            self._options.entry_id, self.reporter.incarnation
        )
        self.lookups.forget()
        self.synchronizer.request_now()
        self.peers.announce(
            wire.DrainNotice(
                entry=self._options.entry_id,
                incarnation=self.reporter.incarnation,
            )
        )
        self._log_event('drain_started', busy=self.callers.busy)

    def _log_event(self, event: str, **fields: object) -> None:
        _log.info(telemetry.format_event(event, **fields))


def make_limits(options: settings.EntrySettings) -> http.Limits:
    """Return the limits of the callers' connections."""
    return http.Limits(
        max_header_bytes=options.max_header_bytes,
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
        loop.add_signal_handler(number, entry.stopping.set)
    await entry.run()
