"""Tests of the telemetry package."""

import contextlib
import json
import os
import pathlib
import tempfile
import unittest

import logbook

from fulmarseam import telemetry

PARENT = '00-' + 'a' * 32 + '-' + 'b' * 16 + '-01'


class LogTest(unittest.TestCase):
    """Guards against values that break the key=value format of log lines."""

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
    """Guards against spans of two hops that belong to different traces."""

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
    """Guards against metrics that are lost or have wrong labels."""

    def test_page_shows_counters_gauges_and_percentiles(self) -> None:
        metrics = telemetry.Metrics()
        metrics.add('requests_total', route='a"b')
        metrics.add('requests_total', 2, route='a"b')
        metrics.register_gauge('queue', lambda: 4)
        for value in range(1, 101):
            metrics.record('latency_seconds', value / 1000)
        page = metrics.render()
        self.assertIn('fulmarseam_requests_total{route="a\\"b"} 3\n', page)
        self.assertIn('fulmarseam_queue 4\n', page)
        self.assertIn('fulmarseam_latency_seconds_count 100\n', page)
        median = metrics.percentile('latency_seconds', 50.0)
        self.assertIsNotNone(median)
        self.assertAlmostEqual(0.05, median or 0, delta=0.001)


class BoundedStreamTest(unittest.TestCase):
    """Guards against a process that blocks when nothing reads its log."""

    def test_a_full_pipe_holds_up_nothing_and_loses_the_oldest(self) -> None:
        reader, writer = os.pipe()
        stream = telemetry.BoundedStream(writer)
        for number in range(20_000):
            stream.write(f'event=line number={number:06d} {"x" * 100}\n')
            stream.flush()
        self.assertGreater(stream.dropped_lines, 0)
        text = b''
        os.set_blocking(reader, False)
        for _ in range(1_000):
            stream.flush()
            with contextlib.suppress(BlockingIOError):
                text += os.read(reader, 65_536)
        lines = text.decode().splitlines()
        self.assertIn('number=019999', lines[-1])
        reports = [line for line in lines if 'log_lines_dropped' in line]
        dropped = sum(int(line.rpartition('=')[2]) for line in reports)
        self.assertEqual(len(lines) - len(reports) + dropped, 20_000)
        os.close(reader)
        os.close(writer)

    def test_a_reader_that_left_ends_nothing(self) -> None:
        reader, writer = os.pipe()
        stream = telemetry.BoundedStream(writer)
        os.close(reader)
        stream.write('event=lost\n')
        stream.flush()
        os.close(writer)


class RequestLogTest(unittest.TestCase):
    """Guards against failed requests that are omitted during a flood."""

    def test_failed_requests_have_a_bound_of_their_own(self) -> None:
        handler = logbook.TestHandler()
        log = telemetry.RequestLog()
        with handler.applicationbound():
            for number in range(1_000):
                log.add(True, id=number)
            log.add(False, id='failed')
            log.tick()
        records = handler.formatted_records
        self.assertTrue(any('id=failed' in line for line in records))
        self.assertIn('usual=980', records[-1])
        self.assertLess(len(records), 30)
