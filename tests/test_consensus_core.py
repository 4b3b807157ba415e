"""Tests of the replica under simulated faults."""

import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fulmarseam import errors
from fulmarseam import wire
from fulmarseam.consensus import _core
from fulmarseam.consensus import _core_log
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_types
from tests import consensus_simulation as simulation

SEEDS = 140
SEED_SECONDS = 12.0


class RandomFaultsTest(unittest.TestCase):
    """Guards against broken promises under mixed faults.

    Each run checks election safety, log matching, leader completeness,
    acknowledged entries, lease and confirmed reads, and member changes.
    """

    def test_promises_hold_under_random_faults(self) -> None:
        reads = confirmations = installs = changes = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run = simulation.Simulation(seed, 3 if seed % 2 else 5)
                simulation.Faults(run).run(SEED_SECONDS)
                run.heal_and_check()
                reads += run.reads
                confirmations += run.confirmations
                installs += run.installs
                changes += sum(
                    entry.type is wire.EntryType.MEMBERS
                    for entry in run.committed.values()
                )
        # The runs must reach what they check.
        self.assertGreater(reads, 10_000)
        self.assertGreater(confirmations, 100)
        self.assertGreater(installs, 10)
        self.assertGreater(changes, 100)

    def test_promises_hold_when_many_messages_are_lost(self) -> None:
        for seed in range(1_000, 1_030):
            with self.subTest(seed=seed):
                run = simulation.Simulation(seed, 3, loss=0.2)
                simulation.Faults(run).run(SEED_SECONDS)
                run.heal_and_check()


class GroupMachine(stateful.RuleBasedStateMachine):
    """Any order of faults, proposals and changes keeps the promises."""

    def __init__(self) -> None:
        super().__init__()
        self.run = simulation.Simulation(1, 3)
        self.run.wait_for_leader()

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.3, 0.9, 2.0]))
    def wait(self, seconds: float) -> None:
        self.run.run(seconds)

    @stateful.rule(
        number=strategies.integers(0, 2), count=strategies.integers(1, 12)
    )
    def propose(self, number: int, count: int) -> None:
        self.run.propose(self.run.nodes[f'n{number}'], count)

    @stateful.rule(
        number=strategies.integers(0, 2),
        point=strategies.sampled_from(
            ['before sync', 'after sync', 'while sending']
        ),
    )
    def crash_in_step(self, number: int, point: str) -> None:
        self.run.nodes[f'n{number}'].crash_in = point

    @stateful.rule(number=strategies.integers(0, 2))
    def restart(self, number: int) -> None:
        node = self.run.nodes[f'n{number}']
        self.run.crash(node)
        self.run.start(node)

    @stateful.rule(
        number=strategies.integers(0, 2),
        ways=strategies.sampled_from([(1, 1), (1, 0), (0, 1)]),
    )
    def isolate(self, number: int, ways: tuple[int, int]) -> None:
        self.run.isolate(f'n{number}', bool(ways[0]), bool(ways[1]))

    @stateful.rule()
    def heal(self) -> None:
        self.run.cut.clear()

    @stateful.rule(number=strategies.integers(0, 2))
    def compact(self, number: int) -> None:
        self.run.compact(self.run.nodes[f'n{number}'])

    @stateful.rule()
    def confirm(self) -> None:
        for node in self.run.list_leaders():
            self.run.confirm(node)

    def teardown(self) -> None:
        self.run.heal_and_check()


GroupMachine.TestCase.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
)
GroupTest = GroupMachine.TestCase


