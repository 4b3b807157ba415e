"""Tests of odd announcements that are stored among those of targets."""

import asyncio
import json
import math
from typing import ClassVar
import unittest
from unittest import mock

from fulmarseam import errors
from fulmarseam import wire
from fulmarseam.platform import _targets
from fulmarseam.platform import _values
from tests import catalog_fixtures as fixtures
from tests import gateway_case

ODD_FIELDS = {
    'port-too-large': {'address': '127.0.0.1:70000'},
    'port-of-many-digits': {'address': '127.0.0.1:' + '9' * 400},
    'port-zero': {'address': '127.0.0.1:0'},
    'port-negative': {'address': '127.0.0.1:-1'},
    'no-port': {'address': '127.0.0.1'},
    'no-address': {'address': ''},
    'long-address': {'address': 'x' * 70_000 + ':1'},
    'no-slots': {'slots': 0},
    'negative-slots': {'slots': -3},
    'many-slots': {'slots': 2**62},
    'endless-warm-up': {'cold_ms': math.inf},
    'no-number': {'cold_ms': math.nan},
    'negative-warm-up': {'cold_ms': -1e300},
}


async def serve(reader, writer, headers) -> None:
    """Answer each request."""
    await gateway_case.write_response(writer, headers)


class OddTargetTest(gateway_case.GatewayCase):
    """Guards against an odd announcement that stops an entry.

    A member of another version, or a snapshot, may hold what members refuse
    today.
    """

    async def test_sound_targets_serve_beside_odd_ones(self) -> None:
        await self.add_target('sound', serve)
        await self.put_route()
        for name, fields in ODD_FIELDS.items():
            with self.subTest(name=name):
                fixtures.announce(self.machine, name, **fields)
                await self.wait_for_catalog()
                for number in range(3):
                    reply = await self.call(f'/a/{number}')
                    self.assertEqual(200, reply.status)
        fixtures.announce(self.machine, 'no-slots', sequence=2, slots=1)
        await self.add_target('later', serve)
        await self.wait_for_catalog()
        self.assertIn('later', self.gateway.mirror.targets)
        # One has announced itself properly since.
        self.assertEqual(3, self.gateway.load_balancer.count_ready())

    async def test_an_odd_target_of_an_unknown_pool_ends_no_poll(
        self,
    ) -> None:
        await self.add_target('sound', serve)
        await self.put_route()
        fixtures.announce(self.machine, 'odd', pool='unknown', slots=0)
        await self.wait_for_catalog()
        observations = self.gateway.load_balancer.list_observations(0.0)
        self.assertEqual([], observations)

    async def test_an_unreadable_answer_does_not_end_the_polls(self) -> None:
        await self.add_target('sound', serve)
        await self.put_route()
        with mock.patch.object(
            self.gateway, '_apply_catalog', side_effect=RecursionError
        ):
            self.gateway.poller._on_change = self.gateway._apply_catalog
            fixtures.announce(self.machine, 'other')
            await asyncio.sleep(0.5)
        self.gateway.poller._on_change = self.gateway._apply_catalog
        await self.add_target('later', serve)
        await self.wait_for_catalog()
        self.assertIn('later', self.gateway.mirror.targets)
        self.assertEqual(200, (await self.call()).status)


class NestingTest(unittest.TestCase):
    """Guards against a message that is nested too deeply to decode."""

    def test_deep_nesting_is_an_error_of_the_message(self) -> None:
        for depth in (3_000, 100_000):
            nested = b'\x91' * depth + b'\xc0'
            with self.assertRaises(errors.WireError):
                wire.decode(b'\x82\xa4type\xa2ok\xa1x' + nested)


class HeartbeatTest(unittest.TestCase):
    """Guards against odd announcements that a member takes."""

    BODY: ClassVar[dict[str, object]] = {
        'address': '10.0.0.1:80',
        'info': {'service': 's', 'zone': 'z', 'version': 'v1', 'slots': 4},
        'status': {'state': 'ready', 'sequence': 1},
    }

    def test_a_negative_start_is_refused(self) -> None:
        body = json.dumps({**self.BODY, 'born': -1}).encode()
        with self.assertRaises(_values.UnreadableError):
            _targets.read_heartbeat('i', body, {})
        body = json.dumps({**self.BODY, 'born': 1}).encode()
        record = _targets.read_heartbeat('i', body, {})
        self.assertEqual(1, record.born_ms)
