"""Edits and queries of the control group over its rpc interface."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import secrets
import time
from typing import Self
from typing import TypeVar

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import transport
from fulmarseam import wire

CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05

_TABLE_NAMES: dict[type[wire.Row], wire.TableName] = {
    wire.Route: wire.TableName.ROUTES,
    wire.Pool: wire.TableName.POOLS,
    wire.Link: wire.TableName.LINKS,
    wire.Block: wire.TableName.BLOCKS,
    wire.Drain: wire.TableName.DRAINS,
    wire.Shift: wire.TableName.SHIFTS,
    wire.RecordGroup: wire.TableName.RECORD_GROUPS,
}

MessageT = TypeVar('MessageT')


class Operator:
    """Sends edits and queries to the members of a control group.

    `members` maps the names of the members to their rpc addresses.
    """

    def __init__(self, members: Mapping[str, str]) -> None:
        self._clients = {
            name: transport.RpcClient(address)
            for name, address in members.items()
        }
        self._leader: str | None = None

    async def __aenter__(self) -> Self:
        for client in self._clients.values():
            client.open()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for client in self._clients.values():
            client.close()

    def add_member(self, name: str, address: str) -> None:
        """Add a member to those that are asked."""
        self._clients[name] = transport.RpcClient(address)
        self._clients[name].open()

    async def ask(
        self,
        member: str,
        message: wire.Message,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> wire.Message:
        """Send a message to one member and return its answer.

        Raises `errors.TransportError` when there is no answer.
        """
        return await self._clients[member].call(message, timeout_s)

    async def read_status(self, member: str) -> wire.StatusResponse | None:
        """Return the status of the group as seen by a member.

        Returns `None` when the member does not answer.
        """
        try:
            answer = await self.ask(member, wire.StatusRequest(), 0.5)
        except errors.TransportError:
            return None
        return answer if isinstance(answer, wire.StatusResponse) else None

    async def find_leader(self, excluded: str | None = None) -> str | None:
        """Return the member that leads with a valid leadership age.

        If several members do, as during a change of leaders, the one with
        the highest term is returned. The member `excluded` is not asked.
        """
        members = [name for name in self._clients if name != excluded]
        answers = await asyncio.gather(*map(self.read_status, members))
        leaders = [
            answer
            for answer in answers
            if answer is not None
            and answer.leader == answer.member
            and answer.leadership_age_ms is not None
        ]
        if not leaders:
            return None
        return max(leaders, key=lambda answer: answer.term).member

    async def ask_leader(
        self,
        message: wire.Message,
        expected: type[MessageT],
        timeout_s: float = 10.0,
    ) -> MessageT:
        """Send a message to the leader until the answer is as expected.

        The message must be safe to repeat. Raises `errors.TransportError`
        after `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        last_failure: object = 'no leader'
        while time.monotonic() < deadline:
            self._leader = self._leader or await self.find_leader()
            if self._leader is not None:
                try:
                    answer = await self.ask(self._leader, message)
                except errors.TransportError as error:
                    last_failure = error
                else:
                    if isinstance(answer, expected):
                        return answer
                    last_failure = answer
            self._leader = None
            await asyncio.sleep(RETRY_DELAY_S)
        raise errors.TransportError(
            f'no expected answer from a leader: {last_failure}'
        )

    async def read_tables(self) -> wire.TablesResponse:
        """Return the rows and versions of all tables."""
        return await self.ask_leader(wire.TablesRequest(), wire.TablesResponse)

    async def read_fleet(self) -> wire.FleetResponse:
        """Return the entries and targets that the leader knows."""
        return await self.ask_leader(wire.FleetRequest(), wire.FleetResponse)

    async def put_rows(self, rows: Sequence[wire.Row]) -> wire.EditResult:
        """Set rows in one edit; retries it until the result is known."""
        edit = await self.make_edit(rows)
        return await self.ask_leader(edit, wire.EditResult)

    async def make_edit(self, rows: Sequence[wire.Row]) -> wire.Edit:
        """Return an edit that sets rows, based on the current tables."""
        tables = await self.read_tables()
        changes = [
            wire.Change(table=_TABLE_NAMES[type(row)], key=row.name, row=row)
            for row in rows
        ]
        changed_tables = {change.table for change in changes}
        return wire.Edit(
            edit_id=ids.EditId(f'edit-{secrets.token_hex(8)}'),
            base={
                table: tables.versions.get(table, 0)
                for table in changed_tables
            },
            changes=changes,
        )

    async def read_row(
        self, row_type: type[MessageT], key: str
    ) -> MessageT | None:
        """Return the row of a type by its key, if it exists."""
        tables = await self.read_tables()
        for change in tables.changes:
            if change.key == key and isinstance(change.row, row_type):
                return change.row
        return None
