"""Tests of the check of a configuration before it is sent."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.commands import _ctl_check
from fulmarseam.commands import _ctl_tables
from tests import store_fixtures as fixtures

ERROR = store.FindingKind.ERROR
UNUSED = store.FindingKind.UNUSED
CONTRADICTION = store.FindingKind.CONTRADICTION
DIFFERENCE = store.FindingKind.DIFFERENCE


def make_changes(*rows: wire.Row) -> list[wire.Change]:
    return [store.make_change(row) for row in rows]


def check(
    *rows: wire.Row,
    current: tuple[wire.Row, ...] = (),
    targets: list[store.KnownTarget] | None = None,
) -> list[store.Finding]:
    return store.check_configuration(
        make_changes(*current), make_changes(*rows), targets
    )


def list_items(
    findings: list[store.Finding], kind: store.FindingKind
) -> list[str]:
    return [finding.item for finding in findings if finding.kind is kind]


class FindingsTest(unittest.TestCase):
    """Guards against findings that are missing or reported without cause."""

    def test_configuration_without_faults_has_only_differences(self) -> None:
        findings = check(
            fixtures.make_pool(),
            fixtures.make_route(),
            fixtures.make_route('post', path_prefix='/a', methods=['POST']),
            fixtures.make_route('get', path_prefix='/a/', methods=['GET']),
            fixtures.make_route('any', path_prefix='/a', host='*'),
            fixtures.make_route('old', path_prefix='/b', retired=True),
            fixtures.make_shift(),
        )
        self.assertEqual({DIFFERENCE}, {finding.kind for finding in findings})

    def test_all_findings_are_reported_at_once(self) -> None:
        findings = check(
            fixtures.make_pool(),
            fixtures.make_pool('idle'),
            fixtures.make_route(deadline_ms=20_000),
            fixtures.make_route('lost', path_prefix='/x', pool='gone'),
            wire.Block(name='10.0.0.1/8', region=ids.RegionName('ost')),
            fixtures.make_shift(ramp_s=500.0),
        )
        self.assertEqual(
            ['blocks.10.0.0.1/8.name', 'routes.lost.pool']
            + ['routes.r.deadline_ms'],
            sorted(list_items(findings, ERROR)),
        )
        [deadline] = [
            finding
            for finding in findings
            if finding.item == 'routes.r.deadline_ms'
        ]
        self.assertEqual('20000', deadline.found)
        self.assertEqual(
            'at most max_deadline_ms of the pool (10000)', deadline.expected
        )
        self.assertEqual(['pools.idle'], list_items(findings, UNUSED))
        self.assertEqual(
            ['shifts.s.ramp_s'], list_items(findings, CONTRADICTION)
        )
        self.assertEqual(6, len(list_items(findings, DIFFERENCE)))

    def test_problems_are_not_truncated(self) -> None:
        # The results that members keep hold at most 50 problems.
        pools = [
            fixtures.make_pool(f'p{number}', queue_limit=-1)
            for number in range(60)
        ]
        self.assertEqual(60, len(list_items(check(*pools), ERROR)))

    def test_unused_routes_are_those_that_never_match(self) -> None:
        routes = [
            fixtures.make_route('a', path_prefix='/v1'),
            fixtures.make_route('b', path_prefix='/v1/', methods=['GET']),
            fixtures.make_route('c', path_prefix='/v2', methods=['GET']),
            fixtures.make_route('d', path_prefix='/v2/'),
            fixtures.make_route('e', path_prefix='/v3?x'),
        ]
        findings = check(fixtures.make_pool(), *routes)
        self.assertEqual(
            ['routes.b.path_prefix', 'routes.e.path_prefix'],
            list_items(findings, UNUSED),
        )
        index = steering.compile_routes(routes)
        matched = {
            match.route.name
            for path in ('/v1', '/v1/', '/v2', '/v2/', '/v3?x', '/v3')
            for method in ('GET', 'POST')
            if (match := steering.match_route(index, 'h', path, method)).route
        }
        self.assertEqual({'a', 'c', 'd'}, matched)

    def test_other_settings_without_effect_are_reported(self) -> None:
        findings = check(
            fixtures.make_pool(slow_start_s=0.0, cold_factor=0.5),
            fixtures.make_route(retired=True),
            fixtures.make_shift(),
        )
        self.assertEqual(
            ['pools.katalog', 'pools.katalog.cold_factor', 'shifts.s.pool'],
            list_items(findings, UNUSED),
        )

    def test_subjects_without_targets_are_reported_if_known(self) -> None:
        rows = (
            fixtures.make_pool(),
            fixtures.make_route(),
            fixtures.make_drain('region'),
            fixtures.make_drain('domain', scope='domain', subject='rack9'),
            fixtures.make_drain('target', scope='target', subject='t1'),
            fixtures.make_drain('entry', scope='entry', subject='e1'),
            fixtures.make_shift(),
        )
        targets = [store.KnownTarget('t1', 'ost', 'rack1')]
        self.assertEqual([], list_items(check(*rows), UNUSED))
        self.assertEqual(
            ['drains.domain.subject', 'shifts.s.to_region'],
            list_items(check(*rows, targets=targets), UNUSED),
        )

    def test_contradicting_limits_are_reported(self) -> None:
        findings = check(
            fixtures.make_pool(local_only=True),
            fixtures.make_pool('large', response_bytes=5_000),
            fixtures.make_route(),
            fixtures.make_route('l', path_prefix='/l', pool='large'),
            fixtures.make_link('ost', 'west'),
            fixtures.make_shift(),
        )
        self.assertEqual(
            ['shifts.s.pool', 'links.ost>west.bytes_per_s'],
            list_items(findings, CONTRADICTION),
        )
        self.assertEqual([], list_items(findings, ERROR))

    def test_differences_are_in_the_order_of_their_effect(self) -> None:
        findings = check(
            fixtures.make_drain('late', start=300.0),
            fixtures.make_shift(pool='katalog', start=200.0, end=400.0),
            fixtures.make_pool(queue_limit=5, retry_ratio=0.2),
            fixtures.make_drain('off', state='cancelled'),
            current=(
                fixtures.make_pool(),
                fixtures.make_route(),
                fixtures.make_drain('off', start=900.0),
            ),
        )
        self.assertEqual([], list_items(findings, ERROR))
        differences = [
            (finding.item, finding.found, finding.start)
            for finding in findings
            if finding.kind is DIFFERENCE
        ]
        self.assertEqual(
            [
                ('pools.katalog.queue_limit', '64', None),
                ('pools.katalog.retry_ratio', '0.1', None),
                ('drains.off.state', "'planned'", None),
                ('shifts.s', 'nothing', 200.0),
                ('drains.late', 'nothing', 300.0),
            ],
            differences,
        )

    def test_problem_lines_are_taken_apart(self) -> None:
        cases = {
            'pools.a: queue: found no such field, expected b, c': (
                'pools.a.queue',
                'no such field',
                'b, c',
            ),
            'pools.a: Expected `int`, got `str` - at `$.queue_limit`': (
                'pools.a.queue_limit',
                '`str`',
                '`int`',
            ),
            'routes.a: Object missing required field `host`': (
                'routes.a.host',
                'missing',
                'a valid value',
            ),
            'drains.a: Invalid enum value 1 - at `$.scope`': (
                'drains.a.scope',
                'Invalid enum value 1',
                'a valid value',
            ),
            'found no mapping, expected a mapping of tables: pools': (
                'file',
                'no mapping',
                'a mapping of tables: pools',
            ),
            'blocks.::/0.region: found 1, expected 2': (
                'blocks.::/0.region',
                '1',
                '2',
            ),
        }
        for line, parts in cases.items():
            with self.subTest(line=line):
                self.assertEqual(
                    (ERROR, *parts, None), store.read_problem(line)
                )


class FileTest(unittest.TestCase):
    """Guards against a wrong verdict on files and their format errors."""

    def setUp(self) -> None:
        self.directory = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )

    def check(self, content: str, against: str) -> list[store.Finding]:
        paths = []
        for name, text in (('new', content), ('old', against)):
            path = self.directory / name
            path.write_text(text)
            paths.append(str(path))
        return _ctl_check.check_against(*paths)

    def test_row_that_cannot_be_read_counts_as_unchanged(self) -> None:
        routes = 'routes: {r: {host: h, path_prefix: /, pool: a}}\n'
        findings = self.check(
            'pools: {a: {queue: 1}}\n' + routes, 'pools: {a: {}}\n' + routes
        )
        self.assertEqual(['pools.a.queue'], [f.item for f in findings])
        self.assertEqual(2, _ctl_check.choose_exit_code(findings))

    def test_file_without_tables_is_an_error(self) -> None:
        # The command apply refuses such a file.
        for content in ('{}', ''):
            with self.subTest(content=content):
                findings = self.check(content, 'pools: {}')
                self.assertEqual(2, _ctl_check.choose_exit_code(findings))


NAMES = strategies.sampled_from(['a', 'b', 'c', '-'])
REGIONS = strategies.sampled_from(['ost', 'west', 'sued'])
ROWS = strategies.one_of(
    strategies.builds(
        fixtures.make_pool,
        NAMES,
        queue_limit=strategies.sampled_from([0, 64, -1]),
        max_deadline_ms=strategies.sampled_from([1_000, 10_000]),
    ),
    strategies.builds(
        fixtures.make_route,
        NAMES,
        pool=NAMES,
        path_prefix=strategies.sampled_from(['/', '/x', '/x/', 'x']),
        methods=strategies.sampled_from([[], ['GET'], ['POST'], ['get']]),
        retired=strategies.booleans(),
        deadline_ms=strategies.sampled_from([1_000, 10_000]),
    ),
    strategies.builds(fixtures.make_link, REGIONS, REGIONS),
    strategies.builds(
        fixtures.make_drain,
        NAMES,
        subject=REGIONS,
        state=strategies.sampled_from(['planned', 'active', 'cancelled']),
    ),
    strategies.builds(
        fixtures.make_shift,
        NAMES,
        pool=NAMES,
        from_region=REGIONS,
        to_region=REGIONS,
        start=strategies.sampled_from([100.0, 150.0, 250.0]),
        end=strategies.sampled_from([120.0, 200.0]),
        state=strategies.sampled_from(['planned', 'active', 'done']),
    ),
    strategies.builds(
        wire.Block,
        name=strategies.sampled_from(['10.0.0.0/8', '10.0.0.1/8', 'x']),
        region=REGIONS,
    ),
)
# Tables made of any rows are almost always refused.
VALID_NAMES = strategies.sampled_from(['a', 'b', 'c'])
VALID_ROWS = strategies.one_of(
    strategies.builds(
        fixtures.make_pool,
        VALID_NAMES,
        queue_limit=strategies.sampled_from([0, 64]),
    ),
    VALID_NAMES.map(
        lambda name: fixtures.make_route(
            name, path_prefix='/' + name, pool='a'
        )
    ),
    strategies.builds(
        fixtures.make_drain,
        VALID_NAMES,
        state=strategies.sampled_from(['planned', 'planned', 'active']),
    ),
    strategies.builds(
        fixtures.make_shift,
        VALID_NAMES,
        pool=strategies.just('a'),
        state=strategies.sampled_from(['planned', 'cancelled']),
    ),
    strategies.builds(
        wire.Block,
        name=strategies.sampled_from(['10.0.0.0/8', '11.0.0.0/8']),
        region=REGIONS,
    ),
    strategies.just(fixtures.make_link('ost', 'west')),
)
TABLES = strategies.builds(
    lambda valid, other: [fixtures.make_pool('a'), *valid, *other],
    strategies.lists(VALID_ROWS, max_size=6),
    strategies.lists(ROWS, max_size=1),
)


def group_rows(rows: list[wire.Row]) -> _ctl_tables.TableRows:
    tables: _ctl_tables.TableRows = {}
    for row in rows:
        tables.setdefault(store.TABLE_NAMES[type(row)], {})[row.name] = row
    return tables


class VerdictTest(unittest.TestCase):
    """Guards against a verdict that differs from that of the members."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(TABLES, TABLES)
    def test_verdict_is_that_of_members(
        self, rows: list[wire.Row], new_rows: list[wire.Row]
    ) -> None:
        harness = fixtures.MachineHarness()
        planned = [
            msgspec.structs.replace(row, state=type(row.state)('planned'))
            if isinstance(row, (wire.Drain, wire.Shift))
            else row
            for table in group_rows(rows).values()
            for row in table.values()
        ]
        for number, row in enumerate(planned):
            harness.edit(f'row{number}', row)
        for row in rows:
            current_row = harness.machine.tables.get(type(row), row.name)
            if isinstance(current_row, (wire.Drain, wire.Shift)):
                harness.step(
                    msgspec.structs.replace(current_row, state=row.state)
                )
        current = harness.machine.tables.dump()
        changes = _ctl_tables.find_changes(group_rows(new_rows), current)
        errors = [
            finding
            for finding in store.check_configuration(current, changes)
            if finding.kind is ERROR
        ]
        result = harness.apply(
            wire.Edit(
                edit_id=ids.EditId('new'),
                base={
                    table: harness.machine.table_version(table)
                    for table in wire.TableName
                },
                changes=changes,
            )
        )
        self.assertEqual(result.kind is None, not errors, (result, errors))
        # Members stop at blocks that are not valid, and the check does not.
        for line in result.problems:
            self.assertIn(store.read_problem(line), errors)


class ManyBlocksTest(unittest.TestCase):
    """Guards against another verdict on blocks that are sent as an image."""

    def test_regions_of_unchanged_blocks_are_checked(self) -> None:
        blocks = [
            wire.Block(
                name=f'10.{number >> 8}.{number & 255}.0/24',
                region=ids.RegionName('ost'),
            )
            for number in range(store.MAX_CHANGES + 1)
        ]
        links = [fixtures.make_link('ost', 'west')]
        self.assertEqual([], list_items(check(*blocks, *links), ERROR))
        old_block = wire.Block(
            name='11.0.0.0/8', region=ids.RegionName('nord')
        )
        findings = check(*blocks, *links, current=(old_block,))
        self.assertEqual(['blocks'], list_items(findings, ERROR))
