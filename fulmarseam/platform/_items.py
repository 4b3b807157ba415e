"""Conversion of configuration items from and to the platform's JSON.

An operator's call lists routes under their hosts, pools under `services`,
organisations under `tenants`, and one item of limits.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.platform import _values

_IS_IDEMPOTENT = {'idempotent': True, 'non_idempotent': False}
_REMOVED_KINDS = {
    'routes': wire.ItemKind.ROUTE,
    'services': wire.ItemKind.POOL,
    'limits': wire.ItemKind.LIMITS,
    'tenants': wire.ItemKind.ORGANISATION,
}
_LIMITS_NAME = 'limits'
_UPSERT_KEYS = {'services', 'limits', 'tenants', 'hosts'}


def read_call(body: bytes) -> Iterator[wire.Item]:
    """Yield the items of an operator's call.

    Raises `UnreadableError` if any part of it is malformed, in the worst
    case after the last item.
    """
    call = _values.parse_object(body)
    if 'upsert' not in call and 'remove' not in call:
        raise _values.UnreadableError(
            f'body: found {_list_names(call)}, expected upsert or remove'
        )
    upsert = _read_lists(call, 'upsert', _UPSERT_KEYS)
    remove = _read_lists(call, 'remove', _REMOVED_KINDS)
    yield from _read_upsert(upsert)
    yield from _read_remove(remove)


def _read_lists(
    call: dict[str, Any], name: str, expected: Iterable[str]
) -> dict[str, Any]:
    """Return an object that has no other keys than `expected`.

    Items under another key would be acknowledged without any effect.
    """
    found = _values.require(call.get(name, {}), dict, name)
    unknown = found.keys() - set(expected)
    if unknown:
        raise _values.UnreadableError(
            f'{name}: found {_list_names(unknown)}, expected only '
            f'{_list_names(expected)}'
        )
    return dict(found)


def _list_names(names: Iterable[str]) -> str:
    return ', '.join(sorted(names)) or 'nothing'


def _read_upsert(upsert: dict[str, Any]) -> Iterator[wire.Item]:
    for fields in _read_objects(upsert, 'services', 'upsert'):
        yield _read_pool(fields)
    if upsert.get('limits') is not None:
        yield _read_limits(
            _values.require(upsert['limits'], dict, 'upsert.limits')
        )
    for fields in _read_objects(upsert, 'tenants', 'upsert'):
        yield _read_organisation(fields)
    for host_fields in _read_objects(upsert, 'hosts', 'upsert'):
        host = _values.read_field(host_fields, 'host', str, 'upsert.hosts')
        _values.read_field(host_fields, 'paths', list, f'host {host}')
        for fields in _read_objects(host_fields, 'paths', f'host {host}'):
            yield _read_route(host, fields)


def _read_objects(
    fields: dict[str, Any], name: str, location: str
) -> list[dict[str, Any]]:
    found = fields.get(name)
    if found is None:
        return []
    items = _values.require(found, list, f'{location}.{name}')
    return [
        _values.require(item, dict, f'{location}.{name}[{position}]')
        for position, item in enumerate(items)
    ]


def _make_item(
    kind: wire.ItemKind, row: wire.ItemRow, fields: dict[str, Any]
) -> wire.Item:
    return wire.Item(
        kind=kind,
        name=row.name,
        version=row.version,
        row=row,
        source=json.dumps(fields, separators=(',', ':')).encode(),
    )


def _read_pool(fields: dict[str, Any]) -> wire.Item:
    name = _values.read_field(fields, 'name', str, 'service')
    location = f'service {name}'
    pool = wire.PoolItem(
        name=ids.PoolName(name),
        version=_values.read_field(fields, 'version', int, location),
        health_path=_values.read_field(fields, 'healthPath', str, location),
        max_connections=_values.read_field(fields, 'maxConns', int, location),
        # The time that a target stays cold, not a time to warm it up.
        cold_s=_values.read_ms(fields, 'warmup', location) / 1_000
        if 'warmup' in fields
        else 0.0,
        cold_per_s=_values.read_number(fields, 'warmupPerS', location)
        if 'warmupPerS' in fields
        else 0.0,
    )
    return _make_item(wire.ItemKind.POOL, pool, fields)


def _read_limits(fields: dict[str, Any]) -> wire.Item:
    limits = wire.LimitsItem(
        version=_values.read_field(fields, 'version', int, 'limits'),
        max_header_bytes=_values.read_field(
            fields, 'maxHeaderBytes', int, 'limits'
        ),
        max_body_bytes=_values.read_field(
            fields, 'maxBodyBytes', int, 'limits'
        ),
        header_timeout_ms=_values.read_ms(fields, 'headerTimeout', 'limits'),
        idle_timeout_ms=_values.read_ms(fields, 'idleTimeout', 'limits'),
        name=_LIMITS_NAME,
    )
    return _make_item(wire.ItemKind.LIMITS, limits, fields)


def _read_route(host: str, fields: dict[str, Any]) -> wire.Item:
    name = _values.read_field(fields, 'name', str, f'host {host}')
    location = f'route {name}'
    route_type = _values.read_field(fields, 'type', str, location)
    if route_type not in _IS_IDEMPOTENT:
        raise _values.UnreadableError(
            f'{location}.type: found {_values.describe(route_type)}, '
            f'expected one of {", ".join(_IS_IDEMPOTENT)}'
        )
    timeout_ms = _values.read_ms(fields, 'timeout', location)
    route = wire.RouteItem(
        name=ids.RouteName(name),
        version=_values.read_field(fields, 'version', int, location),
        host=host,
        path_prefix=_values.read_field(fields, 'pathPrefix', str, location),
        split=_read_split(fields, location),
        timeout_ms=timeout_ms,
        target_latency_ms=_values.read_ms(fields, 'targetLatency', location)
        if 'targetLatency' in fields
        else timeout_ms,
        priority=_values.require(
            fields.get('priority', 0), int, f'{location}.priority'
        ),
        max_attempts=_values.read_field(fields, 'maxAttempts', int, location),
        idempotent=_IS_IDEMPOTENT[route_type],
        # Prefers the target that recently handled the same object.
        sticky=_values.require(
            fields.get('sessionAffinity', False),
            bool,
            f'{location}.sessionAffinity',
        ),
        allowed_regions=_read_regions(fields, location),
        allow_anonymous=_values.require(
            fields.get('allowAnonymous', False),
            bool,
            f'{location}.allowAnonymous',
        ),
    )
    return _make_item(wire.ItemKind.ROUTE, route, fields)


def _read_regions(
    fields: dict[str, Any], location: str
) -> list[ids.RegionName]:
    location = f'{location}.allowedRegions'
    return [
        ids.RegionName(_values.require(region, str, location))
        for region in _values.require(
            fields.get('allowedRegions') or [], list, location
        )
    ]


def _read_organisation(fields: dict[str, Any]) -> wire.Item:
    name = _values.read_field(fields, 'name', str, 'tenant')
    location = f'tenant {name}'
    priority = fields.get('priority')
    organisation = wire.OrganisationItem(
        name=ids.OrganisationName(name),
        version=_values.read_field(fields, 'version', int, location),
        key_digests=_read_key_digests(fields, location),
        priority=None
        if priority is None
        else _values.require(priority, int, f'{location}.priority'),
        rate_per_s=_read_optional_number(fields, 'ratePerS', location),
        burst=_read_optional_number(fields, 'burst', location),
        allowed_regions=_read_regions(fields, location),
    )
    return _make_item(wire.ItemKind.ORGANISATION, organisation, fields)


def _read_key_digests(fields: dict[str, Any], location: str) -> list[bytes]:
    """Return the digests of the keys; an empty key is never accepted.

    The error tells no value, as that could be a key.
    """
    keys = fields.get('apiKeys')
    if keys is None:
        return []
    if not isinstance(keys, list) or not all(
        isinstance(key, str) for key in keys
    ):
        raise _values.UnreadableError(
            f'{location}.apiKeys: found something else, expected a list of '
            'texts'
        )
    return [wire.compute_key_digest(key.encode()) for key in keys if key]


def _read_optional_number(
    fields: dict[str, Any], name: str, location: str
) -> float:
    if fields.get(name) is None:
        return 0.0
    return _values.read_number(fields, name, location)


def _read_split(fields: dict[str, Any], location: str) -> list[wire.SplitPart]:
    if fields.get('split') is None:
        pool = _values.read_field(fields, 'service', str, location)
        return [wire.SplitPart(ids.PoolName(pool), 1.0)]
    return [
        wire.SplitPart(
            ids.PoolName(
                _values.read_field(part, 'service', str, f'{location}.split')
            ),
            _values.read_number(part, 'weight', f'{location}.split'),
        )
        for part in _read_objects(fields, 'split', location)
    ]


def _read_remove(remove: dict[str, Any]) -> Iterator[wire.Item]:
    for key, kind in _REMOVED_KINDS.items():
        for fields in _read_objects(remove, key, 'remove'):
            name = _values.read_field(fields, 'name', str, f'remove.{key}')
            yield wire.Item(
                kind=kind,
                name=name,
                version=_values.read_field(
                    fields, 'version', int, f'remove.{key}'
                ),
            )


def write_items(items: Iterable[wire.Item]) -> bytes:
    """Return the JSON body that lists all items, without dropped ones."""
    services: list[bytes] = []
    hosts: dict[str, list[bytes]] = {}
    organisations: list[bytes] = []
    limits: list[bytes] = []
    for item in items:
        match item.row:
            case wire.PoolItem():
                services.append(item.source)
            case wire.LimitsItem():
                limits.append(item.source)
            case wire.RouteItem(host=host):
                hosts.setdefault(host, []).append(item.source)
            case wire.OrganisationItem():
                organisations.append(item.source)
    members = [b'"services":' + _write_list(services)]
    members.extend(b'"limits":' + source for source in limits)
    if organisations:
        members.append(b'"tenants":' + _write_list(organisations))
    host_objects = [
        b'{"host":%b,"paths":%b}'
        % (json.dumps(host).encode(), _write_list(paths))
        for host, paths in hosts.items()
    ]
    members.append(b'"hosts":' + _write_list(host_objects))
    return b'{' + b','.join(members) + b'}'


def _write_list(values: Iterable[bytes]) -> bytes:
    return b'[' + b','.join(values) + b']'
