"""Settings of an entry."""

import dataclasses

from fulmarseam import ids
from fulmarseam.settings import _options

_option = _options.option


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of `fulmarseam-entry`.

    `listen` serves callers, `api` serves look-ups, announcements and
    metrics, and `rpc` serves the other processes of the system. The
    `advertise` addresses are published to the other parties; they
    default to the listen addresses.
    """

    entry_id: ids.EntryId = _option(_options.identifier())
    region: ids.RegionName = _option(_options.identifier())
    failure_domain: ids.DomainName = _option(_options.identifier())
    listen: str = _option(_options.address())
    api: str = _option(_options.address())
    rpc: str = _option(_options.address())
    control: dict[ids.MemberId, str] = _option(
        _options.mapping_of(_options.identifier(), _options.address(), 1)
    )
    advertise_listen: str | None = _option(
        _options.optional(_options.address()), None
    )
    advertise_api: str | None = _option(
        _options.optional(_options.address()), None
    )
    advertise_rpc: str | None = _option(
        _options.optional(_options.address()), None
    )
    peer_overrides: dict[ids.EntryId, str] = _option(
        _options.mapping_of(_options.identifier(), _options.address()), {}
    )
    data_dir: str | None = _option(_options.optional(_options.text()), None)
    config_lease_ms: int = _option(_options.integer(200, 60_000), 3_000)
    lookup_ttl_ms: int = _option(_options.integer(1_000, 600_000), 5_000)
    max_header_bytes: int = _option(_options.integer(1_024, 1 << 20), 32_768)
    max_body_bytes: int = _option(
        _options.integer(0, 1 << 40), 64 * 1024 * 1024
    )
    header_timeout_ms: int = _option(_options.integer(10, 600_000), 10_000)
    idle_timeout_ms: int = _option(_options.integer(10, 600_000), 60_000)
    max_caller_connections: int = _option(
        _options.integer(1, 1_000_000), 10_000
    )
    memory_limit: int | None = _option(
        _options.optional(_options.integer(64, 1_048_576)), None
    )
    max_header_fields: int = _option(_options.integer(16, 100_000), 16_384)
    min_progress_bytes: int = _option(_options.integer(0, 1 << 30), 0)
    min_answer_progress_bytes: int = _option(_options.integer(0, 1 << 30), 64)
    progress_timeout_ms: int = _option(
        _options.integer(100, 3_600_000), 30_000
    )
    clock_drift: float = _option(_options.number(0.0, 0.1), 0.01)
    log_level: str = _option(
        _options.choice('debug', 'info', 'warning', 'error'), 'info'
    )
    log_file: str | None = _option(_options.optional(_options.text()), None)
    trace_file: str | None = _option(_options.optional(_options.text()), None)
    trace_ratio: float = _option(_options.number(0.0, 1.0), 1.0)
