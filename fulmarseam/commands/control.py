"""The program `fulmarseam-control`."""

from fulmarseam import control
from fulmarseam import settings
from fulmarseam.commands import _launcher


def main() -> None:
    """Run a control member with the settings file of `--config`."""
    _launcher.launch_daemon(settings.ControlSettings, control.serve)
