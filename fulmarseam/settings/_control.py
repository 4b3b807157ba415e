"""Settings of a control member."""

import collections
import dataclasses

from fulmarseam import ids
from fulmarseam.settings import _options

_option = _options.option


@dataclasses.dataclass(frozen=True)
class MemberAddress:
    """Where a control member is reached and where it runs."""

    address: str = _option(_options.address())
    region: ids.RegionName = _option(_options.identifier())


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Settings of `fulmarseam-control`.

    `members` names the initial group with this member included, by the
    addresses at which this member reaches the others.
    """

    member_id: ids.MemberId = _option(_options.identifier())
    region: ids.RegionName = _option(_options.identifier())
    failure_domain: ids.DomainName = _option(_options.identifier())
    data_dir: str = _option(_options.text())
    listen: str = _option(_options.address())
    api: str = _option(_options.address())
    members: dict[ids.MemberId, MemberAddress] = _option(
        _options.mapping_of(
            _options.identifier(), _options.section(MemberAddress), 1
        )
    )
    join: bool = _option(_options.boolean(), False)
    heartbeat_ms: int = _option(_options.integer(10, 10_000), 100)
    election_min_ms: int = _option(_options.integer(50, 60_000), 600)
    election_max_ms: int = _option(_options.integer(50, 60_000), 1_200)
    snapshot_every: int = _option(_options.integer(10, 1_000_000), 5_000)
    grant_ttl_ms: int = _option(_options.integer(100, 60_000), 2_800)
    sync_hold_ms: int = _option(_options.integer(10, 10_000), 400)
    target_lease_ms: int = _option(_options.integer(500, 60_000), 3_000)
    clock_drift: float = _option(_options.number(0.0, 0.1), 0.01)
    log_level: str = _option(
        _options.choice('debug', 'info', 'warning', 'error'), 'info'
    )
    log_file: str | None = _option(_options.optional(_options.text()), None)
    trace_file: str | None = _option(_options.optional(_options.text()), None)
    trace_ratio: float = _option(_options.number(0.0, 1.0), 1.0)

    def find_problems(self) -> list[str]:
        """Return a line for each set of inconsistent settings."""
        problems = []
        if self.election_min_ms < 3 * self.heartbeat_ms:
            problems.append(
                _options.describe_problem(
                    'election_min_ms',
                    self.election_min_ms,
                    f'at least 3 x heartbeat_ms ({3 * self.heartbeat_ms})',
                )
            )
        if self.election_max_ms <= self.election_min_ms:
            problems.append(
                _options.describe_problem(
                    'election_max_ms',
                    self.election_max_ms,
                    f'more than election_min_ms ({self.election_min_ms})',
                )
            )
        if not self.join and self.member_id not in self.members:
            problems.append(
                _options.describe_problem(
                    'members', sorted(self.members), self.member_id
                )
            )
        problems.extend(self._find_placement_problems())
        return problems

    def _find_placement_problems(self) -> list[str]:
        regions = collections.Counter(
            member.region for member in self.members.values()
        )
        if len(regions) < 2:
            return []
        most = (len(self.members) - 1) // 2
        return [
            _options.describe_problem(
                f'members in region {region}',
                count,
                f'at most {most} so that its loss leaves a majority',
            )
            for region, count in sorted(regions.items())
            if count > most
        ]
