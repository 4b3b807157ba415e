"""Tests of organisations: their keys, their identity and revocation."""

import asyncio
import dataclasses
import unittest

import msgspec

from fulmarseam import catalog
from fulmarseam import gateway
from fulmarseam import settings
from fulmarseam import wire
from fulmarseam.gateway import _organisations
from tests import catalog_fixtures as fixtures
from tests import gateway_case


async def serve(reader, writer, headers):
    """Answer at once."""
    await gateway_case.write_response(writer, headers)


def digest(key: str) -> bytes:
    """Return what stands for a key."""
    return wire.compute_key_digest(key.encode())


class KeyOwnerTest(unittest.TestCase):
    """Guards against a key that has two owners or comes back."""

    def setUp(self) -> None:
        self.machine = catalog.Catalog()

    def find_keys(self, name: str) -> list[bytes]:
        """Return the digests of the keys of an organisation."""
        row = self.machine.items.get((wire.ItemKind.ORGANISATION, name)).row
        assert isinstance(row, wire.OrganisationItem)
        return row.key_digests

    def test_one_call_with_a_shared_key_is_an_error_without_the_key(
        self,
    ) -> None:
        result = fixtures.put(
            self.machine,
            fixtures.make_organisation('a', 1, 'k1', 'shared'),
            fixtures.make_organisation('b', 1, 'shared'),
        )
        self.assertEqual(len(result.problems), 1)
        self.assertNotIn('shared', result.problems[0])
        self.assertEqual(self.machine.items.list_live(), [])

    def test_a_later_version_moves_a_key(self) -> None:
        fixtures.put(
            self.machine, fixtures.make_organisation('a', 1, 'k1', 'k2')
        )
        fixtures.put(self.machine, fixtures.make_organisation('b', 1, 'k2'))
        self.assertEqual(self.find_keys('a'), [digest('k1')])
        self.assertEqual(self.find_keys('b'), [digest('k2')])

    def test_a_moved_key_does_not_fall_back_when_its_owner_drops_it(
        self,
    ) -> None:
        fixtures.put(self.machine, fixtures.make_organisation('a', 1, 'k1'))
        fixtures.put(self.machine, fixtures.make_organisation('b', 1, 'k1'))
        fixtures.put(self.machine, fixtures.make_organisation('b', 2))
        restored = catalog.Catalog()
        restored.restore(self.machine.snapshot())
        self.machine = restored
        self.assertEqual((self.find_keys('a'), self.find_keys('b')), ([], []))

    def test_a_late_older_version_takes_no_key(self) -> None:
        fixtures.put(self.machine, fixtures.make_organisation('b', 5))
        fixtures.put(self.machine, fixtures.make_organisation('a', 1, 'k1'))
        fixtures.put(self.machine, fixtures.make_organisation('b', 4, 'k1'))
        self.assertEqual(self.find_keys('a'), [digest('k1')])

    def test_the_text_stays_as_it_was_sent(self) -> None:
        item = fixtures.make_organisation('a', 1, 'k1')
        fixtures.put(self.machine, item)
        fixtures.put(self.machine, fixtures.make_organisation('b', 1, 'k1'))
        kept = self.machine.items.get((wire.ItemKind.ORGANISATION, 'a'))
        self.assertEqual((kept.source, kept.version), (item.source, 1))

    def test_a_name_that_would_add_a_header_is_an_error(self) -> None:
        for name in ('', 'a\r\nx-other: 1', ' a', 'a\0'):
            with self.subTest(name):
                result = fixtures.put(
                    self.machine, fixtures.make_organisation(name, 1)
                )
                self.assertEqual(len(result.problems), 1)


