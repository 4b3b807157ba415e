"""The plan of a cluster: control members, entries, targets and rows."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire


class ControlPlan(NamedTuple):
    """The plan of a control member."""

    name: str
    region: str


class EntryPlan(NamedTuple):
    """The plan of an entry."""

    name: str
    region: str
    domain: str
    has_disk: bool = False


class TargetPlan(NamedTuple):
    """The plan of a target; `options` are additional settings of it."""

    name: str
    pool: str
    region: str
    domain: str
    slots: int = 4
    options: Mapping[str, Any] = {}


Node = ControlPlan | EntryPlan | TargetPlan


@dataclasses.dataclass(frozen=True)
class Plan:
    """The nodes of a cluster and the rows that it starts with.

    With `faulty` the links pass through the fault proxy, which adds the
    one-way delay `delay_ms` between regions. Without `proxy_requests` the
    links of callers' requests bypass it.
    """

    controls: Sequence[ControlPlan]
    entries: Sequence[EntryPlan]
    targets: Sequence[TargetPlan]
    rows: Sequence[wire.Row]
    faulty: bool = False
    proxy_requests: bool = True
    delay_ms: float = 0.0
    control_options: Mapping[str, Any] = dataclasses.field(
        default_factory=dict
    )
    entry_options: Mapping[str, Any] = dataclasses.field(default_factory=dict)

    @property
    def regions(self) -> list[str]:
        """Return the sorted regions of all nodes."""
        return sorted({node.region for node in self.nodes})

    @property
    def nodes(self) -> list[Node]:
        """Return all members, entries and targets."""
        return [*self.controls, *self.entries, *self.targets]


# A new control leader withholds slots for this long, see the design page.
MAX_DEADLINE_MS = 2_000


def make_rows(pools: Sequence[str], once: bool = True) -> list[wire.Row]:
    """Return the rows of pools and their routes.

    The route of host `NAME.example` is idempotent. With `once` each pool
    also has a route of host `once.NAME.example` that is not.
    """
    rows: list[wire.Row] = []
    for name in pools:
        pool = ids.PoolName(name)
        rows.append(
            wire.Pool(
                name=pool, slow_start_s=0.0, max_deadline_ms=MAX_DEADLINE_MS
            )
        )
        rows.append(
            wire.Route(
                name=ids.RouteName(name),
                host=f'{name}.example',
                path_prefix='/',
                pool=pool,
                deadline_ms=MAX_DEADLINE_MS,
            )
        )
        if not once:
            continue
        rows.append(
            wire.Route(
                name=ids.RouteName(f'once-{name}'),
                host=f'once.{name}.example',
                path_prefix='/',
                pool=pool,
                deadline_ms=MAX_DEADLINE_MS,
                idempotent=False,
            )
        )
    return rows


def make_plan(
    controls: int = 3,
    regions: Sequence[str] = ('ost', 'west'),
    entries_per_region: int = 2,
    targets_per_region: int = 2,
    slots: int = 4,
    pools: Sequence[str] = ('katalog',),
    once: bool = True,
    target_options: Mapping[str, Any] | None = None,
    **options: Any,
) -> Plan:
    """Return a plan with its nodes spread over regions and domains.

    With fewer than three regions each control member is in a region of its
    own, so that the loss of a region with entries and targets does not
    affect the control group.
    """
    control_regions = list(regions) if len(regions) >= 3 else []
    control_plans = [
        ControlPlan(
            f'c{number}',
            control_regions[number % len(control_regions)]
            if control_regions
            else f'control-{number}',
        )
        for number in range(controls)
    ]
    entry_plans = [
        EntryPlan(
            f'e-{region}-{number}',
            region,
            f'{region}-{number % 2}',
            has_disk=number == 0,
        )
        for region in regions
        for number in range(entries_per_region)
    ]
    target_plans = [
        TargetPlan(
            f't-{pool}-{region}-{number}',
            pool,
            region,
            f'{region}-{number % 2}',
            slots,
            target_options or {},
        )
        for pool in pools
        for region in regions
        for number in range(targets_per_region)
    ]
    rows = [*make_rows(pools, once), *options.pop('more_rows', ())]
    return Plan(control_plans, entry_plans, target_plans, rows, **options)
