"""The queue of requests that wait for a slot of a pool."""

import dataclasses
import heapq
import itertools
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from fulmarseam import errors

T = TypeVar('T')


@dataclasses.dataclass(eq=False, slots=True)
class Ticket(Generic[T]):
    """A waiting request; `deadline` is in monotonic seconds."""

    item: T
    priority: int
    deadline: float
    waiting: bool = True


class Admission(NamedTuple, Generic[T]):
    """The result of `push`.

    `ticket` is None when the request is refused with `kind`. `evicted` is a
    request of less priority that had to make room; its kind is
    `queue_full`.
    """

    ticket: Ticket[T] | None
    kind: errors.ErrorKind | None = None
    evicted: Ticket[T] | None = None


class RequestQueue(Generic[T]):
    """A bounded queue, ordered by priority, then deadline.

    Priority 0 is served first. `service_s` is the recent median service
    time of the pool; what cannot finish in time is refused.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._heap: list[tuple[int, float, int, Ticket[T]]] = []
        self._numbers = itertools.count()
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def push(
        self,
        now: float,
        item: T,
        priority: int,
        deadline: float,
        service_s: float,
    ) -> Admission[T]:
        """Queue a request or say why it is refused."""
        if now + service_s > deadline:
            return Admission(None, errors.ErrorKind.DEADLINE_UNREACHABLE)
        evicted = None
        if self._waiting >= self.limit:
            evicted = self._evict(priority, deadline)
            if evicted is None:
                return Admission(None, errors.ErrorKind.QUEUE_FULL)
        ticket = Ticket(item, priority, deadline)
        number = next(self._numbers)
        heapq.heappush(self._heap, (priority, deadline, number, ticket))
        self._waiting += 1
        return Admission(ticket, None, evicted)

    def pop(self) -> Ticket[T] | None:
        """Return the next request, or None when the queue is empty."""
        while self._heap:
            ticket = heapq.heappop(self._heap)[3]
            if ticket.waiting:
                self._leave(ticket)
                return ticket
        return None

    def peek(self) -> Ticket[T] | None:
        """Return the next request and leave it in the queue."""
        while self._heap and not self._heap[0][3].waiting:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def cancel(self, ticket: Ticket[T]) -> bool:
        """Remove a request; False when it is no longer waiting."""
        if not ticket.waiting:
            return False
        self._leave(ticket)
        self._compact()
        return True

    def remove_late(self, now: float, service_s: float) -> list[Ticket[T]]:
        """Remove and return the requests that cannot finish in time."""
        late = [
            entry[3]
            for entry in self._heap
            if entry[3].waiting and now + service_s > entry[1]
        ]
        for ticket in late:
            self._leave(ticket)
        self._compact()
        return late

    def _leave(self, ticket: Ticket[T]) -> None:
        ticket.waiting = False
        self._waiting -= 1

    def _evict(self, priority: int, deadline: float) -> Ticket[T] | None:
        """Remove the last request if it has less priority."""
        waiting = [entry for entry in self._heap if entry[3].waiting]
        if not waiting:
            return None
        last = max(waiting)[3]
        if last.priority <= priority:
            return None
        self._leave(last)
        self._compact()
        return last

    def _compact(self) -> None:
        """Drop removed requests once they are the larger part."""
        if len(self._heap) <= 2 * self._waiting + 16:
            return
        self._heap = [entry for entry in self._heap if entry[3].waiting]
        heapq.heapify(self._heap)
