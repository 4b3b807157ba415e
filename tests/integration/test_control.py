"""Faults of the control group, with real processes."""

import asyncio
import pathlib
import time

from fulmarseam import errors
from fulmarseam import wire
from fulmarseam.bench import _cluster
from fulmarseam.bench import _waiting
from tests.integration import _case

# Documented bound for a new control leader after a kill.
NEW_LEADER_S = 2.0


class ControlCase(_case.ClusterCase):
    """Reads and waits that several tests share."""

    async def read_routes(self, cluster: _cluster.Cluster) -> set[str]:
        tables = await cluster.operator.read_tables()
        return {
            change.key
            for change in tables.changes
            if change.table is wire.TableName.ROUTES
        }

    async def put_route(self, cluster: _cluster.Cluster, name: str) -> int:
        result = await cluster.operator.put_rows([_case.make_route(name)])
        self.assertIsNone(result.kind, result.problems)
        return result.revision

    async def wait_other_leader(
        self, cluster: _cluster.Cluster, former: str
    ) -> float:
        return await _waiting.wait_until(
            lambda: cluster.operator.find_leader(excluded=former),
            10.0,
            'another leader',
        )

    async def wait_applied(
        self, cluster: _cluster.Cluster, name: str, revision: int
    ) -> float:
        async def is_applied() -> bool:
            status = await cluster.operator.read_status(name)
            return status is not None and status.revision >= revision

        return await cluster.wait_for_controls(
            is_applied, 10.0, f'{name} at revision {revision}'
        )


class StartTest(ControlCase):
    """Guards against a failed start whose cause nobody can tell."""

    async def test_a_group_without_leader_shows_what_its_members_say(
        self,
    ) -> None:
        cluster = await self.start_cluster(_case.make_control_plan(3))
        for name in ('c1', 'c2'):
            cluster.processes[name].kill()
        with self.assertRaises(_waiting.ConditionError) as caught:
            # A leader that lost its majority may lead for a moment more.
            for _ in range(5):
                await asyncio.sleep(2.0)
                await cluster.wait_leader(0.5)
        self.assertIn('c0:\n', str(caught.exception))
        self.assertIn('event=', str(caught.exception))


class LeaderTest(ControlCase):
    """Guards against lost or reverted edits when a leader fails."""

    async def test_kill_of_the_leader_during_edits(self) -> None:
        cluster = await self.start_cluster(_case.make_control_plan(3))
        accepted: list[str] = []
        revisions: list[int] = []

        async def edit() -> None:
            for number in range(40):
                name = f'route-{number}'
                revisions.append(await self.put_route(cluster, name))
                accepted.append(name)

        editing = asyncio.create_task(edit())
        self.addCleanup(editing.cancel)
        await _waiting.wait_until(lambda: len(accepted) > 10, 10, 'edits')
        leader = await cluster.wait_leader(5)
        cluster.processes[leader].kill()
        taken = await self.wait_other_leader(cluster, leader)
        self.assertLess(taken, NEW_LEADER_S)
        await editing
        self.assertEqual(sorted(set(revisions)), revisions)
        self.assertLessEqual(set(accepted), await self.read_routes(cluster))
        cluster.processes[leader].start()
        await self.wait_applied(cluster, leader, revisions[-1])

    async def check_partition(self, incoming: bool, outgoing: bool) -> None:
        cluster = await self.start_cluster(
            _case.make_control_plan(3, faulty=True)
        )
        former = await cluster.wait_leader(5)
        stale = await cluster.operator.make_edit([_case.make_route('stale')])
        await cluster.isolate({former}, incoming, outgoing)
        taken = await self.wait_other_leader(cluster, former)
        self.assertLess(taken, 2 * NEW_LEADER_S)
        await self.put_route(cluster, 'during')
        with self.assertRaises(errors.TransportError):
            answer = await cluster.operator.ask(former, stale, 1.0)
            raise errors.TransportError(self.expect_not_accepted(answer))
        await cluster.links.heal()
        revision = await self.put_route(cluster, 'after')
        await self.wait_applied(cluster, former, revision)
        routes = await self.read_routes(cluster)
        self.assertLessEqual({'during', 'after'}, routes)

    def expect_not_accepted(self, answer: wire.Message) -> str:
        accepted = isinstance(answer, wire.EditResult) and answer.kind is None
        self.assertFalse(accepted, answer)
        return str(answer)

    async def test_silent_partition_of_the_leader(self) -> None:
        await self.check_partition(incoming=True, outgoing=True)

    async def test_partition_of_what_the_leader_sends(self) -> None:
        await self.check_partition(incoming=False, outgoing=True)

    async def test_partition_of_what_the_leader_receives(self) -> None:
        await self.check_partition(incoming=True, outgoing=False)

    async def test_freeze_of_the_leader(self) -> None:
        cluster = await self.start_cluster(_case.make_control_plan(3))
        former = await cluster.wait_leader(5)
        cluster.processes[former].pause()
        await self.wait_other_leader(cluster, former)
        revision = await self.put_route(cluster, 'during')
        cluster.processes[former].resume()
        await self.wait_applied(cluster, former, revision)
        self.assertIn('during', await self.read_routes(cluster))


