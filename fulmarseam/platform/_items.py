"""Configuration items between the platform's form and the product's.

An operator's call lists routes under the hosts that they belong to, pools
under `services`, and one item of limits.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.platform import _values

_IDEMPOTENT = {'idempotent': True, 'non_idempotent': False}
_KINDS = {
    'routes': wire.ItemKind.ROUTE,
    'services': wire.ItemKind.POOL,
    'limits': wire.ItemKind.LIMITS,
}
_LIMITS_NAME = 'limits'


def read_call(body: bytes) -> list[wire.Item]:
    """Return the items of an operator's call.

    Raises `UnreadableError` when any part of it cannot be read.
    """
    try:
        call = json.loads(body)
    except ValueError as error:
        raise _values.UnreadableError(f'body: {error}') from error
    _values.require(call, dict, 'body')
    upsert = _values.require(call.get('upsert', {}), dict, 'upsert')
    remove = _values.require(call.get('remove', {}), dict, 'remove')
    return [*_read_upsert(upsert), *_read_remove(remove)]


def _read_upsert(upsert: dict[str, Any]) -> Iterator[wire.Item]:
    for fields in _list_objects(upsert, 'services', 'upsert'):
        yield _read_pool(fields)
    if upsert.get('limits') is not None:
        yield _read_limits(
            _values.require(upsert['limits'], dict, 'upsert.limits')
        )
    for entry in _list_objects(upsert, 'hosts', 'upsert'):
        host = _values.read_field(entry, 'host', str, 'upsert.hosts')
        for fields in _list_objects(entry, 'paths', f'host {host}'):
            yield _read_route(host, fields)


def _list_objects(
    fields: dict[str, Any], name: str, place: str
) -> list[dict[str, Any]]:
    found = fields.get(name)
    if found is None:
        return []
    items = _values.require(found, list, f'{place}.{name}')
    return [
        _values.require(item, dict, f'{place}.{name}[{position}]')
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
    place = f'service {name}'
    pool = wire.PoolItem(
        name=ids.PoolName(name),
        version=_values.read_field(fields, 'version', int, place),
        health_path=_values.read_field(fields, 'healthPath', str, place),
        max_connections=_values.read_field(fields, 'maxConns', int, place),
        # How long a target stays cold, not how long it is to be warmed.
        cold_s=_values.read_ms(fields, 'warmup', place) / 1_000
        if 'warmup' in fields
        else 0.0,
        cold_per_s=_values.read_number(fields, 'warmupPerS', place)
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
    place = f'route {name}'
    kind = _values.read_field(fields, 'type', str, place)
    if kind not in _IDEMPOTENT:
        raise _values.UnreadableError(
            f'{place}.type: found {kind!r}, expected one of '
            + ', '.join(_IDEMPOTENT)
        )
    timeout_ms = _values.read_ms(fields, 'timeout', place)
    route = wire.RouteItem(
        name=ids.RouteName(name),
        version=_values.read_field(fields, 'version', int, place),
        host=host,
        path_prefix=_values.read_field(fields, 'pathPrefix', str, place),
        split=_read_split(fields, place),
        timeout_ms=timeout_ms,
        target_latency_ms=_values.read_ms(fields, 'targetLatency', place)
        if 'targetLatency' in fields
        else timeout_ms,
        priority=_values.require(
            fields.get('priority', 0), int, f'{place}.priority'
        ),
        max_attempts=_values.read_field(fields, 'maxAttempts', int, place),
        idempotent=_IDEMPOTENT[kind],
        # Prefers the target that lately handled the same object.
        sticky=_values.require(
            fields.get('sessionAffinity', False),
            bool,
            f'{place}.sessionAffinity',
        ),
        allowed_regions=[
            _values.require(region, str, f'{place}.allowedRegions')
            for region in _values.require(
                fields.get('allowedRegions') or [],
                list,
                f'{place}.allowedRegions',
            )
        ],
    )
    return _make_item(wire.ItemKind.ROUTE, route, fields)


def _read_split(fields: dict[str, Any], place: str) -> list[wire.SplitPart]:
    if fields.get('split') is None:
        pool = _values.read_field(fields, 'service', str, place)
        return [wire.SplitPart(ids.PoolName(pool), 1.0)]
    return [
        wire.SplitPart(
            ids.PoolName(
                _values.read_field(part, 'service', str, f'{place}.split')
            ),
            _values.read_number(part, 'weight', f'{place}.split'),
        )
        for part in _list_objects(fields, 'split', place)
    ]


def _read_remove(remove: dict[str, Any]) -> Iterator[wire.Item]:
    for key, kind in _KINDS.items():
        for fields in _list_objects(remove, key, 'remove'):
            name = _values.read_field(fields, 'name', str, f'remove.{key}')
            yield wire.Item(
                kind=kind,
                name=name,
                version=_values.read_field(
                    fields, 'version', int, f'remove.{key}'
                ),
            )


def write_items(items: Iterable[wire.Item]) -> bytes:
    """Return the body that lists all items that are not dropped."""
    services: list[Any] = []
    hosts: dict[str, list[Any]] = {}
    laid_out: dict[str, Any] = {'services': services}
    for item in items:
        if item.row is None:
            continue
        fields = json.loads(item.source)
        match item.row:
            case wire.PoolItem():
                services.append(fields)
            case wire.LimitsItem():
                laid_out['limits'] = fields
            case wire.RouteItem():
                hosts.setdefault(item.row.host, []).append(fields)
    laid_out['hosts'] = [
        {'host': host, 'paths': paths} for host, paths in hosts.items()
    ]
    return json.dumps(laid_out, separators=(',', ':')).encode()
