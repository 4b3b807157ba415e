"""The choice of a target for one request."""

from collections.abc import Collection
from typing import NamedTuple
from typing import Protocol

from fulmarseam import ids
from fulmarseam import membership
from fulmarseam import wire
from fulmarseam.steering import _outcomes
from fulmarseam.steering import _slots


class Random(Protocol):
    """The part of `random.Random` that the choice uses."""

    def random(self) -> float:
        """Return a number from 0.0 up to but not including 1.0."""
        ...


class Place(NamedTuple):
    """Where an entry or a target runs."""

    region: ids.RegionName
    domain: ids.DomainName


class Choice(NamedTuple):
    """A target for a request.

    The slot is not taken yet; `SlotBook.take` follows.
    """

    target: ids.TargetId
    address: str
    region: ids.RegionName
    is_remote: bool


class PoolView:
    """The targets of a pool as seen from an entry's place.

    `refresh` takes what changes slowly (rows, reported load, outcomes) and
    is called when the mirror changes and about every 100 ms.
    """

    def __init__(self, pool: wire.Pool, place: Place) -> None:
        self.pool = pool
        self.place = place

    def refresh(
        self,
        now: float,
        targets: Collection[membership.MirroredTarget],
        outcomes: _outcomes.OutcomeTable,
    ) -> None:
        """Take the ready targets of all pools; others are left out."""
        raise NotImplementedError


def choose_target(
    view: PoolView,
    now: float,
    book: _slots.SlotBook,
    rng: Random,
    preferred: ids.RegionName | None = None,
    blocked: Collection[ids.RegionName] = (),
    avoided: Collection[ids.TargetId] = (),
) -> Choice | None:
    """Return the target for a request, or None when no slot is free.

    The order is: `preferred` (the destination of a shift with credit), the
    own failure domain, the own region, other regions that are not
    `blocked` (no link tokens or no shift credit). `avoided` lists targets
    that this request has tried or that run a suspect.
    """
    raise NotImplementedError
