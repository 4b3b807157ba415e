"""Model test of grants between leaders and entries.

Several entries and a chain of leaders exchange sync messages that are lost,
late, duplicated and reordered, while entries are killed, clocks drift and
leaders change. The sum in use must never exceed a target or a link.
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
    wire.Link(name=name, from_region=a, to_region=b, bytes_per_s=1_000)
    for name, a, b in (('a>b', 'a', 'b'), ('b>a', 'b', 'a'))
]
LINK_LIMIT = 800
# (region, slots, connections) by target.
TARGETS = {'t0': ('a', 3, 6), 't1': ('a', 2, 2), 't2': ('b', 1, 9)}
REGIONS = {'e0': 'a', 'e1': 'a', 'e2': 'b'}
# Any two of these rates differ by less than 1%.
RATES = {'e0': 0.9953, 'e1': 1.0, 'e2': 1.0047}


@dataclasses.dataclass
class Answer:
    """An answer on its way to an entry."""

    entry: str
    incarnation: int
    sent_at: float
    response: wire.SyncResponse


class Entry:
    """An entry with its own clock, slot book and running requests."""

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.book = steering.SlotTracker()
        self.tokens = steering.LinkTokens(linger_s=4.0)
        self.running: list[tuple[str, float]] = []
        self.wanted = 0

    def clock(self, now: float) -> float:
        return now * RATES[self.name]

    def make_request(self, now: float) -> wire.SyncRequest:
        local = self.clock(now)
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
            ack_term=self.book.ack_term,
            ack_sequence=self.book.ack_sequence,
            uses=self.book.uses(local),
            demand=[wire.PoolDemand(pool='p', wanted=self.wanted)],
            links=self.tokens.demand(local, {'a>b': 100 * self.wanted}),
            announcements=[],
            announcement_ages_ms=[],
            wait_ms=0,
        )


class World:
    """Leaders, entries and the messages between them."""

    def __init__(self) -> None:
        self.now = 100.0
        self.term = 0
        self.entries = {name: Entry(name, 1) for name in REGIONS}
        self.orphans: list[tuple[str, float]] = []
        self.requests: list[tuple[str, int, float, wire.SyncRequest]] = []
        self.answers: list[Answer] = []
        self.sequence = 0
        # Incarnations that a leader has registered before their first
        # grant, as the control daemon does in its log.
        self.registered: set[tuple[str, int]] = set()
        self.change_leader()

    def change_leader(self) -> None:
        self.term += 1
        self.allocator = steering.Allocator(
            self.now, self.term, former_holders=set(self.registered)
        )
        self.table = membership.TargetTable()

    def unregister(self) -> None:
        """Forget the restarted entries that can hold nothing any more."""
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

    def send(self, name: str) -> None:
        entry = self.entries[name]
        request = entry.make_request(self.now)
        self.requests.append(
            (name, entry.incarnation, entry.clock(self.now), request)
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
        self.answers.append(Answer(name, incarnation, sent_at, response))

    def deliver_answer(self, index: int, keep: bool) -> None:
        answer = self.answers[index]
        if not keep:
            self.answers.pop(index)
        entry = self.entries[answer.entry]
        if entry.incarnation != answer.incarnation:
            return
        local = entry.clock(self.now)
        if entry.book.apply(local, answer.sent_at, answer.response):
            entry.tokens.apply(local, answer.sent_at, answer.response)

    def exchange(self, name: str) -> None:
        self.send(name)
        self.deliver_request(len(self.requests) - 1, keep=False)
        self.deliver_answer(len(self.answers) - 1, keep=False)

    def start(self, name: str, target: str) -> None:
        entry = self.entries[name]
        if entry.book.try_acquire(entry.clock(self.now), target):
            deadline = entry.clock(self.now) + POOL.max_deadline_ms / 1_000
            entry.running.append((target, deadline / RATES[name]))

    def finish(self, name: str, index: int) -> None:
        entry = self.entries[name]
        if entry.running:
            target, _ = entry.running.pop(index % len(entry.running))
            entry.book.release(target)

    def kill(self, name: str) -> None:
        entry = self.entries[name]
        self.orphans.extend(entry.running)
        self.entries[name] = Entry(name, entry.incarnation + 1)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.orphans = [item for item in self.orphans if item[1] > self.now]
        for entry in self.entries.values():
            for item in list(entry.running):
                if item[1] <= self.now:
                    entry.running.remove(item)
                    entry.book.release(item[0])

    def check(self) -> None:
        for target, (_, slots, connections) in TARGETS.items():
            left = sum(item[0] == target for item in self.orphans)
            used_slots = left
            used_connections = left
            for entry in self.entries.values():
                local = entry.clock(self.now)
                running = entry.book.in_flight(target)
                allowed = entry.book.allowance(local, target)
                used_slots += max(running, allowed)
                used_connections += entry.book.connection_share(local, target)
            assert used_slots <= slots, (target, used_slots, slots)
            assert used_connections <= connections, target
            assert self.allocator.charged_slots(target) >= 0
        for link in LINKS:
            rates = [
                entry.tokens.rate(entry.clock(self.now), link.name)
                for entry in self.entries.values()
            ]
            assert sum(rates) <= LINK_LIMIT, (link.name, rates)


NAMES = strategies.sampled_from(sorted(REGIONS))
TARGET_NAMES = strategies.sampled_from(sorted(TARGETS))
INDEXES = strategies.integers(0, 30)


class GrantMachine(stateful.RuleBasedStateMachine):
    """Rules that hypothesis combines."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @stateful.rule(server=TARGET_NAMES)
    def announce(self, server: str) -> None:
        self.world.announce(server)

    @stateful.rule(name=NAMES, wanted=strategies.integers(0, 6))
    def exchange(self, name: str, wanted: int) -> None:
        self.world.entries[name].wanted = wanted
        self.world.exchange(name)

    @stateful.rule(name=NAMES)
    def send(self, name: str) -> None:
        self.world.send(name)

    @stateful.precondition(lambda self: self.world.requests)
    @stateful.rule(index=INDEXES, keep=strategies.booleans())
    def deliver_request(self, index: int, keep: bool) -> None:
        self.world.deliver_request(index % len(self.world.requests), keep)

    @stateful.precondition(lambda self: self.world.answers)
    @stateful.rule(index=INDEXES, keep=strategies.booleans())
    def deliver_answer(self, index: int, keep: bool) -> None:
        self.world.deliver_answer(index % len(self.world.answers), keep)

    @stateful.rule(name=NAMES, server=TARGET_NAMES)
    def start(self, name: str, server: str) -> None:
        self.world.start(name, server)

    @stateful.rule(name=NAMES, index=INDEXES)
    def finish(self, name: str, index: int) -> None:
        self.world.finish(name, index)

    @stateful.rule(name=NAMES)
    def kill(self, name: str) -> None:
        self.world.kill(name)

    @stateful.rule()
    def change_leader(self) -> None:
        self.world.change_leader()

    @stateful.rule(
        seconds=strategies.sampled_from([0.01, 0.4, 1.3, 2.79, 2.83, 4.1])
    )
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @stateful.invariant()
    def keeps_the_limits(self) -> None:
        self.world.check()


