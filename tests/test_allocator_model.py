"""Model test of grants between leaders and entries.

Several entries and successive leaders exchange sync messages that are lost,
delayed, duplicated and reordered, while entries are killed, clocks drift and
leaders change. The entries together must never exceed the capacity of a
target or a link.
"""

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fulmarseam import membership
from fulmarseam import steering
from fulmarseam import wire

POOL = wire.Pool(name='p', max_deadline_ms=4_000, slow_start_s=0.0)
LINKS = [
    wire.Link(
        name=name,
        from_region=from_region,
        to_region=to_region,
        bytes_per_s=1_000,
    )
    for name, from_region, to_region in (('a>b', 'a', 'b'), ('b>a', 'b', 'a'))
]
ALLOCATED_LINK_RATE = 800
# (region, slots, connections) by target.
TARGETS = {'t0': ('a', 3, 6), 't1': ('a', 2, 2), 't2': ('b', 1, 9)}
REGIONS = {'e0': 'a', 'e1': 'a', 'e2': 'b'}
# Any two of these rates differ by less than 1%.
CLOCK_RATES = {'e0': 0.9953, 'e1': 1.0, 'e2': 1.0047}


@dataclasses.dataclass
class PendingResponse:
    """A response in transit to an entry."""

    entry: str
    incarnation: int
    sent_at: float
    response: wire.SyncResponse