class EditTest(ControlCase):
    """Guards against two winners, and against an edit that runs twice."""

    async def test_edits_against_equal_versions(self) -> None:
        cluster = await self.start_cluster(_case.make_control_plan(3))
        edits = [
            await cluster.operator.make_edit([_case.make_route(f'r{number}')])
            for number in range(5)
        ]
        results = await asyncio.gather(
            *(
                cluster.operator.ask_leader(edit, wire.EditResult)
                for edit in edits
            )
        )
        won = [result for result in results if result.kind is None]
        lost = [result for result in results if result.kind is not None]
        self.assertEqual(1, len(won))
        for result in lost:
            self.assertEqual('version_conflict', result.kind)
            self.assertEqual(won[0].edit_id, result.winner)
            self.assertEqual(won[0].revision, result.revision)

    async def test_edit_sent_again_after_a_lost_answer(self) -> None:
        cluster = await self.start_cluster(
            _case.make_control_plan(3, faulty=True)
        )
        edit = await cluster.operator.make_edit([_case.make_route('again')])
        first = await cluster.operator.ask_leader(edit, wire.EditResult)
        await self.put_route(cluster, 'other')
        leader = await cluster.wait_leader(5)
        cluster.processes[leader].kill()
        again = await cluster.operator.ask_leader(edit, wire.EditResult)
        self.assertIsNone(first.kind)
        self.assertEqual(first, again)
        other = wire.Edit(
            edit_id=edit.edit_id,
            base=edit.base,
            changes=[
                wire.Change(
                    table=wire.TableName.ROUTES,
                    key='again',
                    row=_case.make_route('again', retired=True),
                )
            ],
        )
        refused = await cluster.operator.ask_leader(other, wire.EditResult)
        self.assertEqual('edit_id_conflict', refused.kind)


class DiskTest(ControlCase):
    """Guards against members that vote without their state."""

    async def find_follower(self, cluster: _cluster.Cluster) -> str:
        leader = await cluster.wait_leader(5)
        return next(
            control.name
            for control in cluster.plan.controls
            if control.name != leader
        )

    async def expect_refusal(
        self, cluster: _cluster.Cluster, name: str
    ) -> str:
        process = cluster.processes[name]
        await _waiting.wait_until(
            lambda: process.exit_code is not None, 10, f'{name} ended'
        )
        self.assertEqual(3, process.exit_code)
        last = process.read_output().splitlines()[-1]
        self.assertTrue(last.startswith('error: '), last)
        return last

    async def test_wiped_member_does_not_come_back(self) -> None:
        cluster = await self.start_cluster(_case.make_control_plan(3))
        name = await self.find_follower(cluster)
        cluster.processes[name].kill()
        cluster.wipe_data_dir(name)
        cluster.processes[name].start()
        await self.expect_refusal(cluster, name)
        await self.put_route(cluster, 'later')

    def find_log(self, cluster: _cluster.Cluster, name: str) -> pathlib.Path:
        return cluster.folder / f'{name}-data' / 'log'

    async def test_torn_tail_is_dropped(self) -> None:
        cluster = await self.start_cluster(_case.make_control_plan(3))
        name = await self.find_follower(cluster)
        await self.put_route(cluster, 'first')
        cluster.processes[name].kill()
        log = self.find_log(cluster, name)
        whole = log.read_bytes()
        # The first half of a write that a power loss cut short.
        log.write_bytes(whole + whole[:7])
        cluster.processes[name].start()
        revision = await self.put_route(cluster, 'second')
        await self.wait_applied(cluster, name, revision)
        self.assertIn(
            'log_tail_truncated', cluster.processes[name].read_output()
        )

    async def test_damage_in_the_middle_is_refused(self) -> None:
        cluster = await self.start_cluster(_case.make_control_plan(3))
        name = await self.find_follower(cluster)
        for number in range(5):
            await self.put_route(cluster, f'route-{number}')
        cluster.processes[name].kill()
        log = self.find_log(cluster, name)
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 0xFF
        log.write_bytes(data)
        cluster.processes[name].start()
        line = await self.expect_refusal(cluster, name)
        self.assertIn(str(log), line)

    async def test_restart_hundreds_of_changes_behind(self) -> None:
        cluster = await self.start_cluster(_case.make_control_plan(3))
        name = await self.find_follower(cluster)
        cluster.processes[name].kill()
        revision = 0
        for number in range(200):
            revision = await self.put_route(cluster, f'route-{number}')
        cluster.processes[name].start()
        await self.wait_applied(cluster, name, revision)

    async def test_second_loss_right_after_a_repair(self) -> None:
        cluster = await self.start_cluster(_case.make_control_plan(3))
        name = await self.find_follower(cluster)
        for number in range(100):
            await self.put_route(cluster, f'route-{number}')
        cluster.processes[name].kill()
        removal = wire.MemberRemove(member=name)
        await cluster.operator.ask_leader(removal, wire.Ok)
        cluster.add_control('c9', 'r9')
        cluster.processes['c9'].start()
        addition = wire.MemberAdd(
            member='c9',
            address=cluster.addresses['c9'].listen,
            region='r9',
        )
        await cluster.operator.ask_leader(addition, wire.Ok)
        leader = await cluster.wait_leader(5)
        cluster.processes[leader].kill()
        start = time.monotonic()
        routes = await self.read_routes(cluster)
        self.assertLess(time.monotonic() - start, 10)
        expected = {f'route-{number}' for number in range(100)}
        self.assertLessEqual(expected, routes)
        await self.put_route(cluster, 'after')
