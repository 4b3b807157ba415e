"""Tests of the platform adapter that need no platform."""

import json
import pathlib
import re
import unittest
from unittest import mock

from fulmarseam import settings
from fulmarseam import wire
from fulmarseam.platform import _host_limits
from fulmarseam.platform import _items
from fulmarseam.platform import _targets
from fulmarseam.platform import _values

ROOT = pathlib.Path(__file__).resolve().parent.parent

ROUTE = {
    'name': 'r-1',
    'pathPrefix': '/a/',
    'type': 'idempotent',
    'timeout': '1500ms',
    'targetLatency': '0.2s',
    'priority': 2,
    'split': [
        {'service': 'one', 'weight': 90},
        {'service': 'two', 'weight': 10},
    ],
    'maxAttempts': 2,
    'sessionAffinity': True,
    'allowedRegions': ['ost'],
    'version': 7,
    'fieldOfTomorrow': 1,
}
SERVICE = {
    'name': 'one',
    'healthPath': '/health',
    'maxConns': 390,
    'protocol': 'h1',
    'tls': False,
    'warmup': '3s',
    'warmupPerS': 17.0,
    'version': 7,
}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 67108864,
    'headerTimeout': '3000ms',
    'idleTimeout': '15000ms',
    'version': 7,
}


def make_call(**route_fields: object) -> bytes:
    """Return an operator's call with some fields of its route replaced."""
    route = {**ROUTE, **route_fields}
    return json.dumps(
        {
            'upsert': {
                'services': [SERVICE],
                'limits': LIMITS,
                'hosts': [{'host': 'shop.example', 'paths': [route]}],
            },
            'remove': {'routes': [{'name': 'r-old', 'version': 9}]},
        }
    ).encode()


class ItemsTest(unittest.TestCase):
    """Guards against misreading operators' calls or listing them changed."""

    def test_a_call_becomes_items(self) -> None:
        pool, limits, route, dropped = _items.read_call(make_call())
        assert isinstance(route.row, wire.RouteItem)
        self.assertEqual(route.row.timeout_ms, 1_500.0)
        self.assertEqual(route.row.target_latency_ms, 200.0)
        self.assertTrue(route.row.idempotent)
        self.assertEqual(route.row.split[1], wire.SplitPart('two', 10.0))
        assert isinstance(pool.row, wire.PoolItem)
        self.assertEqual(pool.row.cold_s, 3.0)
        assert isinstance(limits.row, wire.LimitsItem)
        self.assertEqual(limits.row.idle_timeout_ms, 15_000.0)
        self.assertEqual((dropped.name, dropped.version), ('r-old', 9))
        self.assertIsNone(dropped.row)

    def test_items_are_read_back_as_they_were_sent(self) -> None:
        items = _items.read_call(make_call())
        found = json.loads(_items.write_items(items))
        sent = json.loads(make_call())['upsert']
        self.assertEqual(found, sent)

    def test_malformed_calls_are_rejected(self) -> None:
        bodies = {
            'cut short': make_call()[:-20],
            'no object': b'[]',
            'kind': make_call(type='sometimes'),
            'time': make_call(timeout=1500),
            'version': make_call(version='7'),
            'boolean version': make_call(version=True),
            'weight': make_call(split=[{'service': 'one'}]),
            'attempts': make_call(maxAttempts=None),
        }
        for name, body in bodies.items():
            with self.subTest(name):
                with self.assertRaises(_values.UnreadableError):
                    _items.read_call(body)


