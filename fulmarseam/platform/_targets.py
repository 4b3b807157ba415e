"""Conversion of target announcements from the platform's JSON."""

from collections.abc import Mapping
import ipaddress
from typing import Any

from fulmarseam import catalog
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.platform import _values

_PHASES = {
    'ready': wire.TargetPhase.READY,
    'draining': wire.TargetPhase.DRAINING,
}
_MIN_SLOTS = 1


def read_heartbeat(
    target: str, body: bytes, domains: Mapping[ids.DomainName, ids.RegionName]
) -> wire.TargetRecord:
    """Return the record of an announcement.

    Raises `UnreadableError` if the announcement is malformed or its target
    cannot get requests.
    """
    fields = _values.parse_object(body)
    info = _values.read_field(fields, 'info', dict, 'beat')
    status = _values.read_field(fields, 'status', dict, 'beat')
    state = _values.read_field(status, 'state', str, 'status')
    if state not in _PHASES:
        raise _values.UnreadableError(
            f'status.state: found {state!r}, expected one of '
            + ', '.join(_PHASES)
        )
    # The failure domain of the target, not that of the sender.
    domain = ids.DomainName(_values.read_field(info, 'zone', str, 'info'))
    slots = _values.read_field(info, 'slots', int, 'info')
    if slots < _MIN_SLOTS:
        raise _values.UnreadableError(
            f'info.slots: found {slots}, expected {_MIN_SLOTS} or more'
        )
    return wire.TargetRecord(
        target=ids.TargetId(target),
        pool=ids.PoolName(_values.read_field(info, 'service', str, 'info')),
        address=_read_address(fields),
        region=domains.get(domain, ids.RegionName(domain)),
        failure_domain=domain,
        slots=slots,
        phase=_PHASES[state],
        # The start of this incarnation; absent if ids are never reused.
        born_ms=_read_born(fields, 'beat'),
        sequence=_values.read_field(status, 'sequence', int, 'status'),
        cold_ms=_values.read_ms(status, 'warmupLeft', 'status')
        if 'warmupLeft' in status
        else 0.0,
    )


def read_leave(body: bytes) -> int:
    """Return the leaving incarnation, or 0 if the call names none."""
    if not body.strip():
        return 0
    fields = _values.parse_object(body)
    return _read_born(fields, 'leave')


def _read_born(fields: dict[str, Any], location: str) -> int:
    born_ms = int(
        _values.require(fields.get('born', 0), int, f'{location}.born')
    )
    if born_ms < 0:
        raise _values.UnreadableError(
            f'{location}.born: found {born_ms}, expected 0 or more'
        )
    return born_ms


def _read_address(fields: dict[str, Any]) -> str:
    address = str(_values.read_field(fields, 'address', str, 'beat'))
    host, _, port = address.rpartition(':')
    if not _is_ip_address(host) or not catalog.is_port(port):
        raise _values.UnreadableError(
            f'beat.address: found {address!r}, expected IP:PORT'
        )
    return address


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
