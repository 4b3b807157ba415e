"""Settings and messages for the tests of control members."""

from collections.abc import Iterable
import pathlib

from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import wire
from tests import _loopback


def find_free_ports(count: int) -> list[int]:
    """Return loopback ports that are free at the moment."""
    addresses = [_loopback.find_free_address() for _ in range(count)]
    return [int(address.rpartition(':')[2]) for address in addresses]


def make_group_settings(
    directory: str, count: int, **fields: object
) -> list[str]:
    """Return the settings of a new control group as YAML texts."""
    ports = find_free_ports(2 * count)
    members = ', '.join(
        f"c{number}: {{address: '127.0.0.1:{ports[number]}', "
        f'region: r{number}}}'
        for number in range(count)
    )
    extra = ''.join(f'{key}: {value}\n' for key, value in fields.items())
    return [
        f'member_id: c{number}\n'
        f'region: r{number}\n'
        f'failure_domain: r{number}-a\n'
        f'data_dir: {pathlib.Path(directory) / f"c{number}"}\n'
        f"listen: '127.0.0.1:{ports[number]}'\n"
        f"api: '127.0.0.1:{ports[count + number]}'\n"
        f'members: {{{members}}}\n'
        f'{extra}'
        for number in range(count)
    ]


def parse_control_settings(content: str) -> settings.ControlSettings:
    """Parse control settings from a YAML text."""
    return settings.parse_settings(content, settings.ControlSettings)


def make_info(
    entry: str = 'e1',
    incarnation: int = 1,
    region: str = 'ost',
    domain: str = 'ost-a',
) -> wire.EntryInfo:
    """Return the identity of an entry."""
    return wire.EntryInfo(
        entry=ids.EntryId(entry),
        incarnation=incarnation,
        region=ids.RegionName(region),
        failure_domain=ids.DomainName(domain),
        listen='127.0.0.1:1',
        api='127.0.0.1:2',
        rpc='127.0.0.1:3',
    )


def make_target(
    target: str = 't1', slots: int = 4, **fields: str | int
) -> wire.TargetReport:
    """Return an announcement of a target that is ready."""
    return wire.TargetReport(
        target=ids.TargetId(target),
        pool=ids.PoolName(str(fields.get('pool', 'katalog'))),
        address='127.0.0.1:9',
        region=ids.RegionName(str(fields.get('region', 'ost'))),
        failure_domain=ids.DomainName(str(fields.get('domain', 'ost-a'))),
        slots=slots,
        connections=100,
        incarnation=1,
        sequence=int(fields.get('sequence', 1)),
        state=wire.TargetState(fields.get('state', 'ready')),
    )


def make_request(
    info: wire.EntryInfo | None = None,
    revision: int = 0,
    uses: Iterable[wire.SlotUse] = (),
    announcements: Iterable[wire.TargetReport] = (),
    answer: wire.SyncResponse | None = None,
    wanted: int = 0,
    draining: bool = False,
    wait_ms: int = 400,
    copies: Iterable[wire.RecordCopy] = (),
) -> wire.SyncRequest:
    """Return a sync request that acknowledges the response, if given."""
    reports = list(announcements)
    return wire.SyncRequest(
        info=info or make_info(),
        draining=draining,
        revision=answer.revision if answer else revision,
        targets_term=answer.term if answer else 0,
        targets_version=answer.targets_version if answer else 0,
        ack_term=answer.term if answer else 0,
        ack_sequence=answer.grant_sequence if answer else 0,
        uses=list(uses),
        demand=[wire.PoolDemand(pool=ids.PoolName('katalog'), wanted=wanted)],
        links=[],
        announcements=reports,
        announcement_ages_ms=[0] * len(reports),
        wait_ms=wait_ms,
        record_copies=list(copies),
        entries_version=answer.entries_version if answer else 0,
    )


def make_slot_use(target: str, allowance: int, in_flight: int) -> wire.SlotUse:
    """Return the slots that an entry holds on a target."""
    return wire.SlotUse(
        target=ids.TargetId(target), allowance=allowance, in_flight=in_flight
    )
