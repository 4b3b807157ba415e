"""Edits and questions to the control group, as an operator's tool asks."""

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
RETRY_S = 0.05

_TABLES: dict[type[wire.Row], wire.TableName] = {
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
    """Asks the members of a control group at their rpc addresses."""

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
        """Ask a further member from now on."""
        self._clients[name] = transport.RpcClient(address)
        self._clients[name].open()

    async def ask(
        self,
        member: str,
        message: wire.Message,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> wire.Message:
        """Ask one member; raises `errors.TransportError` without answer."""
        return await self._clients[member].call(message, timeout_s)

    async def read_status(self, member: str) -> wire.StatusResponse | None:
        """Return how a member sees the group, if it answers."""
        try:
            answer = await self.ask(member, wire.StatusRequest(), 0.5)
        except errors.TransportError:
            return None
        return answer if isinstance(answer, wire.StatusResponse) else None

    async def find_leader(self, excluded: str | None = None) -> str | None:
        """Return the member that leads with a valid leadership age.

        With several such members, as between two leaders, the one of the
        highest term counts. The member `excluded` is not asked.
        """
        asked = [name for name in self._clients if name != excluded]
        answers = await asyncio.gather(*map(self.read_status, asked))
        leading = [
            answer
            for answer in answers
            if answer is not None
            and answer.leader == answer.member
            and answer.leadership_age_ms is not None
        ]
        if not leading:
            return None
        return max(leading, key=lambda answer: answer.term).member

    async def ask_leader(
        self,
        message: wire.Message,
        expected: type[MessageT],
        timeout_s: float = 10.0,
    ) -> MessageT:
        """Ask whichever member leads until it answers as expected.

        The message must be safe to repeat. Raises `errors.TransportError`
        after `timeout_s`.
        """
        deadline = time.monotonic() + timeout_s
        last: object = 'no leader'
        while time.monotonic() < deadline:
            self._leader = self._leader or await self.find_leader()
            if self._leader is not None:
                try:
                    answer = await self.ask(self._leader, message)
                except errors.TransportError as error:
                    last = error
                else:
                    if isinstance(answer, expected):
                        return answer
                    last = answer
            self._leader = None
            await asyncio.sleep(RETRY_S)
        raise errors.TransportError(f'no answer from a leader: {last}')

    async def read_tables(self) -> wire.TablesResponse:
        """Return all rows and the version of each table."""
        return await self.ask_leader(wire.TablesRequest(), wire.TablesResponse)

    async def read_fleet(self) -> wire.FleetResponse:
        """Return the entries and targets that the leader knows."""
        return await self.ask_leader(wire.FleetRequest(), wire.FleetResponse)

    async def put_rows(self, rows: Sequence[wire.Row]) -> wire.EditResult:
        """Set rows in one edit, sent until its result is known."""
        edit = await self.make_edit(rows)
        return await self.ask_leader(edit, wire.EditResult)

    async def make_edit(self, rows: Sequence[wire.Row]) -> wire.Edit:
        """Return an edit that sets rows, made against the current tables."""
        tables = await self.read_tables()
        changes = [
            wire.Change(table=_TABLES[type(row)], key=row.name, row=row)
            for row in rows
        ]
        used = {change.table for change in changes}
        return wire.Edit(
            edit_id=ids.EditId(f'edit-{secrets.token_hex(8)}'),
            base={table: tables.versions.get(table, 0) for table in used},
            changes=changes,
        )

    async def read_row(
        self, kind: type[MessageT], key: str
    ) -> MessageT | None:
        """Return the row of a type by its key, if there is one."""
        tables = await self.read_tables()
        for change in tables.changes:
            if change.key == key and isinstance(change.row, kind):
                return change.row
        return None
