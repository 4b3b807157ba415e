"""Makes the tables of the capacity page from the results file."""

from collections.abc import Callable
from collections.abc import Mapping
import pathlib
from typing import NamedTuple

from fulmarseam.bench.capacity import _series

TABLES_BEGIN = (
    '<!-- table made by fulmarseam-bench --scenario=capacity-page -->'
)
TABLES_END = '<!-- end of the table -->'

# The size expected in two years.
NODES = 3_300
SITES = 2_900
BLOCKS = 490_000
LOOKUPS_PER_S = 11_000_000
REGIONS = 52
RELAYS = 41
CHANGES_PER_S = 33_000 / 86_400
RESTARTS_PER_DAY = 370
NODES_PER_RELAY = NODES / RELAYS
LOOKUPS_PER_NODE_PER_S = LOOKUPS_PER_S / NODES
SITES_PER_REGION = SITES / REGIONS
SYNCS_PER_S = 2.5
# Encoded size of a slot grant or a slot use, with the name of the target.
GRANT_BYTES = 27
# Encoded size of a target's announcement from an entry to the leader.
ANNOUNCEMENT_BYTES = 266
ANNOUNCEMENTS_PER_S = 1 / 0.75

Lines = Mapping[str, _series.Line]


class Row(NamedTuple):
    """A row of the table; `value` computes its figure from fitted lines."""

    role: str
    what: str
    formula: str
    value: Callable[[Lines], float]
    unit: str
    bound: str
    mechanism: str
    status: str


def _evaluate_at(name: str, x: float) -> Callable[[Lines], float]:
    return lambda lines: lines[name].value_at(x)


def _compute_node_kb_per_s(lines: Lines) -> float:
    idle = lines['sync_node_bytes_per_s'].value_at(NODES_PER_RELAY)
    changes = lines['change_node_bytes_per_s'].slope * CHANGES_PER_S
    grants = 2 * GRANT_BYTES * SITES_PER_REGION * SYNCS_PER_S
    announcements = ANNOUNCEMENT_BYTES * ANNOUNCEMENTS_PER_S * SITES / NODES
    return (idle + changes + grants + announcements) / 1_000


def _compute_nodes_at_one_core(lines: Lines) -> float:
    line = lines['sync_leader_core_share']
    return (1.0 - line.intercept) / line.slope


def _compute_start_mb_per_relay(lines: Lines) -> float:
    return lines['blocks_image_mb'].value_at(BLOCKS) * NODES_PER_RELAY


ROWS = (
    Row(
        'entry',
        'memory with all blocks',
        'memory at rest + slope of blocks x 490,000',
        lambda lines: (
            lines['rest_entry_resident_mb'].intercept
            + lines['blocks_resident_mb'].slope * BLOCKS
        ),
        'MB',
        '128',
        'compact arrays, one pair for each prefix length',
        'built',
    ),
    Row(
        'entry',
        'time of one block look-up',
        'line at 490,000 blocks',
        _evaluate_at('blocks_find_us', BLOCKS),
        'us',
        'microseconds',
        'binary search in each prefix length',
        'built',
    ),
    Row(
        'entry',
        'time of one block change',
        'line at 490,000 blocks',
        _evaluate_at('blocks_change_us', BLOCKS),
        'us',
        '-',
        'one insertion into a sorted array',
        'built',
    ),
    Row(
        'look-ups',
        'processor time of a node',
        'slope x 3,333 look-ups/s',
        lambda lines: (
            lines['lookup_core_share'].slope * LOOKUPS_PER_NODE_PER_S
        ),
        'cores',
        '- (service, not control)',
        'answers kept for each region and caller group; several look-up '
        'processes on a node',
        'one process built; several planned',
    ),
    Row(
        'entry',
        'control bytes of a node',
        'sync at rest + changes + grants and uses of 56 targets + '
        'announcements',
        _compute_node_kb_per_s,
        'KB/s',
        '6',
        'long poll with differences; grants and uses as differences',
        'differences of tables and entries built; of grants planned',
    ),
    Row(
        'control leader',
        'nodes that fill one core when served directly',
        '(1 - intercept) / slope',
        _compute_nodes_at_one_core,
        'nodes',
        '3,300',
        'breaks here; relays replace it',
        'built up to this size',
    ),
    Row(
        'control leader',
        'processor time with 41 relays',
        'line at 41 readers',
        _evaluate_at('sync_leader_core_share', RELAYS),
        'cores',
        'own host',
        'relays ask like entries',
        'planned',
    ),
    Row(
        'relay',
        'processor time for 80 nodes',
        'line at 80 nodes',
        _evaluate_at('sync_leader_core_share', NODES_PER_RELAY),
        'cores',
        'own host',
        'answers the same sync request, adds its age',
        'planned',
    ),
    Row(
        'relay',
        'memory for 80 nodes',
        'line at 80 nodes + blocks',
        lambda lines: (
            lines['sync_leader_resident_mb'].value_at(NODES_PER_RELAY)
            + lines['blocks_resident_mb'].slope * BLOCKS
        ),
        'MB',
        'own host',
        'the same tables as an entry',
        'planned',
    ),
    Row(
        'control leader',
        'processor time for 33,000 changes a day',
        'slope x 0.38 changes/s',
        lambda lines: lines['change_leader_core_share'].slope * CHANGES_PER_S,
        'cores',
        'own host',
        'one log entry and one difference a change',
        'built',
    ),
    Row(
        'all',
        'slowest change in force, two levels',
        '2 x line at 1 change/s',
        lambda lines: 2 * lines['change_slowest_ms'].value_at(1.0) / 1_000,
        's',
        '18',
        'a change ends the long polls at once',
        'one level built',
    ),
    Row(
        'control member',
        'start with 5,000 log entries',
        'line at 5,000 entries',
        _evaluate_at('replay_start_s', 5_000),
        's',
        '-',
        'snapshot every 5,000 entries bounds the replay',
        'built',
    ),
    Row(
        'relay',
        'bytes to start all nodes after a power loss',
        'image of the blocks x 80 nodes',
        _compute_start_mb_per_relay,
        'MB',
        '-',
        'the image is made once and sent to all',
        'image built',
    ),
    Row(
        'relay',
        'bytes for 370 restarts a day',
        'image x 370 / 41 / 86,400 s',
        lambda lines: (
            lines['blocks_image_mb'].value_at(BLOCKS)
            * RESTARTS_PER_DAY
            / RELAYS
            / 86_400
            * 1_000
        ),
        'KB/s',
        '6',
        'a restarted node asks for the whole state once',
        'built',
    ),
)

