"""A deterministic scheduler that runs replicas under faults.

Time, network, disks and crashes are simulated, and every step of a replica
is checked against what the group as a whole has done.
"""

from collections.abc import Callable
import heapq
import itertools
import random

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_types

LEADER = _core_types.Role.LEADER


class Disk:
    """The synced state of a member."""

    def __init__(self, founding: wire.GroupMembers) -> None:
        self.state = _core_types.DurableState(founding)
        self.votes: dict[int, str] = {}

    def write(self, records: list[_core_types.Record]) -> None:
        for record in records:
            match record:
                case _core_types.TermRecord(term, vote):
                    self._note_vote(term, vote)
                    self._update(term=term, vote=vote)
                case _core_types.EntriesRecord(entries):
                    keep = entries[0].index - self.state.base_index - 1
                    assert 0 <= keep <= len(self.state.entries)
                    kept = self.state.entries[:keep]
                    self._update(entries=(*kept, *entries))
                case _core_types.SnapshotRecord():
                    self._update(
                        snapshot=record.snapshot,
                        base_index=record.base_index,
                        base_term=record.base_term,
                        entries=tuple(record.entries),
                        term=record.term,
                        vote=record.vote,
                    )

    def _update(self, **changes: object) -> None:
        fields = {
            name: getattr(self.state, name)
            for name in self.state.__dataclass_fields__
        }
        self.state = _core_types.DurableState(**(fields | changes))

    def _note_vote(self, term: int, vote: str | None) -> None:
        assert term >= self.state.term, 'the term went back'
        if vote is not None:
            known = self.votes.setdefault(term, vote)
            assert known == vote, f'two votes in term {term}'

    def has_entry(self, index: int, term: int) -> bool:
        state = self.state
        if state.snapshot and state.snapshot.meta.index >= index:
            return True
        position = index - state.base_index - 1
        if not 0 <= position < len(state.entries):
            return False
        return state.entries[position].term == term


class Node:
    """A member: its disk, its clock and, while it runs, its replica."""

    def __init__(self, name: str, founding: wire.GroupMembers) -> None:
        self.name = name
        self.disk = Disk(founding)
        self.replica: _core.Replica | None = None
        self.applied: list[bytes] = []
        self.rate = 1.0
        self.starts = 0
        self.crash_point: str | None = None


