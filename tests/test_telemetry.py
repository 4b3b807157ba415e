"""Tests of the telemetry package."""

import json
import pathlib
import tempfile
import unittest

import logbook

from fulmarseam import telemetry

PARENT = '00-' + 'a' * 32 + '-' + 'b' * 16 + '-01'


class LogTest(unittest.TestCase):
    """Guards against log lines that a parser splits at the wrong place."""

    def test_values_are_quoted_where_needed(self) -> None:
        line = telemetry.format_event('x', plain='a-1', odd='a "b"\nc=d')
        self.assertEqual('event=x plain=a-1 odd="a \\"b\\"\\nc=d"', line)

    def test_log_lines_reach_the_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'log')
            with telemetry.open_log(str(path), 'info'):
                logger = logbook.Logger('test')
                logger.info(telemetry.format_event('started', port=80))
                logger.debug(telemetry.format_event('hidden'))
            lines = path.read_text(encoding='utf-8').splitlines()
        self.assertEqual(1, len(lines))
        self.assertIn('logger=test event=started port=80', lines[0])


class TraceTest(unittest.TestCase):
    """Guards against a trace that breaks between two hops."""

    def test_spans_form_one_trace(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'spans')
            with telemetry.open_traces(str(path), 'entry') as tracer:
                with tracer.start_span('request', PARENT) as outer:
                    inner = tracer.start_span('target', outer.traceparent())
                    inner.end()
            lines = path.read_text(encoding='utf-8').splitlines()
        spans = {item['name']: item for item in map(json.loads, lines)}
        trace_ids = {span['context']['trace_id'] for span in spans.values()}
        self.assertEqual({'0x' + 'a' * 32}, trace_ids)
        self.assertEqual('0x' + 'b' * 16, spans['request']['parent_id'])
        self.assertEqual(
            spans['request']['context']['span_id'],
            spans['target']['parent_id'],
        )

    def test_context_passes_through_without_an_exporter(self) -> None:
        with telemetry.open_traces(None, 'entry') as tracer:
            with tracer.start_span('request', PARENT) as span:
                self.assertEqual(PARENT, span.traceparent())
            with tracer.start_span('request', 'garbage') as span:
                self.assertIsNone(span.traceparent())


class MetricsTest(unittest.TestCase):
    """Guards against figures that are lost or mislabelled."""

    def test_page_shows_counters_gauges_and_percentiles(self) -> None:
        metrics = telemetry.Metrics()
        metrics.add('requests_total', route='a"b')
        metrics.add('requests_total', 2, route='a"b')
        metrics.observe('queue', lambda: 4)
        for value in range(1, 101):
            metrics.record('latency_seconds', value / 1000)
        page = metrics.render()
        self.assertIn('fulmarseam_requests_total{route="a\\"b"} 3\n', page)
        self.assertIn('fulmarseam_queue 4\n', page)
        self.assertIn('fulmarseam_latency_seconds_count 100\n', page)
        median = metrics.percentile('latency_seconds', 50.0)
        self.assertIsNotNone(median)
        self.assertAlmostEqual(0.05, median or 0, delta=0.001)
