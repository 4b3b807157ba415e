"""Settings of the fault proxy."""

import collections
import dataclasses

from fulmarseam.settings import _options

_option = _options.option


@dataclasses.dataclass(frozen=True)
class Forward:
    """One address that is forwarded to another.

    `delay_ms` is added each way. `bytes_per_s` 0 means no limit.
    """

    name: str = _option(_options.text(200))
    listen: str = _option(_options.address())
    to: str = _option(_options.address())
    delay_ms: float = _option(_options.number(0.0, 60_000.0), 0.0)
    bytes_per_s: int = _option(_options.integer(0, 1 << 40), 0)


@dataclasses.dataclass(frozen=True)
class FaultProxySettings:
    """Settings of `fulmarseam-faultproxy`.

    `control` is the HTTP address that takes commands.
    """

    control: str = _option(_options.address())
    forwards: list[Forward] = _option(
        _options.list_of(_options.section(Forward))
    )
    log_level: str = _option(
        _options.choice('debug', 'info', 'warning', 'error'), 'info'
    )
    log_file: str | None = _option(_options.optional(_options.text()), None)

    def find_problems(self) -> list[str]:
        """Return a line for each duplicate name."""
        names = collections.Counter(item.name for item in self.forwards)
        return [
            _options.describe_problem(
                'forwards', f'{name} {count} times', 'each name once'
            )
            for name, count in names.items()
            if count > 1
        ]
