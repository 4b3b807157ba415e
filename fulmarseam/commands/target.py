"""The program `fulmarseam-target`."""

import asyncio

from fulmarseam import settings
from fulmarseam import standin
from fulmarseam import telemetry
from fulmarseam.commands import _launcher


def serve(options: settings.TargetSettings) -> None:
    """Run a target until it is told to stop."""
    with telemetry.open_log(options.log_file, options.log_level):
        asyncio.run(standin.run_target(options))


def main() -> None:
    _launcher.launch_daemon(settings.TargetSettings, serve)
