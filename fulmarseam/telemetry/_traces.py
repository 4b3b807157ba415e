"""Traces with a span for each hop, written to a file.

Spans are exported as one JSON object per line, in the thread of the event
loop, so that no exporter thread is needed.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import json
import pathlib
import re
from types import TracebackType
from typing import Self

from opentelemetry import context as otel_context
from opentelemetry import propagate
from opentelemetry import trace as otel_trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling

TRACEPARENT = 'traceparent'

_TRACEPARENT_FORMAT = re.compile(
    r'[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}'
)


class Span:
    """A hop of a request; usable as a context manager.

    Without an exporter the span records nothing and passes the parent's
    trace context on unchanged.
    """

    __slots__ = ('_parent', '_span')

    def __init__(
        self, parent: str | None, span: otel_trace.Span | None
    ) -> None:
        self._parent = parent
        self._span = span

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if error is not None:
            self.set('error', type(error).__name__)
        self.end()

    def set(self, key: str, value: str | int | float | bool) -> None:
        """Set an attribute of the span."""
        if self._span is not None:
            self._span.set_attribute(key, value)

    def end(self) -> None:
        """End the span; later calls have no effect."""
        if self._span is not None and self._span.is_recording():
            self._span.end()

    def traceparent(self) -> str | None:
        """Return the W3C trace context to send to the next hop."""
        if self._span is None:
            return self._parent
        carrier: dict[str, str] = {}
        propagate.inject(carrier, otel_trace.set_span_in_context(self._span))
        return carrier.get(TRACEPARENT, self._parent)


class Tracer:
    """Starts the spans of one process."""

    def __init__(self, tracer: otel_trace.Tracer | None) -> None:
        self._tracer = tracer

    def start_span(
        self,
        name: str,
        parent: str | None = None,
        attributes: Mapping[str, str | int | float | bool] | None = None,
    ) -> Span:
        """Start a span; `parent` is a traceparent header value.

        A malformed parent is ignored, as the trace context standard requires.
        """
        valid_parent = _validate_parent(parent)
        if self._tracer is None:
            return Span(valid_parent, None)
        context = otel_context.Context()
        if valid_parent is not None:
            context = propagate.extract({TRACEPARENT: valid_parent}, context)
        span = self._tracer.start_span(
            name, context, attributes=dict(attributes or {})
        )
        return Span(valid_parent, span)


def _validate_parent(parent: str | None) -> str | None:
    if parent is None or not _TRACEPARENT_FORMAT.fullmatch(parent):
        return None
    return parent


def _format_span(span: sdk_trace.ReadableSpan) -> str:
    content = json.loads(span.to_json(indent=None))
    return json.dumps(content, separators=(',', ':')) + '\n'


@contextlib.contextmanager
def open_traces(
    path: str | None, service: str, ratio: float = 1.0
) -> Iterator[Tracer]:
    """Yield a tracer that appends spans to a file.

    Without a path the tracer records nothing. `ratio` is the sampling
    ratio of new traces; a trace that the caller already records is always
    continued.
    """
    if path is None:
        yield Tracer(None)
        return
    with pathlib.Path(path).open('a', encoding='utf-8') as out:
        provider = sdk_trace.TracerProvider(
            sampler=sampling.ParentBased(sampling.TraceIdRatioBased(ratio)),
            resource=resources.Resource.create({'service.name': service}),
            shutdown_on_exit=False,
        )
        exporter = export.ConsoleSpanExporter(out=out, formatter=_format_span)
        provider.add_span_processor(export.SimpleSpanProcessor(exporter))
        try:
            yield Tracer(provider.get_tracer('fulmarseam'))
        finally:
            provider.shutdown()
