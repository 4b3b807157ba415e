"""The budget of a process for answers of targets.

It is apart from that of callers, so that a target which floods the process
makes no caller wait.
"""

from collections.abc import Callable

from fulmarseam.intake import _budget

# Share of the budget for callers that answers may take beside it.
SHARE_OF_CALLERS = 0.25
# An answer within this size may always be held.
SMALL_ANSWER_BYTES = 16 * 1024


class AnswerBudget:
    """Counts the bytes of answers that have not been passed on.

    Once the limit is exceeded, no answer above `SMALL_ANSWER_BYTES` may
    grow::

        budget.change(len(data))
        if not budget.may_grow(held_of_this_answer):
            pass_on_what_is_held()

    Subscribers are called when the limit is exceeded, and when it is kept
    again.
    """

    def __init__(
        self, memory_bytes: int = _budget.Rules().memory_bytes
    ) -> None:
        self.limit = int(memory_bytes * SHARE_OF_CALLERS)
        self.held = 0
        self._subscribers: set[Callable[[], None]] = set()

    def subscribe(self, react: Callable[[], None]) -> None:
        """Call a function whenever `is_exceeded` changes."""
        self._subscribers.add(react)

    def unsubscribe(self, react: Callable[[], None]) -> None:
        """Stop calling a function, if it was subscribed."""
        self._subscribers.discard(react)

    def change(self, count: int) -> None:
        """Add bytes that are held from now on, or remove them."""
        was_exceeded = self.is_exceeded
        self.held += count
        if self.is_exceeded != was_exceeded:
            for react in list(self._subscribers):
                react()

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than the limit allows."""
        return self.held > self.limit

    def may_grow(self, held: int) -> bool:
        """Return whether an answer that holds `held` bytes may take more."""
        return not self.is_exceeded or held <= SMALL_ANSWER_BYTES
