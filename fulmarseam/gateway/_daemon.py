"""The gateway: its servers, its tick and its graceful stop."""

import asyncio
import contextlib

import logbook

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import http
from fulmarseam import settings
from fulmarseam import telemetry
from fulmarseam.gateway import _answers
from fulmarseam.gateway import _fleet
from fulmarseam.gateway import _forwarding
from fulmarseam.gateway import _http_names
from fulmarseam.gateway import _poller
from fulmarseam.gateway import _routes

TICK_S = 1.0
# Parts of the time between the signal to stop and its end: callers may
# still come with an answer of a look-up that they hold for three lifetimes,
# then what is in flight ends.
LISTEN_SHARE = 0.75
FINISH_SHARE = 0.95
# Idle connections are kept for longer than callers reuse them, which is
# four fifths of the limit that they are told.
IDLE_FACTOR = 1.5
METRICS_PATH = '/metrics'

_log = logbook.Logger('gateway')


class Gateway:
    """One gateway process; `run` returns after a graceful stop."""

    def __init__(
        self,
        options: settings.GatewaySettings,
        http_names: _http_names.HttpNames,
    ) -> None:
        self._options = options
        self._http_names = http_names
        self._loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        self.metrics = telemetry.Metrics()
        self.mirror = catalog.CatalogMirror()
        self.fleet = _fleet.Fleet(options, self.mirror)
        self.routes = _routes.RouteBook()
        self.poller = _poller.Poller(options, self.mirror, self._take_change)
        self._request_log = telemetry.RequestLog()
        self._connections = http.TargetPools()
        forwarder = _forwarding.Forwarder(
            _forwarding.Services(
                mirror=self.mirror,
                routes=self.routes,
                fleet=self.fleet,
                connections=self._connections,
                http_names=http_names,
                metrics=self.metrics,
                request_log=self._request_log,
            )
        )
        self.callers = http.Server(
            options.listen,
            forwarder.handle,
            _answers.make_answer,
            http.Limits(max_connections=options.max_connections),
        )
        self._checks = http.Server(
            options.readiness, self._answer_check, _answers.make_answer
        )
        self._observe()

    def _observe(self) -> None:
        """Register the gauges of the metrics page."""
        observe = self.metrics.observe
        observe('requests_running', lambda: self.callers.busy)
        observe('caller_connections', lambda: self.callers.connections)
        observe('revision', lambda: self.mirror.revision)
        observe('targets_ready', self.fleet.count_ready)
        observe('requests_in_flight', self.fleet.count_in_flight)
        observe('senders', lambda: self.poller.senders)

    def _take_change(self) -> None:
        """Put a changed catalog in force."""
        self.routes.update(self.mirror.routes.values())
        self.fleet.set_senders(self.poller.senders)
        self.fleet.update(self._loop.time())
        limits = self.mirror.limits
        if limits is not None:
            self.callers.set_limits(
                http.Limits(
                    max_header_bytes=limits.max_header_bytes,
                    max_body_bytes=limits.max_body_bytes,
                    max_connections=self._options.max_connections,
                    header_timeout_s=limits.header_timeout_ms / 1_000,
                    idle_timeout_s=(
                        limits.idle_timeout_ms / 1_000 * IDLE_FACTOR
                    ),
                )
            )

    # Checks

    def is_ready(self) -> bool:
        """Return whether new callers may come."""
        return self.mirror.is_complete and not self.stopping.is_set()

    async def _answer_check(
        self, request: http.Request, caller: http.CallerConnection
    ) -> None:
        path = request.target.partition(b'?')[0].decode('latin-1')
        if path == self._http_names.readiness_path:
            status = 200 if self.is_ready() else 503
            caller.answer(status, [], b'')
        elif path == METRICS_PATH:
            page = self.metrics.render().encode()
            caller.answer(200, [(b'content-type', b'text/plain')], page)
        else:
            raise errors.FulmarseamError(errors.ErrorKind.NOT_FOUND, path)

    # Life

    async def run(self) -> None:
        """Serve until `stopping` is set, then stop gracefully."""
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._connections)
            await stack.enter_async_context(self._checks)
            await stack.enter_async_context(self.callers)
            await stack.enter_async_context(self.poller)
            tick = asyncio.create_task(self._tick())
            stack.callback(tick.cancel)
            _log.info(
                telemetry.format_event(
                    'started',
                    host=self._options.host,
                    listen=self._options.listen,
                )
            )
            await self.stopping.wait()
            await self._drain()
        _log.info(telemetry.format_event('stopped'))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.fleet.set_senders(self.poller.senders)
            self._request_log.tick()

    async def _drain(self) -> None:
        """Leave the look-ups, let their answers lapse, finish requests."""
        started = self._loop.time()
        grace = self._options.grace
        self.poller.is_draining = True
        self.poller.poll_now()
        self.callers.announce_close()
        _log.info(
            telemetry.format_event('drain_started', busy=self.callers.busy)
        )
        await asyncio.sleep(grace * LISTEN_SHARE)
        self.callers.close_listener()
        self.callers.start_draining()
        left_s = started + grace * FINISH_SHARE - self._loop.time()
        try:
            async with asyncio.timeout(left_s):
                await self.callers.wait_until_idle()
        except TimeoutError:
            _log.warning(
                telemetry.format_event(
                    'drain_cut_short', busy=self.callers.busy
                )
            )
        _log.info(
            telemetry.format_event(
                'drained', drain_s=self._loop.time() - started
            )
        )
