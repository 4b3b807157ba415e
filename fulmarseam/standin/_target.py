"""The stand-in target."""

import asyncio
import contextlib
import signal
import time

import logbook
import msgspec

from fulmarseam import client
from fulmarseam import settings
from fulmarseam import wire
from fulmarseam.standin import _journal
from fulmarseam.standin import _reports
from fulmarseam.standin import _server
from fulmarseam.standin import _worker

CONTROL_PATH = '/standin/control'
# Entries may send new requests for 3 s after the leave is announced. A
# listener closed in that time would break requests in flight.
LEAVE_GRACE_S = 3.5

_log = logbook.Logger('target')


class TargetCommand(msgspec.Struct, frozen=True, kw_only=True):
    """A change of behaviour at run time; None keeps the current value."""

    reports: str | None = None
    shed_all: bool | None = None
    slowdown: float | None = None


class Target:
    """Serves requests and announces itself until told to stop."""

    def __init__(self, options: settings.TargetSettings) -> None:
        self._options = options
        self._incarnation = time.time_ns()
        self._started = time.monotonic()
        self._journal = _journal.Journal(options.journal)
        self._worker = _worker.Worker(
            options, self._incarnation, self._journal
        )
        self._reporter = _reports.LoadReporter(
            options.reports, options.report_lag_s, options.slots
        )
        self._announcer = client.Announcer(
            options.entries,
            self._make_report,
            options.renew_ms / 1_000,
            options.leave_entries,
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then leave and finish open requests."""
        server = _server.Server(self._options.listen, self._handle)
        async with server:
            self._worker.record_event(_journal.RunEvent.UP)
            _log.info('event=listening address={}', self._options.listen)
            announcing = asyncio.create_task(self._announcer.run())
            await stop.wait()
            announcing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await announcing
            await self._leave()
        self._worker.record_event(_journal.RunEvent.DOWN)
        self._announcer.close()
        self._journal.close()

    async def _leave(self) -> None:
        self._worker.record_event(_journal.RunEvent.LEAVING)
        leave_started = time.monotonic()
        acknowledged = await self._announcer.leave()
        _log.info('event=leave_announced taken={}', acknowledged)
        await asyncio.sleep(
            max(0, LEAVE_GRACE_S + leave_started - time.monotonic())
        )
        await self._worker.wait_idle()
        drain_s = time.monotonic() - leave_started
        _log.info('event=left drain_s={:.3f}', drain_s)

    def _make_report(self) -> wire.TargetReport:
        options = self._options
        now = time.monotonic()
        state = wire.TargetState.READY
        if now - self._started < options.starting_s:
            state = wire.TargetState.STARTING
        return wire.TargetReport(
            target=options.target_id,
            pool=options.pool,
            address=options.advertise or options.listen,
            region=options.region,
            failure_domain=options.failure_domain,
            slots=options.slots,
            connections=options.connections,
            incarnation=self._incarnation,
            sequence=0,
            state=state,
            load=self._reporter.report(now, self._worker.measure_load()),
        )

    async def _handle(
        self, request: _server.ServerRequest
    ) -> _server.ServerResponse:
        if request.path == CONTROL_PATH:
            return self._apply_command(request)
        try:
            job = _worker.parse_job(request, self._options.response_bytes)
        except ValueError as error:
            return _server.ServerResponse(400, {}, str(error).encode())
        return await self._worker.run(job)

    def _apply_command(
        self, request: _server.ServerRequest
    ) -> _server.ServerResponse:
        try:
            command = msgspec.json.decode(request.body, type=TargetCommand)
        except msgspec.MsgspecError as error:
            return _server.ServerResponse(400, {}, str(error).encode())
        if command.reports is not None:
            self._reporter.set_mode(command.reports)
        if command.shed_all is not None:
            self._worker.shed_all = command.shed_all
        if command.slowdown is not None:
            self._worker.slowdown = command.slowdown
        return _server.ServerResponse(200, {}, b'{}')


async def run_target(options: settings.TargetSettings) -> None:
    """Run a target until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await Target(options).run(stop)
