"""Settings of the programs of a catalog group."""

import dataclasses
import enum
from typing import Any

from fulmarseam import ids
from fulmarseam.settings import _options

_option = _options.option


def _levels() -> _options.Check:
    return _options.choice('debug', 'info', 'warning', 'error')


def _list_peers(seeds: list[str], peer_port: int) -> tuple[str, ...]:
    """Return the peer addresses of the members at the seeds."""
    return tuple(f'{seed.rpartition(":")[0]}:{peer_port}' for seed in seeds)


@dataclasses.dataclass(frozen=True)
class CatalogSettings:
    """Settings of a control member of a catalog group.

    `listen` is for the other processes, `api` for operators and targets,
    `lookups` for callers. `advertise` is the address that other processes
    call if it differs from `listen`, as behind a proxy. `seeds` are the `api`
    addresses of some members; other processes connect to the port
    `peer_port` of these members. `first_start`
    is set when the whole system starts for the first time. `domains` maps
    failure domains to regions. The quota settings are those of the entries.
    `memory_limit` is in MiB. `host_limits` are
    the limits of the host in the words of the platform.
    """

    host: ids.HostId = _option(_options.identifier())
    region: ids.RegionName = _option(_options.identifier())
    failure_domain: ids.DomainName = _option(_options.identifier())
    domains: dict[ids.DomainName, ids.RegionName] = _option(
        _options.mapping_of(_options.identifier(), _options.identifier(), 1)
    )
    data_dir: str = _option(_options.text())
    listen: str = _option(_options.address())
    api: str = _option(_options.address())
    lookups: str = _option(_options.address())
    seeds: list[str] = _option(_options.list_of(_options.address(), 0))
    peer_port: int = _option(_options.integer(1, 65_535))
    advertise: str | None = _option(
        _options.optional(_options.address()), None
    )
    first_start: bool = _option(_options.boolean(), False)
    tolerated_hosts: int = _option(_options.integer(0, 20), 2)
    heartbeat: float = _option(_options.duration(0.01, 60.0), 1.5)
    lookup_lifetime_limit: float = _option(
        _options.duration(0.1, 3_600.0), 5.0
    )
    quota_window: float = _option(_options.duration(0.1, 600.0), 5.0)
    quota_overage: float = _option(_options.number(0.0, 10.0), 0.1)
    quota_slack: float = _option(_options.number(0.0, 1e6), 20.0)
    memory_limit: int | None = _option(
        _options.optional(_options.integer(64, 1_048_576)), None
    )
    max_connections: int = _option(_options.integer(1, 1_000_000), 4_000)
    max_header_fields: int = _option(_options.integer(16, 100_000), 16_384)
    min_progress: float = _option(_options.number(0.0, 1e9), 0.0)
    min_answer_progress: float = _option(_options.number(0.0, 1e9), 64.0)
    progress_timeout: float = _option(_options.duration(0.1, 3_600.0), 30.0)
    host_limits: dict[str, Any] | None = _option(
        _options.optional(
            _options.mapping_of(_options.text(), _options.anything())
        ),
        None,
    )
    log_level: str = _option(_levels(), 'info')

    @property
    def wanted_voters(self) -> int:
        """Return the voters needed to keep a quorum after the losses."""
        return 2 * self.tolerated_hosts + 1

    def list_peers(self) -> tuple[str, ...]:
        """Return the peer addresses of the seeds."""
        return _list_peers(self.seeds, self.peer_port)


class ObjectPlacement(enum.Enum):
    """How the targets of an object are chosen.

    With `ADAPTIVE` all entries agree on the targets of an object, whose number
    follows its demand. `REGIONAL` differs in that each region prefers its own
    targets, which saves bytes between regions if the callers of each region
    have objects of their own. `FIXED` uses two targets for each region.
    `AUTOMATIC` is `REGIONAL` for pools whose targets report how long work
    takes on their hosts, and `FIXED` for all others.
    """

    AUTOMATIC = 'automatic'
    ADAPTIVE = 'adaptive'
    REGIONAL = 'regional'
    FIXED = 'fixed'


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of an entry that serves from a catalog.

    `listen` is for callers and `readiness` for the checks of the platform.
    `seeds` and `peer_port` are those of the control members. The retry
    bounds hold for the sum of all entries: in any `retry_window` a pool
    gets at most `retry_ratio` x its requests + `retry_slack` repeats. An
    entry uses none of the slack in its first window, unless `first_start`
    says that no process of it can have run before. A
    cold target gets at most its rate x `cold_factor` + `cold_slack`
    requests a second. In any `quota_window` an organisation gets at
    most (rate x window + burst) x (1 + `quota_overage`) + `quota_slack`
    requests over all entries. Removed keys of organisations are refused within
    `revoke`; with `revoke_strict` an entry that has heard from no member for
    that long refuses all requests. `object_placement` is a value of
    `ObjectPlacement`.
    """

    host: ids.HostId = _option(_options.identifier())
    region: ids.RegionName = _option(_options.identifier())
    failure_domain: ids.DomainName = _option(_options.identifier())
    domains: dict[ids.DomainName, ids.RegionName] = _option(
        _options.mapping_of(_options.identifier(), _options.identifier(), 1)
    )
    listen: str = _option(_options.address())
    readiness: str = _option(_options.address())
    seeds: list[str] = _option(_options.list_of(_options.address(), 0))
    peer_port: int = _option(_options.integer(1, 65_535))
    grace: float = _option(_options.duration(0.5, 600.0), 6.0)
    retry_ratio: float = _option(_options.number(0.0, 10.0), 0.2)
    retry_slack: float = _option(_options.number(0.0, 1e6), 10.0)
    retry_window: float = _option(_options.duration(0.1, 600.0), 10.0)
    first_start: bool = _option(_options.boolean(), False)
    cold_factor: float = _option(_options.number(0.0, 100.0), 1.5)
    cold_slack: float = _option(_options.number(0.0, 1e6), 5.0)
    memory_limit: int | None = _option(
        _options.optional(_options.integer(64, 1_048_576)), None
    )
    max_connections: int = _option(_options.integer(1, 1_000_000), 4_000)
    quota_window: float = _option(_options.duration(0.1, 600.0), 5.0)
    quota_overage: float = _option(_options.number(0.0, 10.0), 0.1)
    quota_slack: float = _option(_options.number(0.0, 1e6), 20.0)
    revoke: float = _option(_options.duration(0.1, 600.0), 5.0)
    revoke_strict: bool = _option(_options.boolean(), False)
    max_header_fields: int = _option(_options.integer(16, 100_000), 16_384)
    min_progress: float = _option(_options.number(0.0, 1e9), 0.0)
    min_answer_progress: float = _option(_options.number(0.0, 1e9), 64.0)
    progress_timeout: float = _option(_options.duration(0.1, 3_600.0), 30.0)
    host_limits: dict[str, Any] | None = _option(
        _options.optional(
            _options.mapping_of(_options.text(), _options.anything())
        ),
        None,
    )
    object_placement: str = _option(
        _options.choice(*(policy.value for policy in ObjectPlacement)),
        ObjectPlacement.AUTOMATIC.value,
    )
    log_level: str = _option(_levels(), 'info')

    def list_peers(self) -> tuple[str, ...]:
        """Return the peer addresses of the seeds."""
        return _list_peers(self.seeds, self.peer_port)
