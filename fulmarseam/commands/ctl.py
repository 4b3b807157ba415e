"""The program `fulmarseam-ctl`, the operator's tool.

Commands:

    show TABLE                 rows of a table
    diff FILE                  show what applying FILE would change
    check FILE                 report errors in FILE, settings without effect,
                               contradictions and differences from the version
                               in force, or from the file --against
    apply FILE                 replace the rows of all tables in FILE
    drain announce SCOPE NAME  drain a target, domain, region or entry
    drain cancel|list [DRAIN]
    shift announce POOL FROM TO CAP_PERCENT
    shift cancel|list [SHIFT]
    members list|add|remove [MEMBER [ADDRESS REGION]]
    targets list, entries list, quarantine list
    status                     view of each control member on the group
    wait REVISION              wait until all entries have a revision in force
    snapshot export|restore FILE
    explain REQUEST_ID LOG...  explain the outcome of a request from the logs
                               of all processes; - reads standard input
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from absl import flags

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import store
from fulmarseam import wire
from fulmarseam.commands import _ctl_check
from fulmarseam.commands import _ctl_client
from fulmarseam.commands import _ctl_edits
from fulmarseam.commands import _ctl_explain
from fulmarseam.commands import _ctl_output
from fulmarseam.commands import _ctl_snapshots
from fulmarseam.commands import _ctl_tables
from fulmarseam.commands import _ctl_views
from fulmarseam.commands import _ctl_waiting
from fulmarseam.commands import _launcher

_CONTROL = flags.DEFINE_list(
    'control', [], 'Addresses of control members, in place of --config.'
)
_FORMAT = flags.DEFINE_enum(
    'format', 'table', ['table', 'json', 'yaml'], 'The output format.'
)
flags.DEFINE_alias('output', 'format')
_AGAINST = flags.DEFINE_string(
    'against', None, 'A file of tables to check against.'
)
_EDIT_ID = flags.DEFINE_string(
    'edit_id', None, 'The id of an earlier edit, to send it again.'
)
_WAIT = flags.DEFINE_bool(
    'wait', False, 'Wait until the edit is in force on all entries.'
)
_WAIT_S = flags.DEFINE_float(
    'wait_s', 30.0, 'The longest time to wait, in seconds.', 0.0, 3_600.0
)
_NAME = flags.DEFINE_string(
    'name', None, 'The name of the new drain or shift.'
)
_START = flags.DEFINE_string(
    'start', 'now', 'The start: an ISO time with offset, "now" or "+SECONDS".'
)
_END = flags.DEFINE_string(
    'end',
    None,
    'The end of a shift: an ISO time or "+SECONDS" from now.',
)
_RAMP_S = flags.DEFINE_float(
    'ramp_s', 60.0, 'The time until a shift reaches its cap, in seconds.'
)

_EXPLAIN = 'explain'
_CHECK = 'check'

Arguments = list[str]
Action = Callable[[_ctl_client.AdminClient, Arguments], Awaitable[None]]
View = Callable[[_ctl_client.AdminClient], Awaitable[_ctl_views.Records]]


def main() -> None:
    """Run the command that the arguments name."""
    flags.FLAGS.set_gnu_getopt(True)
    _launcher.launch(_run)


def _run(arguments: Arguments) -> int:
    if arguments[:1] == [_EXPLAIN]:
        _explain(arguments[1:])
        return 0
    if arguments[:1] == [_CHECK]:
        return _check(arguments[1:])
    action, command_arguments = _find_action(arguments)
    asyncio.run(_run_action(action, command_arguments, _load_settings()))
    return 0


def _explain(arguments: Arguments) -> None:
    """Explain a request from log files, without a control member."""
    if len(arguments) < 2:
        raise errors.UsageError(
            f'found {len(arguments)} arguments, expected: {_EXPLAIN} '
            'REQUEST_ID LOG...'
        )
    print(_ctl_explain.explain(arguments[0], arguments[1:]))


def _check(arguments: Arguments) -> int:
    """Check a file; the control group is called without --against only."""
    if len(arguments) != 1:
        raise errors.UsageError(
            f'found {len(arguments)} arguments, expected: {_CHECK} FILE'
        )
    if _AGAINST.value is None:
        findings = asyncio.run(_check_in_force(arguments[0], _load_settings()))
    else:
        findings = _ctl_check.check_against(arguments[0], _AGAINST.value)
    print(_ctl_check.render(findings, _FORMAT.value))
    return _ctl_check.choose_exit_code(findings)


async def _check_in_force(
    path: str, options: settings.CtlSettings
) -> list[store.Finding]:
    async with _ctl_client.AdminClient(options) as client:
        return await _ctl_check.check_file(client, path)


async def _run_action(
    action: Action, arguments: Arguments, options: settings.CtlSettings
) -> None:
    async with _ctl_client.AdminClient(options) as client:
        await action(client, arguments)


def _find_action(arguments: Arguments) -> tuple[Action, Arguments]:
    """Return the action and arguments of the longest matching command."""
    for length in (2, 1):
        command = _COMMANDS.get(' '.join(arguments[:length]))
        if command is not None and len(arguments) >= length:
            usage, argument_count, action = command
            command_arguments = arguments[length:]
            if len(command_arguments) != argument_count:
                raise errors.UsageError(
                    f'found {len(command_arguments)} arguments, '
                    f'expected: {usage}'
                )
            return action, command_arguments
    found = ' '.join(arguments[:2]) or 'nothing'
    known_commands = ', '.join((*_COMMANDS, _CHECK, _EXPLAIN))
    raise errors.UsageError(
        f'found {found}, expected a command: {known_commands}'
    )


def _load_settings() -> settings.CtlSettings:
    if _CONTROL.value:
        check_address = settings.address()
        try:
            addresses = [
                check_address('--control', address)
                for address in _CONTROL.value
            ]
        except settings.InvalidValueError as error:
            raise errors.UsageError(str(error)) from error
        return settings.CtlSettings(
            control={ids.MemberId(address): address for address in addresses}
        )
    path = _launcher.get_config_path()
    if path is None:
        raise errors.UsageError(
            'found neither --config nor --control, expected one'
        )
    return settings.load_settings(path, settings.CtlSettings)


def _get_edit_options() -> _ctl_edits.EditOptions:
    return _ctl_edits.EditOptions(
        edit_id=_EDIT_ID.value,
        wait_s=_WAIT_S.value if _WAIT.value else None,
        output_format=_FORMAT.value,
    )


def _make_view(view: View) -> Action:
    async def action(
        client: _ctl_client.AdminClient, arguments: Arguments
    ) -> None:
        records = await view(client)
        print(_ctl_output.render(records, _FORMAT.value))

    return action


def _make_canceller(table: wire.TableName) -> Action:
    async def action(
        client: _ctl_client.AdminClient, arguments: Arguments
    ) -> None:
        await _ctl_edits.cancel_row(
            client, _get_edit_options(), table, arguments[0]
        )

    return action


async def _show(client: _ctl_client.AdminClient, arguments: Arguments) -> None:
    tables = {table.value: table for table in wire.TableName}
    if arguments[0] not in tables:
        raise errors.UsageError(
            f'found table {arguments[0]!r}, expected one of '
            + ', '.join(tables)
        )
    records = await _ctl_views.list_rows(client, tables[arguments[0]])
    print(_ctl_output.render(records, _FORMAT.value))


async def _diff(client: _ctl_client.AdminClient, arguments: Arguments) -> None:
    lines = await _ctl_edits.diff_file(client, arguments[0])
    if _FORMAT.value == 'table':
        print('\n'.join(lines) or 'no changes')
    else:
        records = [{'change': line} for line in lines]
        print(_ctl_output.render(records, _FORMAT.value))


async def _apply(
    client: _ctl_client.AdminClient, arguments: Arguments
) -> None:
    await _ctl_edits.apply_file(client, arguments[0], _get_edit_options())


async def _announce_drain(
    client: _ctl_client.AdminClient, arguments: Arguments
) -> None:
    scope, subject = arguments
    scopes = [known_scope.value for known_scope in wire.DrainScope]
    if scope not in scopes:
        raise errors.UsageError(
            f'found scope {scope!r}, expected one of ' + ', '.join(scopes)
        )
    row = wire.Drain(
        name=_NAME.value or _make_name(scope, subject),
        scope=wire.DrainScope(scope),
        subject=subject,
        start=_read_time('--start', _START.value),
    )
    content = f'drain {scope} {subject} {_START.value} {_NAME.value}'
    await _ctl_edits.add_row(client, _get_edit_options(), row, content)


async def _announce_shift(
    client: _ctl_client.AdminClient, arguments: Arguments
) -> None:
    pool, from_region, to_region, cap = arguments
    if _END.value is None:
        raise errors.UsageError('--end: found nothing, expected a time')
    row = wire.Shift(
        name=_NAME.value or _make_name(pool, from_region, to_region),
        pool=ids.PoolName(pool),
        from_region=ids.RegionName(from_region),
        to_region=ids.RegionName(to_region),
        cap_percent=_read_percent(cap),
        start=_read_time('--start', _START.value),
        end=_read_time('--end', _END.value),
        ramp_s=_RAMP_S.value,
    )
    content = ' '.join(
        ['shift', *arguments, _START.value, _END.value, str(_NAME.value)]
    )
    await _ctl_edits.add_row(client, _get_edit_options(), row, content)


def _make_name(*parts: str) -> str:
    start_time = _ctl_output.format_time(_read_time('--start', _START.value))
    digits = ''.join(
        character for character in start_time if character.isalnum()
    )
    return '-'.join([*parts, digits.lower()])


def _read_time(flag: str, value: str) -> float:
    try:
        return _ctl_tables.parse_time(value, time.time())
    except ValueError as error:
        raise errors.UsageError(f'{flag}: {error}') from error


def _read_percent(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise errors.UsageError(
            f'CAP_PERCENT: found {text!r}, expected a number'
        ) from None


async def _add_member(
    client: _ctl_client.AdminClient, arguments: Arguments
) -> None:
    member, address, region = arguments
    try:
        settings.address()('ADDRESS', address)
    except settings.InvalidValueError as error:
        raise errors.UsageError(str(error)) from error
    await client.call(
        wire.MemberAdd(
            member=ids.MemberId(member),
            address=address,
            region=ids.RegionName(region),
        )
    )
    print(f'{member}: added; it votes once it has caught up')


async def _remove_member(
    client: _ctl_client.AdminClient, arguments: Arguments
) -> None:
    await client.call(wire.MemberRemove(member=ids.MemberId(arguments[0])))
    print(f'{arguments[0]}: removed')


async def _wait(client: _ctl_client.AdminClient, arguments: Arguments) -> None:
    if not arguments[0].isdigit():
        raise errors.UsageError(
            f'REVISION: found {arguments[0]!r}, expected a whole number'
        )
    deadline = time.monotonic() + _WAIT_S.value
    await _ctl_waiting.wait_until_in_force(client, int(arguments[0]), deadline)


async def _export(
    client: _ctl_client.AdminClient, arguments: Arguments
) -> None:
    export = await _ctl_snapshots.export_tables(client, arguments[0])
    print(
        f'{arguments[0]}: {len(export.changes)} rows at revision '
        f'{export.revision}'
    )


async def _restore(
    client: _ctl_client.AdminClient, arguments: Arguments
) -> None:
    await _ctl_snapshots.restore_tables(
        client, arguments[0], _get_edit_options()
    )


async def _list_shifts(
    client: _ctl_client.AdminClient,
) -> _ctl_views.Records:
    return await _ctl_views.list_rows(client, wire.TableName.SHIFTS)


_COMMANDS: dict[str, tuple[str, int, Action]] = {
    'show': ('show TABLE', 1, _show),
    'diff': ('diff FILE', 1, _diff),
    'apply': ('apply FILE', 1, _apply),
    'drain announce': ('drain announce SCOPE NAME', 2, _announce_drain),
    'drain cancel': (
        'drain cancel DRAIN',
        1,
        _make_canceller(wire.TableName.DRAINS),
    ),
    'drain list': ('drain list', 0, _make_view(_ctl_views.list_drains)),
    'shift announce': (
        'shift announce POOL FROM_REGION TO_REGION CAP_PERCENT',
        4,
        _announce_shift,
    ),
    'shift cancel': (
        'shift cancel SHIFT',
        1,
        _make_canceller(wire.TableName.SHIFTS),
    ),
    'shift list': ('shift list', 0, _make_view(_list_shifts)),
    'members list': ('members list', 0, _make_view(_ctl_views.list_members)),
    'members add': ('members add MEMBER ADDRESS REGION', 3, _add_member),
    'members remove': ('members remove MEMBER', 1, _remove_member),
    'targets list': ('targets list', 0, _make_view(_ctl_views.list_targets)),
    'entries list': ('entries list', 0, _make_view(_ctl_views.list_entries)),
    'quarantine list': (
        'quarantine list',
        0,
        _make_view(_ctl_views.list_quarantine),
    ),
    'status': ('status', 0, _make_view(_ctl_views.show_status)),
    'wait': ('wait REVISION', 1, _wait),
    'snapshot export': ('snapshot export FILE', 1, _export),
    'snapshot restore': ('snapshot restore FILE', 1, _restore),
}
