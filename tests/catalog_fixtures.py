"""Rows and commands for tests of the catalog and its users."""

from typing import Any

from fulmarseam import catalog
from fulmarseam import ids
from fulmarseam import wire


def target_id(name: str) -> ids.TargetId:
    """Return the id of a target."""
    return ids.TargetId(name)


def domain(name: str) -> ids.DomainName:
    """Return the name of a failure domain."""
    return ids.DomainName(name)


def region(name: str) -> ids.RegionName:
    """Return the name of a region."""
    return ids.RegionName(name)


def make_pool(name: str, version: int, **fields: Any) -> wire.Item:
    """Return a version of a pool."""
    row = wire.PoolItem(
        name=ids.PoolName(name),
        version=version,
        health_path='/health',
        max_connections=100,
        **fields,
    )
    return wire.Item(
        kind=wire.ItemKind.POOL, name=name, version=version, row=row
    )


def make_route(
    name: str,
    version: int,
    pool: str = 'katalog',
    source: bytes = b'',
    **fields: Any,
) -> wire.Item:
    """Return a version of a route to one pool."""
    values: dict[str, Any] = {
        'host': 'shop.example',
        'path_prefix': f'/{name}/',
        'split': [wire.SplitPart(ids.PoolName(pool), 1.0)],
        'timeout_ms': 1_000.0,
        'target_latency_ms': 200.0,
        'max_attempts': 2,
        'idempotent': True,
    }
    row = wire.RouteItem(
        name=ids.RouteName(name), version=version, **(values | fields)
    )
    return wire.Item(
        kind=wire.ItemKind.ROUTE,
        name=name,
        version=version,
        row=row,
        source=source,
    )


def make_organisation(
    name: str, version: int, *keys: str, **fields: Any
) -> wire.Item:
    """Return a version of an organisation."""
    row = wire.OrganisationItem(
        name=ids.OrganisationName(name),
        version=version,
        key_digests=[wire.compute_key_digest(key.encode()) for key in keys],
        **fields,
    )
    return wire.Item(
        kind=wire.ItemKind.ORGANISATION,
        name=name,
        version=version,
        row=row,
        source=repr(keys).encode(),
    )


def make_organisation_removal(name: str, version: int) -> wire.Item:
    """Return a version that removes an organisation."""
    return wire.Item(
        kind=wire.ItemKind.ORGANISATION, name=name, version=version
    )


def make_route_removal(name: str, version: int) -> wire.Item:
    """Return a version that removes a route."""
    return wire.Item(kind=wire.ItemKind.ROUTE, name=name, version=version)


def make_pool_removal(name: str, version: int) -> wire.Item:
    """Return a version that removes a pool."""
    return wire.Item(kind=wire.ItemKind.POOL, name=name, version=version)


def make_record(name: str, **fields: Any) -> wire.TargetRecord:
    """Return the record of a target."""
    values: dict[str, Any] = {
        'pool': 'katalog',
        'address': f'{name}:1',
        'region': 'ost',
        'failure_domain': 'ost-wien',
        'slots': 2,
        'sequence': 1,
    }
    return wire.TargetRecord(target=target_id(name), **(values | fields))


def make_poll(
    entry: str,
    region_name: str,
    domain_name: str,
    state: wire.EntryState = wire.EntryState.READY,
    incarnation: int = 5,
) -> wire.EntryPoll:
    """Return the poll of an entry."""
    return wire.EntryPoll(
        entry=ids.EntryId(entry),
        address=f'{entry}:1',
        region=region(region_name),
        failure_domain=domain(domain_name),
        incarnation=incarnation,
        state=state,
    )


def apply(
    machine: catalog.Catalog, command: catalog.Command
) -> wire.CatalogResult:
    """Apply a command and return its result."""
    return catalog.decode_result(
        machine.apply(catalog.encode_command(command))
    )


def put(
    machine: catalog.Catalog, *items: wire.Item, digest: bytes | None = None
) -> wire.CatalogResult:
    """Apply an edit of an operator."""
    if digest is None:
        digest = repr(items).encode()
    return apply(machine, catalog.PutItems(items=list(items), digest=digest))


def announce(
    machine: catalog.Catalog, name: str, **fields: Any
) -> wire.CatalogResult:
    """Apply the announcement of a target."""
    record = make_record(name, **fields)
    return apply(machine, catalog.AnnounceTargets(records=[record]))


def leave(
    machine: catalog.Catalog, name: str, born_ms: int = 0
) -> wire.CatalogResult:
    """Apply the leave of a target."""
    command = catalog.LeaveTarget(target=target_id(name), born_ms=born_ms)
    return apply(machine, command)


def evacuate(
    machine: catalog.Catalog, name: str, active: bool
) -> wire.CatalogResult:
    """Apply the start or the end of an evacuation."""
    command = catalog.EvacuateDomain(
        failure_domain=domain(name), active=active
    )
    return apply(machine, command)
