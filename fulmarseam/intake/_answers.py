"""The budget of a process for answers of targets.

It is apart from that of callers, so that a target which floods the process
makes no caller wait.
"""

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
    """

    def __init__(
        self, memory_bytes: int = _budget.Rules().memory_bytes
    ) -> None:
        self.limit = int(memory_bytes * SHARE_OF_CALLERS)
        self.held = 0

    def change(self, count: int) -> None:
        """Add bytes that are held from now on, or remove them."""
        self.held += count

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than the limit allows."""
        return self.held > self.limit

    def may_grow(self, held: int) -> bool:
        """Return whether an answer that holds `held` bytes may take more."""
        return not self.is_exceeded or held <= SMALL_ANSWER_BYTES