class Entry:
    """An entry with its own clock, slot tracker and requests in flight."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.slot_tracker = steering.SlotTracker()
        self.tokens = steering.LinkTokens(linger_s=4.0)
        self.running: list[tuple[str, float]] = []
        self.wanted = 0

    def local_time(self, now: float) -> float:
        return now * CLOCK_RATES[self.name]

    def make_request(self, now: float) -> wire.SyncRequest:
        local = self.local_time(now)
        region = REGIONS[self.name]
        return wire.SyncRequest(
            info=wire.EntryInfo(
                entry=self.name,
                incarnation=self.incarnation,
                region=region,
                failure_domain=region,
                listen='',
                api='',
                rpc='',
            ),
            draining=False,
            revision=0,
            targets_term=0,
            targets_version=0,
            ack_term=self.slot_tracker.ack_term,
            ack_sequence=self.slot_tracker.ack_sequence,
            uses=self.slot_tracker.uses(local),
            demand=[wire.PoolDemand(pool='p', wanted=self.wanted)],
            links=self.tokens.demand(local, {'a>b': 100 * self.wanted}),
            announcements=[],
            announcement_ages_ms=[],
            wait_ms=0,
        )


class SimulatedCluster:
    """Leaders, entries and the messages between them."""

    def __init__(self) -> None:
        self.now = 100.0
        self.term = 0
        self.entries = {name: Entry(name, 1) for name in REGIONS}
        self.orphaned_requests: list[tuple[str, float]] = []
        self.requests: list[tuple[str, int, float, wire.SyncRequest]] = []
        self.responses: list[PendingResponse] = []
        self.sequence = 0
        # Incarnations registered by a leader before their first grant, as
        # the control daemon does in its log.
        self.registered: set[tuple[str, int]] = set()
        self.change_leader()

    def change_leader(self) -> None:
        self.term += 1
        self.allocator = steering.Allocator(
            self.now, self.term, former_holders=set(self.registered)
        )
        self.table = membership.TargetTable()

    def unregister(self) -> None:
        """Remove old incarnations that can no longer hold grants."""
        for name, incarnation in list(self.registered):
            if incarnation < self.entries[name].incarnation and (
                not self.allocator.may_hold_grants(self.now, name, incarnation)
            ):
                self.registered.discard((name, incarnation))

    def announce(self, target: str) -> None:
        region, slots, connections = TARGETS[target]
        self.sequence += 1
        self.table.record(
            self.now,
            wire.TargetReport(
                target=target,
                pool='p',
                address='127.0.0.1:1',
                region=region,
                failure_domain=region,
                slots=slots,
                connections=connections,
                incarnation=1,
                sequence=self.sequence,
                state=wire.TargetState.READY,
            ),
            0,
        )

    def send_request(self, name: str) -> None:
        entry = self.entries[name]
        request = entry.make_request(self.now)
        self.requests.append(
            (name, entry.incarnation, entry.local_time(self.now), request)
        )

    def deliver_request(self, index: int, keep: bool) -> None:
        item = self.requests[index]
        if not keep:
            self.requests.pop(index)
        name, incarnation, sent_at, request = item
        self.table.expire(self.now)
        self.unregister()
        self.registered.add((name, incarnation))
        self.allocator.report(self.now, request)
        self.allocator.allocate(self.now, self.table.all(), [POOL], LINKS, [])
        grants = self.allocator.issue_grants(self.now, name, incarnation)
        response = wire.SyncResponse(
            term=self.term,
            leadership_age_ms=0,
            revision=0,
            full=False,
            changes=[],
            targets_version=0,
            targets_full=False,
            targets=[],
            targets_removed=[],
            entries=[],
            grant_sequence=grants.sequence,
            grant_ttl_ms=2_800,
            grants=grants.slots,
            links=grants.links,
        )
        self.responses.append(
            PendingResponse(name, incarnation, sent_at, response)
        )

    def deliver_response(self, index: int, keep: bool) -> None:
        pending = self.responses[index]
        if not keep:
            self.responses.pop(index)
        entry = self.entries[pending.entry]
        if entry.incarnation != pending.incarnation:
            return
        local = entry.local_time(self.now)
        if entry.slot_tracker.apply(local, pending.sent_at, pending.response):
            entry.tokens.apply(local, pending.sent_at, pending.response)

    def exchange(self, name: str) -> None:
        self.send_request(name)
        self.deliver_request(len(self.requests) - 1, keep=False)
        self.deliver_response(len(self.responses) - 1, keep=False)

    def start(self, name: str, target: str) -> None:
        entry = self.entries[name]
        if entry.slot_tracker.try_acquire(entry.local_time(self.now), target):
            deadline = (
                entry.local_time(self.now) + POOL.max_deadline_ms / 1_000
            )
            entry.running.append((target, deadline / CLOCK_RATES[name]))

    def finish(self, name: str, index: int) -> None:
        entry = self.entries[name]
        if entry.running:
            target, _ = entry.running.pop(index % len(entry.running))
            entry.slot_tracker.release(target)

    def kill(self, name: str) -> None:
        entry = self.entries[name]
        self.orphaned_requests.extend(entry.running)
        self.entries[name] = Entry(name, entry.incarnation + 1)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.orphaned_requests = [
            item for item in self.orphaned_requests if item[1] > self.now
        ]
        for entry in self.entries.values():
            for item in list(entry.running):
                if item[1] <= self.now:
                    entry.running.remove(item)
                    entry.slot_tracker.release(item[0])

    def check_limits(self) -> None:
        for target, (_, slots, connections) in TARGETS.items():
            orphan_count = sum(
                item[0] == target for item in self.orphaned_requests
            )
            used_slots = orphan_count
            used_connections = orphan_count
            for entry in self.entries.values():
                local = entry.local_time(self.now)
                running = entry.slot_tracker.in_flight(target)
                allowed = entry.slot_tracker.allowance(local, target)
                used_slots += max(running, allowed)
                used_connections += entry.slot_tracker.connection_share(
                    local, target
                )
            assert used_slots <= slots, (target, used_slots, slots)
            assert used_connections <= connections, target
            assert self.allocator.charged_slots(target) >= 0
        for link in LINKS:
            rates = [
                entry.tokens.rate(entry.local_time(self.now), link.name)
                for entry in self.entries.values()
            ]
            assert sum(rates) <= ALLOCATED_LINK_RATE, (link.name, rates)


NAMES = strategies.sampled_from(sorted(REGIONS))
TARGET_NAMES = strategies.sampled_from(sorted(TARGETS))
INDICES = strategies.integers(0, 30)


class GrantMachine(stateful.RuleBasedStateMachine):
    """Random sequences of messages, restarts and leader changes."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = SimulatedCluster()

    @stateful.rule(target_name=TARGET_NAMES)
    def announce(self, target_name: str) -> None:
        self.cluster.announce(target_name)

    @stateful.rule(name=NAMES, wanted=strategies.integers(0, 6))
    def exchange(self, name: str, wanted: int) -> None:
        self.cluster.entries[name].wanted = wanted
        self.cluster.exchange(name)

    @stateful.rule(name=NAMES)
    def send_request(self, name: str) -> None:
        self.cluster.send_request(name)

    @stateful.precondition(lambda self: self.cluster.requests)
    @stateful.rule(index=INDICES, keep=strategies.booleans())
    def deliver_request(self, index: int, keep: bool) -> None:
        self.cluster.deliver_request(index % len(self.cluster.requests), keep)

    @stateful.precondition(lambda self: self.cluster.responses)
    @stateful.rule(index=INDICES, keep=strategies.booleans())
    def deliver_response(self, index: int, keep: bool) -> None:
        self.cluster.deliver_response(
            index % len(self.cluster.responses), keep
        )

    @stateful.rule(name=NAMES, target_name=TARGET_NAMES)
    def start(self, name: str, target_name: str) -> None:
        self.cluster.start(name, target_name)

    @stateful.rule(name=NAMES, index=INDICES)
    def finish(self, name: str, index: int) -> None:
        self.cluster.finish(name, index)

    @stateful.rule(name=NAMES)
    def kill(self, name: str) -> None:
        self.cluster.kill(name)

    @stateful.rule()
    def change_leader(self) -> None:
        self.cluster.change_leader()

    @stateful.rule(
        seconds=strategies.sampled_from([0.01, 0.4, 1.3, 2.79, 2.83, 4.1])
    )
    def advance(self, seconds: float) -> None:
        self.cluster.advance(seconds)

    @stateful.invariant()
    def check_limits(self) -> None:
        self.cluster.check_limits()