class HeartbeatTest(unittest.TestCase):
    """Guards against misreading the announcements of other software."""

    DOMAINS = {'ost-wien': 'ost'}

    def _read(self, **fields: object) -> wire.TargetRecord:
        announcement = {
            'address': '10.0.0.9:8080',
            'born': 1_700_000_000_000,
            'info': {
                'service': 'one',
                'version': 'v1',
                'zone': 'ost-wien',
                'slots': 6,
            },
            'status': {
                'state': 'ready',
                'sequence': 4,
                'warmupLeft': '1500ms',
            },
        }
        body = json.dumps({**announcement, **fields}).encode()
        return _targets.read_heartbeat('i-1', body, self.DOMAINS)

    def test_an_announcement_becomes_a_record(self) -> None:
        record = self._read()
        self.assertEqual(record.region, 'ost')
        self.assertEqual(record.cold_ms, 1_500.0)
        self.assertEqual(record.born_ms, 1_700_000_000_000)
        self.assertIs(record.phase, wire.TargetPhase.READY)

    def test_malformed_announcements_are_rejected(self) -> None:
        malformed: dict[str, dict[str, object]] = {
            'address': {'address': 'nowhere'},
            'state': {'status': {'state': 'asleep', 'sequence': 1}},
            'sequence': {'status': {'state': 'ready', 'sequence': '1'}},
            'service': {'info': {'zone': 'ost-wien', 'slots': 6}},
            'slots': {
                'info': {'service': 'one', 'zone': 'ost-wien', 'slots': 0}
            },
            'born': {'born': 'yesterday'},
        }
        for name, fields in malformed.items():
            with self.subTest(name):
                with self.assertRaises(_values.UnreadableError):
                    self._read(**fields)
        with self.assertRaises(_values.UnreadableError):
            _targets.read_heartbeat('i-1', b'\xff\x00', self.DOMAINS)

    def test_a_leave_call_may_omit_the_incarnation(self) -> None:
        self.assertEqual(_targets.read_leave(b''), 0)
        self.assertEqual(_targets.read_leave(b'{"born": 5}'), 5)


FIELDS = {
    'node': 'core-ost-wien-1',
    'region': 'ost',
    'zone': 'ost-wien',
    'zones|json': '{"ost-wien": "ost"}',
    'dataDir': '/data/control',
    'ip': '10.1.0.36',
    'internalPorts.0': '7540',
    'listen.control': '10.1.0.36:8544',
    'listen.directory': '10.1.0.36:8546',
    'listen.front': '10.1.0.34:8548',
    'listen.readiness': '10.1.0.34:8542',
    'seeds|json': '["10.1.0.36:8544", "10.2.0.35:8544"]',
    'bootstrap|json': 'true',
    'faultTolerance.machines': '2',
    'heartbeat': '1500ms',
    'bounds.ttl_max': '5s',
    'bounds.grace': '6s',
    'bounds.retryBudgetRatio': '0.2',
    'bounds.retrySlack': '56',
    'bounds.retryWindow': '10s',
    'bounds.warmupFactor': '1.5',
    'bounds.warmupSlack': '5',
    'limits|json': 'null',
}


class TemplateTest(unittest.TestCase):
    """Guards against templates that yield invalid settings."""

    def _fill(self, name: str) -> str:
        text = (ROOT / 'deploy' / name).read_text(encoding='utf-8')
        return re.sub(r'\{\{(.+?)\}\}', lambda match: FIELDS[match[1]], text)

    def test_the_control_template_yields_valid_settings(self) -> None:
        loaded = settings.parse_settings(
            self._fill('control.yaml'), settings.CatalogSettings
        )
        self.assertEqual(
            loaded.list_peers(), ('10.1.0.36:7540', '10.2.0.35:7540')
        )
        self.assertEqual(loaded.wanted_voters, 5)
        self.assertEqual(loaded.heartbeat, 1.5)
        self.assertTrue(loaded.first_start)

    def test_the_entry_template_yields_valid_settings(self) -> None:
        loaded = settings.parse_settings(
            self._fill('entry.yaml'), settings.GatewaySettings
        )
        self.assertEqual(loaded.retry_slack, 56.0)
        self.assertEqual(loaded.grace, 6.0)

    def _load_entry(self, limits: str) -> settings.GatewaySettings:
        with mock.patch.dict(FIELDS, {'limits|json': limits}):
            return _host_limits.apply_host_limits(
                settings.parse_settings(
                    self._fill('entry.yaml'), settings.GatewaySettings
                )
            )

    def test_limits_of_the_host_are_applied(self) -> None:
        loaded = self._load_entry('{"memoryMb": 200, "maxFds": 1024}')
        self.assertEqual(loaded.memory_limit, 200)
        self.assertEqual(loaded.max_connections, 480)
        loaded = self._load_entry('{"memoryMb": 20, "maxFds": 10}')
        self.assertEqual(loaded.memory_limit, 64)
        self.assertEqual(loaded.max_connections, 64)

    def test_limits_that_are_not_stated_change_nothing(self) -> None:
        for limits in (
            'null',
            '{}',
            '{"memoryMb": null, "cpu": [1]}',
            '{"memoryMb": "much", "maxFds": 0}',
        ):
            with self.subTest(limits):
                loaded = self._load_entry(limits)
                self.assertIsNone(loaded.memory_limit)
                self.assertEqual(loaded.max_connections, 4_000)
