"""The control daemon."""

import asyncio
from collections.abc import Coroutine
import contextlib
import signal
import time
from typing import Any

import logbook

from fulmarseam import consensus
from fulmarseam import errors
from fulmarseam import http
from fulmarseam import settings
from fulmarseam import store
from fulmarseam import telemetry
from fulmarseam import transport
from fulmarseam import wire
from fulmarseam.control import _admin
from fulmarseam.control import _leadership
from fulmarseam.control import _metrics_page
from fulmarseam.control import _notifier
from fulmarseam.control import _planner
from fulmarseam.control import _sync

LEASE_INTERVAL_S = 0.1
# Requests for more slots trigger an allocation at once. The periodic one
# covers slow starts and charges that end.
ALLOCATION_INTERVAL_S = 0.25
PLAN_INTERVAL_S = 0.2
# Leaves time to tell waiting entries that this member no longer leads;
# otherwise they would wait for the timeout of their call.
STOP_DELAY_S = 0.1

_log = logbook.Logger('control')


class Daemon:
    """A control member that serves its peers, entries and operators::

    daemon = control.Daemon(loaded)
    await daemon.run()
    """

    def __init__(
        self,
        options: settings.ControlSettings,
        tracer: telemetry.Tracer | None = None,
    ) -> None:
        self._options = options
        self._tracer = tracer or telemetry.Tracer(None)
        self._sync_notifier = _notifier.Notifier()
        self._plan_notifier = _notifier.Notifier()
        self.metrics = telemetry.Metrics()
        self.machine = store.Machine(notify=self._sync_notifier.notify)
        self.member = consensus.Member(
            consensus.MemberSettings.from_control(options), self.machine
        )
        self._leadership: _leadership.Leadership | None = None
        self._sync_service = _sync.SyncService(
            options,
            self.member,
            self.machine.tables,
            self.find_leadership,
            self._sync_notifier,
            self._plan_notifier.notify,
        )
        self._admin_service = _admin.AdminService(
            self.member,
            self.machine,
            self.find_leadership,
            self._report_edit,
        )
        self._stop_event = asyncio.Event()
        self._register_gauges()

    def _register_gauges(self) -> None:
        """Register the gauges of the metrics page."""
        register_gauge = self.metrics.register_gauge
        register_gauge('revision', lambda: float(self.machine.tables.revision))
        register_gauge('leading', lambda: float(self._leadership is not None))
        register_gauge('term', lambda: float(self.member.status().term))

    def find_leadership(self) -> _leadership.Leadership | None:
        """Return the state of the term that this member leads, or None."""
        return self._leadership

    def stop(self) -> None:
        """Make `run` finish."""
        self._stop_event.set()

    async def run(self) -> None:
        """Serve until `stop` is called.

        Raises `errors.DamagedDataError` and other errors of the member.
        """
        server = transport.RpcServer(self._options.listen, self.handle)
        page = http.Server(
            self._options.api,
            _metrics_page.MetricsPage(self.metrics).handle,
            _metrics_page.make_answer,
        )
        async with self.member, server, page:
            self._log('control_started', listen=self._options.listen)
            await self._run_tasks()
            self._leadership = None
            self._sync_notifier.notify()
            await asyncio.sleep(STOP_DELAY_S)
        self._log('control_stopped')

    async def handle(self, message: wire.Message) -> wire.Message:
        """Answer one request."""
        started = time.monotonic()
        if isinstance(message, wire.SyncRequest):
            answer: wire.Message = await self._sync_service.answer(message)
        elif isinstance(message, wire.SuspectReport):
            answer = self._sync_service.answer_suspects(message)
        elif isinstance(message, consensus.PEER_MESSAGES):
            answer = await self.member.handle(message)
        elif isinstance(message, _admin.ADMIN_REQUESTS):
            with self._tracer.start_span(type(message).__name__):
                answer = await self._admin_service.answer(message)
        else:
            raise errors.WireError(
                f'found message {type(message).__name__}, expected a request '
                f'to a control member'
            )
        kind = type(message).__name__
        self.metrics.record(
            'call_seconds', time.monotonic() - started, message=kind
        )
        return answer

    async def _run_tasks(self) -> None:
        """Run the background tasks until one fails or `stop` is called."""
        loops: list[Coroutine[Any, Any, Any]] = [
            self._stop_event.wait(),
            self.member.wait_failed(),
            self._track_leadership(),
            self._tick_leases(),
            self._tick_plans(),
        ]
        tasks = [asyncio.create_task(loop) for loop in loops]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _track_leadership(self) -> None:
        """Start with empty state for each term that this member leads."""
        term = None
        while True:
            term = await self.member.wait_leadership_change(term)
            self._leadership = (
                None
                if term is None
                else _leadership.Leadership(
                    time.monotonic(), term, self._options, self.machine.tables
                )
            )
            self._sync_notifier.notify()
            if term is None:
                self._log('leadership_ended', leader=self.member.leader())
            else:
                self._log('leadership_started', term=term)

    async def _tick_leases(self) -> None:
        """Expire leases and allocate grants periodically."""
        while True:
            leadership = self._leadership
            if leadership is not None:
                now = time.monotonic()
                expired = leadership.expire(now)
                allocated = leadership.allocate_on_tick(
                    now, ALLOCATION_INTERVAL_S
                )
                if expired or allocated:
                    self._sync_notifier.notify()
            await asyncio.sleep(LEASE_INTERVAL_S)

    async def _tick_plans(self) -> None:
        """Plan and propose due steps periodically and on request."""
        planner: _planner.Planner | None = None
        planner_leadership: _leadership.Leadership | None = None
        while True:
            leadership = self._leadership
            if leadership is not planner_leadership:
                planner_leadership = leadership
                planner = self._make_planner(leadership)
            if planner is not None:
                await planner.run()
            await self._plan_notifier.wait(PLAN_INTERVAL_S)

    def _make_planner(
        self, leadership: _leadership.Leadership | None
    ) -> _planner.Planner | None:
        if leadership is None:
            return None
        return _planner.Planner(self.member, self.machine.tables, leadership)

    def _report_edit(self, result: wire.EditResult, seconds: float) -> None:
        self.metrics.record('edit_seconds', seconds)
        self.metrics.add('edits_total', kind=result.kind or 'accepted')
        self._log(
            'edit_answered',
            edit_id=result.edit_id,
            kind=result.kind or 'accepted',
            revision=result.revision,
            seconds=seconds,
        )

    def _log(self, event: str, **fields: Any) -> None:
        _log.info(
            telemetry.format_event(
                event, member=self._options.member_id, **fields
            )
        )


async def run(
    options: settings.ControlSettings, tracer: telemetry.Tracer
) -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    daemon = Daemon(options, tracer)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)
    await daemon.run()


def serve(options: settings.ControlSettings) -> None:
    """Run the daemon with the log and trace files of the settings."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(
            telemetry.open_log(options.log_file, options.log_level)
        )
        tracer = stack.enter_context(
            telemetry.open_traces(
                options.trace_file,
                f'control.{options.member_id}',
                options.trace_ratio,
            )
        )
        asyncio.run(run(options, tracer))