class DistributionTest(unittest.TestCase):
    """Guards against keys in messages, and rows that old entries get."""

    def setUp(self) -> None:
        self.machine = catalog.Catalog()
        fixtures.put(
            self.machine,
            fixtures.make_pool('katalog', 1),
            fixtures.make_organisation('a', 1, 'the-key'),
        )

    def test_an_entry_that_reads_organisations_gets_digests(self) -> None:
        packed = catalog.PackedChanges(self.machine).get(0, -1, True)
        changes = wire.unpack_changes(packed)
        self.assertNotIn(b'the-key', msgspec.msgpack.encode(changes))
        mirror = catalog.CatalogMirror()
        mirror.apply(0, changes)
        row = mirror.organisations['a']
        self.assertEqual(row.key_digests, [digest('the-key')])

    def test_an_entry_of_an_earlier_release_gets_other_items_only(
        self,
    ) -> None:
        packed_changes = catalog.PackedChanges(self.machine)
        packed_changes.get(0, -1, True)
        changes = wire.unpack_changes(packed_changes.get(0, -1))
        kinds = [item.kind for item in changes.items]
        self.assertEqual(kinds, [wire.ItemKind.POOL])
        self.assertEqual(changes.revision, self.machine.revision)

    def test_a_removed_organisation_leaves_the_mirror(self) -> None:
        mirror = catalog.CatalogMirror()
        mirror.apply(
            0, self.machine.list_changes(0, -1, has_organisations=True)
        )
        fixtures.put(self.machine, fixtures.make_organisation_removal('a', 2))
        mirror.apply(
            mirror.revision,
            self.machine.list_changes(
                mirror.revision,
                mirror.removals_revision,
                has_organisations=True,
            ),
        )
        self.assertEqual(mirror.organisations, {})


class TableTest(unittest.TestCase):
    """Guards against wrong credentials that are accepted."""

    def setUp(self) -> None:
        self.table = catalog.OrganisationTable()
        self.update(
            fixtures.make_organisation('a', 1, 'k1', allowed_regions=['ost']),
            fixtures.make_organisation('b', 1, 'k2', priority=0),
        )
        route = fixtures.make_route(
            'r', 1, priority=3, allowed_regions=['ost', 'west']
        ).row
        assert isinstance(route, wire.RouteItem)
        self.route = route

    def update(self, *items: wire.Item) -> None:
        """Replace the organisations of the table."""
        self.table.update(item.row for item in items)

    def test_only_one_well_formed_known_key_is_accepted(self) -> None:
        for value in (b'Bearer k1', b'bearer k1', b'BEARER  k1 '):
            with self.subTest(value):
                found = self.table.identify([value])
                assert found is not None
                self.assertEqual(found.name, 'a')
        for values in (
            [],
            [b''],
            [b'Bearer'],
            [b'Bearer '],
            [b'Bearer k1 k2'],
            [b'Bearer k1, Bearer k2'],
            [b'Bearerk1'],
            [b'Basic k1'],
            [b'k1'],
            [b'Bearer unknown'],
            [b'Bearer ' + b'k' * 100_000],
            [b'Bearer k1\xff'],
            [b'Bearer k1', b'Bearer k1'],
            [b'Bearer k1', b'Bearer k2'],
        ):
            with self.subTest(values):
                self.assertIsNone(self.table.identify(values))

    def test_priority_and_regions_of_both_apply(self) -> None:
        a, b = self.table.list()
        route = self.table.restrict(self.route, a)
        assert route is not None
        self.assertEqual((route.priority, route.allowed_regions), (3, ['ost']))
        route = self.table.restrict(self.route, b)
        assert route is not None
        self.assertEqual(
            (route.priority, route.allowed_regions), (0, ['ost', 'west'])
        )

    def test_regions_without_a_common_one_allow_none(self) -> None:
        self.update(
            fixtures.make_organisation('a', 2, 'k1', allowed_regions=['sued'])
        )
        self.assertIsNone(
            self.table.restrict(self.route, self.table.list()[0])
        )

    def test_a_change_of_the_organisation_is_in_force_at_once(self) -> None:
        self.table.restrict(self.route, self.table.list()[1])
        self.update(fixtures.make_organisation('b', 2, 'k2', priority=1))
        route = self.table.restrict(self.route, self.table.list()[0])
        assert route is not None
        self.assertEqual(route.priority, 1)


