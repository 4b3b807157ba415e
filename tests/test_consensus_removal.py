"""Tests of how a member learns that it was removed from the group."""

import random
import unittest

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.consensus import _core
from fulmarseam.consensus import _core_members
from fulmarseam.consensus import _core_types
from fulmarseam.consensus import _removal

MEMBER = ids.MemberId('e.2')
LISTED = ('a.1', 'b.1', 'c.1', 'd.1', MEMBER)
OTHERS = LISTED[:4]


def make_members(
    members: tuple[str, ...], retired: tuple[str, ...] = ()
) -> wire.GroupMembers:
    """Return a list with the given voters."""
    infos = [
        wire.MemberInfo(
            member=ids.MemberId(member), address='', region='r', store=member
        )
        for member in members
    ]
    return wire.GroupMembers(infos, [ids.MemberId(item) for item in retired])


def make_committed(
    term: int, members: tuple[str, ...], retired: tuple[str, ...] = ()
) -> wire.CommittedMembers:
    """Return what another member has committed."""
    return wire.CommittedMembers(
        term=term, members=make_members(members, retired)
    )


def make_replica(
    *lists: wire.GroupMembers, committed: int = 0, term: int = 3
) -> _core.Replica:
    """Return a replica whose log sets `lists`, the first at index 1.

    Entries up to `committed` are committed; all are of term 3.
    """
    durable = _core_types.DurableState(wire.GroupMembers(), term=term)
    replica = _core.Replica(
        _core_types.ReplicaConfig(MEMBER), durable, random.Random(1), 0.0
    )
    entries = [
        wire.LogEntry(
            index,
            3,
            wire.LogEntryType.MEMBERS,
            _core_members.encode_members(members),
        )
        for index, members in enumerate(lists, 1)
    ]
    if entries:
        request = wire.AppendRequest(
            term=3,
            round=1,
            previous_index=0,
            previous_term=0,
            commit_index=committed,
            entries=entries,
        )
        replica.receive(0.0, ids.MemberId('a.1'), request)
        # A request for votes in a later term makes it forget the leader.
        vote = wire.VoteRequest(
            term=term + 1, last_index=0, last_term=0, pre_vote=False
        )
        replica.receive(9.0, ids.MemberId('b.1'), vote)
    return replica


def count_checks(
    replica: _core.Replica, *answers: wire.CommittedMembers
) -> int | None:
    """Return the number of the check that ends the member, or None."""
    tracker = _removal.RemovalTracker()
    for number in range(1, 10):
        if tracker.update(replica, answers):
            return number
    return None


class RemovalProofTest(unittest.TestCase):
    """Guards against a sound member that deletes its data."""

    def test_an_older_list_proves_nothing(self) -> None:
        replica = make_replica(make_members(LISTED), committed=1)
        older = make_committed(0, (*OTHERS, 'e.1'))
        self.assertIsNone(count_checks(replica, older))
        self.assertIsNone(count_checks(replica, older, older))

    def test_silence_proves_nothing(self) -> None:
        replica = make_replica(make_members(LISTED))
        self.assertIsNone(count_checks(replica))

    def test_a_committed_removal_counts_at_once(self) -> None:
        replica = make_replica(make_members(LISTED), committed=1)
        removed = make_committed(3, OTHERS, (MEMBER,))
        self.assertEqual(count_checks(replica, removed), 1)

    def test_a_removal_that_is_not_committed_proves_nothing(self) -> None:
        replica = make_replica(
            make_members(LISTED),
            make_members(OTHERS, (MEMBER,)),
            committed=1,
        )
        self.assertIn(MEMBER, replica.members.retired)
        self.assertFalse(replica.is_retired(replica.committed_members))
        current = make_committed(3, LISTED)
        self.assertIsNone(count_checks(replica, current))


class LostAdditionTest(unittest.TestCase):
    """Guards against a member that waits forever for its addition."""

    def test_a_commit_of_a_later_term_without_it_proves_the_loss(
        self,
    ) -> None:
        replica = make_replica(make_members(LISTED))
        same_term = make_committed(3, OTHERS)
        self.assertIsNone(count_checks(replica, same_term))
        later = make_committed(4, OTHERS)
        self.assertEqual(
            count_checks(replica, later),
            _removal.MAX_LOST_ADDITION_CHECKS,
        )
        listed = make_committed(4, LISTED)
        self.assertIsNone(count_checks(replica, listed))

    def test_a_member_without_a_log_goes_by_its_term(self) -> None:
        replica = make_replica()
        self.assertIsNone(count_checks(replica, make_committed(3, OTHERS)))
        self.assertIsNotNone(count_checks(replica, make_committed(4, OTHERS)))

    def test_a_committed_addition_is_never_lost(self) -> None:
        replica = make_replica(make_members(LISTED), committed=1)
        self.assertIsNone(count_checks(replica, make_committed(9, OTHERS)))

    def test_a_leader_that_adds_it_again_ends_the_checks(self) -> None:
        replica = make_replica(make_members(LISTED))
        tracker = _removal.RemovalTracker()
        later = [make_committed(9, OTHERS)]
        for _ in range(_removal.MAX_LOST_ADDITION_CHECKS - 1):
            self.assertFalse(tracker.update(replica, later))
        append = wire.AppendRequest(
            term=9,
            round=1,
            previous_index=0,
            previous_term=0,
            commit_index=0,
        )
        replica.receive(10.0, ids.MemberId('c.1'), append)
        self.assertFalse(tracker.update(replica, later))
