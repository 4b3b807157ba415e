"""A pool behind many entries in virtual time.

Each entry has a load balancer of its own, which learns only from the
responses to its own requests. Targets run requests on their slots, queue a
few more, cache the objects that they served last, and stop work at the
deadline of a request.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import random
from typing import Any

from fulmarseam import catalog
from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import settings
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.gateway import _load_balancer
from tests import catalog_fixtures as fixtures

POOL = ids.PoolName('katalog')
REGIONS = ('ost', 'west', 'sued')
ONE_WAY_S = 0.001
REMOTE_ONE_WAY_S = 0.02
POLL_INTERVAL_S = 0.2
# TCP gives up a connection whose bytes a dark host does not acknowledge.
TCP_USER_TIMEOUT_S = 1.5

# A long run takes this multiple of another one.
LONG_FACTOR = 7.0

Rate = Callable[[str, float], float]


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Sizes, in requests/s and seconds.

    `targets` counts the targets of each region, `objects` those of each
    region's callers, or of all callers with `are_objects_shared`. `rate`
    returns the requests/s of a region at a time. Demand of the objects falls
    with their rank to the power of `skew`. A response is in time within
    `objective_s`. `long_share` of the runs take `LONG_FACTOR` as long.
    """

    targets: tuple[int, int, int]
    entries: int
    objects: int
    rate: Rate
    duration_s: float = 30.0
    slots: int = 6
    queue: int = 18
    cache_size: int = 14
    uncached_s: float = 1.68
    cached_share: float = 0.3
    spread: float = 0.15
    timeout_s: float = 2.0
    cold_s: float = 3.0
    cold_per_s: float = 2.8
    cold_factor: float = 2.0
    is_sharing: bool = True
    has_region_loads: bool = True
    are_objects_shared: bool = False
    skew: float = 0.0
    objective_s: float = math.inf
    long_share: float = 0.0
    object_placement: str = 'adaptive'
    seed: int = 1


@dataclasses.dataclass
class Outcomes:
    """What became of the requests that arrived from `since` on."""

    since: float = 0.0
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    durations: list[float] = dataclasses.field(default_factory=list)
    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    targets: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    crossing: int = 0
    # Requests by the region of the entry, the window of 2 s and the region
    # in which they run.
    regions: collections.Counter[tuple[str, int, str]] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, arrived_at: float, outcome: str) -> None:
        """Count the outcome of a request."""
        if arrived_at >= self.since:
            self.counts[outcome] += 1

    def note_run(
        self, now: float, entry: '_Entry', target: '_Target', key: str
    ) -> None:
        """Count a run that starts."""
        self.runs['known' if key in target.cache else 'unknown'] += 1
        self.targets[str(target.record.target)] += 1
        self.crossing += target.record.region != entry.region
        self.regions[entry.region, int(now / 2.0), target.record.region] += 1

    def share_known(self) -> float:
        """Return the share of the runs at targets that know the object."""
        return self.runs['known'] / max(1, self.runs.total())

    def share_in_time(self, objective_s: float) -> float:
        """Return the share of all requests answered within the objective."""
        in_time = sum(value <= objective_s for value in self.durations)
        return in_time / max(1, self.counts.total())

    def find_quantile(self, part: float) -> float:
        """Return a quantile of the durations of answered requests."""
        values = sorted(self.durations)
        return values[int(part * (len(values) - 1))] if values else 0.0

    def compare_busiest(self) -> float:
        """Return the runs of the busiest target, where 1 is the mean."""
        counts = self.targets.values()
        return max(counts) * len(counts) / sum(counts)

    def find_largest_shift(self) -> float:
        """Return the largest share that changed its region of run.

        That is between two windows in a row, among requests of one region.
        """
        largest = 0.0
        for region in REGIONS:
            windows = sorted(
                {key[1] for key in self.regions if key[0] == region}
            )
            parts = []
            for window in windows:
                counts = [
                    self.regions[region, window, other] for other in REGIONS
                ]
                parts.append([count / sum(counts) for count in counts])
            for before, after in itertools.pairwise(parts[:-1]):
                change = sum(
                    abs(new - old)
                    for old, new in zip(before, after, strict=True)
                )
                largest = max(largest, change / 2)
        return largest

    def share(self, outcome: str) -> float:
        """Return the share of all requests with an outcome."""
        return self.counts[outcome] / max(1, self.counts.total())

    def share_in_vain(self) -> float:
        """Return the share of the requests sent that no answer came to."""
        sent = self.counts['served'] + self.counts['late']
        return self.counts['late'] / max(1, sent)


