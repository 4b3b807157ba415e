"""The leader's allocation of slots, connections and link bytes."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import wire


@dataclasses.dataclass(frozen=True)
class AllocatorOptions:
    """Times in seconds and shares of an allocator."""

    grant_ttl_s: float = 2.8
    drift: float = 0.01
    link_share: float = 0.8


class Grants(NamedTuple):
    """Grants for one entry, numbered within the term.

    The numbers go into `SyncResponse.grant_sequence`, the lists into
    `grants` and `links`. Both replace what the entry held.
    """

    sequence: int
    slots: list[wire.SlotGrant]
    links: list[wire.LinkRate]


class Allocator:
    """Shares the targets and links out to entries during one term.

    A new allocator is made at the start of each term as leader. The caller
    must hold a valid leader lease when it calls `grants_for`. The answer
    that carries the grants must go to the request last given to `report`
    for the entry or to an earlier one, never to a later one::

        allocator = steering.Allocator(now, term)
        allocator.report(now, request)
        allocator.allocate(now, targets, pools, links, drains)
        grants = allocator.grants_for(now, entry, incarnation)
    """

    def __init__(
        self,
        now: float,
        term: int,
        options: AllocatorOptions | None = None,
    ) -> None:
        self.term = term

    def report(self, now: float, request: wire.SyncRequest) -> None:
        """Take what an entry holds, uses and wants."""
        raise NotImplementedError

    def allocate(
        self,
        now: float,
        targets: Collection[membership.Target],
        pools: Iterable[wire.Pool],
        links: Iterable[wire.Link],
        drains: Iterable[wire.Drain],
    ) -> None:
        """Plan the shares of all entries; call it on a tick.

        `targets` is `TargetTable.all()`; the rows of the tables are those
        in force. Call it also after a report that wants more than it has.
        """
        raise NotImplementedError

    def grants_for(
        self, now: float, entry: ids.EntryId, incarnation: int
    ) -> Grants:
        """Issue the grants for an answer that is sent now.

        The entry is charged for them until it acknowledges newer ones or
        they have expired everywhere.
        """
        raise NotImplementedError

    def has_news(
        self, now: float, entry: ids.EntryId, incarnation: int
    ) -> bool:
        """Return whether a held sync request should be answered at once.

        True when the entry wants slots that it can get, holds slots that
        another entry wants, or holds slots on a target that is drained or
        leaving.
        """
        raise NotImplementedError
