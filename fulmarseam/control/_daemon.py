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
from fulmarseam.control import _page
from fulmarseam.control import _planner
from fulmarseam.control import _signal
from fulmarseam.control import _sync

LEASE_TICK_S = 0.1
# Requests that want more are planned for at once; the tick serves slow
# starts and charges that end.
ALLOCATION_TICK_S = 0.25
PLAN_TICK_S = 0.2
# Lets entries learn that this member leads no more. Without an answer they
# would wait for the time-out of the call.
STOP_PAUSE_S = 0.1

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
        self._signal = _signal.Signal()
        self._plan_signal = _signal.Signal()
        self.metrics = telemetry.Metrics()
        self.machine = store.Machine(notify=self._signal.notify)
        self.member = consensus.Member(
            consensus.MemberSettings.from_control(options), self.machine
        )
        self._leadership: _leadership.Leadership | None = None
        self._sync = _sync.SyncService(
            options,
            self.member,
            self.machine.tables,
            self.find_leadership,
            self._signal,
            self._plan_signal.notify,
        )
        self._admin = _admin.AdminService(
            self.member,
            self.machine,
            self.find_leadership,
            self._report_edit,
        )
        self._stopping = asyncio.Event()
        self._observe_state()

    def _observe_state(self) -> None:
        """Register the gauges of the metrics page."""
        register_gauge = self.metrics.register_gauge
        register_gauge('revision', lambda: float(self.machine.tables.revision))
        register_gauge('leading', lambda: float(self._leadership is not None))
        register_gauge('term', lambda: float(self.member.status().term))

    def find_leadership(self) -> _leadership.Leadership | None:
        """Return the state of the term that this member leads, if any."""
        return self._leadership

    def stop(self) -> None:
        """Make `run` finish."""
        self._stopping.set()

    async def run(self) -> None:
        """Serve until `stop` is called.

        Raises `errors.DamagedDataError` and other errors of the member.
        """
        server = transport.RpcServer(self._options.listen, self.handle)
        page = http.Server(
            self._options.api,
            _page.Page(self.metrics).handle,
            _page.make_answer,
        )
        async with self.member, server, page:
            self._log('control_started', listen=self._options.listen)
            await self._run_tasks()
            self._leadership = None
            self._signal.notify()
            await asyncio.sleep(STOP_PAUSE_S)
        self._log('control_stopped')

    async def handle(self, message: wire.Message) -> wire.Message:
        """Answer one call."""
        started = time.monotonic()
        if isinstance(message, wire.SyncRequest):
            answer: wire.Message = await self._sync.answer(message)
        elif isinstance(message, consensus.PEER_MESSAGES):
            answer = await self.member.handle(message)
        elif isinstance(message, _admin.ADMIN_REQUESTS):
            with self._tracer.start_span(type(message).__name__):
                answer = await self._admin.answer(message)
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
        """Run the loops until one fails or `stop` is called."""
        loops: list[Coroutine[Any, Any, Any]] = [
            self._stopping.wait(),
            self.member.wait_failed(),
            self._follow_leadership(),
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

    async def _follow_leadership(self) -> None:
        """Start a new soft state with each term that this member leads."""
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
            self._signal.notify()
            if term is None:
                self._log('leadership_ended', leader=self.member.leader())
            else:
                self._log('leadership_started', term=term)

    async def _tick_leases(self) -> None:
        """End leases and plan grants."""
        while True:
            leadership = self._leadership
            if leadership is not None:
                now = time.monotonic()
                ended = leadership.expire(now)
                planned = leadership.allocate_on_tick(now, ALLOCATION_TICK_S)
                if ended or planned:
                    self._signal.notify()
            await asyncio.sleep(LEASE_TICK_S)

    async def _tick_plans(self) -> None:
        """Propose the steps of drains, shifts and record groups."""
        planner: _planner.Planner | None = None
        planned_for: _leadership.Leadership | None = None
        while True:
            leadership = self._leadership
            if leadership is not planned_for:
                planned_for = leadership
                planner = self._make_planner(leadership)
            if planner is not None:
                await planner.run()
            await self._plan_signal.wait(PLAN_TICK_S)

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
    """Run the daemon with the log and the traces that the settings name."""
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
