"""The programs that run on the platform's hosts."""

import asyncio
from collections.abc import Callable
import contextlib
import gc
import os
import signal
import sys
from typing import TypeVar

import logbook

from fulmarseam import control
from fulmarseam import errors
from fulmarseam import gateway
from fulmarseam import http
from fulmarseam import settings
from fulmarseam import telemetry
from fulmarseam.platform import _control_api
from fulmarseam.platform import _headers
from fulmarseam.platform import _host_limits

# Allocations between two collections of generation 0; see `commands.entry`.
GC_THRESHOLD = 50_000
# How often to check the settings file, which may change without a signal.
SETTINGS_CHECK_INTERVAL_S = 1.0

SchemaT = TypeVar('SchemaT')

_log = logbook.Logger('platform')


def run_control(path: str) -> None:
    """Run a control member until it is told to stop."""
    options = _host_limits.apply_host_limits(
        settings.load_settings(path, settings.CatalogSettings)
    )
    with _open_log(options.log_level):
        _configure_gc()
        asyncio.run(_serve_control(path, options))


def run_entry(path: str) -> None:
    """Run an entry until it is told to stop."""
    options = _host_limits.apply_host_limits(
        settings.load_settings(path, settings.GatewaySettings)
    )
    with _open_log(options.log_level):
        _configure_gc()
        asyncio.run(_serve_entry(path, options))


def _open_log(level: str) -> contextlib.AbstractContextManager[None]:
    stream = telemetry.BoundedStream(sys.stdout.fileno())
    return telemetry.open_log(None, level, stream)


def _configure_gc() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)


async def _serve_control(path: str, options: settings.CatalogSettings) -> None:
    stopping = asyncio.Event()
    _stop_on_signal(stopping)
    caller_intake = http.Intake(
        http.make_rules(
            options.memory_limit,
            options.max_connections,
            options.min_progress,
            options.min_answer_progress,
            options.progress_timeout,
        )
    )
    limits = http.Limits(max_header_fields=options.max_header_fields)
    async with contextlib.AsyncExitStack() as stack:
        member = await stack.enter_async_context(
            control.CatalogMember(options)
        )
        control_api = _control_api.ControlApi(options, member)
        await stack.enter_async_context(
            http.Server(
                options.api,
                control_api.handle_api_request,
                gateway.make_answer,
                limits,
                caller_intake,
            )
        )
        await stack.enter_async_context(
            http.Server(
                options.lookups,
                control_api.handle_lookup,
                gateway.make_answer,
                limits,
                caller_intake,
            )
        )
        settings_watch = asyncio.create_task(
            _watch_settings(
                path,
                settings.CatalogSettings,
                lambda loaded: member.update_seeds(loaded.list_peers()),
            )
        )
        stack.callback(settings_watch.cancel)
        _log.info(
            telemetry.format_event(
                'started', host=options.host, api=options.api
            )
        )
        stop_wait = asyncio.ensure_future(stopping.wait())
        await asyncio.wait(
            (stop_wait, member.failed), return_when=asyncio.FIRST_COMPLETED
        )
        stop_wait.cancel()
        if member.failed.done():
            member.failed.result()
        await member.leave_group()
    _log.info(telemetry.format_event('stopped', host=options.host))


async def _serve_entry(path: str, options: settings.GatewaySettings) -> None:
    entry = gateway.Gateway(options, _headers.HTTP_NAMES)
    _stop_on_signal(entry.stopping)
    settings_watch = asyncio.create_task(
        _watch_settings(
            path,
            settings.GatewaySettings,
            lambda loaded: entry.poller.update_seeds(loaded.list_peers()),
        )
    )
    try:
        await entry.run()
    finally:
        settings_watch.cancel()


def _stop_on_signal(stopping: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)


async def _watch_settings(
    path: str, schema: type[SchemaT], apply: Callable[[SchemaT], None]
) -> None:
    """Reload the settings on SIGHUP and whenever the file has changed.

    `apply` gets the new settings. An invalid file is logged and ignored.
    """
    changed = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, changed.set)
    loaded_stamp = _read_file_stamp(path)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_S):
                await changed.wait()
        stamp = _read_file_stamp(path)
        if stamp == loaded_stamp and not changed.is_set():
            continue
        changed.clear()
        loaded_stamp = stamp
        try:
            apply(settings.load_settings(path, schema))
        except errors.SettingsError as error:
            _log.error(
                telemetry.format_event('reload_failed', reason=error.detail)
            )
            continue
        _log.info(telemetry.format_event('reloaded', path=path))


def _read_file_stamp(path: str) -> tuple[int, int] | None:
    """Return the modification time and size of a file, if it exists."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size
