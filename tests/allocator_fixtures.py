"""A leader and entries in virtual time for tests of the allocator."""

from fulmarseam import membership
from fulmarseam import steering
from fulmarseam import wire

POOL = wire.Pool(name='p', max_deadline_ms=4_000, slow_start_s=0.0)
GRANT_LIFETIME_S = 2.8 * 1.01


def make_target(
    name: str,
    region: str = 'a',
    slots: int = 3,
    connections: int = 30,
    sequence: int = 1,
    **fields: object,
) -> wire.TargetReport:
    """Return a report of a target that is ready."""
    values = {
        'target': name,
        'pool': 'p',
        'address': '127.0.0.1:1',
        'region': region,
        'failure_domain': region + '1',
        'slots': slots,
        'connections': connections,
        'incarnation': 1,
        'sequence': sequence,
        'state': wire.TargetState.READY,
    }
    return wire.TargetReport(**{**values, **fields})


def make_response(
    term: int,
    sequence: int,
    slots: list[wire.SlotGrant],
    links: list[wire.LinkRate] | None = None,
) -> wire.SyncResponse:
    """Return a response that carries only grants."""
    return wire.SyncResponse(
        term=term,
        leadership_age_ms=0,
        revision=0,
        full=False,
        changes=[],
        targets_version=0,
        targets_full=False,
        targets=[],
        targets_removed=[],
        entries=[],
        grant_sequence=sequence,
        grant_ttl_ms=2_800,
        grants=slots,
        links=links or [],
    )


class Cluster:
    """A leader and entries that exchange messages without loss."""

    def __init__(self, locations: dict[str, tuple[str, str]]) -> None:
        self.now = 100.0
        self.locations = locations
        self.trackers = {name: steering.SlotTracker() for name in locations}
        self.wanted = dict.fromkeys(locations, 0)
        self.draining: set[str] = set()
        self.doubtful: dict[str, list[str]] = {}
        self.table = membership.TargetTable()
        self.reports: list[wire.TargetReport] = []
        self.links: list[wire.Link] = []
        self.drains: list[wire.Drain] = []
        self.shifts: list[wire.Shift] = []
        self.pool = POOL
        self.start_leader(1)

    def start_leader(self, term: int) -> None:
        self.term = term
        self.leader = steering.Allocator(self.now, term)

    def request(self, name: str) -> wire.SyncRequest:
        region, domain = self.locations[name]
        tracker = self.trackers[name]
        return wire.SyncRequest(
            info=wire.EntryInfo(
                entry=name,
                incarnation=1,
                region=region,
                failure_domain=domain,
                listen='',
                api='',
                rpc='',
            ),
            draining=name in self.draining,
            revision=0,
            targets_term=0,
            targets_version=0,
            ack_term=tracker.ack_term,
            ack_sequence=tracker.ack_sequence,
            ack_age_ms=tracker.ack_age_ms(self.now),
            uses=tracker.uses(self.now),
            demand=[wire.PoolDemand(pool='p', wanted=self.wanted[name])],
            links=[],
            announcements=[],
            announcement_ages_ms=[],
            wait_ms=0,
            doubtful=self.doubtful.get(name, []),
        )

    def plan(self) -> None:
        for report in self.reports:
            old = self.table.get(report.target)
            sequence = old.report.sequence + 1 if old else 1
            fields = {
                name: getattr(report, name)
                for name in report.__struct_fields__
            }
            fields['sequence'] = sequence
            self.table.record(self.now, wire.TargetReport(**fields), 0)
        self.leader.allocate(
            self.now,
            self.table.all(),
            [self.pool],
            self.links,
            self.drains,
            self.shifts,
        )

    def request_grants(self, name: str) -> wire.SyncResponse:
        """Report, plan and issue grants; the response is not applied."""
        self.leader.report(self.now, self.request(name))
        self.plan()
        grants = self.leader.issue_grants(self.now, name, 1)
        return make_response(
            self.term, grants.sequence, grants.slots, grants.links
        )

    def sync(self, *names: str) -> None:
        for name in names or self.locations:
            answer = self.request_grants(name)
            self.trackers[name].apply(self.now, self.now, answer)

    def run(self, seconds: float) -> None:
        """Let all entries sync every 0.4 s."""
        for _ in range(round(seconds / 0.4)):
            self.now += 0.4
            self.sync()

    def run_takeover(self) -> None:
        """Run past the time in which a new leader holds back grants."""
        self.run(8.0)

    def list_allowances(self, name: str) -> dict[str, int]:
        return {
            use.target: use.allowance
            for use in self.trackers[name].uses(self.now)
            if use.allowance
        }

    def sum_allowances(self, name: str) -> int:
        return sum(self.list_allowances(name).values())


def build_pair() -> Cluster:
    """Return two entries and one target with 3 slots."""
    cluster = Cluster({'e0': ('a', 'a1'), 'e1': ('a', 'a2')})
    cluster.reports = [make_target('t0')]
    return cluster
