"""The program `fulmarseam-faultproxy`."""

import asyncio

from fulmarseam import settings
from fulmarseam import standin
from fulmarseam import telemetry
from fulmarseam.commands import _launcher


def serve(options: settings.FaultProxySettings) -> None:
    """Run the fault proxy until it is told to stop."""
    with telemetry.open_log(options.log_file, options.log_level):
        asyncio.run(standin.run_faultproxy(options))


def main() -> None:
    _launcher.launch_daemon(settings.FaultProxySettings, serve)
