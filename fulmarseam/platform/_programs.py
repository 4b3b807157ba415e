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
from fulmarseam.platform import _calls
from fulmarseam.platform import _headers

# Objects made between two young collections; see `commands.entry`.
GC_THRESHOLD = 50_000
# The settings file may change without a signal.
SETTINGS_CHECK_S = 1.0

SchemaT = TypeVar('SchemaT')

_log = logbook.Logger('platform')


def run_control(path: str) -> None:
    """Run a control member until it is told to stop."""
    options = settings.load_settings(path, settings.CatalogSettings)
    with _open_log(options.log_level):
        _tune_collector()
        asyncio.run(_serve_control(path, options))


def run_entry(path: str) -> None:
    """Run an entry until it is told to stop."""
    options = settings.load_settings(path, settings.GatewaySettings)
    with _open_log(options.log_level):
        _tune_collector()
        asyncio.run(_serve_entry(path, options))


def _open_log(level: str) -> contextlib.AbstractContextManager[None]:
    stream = telemetry.BoundedStream(sys.stdout.fileno())
    return telemetry.open_log(None, level, stream)


def _tune_collector() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)


async def _serve_control(path: str, options: settings.CatalogSettings) -> None:
    stopping = asyncio.Event()
    _stop_on_signal(stopping)
    async with contextlib.AsyncExitStack() as stack:
        member = await stack.enter_async_context(
            control.CatalogMember(options)
        )
        calls = _calls.ControlCalls(options, member)
        await stack.enter_async_context(
            http.Server(options.api, calls.handle_order, gateway.make_answer)
        )
        await stack.enter_async_context(
            http.Server(
                options.lookups, calls.handle_lookup, gateway.make_answer
            )
        )
        watch = asyncio.create_task(
            _watch_settings(
                path,
                settings.CatalogSettings,
                lambda loaded: member.update_seeds(loaded.list_peers()),
            )
        )
        stack.callback(watch.cancel)
        _log.info(
            telemetry.format_event(
                'started', host=options.host, api=options.api
            )
        )
        waiting = asyncio.ensure_future(stopping.wait())
        await asyncio.wait(
            (waiting, member.failed), return_when=asyncio.FIRST_COMPLETED
        )
        waiting.cancel()
        if member.failed.done():
            member.failed.result()
    _log.info(telemetry.format_event('stopped', host=options.host))


async def _serve_entry(path: str, options: settings.GatewaySettings) -> None:
    entry = gateway.Gateway(options, _headers.HTTP_NAMES)
    _stop_on_signal(entry.stopping)
    watch = asyncio.create_task(
        _watch_settings(
            path,
            settings.GatewaySettings,
            lambda loaded: entry.poller.update_seeds(loaded.list_peers()),
        )
    )
    try:
        await entry.run()
    finally:
        watch.cancel()


def _stop_on_signal(stopping: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)


async def _watch_settings(
    path: str, schema: type[SchemaT], take: Callable[[SchemaT], None]
) -> None:
    """Pass on changed settings, on SIGHUP or when the file has changed.

    A file that cannot be used changes nothing.
    """
    changed = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, changed.set)
    known = _read_mark(path)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await changed.wait()
        mark = _read_mark(path)
        if mark == known and not changed.is_set():
            continue
        changed.clear()
        known = mark
        try:
            take(settings.load_settings(path, schema))
        except errors.SettingsError as error:
            _log.error(
                telemetry.format_event('reload_failed', reason=error.detail)
            )
            continue
        _log.info(telemetry.format_event('reloaded', path=path))


def _read_mark(path: str) -> tuple[int, int] | None:
    """Return what changes when a file is written anew."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size