class Simulation:
    """A group of replicas on one simulated network.

    `loss` is the share of messages lost; as many are sent twice, and some
    are held back for longer than an election timeout.
    """

    # Follows the number in the names of the first members.
    name_suffix = ''

    def __init__(self, seed: int, size: int, loss: float = 0.02) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.blocked_links: set[tuple[str, str]] = set()
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, wire.LogEntry] = {}
        self.commit_terms: dict[int, int] = {}
        self.acknowledged = 0
        self.lease_reads = 0
        self.confirmed_reads = 0
        self.snapshot_installs = 0
        self._pending: dict[tuple[str, int, int], bytes] = {}
        self._confirming: list[tuple[str, int, int, int]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._commands = itertools.count()
        names = [f'n{number}{self.name_suffix}' for number in range(size)]
        members = wire.GroupMembers([self.describe(name) for name in names])
        self.nodes = {name: Node(name, members) for name in names}
        for node in self.nodes.values():
            self.start(node)

    def describe(self, name: str) -> wire.MemberInfo:
        return wire.MemberInfo(member=name, address='', region='r', store=name)

    def add_node(self, name: str) -> Node:
        node = Node(name, wire.GroupMembers())
        self.nodes[name] = node
        self.start(node)
        return node

    # Events

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float) -> None:
        end = self.now + limit
        while not condition():
            assert self.now < end, 'the condition was not met in time'
            self.run(0.02)

    # Nodes

    def start(self, node: Node) -> None:
        """Start a node from its synced state."""
        if node.replica is not None:
            return
        node.starts += 1
        node.rate = self.random.uniform(0.995, 1.005)
        node.crash_point = None
        config = _core_types.ReplicaConfig(
            member_id=node.name,
            keep_entries=5,
            chunk_bytes=64,
            max_batch_entries=8,
        )
        snapshot = node.disk.state.snapshot
        node.applied = _load_commands(snapshot.data) if snapshot else []
        node.replica = _core.Replica(
            config, node.disk.state, self.random, self.clock(node)
        )
        self._schedule_tick(node)

    def crash(self, node: Node) -> None:
        """Stop a node; state that was not synced is lost."""
        node.replica = None
        for key in [key for key in self._pending if key[0] == node.name]:
            del self._pending[key]

    def clock(self, node: Node) -> float:
        """Return the node's monotonic clock, which drifts by its rate."""
        return self.now * node.rate

    def _schedule_tick(self, node: Node) -> None:
        assert node.replica is not None
        starts = node.starts
        due = max(node.replica.next_tick_at() / node.rate, self.now)

        def tick() -> None:
            if node.replica is None or node.starts != starts:
                return
            if self.clock(node) + 1e-9 >= node.replica.next_tick_at():
                moment = max(self.clock(node), node.replica.next_tick_at())
                self._carry_out(node, node.replica.tick(moment))
            if node.replica is not None:
                self._schedule_tick(node)

        self.schedule(due + 1e-6, tick)

    def _carry_out(
        self, node: Node, effects: _core_types.Effects, sender: str = ''
    ) -> None:
        """Carry out effects as a driver does; may crash at each point."""
        point, node.crash_point = node.crash_point, None
        if point == 'before sync':
            self.crash(node)
            return
        node.disk.write(effects.records)
        if point == 'after sync':
            self.crash(node)
            return
        for item in effects.committed:
            self._apply(node, item)
        self._check_leader(node)
        messages = list(effects.messages)
        if point == 'while sending':
            messages = messages[: len(messages) // 2]
        for message in messages:
            self.send(node.name, message.to, message.body)
        if point == 'while sending':
            self.crash(node)
            return
        if effects.reply is not None:
            self.send(node.name, sender, effects.reply)
        self._settle_confirmations()
        self._check_leases()

    # Network

    def send(self, source: str, to: str, body: wire.ReplicaMessage) -> None:
        copies = 2 if self.random.random() < self.loss else 1
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay = self.random.uniform(0.001, 0.03)
            if self.random.random() < self.loss:
                delay += self.random.uniform(0.0, 1.5)
            self.schedule(
                self.now + delay,
                lambda: self._deliver(source, to, body),
            )

    def _deliver(
        self, source: str, to: str, body: wire.ReplicaMessage
    ) -> None:
        node = self.nodes[to]
        if node.replica is None or (source, to) in self.blocked_links:
            return
        effects = node.replica.receive(self.clock(node), source, body)
        self._carry_out(node, effects, source)

    def isolate(self, name: str, inbound: bool, outbound: bool) -> None:
        for other in self.nodes:
            if inbound:
                self.blocked_links.add((other, name))
            if outbound:
                self.blocked_links.add((name, other))

    # Clients

    def list_leaders(self) -> list[Node]:
        return [
            node
            for node in self.nodes.values()
            if node.replica is not None and node.replica.role is LEADER
        ]

    def find_leader(self) -> Node | None:
        """Return the node with a valid leader lease."""
        for node in self.list_leaders():
            assert node.replica is not None
            if node.replica.leadership_age(self.clock(node)) is not None:
                return node
        return None

    def wait_for_leader(self) -> Node:
        self.run_until(lambda: self.find_leader() is not None, 10.0)
        leader = self.find_leader()
        assert leader is not None
        return leader

    def propose(self, node: Node, count: int = 1) -> None:
        """Propose new commands at a node that may not be the leader."""
        if node.replica is None:
            return
        commands = [b'%d' % next(self._commands) for _ in range(count)]
        try:
            effects = node.replica.propose(self.clock(node), commands)
        except errors.NotLeaderError:
            return
        for index, command in enumerate(commands, effects.first_index):
            self._pending[node.name, node.replica.term, index] = command
        self._carry_out(node, effects)

    def confirm(self, node: Node) -> None:
        """Start a confirmed read."""
        if node.replica is None or node.replica.role is not LEADER:
            return
        effects = node.replica.confirm_leadership(self.clock(node))
        term = node.replica.term
        self._confirming.append(
            (node.name, term, effects.round, self.acknowledged)
        )
        self._carry_out(node, effects)

    def change_members(
        self,
        node: Node,
        change: Callable[[_core.Replica], _core_types.Effects],
    ) -> bool:
        """Start a membership change; return whether it was accepted."""
        if node.replica is None:
            return False
        try:
            effects = change(node.replica)
        except errors.FulmarseamError:
            return False
        self._carry_out(node, effects)
        return True

    def compact(self, node: Node) -> None:
        if node.replica is not None:
            data = msgspec.msgpack.encode(node.applied)
            self._carry_out(node, node.replica.compact(data))

    # Checks

    def _apply(
        self, node: Node, item: wire.LogEntry | _core_types.Snapshot
    ) -> None:
        if isinstance(item, _core_types.Snapshot):
            node.applied = _load_commands(item.data)
            expected = self.list_commands(item.meta.index)
            assert node.applied == expected, 'a snapshot differs'
            self.snapshot_installs += 1
            return
        if item.index not in self.committed:
            self._check_held_by_majority(node, item)
            self._check_members(item)
            self.committed[item.index] = item
            assert node.replica is not None
            self.commit_terms[item.index] = node.replica.term
        assert self.committed[item.index] == item, 'committed entries differ'
        if item.type is wire.LogEntryType.COMMAND:
            node.applied.append(item.data)
        key = (node.name, item.term, item.index)
        if self._pending.pop(key, None) == item.data:
            self.acknowledged = max(self.acknowledged, item.index)

    def list_commands(self, last: int) -> list[bytes]:
        return [
            self.committed[index].data
            for index in range(1, last + 1)
            if self.committed[index].type is wire.LogEntryType.COMMAND
        ]

    def _check_held_by_majority(
        self, node: Node, entry: wire.LogEntry
    ) -> None:
        """Check that a majority has synced an entry when it is committed."""
        assert node.replica is not None
        holders = [
            other.name
            for other in self.nodes.values()
            if other.disk.has_entry(entry.index, entry.term)
        ]
        members = node.replica.members
        assert _core_members.has_majority(members, holders), (
            f'{entry.index} was committed without a majority of voters'
        )

    def _check_members(self, entry: wire.LogEntry) -> None:
        """Check that successive member sets differ by at most one voter."""
        if entry.type is not wire.LogEntryType.MEMBERS:
            return
        voters = _list_voters(entry)
        for index in range(entry.index - 1, 0, -1):
            earlier = self.committed[index]
            if earlier.type is wire.LogEntryType.MEMBERS:
                difference = voters ^ _list_voters(earlier)
                assert len(difference) <= 1, 'two voters changed at once'
                return

    def _check_leader(self, node: Node) -> None:
        """Check election safety and leader completeness."""
        replica = node.replica
        if replica is None or replica.role is not LEADER:
            return
        known = self.leaders.setdefault(replica.term, node.name)
        assert known == node.name, f'two leaders in term {replica.term}'
        for index, entry in self.committed.items():
            if self.commit_terms[index] < replica.term:
                held = node.disk.has_entry(entry.index, entry.term)
                assert held, 'a leader lacks a committed entry'

    def _check_leases(self) -> None:
        """Check that a leader in its lease is newest and has all entries."""
        for node in self.list_leaders():
            replica = node.replica
            assert replica is not None
            if replica.leadership_age(self.clock(node)) is None:
                continue
            self.lease_reads += 1
            newest = max(self.leaders)
            assert replica.term == newest, 'a lease overlaps a newer leader'
            assert replica.commit_index >= self.acknowledged, 'a stale read'

    def _settle_confirmations(self) -> None:
        waiting = []
        for name, term, number, acknowledged in self._confirming:
            replica = self.nodes[name].replica
            if replica is None or replica.leading_term != term:
                if replica is not None and replica.term == term:
                    waiting.append((name, term, number, acknowledged))
                continue
            if replica.confirmed_round < number:
                waiting.append((name, term, number, acknowledged))
                continue
            self.confirmed_reads += 1
            assert replica.commit_index >= acknowledged, (
                'a confirmed read is stale'
            )
        self._confirming = waiting

    def heal_and_check(self) -> None:
        """End all faults; check that all members agree on all commands."""
        self.blocked_links.clear()
        self.loss = 0.0
        for node in self.nodes.values():
            node.crash_point = None
            self.start(node)
        self.run(4.0)
        leader = self.wait_for_leader()
        self.propose(leader)
        self.run(4.0)
        assert leader.replica is not None
        last = leader.replica.commit_index
        assert last == leader.replica.last_index
        assert last >= self.acknowledged, 'an acknowledged entry is lost'
        expected = self.list_commands(last)
        for info in leader.replica.members.members:
            node = self.nodes[info.member]
            assert node.applied == expected, f'{info.member} differs'


class Faults:
    """Random faults, proposals, reads and membership changes."""

    def __init__(self, simulation: Simulation, max_members: int = 6) -> None:
        self._simulation = simulation
        self._random = simulation.random
        self._max_members = max_members
        self._actions = (
            (6, self._propose),
            (2, self._confirm),
            (2, self._crash),
            (2, self._crash_in_step),
            (2, self._partition),
            (2, self._heal),
            (1, self._compact),
            (1, self._add),
            (1, self._remove),
            (1, self._demote),
            (1, self._restore),
        )

    def run(self, seconds: float) -> None:
        end = self._simulation.now + seconds
        weights = [weight for weight, _ in self._actions]
        actions = [action for _, action in self._actions]
        while self._simulation.now < end:
            self._simulation.run(self._random.uniform(0.0, 0.25))
            self._random.choices(actions, weights)[0]()

    def _pick(self) -> Node:
        return self._random.choice(list(self._simulation.nodes.values()))

    def _pick_leader(self) -> Node:
        leaders = self._simulation.list_leaders()
        return self._random.choice(leaders) if leaders else self._pick()

    def _propose(self) -> None:
        self._simulation.propose(
            self._pick_leader(), self._random.randint(1, 20)
        )

    def _confirm(self) -> None:
        self._simulation.confirm(self._pick_leader())

    def _crash(self) -> None:
        node = self._pick()
        self._simulation.crash(node)
        self._restart_later(node)

    def _crash_in_step(self) -> None:
        node = self._pick()
        node.crash_point = self._random.choice(
            ['before sync', 'after sync', 'while sending']
        )
        self._restart_later(node)

    def _restart_later(self, node: Node) -> None:
        delay = self._random.choice([0.01, 0.3, 2.0])
        self._simulation.schedule(
            self._simulation.now + delay,
            lambda: self._simulation.start(node),
        )

    def _partition(self) -> None:
        inbound, outbound = self._random.choice(
            [(True, True), (True, False), (False, True)]
        )
        self._simulation.isolate(self._pick_leader().name, inbound, outbound)

    def _heal(self) -> None:
        self._simulation.blocked_links.clear()

    def _compact(self) -> None:
        self._simulation.compact(self._pick())

    def _add(self) -> None:
        simulation = self._simulation
        name = f'n{len(simulation.nodes)}'
        if len(simulation.nodes) >= self._max_members:
            return
        leader = self._pick_leader()
        info = simulation.describe(name)
        simulation.add_node(name)
        simulation.change_members(
            leader,
            lambda replica: replica.add_learner(
                simulation.clock(leader), info
            ),
        )

    def _change_any(
        self,
        change: Callable[
            [_core.Replica, float, ids.MemberId], _core_types.Effects
        ],
    ) -> None:
        """Let the leader change any member."""
        leader = self._pick_leader()
        name = self._pick().name
        self._simulation.change_members(
            leader,
            lambda replica: change(
                replica, self._simulation.clock(leader), name
            ),
        )

    def _remove(self) -> None:
        self._change_any(_core.Replica.remove_member)

    def _demote(self) -> None:
        self._change_any(_core.Replica.demote_member)

    def _restore(self) -> None:
        self._change_any(_core.Replica.restore_member)


def _load_commands(data: bytes) -> list[bytes]:
    return msgspec.msgpack.decode(data, type=list[bytes])


def _list_voters(entry: wire.LogEntry) -> set[str]:
    members = _core_members.decode_members(entry.data)
    return set(_core_members.list_voters(members))
