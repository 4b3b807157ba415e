"""Tests of the load after all entries have restarted, without a network."""

import random
import string
import unittest

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.gateway import _load_balancer
from tests import catalog_fixtures as fixtures

ENTRIES = 79
HEARTBEAT_S = 1.5
LINK_BYTES_PER_S = 300_000
ROUND_TRIP_S = 0.04
ROUTES = 2_500
TARGETS = 361


def make_options() -> settings.GatewaySettings:
    """Return the settings of one of the entries."""
    return settings.GatewaySettings(
        host='e1',
        region='ost',
        failure_domain='ost-wien',
        domains={'ost-wien': 'ost'},
        listen='127.0.0.1:1',
        readiness='127.0.0.1:2',
        seeds=[],
        peer_port=3,
    )


class WarmTargetsTest(unittest.TestCase):
    """Scenario: a third of a pool was replaced; later all entries restart.

    The replaced targets were cold for three seconds after their start and
    have been warm for long. Guards against entries that take the cold time
    of the first announcement as of their own start: each then sends such a
    target one request in ten seconds, and the rest of the pool is overloaded
    just when all callers come back.
    """

    def setUp(self) -> None:
        self.machine = catalog.Catalog()
        self.heartbeats = catalog.HeartbeatTracker()
        fixtures.put(
            self.machine,
            fixtures.make_pool('katalog', 1, cold_s=3.0, cold_per_s=2.8),
            fixtures.make_route('r', 1),
        )
        for number in range(20):
            self.announce(0.0, f'old{number}', 1, 0.0)
        for number in range(10):
            self.announce(20.0, f'new{number}', 1, 3_000.0)

    def announce(
        self, now: float, name: str, sequence: int, cold_ms: float
    ) -> None:
        record = fixtures.make_record(name, sequence=sequence, cold_ms=cold_ms)
        current = self.machine.targets.get(fixtures.target_id(name))
        if self.heartbeats.record(now, current, record):
            fixtures.apply(
                self.machine, catalog.AnnounceTargets(records=[record])
            )

    def place_after_restart(self, now: float, requests: int) -> set[str]:
        """Return the targets that a restarted entry gives requests."""
        mirror = catalog.CatalogMirror()
        mirror.apply(0, self.machine.list_changes(0, -1))
        load_balancer = _load_balancer.LoadBalancer(make_options(), mirror)
        load_balancer.set_senders(ENTRIES)
        load_balancer.update(now)
        found = set()
        for _ in range(requests):
            placed = load_balancer.place(
                now,
                mirror.routes['r'],
                fixtures.make_record('any').pool,
                None,
                (),
                2.0,
            )
            self.assertIs(placed.availability, steering.SlotAvailability.FREE)
            assert placed.target is not None
            found.add(str(placed.target.target))
        return found

    def test_targets_that_warmed_up_get_their_share(self) -> None:
        for beat in range(1, 4):
            now = 20.0 + beat * HEARTBEAT_S
            cold_ms = max(0.0, 3_000.0 - beat * HEARTBEAT_S * 1_000)
            for number in range(10):
                self.announce(now, f'new{number}', beat + 1, cold_ms)
        self.assertEqual(30, len(self.place_after_restart(31.0, 30)))

    def test_targets_that_may_still_be_cold_are_spared(self) -> None:
        self.assertEqual(20, len(self.place_after_restart(21.0, 40)))


class RestartedRecordTest(unittest.TestCase):
    """Guards against a target that is warm in some entries only."""

    def test_the_end_of_the_cold_time_reaches_entries_that_run(self) -> None:
        machine = catalog.Catalog()
        mirror = catalog.CatalogMirror()
        fixtures.announce(machine, 'a', cold_ms=3_000.0)
        mirror.apply(0, machine.list_changes(0, -1))
        fixtures.announce(machine, 'a', sequence=3, cold_ms=0.0)
        mirror.apply(
            mirror.revision,
            machine.list_changes(mirror.revision, mirror.removals_revision),
        )
        record: wire.TargetRecord = mirror.targets[fixtures.target_id('a')]
        self.assertEqual(0.0, record.cold_ms)


def make_name(generator: random.Random) -> str:
    """Return a name that no compressor can shorten much."""
    return ''.join(generator.choices(string.ascii_lowercase, k=8))


class TableTransferTest(unittest.TestCase):
    """Scenario: all entries restart behind links of 2.4 Mbit/s.

    Guards against a table that takes as long to arrive as a leader takes to
    be elected, while every request is refused.
    """

    def setUp(self) -> None:
        generator = random.Random(1)
        self.machine = catalog.Catalog()
        pools = [make_name(generator) for _ in range(3)]
        fixtures.put(
            self.machine,
            *(fixtures.make_pool(name, 7) for name in pools),
            *(
                fixtures.make_route(
                    f'r-{make_name(generator)}',
                    7,
                    pool=generator.choice(pools),
                    host=f'{make_name(generator)}.example',
                    path_prefix=f'/{make_name(generator)}/',
                )
                for _ in range(ROUTES)
            ),
        )
        for number in range(TARGETS):
            fixtures.announce(
                self.machine,
                f'i-{make_name(generator)}',
                pool=generator.choice(pools),
                address=f'10.0.{number // 250}.{number % 250}:8080',
                born_ms=generator.randrange(10**12, 2 * 10**12),
            )

    def transfer(self) -> tuple[catalog.CatalogMirror, float]:
        """Return the mirror of a restarted entry and the seconds it took."""
        packed_changes = catalog.PackedChanges(self.machine)
        mirror = catalog.CatalogMirror()
        taken_s = 0.0
        while mirror.revision < self.machine.revision:
            asked = mirror.revision
            packed = packed_changes.get(asked, mirror.removals_revision)
            self.assertLess(len(packed), 32 * 1024)
            taken_s += ROUND_TRIP_S + len(packed) / LINK_BYTES_PER_S
            mirror.apply(asked, wire.unpack_changes(packed))
        return mirror, taken_s

    def test_the_table_arrives_in_half_a_second(self) -> None:
        mirror, taken_s = self.transfer()
        self.assertTrue(mirror.confirm(self.machine.revision))
        self.assertEqual(ROUTES, len(mirror.routes))
        self.assertEqual(TARGETS, len(mirror.targets))
        self.assertLess(taken_s, 0.5)

    def test_targets_that_left_take_no_bytes_of_a_new_entry(self) -> None:
        for number in range(TARGETS):
            fixtures.announce(
                self.machine, f'left-{number}', address=f'x:{number}'
            )
            fixtures.leave(self.machine, f'left-{number}')
        changes = self.machine.list_changes(0, -1)
        self.assertEqual([], changes.removed_targets)

    def test_an_answer_is_not_packed_again_for_each_entry(self) -> None:
        packed_changes = catalog.PackedChanges(self.machine)
        first = packed_changes.get(0, -1)
        self.assertIs(first, packed_changes.get(0, -1))
        fixtures.announce(self.machine, 'late')
        self.assertIsNot(first, packed_changes.get(0, -1))

    def test_damaged_bytes_are_refused(self) -> None:
        packed = catalog.PackedChanges(self.machine).get(0, -1)
        for damaged in (packed[:-9], b'x' + packed, b''):
            with self.assertRaises(errors.WireError):
                wire.unpack_changes(damaged)
