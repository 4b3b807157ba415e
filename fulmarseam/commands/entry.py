"""The program `fulmarseam-entry`."""

import asyncio
import gc

from fulmarseam import entry
from fulmarseam import settings
from fulmarseam import telemetry
from fulmarseam.commands import _launcher

# Allocations between two collections of the youngest generation. With the
# default of 700 a collection runs every few requests; those of the oldest
# generation block all requests for milliseconds.
GC_THRESHOLD = 50_000


def serve(options: settings.EntrySettings) -> None:
    """Run an entry until it is told to stop."""
    with (
        telemetry.open_log(options.log_file, options.log_level),
        telemetry.open_traces(
            options.trace_file, options.entry_id, options.trace_ratio
        ) as tracer,
    ):
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        with asyncio.Runner(loop_factory=entry.SteadyLoop) as runner:
            runner.run(entry.run_entry(options, tracer))


def main() -> None:
    _launcher.launch_daemon(settings.EntrySettings, serve)
