"""Queue of requests that wait for a slot of a pool."""

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
    """A queued request; `deadline` is a monotonic time in seconds."""

    item: T
    priority: int
    deadline: float
    waiting: bool = True


class Admission(NamedTuple, Generic[T]):
    """Result of `RequestQueue.push`.

    `ticket` is None if the request is refused, for the reason `kind`.
    `evicted` is a request of lower priority that was removed in favour of
    the new one; it is refused as `queue_full`.
    """

    ticket: Ticket[T] | None
    kind: errors.ErrorKind | None = None
    evicted: Ticket[T] | None = None


class RequestQueue(Generic[T]):
    """Bounded queue, ordered by priority, then deadline.

    Priority 0 is served first. `service_s` is the recent median service
    time of the pool. Requests that cannot finish before their deadline are
    refused.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._heap: list[tuple[int, float, int, Ticket[T]]] = []
        self._sequence = itertools.count()
        self._waiting_count = 0

    def __len__(self) -> int:
        return self._waiting_count

    def push(
        self,
        now: float,
        item: T,
        priority: int,
        deadline: float,
        service_s: float,
    ) -> Admission[T]:
        """Queue a request or return why it is refused."""
        if now + service_s > deadline:
            return Admission(None, errors.ErrorKind.DEADLINE_UNREACHABLE)
        evicted = None
        if self._waiting_count >= self.limit:
            evicted = self._evict(priority, deadline)
            if evicted is None:
                return Admission(None, errors.ErrorKind.QUEUE_FULL)
        ticket = Ticket(item, priority, deadline)
        sequence = next(self._sequence)
        heapq.heappush(self._heap, (priority, deadline, sequence, ticket))
        self._waiting_count += 1
        return Admission(ticket, None, evicted)

    def pop(self) -> Ticket[T] | None:
        """Remove and return the next request, or None if there is none."""
        while self._heap:
            ticket = heapq.heappop(self._heap)[3]
            if ticket.waiting:
                self._mark_removed(ticket)
                return ticket
        return None

    def peek(self) -> Ticket[T] | None:
        """Return the next request without removing it."""
        while self._heap and not self._heap[0][3].waiting:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def cancel(self, ticket: Ticket[T]) -> bool:
        """Remove a request; return False if it is no longer waiting."""
        if not ticket.waiting:
            return False
        self._mark_removed(ticket)
        self._compact()
        return True

    def remove_late(self, now: float, service_s: float) -> list[Ticket[T]]:
        """Remove and return the requests that cannot finish in time."""
        late_tickets = [
            heap_item[3]
            for heap_item in self._heap
            if heap_item[3].waiting and now + service_s > heap_item[1]
        ]
        for ticket in late_tickets:
            self._mark_removed(ticket)
        self._compact()
        return late_tickets

    def _mark_removed(self, ticket: Ticket[T]) -> None:
        ticket.waiting = False
        self._waiting_count -= 1

    def _evict(self, priority: int, deadline: float) -> Ticket[T] | None:
        """Remove the last request if its priority is lower than `priority`."""
        waiting = [
            heap_item for heap_item in self._heap if heap_item[3].waiting
        ]
        if not waiting:
            return None
        last = max(waiting)[3]
        if last.priority <= priority:
            return None
        self._mark_removed(last)
        self._compact()
        return last

    def _compact(self) -> None:
        """Drop removed requests from the heap once they are the majority."""
        if len(self._heap) <= 2 * self._waiting_count + 16:
            return
        self._heap = [
            heap_item for heap_item in self._heap if heap_item[3].waiting
        ]
        heapq.heapify(self._heap)
