"""Settings of the operator's tool."""

import dataclasses

from fulmarseam import ids
from fulmarseam.settings import _options

_option = _options.option


@dataclasses.dataclass(frozen=True)
class CtlSettings:
    """Settings of `fulmarseam-ctl`.

    `control` holds the addresses at which this host reaches the control
    members. `call_timeout_ms` bounds one attempt at one member and
    `timeout_ms` a whole command without `--wait`.
    """

    control: dict[ids.MemberId, str] = _option(
        _options.mapping_of(_options.identifier(), _options.address(), 1)
    )
    call_timeout_ms: int = _option(_options.integer(100, 60_000), 2_000)
    timeout_ms: int = _option(_options.integer(100, 600_000), 10_000)