GrantMachineTest = GrantMachine.TestCase
GrantMachineTest.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=50
)


def run_random_history(seed: int, steps: int) -> int:
    """Run random steps and return the number of requests started."""
    rng = random.Random(seed)
    cluster = SimulatedCluster()
    started = 0
    step_durations_s = [
        0.01,
        0.05,
        0.1,
        0.2,
        0.4,
        0.4,
        rng.choice([0.4, 2.8, 4.1]),
    ]
    kill_probability = rng.choice([0.0, 0.002, 0.01])
    leader_change_probability = rng.choice([0.0, 0.002, 0.01])
    for _ in range(steps):
        name = rng.choice(sorted(REGIONS))
        draw = rng.random()
        if draw < 0.30:
            target = rng.choice(sorted(TARGETS))
            before = len(cluster.entries[name].running)
            cluster.start(name, target)
            started += len(cluster.entries[name].running) - before
        elif draw < 0.48:
            cluster.finish(name, rng.randrange(9))
        elif draw < 0.66:
            cluster.entries[name].wanted = rng.randrange(7)
            cluster.exchange(name)
        elif draw < 0.70:
            cluster.send_request(name)
        elif draw < 0.75 and cluster.requests:
            cluster.deliver_request(
                rng.randrange(len(cluster.requests)), rng.random() < 0.3
            )
        elif draw < 0.80 and cluster.responses:
            cluster.deliver_response(
                rng.randrange(len(cluster.responses)), rng.random() < 0.3
            )
        elif draw < 0.92:
            cluster.advance(rng.choice(step_durations_s))
            for target in TARGETS:
                cluster.announce(target)
        elif draw < 0.92 + kill_probability:
            cluster.kill(name)
        elif draw < 0.92 + kill_probability + leader_change_probability:
            cluster.change_leader()
        cluster.check_limits()
    return started


class GrantSimulationTest(unittest.TestCase):
    """Guards against exceeded limits that only long histories reach."""

    def test_random_histories_keep_the_limits(self) -> None:
        started = sum(run_random_history(seed, 600) for seed in range(60))
        # Without grants the limits would hold trivially.
        self.assertGreater(started, 1_000)
