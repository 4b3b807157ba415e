"""Logs of key=value lines."""

from fulmarseam.telemetry._logs import format_event
from fulmarseam.telemetry._logs import open_log

__all__ = ['format_event', 'open_log']