class LeaseTest(unittest.TestCase):
    """Guards against two members that both believe to lead."""

    def test_age_counts_from_the_start_of_a_round_and_ends(self) -> None:
        run = simulation.Simulation(3, 3, loss=0.0)
        leader = run.wait_for_leader()
        assert leader.replica is not None
        run.run(1.0)
        age = leader.replica.leadership_age(run.clock(leader))
        assert age is not None
        self.assertLess(age, 0.2)
        run.isolate(leader.name, True, True)
        started = run.clock(leader) - age
        self.assertIsNotNone(leader.replica.leadership_age(started + 0.5939))
        self.assertIsNone(leader.replica.leadership_age(started + 0.5941))

    def test_leader_without_a_majority_steps_down(self) -> None:
        for inbound, outbound in ((True, True), (True, False), (False, True)):
            with self.subTest(inbound=inbound, outbound=outbound):
                run = simulation.Simulation(4, 3, loss=0.0)
                old = run.wait_for_leader()
                run.isolate(old.name, inbound, outbound)
                run.run(3.0)
                assert old.replica is not None
                self.assertIsNot(_core_types.Role.LEADER, old.replica.role)
                self.assertIsNot(old, run.wait_for_leader())

    def test_voter_that_restarts_does_not_break_the_lease(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                run = simulation.Simulation(seed, 3, loss=0.0)
                leader = run.wait_for_leader()
                voter, other = (
                    node for node in run.nodes.values() if node is not leader
                )
                run.cut = {(leader.name, other.name)}
                for _ in range(60):
                    run.run(0.05)
                    run.crash(voter)
                    run.start(voter)
                run.cut.clear()
                run.heal_and_check()

    def test_returning_member_does_not_depose_the_leader(self) -> None:
        run = simulation.Simulation(5, 3, loss=0.0)
        leader = run.wait_for_leader()
        other = next(node for node in run.nodes.values() if node is not leader)
        run.isolate(other.name, True, True)
        run.run(20.0)
        run.cut.clear()
        run.run(3.0)
        self.assertEqual(1, len(run.leaders))

    def test_new_leader_comes_within_two_seconds(self) -> None:
        for seed in range(40):
            with self.subTest(seed=seed):
                run = simulation.Simulation(seed, 5, loss=0.0)
                run.crash(run.wait_for_leader())
                run.run_until(lambda run=run: run.find_leader(), 2.0)


class MembershipTest(unittest.TestCase):
    """Guards against members that count before or after their time."""

    def setUp(self) -> None:
        self.run_ = simulation.Simulation(6, 3, loss=0.0)
        self.leader = self.run_.wait_for_leader()
        assert self.leader.replica is not None
        self.replica: _core.Replica = self.leader.replica

    def add(self, name: str) -> bool:
        self.run_.add_node(name)
        info = self.run_.describe(name)
        return self.run_.change(
            self.leader,
            lambda replica: replica.add_learner(
                self.run_.clock(self.leader), info
            ),
        )

    def remove(self, name: str) -> bool:
        return self.run_.change(
            self.leader,
            lambda replica: replica.remove_member(
                self.run_.clock(self.leader), name
            ),
        )

    def list_voters(self) -> list[str]:
        return _core_members.list_voters(self.replica.members)

    def test_newcomer_counts_for_nothing_until_caught_up(self) -> None:
        """A second member is lost right after a repair (F8)."""
        run = self.run_
        first, second = (
            node for node in run.nodes.values() if node is not self.leader
        )
        run.propose(self.leader, 300)
        run.run(1.0)
        run.compact(self.leader)
        run.crash(first)
        self.assertTrue(self.remove(first.name))
        run.run(0.5)
        run.cut = {(self.leader.name, 'n3')}
        self.assertTrue(self.add('n3'))
        run.run(1.0)
        self.assertNotIn('n3', self.list_voters())
        run.crash(second)
        run.cut.clear()
        committed = self.replica.commit_index
        run.propose(self.leader)
        run.run(0.5)
        self.assertEqual(committed, self.replica.commit_index)
        run.start(second)
        run.heal_and_check()
        self.assertIn('n3', self.list_voters())

    def test_one_change_at_a_time(self) -> None:
        self.run_.run(0.5)
        self.assertTrue(self.add('n3'))
        self.assertFalse(self.add('n4'))

    def test_leader_changes_nothing_before_its_first_commit(self) -> None:
        run = self.run_
        run.crash(self.leader)
        send = run.send

        def lose_answers(
            source: str, to: str, body: wire.ReplicaMessage
        ) -> None:
            if not isinstance(body, wire.AppendResponse):
                send(source, to, body)

        run.send = lose_answers  # type: ignore[method-assign]
        run.run_until(lambda: bool(run.list_leaders()), 5.0)
        self.leader = run.list_leaders()[0]
        assert self.leader.replica is not None
        self.assertIsNone(self.leader.replica.leading_term)
        self.assertFalse(self.add('n3'))

    def test_removed_id_cannot_come_back(self) -> None:
        self.run_.run(0.5)
        gone = next(name for name in self.run_.nodes if name != 'n0')
        if gone == self.leader.name:
            gone = 'n0'
        self.assertTrue(self.remove(gone))
        self.run_.run(0.5)
        info = self.run_.describe(gone)
        with self.assertRaises(errors.FulmarseamError) as caught:
            self.replica.add_learner(0.0, info)
        self.assertIs(errors.ErrorKind.INVALID_EDIT, caught.exception.kind)

    def test_removal_that_would_stop_the_group_is_refused(self) -> None:
        self.run_.run(0.5)
        first, second = (
            node
            for node in self.run_.nodes.values()
            if node is not self.leader
        )
        self.run_.crash(first)
        self.run_.run(2.0)
        self.assertFalse(self.remove(second.name))
        self.assertTrue(self.remove(first.name))

    def test_leader_that_removes_itself_hands_over(self) -> None:
        self.run_.run(0.5)
        self.assertTrue(self.remove(self.leader.name))
        self.run_.run(4.0)
        self.assertIsNot(self.leader, self.run_.wait_for_leader())
        self.assertIs(_core_types.Role.FOLLOWER, self.replica.role)


class CatchUpTest(unittest.TestCase):
    """Guards against members that never catch up."""

    def test_member_hundreds_of_entries_and_a_snapshot_behind(self) -> None:
        run = simulation.Simulation(7, 3)
        leader = run.wait_for_leader()
        other = next(node for node in run.nodes.values() if node is not leader)
        run.propose(leader, 20)
        run.run(1.0)
        run.crash(other)
        for _ in range(40):
            run.propose(run.wait_for_leader(), 20)
            run.run(0.2)
        run.compact(run.wait_for_leader())
        run.propose(run.wait_for_leader(), 50)
        run.run(0.2)
        run.start(other)
        run.heal_and_check()
        self.assertEqual(1, run.installs)
        self.assertGreater(len(other.applied), 800)

    def test_damaged_transfer_is_repeated(self) -> None:
        """A snapshot whose checksum does not match is not installed."""
        config = _core_types.ReplicaConfig(member_id='n1')
        replica = _core.Replica(
            config,
            _core_types.DurableState(wire.GroupMembers()),
            random.Random(1),
            0.0,
        )
        good = _core_types.make_snapshot(5, 1, wire.GroupMembers(), b'state')
        for data, done in ((b'stale', False), (b'state', True)):
            chunk = wire.SnapshotChunk(
                term=1, round=1, meta=good.meta, offset=0, data=data
            )
            effects = replica.receive(1.0, 'n0', chunk)
            reply = effects.reply
            assert isinstance(reply, wire.SnapshotResponse)
            self.assertEqual(done, reply.done)
            self.assertEqual([good] if done else [], effects.committed)

    def test_follower_with_a_long_wrong_tail_needs_few_messages(self) -> None:
        """Back-off skips a whole term at a time."""
        run = simulation.Simulation(8, 3, loss=0.0)
        old = run.wait_for_leader()
        run.isolate(old.name, True, True)
        run.propose(old, 400)
        run.run(3.0)
        leader = run.wait_for_leader()
        run.propose(leader, 1)
        run.run(0.5)
        assert leader.replica is not None
        rejected = 0
        send = run.send

        def count(source: str, to: str, body: wire.ReplicaMessage) -> None:
            nonlocal rejected
            if isinstance(body, wire.AppendResponse) and not body.success:
                rejected += 1
            send(source, to, body)

        run.send = count  # type: ignore[method-assign]
        run.heal_and_check()
        self.assertLessEqual(rejected, 4)

    def test_hint_below_the_log_leads_to_a_snapshot(self) -> None:
        """Seed 16700: the log was compacted past a rejected index."""
        log = _core_log.Log(10, 2)
        self.assertIsNone(log.last_index_of_term(1, 5))

    def test_malformed_append_changes_nothing(self) -> None:
        config = _core_types.ReplicaConfig(member_id='n1')
        founding = wire.GroupMembers()
        replica = _core.Replica(
            config,
            _core_types.DurableState(founding),
            random.Random(1),
            0.0,
        )
        bad = [
            [wire.LogEntry(7, 1, wire.EntryType.COMMAND, b'x')],
            [wire.LogEntry(1, 1, wire.EntryType.MEMBERS, b'\xc1')],
        ]
        for entries in bad:
            request = wire.AppendRequest(
                term=9,
                round=1,
                previous_index=0,
                previous_term=0,
                commit_index=0,
                entries=entries,
            )
            with self.assertRaises(errors.WireError):
                replica.receive(1.0, 'n0', request)
            self.assertEqual((0, 0), (replica.term, replica.last_index))


class LeaderTest(unittest.TestCase):
    """Guards against answers that are taken for more than they say."""

    def setUp(self) -> None:
        """Elect a leader of term 3 that holds entries of earlier terms."""
        members = wire.GroupMembers(
            [
                wire.MemberInfo(member=name, address='', region='r', store='')
                for name in ('n0', 'n1', 'n2')
            ]
        )
        entries = (
            wire.LogEntry(1, 1, wire.EntryType.COMMAND, b'1'),
            wire.LogEntry(2, 2, wire.EntryType.COMMAND, b'2'),
        )
        self.replica = _core.Replica(
            _core_types.ReplicaConfig(member_id='n0'),
            _core_types.DurableState(members, term=2, entries=entries),
            random.Random(1),
            0.0,
        )
        self.now = self.replica.next_tick_at()
        self.replica.tick(self.now)
        for term, pre_vote in ((2, True), (3, False)):
            vote = wire.VoteResponse(
                term=term, for_term=3, granted=True, pre_vote=pre_vote
            )
            self.replica.receive(self.now, 'n1', vote)
        self.assertIs(_core_types.Role.LEADER, self.replica.role)

    def answer(
        self, now: float, term: int, number: int, match_index: int
    ) -> list[wire.LogEntry | _core_types.Snapshot]:
        response = wire.AppendResponse(
            term=term, round=number, success=True, match_index=match_index
        )
        return self.replica.receive(now, 'n1', response).committed

    def test_entry_of_an_earlier_term_is_not_committed_alone(self) -> None:
        """A later leader could still replace it."""
        self.assertEqual([], self.answer(self.now, 3, 1, 2))
        committed = self.answer(self.now, 3, 1, 3)
        self.assertEqual(
            [1, 2, 3],
            [
                item.index
                for item in committed
                if isinstance(item, wire.LogEntry)
            ],
        )

    def test_answer_of_an_earlier_term_is_ignored(self) -> None:
        self.assertEqual([], self.answer(self.now, 2, 1, 3))
        self.assertEqual(0, self.replica.match_indexes['n1'])
        self.assertEqual(0, self.replica.confirmed_round)

    def test_age_counts_from_the_round_that_was_answered(self) -> None:
        self.answer(self.now, 3, 1, 3)
        answered = self.replica.next_tick_at()
        self.replica.tick(answered)
        later = self.replica.next_tick_at()
        self.replica.tick(later)
        self.answer(later, 3, 2, 3)
        age = self.replica.leadership_age(later)
        assert age is not None
        self.assertAlmostEqual(later - answered, age)

    def test_refusal_of_an_old_term_confirms_no_round(self) -> None:
        """Seed 12241: the sender led again and took it for a new round."""
        append = wire.AppendRequest(
            term=2,
            round=7,
            previous_index=0,
            previous_term=0,
            commit_index=0,
        )
        snapshot = _core_types.make_snapshot(
            9, 2, wire.GroupMembers(), b'state'
        )
        chunk = wire.SnapshotChunk(
            term=2, round=7, meta=snapshot.meta, offset=0, data=b'state'
        )
        for request in (append, chunk):
            reply = self.replica.receive(self.now, 'n1', request).reply
            assert not isinstance(reply, wire.VoteResponse | None)
            self.assertEqual((3, 0), (reply.term, reply.round))

    def test_snapshot_replaces_a_log_that_differs(self) -> None:
        snapshot = _core_types.make_snapshot(
            1, 2, wire.GroupMembers(), b'state'
        )
        chunk = wire.SnapshotChunk(
            term=4, round=1, meta=snapshot.meta, offset=0, data=b'state'
        )
        effects = self.replica.receive(self.now, 'n1', chunk)
        self.assertEqual([snapshot], effects.committed)
        self.assertEqual(1, self.replica.last_index)


class IsolatedLeaderTest(unittest.TestCase):
    """Guards against a leader that vouches for itself alone."""

    def test_isolated_leader_confirms_nothing(self) -> None:
        run = simulation.Simulation(9, 3, loss=0.0)
        leader = run.wait_for_leader()
        run.run(0.5)
        run.isolate(leader.name, True, True)
        run.confirm(leader)
        run.run(0.5)
        self.assertEqual(0, run.confirmations)
        run.cut.clear()
        run.run(0.5)
        self.assertEqual(1, run.confirmations)

    def test_last_voter_that_restarts_waits_for_the_lease(self) -> None:
        """Seed 17089: the leader that removed itself still held a lease."""
        run = simulation.Simulation(11, 2, loss=0.0)
        leader = run.wait_for_leader()
        run.run(0.5)
        other = next(node for node in run.nodes.values() if node is not leader)
        run.cut = {(other.name, leader.name)}
        run.change(
            leader,
            lambda replica: replica.remove_member(
                run.clock(leader), leader.name
            ),
        )
        run.run(0.1)
        run.crash(other)
        run.start(other)
        run.run(0.1)
        run.heal_and_check()

    def test_member_under_removal_may_be_needed_to_lead(self) -> None:
        """Only its log is complete when its removal is not committed."""
        run = simulation.Simulation(10, 2, loss=0.0)
        leader = run.wait_for_leader()
        run.run(0.5)
        run.cut = {
            (leader.name, other) for other in run.nodes if other != leader.name
        }
        removed = run.change(
            leader,
            lambda replica: replica.remove_member(
                run.clock(leader), leader.name
            ),
        )
        self.assertTrue(removed)
        run.run(4.0)
        run.heal_and_check()
        self.assertNotEqual(leader, run.wait_for_leader())