@dataclasses.dataclass
class _Request:
    entry: '_Entry'
    observed: steering.ObservedTarget
    key: str
    arrived_at: float
    started_at: float
    deadline: float
    placement: steering.Placement
    is_done: bool = False


class _Target:
    """A target that runs requests; times in seconds."""

    def __init__(self, record: wire.TargetRecord, born_at: float) -> None:
        self.record = record
        self.born_at = born_at
        self.slow_factor = 1.0
        self.is_dark = False
        self.running: set[int] = set()
        self.waiting: collections.deque[int] = collections.deque()
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )


class _Entry:
    def __init__(
        self,
        number: int,
        region: str,
        machine: catalog.Catalog,
        object_placement: str,
    ) -> None:
        self.region = region
        self.entry_id = ids.EntryId(f'e{number}')
        self.mirror = catalog.CatalogMirror()
        options = settings.GatewaySettings(
            host=ids.HostId(f'e{number}'),
            region=ids.RegionName(region),
            failure_domain=ids.DomainName(region),
            domains={
                ids.DomainName(name): ids.RegionName(name) for name in REGIONS
            },
            listen='127.0.0.1:1',
            readiness='127.0.0.1:2',
            seeds=[],
            peer_port=3,
            cold_slack=10.0,
            object_placement=object_placement,
        )
        self.load_balancer = _load_balancer.LoadBalancer(options, self.mirror)
        self.sync(0.0, machine)

    def sync(self, now: float, machine: catalog.Catalog) -> None:
        """Fetch all changes of the catalog."""
        while self.mirror.revision < machine.revision:
            self.mirror.apply(
                self.mirror.revision,
                machine.list_changes(
                    self.mirror.revision, self.mirror.removals_revision
                ),
            )
        self.load_balancer.update(now)


