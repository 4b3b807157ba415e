"""Logs with key=value lines, traces and metrics."""

from fulmarseam.telemetry._logs import format_event
from fulmarseam.telemetry._logs import open_log
from fulmarseam.telemetry._logs import unquote
from fulmarseam.telemetry._metrics import Metrics
from fulmarseam.telemetry._request_log import RequestLog
from fulmarseam.telemetry._stream import BoundedStream
from fulmarseam.telemetry._traces import open_traces
from fulmarseam.telemetry._traces import Span
from fulmarseam.telemetry._traces import TRACEPARENT
from fulmarseam.telemetry._traces import Tracer

__all__ = [
    'BoundedStream',
    'Metrics',
    'RequestLog',
    'Span',
    'TRACEPARENT',
    'Tracer',
    'format_event',
    'open_log',
    'open_traces',
    'unquote',
]