GrantMachineTest = GrantMachine.TestCase
GrantMachineTest.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=50
)


def run_at_random(seed: int, steps: int) -> int:
    """Play random steps, most of them useful; return requests started."""
    rng = random.Random(seed)
    world = World()
    started = 0
    steps_s = [0.01, 0.05, 0.1, 0.2, 0.4, 0.4, rng.choice([0.4, 2.8, 4.1])]
    kill_share = rng.choice([0.0, 0.002, 0.01])
    leader_share = rng.choice([0.0, 0.002, 0.01])
    for _ in range(steps):
        name = rng.choice(sorted(REGIONS))
        kind = rng.random()
        if kind < 0.30:
            target = rng.choice(sorted(TARGETS))
            before = len(world.entries[name].running)
            world.start(name, target)
            started += len(world.entries[name].running) - before
        elif kind < 0.48:
            world.finish(name, rng.randrange(9))
        elif kind < 0.66:
            world.entries[name].wanted = rng.randrange(7)
            world.exchange(name)
        elif kind < 0.70:
            world.send(name)
        elif kind < 0.75 and world.requests:
            world.deliver_request(
                rng.randrange(len(world.requests)), rng.random() < 0.3
            )
        elif kind < 0.80 and world.answers:
            world.deliver_answer(
                rng.randrange(len(world.answers)), rng.random() < 0.3
            )
        elif kind < 0.92:
            world.advance(rng.choice(steps_s))
            for target in TARGETS:
                world.announce(target)
        elif kind < 0.92 + kill_share:
            world.kill(name)
        elif kind < 0.92 + kill_share + leader_share:
            world.change_leader()
        world.check()
    return started


class GrantSimulationTest(unittest.TestCase):
    """Guards against an excess that needs a longer history."""

    def test_random_histories_keep_the_limits(self) -> None:
        started = sum(run_at_random(seed, 600) for seed in range(60))
        # The check would be empty if grants never reached the entries.
        self.assertGreater(started, 1_000)