class KeyCheckTest(gateway_case.GatewayCase):
    """Guards against callers without a key, and keys that leave the entry."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.target = await self.add_target('t1', serve)
        await self.put_route()

    async def put(self, *items: wire.Item) -> None:
        """Put items and wait until they are in force."""
        result = fixtures.put(self.machine, *items)
        self.assertEqual(result.problems, [])
        await self.wait_for_catalog()

    async def test_without_organisations_headers_pass_through(self) -> None:
        reply = await self.call(
            authorization='Basic x', fulmarseam_organisation='mine'
        )
        self.assertEqual(reply.status, 200)
        headers = self.target.headers[0]
        self.assertEqual(headers['authorization'], 'Basic x')
        self.assertEqual(headers['fulmarseam-organisation'], 'mine')

    async def test_a_key_is_replaced_by_the_organisation(self) -> None:
        await self.put(fixtures.make_organisation('acme', 1, 'k1'))
        reply = await self.call(
            authorization='Bearer k1',
            **{'Fulmarseam-Organisation': 'forged'},
        )
        self.assertEqual(reply.status, 200)
        headers = self.target.headers[0]
        self.assertNotIn('authorization', headers)
        self.assertEqual(headers['fulmarseam-organisation'], 'acme')

    async def test_requests_without_a_known_key_are_refused(self) -> None:
        await self.put(fixtures.make_organisation('acme', 1, 'k1'))
        for fields in (
            {},
            {'authorization': 'Bearer other'},
            {'authorization': ''},
            {'authorization': 'Bearer k1', 'Authorization': 'Bearer k1'},
        ):
            with self.subTest(fields):
                reply = await self.call(**fields)
                self.assertEqual(reply.status, 401)
                self.assertNotIn(b'other', reply.body)
                self.assertEqual(reply.headers['www-authenticate'], 'Bearer')
        self.assertEqual(self.target.heads, [])

    async def test_an_anonymous_route_needs_no_key(self) -> None:
        await self.put(
            fixtures.make_organisation('acme', 1, 'k1'),
            fixtures.make_route(
                'r', 2, path_prefix='/a/', allow_anonymous=True
            ),
        )
        for fields in (
            {'fulmarseam-organisation': 'forged'},
            {'authorization': 'Bearer old', 'fulmarseam-organisation': 'x'},
        ):
            reply = await self.call(**fields)
            self.assertEqual(reply.status, 200)
            headers = self.target.headers[-1]
            self.assertNotIn('authorization', headers)
            self.assertNotIn('fulmarseam-organisation', headers)
        await self.call(authorization='Bearer k1')
        headers = self.target.headers[-1]
        self.assertEqual(headers['fulmarseam-organisation'], 'acme')

    async def test_regions_in_common_with_none_are_no_target(self) -> None:
        await self.put(
            fixtures.make_organisation('a', 1, 'k1', allowed_regions=['x']),
            fixtures.make_route(
                'r', 2, path_prefix='/a/', allowed_regions=['ost']
            ),
        )
        reply = await self.call(authorization='Bearer k1')
        self.assertEqual(reply.status, 503)
        self.assertIn(b'no_target', reply.body)

    async def test_a_key_removed_meanwhile_ends_a_waiting_request(
        self,
    ) -> None:
        """The body comes slowly, and the key is removed before its end."""
        await self.put(fixtures.make_organisation('acme', 1, 'k1', 'k2'))
        host, _, port = self.options.listen.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST /a/b HTTP/1.1\r\nhost: shop.example\r\n'
            b'fulmarseam-request-id: q1\r\nauthorization: Bearer k1\r\n'
            b'content-length: 4\r\n\r\nab'
        )
        await asyncio.sleep(0.1)
        await self.put(fixtures.make_organisation('acme', 2, 'k2'))
        writer.write(b'cd')
        reply = await self.read_reply(reader)
        writer.close()
        self.assertEqual(reply.status, 401)
        self.assertEqual(self.target.heads, [])

    async def test_a_key_removed_before_a_retry_ends_it(self) -> None:
        replaced = asyncio.Event()

        async def shed_after_removal(reader, writer, headers):
            fixtures.put(
                self.machine, fixtures.make_organisation('acme', 2, 'k2')
            )
            await self.wait_for_catalog()
            replaced.set()
            await gateway_case.write_response(
                writer, headers, 503, b'', fulmarseam_not_run='1'
            )

        self.target.script = shed_after_removal
        await self.add_target('t2', serve)
        await self.put(fixtures.make_organisation('acme', 1, 'k1'))
        self.targets['t2'].script = shed_after_removal
        reply = await self.call(authorization='Bearer k1')
        self.assertTrue(replaced.is_set())
        self.assertEqual(reply.status, 401)
        heads = self.target.heads + self.targets['t2'].heads
        self.assertEqual(len(heads), 1)

    async def test_refusals_count_for_the_fairness(self) -> None:
        """An organisation that is refused much more is preferred."""

        async def serve_others(reader, writer, headers):
            if headers['fulmarseam-organisation'] == 'low':
                await gateway_case.write_response(
                    writer, headers, 503, b'', fulmarseam_not_run='1'
                )
            else:
                await serve(reader, writer, headers)

        self.target.script = serve_others
        await self.put(
            fixtures.make_organisation('low', 1, 'k1', priority=2),
            fixtures.make_organisation('high', 1, 'k2', priority=1),
        )
        for _ in range(6):
            reply = await self.call(authorization='Bearer k1')
            self.assertEqual(reply.status, 503)
            reply = await self.call(authorization='Bearer k2')
            self.assertEqual(reply.status, 200)
        fair = self.gateway._organisation_guard._fair_priorities
        now = asyncio.get_running_loop().time()
        self.assertEqual(fair.choose(now, 'low', 2), 0)
        self.assertEqual(fair.choose(now, 'high', 1), 1)

    async def test_a_relayed_request_with_an_unknown_organisation(
        self,
    ) -> None:
        """An entry that knows no organisations would pass the key on."""
        reply = await self.call(
            fulmarseam_relayed='1',
            fulmarseam_organisation='acme',
            authorization='Bearer k1',
        )
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.target.heads, [])


class StrictRevocationTest(gateway_case.GatewayCase):
    """Guards against keys that are accepted long after the contact is lost."""

    def make_options(self) -> settings.GatewaySettings:
        options = super().make_options()
        return dataclasses.replace(options, revoke=1.0, revoke_strict=True)

    async def test_requests_are_refused_without_contact(self) -> None:
        await self.add_target('t1', serve)
        self.leader = self.member_address
        await self.put_route()
        fixtures.put(self.machine, fixtures.make_organisation('acme', 1, 'k1'))
        await self.wait_for_catalog()
        reply = await self.call(authorization='Bearer k1')
        self.assertEqual(reply.status, 200)
        self.poll_delay_s = 60.0
        await asyncio.sleep(2.0)
        reply = await self.call(authorization='Bearer k1')
        self.assertEqual(reply.status, 503)
        self.assertIn(b'config_stale', reply.body)


class LabelsTest(unittest.TestCase):
    """Guards against metrics that grow with the organisations."""

    def test_the_number_of_labels_is_bounded(self) -> None:
        labels = _organisations.Labels()
        seen = {labels.choose(f'o{number % 30}') for number in range(90)}
        self.assertEqual(len(seen), _organisations.MAX_LABELS + 1)
        self.assertEqual(labels.choose('o3'), 'o3')
        self.assertEqual(labels.choose('o29'), _organisations.OTHERS)


class HeaderNameTest(unittest.TestCase):
    """Guards against a header name that never matches."""

    def test_names_are_in_lower_case(self) -> None:
        name = gateway.HttpNames().organisation
        self.assertEqual(name, name.lower())
