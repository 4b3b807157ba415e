"""Commands of the operator's tool that show state."""

import asyncio
from collections.abc import Iterable

from fulmarseam import errors
from fulmarseam import wire
from fulmarseam.commands import _ctl_client
from fulmarseam.commands import _ctl_edits
from fulmarseam.commands import _ctl_output

Records = list[_ctl_output.Record]


async def list_rows(
    client: _ctl_client.AdminClient, table: wire.TableName
) -> Records:
    """Return the rows of one table."""
    response = await _ctl_edits.fetch_tables(client, table)
    return [_make_row_record(change) for change in response.changes]


def _make_row_record(change: wire.Change) -> _ctl_output.Record:
    if change.row is None:
        return {'name': change.key}
    record = _ctl_output.to_record(change.row)
    if isinstance(change.row, (wire.Drain, wire.Shift)):
        for field in ('start', 'end'):
            if field in record:
                record[field] = _ctl_output.format_time(record[field])
    return record


async def _fetch_fleet(
    client: _ctl_client.AdminClient,
) -> wire.FleetResponse:
    return _ctl_edits.check_response_type(
        await client.call(wire.FleetRequest()), wire.FleetResponse
    )


async def list_drains(client: _ctl_client.AdminClient) -> Records:
    """Return the drains and the number of requests in flight on each."""
    records = await list_rows(client, wire.TableName.DRAINS)
    fleet = await _fetch_fleet(client)
    for record in records:
        record['in_flight'] = _count_in_flight(record, fleet)
    return records


def _count_in_flight(
    drain: _ctl_output.Record, fleet: wire.FleetResponse
) -> int:
    """Return the number of requests in flight on the subject of a drain."""
    scope: str = drain['scope']
    subject: str = drain['subject']
    if scope == wire.DrainScope.ENTRY.value:
        return sum(
            entry.in_flight
            for entry in fleet.entries
            if entry.row.info.entry == subject
        )
    field = 'failure_domain' if scope == 'domain' else scope
    return sum(
        target.in_flight
        for target in fleet.targets
        if getattr(target.row.report, field) == subject
    )


async def list_members(client: _ctl_client.AdminClient) -> Records:
    """Return the group members as the leader or newest member reports."""
    responses = await client.call_all_members(wire.StatusRequest())
    statuses = [
        response
        for response in responses.values()
        if isinstance(response, wire.StatusResponse)
    ]
    if not statuses:
        raise _make_unreachable_error(responses.items())
    newest = max(
        statuses,
        key=lambda status: (
            status.leadership_age_ms is not None,
            status.term,
            status.applied_index,
        ),
    )
    return [
        {
            'member': row.member,
            'address': row.address,
            'region': row.region,
            'voter': row.voter,
            'leader': row.member == newest.leader,
            'behind': (
                None
                if row.match_index is None
                else newest.last_index - row.match_index
            ),
        }
        for row in newest.members
    ]


async def show_status(client: _ctl_client.AdminClient) -> Records:
    """Return the view of each control member on the group."""
    responses = await client.call_all_members(wire.StatusRequest())
    records: Records = []
    for member, response in responses.items():
        record: _ctl_output.Record = {
            'member': member,
            'state': 'unreachable',
            'leader': None,
            'term': None,
            'revision': None,
            'applied': None,
            'leadership_age_ms': None,
        }
        if isinstance(response, wire.StatusResponse):
            record.update(
                member=response.member,
                state=(
                    'leader'
                    if response.leadership_age_ms is not None
                    else 'follower'
                ),
                leader=response.leader,
                term=response.term,
                revision=response.revision,
                applied=response.applied_index,
                leadership_age_ms=response.leadership_age_ms,
            )
        records.append(record)
    if all(record['state'] == 'unreachable' for record in records):
        raise _make_unreachable_error(responses.items())
    return records


def _make_unreachable_error(
    responses: Iterable[tuple[str, wire.Message | errors.FulmarseamError]],
) -> errors.FulmarseamError:
    details = '; '.join(
        f'{member}: {getattr(response, "detail", response)}'
        for member, response in responses
    )
    return errors.FulmarseamError(
        errors.ErrorKind.UNAVAILABLE, f'no control member answered: {details}'
    )


async def list_targets(client: _ctl_client.AdminClient) -> Records:
    """Return the targets known to the control leader."""
    fleet = await _fetch_fleet(client)
    return [
        {
            'target': target.row.report.target,
            'pool': target.row.report.pool,
            'address': target.row.report.address,
            'region': target.row.report.region,
            'domain': target.row.report.failure_domain,
            'state': target.row.report.state.value,
            'slots': target.row.report.slots,
            'granted': target.granted,
            'in_flight': target.in_flight,
            'lease_ms': target.row.lease_ms,
        }
        for target in fleet.targets
    ]


async def list_entries(client: _ctl_client.AdminClient) -> Records:
    """Return the entries known to the control leader."""
    fleet = await _fetch_fleet(client)
    return [
        {
            'entry': entry.row.info.entry,
            'region': entry.row.info.region,
            'domain': entry.row.info.failure_domain,
            'alive': entry.row.alive,
            'draining': entry.row.draining,
            'revision': entry.revision,
            'in_flight': entry.in_flight,
            'silent_ms': entry.silent_ms,
            'listen': entry.row.info.listen,
            'api': entry.row.info.api,
        }
        for entry in fleet.entries
    ]


async def list_quarantine(client: _ctl_client.AdminClient) -> Records:
    """Return the suspect and quarantined fingerprints of all live entries.

    The record of an entry that does not respond holds its problem.
    """
    fleet = await _fetch_fleet(client)
    live = [entry.row.info for entry in fleet.entries if entry.row.alive]

    async def list_entry(info: wire.EntryInfo) -> Records:
        try:
            response = await client.call_address(
                info.rpc, wire.QuarantineRequest()
            )
        except errors.FulmarseamError as error:
            return [_make_quarantine_record(info, problem=error.detail)]
        quarantine = _ctl_edits.check_response_type(
            response, wire.QuarantineResponse
        )
        return [_make_quarantine_record(info, row) for row in quarantine.rows]

    responses = await asyncio.gather(*(list_entry(info) for info in live))
    return [record for records in responses for record in records]


def _make_quarantine_record(
    info: wire.EntryInfo,
    row: wire.QuarantineRow | None = None,
    problem: str | None = None,
) -> _ctl_output.Record:
    return {
        'entry': info.entry,
        'fingerprint': row.fingerprint if row else None,
        'state': _name_quarantine_state(row),
        'targets': list(row.targets) if row else [],
        'left_ms': row.left_ms if row else None,
        'problem': problem,
    }


def _name_quarantine_state(row: wire.QuarantineRow | None) -> str:
    if row is None:
        return 'unknown'
    return 'quarantined' if row.quarantined else 'suspect'