CURRENT_SIZE_ROWS = (
    ('rest_entry_core_share', 'entry, share of a core', '0.01'),
    ('rest_entry_resident_mb', 'entry, MB', '128'),
    ('rest_entry_bytes_per_s', 'entry, bytes/s', '6,000'),
    ('rest_leader_core_share', 'control leader, share of a core', '0.01'),
    ('rest_follower_core_share', 'other member, share of a core', '0.01'),
    ('rest_control_resident_mb', 'control member, MB', '128'),
)


def fit_lines(results: Mapping[str, _series.Series]) -> Lines:
    """Return the line of each series; a single point gives a constant."""
    lines = {}
    for name, series in results.items():
        if len(series.points) == 1:
            lines[name] = _series.Line(
                slope=0.0, intercept=series.points[0].y, residual=0.0
            )
        else:
            lines[name] = _series.fit_line(series.points)
    return lines


def make_tables(results: Mapping[str, _series.Series]) -> str:
    """Return the tables of the page in Markdown."""
    lines = fit_lines(results)
    parts = [
        '| role | what | formula | at that size | bound | mechanism | today |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    parts.extend(
        f'| {row.role} | {row.what} | {row.formula} | '
        f'{format_figure(row.value(lines))} {row.unit} | {row.bound} | '
        f'{row.mechanism} | {row.status} |'
        for row in ROWS
    )
    parts += [
        '',
        "A group of today's size at rest (5 control members, 7 entries, 44 "
        'targets), busiest process:',
        '',
        '| what | measured | bound |',
        '| --- | --- | --- |',
    ]
    parts.extend(
        f'| {label} | {format_figure(lines[name].intercept)} | {bound} |'
        for name, label, bound in CURRENT_SIZE_ROWS
    )
    parts += [
        '',
        'The measured points and their lines:',
        '',
        '| series | points (x: y) | slope | intercept | residual |',
        '| --- | --- | --- | --- | --- |',
    ]
    parts.extend(
        _describe_series(series, lines[name])
        for name, series in sorted(results.items())
        if len(series.points) > 1
    )
    return '\n'.join(parts)


def _describe_series(series: _series.Series, line: _series.Line) -> str:
    points = ', '.join(
        f'{point.x:g}: {format_figure(point.y)}' for point in series.points
    )
    return (
        f'| {series.name} ({series.y_unit} over {series.x_unit}) | {points} '
        f'| {line.slope:.3g} | {line.intercept:.3g} | {line.residual:.1%} |'
    )


def format_figure(value: float) -> str:
    """Format a figure with 3 significant digits, or as integer from 1,000."""
    if abs(value) >= 1_000:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def write_page(page: pathlib.Path, results: pathlib.Path) -> None:
    """Replace the tables of the page with those made from a results file."""
    text = page.read_text(encoding='utf-8')
    before, _, rest = text.partition(TABLES_BEGIN)
    _, _, after = rest.partition(TABLES_END)
    tables = make_tables(_series.read_results(results))
    page.write_text(
        f'{before}{TABLES_BEGIN}\n\n{tables}\n\n{TABLES_END}{after}',
        encoding='utf-8',
    )
