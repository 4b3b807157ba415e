"""The program `fulmarseam-load`."""

import asyncio

from fulmarseam import settings
from fulmarseam import standin
from fulmarseam import telemetry
from fulmarseam.commands import _launcher


def serve(options: settings.LoadSettings) -> None:
    """Send the load and print a summary line for each route."""
    with telemetry.open_log(options.log_file, options.log_level):
        for summary in asyncio.run(standin.run_load(options)):
            print(summary.format())


def main() -> None:
    _launcher.launch_daemon(settings.LoadSettings, serve)
