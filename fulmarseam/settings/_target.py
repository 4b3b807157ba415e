"""Settings of a stand-in target."""

import dataclasses

from fulmarseam import ids
from fulmarseam.settings import _options

_option = _options.option


@dataclasses.dataclass(frozen=True)
class ServiceTime:
    """Distribution of the time that one request takes in a slot.

    `sigma` is the shape of the lognormal distribution. For `cold_s` after
    the start the time is longer, at first by `cold_multiplier`, then
    falling evenly to normal.
    """

    distribution: str = _option(
        _options.choice('fixed', 'exponential', 'lognormal'), 'lognormal'
    )
    mean_ms: float = _option(_options.number(0.0, 600_000.0), 10.0)
    sigma: float = _option(_options.number(0.0, 5.0), 0.5)
    cold_s: float = _option(_options.number(0.0, 3_600.0), 0.0)
    cold_multiplier: float = _option(_options.number(1.0, 1_000.0), 1.0)


@dataclasses.dataclass(frozen=True)
class TargetSettings:
    """Settings of `fulmarseam-target`.

    `entries` are the api addresses that announcements go to and
    `leave_entries` those told about leaving, all `entries` when empty.
    `reports` says how load reports mislead: see `standin`. `queue_limit`
    is the number of requests that wait for a slot before others are shed.
    `starting_s` is the time spent in the state "starting".
    """

    target_id: ids.TargetId = _option(_options.identifier())
    pool: ids.PoolName = _option(_options.identifier())
    region: ids.RegionName = _option(_options.identifier())
    failure_domain: ids.DomainName = _option(_options.identifier())
    listen: str = _option(_options.address())
    entries: list[str] = _option(_options.list_of(_options.address(), 1))
    leave_entries: list[str] = _option(
        _options.list_of(_options.address()), []
    )
    advertise: str | None = _option(
        _options.optional(_options.address()), None
    )
    slots: int = _option(_options.integer(1, 10_000), 4)
    connections: int = _option(_options.integer(1, 100_000), 330)
    queue_limit: int = _option(_options.integer(0, 100_000), 16)
    service: ServiceTime = _option(
        _options.section(ServiceTime), ServiceTime()
    )
    response_bytes: int = _option(_options.integer(0, 1 << 30), 200)
    reports: str = _option(
        _options.choice('true', 'lag', 'low', 'high', 'stuck', 'stop'), 'true'
    )
    report_lag_s: float = _option(_options.number(0.0, 600.0), 5.0)
    renew_ms: int = _option(_options.integer(50, 60_000), 750)
    starting_s: float = _option(_options.number(0.0, 600.0), 0.0)
    seed: int = _option(_options.integer(0, 1 << 62), 0)
    journal: str | None = _option(_options.optional(_options.text()), None)
    log_level: str = _option(
        _options.choice('debug', 'info', 'warning', 'error'), 'info'
    )
    log_file: str | None = _option(_options.optional(_options.text()), None)