class Simulation:
    """Plays a scenario; `at` adds events before `run`."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.machine = catalog.Catalog()
        self.targets: dict[str, _Target] = {}
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._event_count = 0
        self._requests: dict[int, _Request] = {}
        self.now = 0.0
        # An object that callers prefer for now, and its share of requests.
        self.popular: tuple[str, float] = ('', 0.0)
        self._weights = list(
            itertools.accumulate(
                (rank + 1.0) ** -scenario.skew
                for rank in range(scenario.objects)
            )
        )
        self.shared_loads = catalog.SharedLoads()
        fixtures.put(
            self.machine,
            fixtures.make_pool(
                POOL,
                1,
                cold_s=scenario.cold_s,
                cold_per_s=scenario.cold_per_s,
            ),
            fixtures.make_route(
                'r',
                1,
                sticky=True,
                idempotent=False,
                timeout_ms=scenario.timeout_s * 1_000,
                max_attempts=1,
                priority=2,
            ),
        )
        for region, count in zip(REGIONS, scenario.targets, strict=True):
            for number in range(count):
                self.add_target(f'{region}-{number}', region, -60.0)
        self.entries = [
            _Entry(
                number,
                REGIONS[number % 3],
                self.machine,
                scenario.object_placement,
            )
            for number in range(scenario.entries)
        ]
        for entry in self.entries:
            entry.load_balancer.set_senders(scenario.entries)

    # Events

    def at(self, time_s: float, work: Callable[..., None], *args: Any) -> None:
        """Call `work` at a time."""
        self._event_count += 1
        heapq.heappush(self._events, (time_s, self._event_count, work, args))

    def add_target(self, name: str, region: str, born_at: float) -> None:
        """Announce a target, which is cold if it is new."""
        is_cold = born_at >= 0.0
        record = fixtures.make_record(
            name,
            address=f'{name}:1',
            region=region,
            failure_domain=region,
            slots=self.scenario.slots,
            cold_ms=self.scenario.cold_s * 1_000 if is_cold else 0.0,
        )
        fixtures.apply(self.machine, catalog.AnnounceTargets(records=[record]))
        self.targets[name] = _Target(record, born_at)

    def sync_entries(self) -> None:
        """Bring the catalog of all entries up to date."""
        for entry in self.entries:
            entry.sync(self.now, self.machine)

    def replace_target(self, name: str) -> None:
        """Replace a target by a new one, which is cold."""
        fixtures.leave(self.machine, name)
        region = str(self.targets[name].record.region)
        self.add_target(f'{name}-next', region, self.now)
        self.sync_entries()

    def darken_target(self, name: str) -> None:
        """Let a target answer nothing any more."""
        self.targets[name].is_dark = True

    def make_popular(self, name: str, share: float) -> None:
        """Let an object get a share of all requests."""
        self.popular = (name, share)

    def chill_target(self, name: str) -> None:
        """Let a target lose its cache and be cold again."""
        self.targets[name].cache.clear()
        self.targets[name].born_at = self.now

    def remove_target(self, name: str) -> None:
        """Let a target leave."""
        fixtures.leave(self.machine, name)
        self.sync_entries()

    def run(self, since: float = 0.0) -> Outcomes:
        """Return the outcomes of the requests that arrive from `since` on."""
        outcomes = Outcomes(since)
        if self.scenario.is_sharing:
            for number, entry in enumerate(self.entries):
                start = POLL_INTERVAL_S * number / len(self.entries)
                self.at(start, self._poll, entry)
        for region in REGIONS:
            self.at(0.0, self._arrive, region, outcomes)
        while self._events:
            self.now, _, work, args = heapq.heappop(self._events)
            work(*args)
        return outcomes

    # Polls

    def _poll(self, entry: _Entry) -> None:
        """Exchange observations with the leader."""
        if self.now >= self.scenario.duration_s:
            return
        self.at(self.now + POLL_INTERVAL_S, self._poll, entry)
        self.shared_loads.record(
            self.now,
            wire.EntryPoll(
                entry=entry.entry_id,
                address='',
                region=ids.RegionName(entry.region),
                failure_domain=ids.DomainName(entry.region),
                incarnation=1,
                state=wire.EntryState.READY,
                wants_loads=True,
                observations=entry.load_balancer.list_observations(self.now),
            ),
        )
        packed = self.shared_loads.get_packed(
            self.now,
            ids.RegionName(entry.region),
            self.machine.revision,
            self.machine.targets.list_ids(),
        )
        self.at(
            self.now + 2 * REMOTE_ONE_WAY_S,
            self._apply_loads,
            entry,
            packed,
            self.machine.revision,
            self.shared_loads.sum_by_region(self.now),
        )

    def _apply_loads(
        self,
        entry: _Entry,
        packed: bytes,
        revision: int,
        region_loads: dict[ids.RegionName, int],
    ) -> None:
        entry.load_balancer.apply_shared_loads(
            self.now, wire.unpack_loads(packed), revision
        )
        load_balancer = entry.load_balancer
        if self.scenario.has_region_loads and load_balancer.wants_region_loads(
            self.now
        ):
            load_balancer.apply_region_loads(self.now, region_loads)

    # Requests

    def _arrive(self, region: str, outcomes: Outcomes) -> None:
        scenario = self.scenario
        if self.now >= scenario.duration_s:
            return
        pause_s = self.rng.expovariate(scenario.rate(region, self.now))
        self.at(self.now + pause_s, self._arrive, region, outcomes)
        entry = self.rng.choice(
            [entry for entry in self.entries if entry.region == region]
        )
        self._place(entry, self._choose_key(region), outcomes)

    def _choose_key(self, region: str) -> str:
        scenario = self.scenario
        name, share = self.popular
        if share and self.rng.random() < share:
            return name
        number = self.rng.randrange(scenario.objects)
        if scenario.skew:
            number = self.rng.choices(
                range(scenario.objects), cum_weights=self._weights
            )[0]
        return (
            str(number)
            if scenario.are_objects_shared
            else (f'{region}-{number}')
        )

    def _place(self, entry: _Entry, key: str, outcomes: Outcomes) -> None:
        placement = entry.load_balancer.place(
            self.now,
            entry.mirror.routes['r'],
            POOL,
            key,
            (),
            self.scenario.timeout_s,
        )
        if placement.target is None:
            outcomes.add(self.now, errors.ErrorKind.NO_CAPACITY.value)
            return
        self._event_count += 1
        number = self._event_count
        self._requests[number] = _Request(
            entry,
            placement.target,
            key,
            self.now,
            self.now,
            self.now + self.scenario.timeout_s,
            placement,
        )
        name = str(placement.target.target)
        delay_s = self._one_way_s(entry, name)
        self.at(self.now + delay_s, self._reach, number, name, outcomes)
        self.at(
            self.now + self.scenario.timeout_s, self._cut, number, outcomes
        )

    def _one_way_s(self, entry: _Entry, name: str) -> float:
        is_local = self.targets[name].record.region == entry.region
        return ONE_WAY_S if is_local else REMOTE_ONE_WAY_S

    def _reach(self, number: int, name: str, outcomes: Outcomes) -> None:
        target = self.targets[name]
        if target.is_dark:
            self.at(
                self.now + TCP_USER_TIMEOUT_S, self._break, number, outcomes
            )
            return
        if len(target.running) < self.scenario.slots:
            self._start(number, target, outcomes)
        elif len(target.waiting) < self.scenario.queue:
            target.waiting.append(number)
        else:
            self._end(number, target, 'shed', outcomes)

    def _start(self, number: int, target: _Target, outcomes: Outcomes) -> None:
        scenario = self.scenario
        request = self._requests[number]
        target.running.add(number)
        if request.arrived_at >= outcomes.since:
            outcomes.note_run(self.now, request.entry, target, request.key)
        run_s = scenario.uncached_s * math.exp(
            self.rng.gauss(0.0, scenario.spread)
        )
        if request.key in target.cache:
            run_s *= scenario.cached_share
        if scenario.long_share and self.rng.random() < scenario.long_share:
            run_s *= LONG_FACTOR
        if self.now - target.born_at < scenario.cold_s:
            run_s *= scenario.cold_factor
        run_s *= target.slow_factor
        end = self.now + run_s
        if end < request.deadline:
            self.at(end, self._finish, number, target, outcomes)

    def _finish(
        self, number: int, target: _Target, outcomes: Outcomes
    ) -> None:
        request = self._requests[number]
        if request.is_done:
            return
        target.cache.pop(request.key, None)
        target.cache[request.key] = None
        if len(target.cache) > self.scenario.cache_size:
            target.cache.popitem(last=False)
        self._end(number, target, 'served', outcomes)

    def _break(self, number: int, outcomes: Outcomes) -> None:
        """Fail a request whose connection has ended."""
        request = self._requests[number]
        if not request.is_done:
            request.is_done = True
            outcomes.add(request.arrived_at, 'late')
            request.entry.load_balancer.eject(self.now, request.observed)
            request.entry.load_balancer.release(request.observed)

    def _cut(self, number: int, outcomes: Outcomes) -> None:
        request = self._requests[number]
        if not request.is_done:
            target = self.targets[str(request.observed.target)]
            self._end(number, target, 'late', outcomes)

    def _end(
        self, number: int, target: _Target, outcome: str, outcomes: Outcomes
    ) -> None:
        """Free the slot, then tell the entry."""
        request = self._requests[number]
        request.is_done = True
        outcomes.add(request.arrived_at, outcome)
        if number in target.waiting:
            target.waiting.remove(number)
        target.running.discard(number)
        while target.waiting and len(target.running) < self.scenario.slots:
            self._start(target.waiting.popleft(), target, outcomes)
        entry, observed = request.entry, request.observed
        if outcome == 'served' and request.arrived_at >= outcomes.since:
            name = str(target.record.target)
            outcomes.durations.append(
                self.now - request.arrived_at + self._one_way_s(entry, name)
            )
        load_balancer = entry.load_balancer
        if outcome != 'late':
            report = (
                f'{len(target.running)},{len(target.waiting)},'
                f'{self.scenario.slots}'
            )
            load_balancer.record_load_report(
                self.now, observed, report.encode()
            )
        if outcome == 'served':
            load_balancer.record_answer(
                self.now, request.placement, self.now - request.started_at
            )
        elif outcome == 'shed':
            load_balancer.record_failure(observed)
        else:
            load_balancer.record_timeout(
                self.now, request.placement, self.now - request.started_at
            )
        load_balancer.release(observed)
