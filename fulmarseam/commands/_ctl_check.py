"""The command `check`, which checks a file of tables before it is applied."""

import enum

from fulmarseam import errors
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.commands import _ctl_client
from fulmarseam.commands import _ctl_edits
from fulmarseam.commands import _ctl_output
from fulmarseam.commands import _ctl_tables
from fulmarseam.commands import _ctl_views

_AT_ONCE = 'at once'


class ExitCode(enum.IntEnum):
    """The exit codes of the command."""

    UNCHANGED = 0
    DIFFERS = 1
    ERRORS = 2


async def check_file(
    client: _ctl_client.AdminClient, path: str
) -> list[store.Finding]:
    """Return the findings of applying a file to the version in force."""
    content = _ctl_tables.read_content(path)
    response = await _ctl_edits.fetch_tables(client)
    targets = [
        store.KnownTarget(
            str(record['target']), str(record['region']), str(record['domain'])
        )
        for record in await _ctl_views.list_targets(client)
    ]
    return _check(content, response.changes, targets)


def check_against(path: str, against: str) -> list[store.Finding]:
    """Return the findings of applying a file to the tables of another."""
    content = _ctl_tables.read_content(path)
    base = _ctl_tables.read_content(against)
    if base.problems:
        raise errors.UsageError(
            '\n'.join(f'{against}: {problem}' for problem in base.problems)
        )
    current = [
        wire.Change(table, key, row)
        for table, rows in base.tables.items()
        for key, row in rows.items()
    ]
    if store.find_block_problems(current):
        raise errors.UsageError(
            '\n'.join(
                f'{against}: {problem}'
                for problem in store.find_block_problems(current)
            )
        )
    return _check(content, current, None)


def _check(
    content: _ctl_tables.Content,
    current: list[wire.Change],
    targets: list[store.KnownTarget] | None,
) -> list[store.Finding]:
    """Return all findings; rows that cannot be read count as unchanged."""
    if not content.tables and not content.problems:
        content.problems.append('found no table, expected at least one')
    for change in current:
        key = (change.table, change.key)
        if key in content.unread and change.row is not None:
            content.tables[change.table][change.key] = change.row
    changes = _ctl_tables.find_changes(content.tables, current)
    return [
        *map(store.read_problem, content.problems),
        *store.check_configuration(current, changes, targets),
    ]


def render(findings: list[store.Finding], output_format: str) -> str:
    """Return the findings as a table, as JSON or as YAML."""
    records = [
        {
            'finding': finding.kind.value,
            'item': finding.item,
            'found': finding.found,
            'expected': finding.expected,
            'takes_effect': _format_start(finding),
        }
        for finding in findings
    ]
    return _ctl_output.render(records, output_format)


def _format_start(finding: store.Finding) -> str | None:
    if finding.kind is not store.FindingKind.DIFFERENCE:
        return None
    if finding.start is None:
        return _AT_ONCE
    try:
        return _ctl_output.format_time(finding.start)
    except (ValueError, OverflowError, OSError):
        # Times out of range are errors of their own.
        return repr(finding.start)


def choose_exit_code(findings: list[store.Finding]) -> ExitCode:
    """Return the exit code for the findings."""
    kinds = {finding.kind for finding in findings}
    if store.FindingKind.ERROR in kinds:
        return ExitCode.ERRORS
    if store.FindingKind.DIFFERENCE in kinds:
        return ExitCode.DIFFERS
    return ExitCode.UNCHANGED
