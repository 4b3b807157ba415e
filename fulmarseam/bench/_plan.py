"""What a group consists of: members, entries, targets and tables."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire


class ControlPlan(NamedTuple):
    """A control member."""

    name: str
    region: str


class EntryPlan(NamedTuple):
    """An entry."""

    name: str
    region: str
    domain: str
    has_disk: bool = False


class TargetPlan(NamedTuple):
    """A target; `options` are further settings of the stand-in."""

    name: str
    pool: str
    region: str
    domain: str
    slots: int = 4
    options: Mapping[str, Any] = {}


Node = ControlPlan | EntryPlan | TargetPlan


@dataclasses.dataclass(frozen=True)
class Plan:
    """A whole group and the rows that it starts with.

    With `faulty` all links pass through the fault proxy, without
    `proxy_requests` all but those of callers' requests; `delay_ms` is then
    the one-way time between two regions.
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
        """Return the regions of the group in order."""
        return sorted({node.region for node in self.nodes})

    @property
    def nodes(self) -> list[Node]:
        """Return all members, entries and targets."""
        return [*self.controls, *self.entries, *self.targets]


# A new control leader holds slots back for this long, see the design page.
MAX_DEADLINE_MS = 2_000


def make_rows(pools: Sequence[str], once: bool = True) -> list[wire.Row]:
    """Return a pool and its routes for each name.

    Host `NAME.example` is repeatable and, with `once`, there is a host
    `once.NAME.example` that is not.
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
    """Return a group with its nodes spread over regions and domains.

    Control members are in regions of their own names, so that the loss of
    a region with entries and targets leaves the control group whole, when
    there are fewer than three regions.
    """
    homes = list(regions) if len(regions) >= 3 else []
    control_plans = [
        ControlPlan(
            f'c{number}',
            homes[number % len(homes)] if homes else f'control-{number}',
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
