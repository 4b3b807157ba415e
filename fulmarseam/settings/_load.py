"""Settings of the load generator."""

import dataclasses

from fulmarseam import ids
from fulmarseam.settings import _options

_option = _options.option


@dataclasses.dataclass(frozen=True)
class LoadRoute:
    """Requests of one kind.

    `weight` is their share of all requests. With `once` each carries a
    request id. `headers` are sent as they are.
    """

    name: ids.RouteName = _option(_options.identifier())
    host: str = _option(_options.text())
    path: str = _option(_options.text(), '/')
    method: str = _option(_options.text(), 'GET')
    weight: float = _option(_options.number(0.0, 1e9), 1.0)
    body_bytes: int = _option(_options.integer(0, 1 << 24), 0)
    once: bool = _option(_options.boolean(), False)
    deadline_ms: int = _option(_options.integer(1, 600_000), 5_000)
    headers: dict[str, str] = _option(
        _options.mapping_of(_options.text(), _options.text()), {}
    )


@dataclasses.dataclass(frozen=True)
class LoadPhase:
    """A span of time with one rate of arrivals."""

    rate_per_s: float = _option(_options.number(0.001, 1e6))
    duration_s: float = _option(_options.number(0.01, 86_400.0))


@dataclasses.dataclass(frozen=True)
class LoadSettings:
    """Settings of `fulmarseam-load`.

    `entries` are the api addresses asked for look-ups by `callers` callers
    with addresses of their own. With `direct`, the
    requests go to these addresses in turn without a look-up, to measure
    what an entry adds. `arrivals` are evenly spaced or follow a Poisson
    process.
    """

    region: ids.RegionName = _option(_options.identifier())
    routes: list[LoadRoute] = _option(
        _options.list_of(_options.section(LoadRoute), 1)
    )
    phases: list[LoadPhase] = _option(
        _options.list_of(_options.section(LoadPhase), 1)
    )
    callers: int = _option(_options.integer(1, 10_000), 16)
    entries: list[str] = _option(_options.list_of(_options.address()), [])
    direct: list[str] = _option(_options.list_of(_options.address()), [])
    policy: str = _option(
        _options.choice('turns', 'random', 'least-outstanding'), 'turns'
    )
    arrivals: str = _option(_options.choice('poisson', 'even'), 'poisson')
    max_in_flight: int = _option(_options.integer(1, 100_000), 2_000)
    seed: int = _option(_options.integer(0, 1 << 62), 0)
    caller: str = _option(_options.identifier(), 'load')
    journal: str | None = _option(_options.optional(_options.text()), None)
    log_level: str = _option(
        _options.choice('debug', 'info', 'warning', 'error'), 'info'
    )
    log_file: str | None = _option(_options.optional(_options.text()), None)

    def find_problems(self) -> list[str]:
        """Return a line for each set of inconsistent settings."""
        problems = []
        if bool(self.entries) == bool(self.direct):
            problems.append(
                _options.describe_problem(
                    'entries', self.entries, 'either entries or direct'
                )
            )
        if not any(route.weight for route in self.routes):
            problems.append(
                _options.describe_problem(
                    'routes', 'weights of 0', 'at least one weight above 0'
                )
            )
        return problems
